//! Learnt service times.

use std::time::Duration;

use super::SizeClass;

/// Service time assumed while nothing is known.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Share of a new observation in the moving mean.
const GAIN: f64 = 0.1;

/// Moving means of the service time, one for each size.
#[derive(Debug, Clone, Default)]
pub struct Predictor {
    small_s: Option<f64>,
    large_s: Option<f64>,
}

impl Predictor {
    /// Learns from a whole answer.
    pub fn observe(&mut self, size: SizeClass, service_time: Duration) {
        let mean = match size {
            SizeClass::Small => &mut self.small_s,
            SizeClass::Large => &mut self.large_s,
        };
        let new = service_time.as_secs_f64();
        *mean = Some(mean.map_or(new, |old| old + GAIN * (new - old)));
    }

    /// Expected service time; that of the other size while this one is unknown, a default
    /// while both are.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sassafrasmast_core::agent::{Predictor, SizeClass};
    /// let mut predictor = Predictor::default();
    /// predictor.observe(SizeClass::Small, Duration::from_millis(40));
    /// assert_eq!(predictor.service_time(SizeClass::Small), Duration::from_millis(40));
    /// ```
    pub fn service_time(&self, size: SizeClass) -> Duration {
        let (own, other) = match size {
            SizeClass::Small => (self.small_s, self.large_s),
            SizeClass::Large => (self.large_s, self.small_s),
        };
        own.or(other)
            .map_or(DEFAULT_SERVICE_TIME, Duration::from_secs_f64)
    }
}
