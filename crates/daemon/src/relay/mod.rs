//! Relays requests byte for byte: callers on one side, endpoints on the other,
//! the stages of a request gathered into calls in between. Everything here
//! runs on the network thread; what it may do is decided in `coord::relay`.

mod dialect;
mod drain_state;
mod forward;
mod front;
mod gatherer;
mod links;
mod pieces;
mod pool;
mod record;
#[allow(clippy::module_inception)]
mod relay;
mod request;
mod response;
mod settings;
mod stages;
mod stream;
mod upstream;
mod view;

pub use {
    dialect::{BatchCodec, Dialect, HeaderNames, PieceInput, PieceItem},
    drain_state::{DrainPhase, DrainState},
    front::serve,
    pieces::{
        GatherAnswer, GatherAsk, GatherEvent, GatherReply, Handle, Made, PieceError, PieceResult,
    },
    relay::{Relay, RelayContext},
    settings::{RelaySettings, RetryLimits},
};
