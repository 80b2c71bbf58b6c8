//! What a balancer knows about one agent from its own frames.

use std::time::{Duration, Instant};

use sassafrasmast_wire::{Incarnation, Load, State};

/// Probes without an answer that make an agent suspect.
const SUSPECT_PROBES: u32 = 3;

/// Silence that makes an agent suspect.
const SUSPECT_SILENCE: Duration = Duration::from_secs(1);

/// Least time between two probes of an answering agent, and age of a report worth refreshing.
const PROBE_GAP: Duration = Duration::from_millis(450);

/// Longest time between two probes of a silent agent.
const MAX_PROBE_GAP: Duration = Duration::from_secs(5);

/// Time in which half of the flows placed lately shows up in the agent's reports.
const PENDING_HALF_LIFE: Duration = Duration::from_millis(50);

/// Time for which an agent that handed a flow back is avoided.
const REFUSAL: Duration = Duration::from_millis(100);

/// Least time between two placements of the trickle to a cold or unknown agent.
const TRICKLE_GAP: Duration = Duration::from_millis(100);

/// Latest report and liveness of one agent.
#[derive(Debug)]
pub(super) struct Member {
    /// Latest report.
    pub(super) load: Load,
    /// Latest incarnation; 0 before the first report.
    pub(super) incarnation: Incarnation,
    /// Packets sent to the agent since the last probe.
    pub(super) used: u32,
    /// The last report differed from the one before in state or limit.
    pub(super) changed: bool,
    /// Whether the agent is on the list of those used or changed lately.
    pub(super) hot: bool,
    since: Instant,
    heard: Option<Instant>,
    probed: Option<Instant>,
    missed: u32,
    pending: f64,
    pending_at: Instant,
    refused: Option<Instant>,
}

impl Member {
    /// An agent that was never heard.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            load: Load::default(),
            incarnation: 0,
            used: 0,
            changed: false,
            hot: false,
            since: now,
            heard: None,
            probed: None,
            missed: 0,
            pending: 0.0,
            pending_at: now,
            refused: None,
        }
    }

    /// Takes a report; one of an older incarnation is ignored while the newer one answers. Returns
    /// whether it was taken. A replaced machine whose clock is behind is thus heard in the end.
    pub(super) fn report(&mut self, now: Instant, incarnation: Incarnation, load: Load) -> bool {
        if incarnation < self.incarnation && !self.is_suspect(now) {
            return false;
        }
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            self.pending = 0.0;
            self.refused = None;
        }
        let differs = load.state != self.load.state || load.limit != self.load.limit;
        self.changed |= self.is_known() && differs;
        self.load = load;
        self.heard = Some(now);
        self.missed = 0;
        true
    }

    /// Whether the agent was ever heard.
    pub(super) fn is_known(&self) -> bool {
        self.heard.is_some()
    }

    /// Time since the agent was last heard, if it ever was.
    pub(super) fn age(&self, now: Instant) -> Option<Duration> {
        self.heard.map(|heard| now.saturating_duration_since(heard))
    }

    /// Whether the agent misses probes, so that no new flow should go there.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.missed >= SUSPECT_PROBES && self.silence(now) >= SUSPECT_SILENCE
    }

    /// Whether the agent was silent, despite probes, for longer than flows live.
    pub(super) fn is_dead(&self, now: Instant, idle_timeout: Duration) -> bool {
        self.missed >= SUSPECT_PROBES && self.silence(now) > idle_timeout
    }

    /// Counts silence from `now` on: the silence so far was this process's own.
    pub(super) fn forgive(&mut self, now: Instant) {
        self.since = now;
        self.missed = 0;
        self.probed = None;
    }

    /// Whether a probe is worth its bytes now.
    pub(super) fn wants_probe(&self, now: Instant) -> bool {
        let gap = PROBE_GAP
            .saturating_mul(1 << self.missed.saturating_sub(SUSPECT_PROBES).min(4))
            .min(MAX_PROBE_GAP);
        let due =
            |at: Option<Instant>| at.is_none_or(|at| now.saturating_duration_since(at) >= gap);
        due(self.probed) && due(self.heard)
    }

    /// Notes a probe that was sent.
    pub(super) fn probe(&mut self, now: Instant) {
        self.probed = Some(now);
        self.missed = self.missed.saturating_add(1);
        self.used = 0;
        self.changed = false;
    }

    /// Marks the agent as used or changed lately. Returns whether it was not marked before.
    pub(super) fn warm(&mut self) -> bool {
        !std::mem::replace(&mut self.hot, true)
    }

    /// Notes a packet sent to the agent.
    pub(super) fn touch(&mut self) {
        self.used = self.used.saturating_add(1);
    }

    /// Notes a flow placed on the agent.
    pub(super) fn place(&mut self, now: Instant) {
        self.pending = self.pending(now) + 1.0;
        self.pending_at = now;
        self.touch();
    }

    /// Notes a flow handed back by the agent.
    pub(super) fn refuse(&mut self, now: Instant) {
        self.pending = (self.pending(now) - 1.0).max(0.0);
        self.pending_at = now;
        self.refused = Some(now);
    }

    /// Whether the agent handed a flow back a moment ago.
    pub(super) fn refused_lately(&self, now: Instant) -> bool {
        let recent = |at| now.saturating_duration_since(at) < REFUSAL;
        self.refused.is_some_and(recent)
    }

    /// Whether one flow of the trickle may go to this cold or unknown agent.
    pub(super) fn takes_trickle(&self, now: Instant) -> bool {
        let rested = now.saturating_duration_since(self.pending_at) >= TRICKLE_GAP;
        rested && self.is_known() && self.load.state == State::Cold && self.occupancy(now) < 1.0
    }

    /// Requests running, waiting and expected, as a share of the agent's limit.
    pub(super) fn occupancy(&self, now: Instant) -> f64 {
        let requests = f64::from(self.load.running) + f64::from(self.load.queued);
        (requests + self.pending(now)) / f64::from(self.load.limit.max(1))
    }

    /// Flows placed here that the agent's report does not show yet.
    pub(super) fn pending(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.pending_at);
        self.pending * (-age.as_secs_f64() / PENDING_HALF_LIFE.as_secs_f64()).exp2()
    }

    fn silence(&self, now: Instant) -> Duration {
        let last = self.heard.map_or(self.since, |heard| heard.max(self.since));
        now.saturating_duration_since(last)
    }
}
