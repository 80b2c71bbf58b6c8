//! Expectations that a trace states about its replay.

use std::time::Duration;

use sassafrasmast_wire::AgentId;
use serde::{Deserialize, Serialize};

use crate::{error, timeline::RequestId};

use super::{Decision, decision::DecisionKind};

/// An expectation about the decisions of a replay. Times are milliseconds since the first event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "expect", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Expectation {
    /// A process gives exactly this number of final answers.
    Answers {
        /// The process.
        process: String,
        /// Number of answers.
        count: usize,
    },
    /// A request gets this final answer.
    Answer {
        /// The process.
        process: String,
        /// The request.
        request: RequestId,
        /// Outcome reported to the caller.
        outcome: error::Outcome,
        /// Error kind; not checked if absent.
        #[serde(default)]
        kind: Option<error::Kind>,
        /// Latest time of the answer; not checked if absent.
        #[serde(default)]
        by_ms: Option<u64>,
    },
    /// A request is handed over exactly this number of times.
    HandedOver {
        /// The process.
        process: String,
        /// The request.
        request: RequestId,
        /// Number of hand-overs.
        count: usize,
    },
    /// No request is handed over in a time range.
    NothingHandedOver {
        /// The process.
        process: String,
        /// Start of the range.
        from_ms: u64,
        /// End of the range.
        to_ms: u64,
    },
    /// The concurrency limit stays at or below a value in a time range. Not met if the process has
    /// set no limit by the start of the range.
    LimitAtMost {
        /// The process.
        process: String,
        /// Start of the range.
        from_ms: u64,
        /// End of the range.
        to_ms: u64,
        /// Highest limit.
        limit: u16,
    },
    /// The concurrency limit reaches a value by some time.
    LimitReaches {
        /// The process.
        process: String,
        /// Latest time.
        by_ms: u64,
        /// Limit to reach.
        limit: u16,
    },
    /// No flow is placed on an agent in a time range.
    NotPlaced {
        /// The agent.
        agent: AgentId,
        /// Start of the range.
        from_ms: u64,
        /// End of the range.
        to_ms: u64,
    },
    /// At least this number of flows is placed on an agent.
    Placed {
        /// The agent.
        agent: AgentId,
        /// Smallest number of flows.
        at_least: usize,
    },
    /// Every flow is placed on an agent.
    AllPlaced,
}

impl Expectation {
    /// Whether the decisions meet this expectation.
    pub fn is_met(&self, decisions: &[Decision]) -> bool {
        let count = |wanted: &dyn Fn(&Decision) -> bool| {
            decisions.iter().filter(|decision| wanted(decision)).count()
        };
        match self {
            Self::Answers {
                process,
                count: wanted,
            } => {
                count(&|d| d.process == *process && matches!(d.kind, DecisionKind::Answer { .. }))
                    == *wanted
            }
            Self::Answer { .. } => self.answer_matches(decisions),
            Self::HandedOver {
                process,
                request,
                count: wanted,
            } => {
                let own = |d: &Decision| d.process == *process && d.request == Some(*request);
                count(&|d| own(d) && d.kind == DecisionKind::HandedOver) == *wanted
            }
            Self::NothingHandedOver {
                process,
                from_ms,
                to_ms,
            } => {
                let own = |d: &Decision| d.process == *process && within(d.at, *from_ms, *to_ms);
                count(&|d| own(d) && d.kind == DecisionKind::HandedOver) == 0
            }
            Self::LimitAtMost {
                process,
                from_ms,
                to_ms,
                limit,
            } => {
                let before = last_limit(decisions, process, *from_ms);
                let own = |d: &Decision| d.process == *process && within(d.at, *from_ms, *to_ms);
                let over = |d: &Decision| matches!(d.kind, DecisionKind::Limit(l) if l > *limit);
                before.is_some_and(|before| before <= *limit) && count(&|d| own(d) && over(d)) == 0
            }
            Self::LimitReaches {
                process,
                by_ms,
                limit,
            } => {
                let own = |d: &Decision| d.process == *process && within(d.at, 0, *by_ms);
                count(&|d| own(d) && matches!(d.kind, DecisionKind::Limit(l) if l >= *limit)) > 0
            }
            Self::NotPlaced {
                agent,
                from_ms,
                to_ms,
            } => {
                let in_range = |d: &Decision| within(d.at, *from_ms, *to_ms);
                count(&|d| in_range(d) && d.kind == DecisionKind::Placed(*agent)) == 0
            }
            Self::AllPlaced => count(&|d| matches!(d.kind, DecisionKind::Unplaced(_))) == 0,
            Self::Placed { agent, at_least } => {
                count(&|d| d.kind == DecisionKind::Placed(*agent)) >= *at_least
            }
        }
    }

    /// Whether the first answer to the request is the expected one.
    fn answer_matches(&self, decisions: &[Decision]) -> bool {
        let Self::Answer {
            process,
            request,
            outcome,
            kind,
            by_ms,
        } = self
        else {
            return false;
        };
        let of_request = |d: &&Decision| d.process == *process && d.request == Some(*request);
        let answer = decisions
            .iter()
            .filter(of_request)
            .find_map(|d| match d.kind {
                DecisionKind::Answer { outcome, kind } => Some((d.at, outcome, kind)),
                _ => None,
            });
        answer.is_some_and(|(at, actual_outcome, actual_kind)| {
            actual_outcome == *outcome
                && (kind.is_none() || actual_kind == *kind)
                && by_ms.is_none_or(|by| at <= Duration::from_millis(by))
        })
    }
}

fn within(at: Duration, from_ms: u64, to_ms: u64) -> bool {
    (Duration::from_millis(from_ms)..=Duration::from_millis(to_ms)).contains(&at)
}

/// The concurrency limit of a process at `at_ms`; `None` if none was set by then.
fn last_limit(decisions: &[Decision], process: &str, at_ms: u64) -> Option<u16> {
    let before = |d: &&Decision| d.process == process && d.at <= Duration::from_millis(at_ms);
    decisions
        .iter()
        .filter(before)
        .rev()
        .find_map(|d| match d.kind {
            DecisionKind::Limit(limit) => Some(limit),
            _ => None,
        })
}
