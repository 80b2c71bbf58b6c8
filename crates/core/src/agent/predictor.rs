//! Learnt service times.

use std::time::Duration;

use super::Weight;

/// Service time assumed while nothing is known.
const ASSUMED: Duration = Duration::from_millis(50);

/// Share of a new observation in the moving mean.
const GAIN: f64 = 0.1;

/// Moving means of the service time, one for each weight.
#[derive(Debug, Clone, Default)]
pub struct Predictor {
    small_s: Option<f64>,
    heavy_s: Option<f64>,
}

impl Predictor {
    /// Learns from a whole answer.
    pub fn observe(&mut self, weight: Weight, service: Duration) {
        let mean = match weight {
            Weight::Small => &mut self.small_s,
            Weight::Heavy => &mut self.heavy_s,
        };
        let new = service.as_secs_f64();
        *mean = Some(mean.map_or(new, |old| old + GAIN * (new - old)));
    }

    /// Expected service time; that of the other weight while this one is unknown, a default
    /// while both are.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sassafrasmast_core::agent::{Predictor, Weight};
    /// let mut predictor = Predictor::default();
    /// predictor.observe(Weight::Small, Duration::from_millis(40));
    /// assert_eq!(predictor.service(Weight::Small), Duration::from_millis(40));
    /// ```
    pub fn service(&self, weight: Weight) -> Duration {
        let (own, other) = match weight {
            Weight::Small => (self.small_s, self.heavy_s),
            Weight::Heavy => (self.heavy_s, self.small_s),
        };
        own.or(other).map_or(ASSUMED, Duration::from_secs_f64)
    }
}
