//! Outcomes that a trace states.

use std::time::Duration;

use sassafrasmast_wire::AgentId;
use serde::{Deserialize, Serialize};

use crate::{error, timeline::RequestId};

use super::{Decision, decision::What};

/// A stated outcome of a replay. Times are milliseconds since the first event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "expect", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Outcome {
    /// A process gives so many final answers.
    Answers {
        /// The process.
        process: String,
        /// How many answers.
        count: usize,
    },
    /// A request gets this final answer.
    Answer {
        /// The process.
        process: String,
        /// The request.
        request: RequestId,
        /// What its caller is told.
        outcome: error::Outcome,
        /// Why there is no answer of the upstream.
        #[serde(default)]
        kind: Option<error::Kind>,
        /// Latest time.
        #[serde(default)]
        by_ms: Option<u64>,
    },
    /// A request is handed over so often.
    HandedOver {
        /// The process.
        process: String,
        /// The request.
        request: RequestId,
        /// How often.
        count: usize,
    },
    /// No request is handed over in a span of time.
    NothingHandedOver {
        /// The process.
        process: String,
        /// Start of the span.
        from_ms: u64,
        /// End of the span.
        to_ms: u64,
    },
    /// The limit stays at or below a value in a span of time.
    LimitAtMost {
        /// The process.
        process: String,
        /// Start of the span.
        from_ms: u64,
        /// End of the span.
        to_ms: u64,
        /// The value.
        limit: u16,
    },
    /// The limit reaches a value by some time.
    LimitReaches {
        /// The process.
        process: String,
        /// Latest time.
        by_ms: u64,
        /// The value.
        limit: u16,
    },
    /// No flow is placed on an agent in a span of time.
    NotPlaced {
        /// The agent.
        agent: AgentId,
        /// Start of the span.
        from_ms: u64,
        /// End of the span.
        to_ms: u64,
    },
    /// At least so many flows are placed on an agent.
    Placed {
        /// The agent.
        agent: AgentId,
        /// At least so many.
        at_least: usize,
    },
    /// Each flow finds an agent.
    AllPlaced,
}

impl Outcome {
    /// Whether the decisions have this outcome.
    pub fn holds(&self, decisions: &[Decision]) -> bool {
        let count = |wanted: &dyn Fn(&Decision) -> bool| {
            decisions.iter().filter(|decision| wanted(decision)).count()
        };
        match self {
            Self::Answers {
                process,
                count: wanted,
            } => {
                count(&|d| d.process == *process && matches!(d.what, What::Answer { .. }))
                    == *wanted
            }
            Self::Answer { .. } => self.answered(decisions),
            Self::HandedOver {
                process,
                request,
                count: wanted,
            } => {
                let own = |d: &Decision| d.process == *process && d.request == Some(*request);
                count(&|d| own(d) && d.what == What::HandedOver) == *wanted
            }
            Self::NothingHandedOver {
                process,
                from_ms,
                to_ms,
            } => {
                let own = |d: &Decision| d.process == *process && within(d.at, *from_ms, *to_ms);
                count(&|d| own(d) && d.what == What::HandedOver) == 0
            }
            Self::LimitAtMost {
                process,
                from_ms,
                to_ms,
                limit,
            } => {
                let before = last_limit(decisions, process, *from_ms);
                let own = |d: &Decision| d.process == *process && within(d.at, *from_ms, *to_ms);
                let over = |d: &Decision| matches!(d.what, What::Limit(l) if l > *limit);
                before.is_some_and(|before| before <= *limit) && count(&|d| own(d) && over(d)) == 0
            }
            Self::LimitReaches {
                process,
                by_ms,
                limit,
            } => {
                let own = |d: &Decision| d.process == *process && within(d.at, 0, *by_ms);
                count(&|d| own(d) && matches!(d.what, What::Limit(l) if l >= *limit)) > 0
            }
            Self::NotPlaced {
                agent,
                from_ms,
                to_ms,
            } => {
                let own = |d: &Decision| within(d.at, *from_ms, *to_ms);
                count(&|d| own(d) && d.what == What::Placed(*agent)) == 0
            }
            Self::AllPlaced => count(&|d| matches!(d.what, What::Unplaced(_))) == 0,
            Self::Placed { agent, at_least } => {
                count(&|d| d.what == What::Placed(*agent)) >= *at_least
            }
        }
    }

    /// Whether the one answer of a request is the stated one.
    fn answered(&self, decisions: &[Decision]) -> bool {
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
        let own = |d: &&Decision| d.process == *process && d.request == Some(*request);
        let answer = decisions.iter().filter(own).find_map(|d| match d.what {
            What::Answer { outcome, kind } => Some((d.at, outcome, kind)),
            _ => None,
        });
        answer.is_some_and(|(at, told, why)| {
            told == *outcome
                && (kind.is_none() || why == *kind)
                && by_ms.is_none_or(|by| at <= Duration::from_millis(by))
        })
    }
}

fn within(at: Duration, from_ms: u64, to_ms: u64) -> bool {
    (Duration::from_millis(from_ms)..=Duration::from_millis(to_ms)).contains(&at)
}

/// The limit of a process at some time.
fn last_limit(decisions: &[Decision], process: &str, at_ms: u64) -> Option<u16> {
    let before = |d: &&Decision| d.process == process && d.at <= Duration::from_millis(at_ms);
    decisions
        .iter()
        .filter(before)
        .rev()
        .find_map(|d| match d.what {
            What::Limit(limit) => Some(limit),
            _ => None,
        })
}
