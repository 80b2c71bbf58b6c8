//! A service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What holds for all upstreams of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// How long an upstream is cold after its start.
    pub cold_for: Duration,
    /// Requests a second that a cold upstream bears.
    pub cold_rate: f64,
}
