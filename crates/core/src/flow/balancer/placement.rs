//! Placement of SYNs: selection of an agent, queueing while all are full, and refusal.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Action, Balancer, DropCause, Flow, ResetCause, Timeliness, queue::QueuedSyn, timeliness::Ages,
};
use crate::flow::{Intent, Key, Purpose, Reason, ServiceName};

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
        let flow_state = self.flows.entry(flow).or_insert_with(|| Flow::new(now));
        flow_state.record_syn(now, copy);
        if flow_state.is_queued() {
            return;
        }
        let placement = match flow_state.accepted_by() {
            // The SYN-ACK was lost; the upstream sends it again for a retransmitted SYN.
            Some(to) => self.service(&flow).map(|service| (to, service)),
            None => self.place(now, flow),
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

    /// What the client of a flow that is not open yet can still gain from it.
    fn timeliness(&self, now: Instant, flow: &Key) -> Timeliness {
        let Some(flow_state) = self.flows.get(flow) else {
            return Timeliness::OnTime;
        };
        self.ages(flow).timeliness(flow_state.syn_age(now))
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
    /// here and each agent that was sent one returned it.
    fn is_unopened(&self, flow: &Key) -> bool {
        self.flows
            .get(flow)
            .is_some_and(|flow| flow.has_all_copies() && flow.all_returned())
    }

    /// Whether the SYN of a flow is not to be placed any more. An overdue one is refused only if
    /// the refusal is certain to be true, since the client may try again at once after it.
    fn is_expired(&self, now: Instant, flow: &Key) -> bool {
        match self.timeliness(now, flow) {
            Timeliness::OnTime | Timeliness::Late => false,
            Timeliness::Overdue => self.is_unopened(flow),
            Timeliness::Expired => true,
        }
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
        let settled = self.is_member_list_settled(now);
        let (Some(intent), Some(flow_state)) = (&self.intent, self.flows.get_mut(&flow)) else {
            return Err(PlacementError::NoCapacity);
        };
        let tried = flow_state.syn_recipients();
        let zones_out = &intent.zones_out;
        match self.members.choose(now, &flow, &service, &tried, zones_out) {
            Some(to) => {
                self.members.record_placement(now, to);
                flow_state.add_syn_recipient(now, to);
                Ok((to, service))
            }
            None if settled && self.members.has_no_upstream(now, &service, zones_out) => {
                Err(PlacementError::NoUpstream)
            }
            None if !flow_state.all_returned() => Err(PlacementError::Outstanding),
            None => Err(PlacementError::NoCapacity),
        }
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
            PlacementError::Expired if self.is_unopened(&flow) => {
                self.reset_unopened(flow, ResetCause::Overloaded, actions);
            }
            PlacementError::Expired => actions.push(Action::Drop(flow, DropCause::Unsure)),
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
            PlacementError::NoCapacity
                if self.queue.len() >= self.settings.max_queued && copy > 0 =>
            {
                actions.push(Action::Drop(flow, DropCause::Unsure));
            }
            PlacementError::NoCapacity if self.queue.len() >= self.settings.max_queued => {
                self.reset_unopened(flow, ResetCause::Overloaded, actions);
            }
            PlacementError::NoCapacity => self.enqueue(now, flow, bytes.into()),
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

    /// Queues a SYN until an upstream has capacity.
    fn enqueue(&mut self, now: Instant, flow: Key, packet: Box<[u8]>) {
        let ages = self.ages(&flow);
        let priority = self.route(&flow).map_or(0, |route| route.priority);
        // Without an intent the service is not known yet.
        let service = self.service(&flow).unwrap_or_default();
        let Some(flow_state) = self.flows.get_mut(&flow) else {
            return;
        };
        flow_state.set_queued(true);
        let at_age = |age| flow_state.first_syn_at() + age;
        // An overdue SYN may be refused as soon as its last copy has arrived here.
        let overdue_at = at_age(ages.overdue.unwrap_or(ages.expired));
        let expires_at = at_age(ages.expired);
        self.queue.push(
            service,
            QueuedSyn {
                flow,
                packet,
                priority,
                late_at: at_age(ages.late.unwrap_or(ages.expired)),
                check_at: overdue_at.max(now + RECHECK_INTERVAL).min(expires_at),
            },
        );
    }

    /// Refuses or drops queued SYNs that need not wait any longer, and tries to place the others.
    pub(super) fn place_queued(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some(syn) = self.queue.pop_due(now) {
            let flow = syn.flow;
            if self.is_expired(now, &flow) {
                self.set_queued(&flow, false);
                self.handle_unplaced(now, flow, &syn.packet, PlacementError::Expired, actions);
            } else {
                self.enqueue(now, flow, syn.packet);
            }
        }
        for service in self.queue.services() {
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
        while let Some(QueuedSyn { flow, packet, .. }) = self.queue.pop(now, service) {
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
                    self.enqueue(now, flow, packet);
                    return;
                }
                Err(error) => self.handle_unplaced(now, flow, &packet, error, actions),
            }
        }
    }

    /// Asks agents for room while SYNs for their service are queued.
    fn demand_room(&mut self, now: Instant, service: &str, actions: &mut Vec<Action>) {
        let waiting = self.queue.waiting_for(service);
        if waiting == 0 {
            return;
        }
        let before = actions.len();
        self.members.demand_room(now, service, waiting, actions);
        let has_classes = |intent: &Arc<Intent>| intent.policy.priorities(service).len() > 1;
        if !self.intent.as_ref().is_some_and(has_classes) {
            return;
        }
        let waiting = self.queue.waiting_by_priority(service);
        for action in actions.iter_mut().skip(before) {
            if let Action::Demand { to, .. } = *action {
                let waiting = waiting.clone();
                *action = Action::ClassDemand { to, waiting };
            }
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
        flow_state.record_return(from);
        if flow_state.accepted_by().is_some() || flow_state.is_queued() {
            return;
        }
        match self.place(now, flow) {
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
