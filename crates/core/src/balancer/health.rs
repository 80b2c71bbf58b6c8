//! Load and liveness of one agent, as observed by this balancer.

use std::time::{Duration, Instant};

use sassafrasmast_wire::{Incarnation, Load, State};

/// Unanswered probes after which an agent can become suspect or count as dead.
const SUSPECT_PROBES: u32 = 3;

/// Silence after which an agent with [`SUSPECT_PROBES`] unanswered probes is suspect.
const SUSPECT_SILENCE: Duration = Duration::from_secs(1);

/// Minimum time between two probes of an agent that answers, and minimum age of its last report
/// before the next probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(450);

/// Upper limit of the exponential backoff between two probes of a silent agent.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which half of the flows placed on an agent are assumed to appear in its reports.
const PENDING_HALF_LIFE: Duration = Duration::from_millis(50);

/// Time for which an agent that handed a flow back is avoided.
const HANDBACK_COOLDOWN: Duration = Duration::from_millis(100);

/// Minimum time after a placement or handback before a cold agent may receive a slow-start flow.
const SLOW_START_INTERVAL: Duration = Duration::from_millis(100);

/// Latest report, liveness and recent placements of one agent.
#[derive(Debug)]
pub(super) struct Health {
    /// Load in the latest report.
    pub(super) load: Load,
    /// Incarnation in the latest report; 0 before the first report.
    pub(super) incarnation: Incarnation,
    /// Datagrams routed to the agent since the last probe.
    pub(super) datagrams_since_probe: u32,
    /// Whether state or limit changed in a report since the last probe.
    pub(super) state_or_limit_changed: bool,
    /// Whether the agent is on the prober's priority list.
    pub(super) prioritized: bool,
    silence_start: Instant,
    last_report_at: Option<Instant>,
    last_probe_at: Option<Instant>,
    unanswered_probes: u32,
    pending_flows: f64,
    pending_updated_at: Instant,
    last_handback_at: Option<Instant>,
}

impl Health {
    /// Creates the record of an agent that has not reported yet.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            load: Load::default(),
            incarnation: 0,
            datagrams_since_probe: 0,
            state_or_limit_changed: false,
            prioritized: false,
            silence_start: now,
            last_report_at: None,
            last_probe_at: None,
            unanswered_probes: 0,
            pending_flows: 0.0,
            pending_updated_at: now,
            last_handback_at: None,
        }
    }

    /// Records a report. A report of an older incarnation is ignored unless the agent is suspect;
    /// accepting it then lets a replacement machine whose clock is behind take over the id. Returns
    /// whether the report was recorded.
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
            self.last_handback_at = None;
        }
        let differs = load.state != self.load.state || load.limit != self.load.limit;
        self.state_or_limit_changed |= self.has_reported() && differs;
        self.load = load;
        self.last_report_at = Some(now);
        self.unanswered_probes = 0;
        true
    }

    /// Whether any report of the agent was received.
    pub(super) fn has_reported(&self) -> bool {
        self.last_report_at.is_some()
    }

    /// Time since the last report, if there is one.
    pub(super) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.last_report_at
            .map(|heard| now.saturating_duration_since(heard))
    }

    /// Whether the agent fails to answer probes, so that it must not receive new flows.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.unanswered_probes >= SUSPECT_PROBES && self.silence(now) >= SUSPECT_SILENCE
    }

    /// Whether the agent has been silent, despite probes, for longer than `dead_after`.
    pub(super) fn is_dead(&self, now: Instant, dead_after: Duration) -> bool {
        self.unanswered_probes >= SUSPECT_PROBES && self.silence(now) > dead_after
    }

    /// Measures the agent's silence from `now` on. Called after this process was paused or
    /// isolated: silence before that says nothing about the agent.
    pub(super) fn restart_silence(&mut self, now: Instant) {
        self.silence_start = now;
        self.unanswered_probes = 0;
        self.last_probe_at = None;
    }

    /// Whether the next probe is due.
    pub(super) fn is_probe_due(&self, now: Instant) -> bool {
        let interval = PROBE_INTERVAL
            .saturating_mul(1 << self.unanswered_probes.saturating_sub(SUSPECT_PROBES).min(4))
            .min(MAX_PROBE_INTERVAL);
        let due =
            |at: Option<Instant>| at.is_none_or(|at| now.saturating_duration_since(at) >= interval);
        due(self.last_probe_at) && due(self.last_report_at)
    }

    /// Records a probe that was sent.
    pub(super) fn record_probe(&mut self, now: Instant) {
        self.last_probe_at = Some(now);
        self.unanswered_probes = self.unanswered_probes.saturating_add(1);
        self.datagrams_since_probe = 0;
        self.state_or_limit_changed = false;
    }

    /// Marks the agent as being on the prober's priority list. Returns whether it was not marked
    /// before; it must then be added to the list.
    pub(super) fn prioritize(&mut self) -> bool {
        !std::mem::replace(&mut self.prioritized, true)
    }

    /// Records a datagram routed to the agent.
    pub(super) fn record_datagram(&mut self) {
        self.datagrams_since_probe = self.datagrams_since_probe.saturating_add(1);
    }

    /// Records a flow placed on the agent.
    pub(super) fn record_placement(&mut self, now: Instant) {
        self.pending_flows = self.pending_flows(now) + 1.0;
        self.pending_updated_at = now;
        self.record_datagram();
    }

    /// Records a flow handed back by the agent.
    pub(super) fn record_handback(&mut self, now: Instant) {
        self.pending_flows = (self.pending_flows(now) - 1.0).max(0.0);
        self.pending_updated_at = now;
        self.last_handback_at = Some(now);
    }

    /// Whether the agent handed a flow back within [`HANDBACK_COOLDOWN`].
    pub(super) fn handed_back_recently(&self, now: Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) < HANDBACK_COOLDOWN;
        self.last_handback_at.is_some_and(recent)
    }

    /// Whether the agent may receive a slow-start flow, that is, a flow placed on a cold agent
    /// although other agents are ready.
    pub(super) fn takes_slow_start_flow(&self, now: Instant) -> bool {
        let interval_passed =
            now.saturating_duration_since(self.pending_updated_at) >= SLOW_START_INTERVAL;
        interval_passed
            && self.has_reported()
            && self.load.state == State::Cold
            && self.occupancy(now) < 1.0
    }

    /// Running, queued and pending requests as a share of the agent's limit.
    pub(super) fn occupancy(&self, now: Instant) -> f64 {
        let requests = f64::from(self.load.running) + f64::from(self.load.queued);
        (requests + self.pending_flows(now)) / f64::from(self.load.limit.max(1))
    }

    /// Estimated number of flows placed here that the agent's reports do not show yet; decays with
    /// [`PENDING_HALF_LIFE`].
    pub(super) fn pending_flows(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.pending_updated_at);
        self.pending_flows * (-age.as_secs_f64() / PENDING_HALF_LIFE.as_secs_f64()).exp2()
    }

    fn silence(&self, now: Instant) -> Duration {
        let last = self
            .last_report_at
            .map_or(self.silence_start, |heard| heard.max(self.silence_start));
        now.saturating_duration_since(last)
    }
}
