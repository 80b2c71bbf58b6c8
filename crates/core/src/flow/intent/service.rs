//! Limits of a service.

use std::{
    hash::{Hash, Hasher},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Limits that apply to each upstream of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Requests per second that a cold upstream can handle; zero if operators configured none.
    pub cold_rate: f64,
    /// Duration of the cold period after an upstream's start; zero if operators configured none.
    pub cold_for: Duration,
}

impl Hash for Service {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.cold_rate.to_bits().hash(state);
        self.cold_for.hash(state);
    }
}
