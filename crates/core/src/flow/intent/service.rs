//! A service.

use serde::{Deserialize, Serialize};

/// What holds for all upstreams of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Requests a second that a cold upstream bears.
    pub cold_rate: f64,
}
