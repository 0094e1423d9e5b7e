//! Which endpoints began a stream, so that callers who take it up again get the rest from
//! the same software version. What several versions write doesn't fit together, and
//! endpoints don't check it.
//!
//! While all that a stream of a route can have come from is one version of one pool,
//! nothing is recorded. Otherwise instances record the streams that begin, and the
//! records are replicated by the voters.

mod message;
mod resume_filter;
mod stream_history;
mod stream_id;
mod stream_intake;
mod stream_ledger;
mod stream_origin;

pub use {
    message::{StreamAnswer, StreamGroup, StreamQuery},
    resume_filter::resume_filter,
    stream_history::{PastUse, StreamHistory},
    stream_id::{StreamId, StreamIdError},
    stream_intake::StreamIntake,
    stream_ledger::StreamLedger,
    stream_origin::StreamOrigin,
};
