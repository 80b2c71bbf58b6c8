//! A token bucket.

use std::time::Instant;

/// Earned by traffic, by time, or by both; spent one token at a time.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
    most: f64,
    per_s: f64,
    refilled: Instant,
}

impl Budget {
    /// An empty bucket that holds `most` tokens and earns `per_s` tokens a second.
    pub fn new(most: f64, per_s: f64, now: Instant) -> Self {
        Self {
            tokens: 0.0,
            most,
            per_s,
            refilled: now,
        }
    }

    /// Changes what the bucket earns by time.
    pub fn set_rate(&mut self, now: Instant, per_s: f64) {
        self.refill(now);
        self.per_s = per_s;
    }

    /// Earns `tokens` by traffic.
    pub fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.most);
    }

    /// Spends one token; `false` if there is none.
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
