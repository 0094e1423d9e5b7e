//! HTTP relay between callers and endpoints. Requests are forwarded byte for byte,
//! after their stages have run in batched calls. Everything here runs on the
//! network thread; the decisions are made in `coord::relay`.

mod answer;
mod ask;
mod batcher;
mod batcher_clients;
mod counts;
mod dialect;
mod forward;
mod front;
mod pieces;
mod pool;
#[allow(clippy::module_inception)]
mod relay;
mod relayed;
mod settings;
mod stages;
mod stream;
mod upstream;
mod view;

pub use {
    dialect::{BatchCodec, Dialect, HeaderNames, PieceInput, PieceItem},
    front::serve,
    pieces::{
        BatcherEvent, Handle, PieceError, PieceResult, StageOutcome, StageReply, StageRequest,
        StoredResult,
    },
    relay::{Relay, RelayContext},
    relayed::{Phase, Relayed},
    settings::{RelayBounds, RelaySettings},
};
