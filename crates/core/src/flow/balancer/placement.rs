//! Placement of SYNs: selection of an agent, queueing while all are full, and refusal.

use std::{net::SocketAddrV4, time::Instant};

use super::{Action, Balancer, DropCause, Flow, ResetCause};
use crate::flow::{Key, Purpose, Reason, ServiceName};

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
        if self.queue.record_copy(&flow, copy) {
            return;
        }
        if self.flows.len() >= self.settings.max_flows && !self.flows.contains_key(&flow) {
            actions.push(Action::Drop(flow, DropCause::TableFull));
            return;
        }
        let flow_state = self.flows.entry(flow).or_insert_with(|| Flow::new(now));
        flow_state.record_syn(now, copy);
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

    /// Selects an agent that was not sent the flow's SYN yet.
    fn place(
        &mut self,
        now: Instant,
        flow: Key,
    ) -> Result<(SocketAddrV4, ServiceName), PlacementError> {
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
                flow_state.add_syn_recipient(to);
                Ok((to, service))
            }
            None if settled && self.members.has_no_upstream(now, &service) => {
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
            PlacementError::NoCapacity => self.queue.push(now, flow, copy, bytes),
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

    /// Tries again to place the queued SYNs, in the order of their arrival.
    pub(super) fn place_queued(&mut self, now: Instant, actions: &mut Vec<Action>) {
        // Services without an upstream with capacity; later SYNs for them are not tried.
        let mut full: Vec<ServiceName> = Vec::new();
        for queued in self.queue.take_all() {
            let flow = queued.flow;
            let service = self.service(&flow);
            if !queued.is_expired(now) && service.as_ref().is_ok_and(|name| full.contains(name)) {
                self.queue.put_back(queued);
                continue;
            }
            if let Some(flow_state) = self.flows.get_mut(&flow) {
                flow_state.clear_returned();
            }
            match self.place(now, flow) {
                Ok((to, service)) => actions.push(Action::Send {
                    to,
                    purpose: Purpose::Open,
                    service: Some(service),
                    packet: queued.packet,
                }),
                Err(PlacementError::NoCapacity)
                    if queued.is_expired(now) && queued.has_all_copies() =>
                {
                    self.reset_unopened(flow, ResetCause::Overloaded, actions);
                }
                Err(PlacementError::NoCapacity) if queued.is_expired(now) => {
                    actions.push(Action::Drop(flow, DropCause::Unsure));
                }
                Err(PlacementError::NoCapacity) => {
                    if let Ok(service) = service {
                        self.members.refresh_load(now, &service, actions);
                        full.push(service);
                    }
                    self.queue.put_back(queued);
                }
                Err(error) => self.handle_unplaced(now, flow, &queued.packet, error, actions),
            }
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
        if flow_state.accepted_by().is_some() {
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
