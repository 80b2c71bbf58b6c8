//! What a balancer knows of one agent and its upstream.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Report, ServiceName, State, ZoneName, agent::BUSY_PER_SLOT};

/// Time without any frame after an opening packet before the agent counts as silent: several
/// round trips between zones and one late wake-up.
pub const SILENT_AFTER: Duration = Duration::from_millis(80);

/// An agent that was heard directly within this time lives, whatever the store says of it.
pub const HEARD_RECENTLY: Duration = Duration::from_secs(3);

/// Longest time between a planned stop of an agent and its next start.
const RESTART_TIME: Duration = Duration::from_secs(4);

/// Time for which a report's load holds: about that of two requests.
const REPORT_HOLDS: Duration = Duration::from_millis(100);

/// Time in which a report's load then comes to say nothing.
const REPORT_FADES: Duration = Duration::from_millis(400);

/// How long an upstream that gave an opening packet back is the last choice: queues shrink within
/// a few requests, and a process that starts takes longer than that.
const SHED_FOR: Duration = Duration::from_millis(150);

/// Load that one open flow without a request in progress stands for, in slots: feeds ask about
/// once a second for some 30 ms of work.
const IDLE_FLOW_LOAD: f64 = 0.04;

/// What a balancer knows of one agent and its upstream.
#[derive(Debug, Clone)]
pub struct Member {
    /// Where the agent takes frames.
    pub address: SocketAddrV4,
    /// The service of its upstream.
    pub service: ServiceName,
    /// The availability zone of both.
    pub zone: ZoneName,
    /// The agent's last report.
    pub report: Report,
    /// When a frame last came from the agent.
    pub heard_at: Option<Instant>,
    /// Whether the store lists the agent.
    pub listed: bool,
    /// When the store ceased to list it.
    pub unlisted_at: Option<Instant>,
    /// First packet that should have been answered, if none was since.
    pub unanswered_since: Option<Instant>,
    /// When it was last probed.
    pub probed_at: Option<Instant>,
    /// When its upstream last gave an opening packet back.
    pub shed_at: Option<Instant>,
    /// Flows placed since the last report.
    pub placed: u16,
}

impl Member {
    /// A member as the store lists it.
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
            heard_at: None,
            listed: true,
            unlisted_at: None,
            unanswered_since: None,
            probed_at: None,
            shed_at: None,
            placed: 0,
        }
    }

    /// Takes a report that came directly from the agent.
    pub fn hear(&mut self, now: Instant, report: Report) {
        self.report = report;
        self.placed = 0;
        self.heard_at = Some(now);
        self.unanswered_since = None;
    }

    /// Notes that a packet was sent which the agent answers.
    pub fn expect_answer(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether the agent owes an answer for too long.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.is_quiet(now, SILENT_AFTER)
    }

    /// Whether the agent has answered nothing for `long`, while the path to others was good until
    /// `proven`, later than that: otherwise the silence may be this side's. One
    /// that is being restarted as planned has some time to come back, while its flows wait.
    pub fn is_unreachable(&self, proven: Option<Instant>, long: Duration) -> bool {
        let patience = if self.report.stopping {
            RESTART_TIME
        } else {
            long
        };
        self.unanswered_since
            .is_some_and(|since| proven >= Some(since + patience))
    }

    /// Whether the agent has answered nothing for `long`, whoever's fault it is.
    pub fn is_quiet(&self, now: Instant, long: Duration) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.saturating_duration_since(since) >= long)
    }

    /// Whether the agent was heard directly a short time ago.
    pub fn is_heard(&self, now: Instant) -> bool {
        self.heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < HEARD_RECENTLY)
    }

    /// Whether new flows may be placed here.
    pub fn takes_flows(&self, now: Instant) -> bool {
        let room = match self.report.state {
            State::Cold | State::Unknown => self.placed < self.report.headroom,
            State::Ready => true,
            State::Silent | State::Draining | State::Gone => false,
        };
        room && (self.listed || self.is_heard(now)) && !self.is_silent(now) && !self.is_full(now)
    }

    /// Whether its upstream gave an opening packet back a short time ago.
    pub fn has_shed(&self, now: Instant) -> bool {
        self.shed_at
            .is_some_and(|at| now.saturating_duration_since(at) < SHED_FOR)
    }

    /// Requests in progress as far as they are known. A report says less the older it is.
    fn busy(&self, now: Instant) -> f64 {
        let left = self.heard_at.map_or(0.0, |at| {
            let overdue = now
                .saturating_duration_since(at)
                .saturating_sub(REPORT_HOLDS);
            1.0 - (overdue.as_secs_f64() / REPORT_FADES.as_secs_f64()).min(1.0)
        });
        f64::from(self.report.busy) * left + f64::from(self.placed)
    }

    /// Whether the upstream has as many requests in progress as it answers in time.
    pub fn is_full(&self, now: Instant) -> bool {
        self.busy(now) >= f64::from(self.report.slots.max(1)) * BUSY_PER_SLOT as f64
    }

    /// Work in relation to slots, as far as it is known.
    pub fn load(&self, now: Instant) -> f64 {
        let slots = f64::from(self.report.slots.max(1));
        (self.busy(now) + f64::from(self.report.flows) * IDLE_FLOW_LOAD) / slots
    }
}
