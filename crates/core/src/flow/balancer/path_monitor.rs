//! Detects whether a balancer's own path to agents works, by probing agents that answer.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

/// Interval between rounds of probes.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time over which all rounds must have been answered before an agent's silence is attributed to
/// the agent and not to the balancer's path. It spans four probes to each agent.
const MIN_GOOD_TIME: Duration = Duration::from_millis(300);

/// Rounds of probes to agents that answer, sent while other agents are silent. If a round is not
/// answered completely before the next one, the balancer's own path may be the cause.
#[derive(Debug, Default)]
pub struct PathMonitor {
    sent_at: Option<Instant>,
    /// Timestamp in the probes of the current round.
    timestamp: u64,
    /// Agents that have not answered the current round.
    unanswered: Vec<SocketAddrV4>,
    good_since: Option<Instant>,
}

impl PathMonitor {
    /// Whether a round is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.sent_at
            .is_none_or(|at| now.saturating_duration_since(at) >= ROUND_INTERVAL)
    }

    /// Records a round of probes to `agents` that carry `timestamp`.
    pub fn begin_round(&mut self, now: Instant, timestamp: u64, agents: Vec<SocketAddrV4>) {
        let is_consecutive = self
            .sent_at
            .is_some_and(|at| now.saturating_duration_since(at) < 2 * ROUND_INTERVAL);
        if !self.unanswered.is_empty() || !is_consecutive {
            self.good_since = None;
        }
        self.sent_at = Some(now);
        self.timestamp = timestamp;
        self.unanswered = agents;
    }

    /// Records an agent's answer to a probe that carried `timestamp`.
    pub fn record_answer(&mut self, from: SocketAddrV4, timestamp: u64) {
        if timestamp != self.timestamp || self.unanswered.is_empty() {
            return;
        }
        self.unanswered.retain(|agent| *agent != from);
        if self.unanswered.is_empty() {
            self.good_since = self.good_since.or(self.sent_at);
        }
    }

    /// Time until which the path is known to have been good, if so: if an agent did not answer
    /// packets sent for some time before then, the agent and not the path is the cause.
    pub fn path_good_until(&self) -> Option<Instant> {
        let sent_at = self.sent_at.filter(|_| self.unanswered.is_empty())?;
        let good_for = sent_at.saturating_duration_since(self.good_since?);
        (good_for >= MIN_GOOD_TIME).then_some(sent_at)
    }
}
