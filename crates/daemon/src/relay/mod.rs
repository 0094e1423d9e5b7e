//! HTTP relay between callers and endpoints. Requests are forwarded byte for byte,
//! after their stages have run in batched calls. Everything here runs on the
//! network thread; the decisions are made in `coord::relay`.

mod batcher;
mod batcher_clients;
mod body_check;
mod choice;
mod clock;
mod crash_watch;
mod dialect;
mod drain_state;
mod endpoint_checks;
mod forward;
mod framing;
mod front;
mod hand_over;
mod hand_over_mark;
mod handed_body;
mod notices;
mod pieces;
mod placement;
mod progress;
mod reach_watch;
mod record;
#[allow(clippy::module_inception)]
mod relay;
mod request;
mod response;
mod rollouts;
mod settings;
mod shard_batcher;
mod shared_stream;
mod stages;
mod stream;
mod stream_recorder;
mod upstream;
mod view;

pub use {
    dialect::{BatchCodec, Dialect, HeaderNames, PieceInput, PieceItem},
    drain_state::{DrainPhase, DrainState},
    front::serve,
    notices::log_limit,
    pieces::{
        BatcherEvent, Handle, PieceError, PieceResult, StageOutcome, StageReply, StageRequest,
        StoredResult,
    },
    relay::{Relay, RelayContext},
    settings::{LEAVE_GRACE_DEFAULT, RelaySettings, RetryLimits},
};
