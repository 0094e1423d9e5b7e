//! Limits that endpoints name in their answers: how many requests a second they take
//! from all instances together.

mod limit_notice;

pub use limit_notice::{LimitNotice, MAX_LIMIT, parse_limit};
