//! How much an endpoint gets that goes down when it rejects too many requests in a second.

use {super::MIN_LIMIT, crate::ids::Rate};

/// The part of the named number that is granted a second beside what ended requests make room
/// for. Grants and credit are saved for up to half a second, so that one and a half times as many
/// can arrive in one; the rest is a margin.
const BASE_PERCENT: u64 = 60;

/// Returns the rate of grants for an endpoint that may reject this number of requests in a
/// second: all of them may be rejected.
pub(super) fn base_rate(rejections: Rate) -> Rate {
    Rate(rejections.0 * BASE_PERCENT / 100).max(MIN_LIMIT)
}
