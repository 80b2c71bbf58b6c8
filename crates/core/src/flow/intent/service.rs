//! A service.

use std::{
    hash::{Hash, Hasher},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// What holds for all upstreams of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Requests a second that a cold upstream bears.
    pub cold_rate: f64,
    /// Time for which an upstream is cold after its start; zero if operators state none.
    pub cold_for: Duration,
}

impl Hash for Service {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.cold_rate.to_bits().hash(state);
        self.cold_for.hash(state);
    }
}
