//! What a balancer knows about one agent from its own frames.

use std::time::{Duration, Instant};

use sassafrasmast_wire::{Incarnation, Load, State};

/// Probes without an answer that make an agent suspect.
const SUSPECT_PROBES: u32 = 3;

/// Silence that makes an agent suspect.
const SUSPECT_SILENCE: Duration = Duration::from_secs(1);

/// Least time between two probes of an answering agent, and age of a report worth refreshing.
const PROBE_INTERVAL: Duration = Duration::from_millis(450);

/// Longest time between two probes of a silent agent.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Time in which half of the flows placed lately shows up in the agent's reports.
const PENDING_HALF_LIFE: Duration = Duration::from_millis(50);

/// Time for which an agent that handed a flow back is avoided.
const HANDBACK_COOLDOWN: Duration = Duration::from_millis(100);

/// Least time between two placements of the trickle to a cold or unknown agent.
const SLOW_START_INTERVAL: Duration = Duration::from_millis(100);

/// Latest report and liveness of one agent.
#[derive(Debug)]
pub(super) struct Member {
    /// Latest report.
    pub(super) load: Load,
    /// Latest incarnation; 0 before the first report.
    pub(super) incarnation: Incarnation,
    /// Packets sent to the agent since the last probe.
    pub(super) packets_since_probe: u32,
    /// The last report differed from the one before in state or limit.
    pub(super) changed: bool,
    /// Whether the agent is on the list of those used or changed lately.
    pub(super) prioritized: bool,
    silence_start: Instant,
    last_report: Option<Instant>,
    last_probe: Option<Instant>,
    unanswered_probes: u32,
    pending_flows: f64,
    pending_updated: Instant,
    last_handback: Option<Instant>,
}

impl Member {
    /// An agent that was never heard.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            load: Load::default(),
            incarnation: 0,
            packets_since_probe: 0,
            changed: false,
            prioritized: false,
            silence_start: now,
            last_report: None,
            last_probe: None,
            unanswered_probes: 0,
            pending_flows: 0.0,
            pending_updated: now,
            last_handback: None,
        }
    }

    /// Takes a report; one of an older incarnation is ignored while the newer one answers. Returns
    /// whether it was taken. A replaced machine whose clock is behind is thus heard in the end.
    pub(super) fn record_report(
        &mut self,
        now: Instant,
        incarnation: Incarnation,
        load: Load,
    ) -> bool {
        if incarnation < self.incarnation && !self.is_suspect(now) {
            return false;
        }
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            self.pending_flows = 0.0;
            self.last_handback = None;
        }
        let differs = load.state != self.load.state || load.limit != self.load.limit;
        self.changed |= self.has_reported() && differs;
        self.load = load;
        self.last_report = Some(now);
        self.unanswered_probes = 0;
        true
    }

    /// Whether the agent was ever heard.
    pub(super) fn has_reported(&self) -> bool {
        self.last_report.is_some()
    }

    /// Time since the agent was last heard, if it ever was.
    pub(super) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.last_report
            .map(|heard| now.saturating_duration_since(heard))
    }

    /// Whether the agent misses probes, so that no new flow should go there.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.unanswered_probes >= SUSPECT_PROBES && self.silence(now) >= SUSPECT_SILENCE
    }

    /// Whether the agent was silent, despite probes, for longer than flows live.
    pub(super) fn is_dead(&self, now: Instant, idle_timeout: Duration) -> bool {
        self.unanswered_probes >= SUSPECT_PROBES && self.silence(now) > idle_timeout
    }

    /// Counts silence from `now` on: the silence so far was this process's own.
    pub(super) fn restart_silence(&mut self, now: Instant) {
        self.silence_start = now;
        self.unanswered_probes = 0;
        self.last_probe = None;
    }

    /// Whether a probe is worth its bytes now.
    pub(super) fn is_probe_due(&self, now: Instant) -> bool {
        let interval = PROBE_INTERVAL
            .saturating_mul(1 << self.unanswered_probes.saturating_sub(SUSPECT_PROBES).min(4))
            .min(MAX_PROBE_INTERVAL);
        let due =
            |at: Option<Instant>| at.is_none_or(|at| now.saturating_duration_since(at) >= interval);
        due(self.last_probe) && due(self.last_report)
    }

    /// Notes a probe that was sent.
    pub(super) fn record_probe(&mut self, now: Instant) {
        self.last_probe = Some(now);
        self.unanswered_probes = self.unanswered_probes.saturating_add(1);
        self.packets_since_probe = 0;
        self.changed = false;
    }

    /// Marks the agent as used or changed lately. Returns whether it was not marked before.
    pub(super) fn prioritize(&mut self) -> bool {
        !std::mem::replace(&mut self.prioritized, true)
    }

    /// Notes a packet sent to the agent.
    pub(super) fn record_packet(&mut self) {
        self.packets_since_probe = self.packets_since_probe.saturating_add(1);
    }

    /// Notes a flow placed on the agent.
    pub(super) fn record_placement(&mut self, now: Instant) {
        self.pending_flows = self.pending_flows(now) + 1.0;
        self.pending_updated = now;
        self.record_packet();
    }

    /// Notes a flow handed back by the agent.
    pub(super) fn record_handback(&mut self, now: Instant) {
        self.pending_flows = (self.pending_flows(now) - 1.0).max(0.0);
        self.pending_updated = now;
        self.last_handback = Some(now);
    }

    /// Whether the agent handed a flow back a moment ago.
    pub(super) fn handed_back_recently(&self, now: Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) < HANDBACK_COOLDOWN;
        self.last_handback.is_some_and(recent)
    }

    /// Whether one flow of the trickle may go to this cold or unknown agent.
    pub(super) fn takes_slow_start_flow(&self, now: Instant) -> bool {
        let interval_passed =
            now.saturating_duration_since(self.pending_updated) >= SLOW_START_INTERVAL;
        interval_passed
            && self.has_reported()
            && self.load.state == State::Cold
            && self.occupancy(now) < 1.0
    }

    /// Requests running, waiting and expected, as a share of the agent's limit.
    pub(super) fn occupancy(&self, now: Instant) -> f64 {
        let requests = f64::from(self.load.running) + f64::from(self.load.queued);
        (requests + self.pending_flows(now)) / f64::from(self.load.limit.max(1))
    }

    /// Flows placed here that the agent's report does not show yet.
    pub(super) fn pending_flows(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.pending_updated);
        self.pending_flows * (-age.as_secs_f64() / PENDING_HALF_LIFE.as_secs_f64()).exp2()
    }

    fn silence(&self, now: Instant) -> Duration {
        let last = self
            .last_report
            .map_or(self.silence_start, |heard| heard.max(self.silence_start));
        now.saturating_duration_since(last)
    }
}
