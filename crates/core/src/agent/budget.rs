//! Token buckets.

use std::time::Instant;

/// A token bucket filled by traffic, by time, or by both.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
    capacity: f64,
    per_s: f64,
    refilled: Instant,
}

impl Budget {
    /// Creates an empty bucket of `capacity` tokens that earns `per_s` tokens per second.
    pub fn new(capacity: f64, per_s: f64, now: Instant) -> Self {
        Self {
            tokens: 0.0,
            capacity,
            per_s,
            refilled: now,
        }
    }

    /// Changes the tokens earned per second.
    pub fn set_rate(&mut self, now: Instant, per_s: f64) {
        self.refill(now);
        self.per_s = per_s;
    }

    /// Adds tokens, up to the capacity.
    pub fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }

    /// Takes one token; returns `false` if there is none.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use sassafrasmast_core::agent::Budget;
    /// let now = Instant::now();
    /// let mut budget = Budget::new(5.0, 1.0, now);
    /// assert!(!budget.spend(now));
    /// assert!(budget.spend(now + Duration::from_secs(1)));
    /// ```
    pub fn spend(&mut self, now: Instant) -> bool {
        self.refill(now);
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        self.earn(elapsed.as_secs_f64() * self.per_s);
    }
}
