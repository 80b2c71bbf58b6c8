//! Decision logic of an agent: whether a packet is passed to the upstream beside it.
//!
//! The agent observes its upstream directly: its announcements, each packet in both directions
//! and the packets that it bounces. So each limit is enforced here, regardless of the possibly
//! outdated state of a balancer.

mod action;
mod announcement;
mod attempts;
mod delivery;
mod flow;
mod offers;
mod settings;
mod upstream;
mod work;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_wire::{Incarnation, flow::Attempt};

pub use self::{
    action::Action,
    announcement::Announcement,
    attempts::Attempts,
    delivery::Delivery,
    flow::{Flow, Phase},
    offers::Offers,
    settings::Settings,
    upstream::{Change, Upstream},
    work::Work,
};
use super::{
    Head, Intent, Key, Limiter, Priority, Purpose, Reason, Report, Revision, State,
    balancer::ResetCause, limiter,
};

/// Time in which an upstream accepts a SYN or bounces it. It does so before any other work, so
/// this only covers a few scheduling delays of a busy process.
const SYN_TIMEOUT: Duration = Duration::from_millis(60);

/// Interval between removals of expired flows.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

/// Flows accepted within this time before the first announcement of a new incarnation of the
/// upstream may belong to that incarnation: one announcement interval and its delay.
const MAX_ANNOUNCEMENT_LAG: Duration = Duration::from_millis(1_500);

/// A request that got no answer for this long no longer counts as in progress. Longer than clients
/// wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Shortest time in which the platform restarts a killed process, 500 ms, less the error of clocks
/// and announcements. An upstream that started less than this before its agent has had no earlier
/// agent process.
const MIN_RESTART_TIME: Duration = Duration::from_millis(350);

/// Flows with a request in progress at an upstream that has not announced its slots, for the one
/// heartbeat that this takes. Few enough for a small upstream, whose bounces show its limit.
const UNANNOUNCED_LIMIT: usize = 8;

/// Largest headroom that is reported. The next number says that no limit is known, as agents of
/// earlier builds do.
const MAX_HEADROOM: u16 = u16::MAX - 1;

/// State of an agent. Methods that handle an input append the resulting actions to `actions`.
#[derive(Debug)]
pub struct Agent {
    settings: Settings,
    intent: Option<Arc<Intent>>,
    upstream: Upstream,
    cold_limiter: Limiter,
    work: Work,
    offers: Offers,
    /// Callers that may try again.
    attempts: Attempts,
    /// The shortest latency objective of the routes that lead to this agent's service.
    latency_objective: Option<Duration>,
    flows: HashMap<Key, Flow>,
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
            attempts: Attempts::default(),
            latency_objective: None,
            flows: HashMap::new(),
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

    /// Replaces the intent in force if `intent` is newer, and returns whether it is.
    pub fn set_intent(&mut self, intent: Arc<Intent>) -> bool {
        let is_newer = Intent::replace_if_newer(&mut self.intent, intent);
        if is_newer && let Some(intent) = &self.intent {
            self.latency_objective = intent.policy.latency_objective(&self.settings.service);
        }
        is_newer
    }

    /// The agent's current report to balancers, apart from room that is kept for some of them.
    pub fn report(&mut self, now: Instant) -> Report {
        let headroom = self.room(now).saturating_sub(self.offers.offered());
        let busy = self.busy(now);
        Report {
            agent: self.settings.incarnation,
            upstream: self.upstream.incarnation(),
            state: self.upstream.state(now),
            slots: self.upstream.slots(),
            busy: u16::try_from(busy).unwrap_or(u16::MAX),
            flows: u32::try_from(self.flows.len()).unwrap_or(u32::MAX),
            stopping: self.is_restarting(now),
            headroom: u16::try_from(headroom)
                .unwrap_or(u16::MAX)
                .min(MAX_HEADROOM),
        }
    }

    /// The agent's current report to one balancer.
    pub fn report_to(&mut self, now: Instant, balancer: SocketAddrV4) -> Report {
        let report = self.report(now);
        let offered = self.offers.offered_to(balancer);
        let offered = u16::try_from(offered).unwrap_or(u16::MAX);
        Report {
            headroom: report.headroom.saturating_add(offered).min(MAX_HEADROOM),
            ..report
        }
    }

    /// New flows that the upstream can take now.
    fn room(&mut self, now: Instant) -> usize {
        if self.upstream.is_shedding(now) {
            return 0;
        }
        let busy = self.busy(now);
        let by_work = match self.upstream.slots() {
            0 => UNANNOUNCED_LIMIT.saturating_sub(busy),
            slots => self.work.room(slots, self.latency_objective, busy),
        };
        match self.upstream.state(now) {
            State::Cold | State::Unknown => by_work.min(self.headroom(now)),
            State::Ready | State::Silent | State::Draining | State::Gone => by_work,
        }
    }

    /// Handles a balancer's message that `waiting` SYNs for this service are queued there.
    pub fn handle_demand(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        waiting: u16,
        actions: &mut Vec<Action>,
    ) {
        self.offers.record_demand(now, from, waiting.into());
        if !self.make_offers(now, actions).contains(&from) {
            actions.push(Action::Report { to: from });
        }
    }

    /// Handles a balancer's message that SYNs for this service are queued there, by class.
    pub fn handle_class_demand(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        waiting: &[(Priority, u16)],
        actions: &mut Vec<Action>,
    ) {
        let waiting = waiting.iter().map(|&(_, count)| count);
        self.handle_demand(now, from, waiting.fold(0, u16::saturating_add), actions);
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

    /// Offers the upstream's room to balancers with queued SYNs, and returns those that got some.
    fn make_offers(&mut self, now: Instant, actions: &mut Vec<Action>) -> BTreeSet<SocketAddrV4> {
        let mut recipients = BTreeSet::new();
        if self.offers.is_empty() || !self.upstream.state(now).accepts_flows() {
            return recipients;
        }
        self.offers.expire(now);
        let room = self.room(now);
        while self.offers.offered() < room
            && let Some(to) = self.offers.offer(now)
        {
            recipients.insert(to);
        }
        let reports = recipients.iter().map(|&to| Action::Report { to });
        actions.extend(reports);
        recipients
    }

    /// Flows with a request in progress or about to arrive.
    fn busy(&self, now: Instant) -> usize {
        let is_busy = |key: &&Key| self.is_busy(now, key);
        self.busy_flows.iter().filter(is_busy).count()
    }

    /// Whether a flow has a request in progress or about to arrive.
    fn is_busy(&self, now: Instant, key: &Key) -> bool {
        self.flows
            .get(key)
            .is_some_and(|flow| flow.is_busy(now, REQUEST_TIMEOUT))
    }

    /// Updates the set of busy flows after a packet of `key`.
    fn update_busy(&mut self, now: Instant, key: Key) {
        if self.is_busy(now, &key) {
            self.busy_flows.insert(key);
        } else {
            self.busy_flows.remove(&key);
        }
    }

    /// Whether the upstream has as many requests in progress as it can answer in time, or the rest
    /// is kept for other balancers. A balancer that was offered room has it, even if requests have
    /// come faster than expected since.
    fn is_full(&mut self, now: Instant, from: SocketAddrV4) -> bool {
        self.offers.expire(now);
        self.offers.offered_to(from) == 0 && self.room(now) <= self.offers.offered()
    }

    /// Requests that the upstream has not answered yet.
    fn requests_in_progress(&self, now: Instant) -> usize {
        let has_request = |key: &&Key| {
            let flow = self.flows.get(key);
            flow.is_some_and(|flow| flow.has_request(now, REQUEST_TIMEOUT))
        };
        self.busy_flows.iter().filter(has_request).count()
    }

    /// Whether the state has changed since the last [`Self::mark_reported`].
    pub fn has_unreported_change(&self, now: Instant) -> bool {
        self.last_reported != Some(self.reportable_state(now))
    }

    /// Records that the current state was reported to all balancers.
    pub fn mark_reported(&mut self, now: Instant) {
        self.last_reported = Some(self.reportable_state(now));
    }

    fn reportable_state(&self, now: Instant) -> (State, Incarnation, bool) {
        let upstream = &self.upstream;
        (
            upstream.state(now),
            upstream.incarnation(),
            self.is_restarting(now),
        )
    }

    /// Marks the agent as stopping.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether the agent is stopping while its upstream runs on, so that it is expected back.
    /// Otherwise the VM is being removed, and balancers need not wait for it.
    fn is_restarting(&self, now: Instant) -> bool {
        let upstream = &self.upstream;
        self.stopping
            && !upstream.is_gone()
            && !upstream.has_stopped_announcing(now, self.started_at)
    }

    /// Changes the parameters of the cold limit.
    pub fn set_cold_bounds(&mut self, coverage: f64, slack: f64) {
        self.settings.cold_coverage = coverage;
        self.settings.cold_slack = slack;
    }

    /// Limit of new flows per second to a cold upstream. `None` if operators configured no cold
    /// rate: cold upstreams of the service are slower but need no limit. Without an intent only the
    /// slack is allowed.
    pub fn cold_limit(&self) -> Option<usize> {
        let rate = match &self.intent {
            Some(intent) => intent.policy.cold_rate(&self.settings.service)?,
            None => 0.0,
        };
        let bound = rate * self.settings.cold_coverage + self.settings.cold_slack;
        let preferred = (bound * self.settings.cold_utilization).floor();
        // Never negative, and far below the range of the type.
        Some(preferred.max(1.0) as usize)
    }

    /// New flows that the cold limit still allows now, `usize::MAX` if there is no cold limit.
    fn headroom(&mut self, now: Instant) -> usize {
        let Some(limit) = self.cold_limit() else {
            return usize::MAX;
        };
        // Flows that an earlier process of this agent admitted are not counted here, so none is
        // admitted for one window.
        let is_new_process = now.saturating_duration_since(self.started_at) < limiter::WINDOW;
        if is_new_process && !self.is_observed_from_start() {
            return 0;
        }
        self.cold_limiter.headroom(now, limit)
    }

    /// Handles a client's packet that a balancer sent.
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
            self.forward(now, from, flow, delivery, actions);
        }
        self.update_busy(now, flow);
        self.make_offers(now, actions);
    }

    /// Handles a client's packet other than a SYN.
    fn forward(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        flow: Key,
        delivery: &Delivery<'_>,
        actions: &mut Vec<Action>,
    ) {
        let knows_all_flows = self.knows_all_flows();
        let has_room = self.flows.len() < self.settings.max_flows;
        // Counted for packets that may bring a request, not for acknowledgements.
        let in_progress = match delivery.head.data_len {
            0 => 0,
            _ => self.requests_in_progress(now),
        };
        match self.flows.get_mut(&flow) {
            Some(known) if known.is_held_elsewhere(delivery.head.acknowledgement) => {
                actions.push(Action::Missing { to: from, flow });
            }
            Some(known) => {
                if let Some(took) = known.opening_time(now, delivery.head) {
                    self.work.record_opening(took);
                }
                known.record_client_packet(now, from, delivery.head, in_progress);
                if delivery.purpose == Purpose::Find {
                    if known.phase() == Phase::Unconfirmed {
                        known.set_requester(from);
                    } else {
                        actions.push(Action::Found { to: from, flow });
                    }
                }
                actions.push(Action::ToUpstream);
            }
            None if knows_all_flows => {
                actions.push(Action::Missing { to: from, flow });
            }
            None if !has_room => actions.push(Action::ToUpstream),
            None => {
                // The upstream is older than this agent, so only the upstream knows its flows.
                let mut unconfirmed = Flow::unconfirmed(now, from, delivery.packet);
                unconfirmed.record_client_packet(now, from, delivery.head, in_progress);
                if delivery.purpose == Purpose::Find {
                    unconfirmed.set_requester(from);
                }
                self.flows.insert(flow, unconfirmed);
                actions.push(Action::ToUpstream);
            }
        }
    }

    /// Answers a balancer that searches for the owner of a flow. `acknowledgement` is the client's
    /// last acknowledged sequence number.
    pub fn locate(
        &self,
        from: SocketAddrV4,
        flow: Key,
        acknowledgement: u32,
        actions: &mut Vec<Action>,
    ) {
        let to = from;
        actions.push(match self.flows.get(&flow) {
            Some(known) if known.is_held_elsewhere(acknowledgement) => Action::Absent { to, flow },
            Some(known) if known.phase() == Phase::Unconfirmed => Action::Unconfirmed { to, flow },
            Some(_) => Action::Found { to, flow },
            None if self.knows_all_flows() => Action::Absent { to, flow },
            None => Action::Unconfirmed { to, flow },
        });
    }

    /// Whether all open flows of the upstream are in the table.
    fn knows_all_flows(&self) -> bool {
        self.upstream.is_gone() || self.is_observed_from_start()
    }

    /// Whether this process has observed all packets to its upstream since the upstream's start.
    fn is_observed_from_start(&self) -> bool {
        self.upstream.is_announced_from_start()
            || self
                .upstream_age_at_start()
                .is_some_and(|age| age <= MIN_RESTART_TIME)
    }

    /// The upstream's age when this process started. This is the larger one of two estimates: the
    /// difference of their start times, which is wrong if the clock was set in between, and the
    /// elapsed part of the cold period, which is wrong if that has begun anew, as when the zone was
    /// taken out of service. `None` if one of them is not available.
    fn upstream_age_at_start(&self) -> Option<Duration> {
        let (announced_at, cold_left) = self.first_announcement?;
        let services = &self.intent.as_ref()?.policy.services;
        let cold_for = services.get(&self.settings.service)?.cold_for;
        if cold_for.is_zero() || cold_left.is_zero() {
            return None;
        }
        let own_age = announced_at.saturating_duration_since(self.started_at);
        let age_by_cold_period = cold_for.saturating_sub(cold_left).saturating_sub(own_age);
        let age_by_clock = self
            .settings
            .incarnation
            .saturating_sub(self.upstream.incarnation());
        Some(age_by_cold_period.max(Duration::from_millis(age_by_clock)))
    }

    /// Handles a SYN.
    fn open(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        flow: Key,
        delivery: &Delivery<'_>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(known) = self.flows.get_mut(&flow)
            && !matches!(known.phase(), Phase::Unconfirmed | Phase::Bounced)
        {
            known.set_syn_sender(from);
            actions.push(Action::ToUpstream);
            return;
        }
        let reason = self.return_reason(now, from, &flow, delivery);
        if let Some(took) = self.offers.use_offer(now, from) {
            self.work.record_offer(took);
        }
        if let Some(reason) = reason {
            actions.push(Action::Return { to: from, reason });
            return;
        }
        self.cold_limiter.admit(now);
        self.upstream.syn_sent(now);
        self.flows
            .insert(flow, Flow::opening(now, from, delivery.packet));
        self.pending_syns.push(flow);
        actions.push(Action::ToUpstream);
    }

    /// Why a SYN is not passed to the upstream; `None` if it is.
    fn return_reason(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        flow: &Key,
        delivery: &Delivery<'_>,
    ) -> Option<Reason> {
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
        if own.is_some_and(|intent| intent.is_zone_out(&self.settings.zone)) {
            return Some(Reason::ZoneOut);
        }
        match self.upstream.state(now) {
            State::Ready | State::Unknown | State::Cold if self.upstream.is_shedding(now) => {
                Some(Reason::Shed)
            }
            State::Unknown | State::Cold if self.headroom(now) == 0 => Some(Reason::Cold),
            State::Ready | State::Unknown | State::Cold => {
                self.is_full(now, from).then_some(Reason::Busy)
            }
            State::Draining | State::Gone => Some(Reason::Leaving),
            State::Silent if self.upstream.may_retry(now) => None,
            State::Silent => Some(Reason::Silent),
        }
    }

    /// Handles a packet that the upstream sent or bounced.
    pub fn handle_upstream_packet(&mut self, now: Instant, head: &Head, actions: &mut Vec<Action>) {
        self.upstream.record_packet(now);
        if head.flags.bounced {
            self.handle_bounced(now, head, actions);
            self.update_busy(now, head.client_flow());
        } else {
            self.forward_to_client(now, head, actions);
            self.update_busy(now, head.upstream_flow());
        }
        self.make_offers(now, actions);
    }

    /// Forwards a packet of the upstream to its client and updates the flow.
    fn forward_to_client(&mut self, now: Instant, head: &Head, actions: &mut Vec<Action>) {
        let flow = head.upstream_flow();
        if head.flags.rst && self.handle_unconfirmed_reset(flow, actions) {
            return;
        }
        actions.push(Action::ToClient);
        let Some(known) = self.flows.get_mut(&flow) else {
            // The flow is older than this agent process.
            self.flows
                .insert(flow, Flow::from_upstream_packet(now, head));
            return;
        };
        let was_opening = known.phase() == Phase::Opening;
        if let Some((took, in_progress)) = known.record_upstream_packet(now, head) {
            let slots = self.upstream.slots();
            self.work.record_answer(took, in_progress, slots);
        }
        if let Some(requester) = known.take_requester() {
            actions.push(Action::Found {
                to: requester,
                flow,
            });
        }
        if head.flags.syn {
            self.upstream.record_acceptance();
        }
        if head.flags.syn
            && let Some(syn_sender) = known.syn_sender()
        {
            actions.push(Action::Accepted {
                to: syn_sender,
                flow,
                sequence: head.sequence,
                took: known.age(now),
            });
        }
        if was_opening {
            self.pending_syns.retain(|key| *key != flow);
        }
    }

    /// Handles a reset that the upstream sent for an unconfirmed flow: the flow is not here and may
    /// be open elsewhere, so the reset must not reach the client. Returns whether the flow was
    /// unconfirmed.
    fn handle_unconfirmed_reset(&mut self, flow: Key, actions: &mut Vec<Action>) -> bool {
        let is_unconfirmed = |known: &Flow| known.phase() == Phase::Unconfirmed;
        if !self.flows.get(&flow).is_some_and(is_unconfirmed) {
            return false;
        }
        if let Some(mut known) = self.flows.remove(&flow) {
            let to = known.last_sender();
            match (known.take_requester(), known.take_buffered()) {
                (Some(to), _) => actions.push(Action::Absent { to, flow }),
                (None, Some(packet)) => actions.push(Action::MissingBuffered { to, flow, packet }),
                (None, None) => {}
            }
        }
        true
    }

    /// Handles a client's packet that the upstream bounced.
    fn handle_bounced(&mut self, now: Instant, head: &Head, actions: &mut Vec<Action>) {
        let flow = head.client_flow();
        let Some(known) = self.flows.get_mut(&flow) else {
            return;
        };
        if head.opens() {
            if known.phase() != Phase::Opening {
                return;
            }
            if let Some(to) = known.syn_sender() {
                let reason = Reason::Shed;
                actions.push(Action::Return { to, reason });
            }
            known.record_bounce(now);
            self.upstream.record_bounce(now);
            self.pending_syns.retain(|key| *key != flow);
            return;
        }
        let to = known.last_sender();
        let requester = known.take_requester();
        self.flows.remove(&flow);
        actions.push(match requester {
            Some(to) => Action::Absent { to, flow },
            None => Action::Missing { to, flow },
        });
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
            self.work.reset();
            self.reset_flows(now, actions);
        }
        change
    }

    /// Handles the upstream's deregistration and returns what changed.
    pub fn handle_deregistration(
        &mut self,
        now: Instant,
        id: &str,
        actions: &mut Vec<Action>,
    ) -> Change {
        let change = self.upstream.apply_deregistration(id);
        if change == Change::Left {
            self.reset_flows(now, actions);
        }
        change
    }

    /// Resets the flows of an earlier incarnation of the upstream, which are lost.
    fn reset_flows(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.flows.retain(|&key, flow| {
            if flow.is_younger_than(now, MAX_ANNOUNCEMENT_LAG) {
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
        self.pending_syns.retain(|key| flows.contains_key(key));
    }

    /// Handles SYN timeouts and removes expired flows.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.make_offers(now, actions);
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
            let flows = &self.flows;
            self.busy_flows.retain(|key| {
                flows
                    .get(key)
                    .is_some_and(|flow| flow.is_busy(now, REQUEST_TIMEOUT))
            });
        }
    }

    /// Whether a SYN waits for the upstream's answer or a balancer for room, so that ticks must come
    /// often.
    pub fn has_pending_work(&self) -> bool {
        !self.pending_syns.is_empty() || !self.offers.is_empty()
    }

    /// The intent's revision, 0 if none.
    pub fn revision(&self) -> Revision {
        self.intent.as_ref().map_or(0, |intent| intent.revision)
    }
}
