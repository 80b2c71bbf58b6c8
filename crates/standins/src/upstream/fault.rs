//! Faults injected into an upstream.

use serde::{Deserialize, Serialize};

/// Faults of an upstream, in force until the next `POST /standin/fault`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Returns the upstream to a cold start once, now.
    pub cold: bool,
    /// Factor, at most 1000, by which all service times are multiplied.
    pub slow: f64,
    /// Number of coming answers that are truncated halfway, after the request ran.
    pub cut_answers: u64,
    /// Requests get no answer.
    pub hang: bool,
    /// Connections are closed at the first request, before it runs.
    pub refuse: bool,
    /// Refuses new requests while the running ones finish.
    pub drain: bool,
    /// The health and load endpoints always report an idle and healthy upstream.
    pub lie: bool,
    /// Requests affected by a collapse hang rather than fail.
    pub collapse_hangs: bool,
    /// Ends all open feeds once, now.
    pub end_feeds: bool,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            cold: false,
            slow: 1.0,
            cut_answers: 0,
            hang: false,
            refuse: false,
            drain: false,
            lie: false,
            collapse_hangs: false,
            end_feeds: false,
        }
    }
}
