//! Opening packets: where they go, how long they wait, and when they are refused.

use std::{net::SocketAddrV4, time::Instant};

use super::{Action, Balancer, Connection, Drop, ResetCause};
use crate::flow::{Key, Purpose, Reason, ServiceName};

/// Why an opening packet cannot be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Obstacle {
    /// No route leads from the address that the client asked for.
    NoRoute,
    /// The service has no upstream.
    NoUpstream,
    /// No upstream takes the flow now; one may soon.
    Wait,
    /// No further upstream takes the flow, and one that got the packet has not answered.
    Outstanding,
}

impl Balancer {
    /// Places an opening packet; `copy` counts its copies.
    pub(super) fn open(
        &mut self,
        now: Instant,
        flow: Key,
        copy: u32,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if self.waiting.note_copy(&flow, copy) {
            return;
        }
        if self.flows.len() >= self.settings.max_flows && !self.flows.contains_key(&flow) {
            actions.push(Action::Drop(flow, Drop::TableFull));
            return;
        }
        let connection = self
            .flows
            .entry(flow)
            .or_insert_with(|| Connection::new(now));
        connection.reopen(now, copy);
        let placement = match connection.accepted_by() {
            // The upstream's reply was lost; it repeats it for a copy.
            Some(to) => self.service(&flow).map(|service| (to, service)),
            None => self.place(now, flow),
        };
        match placement {
            Ok((to, service)) => actions.push(Action::Forward {
                to,
                purpose: Purpose::Open,
                service: Some(service),
            }),
            Err(obstacle) => self.obstructed(now, flow, bytes, obstacle, actions),
        }
    }

    /// The service that a new flow goes to.
    fn service(&self, flow: &Key) -> Result<ServiceName, Obstacle> {
        let intent = self.intent.as_ref().ok_or(Obstacle::Wait)?;
        let route = intent.policy.routes.get(&flow.route);
        route
            .and_then(|route| route.service(flow))
            .cloned()
            .ok_or(Obstacle::NoRoute)
    }

    /// Chooses an agent that has not had a flow's opening packet yet.
    fn place(&mut self, now: Instant, flow: Key) -> Result<(SocketAddrV4, ServiceName), Obstacle> {
        let service = self.service(&flow)?;
        let settled = self.knows_members_for(now);
        let (Some(intent), Some(connection)) = (&self.intent, self.flows.get_mut(&flow)) else {
            return Err(Obstacle::Wait);
        };
        let tried = connection.candidates();
        let zones_out = &intent.zones_out;
        match self.members.choose(now, &flow, &service, &tried, zones_out) {
            Some(to) => {
                self.members.placed(now, to);
                connection.add_candidate(to);
                Ok((to, service))
            }
            None if settled && self.members.lacks(now, &service) => Err(Obstacle::NoUpstream),
            None if !connection.all_refused() => Err(Obstacle::Outstanding),
            None => Err(Obstacle::Wait),
        }
    }

    /// Deals with an opening packet that cannot be placed now.
    fn obstructed(
        &mut self,
        now: Instant,
        flow: Key,
        bytes: &[u8],
        obstacle: Obstacle,
        actions: &mut Vec<Action>,
    ) {
        let copy = self.flows.get(&flow).map_or(0, Connection::copy);
        match obstacle {
            // An earlier packet of this attempt went through another balancer, which may have
            // opened the flow.
            Obstacle::NoRoute | Obstacle::NoUpstream if copy > 0 => {
                actions.push(Action::Drop(flow, Drop::Unsure));
            }
            Obstacle::NoRoute => self.refuse(flow, ResetCause::NoRoute, actions),
            Obstacle::NoUpstream => self.refuse(flow, ResetCause::NoUpstream, actions),
            // Another agent has the packet and may still accept it.
            Obstacle::Outstanding => actions.push(Action::Drop(flow, Drop::Outstanding)),
            Obstacle::Wait if self.waiting.len() >= self.settings.max_waiting && copy > 0 => {
                actions.push(Action::Drop(flow, Drop::Unsure));
            }
            Obstacle::Wait if self.waiting.len() >= self.settings.max_waiting => {
                self.refuse(flow, ResetCause::Overloaded, actions);
            }
            Obstacle::Wait => self.waiting.push(now, flow, copy, bytes),
        }
    }

    /// Refuses a new flow. Nothing of it has run.
    fn refuse(&mut self, flow: Key, cause: ResetCause, actions: &mut Vec<Action>) {
        self.flows.remove(&flow);
        actions.push(Action::Reset {
            flow,
            sequence: 0,
            cause,
        });
    }

    /// Tries again to place the opening packets that wait, in the order of their arrival.
    pub(super) fn place_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        // Services of which no upstream has room: who comes later need not look again.
        let mut full: Vec<ServiceName> = Vec::new();
        for opening in self.waiting.take() {
            let flow = opening.flow;
            let service = self.service(&flow);
            if !opening.is_over(now) && service.as_ref().is_ok_and(|name| full.contains(name)) {
                self.waiting.put_back(opening);
                continue;
            }
            if let Some(connection) = self.flows.get_mut(&flow) {
                connection.forgive();
            }
            match self.place(now, flow) {
                Ok((to, service)) => actions.push(Action::Send {
                    to,
                    purpose: Purpose::Open,
                    service: Some(service),
                    packet: opening.packet,
                }),
                Err(Obstacle::Wait) if opening.is_over(now) && opening.is_whole() => {
                    self.refuse(flow, ResetCause::Overloaded, actions);
                }
                Err(Obstacle::Wait) if opening.is_over(now) => {
                    actions.push(Action::Drop(flow, Drop::Unsure));
                }
                Err(Obstacle::Wait) => {
                    if let Ok(service) = service {
                        self.members.refresh(now, &service, actions);
                        full.push(service);
                    }
                    self.waiting.put_back(opening);
                }
                Err(obstacle) => self.obstructed(now, flow, &opening.packet, obstacle, actions),
            }
        }
    }

    /// An agent handed an opening packet back.
    pub(super) fn returned(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        flow: Key,
        reason: Reason,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if reason == Reason::Shed {
            self.members.shed(now, from);
        }
        let Some(connection) = self.flows.get_mut(&flow) else {
            return;
        };
        connection.refuse(from);
        if connection.accepted_by().is_some() {
            return;
        }
        match self.place(now, flow) {
            Ok((to, service)) => actions.push(Action::Send {
                to,
                purpose: Purpose::Open,
                service: Some(service),
                packet: packet.into(),
            }),
            Err(obstacle) => self.obstructed(now, flow, packet, obstacle, actions),
        }
    }
}
