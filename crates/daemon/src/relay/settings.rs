//! Settings of the relay.

use {
    super::Dialect,
    coord::{router::RetryBudgetConfig, time::Millis},
    std::{net::SocketAddr, sync::Arc},
};

/// Retry limits that apply to all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per first attempt at a pool.
    pub ratio: f64,
    /// Further retries allowed per pool and window.
    pub slack: f64,
    /// The window to which `slack` applies.
    pub window: Millis,
}

impl Default for RetryLimits {
    /// Retries of a fifth of the requests, plus some for pools with little
    /// traffic; common for retry budgets ("Site Reliability Engineering",
    /// chapter 22).
    fn default() -> Self {
        Self { ratio: 0.2, slack: 50.0, window: Millis(10_000) }
    }
}

impl RetryLimits {
    /// Returns the retry budget of one of `count` instances. Half of the slack is
    /// the bucket's capacity, the other half is refilled over the window.
    pub fn instance_budget(&self, count: usize) -> RetryBudgetConfig {
        let slack = self.slack / count.max(1) as f64;
        let seconds = self.window.0 as f64 / 1000.0;
        RetryBudgetConfig {
            ratio: self.ratio,
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
    pub retry_limits: RetryLimits,
    /// How long an endpoint that says that it is leaving may get requests that no
    /// other endpoint can serve.
    pub leave_grace: Millis,
}

/// Half of the time for which endpoints commonly serve after they say that they are
/// leaving.
pub const LEAVE_GRACE_DEFAULT: Millis = Millis(1000);

impl RelaySettings {
    /// Creates settings with the default dialect and limits.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            readiness: None,
            dialect: Arc::new(Dialect::default()),
            retry_limits: RetryLimits::default(),
            leave_grace: LEAVE_GRACE_DEFAULT,
        }
    }
}
