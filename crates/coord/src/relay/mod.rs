//! Decisions about relayed requests: endpoint selection, batching of the pieces
//! of stages, assignment of shards to batchers, and retries.

mod answer_proof;
mod attempts;
mod batch_queue;
mod candidates;
mod endpoint_notices;
mod event_scanner;
mod placer;
mod preferred_domain;
mod queue_waits;
mod reach;
mod shard;
mod stage_plan;
mod trials;

pub use {
    answer_proof::{AnswerProof, DeliveredHandles},
    attempts::{AttemptOutcome, Attempts, NextAction},
    batch_queue::{BatchCall, BatchQueue, CallOutcome, GroupId, Piece, PieceId},
    candidates::{batcher_candidates, entry_addrs, is_peer_cut, rank},
    endpoint_notices::{Availability, EndpointNotice, EndpointNotices, MAX_PAUSE, parse_pause},
    event_scanner::EventScanner,
    placer::{Placer, Preferences},
    preferred_domain::preferred_domain,
    queue_waits::QueueWaits,
    reach::{Reach, Targets},
    shard::{Shard, is_split, shards},
    stage_plan::{StagePlan, StageProgress},
    trials::Trials,
};
