//! Claims of idempotency keys for requests that run at most once.
//!
//! A key is claimed before anything is sent, the parameters of a repeated
//! request are compared, and only known outcomes are stored, as described in
//! "Idempotency, and why exactly once is a story you tell the client".

mod claim;
#[allow(clippy::module_inception)]
mod claims;

pub use {
    claim::{
        Answer, Claim, ClaimError, ClaimOutcome, ClaimRequest, ClaimState, RequestDigest,
        Settlement,
    },
    claims::{Claims, KEY_RETENTION, MAX_CLAIMS, MAX_CLOCK_SKEW},
};
