//! A balancer's state of one agent and its upstream.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use sassafrasmast_wire::Incarnation;

use super::{Report, ServiceName, State, ZoneName, deadline};

/// An agent counts as silent if it has sent no frame for this long after a packet that it should
/// answer: several round trips between zones and one scheduling delay.
pub const AGENT_SILENT_AFTER: Duration = Duration::from_millis(80);

/// An agent that sent a frame within this time counts as alive, even if the store does not list it.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time from the end of an agent that is restarted as planned until it runs again.
const MAX_RESTART_TIME: Duration = Duration::from_secs(4);

/// Time for which a report's load is used in full: about the duration of two requests.
const REPORT_VALIDITY: Duration = Duration::from_millis(100);

/// Time after [`REPORT_VALIDITY`] in which the weight of a report's load falls linearly to zero.
const REPORT_DECAY: Duration = Duration::from_millis(400);

/// Time for which an upstream that bounced a SYN is selected only if no other one is left. This is
/// enough for a full queue to shrink by a few requests; a process that is starting takes longer and
/// is avoided again after its next bounce.
const SHED_PENALTY_TIME: Duration = Duration::from_millis(150);

/// Load of an open flow without a request in progress, in slots. A feed, a long-lived flow, sends
/// about one request per second, which takes some 30 ms of work: 0.03 slots, rounded up.
const IDLE_FLOW_LOAD: f64 = 0.04;

/// Requests in progress per slot from which on an upstream counts as full.
const MAX_BUSY_PER_SLOT: f64 = 2.0;

/// Time for which the time that an upstream takes for a request is used after the agent has sent it.
/// Agents repeat it every 2 s while they get flows; an upstream that gets none is tried again.
const SERVICE_TIME_VALIDITY: Duration = Duration::from_secs(10);

/// Shortest time for which agents take work ahead of free slots, as in `agent::Work`.
const MIN_WORK_AHEAD: Duration = Duration::from_millis(10);

/// Uncertain wait at an upstream whose slots are just all taken, as a fraction of the time in a slot.
/// It grows with the square of the load up to there.
const WAIT_AT_FULL: f64 = 0.25;

/// A balancer's state of one agent and its upstream.
#[derive(Debug, Clone)]
pub struct Member {
    /// Address at which the agent receives frames.
    pub address: SocketAddrV4,
    /// The service of its upstream.
    pub service: ServiceName,
    /// The availability zone of both.
    pub zone: ZoneName,
    /// The agent's last report.
    pub report: Report,
    /// When the agent's last frame arrived.
    pub last_frame_at: Option<Instant>,
    /// When the agent last stated that it is not about to be restarted: by a frame, or by its entry in a
    /// list that the store has confirmed.
    pub steady_at: Option<Instant>,
    /// Whether the agent's entry says that it is being restarted as planned; `None` if it does not tell.
    pub listed_restarting: Option<bool>,
    /// Whether the store lists the agent.
    pub listed: bool,
    /// When the store stopped listing the agent.
    pub unlisted_at: Option<Instant>,
    /// When the first packet was sent that the agent has not answered; `None` if no answer is
    /// pending.
    pub unanswered_since: Option<Instant>,
    /// When the agent was last probed.
    pub probed_at: Option<Instant>,
    /// When its upstream last bounced a SYN.
    pub shed_at: Option<Instant>,
    /// Flows placed since the last report.
    pub placed_since_report: u16,
    /// Time that the upstream takes for a request in a slot, and when the agent sent it.
    pub time_in_slot: Option<(Duration, Instant)>,
}

impl Member {
    /// A member that the store lists.
    pub fn listed(
        address: SocketAddrV4,
        service: ServiceName,
        zone: ZoneName,
        report: Report,
    ) -> Self {
        Self {
            address,
            service,
            zone,
            report,
            last_frame_at: None,
            steady_at: None,
            listed_restarting: None,
            listed: true,
            unlisted_at: None,
            unanswered_since: None,
            probed_at: None,
            shed_at: None,
            placed_since_report: 0,
            time_in_slot: None,
        }
    }

    /// Stores a report that arrived from the agent itself. An agent that was restarted knows its
    /// upstream only after the next announcement: until then an upstream that was leaving still is.
    pub fn record_report(&mut self, now: Instant, report: Report) {
        let was_leaving = matches!(self.report.state, State::Draining | State::Gone);
        let state = match report.state {
            State::Unknown if was_leaving => self.report.state,
            state => state,
        };
        if report.upstream != self.report.upstream {
            self.time_in_slot = None;
        }
        if !report.stopping {
            self.steady_at = Some(now);
        }
        self.report = Report { state, ..report };
        self.placed_since_report = 0;
        self.last_frame_at = Some(now);
        self.unanswered_since = None;
    }

    /// Records the agent's incarnation by its entry. The silence of an earlier one says nothing of a process
    /// that has started meanwhile.
    pub fn record_incarnation(&mut self, now: Instant, incarnation: Incarnation) {
        if incarnation != self.report.agent {
            self.report.agent = incarnation;
            self.report.stopping = false;
            self.unanswered_since = self.unanswered_since.map(|_| now);
        }
    }

    /// Records that the agent's entry stands as it is known in a list of `at`.
    pub fn confirm_entry(&mut self, at: Instant) {
        if self.listed && self.listed_restarting == Some(false) {
            self.steady_at = self.steady_at.max(Some(at));
        }
    }

    /// Stores the time that the upstream takes for a request in a slot.
    pub fn record_service_time(&mut self, now: Instant, time: Duration) {
        self.time_in_slot = Some((time, now));
    }

    /// Time that the upstream takes for a request in a slot, if the agent has sent it lately.
    pub fn service_time(&self, now: Instant) -> Option<Duration> {
        let (time, at) = self.time_in_slot?;
        let age = now.saturating_duration_since(at);
        (age < SERVICE_TIME_VALIDITY).then_some(time)
    }

    /// Expected wait of a new flow for a slot in seconds, if a request takes `time` in a slot. Some of
    /// the busy flows only open while the new one does: what the agent has room for beside the work
    /// that it takes ahead needs no wait.
    pub fn expected_wait(&self, now: Instant, time: Duration) -> f64 {
        let slots = f64::from(self.report.slots.max(1));
        let load = self.load(now);
        let beyond_slots = load * slots + 1.0 - slots;
        let beyond = if self.states_room() {
            let ahead = (time / 2).max(MIN_WORK_AHEAD).as_secs_f64();
            let beyond_room = ahead * slots / time.as_secs_f64().max(1e-6) + 1.0 - self.free(now);
            beyond_slots.min(beyond_room)
        } else {
            beyond_slots
        };
        time.as_secs_f64() * beyond.max(0.0) / slots
    }

    /// Wait that is added to the expected one, since the load may have changed since the report. It
    /// makes balancers with reports of different ages spread their SYNs over free upstreams.
    pub fn uncertain_wait(&self, now: Instant, time: Duration) -> f64 {
        time.as_secs_f64() * WAIT_AT_FULL * self.load(now).min(1.0).powi(2)
    }

    /// Records that a packet was sent to the agent that it should answer.
    pub fn expect_answer(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether the agent has not answered for [`AGENT_SILENT_AFTER`].
    pub fn is_agent_silent(&self, now: Instant) -> bool {
        self.is_unanswered_for(now, AGENT_SILENT_AFTER)
    }

    /// Whether the agent left packets unanswered for `timeout` while this balancer's path to other
    /// agents worked, as known up to `path_good_until`; otherwise the balancer itself may be cut off.
    pub fn is_unreachable(&self, path_good_until: Option<Instant>, timeout: Duration) -> bool {
        self.unanswered_since
            .is_some_and(|since| path_good_until >= Some(since + timeout))
    }

    /// Whether the flows at an agent that is unreachable are lost: it was not stopped as planned, or it
    /// would run again by now. An agent that is stopped says so for `stop_grace` before it ends, in its
    /// frames and in its entry. So one that did not say so within that time before its silence has
    /// failed; of one that was not heard of, nothing is known. One that is no longer listed has ended.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use sassafrasmast_core::flow::{Member, Report};
    /// let address = "10.0.0.1:7000".parse().unwrap();
    /// let mut agent = Member::listed(address, "booking".into(), "zone-a".into(), Report::default());
    /// let (now, grace) = (Instant::now(), Duration::from_secs(6));
    /// agent.expect_answer(now);
    /// let later = Some(now + Duration::from_secs(1));
    /// assert!(!agent.has_failed(later, grace));
    /// agent.listed_restarting = Some(false);
    /// agent.confirm_entry(now);
    /// assert!(agent.has_failed(later, grace));
    /// ```
    pub fn has_failed(&self, path_good_until: Option<Instant>, stop_grace: Duration) -> bool {
        let Some(silent_since) = self.unanswered_since else {
            return false;
        };
        let is_restarting = self.report.stopping || self.listed_restarting == Some(true);
        let was_steady = self
            .steady_at
            .is_some_and(|at| deadline(at, stop_grace) >= silent_since);
        !is_restarting && (was_steady || !self.listed)
            || self.is_unreachable(path_good_until, MAX_RESTART_TIME)
    }

    /// Whether the agent has not answered for `timeout`, whether the agent or this balancer's own
    /// path is the cause.
    pub fn is_unanswered_for(&self, now: Instant, timeout: Duration) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.saturating_duration_since(since) >= timeout)
    }

    /// Whether a frame of the agent arrived within [`LIVENESS_TIMEOUT`].
    pub fn is_alive(&self, now: Instant) -> bool {
        self.last_frame_at
            .is_some_and(|at| now.saturating_duration_since(at) < LIVENESS_TIMEOUT)
    }

    /// Whether new flows may be placed on the agent's upstream.
    pub fn accepts_flows(&self, now: Instant) -> bool {
        self.is_usable(now) && self.has_room(now)
    }

    /// Whether new flows may be placed on the agent's upstream once it has room.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.report.state.accepts_flows()
            && (self.listed || self.is_alive(now))
            && !self.is_agent_silent(now)
    }

    /// Whether the upstream has room for a new flow.
    fn has_room(&self, now: Instant) -> bool {
        if !self.states_room() {
            return !self.is_full(now);
        }
        self.free(now) > 0.0
    }

    /// New flows that the upstream can take now, by the agent's last report and what was placed there
    /// since. Requests are taken to have finished as the report ages, but not at upstreams whose new
    /// flows are limited in number.
    fn free(&self, now: Instant) -> f64 {
        let is_limited = matches!(self.report.state, State::Cold | State::Unknown);
        let free = f64::from(self.report.headroom);
        let finished = if is_limited {
            0.0
        } else {
            f64::from(self.report.busy) * (1.0 - self.report_weight(now))
        };
        free + finished - f64::from(self.placed_since_report)
    }

    /// Whether the agent's reports state the room at its upstream, which earlier builds do not.
    pub fn states_room(&self) -> bool {
        self.report.headroom != u16::MAX
    }

    /// Whether the upstream bounced a SYN within `SHED_PENALTY_TIME`.
    pub fn has_shed(&self, now: Instant) -> bool {
        self.shed_at
            .is_some_and(|at| now.saturating_duration_since(at) < SHED_PENALTY_TIME)
    }

    /// Weight of the last report, which falls with its age.
    fn report_weight(&self, now: Instant) -> f64 {
        self.last_frame_at.map_or(0.0, |at| {
            let overdue = now
                .saturating_duration_since(at)
                .saturating_sub(REPORT_VALIDITY);
            1.0 - (overdue.as_secs_f64() / REPORT_DECAY.as_secs_f64()).min(1.0)
        })
    }

    /// Estimated requests in progress.
    fn busy(&self, now: Instant) -> f64 {
        f64::from(self.report.busy) * self.report_weight(now) + f64::from(self.placed_since_report)
    }

    /// Whether the upstream has as many requests in progress as it can answer in time, for agents
    /// that do not state it.
    fn is_full(&self, now: Instant) -> bool {
        self.busy(now) >= f64::from(self.report.slots.max(1)) * MAX_BUSY_PER_SLOT
    }

    /// Estimated load, as a fraction of the upstream's slots.
    pub fn load(&self, now: Instant) -> f64 {
        let slots = f64::from(self.report.slots.max(1));
        (self.busy(now) + f64::from(self.report.flows) * IDLE_FLOW_LOAD) / slots
    }
}
