//! The clients' connections of a listener, and which of them to close.

use {
    crate::time::{Millis, Time},
    indexmap::IndexMap,
};

/// What a connection is for; each kind has a part of the descriptors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConnectionClass {
    /// Callers of relayed and of the product's own requests.
    Callers,
    Operators,
    /// Endpoints that announce themselves.
    Announcements,
    /// Clients of the platform's control API.
    Control,
    /// Checks of whether the instance is ready.
    Readiness,
    /// Other instances.
    Peers,
    /// Connections to endpoints.
    Endpoints,
}

impl ConnectionClass {
    pub const COUNT: usize = 7;
    pub const ALL: [Self; Self::COUNT] = [
        Self::Callers,
        Self::Operators,
        Self::Announcements,
        Self::Control,
        Self::Readiness,
        Self::Peers,
        Self::Endpoints,
    ];

    /// Whether clients or other instances open the connections, rather than this process.
    pub fn is_client(self) -> bool {
        self != Self::Endpoints
    }

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Operators => "operators",
            Self::Announcements => "announcements",
            Self::Control => "control",
            Self::Readiness => "readiness",
            Self::Peers => "peers",
            Self::Endpoints => "endpoints",
        }
    }
}

/// How long a connection without a request under way must have been still to make room for
/// a new one. Longer than a new connection takes to bring its first bytes.
const STILL_UNDER_PRESSURE: Millis = Millis(1000);

/// How long a head must have been under way, or a client blocked, to be closed because there
/// are too many of them. A client inside its limits is blocked for milliseconds at a time, and
/// a lost segment takes less than this to come again.
const EXCESS_AGE: Millis = Millis(1000);

/// Names a connection of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// The limits of a listener's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// From the first byte of a head to its end.
    pub head_timeout: Millis,
    /// Before the first byte of a head.
    pub idle_timeout: Millis,
    /// For an answer of which the client takes nothing.
    pub write_timeout: Millis,
    /// As `write_timeout`, for an answer that holds room of the budget.
    pub held_timeout: Millis,
    /// The most heads under way at one time.
    pub max_heads: usize,
    /// The most clients that take nothing of their answers.
    pub max_blocked: usize,
}

/// The time limit of answers that hold room of the budget and aren't taken, while others wait
/// for that room. Longer than a lost segment takes to come again twice.
const HELD_TIMEOUT_UNDER_PRESSURE: Millis = Millis(1000);

impl ConnectionLimits {
    /// Returns the limits while answers wait for room. Connections that hold none of it, such
    /// as those with streams of events, keep theirs.
    pub fn under_pressure(self) -> Self {
        Self { held_timeout: self.held_timeout.min(HELD_TIMEOUT_UNDER_PRESSURE), ..self }
    }
}

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The head didn't end in time.
    HeadTimeout,
    /// No request came in time.
    Idle,
    /// The client takes nothing of its answer.
    Blocked,
    /// It made room for another.
    Displaced,
    /// There is no room for it.
    Full,
}

impl CloseReason {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::HeadTimeout => "head_timeout",
            Self::Idle => "idle",
            Self::Blocked => "blocked",
            Self::Displaced => "displaced",
            Self::Full => "full",
        }
    }
}

/// Whether a new connection is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    Admitted(ConnectionId),
    /// There is room for it once the second is closed.
    Displacing(ConnectionId, ConnectionId),
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request has come yet.
    New,
    /// Between requests.
    Idle,
    /// Part of a head has come.
    Head,
    /// A request is under way.
    Busy,
}

#[derive(Debug)]
struct Entry {
    phase: Phase,
    since: Time,
    blocked_since: Option<Time>,
    /// Whether its answer holds room of the budget.
    holds_room: bool,
    is_closing: bool,
}

/// The connections of a listener.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    entries: IndexMap<ConnectionId, Entry>,
    next: u64,
}

impl ConnectionTable {
    /// Takes a new connection if `has_room`, or in place of one that is still. Connections
    /// that never brought a request go first, then those idle between requests; of each the
    /// one that has been still for longest.
    pub fn admit(&mut self, now: Time, has_room: bool) -> Admission {
        let displaced = if has_room { None } else { self.stillest(now) };
        if !has_room && displaced.is_none() {
            return Admission::Refused;
        }
        let id = ConnectionId(self.next);
        self.next += 1;
        let entry = Entry {
            phase: Phase::New,
            since: now,
            blocked_since: None,
            holds_room: false,
            is_closing: false,
        };
        self.entries.insert(id, entry);
        match displaced {
            Some(it) => {
                self.entries[&it].is_closing = true;
                Admission::Displacing(id, it)
            }
            None => Admission::Admitted(id),
        }
    }

    /// Notes that bytes have come.
    pub fn note_read(&mut self, now: Time, id: ConnectionId) {
        if let Some(it) = self.entries.get_mut(&id)
            && matches!(it.phase, Phase::New | Phase::Idle)
        {
            (it.phase, it.since) = (Phase::Head, now);
        }
    }

    /// Notes that a request's head is whole.
    pub fn note_request(&mut self, now: Time, id: ConnectionId) {
        if let Some(it) = self.entries.get_mut(&id) {
            (it.phase, it.since) = (Phase::Busy, now);
            // A request that was sent ahead comes while the answer before it is written.
            it.holds_room &= it.blocked_since.is_some();
        }
    }

    /// Notes that the answer to the current request holds room of the budget until it is
    /// written.
    pub fn note_holding(&mut self, id: ConnectionId) {
        if let Some(it) = self.entries.get_mut(&id) {
            it.holds_room = true;
        }
    }

    /// Notes that a request's answer is complete, or can't be any more.
    pub fn note_answered(&mut self, now: Time, id: ConnectionId) {
        if let Some(it) = self.entries.get_mut(&id) {
            (it.phase, it.since) = (Phase::Idle, now);
        }
    }

    /// Notes that the client takes no more bytes now, or that it has taken some. A request
    /// counts as answered while much of its answer is unwritten, so each write begins the
    /// idle time anew.
    pub fn note_blocked(&mut self, now: Time, id: ConnectionId, is_blocked: bool) {
        if let Some(it) = self.entries.get_mut(&id) {
            // The rest of a head isn't read while the answer before it is written.
            let was_held_up = it.phase == Phase::Head && it.blocked_since.is_some();
            if !is_blocked && (it.phase == Phase::Idle || was_held_up) {
                it.since = now;
            }
            it.blocked_since = is_blocked.then(|| it.blocked_since.unwrap_or(now));
        }
    }

    /// Forgets a connection that is closed.
    pub fn remove(&mut self, id: ConnectionId) {
        self.entries.swap_remove(&id);
    }

    /// Returns the connections to close now, each once.
    pub fn sweep(
        &mut self,
        now: Time,
        limits: &ConnectionLimits,
    ) -> Vec<(ConnectionId, CloseReason)> {
        let mut closed = Vec::new();
        for (id, it) in self.entries.iter_mut().filter(|(_, it)| !it.is_closing) {
            let reason = it.overdue(now, limits);
            it.is_closing = reason.is_some();
            closed.extend(reason.map(|reason| (*id, reason)));
        }
        let heads = self.excess(now, limits.max_heads, |it| {
            (it.phase == Phase::Head && it.blocked_since.is_none()).then_some(it.since)
        });
        let blocked = self.excess(now, limits.max_blocked, |it| it.blocked_since);
        for (ids, reason) in [(heads, CloseReason::HeadTimeout), (blocked, CloseReason::Blocked)] {
            for id in ids {
                self.entries[&id].is_closing = true;
                closed.push((id, reason));
            }
        }
        closed
    }

    /// Returns the connections beyond the most that may be in a state, those that have been
    /// in it for longest first. None is closed before it has been in it for [`EXCESS_AGE`].
    fn excess(
        &self,
        now: Time,
        most: usize,
        since: impl Fn(&Entry) -> Option<Time>,
    ) -> Vec<ConnectionId> {
        let open = self.entries.iter().filter(|(_, it)| !it.is_closing);
        let mut found: Vec<(Time, ConnectionId)> =
            open.filter_map(|(id, it)| Some((since(it)?, *id))).collect();
        found.sort_unstable();
        let excess = found.len().saturating_sub(most);
        let old = found.into_iter().take(excess).filter(|(it, _)| now.since(*it) >= EXCESS_AGE);
        old.map(|(_, id)| id).collect()
    }

    /// Returns the number of connections that aren't being closed.
    pub fn len(&self) -> usize {
        self.entries.values().filter(|it| !it.is_closing).count()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn stillest(&self, now: Time) -> Option<ConnectionId> {
        let still = self.entries.iter().filter(|(_, it)| {
            let waits = matches!(it.phase, Phase::New | Phase::Idle | Phase::Head);
            let is_open = !it.is_closing && it.blocked_since.is_none();
            waits && is_open && now.since(it.since) >= STILL_UNDER_PRESSURE
        });
        still.min_by_key(|(_, it)| (it.phase == Phase::Idle, it.since)).map(|(id, _)| *id)
    }
}

impl Entry {
    fn overdue(&self, now: Time, limits: &ConnectionLimits) -> Option<CloseReason> {
        let still = now.since(self.since);
        if let Some(it) = self.blocked_since {
            let limit = if self.holds_room { limits.held_timeout } else { limits.write_timeout };
            let is_overdue = now.since(it) >= limit;
            return is_overdue.then_some(CloseReason::Blocked);
        }
        match self.phase {
            Phase::Head if still >= limits.head_timeout => Some(CloseReason::HeadTimeout),
            Phase::New | Phase::Idle if still >= limits.idle_timeout => Some(CloseReason::Idle),
            _ => None,
        }
    }
}
