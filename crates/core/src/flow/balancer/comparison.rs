//! Whether a balancer's own path to agents is good, told from agents that answer.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

/// Time between rounds of probes.
const COMPARE_EVERY: Duration = Duration::from_millis(100);

/// Time over which all rounds must have been answered before silence is another's fault: with it
/// four probes of each agent went over a good path.
const GOOD_FOR: Duration = Duration::from_millis(300);

/// Rounds of probes to agents that answer, while others are silent. A round that is not answered
/// in whole before the next one shows that the silence may be this side's.
#[derive(Debug, Default)]
pub struct Comparison {
    sent_at: Option<Instant>,
    /// What the probes of the present round carry.
    stamp: u64,
    /// Agents that have not answered it.
    missing: Vec<SocketAddrV4>,
    good_since: Option<Instant>,
}

impl Comparison {
    /// Whether a round is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.sent_at
            .is_none_or(|at| now.saturating_duration_since(at) >= COMPARE_EVERY)
    }

    /// Notes a round of probes to `agents` that carry `stamp`.
    pub fn begin_round(&mut self, now: Instant, stamp: u64, agents: Vec<SocketAddrV4>) {
        let in_series = self
            .sent_at
            .is_some_and(|at| now.saturating_duration_since(at) < 2 * COMPARE_EVERY);
        if !self.missing.is_empty() || !in_series {
            self.good_since = None;
        }
        self.sent_at = Some(now);
        self.stamp = stamp;
        self.missing = agents;
    }

    /// Notes an agent's answer to a probe that carried `stamp`.
    pub fn note_answer(&mut self, from: SocketAddrV4, stamp: u64) {
        if stamp != self.stamp || self.missing.is_empty() {
            return;
        }
        self.missing.retain(|agent| *agent != from);
        if self.missing.is_empty() {
            self.good_since = self.good_since.or(self.sent_at);
        }
    }

    /// Until when the path is known to have been good: questions sent for some time before were
    /// answered by whoever could.
    pub fn proven_until(&self) -> Option<Instant> {
        let sent_at = self.sent_at.filter(|_| self.missing.is_empty())?;
        let good_for = sent_at.saturating_duration_since(self.good_since?);
        (good_for >= GOOD_FOR).then_some(sent_at)
    }
}
