//! A token bucket.

use std::time::Instant;

/// Allows `rate` units a second on average and `burst` units at once.
#[derive(Debug)]
pub struct Bucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// A full bucket.
    pub fn new(now: Instant, rate: u32, burst: u32) -> Self {
        Self {
            rate_per_s: f64::from(rate),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            refilled_at: now,
        }
    }

    /// Takes `units` if there are that many.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use sassafrasmast_core::balancer::Bucket;
    /// let now = Instant::now();
    /// let mut bucket = Bucket::new(now, 10, 2);
    /// assert!(bucket.take(now, 2));
    /// assert!(!bucket.take(now, 1));
    /// assert!(bucket.take(now + Duration::from_millis(100), 1));
    /// ```
    pub fn take(&mut self, now: Instant, units: u32) -> bool {
        let enough = self.has(now, units);
        if enough {
            self.tokens -= f64::from(units);
        }
        enough
    }

    /// Whether `units` are there.
    pub fn has(&mut self, now: Instant, units: u32) -> bool {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + self.rate_per_s * passed.as_secs_f64()).min(self.burst);
        self.tokens >= f64::from(units)
    }

    /// Takes `units` that were spent without asking, down to a debt of one second's rate.
    pub fn charge(&mut self, now: Instant, units: u32) {
        self.has(now, 0);
        self.tokens = (self.tokens - f64::from(units)).max(-self.rate_per_s);
    }
}
