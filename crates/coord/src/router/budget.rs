//! Token bucket that limits retries and hedges, after "Handling Overload" in
//! Site Reliability Engineering (Beyer et al., 2016).

use crate::time::{Millis, Time};

/// The refill rates and capacity of a [`RetryBudget`]. In any window, retries
/// stay below `capacity` + `per_second` x its length in seconds + `ratio` x the
/// first attempts in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Tokens added per first attempt.
    pub ratio: f64,
    /// Tokens added per second, so that an instance with little traffic can
    /// retry too.
    pub per_second: f64,
    /// The maximum number of tokens.
    pub capacity: f64,
}

impl Default for RetryBudgetConfig {
    /// A tenth of all attempts, as in "Handling Overload".
    fn default() -> Self {
        Self { ratio: 0.1, per_second: 1.0, capacity: 20.0 }
    }
}

/// Token bucket for retries: each costs one token.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    tokens: f64,
    filled: Time,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(config: RetryBudgetConfig, now: Time) -> Self {
        Self { config, tokens: config.capacity, filled: now }
    }

    /// Changes the rates and the capacity; excess tokens are dropped.
    pub fn reload(&mut self, config: RetryBudgetConfig) {
        self.config = config;
        self.tokens = self.tokens.min(config.capacity);
    }

    /// Adds the tokens for one first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.config.ratio).min(self.config.capacity);
    }

    /// Spends one token; false if there is none.
    pub fn spend(&mut self, now: Time) -> bool {
        let Millis(passed) = now.since(self.filled);
        self.filled = now;
        let earned = self.config.per_second * passed as f64 / 1000.0;
        self.tokens = (self.tokens + earned).min(self.config.capacity);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
