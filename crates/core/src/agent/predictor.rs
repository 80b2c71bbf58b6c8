//! Prediction of service times.

use std::time::Duration;

use super::SizeClass;

/// Service time assumed before the first answer.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(50);

/// Weight of a new observation in the moving mean.
const GAIN: f64 = 0.1;

/// Exponentially weighted moving means of the service time, one for each size class.
#[derive(Debug, Clone, Default)]
pub struct Predictor {
    small_s: Option<f64>,
    large_s: Option<f64>,
}

impl Predictor {
    /// Adds the service time of a complete answer.
    pub fn observe(&mut self, size: SizeClass, service_time: Duration) {
        let mean = match size {
            SizeClass::Small => &mut self.small_s,
            SizeClass::Large => &mut self.large_s,
        };
        let new = service_time.as_secs_f64();
        *mean = Some(mean.map_or(new, |old| old + GAIN * (new - old)));
    }

    /// Expected service time of a size class. While it is unknown, that of the other class is used,
    /// or `DEFAULT_SERVICE_TIME` if both are unknown.
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
