//! Deregistrations of endpoints that an instance is handling.
//!
//! An instance's copy of the tables may lack what was committed a moment ago, such as the
//! announcement of an endpoint that deregisters right after it has started. So a copy that
//! has nothing to mark as leaving proves nothing before it is known to be as recent as the
//! deregistration.

use crate::{
    ids::EndpointName,
    tables::{Endpoint, EndpointState, Tables},
    time::{Millis, Time},
};

/// How long a deregistration may take; the endpoint repeats it.
const DEREGISTRATION_TIMEOUT: Millis = Millis(3000);

/// The next step of a deregistration. `T` is what identifies it to the embedder.
#[derive(Debug, PartialEq, Eq)]
pub enum DeregistrationStep<T> {
    /// Proposes this row, which marks the endpoint as leaving.
    Propose(Endpoint, T),
    /// Nothing of the endpoint is registered that isn't marked as leaving.
    Done(T),
}

#[derive(Debug)]
struct Waiting<T> {
    name: EndpointName,
    /// The time of which the copy has to be.
    since: Time,
    expires: Time,
    ticket: T,
}

/// Deregistrations that wait for a more recent copy of the tables.
#[derive(Debug)]
pub struct Deregistrations<T> {
    waiting: Vec<Waiting<T>>,
}

impl<T> Default for Deregistrations<T> {
    fn default() -> Self {
        Self { waiting: Vec::new() }
    }
}

impl<T> Deregistrations<T> {
    /// Takes in a deregistration. Returns the row to propose, or nothing if it waits.
    pub fn begin(
        &mut self,
        now: Time,
        name: &EndpointName,
        tables: &Tables,
        ticket: T,
    ) -> Option<(Endpoint, T)> {
        match leaving_row(tables, name) {
            Some(row) => Some((row, ticket)),
            None => {
                self.wait(now, name.clone(), ticket);
                None
            }
        }
    }

    /// Lets a deregistration wait whose proposed row changed nothing: there is a newer row,
    /// or the endpoint is marked already.
    pub fn wait(&mut self, now: Time, name: EndpointName, ticket: T) {
        let expires = now + DEREGISTRATION_TIMEOUT;
        self.waiting.push(Waiting { name, since: now, expires, ticket });
    }

    /// Returns the next steps now that the tables hold all that was committed at `asked`.
    pub fn refresh(&mut self, asked: Time, tables: &Tables) -> Vec<DeregistrationStep<T>> {
        let ready = self.waiting.extract_if(.., |it| it.since <= asked);
        let step = |it: Waiting<T>| match leaving_row(tables, &it.name) {
            Some(row) => DeregistrationStep::Propose(row, it.ticket),
            None => DeregistrationStep::Done(it.ticket),
        };
        ready.map(step).collect()
    }

    /// Takes out the deregistrations that have waited for too long.
    pub fn expire(&mut self, now: Time) -> Vec<T> {
        self.waiting.extract_if(.., |it| now >= it.expires).map(|it| it.ticket).collect()
    }

    /// Whether a more recent copy of the tables is waited for.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// The row that marks an endpoint as leaving, if the tables hold one that isn't.
fn leaving_row(tables: &Tables, name: &EndpointName) -> Option<Endpoint> {
    let row = tables.endpoints.get(name).filter(|it| it.state != EndpointState::Leaving)?;
    Some(Endpoint { state: EndpointState::Leaving, ..row.clone() })
}
