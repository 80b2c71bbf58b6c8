//! Decision logic of an agent: whether a packet is passed to the upstream beside it.
//!
//! The agent observes its upstream directly: its announcements, each packet in both directions
//! and the packets that it bounces. So each limit is enforced here, regardless of the possibly
//! outdated state of a balancer.

mod action;
mod admission;
mod announcement;
mod attempts;
mod classes;
mod confirmation;
mod delivery;
mod flow;
mod held;
mod holding;
mod offers;
mod recovery;
mod reports;
mod service_time;
mod settings;
mod speed_reports;
mod successor;
mod upstream;
mod work;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_wire::{Incarnation, flow::Attempt};

pub use self::{
    action::Action,
    announcement::Announcement,
    attempts::Attempts,
    classes::{Classes, Counts},
    confirmation::Confirmation,
    delivery::Delivery,
    flow::{Flow, Phase},
    held::{Held, HeldPacket},
    offers::Offers,
    service_time::ServiceTime,
    settings::Settings,
    speed_reports::SpeedReports,
    successor::Successor,
    upstream::{Change, Upstream},
    work::Work,
};
use super::{Intent, Key, Limiter, Reason, Revision, State};

/// Time in which an upstream accepts a SYN or bounces it. It does so before any other work, so
/// this only covers a few scheduling delays of a busy process.
const SYN_TIMEOUT: Duration = Duration::from_millis(60);

/// Interval between removals of expired flows.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// A request that got no answer for this long no longer counts as in progress. Longer than clients
/// wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// State of an agent. Methods that handle an input append the resulting actions to `actions`.
#[derive(Debug)]
pub struct Agent {
    settings: Settings,
    intent: Option<Arc<Intent>>,
    upstream: Upstream,
    cold_limiter: Limiter,
    work: Work,
    offers: Offers,
    classes: Classes,
    held: Held,
    /// When a request was last held.
    last_held_at: Option<Instant>,
    /// Callers that may try again.
    attempts: Attempts,
    /// The shortest latency objective of the routes that lead to this agent's service.
    latency_objective: Option<Duration>,
    /// Time in which a packet of each open flow passes: the idle timeout and the longest time limit of
    /// the service's requests.
    observation_time: Option<Duration>,
    flows: HashMap<Key, Flow>,
    /// Flows that are not open at the upstream, while this process may not know all that are.
    absent: HashSet<Key>,
    /// Flows whose SYN the upstream has not answered yet.
    pending_syns: Vec<Key>,
    /// Flows that had a request in progress after their last packet.
    busy_flows: HashSet<Key>,
    started_at: Instant,
    /// Time of the upstream's first announcement, and the rest of its cold period at that time.
    first_announcement: Option<(Instant, Duration)>,
    swept_at: Instant,
    stopping: bool,
    /// State and incarnation of the upstream and whether the agent is stopping, as last reported to
    /// balancers.
    last_reported: Option<(State, Incarnation, bool)>,
}

impl Agent {
    /// An agent whose upstream has not announced itself yet.
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            settings,
            intent: None,
            upstream: Upstream::default(),
            cold_limiter: Limiter::default(),
            work: Work::default(),
            offers: Offers::default(),
            classes: Classes::default(),
            held: Held::default(),
            last_held_at: None,
            attempts: Attempts::default(),
            latency_objective: None,
            observation_time: None,
            flows: HashMap::new(),
            absent: HashSet::new(),
            pending_syns: Vec::new(),
            busy_flows: HashSet::new(),
            started_at: now,
            first_announcement: None,
            swept_at: now,
            stopping: false,
            last_reported: None,
        }
    }

    /// The intent in force.
    pub fn intent(&self) -> Option<&Arc<Intent>> {
        self.intent.as_ref()
    }

    /// State of the upstream.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Merges `intent` into the intent in force, and returns whether that changed it.
    pub fn set_intent(&mut self, intent: Arc<Intent>) -> bool {
        let was_out = self.is_zone_out();
        let is_newer = Intent::replace_if_newer(&mut self.intent, intent);
        // Upstreams of a zone that is out may become cold just before it is taken back.
        if was_out && !self.is_zone_out() && self.cold_limit().is_some() {
            self.upstream.suspect_cold();
        }
        if is_newer && let Some(intent) = &self.intent {
            let service = &self.settings.service;
            self.latency_objective = intent.policy.latency_objective(service);
            let time_limit = intent.policy.time_limit(service);
            self.observation_time =
                time_limit.map(|limit| intent.policy.idle_timeout.saturating_add(limit));
            self.classes.set_intent(intent, &self.settings.service);
        }
        is_newer
    }

    /// Whether operators have taken the agent's zone out of service.
    fn is_zone_out(&self) -> bool {
        self.intent
            .as_ref()
            .is_some_and(|intent| intent.is_zone_out(&self.settings.zone))
    }

    /// Handles a balancer's message that attempts of callers ended without an answer.
    pub fn handle_ended(&mut self, now: Instant, attempts: &[Attempt]) {
        let Some(intent) = &self.intent else {
            return;
        };
        for attempt in attempts {
            let route = intent.policy.routes.get(&attempt.route);
            if let Some(time_limit) = route.and_then(|route| route.timeout) {
                self.attempts.record(now, attempt, time_limit);
            }
        }
    }

    /// Handles a balancer's question for earlier attempts of the callers of flows.
    pub fn handle_inquiry(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        flows: &[Key],
        actions: &mut Vec<Action>,
    ) {
        let flows = self.attempts.answer(now, flows);
        if !flows.is_empty() {
            actions.push(Action::Earlier { to: from, flows });
        }
    }

    /// Handles an announcement of the upstream and returns what changed.
    pub fn handle_announcement(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        actions: &mut Vec<Action>,
    ) -> Change {
        let change = self.upstream.apply_announcement(now, announcement);
        if change == Change::First {
            self.first_announcement = Some((now, announcement.cold_left));
        }
        if change == Change::Restarted {
            self.handle_restart(actions);
        }
        change
    }

    /// Handles the upstream's deregistration, which may state its incarnation, and returns what changed.
    pub fn handle_deregistration(
        &mut self,
        now: Instant,
        id: &str,
        incarnation: Option<Incarnation>,
        actions: &mut Vec<Action>,
    ) -> Change {
        let change = self.upstream.apply_deregistration(id, incarnation);
        if change == Change::Left {
            self.reset_flows(now, actions);
        }
        change
    }

    /// Handles SYN timeouts and removes expired flows.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.make_offers(now, actions);
        let is_cold = self.upstream.state(now) == State::Cold;
        self.work.report_speed(now, is_cold, actions);
        let timed_out: Vec<Key> = self
            .pending_syns
            .iter()
            .filter(|key| {
                self.flows
                    .get(key)
                    .is_none_or(|flow| !flow.is_younger_than(now, SYN_TIMEOUT))
            })
            .copied()
            .collect();
        for key in timed_out {
            self.pending_syns.retain(|pending| *pending != key);
            self.upstream.syn_lost(now);
            // The flow stays in the table: the upstream may still accept it late.
            if let Some(flow) = self.flows.get_mut(&key)
                && let (Some(to), Some(packet)) = (flow.syn_sender(), flow.take_buffered())
            {
                actions.push(Action::ReturnBuffered {
                    to,
                    reason: Reason::Silent,
                    packet,
                });
            }
        }
        if now.saturating_duration_since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            let idle = self
                .intent
                .as_ref()
                .map_or(self.settings.idle_timeout, |intent| {
                    intent.policy.idle_timeout
                });
            self.flows.retain(|_, flow| !flow.is_expired(now, idle));
            self.sweep_absent(now);
            let flows = &self.flows;
            self.busy_flows.retain(|key| {
                flows
                    .get(key)
                    .is_some_and(|flow| flow.is_busy(now, REQUEST_TIMEOUT))
            });
        }
    }

    /// Whether a SYN waits for the upstream's answer or a balancer or a held request for room, so
    /// that ticks must come often.
    pub fn has_pending_work(&self) -> bool {
        !self.pending_syns.is_empty() || !self.offers.is_empty() || !self.held.is_empty()
    }

    /// The intent's revision, 0 if none.
    pub fn revision(&self) -> Revision {
        self.intent.as_ref().map_or(0, |intent| intent.revision)
    }
}
