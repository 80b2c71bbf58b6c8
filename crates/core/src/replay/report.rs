//! Result of a replay.

use super::{Decision, Expectation};

/// Decisions of a replay, violated invariants and unmet expectations.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Decisions in the order in which they were made.
    pub decisions: Vec<Decision>,
    /// Violations of the invariants that hold for every trace, and differences from the recording.
    pub violations: Vec<String>,
    /// Expectations that were not met.
    pub unmet: Vec<Expectation>,
    /// Number of expectations in the trace.
    pub expectation_count: usize,
}

impl Report {
    /// Whether there are no violations and every expectation was met.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.unmet.is_empty()
    }
}
