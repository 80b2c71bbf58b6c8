//! Faults of an upstream.

use serde::{Deserialize, Serialize};

/// Faults that an upstream obeys until told otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Falls back into a cold start now, once.
    pub cold: bool,
    /// Factor of all service times.
    pub slow: f64,
    /// Number of coming answers that are cut in their middle, after the request ran.
    pub cut_answers: u64,
    /// Requests get no answer at all.
    pub hang: bool,
    /// Connections are closed at the first request, before it runs.
    pub refuse: bool,
    /// Refuses new work while it finishes the open one.
    pub drain: bool,
    /// Health and load endpoints always tell of an idle and healthy upstream.
    pub lie: bool,
    /// Requests of a collapse hang rather than fail.
    pub collapse_hangs: bool,
    /// Ends all feeds now, once.
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
