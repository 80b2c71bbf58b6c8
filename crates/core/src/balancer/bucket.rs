//! A token bucket.

use std::time::Instant;

/// Allows `rate` units a second on average and `burst` units at once.
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled: Instant,
}

impl Bucket {
    /// A full bucket.
    pub fn new(now: Instant, rate: u32, burst: u32) -> Self {
        Self {
            rate: f64::from(rate),
            burst: f64::from(burst),
            level: f64::from(burst),
            filled: now,
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
            self.level -= f64::from(units);
        }
        enough
    }

    /// Whether `units` are there.
    pub fn has(&mut self, now: Instant, units: u32) -> bool {
        let passed = now.saturating_duration_since(self.filled);
        self.filled = self.filled.max(now);
        self.level = (self.level + self.rate * passed.as_secs_f64()).min(self.burst);
        self.level >= f64::from(units)
    }

    /// Takes `units` that were spent without asking, down to a debt of one second's rate.
    pub fn charge(&mut self, now: Instant, units: u32) {
        self.has(now, 0);
        self.level = (self.level - f64::from(units)).max(-self.rate);
    }
}
