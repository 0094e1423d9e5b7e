//! Settings of the relay.

use {
    super::Dialect,
    coord::{router::RetryBudgetConfig, time::Millis},
    std::{net::SocketAddr, sync::Arc},
};

/// Retry limits that apply to all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelayBounds {
    /// Retries allowed per first attempt at a pool.
    pub retry_ratio: f64,
    /// Further retries allowed per pool and window.
    pub retry_slack: f64,
    /// The window to which `retry_slack` applies.
    pub retry_window: Millis,
}

impl Default for RelayBounds {
    /// Retries of a fifth of the requests, plus some for pools with little
    /// traffic; common for retry budgets ("Site Reliability Engineering",
    /// chapter 22).
    fn default() -> Self {
        Self { retry_ratio: 0.2, retry_slack: 50.0, retry_window: Millis(10_000) }
    }
}

impl RelayBounds {
    /// Returns the retry budget of one of `count` instances. Half of the slack is
    /// the bucket's capacity, the other half is refilled over the window.
    pub fn budget(&self, count: usize) -> RetryBudgetConfig {
        let slack = self.retry_slack / count.max(1) as f64;
        let seconds = self.retry_window.0 as f64 / 1000.0;
        RetryBudgetConfig {
            ratio: self.retry_ratio,
            per_second: slack / 2.0 / seconds,
            capacity: (slack / 2.0).max(1.0),
        }
    }
}

/// Listeners, wire format and retry limits of the relay.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// The listen address for callers.
    pub listen: SocketAddr,
    /// The listen address for the load balancer's readiness checks; without one,
    /// only the daemon's listener for callers answers them.
    pub readiness: Option<SocketAddr>,
    pub dialect: Arc<Dialect>,
    pub bounds: RelayBounds,
}

impl RelaySettings {
    /// Creates settings with the default dialect and limits.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            readiness: None,
            dialect: Arc::new(Dialect::default()),
            bounds: RelayBounds::default(),
        }
    }
}
