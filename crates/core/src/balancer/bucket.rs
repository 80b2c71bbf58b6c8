//! Token bucket for rate limits.

use std::time::Instant;

/// A token bucket that allows a fixed number of units per second on average, and bursts up to a
/// fixed size.
#[derive(Debug)]
pub struct Bucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a full bucket that allows `rate` units per second and `burst` units at once.
    pub fn new(now: Instant, rate: u32, burst: u32) -> Self {
        Self {
            rate_per_s: f64::from(rate),
            burst: f64::from(burst),
            tokens: f64::from(burst),
            refilled_at: now,
        }
    }

    /// Takes `units` if that many are available. Returns whether they were taken.
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

    /// Whether `units` are available.
    pub fn has(&mut self, now: Instant, units: u32) -> bool {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + self.rate_per_s * passed.as_secs_f64()).min(self.burst);
        self.tokens >= f64::from(units)
    }

    /// Takes `units` that were already spent without a check. The balance may become negative, down
    /// to the units of one second.
    pub fn charge(&mut self, now: Instant, units: u32) {
        self.has(now, 0);
        self.tokens = (self.tokens - f64::from(units)).max(-self.rate_per_s);
    }
}
