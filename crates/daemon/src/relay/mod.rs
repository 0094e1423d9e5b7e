//! Relays requests byte for byte: callers on one side, endpoints on the other,
//! the stages of a request gathered into calls in between. Everything here
//! runs on the network thread; what it may do is decided in `coord::relay`.

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
