//! The result of a replay.

use super::{Decision, Outcome};

/// Decisions of a replay and what is wrong with them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Decisions in the order they were made.
    pub decisions: Vec<Decision>,
    /// Violations of what holds for every trace.
    pub violations: Vec<String>,
    /// Stated outcomes that did not come about.
    pub missed: Vec<Outcome>,
    /// How many outcomes were stated.
    pub stated: usize,
}

impl Report {
    /// Whether everything holds.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.missed.is_empty()
    }
}
