//! The decisions of a balancer: which agent gets a client's packet.
//!
//! An opening packet is placed by load among the best ranked upstreams of its service; each copy
//! goes to another one. Packets of an open flow follow the agent that was learnt from the agents'
//! own words. The home of a flow that this balancer does not know is searched for: the packet is
//! shown to the agents one wave after the other until one of them owns it.

mod action;
mod connection;
mod members;
mod search;
mod settings;
mod waiting;

use std::{
    collections::HashMap,
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_wire::flow::Body;

pub use self::{
    action::{Action, Drop, ResetCause},
    connection::Connection,
    members::Members,
    search::{Search, Verdict},
    settings::Settings,
    waiting::Waiting,
};
use super::{Head, Intent, Key, Member, Purpose, Reason, ServiceName, intent::Kind};

/// How often forgotten flows are looked for.
const SWEEP_EVERY: Duration = Duration::from_secs(2);

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

/// A balancer's state. Inputs append what is to be done to `actions`.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    intent: Option<Arc<Intent>>,
    members: Members,
    flows: HashMap<Key, Connection>,
    searches: HashMap<Key, Search>,
    waiting: Waiting,
    /// Since when the store's list of agents has been in hand.
    synced_since: Option<Instant>,
    swept_at: Instant,
}

impl Balancer {
    /// A balancer that knows nothing yet.
    pub fn new(now: Instant, settings: Settings) -> Self {
        Self {
            members: Members::new(settings.zone.clone()),
            settings,
            intent: None,
            flows: HashMap::new(),
            searches: HashMap::new(),
            waiting: Waiting::default(),
            synced_since: None,
            swept_at: now,
        }
    }

    /// Whether it can place flows: it has the operators' intent and the list of agents.
    pub fn is_ready(&self) -> bool {
        self.intent.is_some() && self.synced_since.is_some()
    }

    /// The intent in force.
    pub fn intent(&self) -> Option<&Arc<Intent>> {
        self.intent.as_ref()
    }

    /// Agents and what is known of them.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Flows that the table holds.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Opening packets that wait for an upstream with room.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Searches that run.
    pub fn search_count(&self) -> usize {
        self.searches.len()
    }

    /// Puts a newer intent in force; an older one is passed over.
    pub fn set_intent(&mut self, intent: Arc<Intent>) -> bool {
        if self
            .intent
            .as_ref()
            .is_some_and(|own| own.revision >= intent.revision)
        {
            return false;
        }
        self.intent = Some(intent);
        true
    }

    /// Takes the store's whole list of agents.
    pub fn set_members(&mut self, now: Instant, listed: Vec<Member>) {
        self.members.replace(now, listed);
        self.synced_since.get_or_insert(now);
    }

    /// Takes agents that another balancer knows. What is known here stays.
    pub fn add_members(&mut self, now: Instant, members: Vec<Member>) {
        if members.is_empty() {
            return;
        }
        for member in members {
            self.members.add(member);
        }
        self.synced_since.get_or_insert(now);
    }

    /// Takes one agent as the store lists it now.
    pub fn list_member(&mut self, member: Member) {
        self.members.list(member);
    }

    /// Notes that the store no longer lists an agent. It may live all the same.
    pub fn unlist_member(&mut self, now: Instant, address: SocketAddrV4) {
        self.members.unlist(now, address);
    }

    /// Decides on a packet that came from a client.
    pub fn client_packet(
        &mut self,
        now: Instant,
        head: &Head,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let flow = head.client_flow();
        if head.opens() {
            self.open(now, flow, head.acknowledgement, bytes, actions);
            return;
        }
        let Some(connection) = self.flows.get_mut(&flow) else {
            self.search(now, flow, head, bytes, &[], actions);
            return;
        };
        connection.touch(now, head);
        match connection.home(head) {
            Some(to) => self.follow(now, flow, to, head, bytes, actions),
            None => {
                let first = connection.candidates();
                self.search(now, flow, head, bytes, &first, actions);
            }
        }
    }

    /// Sends a packet to the home of its flow.
    fn follow(
        &mut self,
        now: Instant,
        flow: Key,
        to: SocketAddrV4,
        head: &Head,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        // A search that still runs is of an earlier home.
        if let Some(search) = self.searches.get_mut(&flow) {
            search.hold(bytes);
            return;
        }
        if self.members.check(now, to, actions) && self.is_safe(&flow) {
            self.flows.remove(&flow);
            actions.push(Action::Reset {
                flow,
                sequence: head.acknowledgement,
                cause: ResetCause::Unreachable,
            });
            return;
        }
        actions.push(Action::Forward {
            to,
            purpose: Purpose::Known,
            service: None,
        });
    }

    /// Whether the requests of a flow may be repeated.
    fn is_safe(&self, flow: &Key) -> bool {
        self.intent
            .as_ref()
            .and_then(|intent| intent.policy.routes.get(&flow.route))
            .is_some_and(|route| route.kind == Kind::Safe)
    }

    /// Places an opening packet; `copy` counts its copies.
    fn open(
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
    fn place_waiting(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for opening in self.waiting.take() {
            let flow = opening.flow;
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
                    if let Ok(service) = self.service(&flow) {
                        self.members.refresh(now, &service, actions);
                    }
                    self.waiting.put_back(opening);
                }
                Err(obstacle) => self.obstructed(now, flow, &opening.packet, obstacle, actions),
            }
        }
    }

    /// Whether the list of agents has been in hand for long enough to say that nobody can serve.
    fn knows_members_for(&self, now: Instant) -> bool {
        self.synced_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.settings.settle)
    }

    /// Takes a frame of an agent.
    pub fn agent_frame(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        body: &Body<'_>,
        head: Option<&Head>,
        actions: &mut Vec<Action>,
    ) {
        match body {
            Body::Accepted {
                flow,
                sequence,
                report,
            } => {
                self.members.hear(now, from, *report);
                if let Some(connection) = self.flows.get_mut(flow) {
                    connection.accept(from, *sequence);
                }
            }
            Body::Returned {
                reason,
                report,
                packet,
            } => {
                self.members.hear(now, from, *report);
                if let Some(head) = head {
                    self.returned(now, from, head.client_flow(), *reason, packet, actions);
                }
            }
            Body::Found { flow, report } => {
                self.members.hear(now, from, *report);
                self.found(now, *flow, from, actions);
            }
            Body::Missing {
                flow,
                report,
                packet,
            } => {
                self.members.hear(now, from, *report);
                if let Some(head) = head {
                    self.missing(now, *flow, from, head, packet, actions);
                }
            }
            Body::Hello {
                service,
                zone,
                report,
            } => self.members.introduce(now, from, service, zone, *report),
            Body::Absent { flow, report } => {
                self.members.hear(now, from, *report);
                self.rule_out(now, *flow, from, actions);
            }
            Body::Unsure { flow, report } => {
                self.members.hear(now, from, *report);
                if let Some(search) = self.searches.get_mut(flow) {
                    search.show(from, actions);
                }
            }
            Body::Report(report) => self.members.hear(now, from, *report),
            Body::Deliver { .. } | Body::Locate { .. } | Body::Probe => {}
        }
    }

    /// An agent handed an opening packet back.
    fn returned(
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

    /// Starts or continues the search for the home of a flow.
    fn search(
        &mut self,
        now: Instant,
        flow: Key,
        head: &Head,
        bytes: &[u8],
        first: &[SocketAddrV4],
        actions: &mut Vec<Action>,
    ) {
        if let Some(search) = self.searches.get_mut(&flow) {
            search.hold(bytes);
            return;
        }
        if self.searches.len() >= self.settings.max_searches {
            actions.push(Action::Drop(flow, Drop::TooManySearches));
            return;
        }
        let route = self
            .intent
            .as_ref()
            .and_then(|intent| intent.policy.routes.get(&flow.route));
        let order = self.members.search_order(&flow, route, first);
        let kind = route.map_or(Kind::Once, |route| route.kind);
        let mut search = Search::new(now, flow, order, kind, head.acknowledgement, bytes);
        search.ask(now, &mut self.members, actions);
        self.searches.insert(flow, search);
    }

    /// An agent owns a flow.
    fn found(&mut self, now: Instant, flow: Key, from: SocketAddrV4, actions: &mut Vec<Action>) {
        if self.flows.len() < self.settings.max_flows || self.flows.contains_key(&flow) {
            self.flows
                .entry(flow)
                .or_insert_with(|| Connection::new(now))
                .settle(from);
        }
        if let Some(search) = self.searches.remove(&flow) {
            search.release(from, actions);
        }
    }

    /// An agent does not hold a flow.
    fn missing(
        &mut self,
        now: Instant,
        flow: Key,
        from: SocketAddrV4,
        head: &Head,
        packet: &[u8],
        actions: &mut Vec<Action>,
    ) {
        if !self.searches.contains_key(&flow) {
            if let Some(connection) = self.flows.get_mut(&flow) {
                if connection.settled().is_some_and(|home| home != from) {
                    // A late answer of an agent that the flow has left behind.
                    return;
                }
                connection.unsettle(from);
            }
            self.search(now, flow, head, packet, &[], actions);
        }
        self.rule_out(now, flow, from, actions);
    }

    /// A flow that is searched for is not at an agent's upstream.
    fn rule_out(&mut self, now: Instant, flow: Key, from: SocketAddrV4, actions: &mut Vec<Action>) {
        let Some(search) = self.searches.get_mut(&flow) else {
            return;
        };
        if search.rule_out(from) && !search.has_asked_all() {
            search.ask(now, &mut self.members, actions);
        }
        self.finish_search(now, flow, actions);
    }

    /// Ends a search that has no one left to ask.
    fn finish_search(&mut self, now: Instant, flow: Key, actions: &mut Vec<Action>) {
        let settled = self.knows_members_for(now);
        let Some(search) = self.searches.get_mut(&flow) else {
            return;
        };
        search.extend(&self.members);
        match search.verdict(now, &self.members, settled) {
            Verdict::Open => {}
            Verdict::Lost => {
                let sequence = search.acknowledgement();
                self.searches.remove(&flow);
                self.flows.remove(&flow);
                actions.push(Action::Reset {
                    flow,
                    sequence,
                    cause: ResetCause::Lost,
                });
            }
            Verdict::GivenUp => {
                self.searches.remove(&flow);
                actions.push(Action::Drop(flow, Drop::NotFound));
            }
        }
    }

    /// Does what is due: waves of searches, probes, forgetting.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due: Vec<Key> = self
            .searches
            .iter()
            .filter(|(_, search)| search.is_due(now))
            .map(|(flow, _)| *flow)
            .collect();
        for flow in due {
            if let Some(search) = self.searches.get_mut(&flow) {
                search.ask(now, &mut self.members, actions);
            }
            self.finish_search(now, flow, actions);
        }
        self.place_waiting(now, actions);
        self.members.probe(now, actions);
        if now.saturating_duration_since(self.swept_at) >= SWEEP_EVERY {
            self.swept_at = now;
            self.sweep(now);
        }
    }

    /// Forgets flows that may be forgotten, and agents that are gone.
    fn sweep(&mut self, now: Instant) {
        let idle = self
            .intent
            .as_ref()
            .map_or(self.settings.idle_timeout, |intent| {
                intent.policy.idle_timeout
            });
        let oldest = self.settings.max_flow_age;
        self.flows
            .retain(|_, connection| !connection.is_over(now, idle, oldest));
        self.members.sweep(now);
    }

    /// Whether something is due within moments, so that ticks must come often.
    pub fn is_pressed(&self) -> bool {
        !self.searches.is_empty() || !self.waiting.is_empty()
    }
}
