//! Deregistrations of endpoints that an instance is handling.
//!
//! An instance's copy of the tables may lack what was committed a moment ago, such as the
//! announcement of an endpoint that deregisters right after it has started. So a copy that
//! has nothing to mark as leaving proves nothing before it is known to be as recent as the
//! deregistration.

use crate::{
    ids::{EndpointName, Generation},
    tables::{Endpoint, EndpointState, Tables},
    time::{Millis, Time},
};

/// How long a deregistration may take; the endpoint repeats it.
const DEREGISTRATION_TIMEOUT: Millis = Millis(3000);

/// The next step of a deregistration. `T` is what identifies it to the embedder.
#[derive(Debug, PartialEq, Eq)]
pub enum DeregistrationStep<T> {
    /// Proposes this row, which marks the endpoint as leaving.
    Propose(Departure, Endpoint, T),
    /// Nothing is registered of that start of the endpoint, or an earlier one, that isn't
    /// marked as leaving.
    Done(T),
}

/// The start of an endpoint that deregisters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    pub name: EndpointName,
    /// `None` if the endpoint doesn't name it: then whichever is registered.
    pub generation: Option<Generation>,
}

#[derive(Debug)]
struct Waiting<T> {
    departure: Departure,
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
        departure: &Departure,
        tables: &Tables,
        ticket: T,
    ) -> Option<(Endpoint, T)> {
        match leaving_row(tables, departure) {
            Some(row) => Some((row, ticket)),
            None => {
                self.wait(now, departure.clone(), ticket);
                None
            }
        }
    }

    /// Lets a deregistration wait whose proposed row changed nothing: there is a newer row,
    /// or the endpoint is marked already.
    pub fn wait(&mut self, now: Time, departure: Departure, ticket: T) {
        let expires = now + DEREGISTRATION_TIMEOUT;
        self.waiting.push(Waiting { departure, since: now, expires, ticket });
    }

    /// Returns the next steps now that the tables hold all that was committed at `asked`.
    pub fn refresh(&mut self, asked: Time, tables: &Tables) -> Vec<DeregistrationStep<T>> {
        let ready = self.waiting.extract_if(.., |it| it.since <= asked);
        let step = |it: Waiting<T>| match leaving_row(tables, &it.departure) {
            Some(row) => DeregistrationStep::Propose(it.departure, row, it.ticket),
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

/// The row that marks a start of an endpoint as leaving, if the tables hold one of it, or of
/// an earlier start, that isn't.
fn leaving_row(tables: &Tables, departure: &Departure) -> Option<Endpoint> {
    let row = tables.endpoints.get(&departure.name)?;
    let generation = departure.generation.unwrap_or(row.generation);
    let is_due = row.state != EndpointState::Leaving && row.generation <= generation;
    is_due.then(|| Endpoint { state: EndpointState::Leaving, generation, ..row.clone() })
}
