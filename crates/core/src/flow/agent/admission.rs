//! Admission of SYNs: the upstream's room, offers of it to balancers, the cold limit, and the reasons
//! for which a SYN is returned.

use std::{collections::BTreeSet, net::SocketAddrV4, time::Instant};

use super::{Action, Agent, Delivery, Flow, Phase, REQUEST_TIMEOUT, offers::Class};
use crate::flow::{Key, Priority, Reason, State, limiter};

/// Flows with a request in progress at an upstream that has not announced its slots, for the one
/// heartbeat that this takes. Few enough for a small upstream, whose bounces show its limit.
const UNANNOUNCED_LIMIT: usize = 8;

impl Agent {
    /// Handles a balancer's message that `waiting` SYNs for this service are queued there.
    pub fn handle_demand(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        waiting: u16,
        actions: &mut Vec<Action>,
    ) {
        let waiting = [(None, waiting)];
        self.offers.record_demand(now, from, waiting.into_iter());
        self.answer_demand(now, from, actions);
    }

    /// As [`Self::handle_demand`], with the number of SYNs by priority.
    pub fn handle_class_demand(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        waiting: &[(Priority, u16)],
        actions: &mut Vec<Action>,
    ) {
        let by_class = waiting.iter().map(|&(class, count)| (Some(class), count));
        self.offers.record_demand(now, from, by_class);
        self.answer_demand(now, from, actions);
    }

    /// Offers a balancer room that it has asked for, or tells it that there is none.
    fn answer_demand(&mut self, now: Instant, from: SocketAddrV4, actions: &mut Vec<Action>) {
        if !self.make_offers(now, actions).contains(&from) {
            actions.push(Action::Report { to: from });
        }
    }

    /// Gives the upstream's room to balancers with queued SYNs, as offers, and to held requests, and
    /// returns the balancers that were offered some.
    pub(super) fn make_offers(
        &mut self,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> BTreeSet<SocketAddrV4> {
        let mut recipients = BTreeSet::new();
        self.deliver_due(now, actions);
        let may_offer = !self.offers.is_empty() && self.upstream.state(now).accepts_flows();
        if !may_offer && self.held.is_empty() {
            return recipients;
        }
        self.offers.expire(now);
        loop {
            let offered = self.offers.offered();
            let mut waiting: BTreeSet<Class> = self.held.classes().map(Some).collect();
            if self.takes_flows(now, offered) {
                waiting.extend(self.offers.classes());
            }
            let has_room = |class: &&Class| self.room_for(now, **class) > offered;
            let Some(critical) = waiting.iter().find(has_room).copied() else {
                break;
            };
            let waiting = waiting.split_off(&critical);
            let lower_share = self.settings.lower_class_share;
            let Some(class) = self.classes.next(&waiting, lower_share) else {
                break;
            };
            if let Some(flow) = class.and_then(|class| self.held.first_of(now, class)) {
                self.deliver_held(now, &flow, actions);
            } else if let Some(to) = self.offers.offer(now, class) {
                if let Some(class) = class {
                    self.classes.count(class, |counts| counts.offered += 1);
                }
                recipients.insert(to);
            }
        }
        let reports = recipients.iter().map(|&to| Action::Report { to });
        actions.extend(reports);
        recipients
    }

    /// Whether a SYN can be admitted beside those that `offered` places are kept for, if there is
    /// room.
    fn takes_flows(&mut self, now: Instant, offered: usize) -> bool {
        match self.upstream.state(now) {
            State::Cold | State::Unknown => self.headroom(now) > offered,
            State::Ready => true,
            State::Silent | State::Draining | State::Gone => false,
        }
    }

    /// Flows or requests of a class that the upstream can take now, apart from the cold limit.
    ///
    /// Less critical flows count half, so that a critical SYN is admitted to an upstream that is
    /// full of them and waits there behind a few requests. What this adds to the room of any class
    /// stays within what the upstream bears.
    pub(super) fn room_for(&self, now: Instant, class: Class) -> usize {
        if self.upstream.is_shedding(now) {
            return 0;
        }
        let busy = self.busy(now);
        let for_any = self.room_beside(busy);
        let Some(class) = class.filter(|_| !self.classes.is_empty()) else {
            return for_any;
        };
        let less_critical = self.busy_below(now, class);
        let counted = busy - less_critical + less_critical.div_ceil(2);
        let bearable = self.upstream.bearable().saturating_sub(busy);
        for_any.max(self.room_beside(counted).min(bearable))
    }

    /// Busy flows that are less critical than a class.
    fn busy_below(&self, now: Instant, class: Priority) -> usize {
        let intent = self.intent.as_deref();
        let is_below = |key: &&Key| self.is_busy(now, key) && self.classes.of(intent, key) > class;
        self.busy_flows.iter().filter(is_below).count()
    }

    /// Flows that the upstream can take beside `busy` ones.
    fn room_beside(&self, busy: usize) -> usize {
        match self.upstream.slots() {
            0 => UNANNOUNCED_LIMIT.saturating_sub(busy),
            slots => self.work.room(slots, self.latency_objective, busy),
        }
    }

    /// New flows that the upstream can take now, whatever their class.
    pub(super) fn room(&mut self, now: Instant) -> usize {
        if self.upstream.is_shedding(now) {
            return 0;
        }
        let busy = self.busy(now);
        let by_work = self.room_beside(busy);
        match self.upstream.state(now) {
            State::Cold | State::Unknown => by_work.min(self.headroom(now)),
            State::Ready | State::Silent | State::Draining | State::Gone => by_work,
        }
    }

    /// Whether the upstream has as many requests in progress as it can answer in time, as far as a
    /// SYN of a class counts them, or the rest is kept for other balancers. A balancer that was
    /// offered room for the class has it, even if requests have come faster than expected since.
    fn is_full(&mut self, now: Instant, from: SocketAddrV4, class: Priority) -> bool {
        self.offers.expire(now);
        let offered_for = self.offers.class_of_next(from);
        let has_offer = offered_for.is_some();
        let offered = match offered_for {
            Some(offered_for) if offered_for.is_none_or(|offered_for| class <= offered_for) => {
                return false;
            }
            Some(_) if self.classes.is_empty() => return false,
            // A place that was offered for a more critical SYN, which has gone elsewhere.
            Some(_) => self.offers.offered() - 1,
            None => self.offers.offered(),
        };
        if !self.takes_flows(now, offered) {
            return true;
        }
        let lower_share = self.settings.lower_class_share;
        self.room_for(now, Some(class)) <= offered
            && !(has_offer && self.classes.use_lower_turn(lower_share))
    }

    /// Changes the parameters of the cold limit.
    pub fn set_cold_bounds(&mut self, coverage: f64, slack: f64) {
        self.settings.cold_coverage = coverage;
        self.settings.cold_slack = slack;
    }

    /// Changes the share of the places that each less critical class keeps.
    pub fn set_lower_class_share(&mut self, share: f64) {
        self.settings.lower_class_share = share;
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

    /// Handles a SYN.
    pub(super) fn open(
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
        let class = self.classes.of(self.intent.as_deref(), &flow);
        let reason = self.return_reason(now, from, &flow, class, delivery);
        if let Some(took) = self.offers.use_offer(now, from) {
            self.work.record_offer(took);
        }
        if let Some(reason) = reason {
            self.classes.count(class, |counts| counts.returned += 1);
            actions.push(Action::Return { to: from, reason });
            return;
        }
        self.classes.record_admission(class);
        self.cold_limiter.admit(now);
        self.upstream.syn_sent(now);
        self.absent.remove(&flow);
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
        class: Priority,
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
        if self.is_zone_out() {
            return Some(Reason::ZoneOut);
        }
        match self.upstream.state(now) {
            State::Ready | State::Unknown | State::Cold if self.upstream.is_shedding(now) => {
                Some(Reason::Shed)
            }
            State::Unknown | State::Cold if self.headroom(now) == 0 => Some(Reason::Cold),
            State::Ready | State::Unknown | State::Cold => {
                self.is_full(now, from, class).then_some(Reason::Busy)
            }
            State::Draining | State::Gone => Some(Reason::Leaving),
            State::Silent if self.upstream.may_retry(now) => None,
            State::Silent => Some(Reason::Silent),
        }
    }

    /// Flows with a request in progress or about to arrive.
    pub(super) fn busy(&self, now: Instant) -> usize {
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
    pub(super) fn update_busy(&mut self, now: Instant, key: Key) {
        if self.is_busy(now, &key) {
            self.busy_flows.insert(key);
        } else {
            self.busy_flows.remove(&key);
        }
    }

    /// Requests that the upstream has not answered yet.
    pub(super) fn requests_in_progress(&self, now: Instant) -> usize {
        let has_request = |key: &&Key| {
            let flow = self.flows.get(key);
            flow.is_some_and(|flow| flow.has_request(now, REQUEST_TIMEOUT))
        };
        self.busy_flows.iter().filter(has_request).count()
    }
}
