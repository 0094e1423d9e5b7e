//! Records of streams on their way into the log.

use {
    super::{StreamGroup, StreamId, StreamOrigin},
    crate::{
        control::Token,
        ids::{EndpointName, Generation},
        tables::Tables,
        time::{Millis, Time},
    },
    indexmap::IndexMap,
};

/// How long records are collected for one entry of the log.
const COLLECT_TIME: Millis = Millis(50);

/// The leader's collected records, and who waits for their entry.
#[derive(Debug, Default)]
pub struct StreamIntake {
    records: IndexMap<StreamOrigin, Vec<StreamId>>,
    tokens: Vec<Token>,
    since: Time,
}

impl StreamIntake {
    /// Adds the records of one instance. Those of an endpoint that has started anew meanwhile
    /// are left out: it isn't known which of its versions began them.
    pub fn add(&mut self, now: Time, token: Token, groups: &[StreamGroup], tables: &Tables) {
        if self.tokens.is_empty() {
            self.since = now;
        }
        self.tokens.push(token);
        for it in groups {
            let is_current = |(name, generation): &(EndpointName, Generation)| {
                tables.endpoints.get(name).is_some_and(|row| {
                    row.generation == *generation && StreamOrigin::of(row) == it.origin
                })
            };
            if it.endpoint.as_ref().is_some_and(is_current) {
                self.records.entry(it.origin.clone()).or_default().extend(&it.ids);
            }
        }
    }

    /// Takes the records for an entry, if it is time, and who waits for it.
    pub fn take_due(&mut self, now: Time) -> Option<(Vec<StreamGroup>, Vec<Token>)> {
        if self.tokens.is_empty() || now.since(self.since) < COLLECT_TIME {
            return None;
        }
        let rows = std::mem::take(&mut self.records).into_iter();
        let groups = rows.map(|(origin, ids)| StreamGroup { origin, endpoint: None, ids });
        Some((groups.collect(), std::mem::take(&mut self.tokens)))
    }

    /// Takes everyone who waits, when the records can't be written.
    pub fn fail(&mut self) -> Vec<Token> {
        self.records.clear();
        std::mem::take(&mut self.tokens)
    }
}
