//! The decisions of an agent: whether a packet goes to the upstream beside it.
//!
//! The agent sees its upstream first hand: its announcements, each packet in both directions and
//! what it refuses. So each limit is enforced here, whatever a balancer believes.

mod action;
mod announcement;
mod delivery;
mod flow;
mod settings;
mod upstream;

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

pub use self::{
    action::Action,
    announcement::Announcement,
    delivery::Delivery,
    flow::{Flow, Phase},
    settings::Settings,
    upstream::{Change, Upstream},
};
use super::{
    Gate, Head, Intent, Key, Purpose, Reason, Report, Revision, State, balancer::ResetCause, gate,
};

/// Time in which an upstream answers an opening packet or gives it back: it does so before any
/// work, so this is a few wake-ups of a busy process.
const OPENING_TIMEOUT: Duration = Duration::from_millis(60);

/// Requests in progress for each slot up to which new flows are let through: one is worked on
/// and one waits for about the time of a request.
pub const BUSY_PER_SLOT: usize = 2;

/// How often forgotten flows are looked for.
const SWEEP_EVERY: Duration = Duration::from_secs(2);

/// Flows accepted within this time before the first announcement of a new start may belong to it:
/// one announcement interval and its delay.
const ANNOUNCEMENT_LAG: Duration = Duration::from_millis(1_500);

/// A request that got no answer for this long no longer counts as work: longer than clients wait.
const BUSY_FOR: Duration = Duration::from_secs(3);

/// Time in which the platform starts a killed process anew, half a second, less what clocks and
/// announcements may be off. An upstream that started less than this before its agent has never
/// had another one.
const RESTART_TAKES: Duration = Duration::from_millis(350);

/// An agent's state. Inputs append what is to be done to `actions`.
#[derive(Debug)]
pub struct Agent {
    settings: Settings,
    intent: Option<Arc<Intent>>,
    upstream: Upstream,
    gate: Gate,
    flows: HashMap<Key, Flow>,
    /// Opening packets that the upstream has not answered yet.
    opening: Vec<Key>,
    /// Flows that had work after their last packet.
    working: HashSet<Key>,
    started_at: Instant,
    /// When the upstream was first heard, and how much longer it was cold then.
    first_heard: Option<(Instant, Duration)>,
    swept_at: Instant,
    stopping: bool,
    /// State, start of the upstream and whether the agent stops, as balancers were told last.
    reported: Option<(State, u64, bool)>,
}

impl Agent {
    /// An agent that has not heard of its upstream yet.
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            settings,
            intent: None,
            upstream: Upstream::default(),
            gate: Gate::default(),
            flows: HashMap::new(),
            opening: Vec::new(),
            working: HashSet::new(),
            started_at: now,
            first_heard: None,
            swept_at: now,
            stopping: false,
            reported: None,
        }
    }

    /// The intent in force.
    pub fn intent(&self) -> Option<&Arc<Intent>> {
        self.intent.as_ref()
    }

    /// What is known of the upstream.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Flows that the agent knows.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Puts a newer intent in force; an older one is passed over.
    pub fn set_intent(&mut self, intent: Arc<Intent>) -> bool {
        Intent::advance(&mut self.intent, intent)
    }

    /// What the agent tells of itself.
    pub fn report(&mut self, now: Instant) -> Report {
        let headroom = self.headroom(now);
        let busy = self.busy(now);
        Report {
            agent: self.settings.incarnation,
            upstream: self.upstream.started(),
            state: self.upstream.state(now),
            slots: self.upstream.slots(),
            busy: u16::try_from(busy).unwrap_or(u16::MAX),
            flows: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            stopping: self.stopping,
            headroom: u16::try_from(headroom).unwrap_or(u16::MAX),
        }
    }

    /// Requests that the upstream works on or is about to get.
    fn busy(&self, now: Instant) -> usize {
        let is_busy = |key: &&Key| self.is_busy(now, key);
        self.working.iter().filter(is_busy).count()
    }

    /// Whether a flow has a request in progress or is about to get one.
    fn is_busy(&self, now: Instant, key: &Key) -> bool {
        self.flows
            .get(key)
            .is_some_and(|flow| flow.is_busy(now, BUSY_FOR))
    }

    /// Notes whether a flow has work after one of its packets.
    fn note_work(&mut self, now: Instant, key: Key) {
        if self.is_busy(now, &key) {
            self.working.insert(key);
        } else {
            self.working.remove(&key);
        }
    }

    /// Whether the upstream has as many requests in progress as it answers in time.
    fn is_full(&self, now: Instant) -> bool {
        let slots = usize::from(self.upstream.slots());
        slots > 0 && self.busy(now) >= slots * BUSY_PER_SLOT
    }

    /// Whether what the agent tells differs from what [`Self::mark_reported`] last noted.
    pub fn has_unreported_change(&self, now: Instant) -> bool {
        self.reported != Some(self.news(now))
    }

    /// Notes that the present state was told to all balancers.
    pub fn mark_reported(&mut self, now: Instant) {
        self.reported = Some(self.news(now));
    }

    fn news(&self, now: Instant) -> (State, u64, bool) {
        let upstream = &self.upstream;
        (upstream.state(now), upstream.started(), self.stopping)
    }

    /// The agent was told to stop.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Changes the bounds of the cold limit.
    pub fn set_cold_bounds(&mut self, coverage: f64, slack: f64) {
        self.settings.cold_coverage = coverage;
        self.settings.cold_slack = slack;
    }

    /// New flows that a cold upstream is given within a second. `None` without a limit: operators
    /// state no rate for the service, so its upstreams are only slower while they are cold.
    pub fn cold_limit(&self) -> Option<usize> {
        let rate = match &self.intent {
            Some(intent) => intent.policy.cold_rate(&self.settings.service)?,
            None => 0.0,
        };
        let bound = rate * self.settings.cold_coverage + self.settings.cold_slack;
        let preferred = (bound * self.settings.cold_use).floor();
        // Never negative, and far below the range of the type.
        Some(preferred.max(1.0) as usize)
    }

    /// New flows that a cold upstream may still be given now.
    fn headroom(&mut self, now: Instant) -> usize {
        let Some(limit) = self.cold_limit() else {
            return usize::MAX;
        };
        // What an earlier process of this agent let through is not known.
        let is_young = now.saturating_duration_since(self.started_at) < gate::WINDOW;
        if is_young && !self.is_known_from_start() {
            return 0;
        }
        self.gate.headroom(now, limit)
    }

    /// Decides on a client's packet that a balancer sent. `sender_revision` is the revision in
    /// force at the balancer.
    pub fn deliver(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        delivery: &Delivery<'_>,
        actions: &mut Vec<Action>,
    ) {
        let flow = delivery.head.client_flow();
        if delivery.head.opens() {
            self.open(now, from, flow, delivery, actions);
        } else {
            self.pass_on(now, from, flow, delivery, actions);
        }
        self.note_work(now, flow);
    }

    /// Decides on a packet that does not open a flow.
    fn pass_on(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        flow: Key,
        delivery: &Delivery<'_>,
        actions: &mut Vec<Action>,
    ) {
        let is_certain = self.is_certain();
        let has_room = self.flows.len() < self.settings.max_flows;
        match self.flows.get_mut(&flow) {
            Some(known) if known.refutes(delivery.head.acknowledgement) => {
                actions.push(Action::Missing { to: from, flow });
            }
            Some(known) => {
                known.client_packet(now, from, delivery.head);
                if delivery.purpose == Purpose::Find {
                    if known.phase() == Phase::Unsure {
                        known.ask(from);
                    } else {
                        actions.push(Action::Found { to: from, flow });
                    }
                }
                actions.push(Action::ToUpstream);
            }
            None if is_certain => {
                actions.push(Action::Missing { to: from, flow });
            }
            None if !has_room => actions.push(Action::ToUpstream),
            None => {
                // This agent is younger than its upstream, which alone knows its flows.
                let mut unsure = Flow::unsure(now, from, delivery.packet);
                unsure.client_packet(now, from, delivery.head);
                if delivery.purpose == Purpose::Find {
                    unsure.ask(from);
                }
                self.flows.insert(flow, unsure);
                actions.push(Action::ToUpstream);
            }
        }
    }

    /// Answers a balancer that looks for the home of a flow, whose client acknowledged
    /// `acknowledgement` last.
    pub fn locate(
        &self,
        from: SocketAddrV4,
        flow: Key,
        acknowledgement: u32,
        actions: &mut Vec<Action>,
    ) {
        let to = from;
        actions.push(match self.flows.get(&flow) {
            Some(known) if known.refutes(acknowledgement) => Action::Absent { to, flow },
            Some(known) if known.phase() == Phase::Unsure => Action::Unconfirmed { to, flow },
            Some(_) => Action::Found { to, flow },
            None if self.is_certain() => Action::Absent { to, flow },
            None => Action::Unconfirmed { to, flow },
        });
    }

    /// Whether the agent knows all flows of its upstream.
    fn is_certain(&self) -> bool {
        self.upstream.is_gone() || self.is_known_from_start()
    }

    /// Whether this process has seen all that its upstream has got since its start.
    fn is_known_from_start(&self) -> bool {
        self.upstream.is_known_from_start()
            || self
                .head_start()
                .is_some_and(|ahead| ahead <= RESTART_TAKES)
    }

    /// How long before this process its upstream started: the longer one of what their times of
    /// day say, which may have been set in between, and of what the upstream's coldness says,
    /// which may have begun anew. `None` if one of them says nothing.
    fn head_start(&self) -> Option<Duration> {
        let (heard_at, cold_left) = self.first_heard?;
        let services = &self.intent.as_ref()?.policy.services;
        let cold_for = services.get(&self.settings.service)?.cold_for;
        if cold_for.is_zero() || cold_left.is_zero() {
            return None;
        }
        let own_age = heard_at.saturating_duration_since(self.started_at);
        let by_coldness = cold_for.saturating_sub(cold_left).saturating_sub(own_age);
        let by_clock = self
            .settings
            .incarnation
            .saturating_sub(self.upstream.started());
        Some(by_coldness.max(Duration::from_millis(by_clock)))
    }

    /// Decides on an opening packet.
    fn open(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        flow: Key,
        delivery: &Delivery<'_>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(known) = self.flows.get_mut(&flow)
            && !matches!(known.phase(), Phase::Unsure | Phase::Refused)
        {
            known.set_opener(from);
            actions.push(Action::ToUpstream);
            return;
        }
        if let Some(reason) = self.refusal(now, &flow, delivery) {
            actions.push(Action::Return { to: from, reason });
            return;
        }
        self.gate.admit(now);
        self.upstream.opening_sent(now);
        self.flows
            .insert(flow, Flow::opening(now, from, delivery.packet));
        self.opening.push(flow);
        actions.push(Action::ToUpstream);
    }

    /// Why an opening packet may not go to the upstream.
    fn refusal(&mut self, now: Instant, flow: &Key, delivery: &Delivery<'_>) -> Option<Reason> {
        if delivery.service != &*self.settings.service {
            return Some(Reason::WrongService);
        }
        let own = self.intent.as_ref();
        if let Some(intent) = own.filter(|intent| intent.revision >= delivery.sender_revision) {
            let route = intent.policy.routes.get(&flow.route);
            if !route.is_some_and(|route| route.routes_to(&self.settings.service)) {
                return Some(Reason::WrongService);
            }
        }
        if self.flows.len() >= self.settings.max_flows {
            return Some(Reason::Busy);
        }
        if own.is_some_and(|intent| intent.is_out(&self.settings.zone)) {
            return Some(Reason::ZoneOut);
        }
        match self.upstream.state(now) {
            State::Unknown | State::Cold if self.headroom(now) == 0 => Some(Reason::Cold),
            State::Ready | State::Unknown | State::Cold => {
                self.is_full(now).then_some(Reason::Busy)
            }
            State::Draining | State::Gone => Some(Reason::Leaving),
            State::Silent if self.upstream.may_try(now) => None,
            State::Silent => Some(Reason::Silent),
        }
    }

    /// Decides on a packet that the upstream wrote or gave back.
    pub fn upstream_packet(&mut self, now: Instant, head: &Head, actions: &mut Vec<Action>) {
        self.upstream.heard(now);
        if head.flags.bounced {
            self.bounced(now, head, actions);
            self.note_work(now, head.client_flow());
        } else {
            self.written(now, head, actions);
            self.note_work(now, head.upstream_flow());
        }
    }

    /// The upstream wrote a packet.
    fn written(&mut self, now: Instant, head: &Head, actions: &mut Vec<Action>) {
        let flow = head.upstream_flow();
        if head.flags.rst && self.disown(flow, actions) {
            return;
        }
        actions.push(Action::ToClient);
        let Some(known) = self.flows.get_mut(&flow) else {
            // A flow from before this agent's start.
            self.flows.insert(flow, Flow::of_upstream(now, head));
            return;
        };
        let was_opening = known.phase() == Phase::Opening;
        known.upstream_packet(now, head);
        if let Some(asker) = known.take_asker() {
            actions.push(Action::Found { to: asker, flow });
        }
        if head.flags.syn
            && let Some(opener) = known.opener()
        {
            actions.push(Action::Accepted {
                to: opener,
                flow,
                sequence: head.sequence,
                took: known.age(now),
            });
        }
        if was_opening {
            self.opening.retain(|key| *key != flow);
        }
    }

    /// Takes an upstream's reset of a flow that it was shown to find the flow's home: the flow is
    /// not here, and may well be open elsewhere. Tells whether this was one.
    fn disown(&mut self, flow: Key, actions: &mut Vec<Action>) -> bool {
        let is_unsure = |known: &Flow| known.phase() == Phase::Unsure;
        if !self.flows.get(&flow).is_some_and(is_unsure) {
            return false;
        }
        if let Some(mut known) = self.flows.remove(&flow) {
            let to = known.sender();
            match (known.take_asker(), known.take_kept()) {
                (Some(to), _) => actions.push(Action::Absent { to, flow }),
                (None, Some(packet)) => actions.push(Action::MissingBuffered { to, flow, packet }),
                (None, None) => {}
            }
        }
        true
    }

    /// The upstream gave a packet back.
    fn bounced(&mut self, now: Instant, head: &Head, actions: &mut Vec<Action>) {
        let flow = head.client_flow();
        let Some(known) = self.flows.get_mut(&flow) else {
            return;
        };
        if head.opens() {
            if known.phase() != Phase::Opening {
                return;
            }
            if let Some(to) = known.opener() {
                let reason = Reason::Shed;
                actions.push(Action::Return { to, reason });
            }
            known.refuse(now);
            self.opening.retain(|key| *key != flow);
            return;
        }
        let to = known.sender();
        let asker = known.take_asker();
        self.flows.remove(&flow);
        actions.push(match asker {
            Some(to) => Action::Absent { to, flow },
            None => Action::Missing { to, flow },
        });
    }

    /// Takes an announcement of the upstream. Tells what changed.
    pub fn announce(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        actions: &mut Vec<Action>,
    ) -> Change {
        let change = self.upstream.announce(now, announcement);
        if change == Change::First {
            self.first_heard = Some((now, announcement.cold_left));
        }
        if change == Change::Restarted {
            self.reset_flows(now, actions);
        }
        change
    }

    /// The upstream has said that it is leaving for good.
    pub fn deregister(&mut self, now: Instant, id: &str, actions: &mut Vec<Action>) -> Change {
        let change = self.upstream.deregister(id);
        if change == Change::Left {
            self.reset_flows(now, actions);
        }
        change
    }

    /// Resets the flows of an upstream's earlier start: it knows none of them.
    fn reset_flows(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.flows.retain(|&key, flow| {
            if flow.is_younger_than(now, ANNOUNCEMENT_LAG) {
                return true;
            }
            if flow.phase() == Phase::Open && !flow.is_closing() {
                actions.push(Action::Reset {
                    flow: key,
                    sequence: flow.acknowledgement(),
                    cause: ResetCause::Restarted,
                });
            }
            false
        });
        let flows = &self.flows;
        self.opening.retain(|key| flows.contains_key(key));
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let late: Vec<Key> = self
            .opening
            .iter()
            .filter(|key| {
                self.flows
                    .get(key)
                    .is_none_or(|flow| !flow.is_younger_than(now, OPENING_TIMEOUT))
            })
            .copied()
            .collect();
        for key in late {
            self.opening.retain(|opening| *opening != key);
            self.upstream.opening_lost(now);
            // The flow stays known: the upstream may still accept it late.
            if let Some(flow) = self.flows.get_mut(&key)
                && let (Some(to), Some(packet)) = (flow.opener(), flow.take_kept())
            {
                actions.push(Action::ReturnBuffered {
                    to,
                    reason: Reason::Silent,
                    packet,
                });
            }
        }
        if now.saturating_duration_since(self.swept_at) >= SWEEP_EVERY {
            self.swept_at = now;
            let idle = self
                .intent
                .as_ref()
                .map_or(self.settings.idle_timeout, |intent| {
                    intent.policy.idle_timeout
                });
            self.flows.retain(|_, flow| !flow.is_over(now, idle));
            let flows = &self.flows;
            self.working.retain(|key| {
                flows
                    .get(key)
                    .is_some_and(|flow| flow.is_busy(now, BUSY_FOR))
            });
        }
    }

    /// Whether an opening packet waits for the upstream's answer, so that ticks must come often.
    pub fn has_pending_syns(&self) -> bool {
        !self.opening.is_empty()
    }

    /// The intent's revision, 0 if none.
    pub fn revision(&self) -> Revision {
        self.intent.as_ref().map_or(0, |intent| intent.revision)
    }
}
