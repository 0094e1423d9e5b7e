//! Which relayed requests are admitted, and when callers of refused ones may retry.

mod retry_time;

pub use retry_time::RetryTime;
