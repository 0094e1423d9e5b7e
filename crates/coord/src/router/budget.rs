//! The budget for retries and hedges, after "Handling Overload" in Site
//! Reliability Engineering (Beyer et al., 2016).

use crate::time::{Millis, Time};

/// How fast retries are earned and how many may be saved up. In any window
/// retries stay below `capacity` + `per_second` x its length + `ratio` x the first
/// attempts in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Retries earned by each second that passes, so that a quiet instance can
    /// retry as well.
    pub per_second: f64,
    /// The most retries saved up.
    pub capacity: f64,
}

impl Default for RetryBudgetConfig {
    /// A tenth of all attempts, after "Handling Overload".
    fn default() -> Self {
        Self { ratio: 0.1, per_second: 1.0, capacity: 20.0 }
    }
}

/// Tokens for retries.
#[derive(Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    tokens: f64,
    filled: Time,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(config: RetryBudgetConfig, now: Time) -> Self {
        Self { config, tokens: config.capacity, filled: now }
    }

    /// Takes in other config.
    pub fn reload(&mut self, config: RetryBudgetConfig) {
        self.config = config;
        self.tokens = self.tokens.min(config.capacity);
    }

    /// Earns a part of a retry by a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.config.ratio).min(self.config.capacity);
    }

    /// Spends one retry; false if none is left.
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
