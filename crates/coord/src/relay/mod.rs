//! Decisions about relayed requests: which endpoint gets one, how pieces of
//! stages are gathered into calls, who gathers them, and what may be repeated.

mod attempts;
mod batch_queue;
mod holders;
mod home;
mod outlook;
mod placer;
mod plan;
mod shard;

pub use {
    attempts::{Attempts, Ended, Next},
    batch_queue::{BatchCall, BatchQueue, CallOutcome, GroupId, Piece, PieceId},
    holders::{entries, holders, rank},
    home::home,
    outlook::Outlook,
    placer::{Placer, Wish},
    plan::{Plan, Progress},
    shard::{Shard, is_split, shards},
};
