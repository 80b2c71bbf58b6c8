//! Reported load of peer agents.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use sassafrasmast_wire::{AgentId, Load};

/// Age from which a report is no longer used.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Time for which no request is relayed to a peer after a failed relay.
const AVOID_FOR: Duration = Duration::from_secs(2);

/// Latency added by a relay: about two messages between zones, and queueing in the runtime.
const RELAY_LATENCY: Duration = Duration::from_millis(5);

/// The expected latency grows by the age of the report divided by this.
const AGE_DIVISOR: u32 = 10;

/// Last load reports of the peers of the same service.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    reports: BTreeMap<AgentId, Report>,
}

/// The last report of one peer.
#[derive(Debug, Clone)]
struct Report {
    load: Load,
    at: Instant,
    /// Requests relayed to the peer since the report.
    relayed_since: u32,
    avoid_until: Option<Instant>,
}

impl Peers {
    /// Stores a report.
    pub fn report(&mut self, now: Instant, agent: AgentId, load: Load) {
        let avoid_until = self
            .reports
            .get(&agent)
            .and_then(|report| report.avoid_until);
        let report = Report {
            load,
            at: now,
            relayed_since: 0,
            avoid_until,
        };
        self.reports.insert(agent, report);
    }

    /// Removes peers that are not in `peers`.
    pub fn retain(&mut self, peers: &BTreeSet<AgentId>) {
        self.reports.retain(|agent, _| peers.contains(agent));
    }

    /// Counts a relay to a peer.
    pub fn count_relay(&mut self, agent: AgentId) {
        if let Some(report) = self.reports.get_mut(&agent) {
            report.relayed_since += 1;
        }
    }

    /// Excludes a peer for `AVOID_FOR` after a failed relay.
    pub fn avoid(&mut self, now: Instant, agent: AgentId) {
        if let Some(report) = self.reports.get_mut(&agent) {
            report.avoid_until = Some(now + AVOID_FOR);
        }
    }

    /// The peer with the shortest expected latency, and that latency, including the relay.
    /// `service_time` is the expected service time of requests relayed since the peer's report.
    pub fn best(&self, now: Instant, service_time: Duration) -> Option<(AgentId, Duration)> {
        let usable = self.reports.iter().filter(|(_, report)| report.usable(now));
        usable
            .map(|(agent, report)| (*agent, report.expected_latency(now, service_time)))
            .min_by_key(|(_, expected)| *expected)
    }
}

impl Report {
    fn usable(&self, now: Instant) -> bool {
        let fresh = now.saturating_duration_since(self.at) < MAX_REPORT_AGE;
        let avoided = self.avoid_until.is_some_and(|until| now < until);
        fresh && !avoided && self.load.state.takes_work()
    }

    fn expected_latency(&self, now: Instant, service_time: Duration) -> Duration {
        let age = now.saturating_duration_since(self.at);
        let load = &self.load;
        let limit = u32::from(load.limit.max(1));
        let occupied = u32::from(load.running) + u32::from(load.queued) + self.relayed_since;
        // Requests relayed since the report that find no free slot.
        let excess = (occupied + 1).saturating_sub(limit).min(self.relayed_since);
        RELAY_LATENCY + load.wait() + age / AGE_DIVISOR + service_time * excess / limit
    }
}
