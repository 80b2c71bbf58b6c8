//! Placement of SYNs: selection of an agent, queueing while all are full, and refusal.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{
    Action, Balancer, DropCause, Flow, ResetCause, Timeliness,
    admission::{self, Ages, Event, QueuedSyn, Turn},
};
use crate::flow::{Key, Priority, Purpose, Reason, ServiceName, deadline};

/// Interval at which an overdue SYN is checked again that cannot be refused yet.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Why a SYN cannot be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlacementError {
    /// There is no route for the address that the client connects to.
    NoRoute,
    /// The service has no upstreams.
    NoUpstream,
    /// No upstream can accept the flow now, but one may soon; or there is no intent yet.
    NoCapacity,
    /// No further upstream can accept the flow, and one that was sent the SYN has not answered.
    Outstanding,
    /// The client gives up before an answer can arrive, or would do better with a new attempt.
    Expired,
}

impl Balancer {
    /// Places a SYN. `copy` is 0 for the first SYN of a flow and counts its retransmissions.
    pub(super) fn open(
        &mut self,
        now: Instant,
        flow: Key,
        copy: u32,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if self.flows.len() >= self.settings.max_flows && !self.flows.contains_key(&flow) {
            actions.push(Action::Drop(flow, DropCause::TableFull));
            return;
        }
        let is_new = !self.flows.contains_key(&flow);
        if is_new && copy == 0 {
            self.record_arrival(now, &flow);
        }
        let flow_state = self.flows.entry(flow).or_insert_with(|| Flow::new(now));
        flow_state.record_syn(now, copy);
        if flow_state.is_queued() {
            return;
        }
        let placement = match flow_state.accepted_by() {
            // The SYN-ACK was lost; the upstream sends it again for a retransmitted SYN.
            Some(to) => self.service(&flow).map(|service| (to, service)),
            None => self.place_in_turn(now, flow),
        };
        match placement {
            Ok((to, service)) => actions.push(Action::Forward {
                to,
                purpose: Purpose::Open,
                service: Some(service),
            }),
            Err(error) => self.handle_unplaced(now, flow, bytes, error, actions),
        }
    }

    /// The service that a new flow goes to.
    fn service(&self, flow: &Key) -> Result<ServiceName, PlacementError> {
        let intent = self.intent.as_ref().ok_or(PlacementError::NoCapacity)?;
        let route = intent.policy.routes.get(&flow.route);
        route
            .and_then(|route| route.service(flow))
            .cloned()
            .ok_or(PlacementError::NoRoute)
    }

    /// The service that a new flow goes to, and its class there.
    fn service_and_class(&self, flow: &Key) -> Option<(ServiceName, Priority)> {
        let service = self.service(flow).ok()?;
        let class = self.admission.class_of(&service, self.route(flow));
        Some((service, class))
    }

    /// Whether requests of the service that a new flow goes to are told apart by class.
    fn has_classes(&self, flow: &Key) -> bool {
        let service = self.service(flow);
        service.is_ok_and(|service| self.admission.has_classes(&service))
    }

    /// Records the first SYN of a flow.
    fn record_arrival(&mut self, now: Instant, flow: &Key) {
        if let Some((service, class)) = self.service_and_class(flow) {
            self.admission.record_arrival(now, &service, class);
        }
    }

    /// Counts what became of a SYN.
    fn count(&mut self, flow: &Key, event: Event) {
        if let Some((service, class)) = self.service_and_class(flow) {
            self.admission.statistics.record(&service, class, event);
        }
    }

    /// What the client of a flow that is not open yet can still gain from it.
    fn timeliness(&self, now: Instant, flow: &Key) -> Timeliness {
        let Some(flow_state) = self.flows.get(flow) else {
            return Timeliness::OnTime;
        };
        self.ages(flow)
            .timeliness_of_retry(flow_state.syn_age(now), flow_state.request_age(now))
    }

    /// Ages of the SYN of a flow at which its timeliness changes.
    fn ages(&self, flow: &Key) -> Ages {
        Ages::new(self.route(flow), self.response_time(flow))
    }

    /// The average response time of the service that a new flow goes to.
    fn response_time(&self, flow: &Key) -> Option<Duration> {
        let service = self.service(flow).ok()?;
        self.response_times.get(&service)
    }

    /// Whether it is certain that no upstream has accepted the flow: all copies of its SYN arrived
    /// here and each agent that was sent one returned it. Where the service has classes, copies do
    /// not count that the client has not sent yet, and upstreams that did not answer may have accepted.
    fn is_unopened(&self, now: Instant, flow: &Key) -> bool {
        let Some(flow_state) = self.flows.get(flow) else {
            return false;
        };
        let is_certain = if self.has_classes(flow) {
            flow_state.has_sent_copies(now) && !flow_state.may_be_accepted()
        } else {
            flow_state.has_all_copies()
        };
        is_certain && flow_state.all_returned()
    }

    /// Whether the SYN of a flow is not to be placed any more. An overdue one is refused only if
    /// the refusal is certain to be true, since the client may try again at once after it.
    fn is_expired(&self, now: Instant, flow: &Key) -> bool {
        match self.timeliness(now, flow) {
            Timeliness::OnTime | Timeliness::Late => false,
            Timeliness::Overdue => self.is_unopened(now, flow),
            Timeliness::Expired => true,
        }
    }

    /// As [`Self::place`], unless SYNs of a more critical class wait for the same service.
    fn place_in_turn(
        &mut self,
        now: Instant,
        flow: Key,
    ) -> Result<(SocketAddrV4, ServiceName), PlacementError> {
        let is_passed_over = self
            .service_and_class(&flow)
            .is_some_and(|(service, class)| {
                self.admission.queue.has_more_critical(&service, class)
            });
        let all_returned = self.flows.get(&flow).is_none_or(Flow::all_returned);
        if is_passed_over && all_returned && !self.is_expired(now, &flow) {
            return Err(PlacementError::NoCapacity);
        }
        self.place(now, flow)
    }

    /// Selects an agent that was not sent the flow's SYN yet.
    fn place(
        &mut self,
        now: Instant,
        flow: Key,
    ) -> Result<(SocketAddrV4, ServiceName), PlacementError> {
        if self.is_expired(now, &flow) {
            return Err(PlacementError::Expired);
        }
        let service = self.service(&flow)?;
        let taken = self.taken_agents(&service);
        let settled = self.is_member_list_settled(now);
        let (Some(intent), Some(flow_state)) = (&self.intent, self.flows.get_mut(&flow)) else {
            return Err(PlacementError::NoCapacity);
        };
        let mut tried = flow_state.syn_recipients();
        tried.extend(taken);
        let zones_out = &intent.zones_out;
        let waiting = self.admission.queue.waiting_for(&service);
        self.members.record_waiting(&service, waiting);
        match self.members.choose(now, &flow, &service, &tried, zones_out) {
            Some(to) => {
                self.members.record_placement(now, to);
                flow_state.add_syn_recipient(now, to);
                let route = intent.policy.routes.get(&flow.route);
                let class = self.admission.class_of(&service, route);
                self.admission.record_placed(now, &service, class);
                if self.admission.has_classes(&service) {
                    self.admission.in_flight.record_sent(now, to, flow);
                }
                Ok((to, service))
            }
            None if settled && self.members.has_no_upstream(now, &service, zones_out) => {
                Err(PlacementError::NoUpstream)
            }
            None if !flow_state.all_returned() => Err(PlacementError::Outstanding),
            None => Err(PlacementError::NoCapacity),
        }
    }

    /// Agents whose stated room is taken by SYNs that are on their way, while SYNs wait for a service
    /// with classes.
    fn taken_agents(&self, service: &str) -> Vec<SocketAddrV4> {
        let admission = &self.admission;
        if !admission.has_classes(service) || !admission.is_backlogged(service) {
            return Vec::new();
        }
        let is_taken = |&(agent, count): &(SocketAddrV4, usize)| {
            self.members.get(agent).is_some_and(|member| {
                member.states_room() && count >= usize::from(member.report.headroom.max(1))
            })
        };
        let taken = admission.in_flight.iter().filter(is_taken);
        taken.map(|(agent, _)| agent).collect()
    }

    /// Queues, drops or refuses a SYN that cannot be placed now.
    fn handle_unplaced(
        &mut self,
        now: Instant,
        flow: Key,
        bytes: &[u8],
        error: PlacementError,
        actions: &mut Vec<Action>,
    ) {
        let copy = self.flows.get(&flow).map_or(0, Flow::last_copy);
        match error {
            PlacementError::Expired => self.give_up(now, flow, actions),
            // Earlier SYNs of the flow may have gone through another balancer, which may have
            // opened it.
            PlacementError::NoRoute | PlacementError::NoUpstream if copy > 0 => {
                actions.push(Action::Drop(flow, DropCause::Unsure));
            }
            PlacementError::NoRoute => self.reset_unopened(flow, ResetCause::NoRoute, actions),
            PlacementError::NoUpstream => {
                self.reset_unopened(flow, ResetCause::NoUpstream, actions)
            }
            // Another agent was sent the SYN and may still accept it.
            PlacementError::Outstanding => actions.push(Action::Drop(flow, DropCause::Outstanding)),
            PlacementError::NoCapacity => self.enqueue_or_refuse(now, flow, bytes, actions),
        }
    }

    /// Refuses a SYN that is not to be placed any more if that is certain to be true, else drops it.
    fn give_up(&mut self, now: Instant, flow: Key, actions: &mut Vec<Action>) {
        let is_overdue = self.timeliness(now, &flow) != Timeliness::Expired;
        self.count(
            &flow,
            if is_overdue {
                Event::Overdue
            } else {
                Event::Expired
            },
        );
        self.report_ended(now, &flow, actions);
        if self.is_unopened(now, &flow) {
            self.reset_unopened(flow, ResetCause::Overloaded, actions);
        } else {
            actions.push(Action::Drop(flow, DropCause::Unsure));
        }
    }

    /// Queues a SYN. Refuses it if it cannot be served, or if the queue is full of SYNs that are at
    /// least as critical.
    fn enqueue_or_refuse(
        &mut self,
        now: Instant,
        flow: Key,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if self.is_unservable(now, &flow) {
            self.refuse_unservable(now, flow, actions);
            return;
        }
        if self.admission.queue.len() >= self.settings.max_queued
            && !self.evict(now, &flow, actions)
        {
            self.count(&flow, Event::QueueFull);
            let is_certain = if self.has_classes(&flow) {
                self.is_unopened(now, &flow)
            } else {
                self.flows.get(&flow).map_or(0, Flow::last_copy) == 0
            };
            if is_certain {
                self.reset_unopened(flow, ResetCause::Overloaded, actions);
            } else {
                actions.push(Action::Drop(flow, DropCause::Unsure));
            }
            return;
        }
        self.count(&flow, Event::Queued);
        self.enqueue(now, flow, bytes.into(), None);
        self.inquire(now, &flow, actions);
    }

    /// Whether a SYN will not be placed before it expires, and it is certain that it has not been
    /// until now. Only the first copy is refused for that: later ones have waited long enough that
    /// their place in the order tells more than the forecast.
    fn is_unservable(&mut self, now: Instant, flow: &Key) -> bool {
        let Some((service, class)) = self.service_and_class(flow) else {
            return false;
        };
        if !self.admission.has_classes(&service) || !self.is_unopened(now, flow) {
            return false;
        }
        let ages = self.ages(flow);
        let Some(flow_state) = self.flows.get(flow) else {
            return false;
        };
        if flow_state.last_copy() > 0 {
            return false;
        }
        let ends = (late_at(flow_state, &ages), expires_at(flow_state, &ages));
        let turn = self.admission.next_turn(&service, class, *flow.client.ip());
        self.admission
            .is_unservable(now, &service, class, turn, ends)
    }

    /// Refuses a SYN by the forecast.
    fn refuse_unservable(&mut self, now: Instant, flow: Key, actions: &mut Vec<Action>) {
        self.count(&flow, Event::Unservable);
        if let Some((service, class)) = self.service_and_class(&flow) {
            self.admission.record_refused(now, &service, class);
        }
        self.report_ended(now, &flow, actions);
        self.reset_unopened(flow, ResetCause::Unservable, actions);
    }

    /// Makes room in the full queue for a SYN by evicting another one of the same service, and returns
    /// whether there was one.
    fn evict(&mut self, now: Instant, flow: &Key, actions: &mut Vec<Action>) -> bool {
        let Some((service, class)) = self.service_and_class(flow) else {
            return false;
        };
        let turn = self.admission.next_turn(&service, class, *flow.client.ip());
        let Some(evicted) = self.admission.evict(&service, class, turn) else {
            return false;
        };
        let flow = evicted.flow;
        self.set_queued(&flow, false);
        self.count(&flow, Event::Evicted);
        self.report_ended(now, &flow, actions);
        if self.is_unopened(now, &flow) {
            self.reset_unopened(flow, ResetCause::Evicted, actions);
        } else {
            actions.push(Action::Drop(flow, DropCause::Unsure));
        }
        true
    }

    /// The agent that keeps earlier attempts of the caller of a flow, if the flow's service has classes
    /// and SYNs wait for it.
    fn directory(&self, now: Instant, flow: &Key) -> Option<SocketAddrV4> {
        let service = self.service(flow).ok()?;
        let admission = &self.admission;
        if !admission.has_classes(&service) || admission.queue.waiting_for(&service) == 0 {
            return None;
        }
        admission::directory(self.members.iter(), now, &service, flow)
    }

    /// Records an attempt that ended without an answer, for the caller's next one.
    fn report_ended(&mut self, now: Instant, flow: &Key, actions: &mut Vec<Action>) {
        let Some(age) = self.flows.get(flow).map(|flow| flow.request_age(now)) else {
            return;
        };
        if let Some(agent) = self.directory(now, flow) {
            let returning = &mut self.admission.returning;
            returning.record_ended(now, agent, flow, age, actions);
        }
    }

    /// Asks for earlier attempts of the caller of a flow whose first SYN was queued.
    fn inquire(&mut self, now: Instant, flow: &Key, actions: &mut Vec<Action>) {
        let Some(agent) = self.directory(now, flow) else {
            return;
        };
        let Some(flow_state) = self.flows.get_mut(flow) else {
            return;
        };
        if flow_state.last_copy() == 0 && flow_state.begin_inquiry() {
            self.admission.returning.inquire(now, agent, *flow, actions);
        }
    }

    /// Handles an agent's answer that callers of these flows had earlier attempts.
    pub(super) fn handle_earlier(
        &mut self,
        now: Instant,
        flows: &[(Key, u32)],
        actions: &mut Vec<Action>,
    ) {
        for &(flow, age_ms) in flows {
            let Some(flow_state) = self.flows.get_mut(&flow).filter(|flow| flow.is_queued()) else {
                continue;
            };
            flow_state.set_request_age(now, Duration::from_millis(age_ms.into()));
            let Some(syn) = self.admission.queue.remove(&flow) else {
                continue;
            };
            self.count(&flow, Event::Recognized);
            if self.is_unservable(now, &flow) {
                self.refuse_unservable(now, flow, actions);
            } else {
                self.enqueue(now, flow, syn.packet, syn.turn);
            }
        }
    }

    /// Resets a new flow, of which no request has been executed.
    fn reset_unopened(&mut self, flow: Key, cause: ResetCause, actions: &mut Vec<Action>) {
        self.flows.remove(&flow);
        actions.push(Action::Reset {
            flow,
            sequence: 0,
            cause,
        });
    }

    /// Queues a SYN until an upstream has capacity. `turn` is the one that it had if it was queued
    /// before.
    fn enqueue(&mut self, now: Instant, flow: Key, packet: Box<[u8]>, turn: Option<Turn>) {
        let ages = self.ages(&flow);
        // Without an intent the service is not known yet.
        let (service, class) = self.service_and_class(&flow).unwrap_or_default();
        let address = *flow.client.ip();
        let turn = turn.or_else(|| self.admission.next_turn(&service, class, address));
        let Some(flow_state) = self.flows.get_mut(&flow) else {
            return;
        };
        flow_state.set_queued(true);
        // An overdue SYN may be refused as soon as its last copy has arrived here.
        let overdue_at = deadline(
            flow_state.first_syn_at(),
            ages.overdue.unwrap_or(ages.expired),
        );
        let expires_at = expires_at(flow_state, &ages);
        let syn = QueuedSyn {
            flow,
            class,
            packet,
            late_at: late_at(flow_state, &ages),
            check_at: overdue_at.max(now + RECHECK_INTERVAL).min(expires_at),
            turn,
        };
        self.admission.push(now, service, syn);
    }

    /// Refuses or drops queued SYNs that need not wait any longer, and tries to place the others.
    pub(super) fn place_queued(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(syn) = self.admission.queue.pop_due(now) {
            let flow = syn.flow;
            if self.is_expired(now, &flow) {
                self.set_queued(&flow, false);
                self.handle_unplaced(now, flow, &syn.packet, PlacementError::Expired, actions);
            } else {
                self.enqueue(now, flow, syn.packet, syn.turn);
            }
        }
        for service in self.admission.queue.services() {
            self.place_queued_for(now, &service, actions);
            self.demand_room(now, &service, actions);
        }
    }

    /// Places queued SYNs for a service while an upstream has capacity.
    pub(super) fn place_queued_for(
        &mut self,
        now: Instant,
        service: &ServiceName,
        actions: &mut Vec<Action>,
    ) {
        while let Some(QueuedSyn {
            flow, packet, turn, ..
        }) = self.admission.pop(now, service)
        {
            self.set_queued(&flow, false);
            let Some(flow_state) = self.flows.get_mut(&flow) else {
                // The flow was removed from the table.
                actions.push(Action::Drop(flow, DropCause::Unsure));
                continue;
            };
            if flow_state.accepted_by().is_some() {
                // By an upstream whose agent had taken it to be silent.
                continue;
            }
            flow_state.clear_returned();
            match self.place(now, flow) {
                Ok((to, service)) => actions.push(Action::Send {
                    to,
                    purpose: Purpose::Open,
                    service: Some(service),
                    packet,
                }),
                Err(PlacementError::NoCapacity) => {
                    self.enqueue(now, flow, packet, turn);
                    return;
                }
                Err(error) => self.handle_unplaced(now, flow, &packet, error, actions),
            }
        }
    }

    /// Asks agents for room while SYNs for their service are queued.
    fn demand_room(&mut self, now: Instant, service: &ServiceName, actions: &mut Vec<Action>) {
        let waiting = self.admission.queue.waiting_for(service);
        if waiting > 0 {
            let has_classes = self.admission.has_classes(service);
            let by_class = has_classes.then(|| self.admission.demand(now, service));
            self.members
                .demand_room(now, service, waiting, by_class.as_deref(), actions);
        }
    }

    /// Records whether the SYN of a flow is queued.
    fn set_queued(&mut self, flow: &Key, queued: bool) {
        if let Some(flow_state) = self.flows.get_mut(flow) {
            flow_state.set_queued(queued);
        }
    }

    /// Places a SYN that an agent returned on another one.
    pub(super) fn handle_returned(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        flow: Key,
        reason: Reason,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if reason == Reason::Shed {
            self.members.record_shed(now, from);
        }
        let Some(flow_state) = self.flows.get_mut(&flow) else {
            return;
        };
        flow_state.record_return(from, reason);
        self.admission.in_flight.record_answered(from, &flow);
        if flow_state.accepted_by().is_some() || flow_state.is_queued() {
            return;
        }
        if let Ok(service) = self.service(&flow) {
            self.admission.record_returned(now, &service);
        }
        match self.place_in_turn(now, flow) {
            Ok((to, service)) => actions.push(Action::Send {
                to,
                purpose: Purpose::Open,
                service: Some(service),
                packet: packet.into(),
            }),
            Err(error) => self.handle_unplaced(now, flow, packet, error, actions),
        }
    }
}

/// When the SYN of a flow becomes late.
fn late_at(flow: &Flow, ages: &Ages) -> Instant {
    match ages.late {
        Some(late) => flow.first_attempt_at() + late,
        None => expires_at(flow, ages),
    }
}

/// When the SYN of a flow expires.
fn expires_at(flow: &Flow, ages: &Ages) -> Instant {
    let expires_at = deadline(flow.first_syn_at(), ages.expired);
    ages.timed_out.map_or(expires_at, |timed_out| {
        expires_at.min(flow.first_attempt_at() + timed_out)
    })
}
