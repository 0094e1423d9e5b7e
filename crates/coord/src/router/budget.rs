//! The budget for retries and hedges, after "Handling Overload" in Site
//! Reliability Engineering (Beyer et al., 2016).

use crate::time::{Millis, Time};

/// How fast retries are earned and how many may be saved up. In any window
/// retries stay below `most` + `per_second` x its length + `ratio` x the first
/// attempts in it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Retries earned by each second that passes, so that a quiet instance can
    /// retry as well.
    pub per_second: f64,
    /// The most retries saved up.
    pub most: f64,
}

impl Default for BudgetTerms {
    /// A tenth of all attempts, after "Handling Overload".
    fn default() -> Self {
        Self { ratio: 0.1, per_second: 1.0, most: 20.0 }
    }
}

/// Tokens for retries.
#[derive(Debug)]
pub struct RetryBudget {
    terms: BudgetTerms,
    tokens: f64,
    filled: Time,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(terms: BudgetTerms, now: Time) -> Self {
        Self { terms, tokens: terms.most, filled: now }
    }

    /// Takes in other terms.
    pub fn reload(&mut self, terms: BudgetTerms) {
        self.terms = terms;
        self.tokens = self.tokens.min(terms.most);
    }

    /// Earns a part of a retry by a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.terms.ratio).min(self.terms.most);
    }

    /// Spends one retry; false if none is left.
    pub fn spend(&mut self, now: Time) -> bool {
        let Millis(passed) = now.since(self.filled);
        self.filled = now;
        let earned = self.terms.per_second * passed as f64 / 1000.0;
        self.tokens = (self.tokens + earned).min(self.terms.most);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
