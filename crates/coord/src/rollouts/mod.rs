//! Rollouts of a pool to a software version: how much is sent to the new version, and
//! whether it is good.
//!
//! Instances report to the leader what they send to both versions and how it is answered.
//! The leader grants single sends to the new version, each for a short time, so that their
//! sum stays under a bound whatever instances or leaders fail. It compares the versions
//! and decides when the pool is switched or rolled back.

mod comparison;
mod exposure;
mod gate_row;
mod message;
mod rollout_control;
mod rollout_gate;
mod rollout_send;
mod rollout_view;
mod score;
mod shared_rollouts;
mod switch_plan;
mod time_buckets;
mod trial_endpoints;

pub use {
    message::{EARLY_BIN, RolloutEvidence, RolloutGrant, RolloutReport, RolloutTotals},
    rollout_control::{RolloutControl, RolloutStart},
    rollout_gate::{GRANT_VALIDITY, RolloutGate, RolloutSide, SendKind, call_route},
    rollout_send::{RolloutAnswer, RolloutSend},
    rollout_view::{RolloutBounds, RolloutFigures, RolloutReason, RolloutView},
    shared_rollouts::SharedRollouts,
};
