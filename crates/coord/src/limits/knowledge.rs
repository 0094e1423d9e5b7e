//! What an instance knows of a number that an endpoint names in its answers.

use {
    super::LimitNotice,
    crate::{ids::Rate, time::Time},
};

/// What an answer said, until the leader has taken it into account.
#[derive(Debug, Clone, Copy)]
struct Observation {
    /// `None`: the endpoint names no number any more.
    value: Option<Rate>,
    at: Time,
    /// The first renewal that reported it; 0 before.
    reported: u64,
}

/// What answers said and what the leader's list says.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Knowledge {
    seen: Option<Observation>,
    /// The number in the leader's list, and when the endpoint named it.
    listed: Option<(Rate, Time)>,
}

impl Knowledge {
    /// Returns the number that the endpoint names. One that this instance has read to have
    /// ended counts until the leader's list is without it.
    pub fn value(&self) -> Option<Rate> {
        let seen = self.seen.and_then(|it| it.value);
        seen.or(self.listed.map(|(value, _)| value))
    }

    /// Returns the number if the leader's list has one.
    pub fn listed_value(&self) -> Option<Rate> {
        self.value().filter(|_| self.listed.is_some())
    }

    /// Whether anything is known.
    pub fn is_known(&self) -> bool {
        self.seen.is_some() || self.listed.is_some()
    }

    /// Whether an answer has said something that no renewal has reported.
    pub fn has_news(&self) -> bool {
        self.seen.is_some_and(|it| it.reported == 0)
    }

    /// Takes in what an answer says to a request that was sent at `sent`.
    pub fn note(&mut self, now: Time, sent: Time, notice: LimitNotice) {
        let before = self.value();
        match notice {
            LimitNotice::Named(value) => {
                if before != Some(value) {
                    self.seen = Some(Observation { value: Some(value), at: now, reported: 0 });
                } else if let Some((_, at)) = &mut self.listed {
                    *at = now;
                } else if let Some(seen) = &mut self.seen {
                    seen.at = now;
                }
            }
            LimitNotice::Absent if before.is_some() => {
                if self.named_at().is_none_or(|it| sent > it) {
                    self.seen = Some(Observation { value: None, at: sent, reported: 0 });
                }
            }
            LimitNotice::Absent | LimitNotice::Unreadable => {}
        }
    }

    /// Returns what renewal `seq` is to report, and when the endpoint said so. `whole` is
    /// whether the leader asked for all that is known.
    pub fn report(&mut self, seq: u64, whole: bool) -> Option<(Option<Rate>, Time)> {
        match (&mut self.seen, self.listed) {
            (Some(seen), _) => {
                seen.reported = if seen.reported == 0 { seq } else { seen.reported };
                Some((seen.value, seen.at))
            }
            (None, Some((value, at))) if whole => Some((Some(value), at)),
            (None, _) => None,
        }
    }

    /// Sets what the leader's list says.
    pub fn set_listed(&mut self, listed: Option<(Rate, Time)>) {
        self.listed = listed;
    }

    /// Forgets what the leader has taken into account with renewal `seq`.
    pub fn forget_reported(&mut self, seq: u64) {
        self.seen = self.seen.filter(|it| it.reported == 0 || it.reported > seq);
    }

    /// When the endpoint last named a number.
    fn named_at(&self) -> Option<Time> {
        let seen = self.seen.filter(|it| it.value.is_some()).map(|it| it.at);
        seen.max(self.listed.map(|(_, at)| at))
    }
}
