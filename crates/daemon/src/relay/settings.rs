//! Settings of the relay.

use {
    super::Dialect,
    coord::{router::RetryBudgetConfig, time::Millis},
    std::{net::SocketAddr, sync::Arc},
};

/// Bounds that hold over all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelayBounds {
    /// Retries of a pool for each of its requests.
    pub retry_ratio: f64,
    /// Retries of a pool in a window beyond that.
    pub retry_slack: f64,
    /// The window over which retries are counted.
    pub retry_window: Millis,
}

impl Default for RelayBounds {
    /// A fifth of the requests and some for quiet pools; common for retry
    /// budgets ("Site Reliability Engineering", chapter 22).
    fn default() -> Self {
        Self { retry_ratio: 0.2, retry_slack: 50.0, retry_window: Millis(10_000) }
    }
}

impl RelayBounds {
    /// The part of the retry budget that one of `count` instances may spend.
    /// Half of the slack may be saved up, half comes over the window.
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

/// Where and how relayed requests are taken.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Where callers come in.
    pub listen: SocketAddr,
    /// Where the balancer asks whether callers may be sent here; without one
    /// the callers' listener of the daemon answers alone.
    pub readiness: Option<SocketAddr>,
    pub dialect: Arc<Dialect>,
    pub bounds: RelayBounds,
}

impl RelaySettings {
    /// The product's own dialect on an address.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            readiness: None,
            dialect: Arc::new(Dialect::default()),
            bounds: RelayBounds::default(),
        }
    }
}
