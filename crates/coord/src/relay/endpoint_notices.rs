//! What endpoints say of themselves in their answers: that they are leaving, or
//! that they want no requests for a while.

use {
    crate::{
        ids::{EndpointName, Generation},
        tables::Endpoint,
        time::{Millis, Time},
    },
    indexmap::IndexMap,
};

/// Upper bound of a pause, so that a header can't exclude an endpoint for days.
pub const MAX_PAUSE: Millis = Millis(600_000);

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    Open,
    /// It asked for a pause.
    Paused {
        until: Time,
    },
    /// It said that it is leaving, whether or not it asked for a pause too.
    Leaving,
}

/// What an endpoint says of itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointNotice {
    /// It is leaving.
    Leaving,
    /// It wants no requests for this time.
    Pause(Millis),
}

#[derive(Debug, Clone, Default)]
struct NoticeRow {
    generation: Generation,
    leaving_since: Option<Time>,
    paused_until: Time,
}

/// The notices of the endpoints in the tables, one row per incarnation.
#[derive(Debug, Clone, Default)]
pub struct EndpointNotices {
    rows: IndexMap<EndpointName, NoticeRow>,
    /// How long an endpoint that is leaving may get what no other can serve.
    leave_grace: Millis,
}

impl EndpointNotices {
    /// Creates an empty set. `leave_grace` is shorter than the time for which
    /// endpoints serve after they say that they are leaving.
    pub fn new(leave_grace: Millis) -> Self {
        Self { rows: IndexMap::new(), leave_grace }
    }

    /// Drops the notices of incarnations that aren't among these endpoints.
    pub fn reload<'a>(&mut self, endpoints: impl Iterator<Item = &'a Endpoint>) {
        let mut old = std::mem::take(&mut self.rows);
        for it in endpoints {
            let kept = old.swap_remove(&it.name).filter(|row| row.generation == it.generation);
            let row =
                kept.unwrap_or(NoticeRow { generation: it.generation, ..NoticeRow::default() });
            self.rows.insert(it.name.clone(), row);
        }
    }

    /// Records that an endpoint is leaving. Returns false if that is known, or if the
    /// answer is of an earlier incarnation.
    pub fn note_leaving(&mut self, now: Time, name: &EndpointName, generation: Generation) -> bool {
        let Some(row) = self.row(name, generation).filter(|it| it.leaving_since.is_none()) else {
            return false;
        };
        row.leaving_since = Some(now);
        true
    }

    /// Records that an endpoint wants no requests for `pause`. Requests that were
    /// under way before an earlier pause can only extend it. Returns the end of the
    /// pause, or nothing if the answer is of an earlier incarnation.
    pub fn note_pause(
        &mut self,
        now: Time,
        name: &EndpointName,
        generation: Generation,
        pause: Millis,
    ) -> Option<Time> {
        let row = self.row(name, generation)?;
        let until = now + Millis(pause.0.min(MAX_PAUSE.0));
        row.paused_until = until.max(row.paused_until);
        Some(row.paused_until)
    }

    /// Returns whether an endpoint takes new requests.
    pub fn availability(&self, now: Time, name: &EndpointName) -> Availability {
        match self.rows.get(name) {
            Some(it) if it.leaving_since.is_some() => Availability::Leaving,
            Some(it) if it.paused_until > now => Availability::Paused { until: it.paused_until },
            _ => Availability::Open,
        }
    }

    /// Whether an endpoint said that it is leaving.
    pub fn is_leaving(&self, name: &EndpointName) -> bool {
        self.rows.get(name).is_some_and(|it| it.leaving_since.is_some())
    }

    /// Whether a request may be sent to an endpoint now: not during a pause, and not
    /// later than the grace of one that is leaving.
    pub fn may_send(&self, now: Time, name: &EndpointName) -> bool {
        self.rows.get(name).is_none_or(|it| {
            let gone = it.leaving_since.is_some_and(|since| now >= since + self.leave_grace);
            it.paused_until <= now && !gone
        })
    }

    /// Returns the endpoints to choose from: those that are open or, without any,
    /// those that are leaving and may still be sent to.
    pub fn usable<'a>(&self, now: Time, endpoints: &[&'a Endpoint]) -> Vec<&'a Endpoint> {
        let is_open = |it: &Endpoint| self.availability(now, &it.name) == Availability::Open;
        let open: Vec<&Endpoint> = endpoints.iter().copied().filter(|it| is_open(it)).collect();
        if !open.is_empty() {
            return open;
        }
        endpoints.iter().copied().filter(|it| self.may_send(now, &it.name)).collect()
    }

    /// Returns when the first of these endpoints ends its pause, if one has asked for
    /// one.
    pub fn earliest_return(&self, now: Time, endpoints: &[&Endpoint]) -> Option<Time> {
        let ends = endpoints.iter().filter_map(|it| match self.availability(now, &it.name) {
            Availability::Paused { until } => Some(until),
            Availability::Open | Availability::Leaving => None,
        });
        ends.min()
    }

    /// Returns the endpoints whose pause has ended since `last`.
    pub fn ended_pauses(&self, last: Time, now: Time) -> impl Iterator<Item = &EndpointName> {
        let ended = move |row: &NoticeRow| row.paused_until > last && row.paused_until <= now;
        self.rows.iter().filter(move |(_, row)| ended(row)).map(|(name, _)| name)
    }

    fn row(&mut self, name: &EndpointName, generation: Generation) -> Option<&mut NoticeRow> {
        self.rows.get_mut(name).filter(|it| it.generation == generation)
    }
}

/// Parses the value of a `Retry-After` header. Seconds, with or without a fraction,
/// are a pause of up to [`MAX_PAUSE`]; zero, negative values, dates and anything else
/// ask for none.
pub fn parse_pause(text: &str) -> Option<Millis> {
    let seconds: f64 = text.trim().parse().ok().filter(|it: &f64| it.is_finite() && *it > 0.0)?;
    let ms = (seconds * 1000.0).ceil().min(MAX_PAUSE.0 as f64);
    Some(Millis(ms as u64))
}
