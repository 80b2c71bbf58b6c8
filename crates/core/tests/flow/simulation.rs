//! Simulation of balancers, agents, upstreams and clients under one virtual clock, with seeded
//! faults. The invariants are asserted while it runs: no open flow is reset; no flow is opened at
//! another service, in a zone that is out or at a draining upstream; the limit of a cold upstream
//! is not exceeded.

use std::{
    collections::{BTreeMap, BinaryHeap, HashMap, HashSet},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_core::flow::{
    Agent, Balancer, Head, Intent, Key, Member, Purpose, Reason, Report, State,
    agent::{self, Action as AgentAction, Announcement, Delivery},
    balancer::{self, Action},
    packet::Flags,
};
use sassafrasmast_wire::flow::{Body, Frame, Question};

use crate::fixture::{
    OTHER_SERVICE, OTHER_ZONE, SERVICE, ZONE, bounced, client_head, flow, intent, ms, upstream_head,
};

/// One-way delay between processes on different VMs. Packets between an agent and its upstream
/// arrive at once.
const DELAY: Duration = Duration::from_millis(1);

/// Shortest time in which a terminated process is restarted, in milliseconds.
const MIN_RESTART_MS: u64 = 500;

/// Cold rate of the service, and the bound per second that follows with coverage 1.5 and slack 5.
const COLD_RATE: f64 = 10.0;
const COLD_BOUND: usize = 20;

/// Time after which all processes must comply with a change of the intent or of an upstream.
const MAX_CHANGE_LAG: Duration = Duration::from_millis(50);

/// A packet: its head, which is also its content.
type Packet = Head;

#[derive(Debug, Clone)]
enum Event {
    ClientPacket(usize, Packet),
    /// Frame from a balancer: agent, balancer, frame, packet.
    ToAgent(usize, usize, Vec<u8>, Packet),
    /// Frame from an agent: balancer, agent, frame, packet.
    ToBalancer(usize, usize, Vec<u8>, Option<Packet>),
    ToUpstream(usize, Packet),
    FromUpstream(usize, Packet),
    ToClient(Packet),
    Send(Key),
    OpenFlow,
    Request(Key),
    /// Announcement of an upstream: its index and incarnation.
    Announce(usize, u64),
    SetIntent(Node, Arc<Intent>),
    Tick(Node),
    Fault,
}

/// A fault or a planned change.
#[derive(Debug, Clone, Copy)]
enum Fault {
    BalancerReplaced(usize),
    AgentRestarted(usize),
    UpstreamRestarted(usize),
    Drain(usize),
    ZoneOut,
    ZoneIn,
    Unlisted { balancer: usize, agent: usize },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Node {
    Balancer(usize),
    Agent(usize),
}

#[derive(Debug)]
struct Scheduled {
    at: Duration,
    sequence_number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence_number).cmp(&(self.at, self.sequence_number))
    }
}

/// An upstream that implements the flow protocol as far as the invariants require.
#[derive(Debug, Default)]
struct Upstream {
    incarnation: u64,
    sequence: u64,
    cold_until: Duration,
    draining_at: Option<Duration>,
    half_open: HashMap<Key, u32>,
    open: HashSet<Key>,
    openings: Vec<Duration>,
}

#[derive(Debug, Default)]
struct Client {
    /// The acknowledgement number of the client, once it has chosen a SYN-ACK.
    chosen: Option<u32>,
    copies: u32,
    sequence: u32,
    waiting: bool,
    attempts: u32,
    is_reset: bool,
}

struct Simulation {
    start: Instant,
    now: Duration,
    rng: StdRng,
    queue: BinaryHeap<Scheduled>,
    sequence_number: u64,
    balancers: Vec<Balancer>,
    agents: Vec<Agent>,
    upstreams: Vec<Upstream>,
    clients: BTreeMap<Key, Client>,
    intent: Arc<Intent>,
    zone_out_since: Option<Duration>,
    next_port: u16,
    answered: usize,
    resets: usize,
    fault_log: Vec<String>,
}

fn service_of(agent: usize) -> &'static str {
    if agent % 4 == 3 {
        OTHER_SERVICE
    } else {
        SERVICE
    }
}

fn zone_of(node: usize) -> &'static str {
    if node.is_multiple_of(2) {
        ZONE
    } else {
        OTHER_ZONE
    }
}

fn agent_address(agent: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 1, agent as u8].into(), 7000)
}

fn balancer_address(balancer: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, balancer as u8].into(), 7000)
}

impl Simulation {
    fn new(seed: u64, balancers: usize, agents: usize) -> Self {
        let mut simulation = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            sequence_number: 0,
            balancers: Vec::new(),
            agents: Vec::new(),
            upstreams: Vec::new(),
            clients: BTreeMap::new(),
            intent: intent(1, &[(SERVICE, 1)], COLD_RATE),
            zone_out_since: None,
            next_port: 1,
            answered: 0,
            resets: 0,
            fault_log: Vec::new(),
        };
        for index in 0..agents {
            simulation.upstreams.push(Upstream {
                incarnation: 1,
                ..Upstream::default()
            });
            let agent = simulation.new_agent(index);
            simulation.agents.push(agent);
            simulation.schedule(ms(1), Event::Announce(index, 1));
            simulation.schedule(ms(5), Event::Tick(Node::Agent(index)));
        }
        for index in 0..balancers {
            let balancer = simulation.new_balancer(index);
            simulation.balancers.push(balancer);
            simulation.schedule(ms(5), Event::Tick(Node::Balancer(index)));
        }
        simulation.schedule(ms(1_000), Event::OpenFlow);
        simulation.schedule(ms(1_500), Event::Fault);
        simulation
    }

    fn at(&self) -> Instant {
        self.start + self.now
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence_number += 1;
        self.queue.push(Scheduled {
            at: self.now + after,
            sequence_number: self.sequence_number,
            event,
        });
    }

    fn new_agent(&self, index: usize) -> Agent {
        let mut agent = Agent::new(
            self.at(),
            agent::Settings {
                service: service_of(index).into(),
                zone: zone_of(index).into(),
                incarnation: self.now.as_millis() as u64 + 1,
                cold_coverage: 1.5,
                cold_slack: 5.0,
                ..agent::Settings::default()
            },
        );
        agent.set_intent(Arc::clone(&self.intent));
        agent
    }

    fn new_balancer(&self, index: usize) -> Balancer {
        let mut balancer = Balancer::new(
            self.at(),
            balancer::Settings {
                zone: zone_of(index).into(),
                ..balancer::Settings::default()
            },
        );
        balancer.set_intent(Arc::clone(&self.intent));
        let members = (0..self.upstreams.len())
            .map(|agent| {
                let report = Report {
                    state: State::Unknown,
                    slots: 1,
                    headroom: 1,
                    ..Report::default()
                };
                let service = service_of(agent).into();
                Member::listed(agent_address(agent), service, zone_of(agent).into(), report)
            })
            .collect();
        balancer.set_members(self.at(), members);
        balancer
    }

    fn run(&mut self, until: Duration) {
        while let Some(scheduled) = self.queue.pop() {
            if scheduled.at > until {
                return;
            }
            self.now = scheduled.at;
            self.step(scheduled.event);
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::ClientPacket(balancer, packet) => {
                let now = self.at();
                let mut actions = Vec::new();
                self.balancers[balancer].handle_client_packet(
                    now,
                    &packet,
                    &encode(&packet),
                    &mut actions,
                );
                self.balancer_actions(balancer, actions, Some(packet));
            }
            Event::ToAgent(agent, from, frame, packet) => {
                self.at_agent(agent, from, &frame, &packet)
            }
            Event::ToBalancer(balancer, from, frame, packet) => {
                let now = self.at();
                let mut actions = Vec::new();
                let frame = Frame::decode(&frame).unwrap();
                let from = agent_address(from);
                self.balancers[balancer].handle_agent_frame(
                    now,
                    from,
                    &frame.body,
                    packet.as_ref(),
                    &mut actions,
                );
                self.balancer_actions(balancer, actions, None);
            }
            Event::ToUpstream(upstream, packet) => self.at_upstream(upstream, packet),
            Event::FromUpstream(agent, packet) => {
                let now = self.at();
                let mut actions = Vec::new();
                self.agents[agent].handle_upstream_packet(now, &packet, &mut actions);
                self.agent_actions(agent, actions, packet);
            }
            Event::ToClient(packet) => self.at_client(packet),
            Event::Send(flow) => self.send_until_answered(flow),
            Event::OpenFlow => {
                self.open_flow();
                let pause = ms(self.rng.random_range(5..40));
                self.schedule(pause, Event::OpenFlow);
            }
            Event::Request(flow) => self.request(flow),
            Event::Announce(upstream, incarnation) => self.announce(upstream, incarnation),
            Event::SetIntent(node, intent) => match node {
                Node::Balancer(index) => {
                    self.balancers[index].set_intent(intent);
                }
                Node::Agent(index) => {
                    self.agents[index].set_intent(intent);
                }
            },
            Event::Tick(node) => self.tick(node),
            Event::Fault => {
                self.inject_random();
                let pause = ms(self.rng.random_range(200..900));
                self.schedule(pause, Event::Fault);
            }
        }
    }

    fn tick(&mut self, node: Node) {
        let now = self.at();
        match node {
            Node::Balancer(index) => {
                let mut actions = Vec::new();
                self.balancers[index].tick(now, &mut actions);
                self.balancer_actions(index, actions, None);
            }
            Node::Agent(index) => {
                let mut actions = Vec::new();
                self.agents[index].tick(now, &mut actions);
                let placeholder = client_head(flow(0), Flags::default(), 0, 0);
                self.agent_actions(index, actions, placeholder);
            }
        }
        self.schedule(ms(5), Event::Tick(node));
    }

    /// Confirms a balancer's list of agents if it asks for that, as a store does that answers at once. Returns
    /// the actions with those that follow.
    fn confirm_list(&mut self, balancer: usize, mut actions: Vec<Action>) -> Vec<Action> {
        if actions.contains(&Action::List) {
            let now = self.at();
            self.balancers[balancer].confirm_members(now, now, &mut actions);
        }
        actions
    }

    fn balancer_actions(&mut self, from: usize, actions: Vec<Action>, current: Option<Packet>) {
        let revision = self.balancers[from].revision();
        for action in self.confirm_list(from, actions) {
            let (to, body, packet) = match &action {
                Action::Forward {
                    to,
                    purpose,
                    service,
                } => {
                    let packet = current.unwrap();
                    (*to, deliver(*purpose, service.as_deref()), packet)
                }
                Action::Send {
                    to,
                    purpose,
                    service,
                    packet,
                } => (*to, deliver(*purpose, service.as_deref()), decode(packet)),
                Action::Locate {
                    to,
                    flow,
                    acknowledgement,
                } => {
                    let question = Question {
                        flow: *flow,
                        acknowledgement: *acknowledgement,
                    };
                    let body = Body::Locate {
                        questions: vec![question],
                    };
                    (*to, body, client_head(*flow, Flags::default(), 0, 0))
                }
                Action::List => continue,
                Action::Probe(to) => (
                    *to,
                    Body::Probe {
                        sent: self.balancers[from].members().probe_timestamp(self.at()),
                    },
                    client_head(flow(0), Flags::default(), 0, 0),
                ),
                Action::Demand { to, waiting } => (
                    *to,
                    Body::Demand { waiting: *waiting },
                    client_head(flow(0), Flags::default(), 0, 0),
                ),
                Action::ClassDemand { .. } | Action::Ended { .. } | Action::Inquire { .. } => {
                    panic!("the routes have one priority: {action:?}")
                }
                Action::Reset { flow, .. } => {
                    self.reset(*flow, &format!("balancer {from}: {action:?}"));
                    continue;
                }
                Action::Drop(..) => continue,
            };
            let mut frame = Vec::new();
            Frame::new(revision, body).encode(&mut frame).unwrap();
            let agent = usize::from(to.ip().octets()[3]);
            self.schedule(DELAY, Event::ToAgent(agent, from, frame, packet));
        }
    }

    fn at_agent(&mut self, index: usize, from: usize, frame: &[u8], packet: &Packet) {
        let now = self.at();
        let frame = Frame::decode(frame).unwrap();
        let mut actions = Vec::new();
        match frame.body {
            Body::Deliver {
                purpose, service, ..
            } => {
                let bytes = encode(packet);
                let delivery = Delivery {
                    purpose,
                    service,
                    sender_revision: frame.revision,
                    head: packet,
                    packet: &bytes,
                };
                let from = balancer_address(from);
                self.agents[index].deliver(now, from, &delivery, &mut actions);
                self.agent_actions(index, actions, *packet);
            }
            Body::Locate { questions } => {
                let from = balancer_address(from);
                for Question {
                    flow,
                    acknowledgement,
                } in questions
                {
                    self.agents[index].locate(now, from, flow, acknowledgement, &mut actions);
                }
                self.agent_actions(index, actions, *packet);
            }
            Body::Probe { sent } => {
                let from = balancer_address(from);
                let report = self.agents[index].report_to(now, from);
                let answer = Body::Answer { sent, report };
                self.send_to_balancer(index, from, &answer, None);
            }
            Body::Demand { waiting } => {
                let from = balancer_address(from);
                self.agents[index].handle_demand(now, from, waiting, &mut actions);
                self.agent_actions(index, actions, *packet);
            }
            other => panic!("a balancer sent {other:?}"),
        }
    }

    fn agent_actions(&mut self, index: usize, actions: Vec<AgentAction>, current: Packet) {
        for action in actions {
            match action {
                AgentAction::ToUpstream => {
                    self.schedule(ms(0), Event::ToUpstream(index, current));
                }
                AgentAction::HeldToUpstream { .. } => panic!("the service has no classes"),
                AgentAction::ToClient => self.schedule(DELAY, Event::ToClient(current)),
                AgentAction::Reset { flow, .. } => {
                    self.reset(flow, &format!("agent {index}"));
                }
                action => self.send_agent_frame(index, action, current),
            }
        }
    }

    /// Sends the frame for an agent's action to a balancer.
    fn send_agent_frame(&mut self, index: usize, action: AgentAction, current: Packet) {
        let now = self.at();
        let Some(recipient) = action.recipient() else {
            return;
        };
        let report = self.agents[index].report_to(now, recipient);
        let bytes = encode(&without_bounced_flag(current));
        let (to, body, packet) = match &action {
            AgentAction::Report { to } => (*to, Body::Report(report), None),
            AgentAction::Speed {
                to,
                service_time_micros,
            } => (*to, speed(*service_time_micros), None),
            AgentAction::Return { to, reason } => {
                let body = returned(*reason, report, &bytes);
                (*to, body, Some(without_bounced_flag(current)))
            }
            AgentAction::ReturnBuffered { to, reason, packet } => {
                (*to, returned(*reason, report, packet), Some(decode(packet)))
            }
            AgentAction::Missing { to, flow } => {
                let body = missing(*flow, report, &bytes);
                (*to, body, Some(without_bounced_flag(current)))
            }
            AgentAction::MissingBuffered { to, flow, packet } => {
                (*to, missing(*flow, report, packet), Some(decode(packet)))
            }
            AgentAction::Accepted {
                to, flow, sequence, ..
            } => {
                let (flow, sequence) = (*flow, *sequence);
                let body = Body::Accepted {
                    flow,
                    sequence,
                    report,
                };
                (*to, body, None)
            }
            AgentAction::Found { to, flow } => (
                *to,
                Body::Found {
                    flow: *flow,
                    report,
                },
                None,
            ),
            AgentAction::Absent { to, flow } => {
                let flows = vec![*flow];
                (*to, Body::Absent { flows, report }, None)
            }
            AgentAction::Unconfirmed { to, flow } => {
                let flows = vec![*flow];
                (*to, Body::Unconfirmed { flows, report }, None)
            }
            AgentAction::Earlier { .. }
            | AgentAction::ToUpstream
            | AgentAction::HeldToUpstream { .. }
            | AgentAction::ToClient
            | AgentAction::Reset { .. } => return,
        };
        self.send_to_balancer(index, to, &body, packet);
    }

    fn send_to_balancer(
        &mut self,
        from: usize,
        to: SocketAddrV4,
        body: &Body<'_>,
        packet: Option<Packet>,
    ) {
        let mut frame = Vec::new();
        let revision = self.agents[from].revision();
        Frame::new(revision, body.clone())
            .encode(&mut frame)
            .unwrap();
        let balancer = usize::from(to.ip().octets()[3]);
        if balancer < self.balancers.len() {
            self.schedule(DELAY, Event::ToBalancer(balancer, from, frame, packet));
        }
    }

    /// An upstream accepts flows, answers requests and bounces packets of unknown flows.
    fn at_upstream(&mut self, index: usize, packet: Packet) {
        let flow = packet.client_flow();
        let now = self.now;
        let service = service_of(index);
        let upstream = &mut self.upstreams[index];
        if packet.opens() {
            assert_eq!(service, SERVICE, "a flow was opened at another service");
            if let Some(since) = self.zone_out_since
                && zone_of(index) == OTHER_ZONE
            {
                assert!(
                    now <= since + MAX_CHANGE_LAG,
                    "a flow was opened in a zone that is out"
                );
            }
            if let Some(since) = upstream.draining_at {
                assert!(
                    now <= since + MAX_CHANGE_LAG,
                    "a flow was opened at a draining upstream"
                );
            }
            let sequence = 1_000 * (index as u32 + 1) + upstream.incarnation as u32 * 100_000;
            if upstream.half_open.insert(flow, sequence).is_none() && now < upstream.cold_until {
                upstream.openings.push(now);
                let recent = upstream
                    .openings
                    .iter()
                    .filter(|&&at| now - at <= ms(1_000));
                assert!(
                    recent.count() <= COLD_BOUND,
                    "the cold limit of an upstream was exceeded"
                );
            }
            let flags = Flags {
                syn: true,
                ack: true,
                ..Flags::default()
            };
            let reply = upstream_head(flow, flags, sequence, 0);
            self.schedule(ms(0), Event::FromUpstream(index, reply));
            return;
        }
        let chosen = self.clients.get(&flow).and_then(|client| client.chosen);
        let own_acknowledgement = upstream.half_open.get(&flow).map(|sequence| sequence + 1);
        if !upstream.open.contains(&flow)
            && (own_acknowledgement.is_none() || own_acknowledgement != chosen)
        {
            self.schedule(ms(0), Event::FromUpstream(index, bounced(packet)));
            return;
        }
        upstream.open.insert(flow);
        let flags = Flags {
            ack: true,
            ..Flags::default()
        };
        let reply = upstream_head(flow, flags, 5_000, 300);
        let work = ms(self.rng.random_range(5..40));
        self.schedule(work, Event::FromUpstream(index, reply));
    }

    fn open_flow(&mut self) {
        let flow = flow(self.next_port);
        self.next_port += 1;
        self.clients.insert(flow, Client::default());
        self.send_until_answered(flow);
    }

    /// Sends a SYN or a request, and again every 200 ms until it is answered, at most 3 SYNs and 13
    /// times the same request.
    fn send_until_answered(&mut self, flow: Key) {
        let balancer = self.rng.random_range(0..self.balancers.len());
        let Some(client) = self.clients.get_mut(&flow) else {
            return;
        };
        if client.is_reset || client.attempts > 12 {
            return;
        }
        let packet = match client.chosen {
            None if client.copies < 3 => {
                client.copies += 1;
                let flags = Flags {
                    syn: true,
                    ..Flags::default()
                };
                client_head(flow, flags, client.copies - 1, 0)
            }
            None => return,
            Some(chosen) if client.waiting => {
                client.attempts += 1;
                let flags = Flags {
                    ack: true,
                    ..Flags::default()
                };
                Head {
                    sequence: client.sequence,
                    ..client_head(flow, flags, chosen, 500)
                }
            }
            Some(_) => return,
        };
        self.schedule(DELAY, Event::ClientPacket(balancer, packet));
        self.schedule(ms(200), Event::Send(flow));
    }

    fn request(&mut self, flow: Key) {
        if let Some(client) = self.clients.get_mut(&flow)
            && !client.waiting
        {
            client.waiting = true;
            client.attempts = 0;
            client.sequence += 500;
            self.send_until_answered(flow);
        }
    }

    fn at_client(&mut self, packet: Packet) {
        let flow = packet.upstream_flow();
        let Some(client) = self.clients.get_mut(&flow) else {
            return;
        };
        if packet.flags.syn {
            if client.chosen.is_none() {
                client.chosen = Some(packet.sequence + 1);
                self.request(flow);
            }
        } else if packet.data_len > 0 && client.waiting {
            client.waiting = false;
            self.answered += 1;
            let pause = ms(self.rng.random_range(20..800));
            self.schedule(pause, Event::Request(flow));
        }
    }

    /// Handles a reset to a client: its flow must not be open at an upstream.
    fn reset(&mut self, flow: Key, by: &str) {
        let owner = self
            .upstreams
            .iter()
            .position(|upstream| upstream.open.contains(&flow));
        assert_eq!(
            owner, None,
            "{by} reset {flow:?}, which is open at an upstream; faults so far: {:?}",
            self.fault_log
        );
        self.resets += 1;
        if let Some(client) = self.clients.get_mut(&flow) {
            client.is_reset = true;
        }
    }

    fn announce(&mut self, index: usize, incarnation: u64) {
        let cold_left = self.upstreams[index].cold_until.saturating_sub(self.now);
        let upstream = &mut self.upstreams[index];
        if upstream.incarnation != incarnation {
            return;
        }
        upstream.sequence += 1;
        let announcement = Announcement {
            id: format!("i-{index}-{incarnation}"),
            incarnation,
            sequence: upstream.sequence,
            draining: upstream.draining_at.is_some(),
            slots: 5,
            cold_left,
        };
        let now = self.at();
        let mut actions = Vec::new();
        self.agents[index].handle_announcement(now, &announcement, &mut actions);
        let placeholder = client_head(flow(0), Flags::default(), 0, 0);
        self.agent_actions(index, actions, placeholder);
        self.schedule(ms(1_200), Event::Announce(index, incarnation));
    }

    /// One random fault or planned change.
    fn inject_random(&mut self) {
        let agent = self.rng.random_range(0..self.agents.len());
        let balancer = self.rng.random_range(0..self.balancers.len());
        let fault = match self.rng.random_range(0..7) {
            0 => Fault::BalancerReplaced(balancer),
            1 => Fault::AgentRestarted(agent),
            2 => Fault::UpstreamRestarted(agent),
            3 => Fault::Drain(agent),
            4 => Fault::ZoneOut,
            5 => Fault::ZoneIn,
            _ => Fault::Unlisted { balancer, agent },
        };
        self.inject(fault);
    }

    fn inject(&mut self, fault: Fault) {
        self.fault_log.push(format!("{:?}: {fault:?}", self.now));
        match fault {
            Fault::BalancerReplaced(balancer) => {
                self.balancers[balancer] = self.new_balancer(balancer);
            }
            Fault::AgentRestarted(agent) => self.restart_agent(agent),
            Fault::UpstreamRestarted(agent) => {
                // The upstream restarts cold and announces itself at once.
                let upstream = &mut self.upstreams[agent];
                *upstream = Upstream {
                    incarnation: self.now.as_millis() as u64 + 1,
                    cold_until: self.now + ms(2_000),
                    ..Upstream::default()
                };
                let incarnation = upstream.incarnation;
                self.step(Event::Announce(agent, incarnation));
            }
            Fault::Drain(agent) => {
                let draining = self
                    .upstreams
                    .iter()
                    .filter(|upstream| upstream.draining_at.is_some());
                if draining.count() < 2 {
                    self.upstreams[agent].draining_at = Some(self.now);
                    let incarnation = self.upstreams[agent].incarnation;
                    self.step(Event::Announce(agent, incarnation));
                }
            }
            Fault::ZoneOut => self.change_intent(|intent| {
                intent.zones_out.insert(OTHER_ZONE.into());
            }),
            Fault::ZoneIn => self.change_intent(|intent| intent.zones_out.clear()),
            Fault::Unlisted { balancer, agent } => {
                let now = self.at();
                self.balancers[balancer].unlist_member(now, agent_address(agent));
            }
        }
    }

    /// Restarts an agent, unless its upstream has started within [`MIN_RESTART_MS`]: an agent that
    /// ends together with its upstream takes that time to restart.
    fn restart_agent(&mut self, agent: usize) {
        let incarnation = self.upstreams[agent].incarnation;
        if (self.now.as_millis() as u64) < incarnation + MIN_RESTART_MS {
            return;
        }
        self.agents[agent] = self.new_agent(agent);
        // The upstream repeats its announcement to the new process.
        self.schedule(ms(20), Event::Announce(agent, incarnation));
    }

    /// Removes queued events that match `is_dropped`.
    fn drop_events(&mut self, is_dropped: impl Fn(&Event) -> bool) {
        self.queue.retain(|scheduled| !is_dropped(&scheduled.event));
    }

    /// Changes the intent, which reaches each process with a different delay.
    fn change_intent(&mut self, change: impl FnOnce(&mut Intent)) {
        let mut next = (*self.intent).clone();
        next.revision += 1;
        change(&mut next);
        let was_out = self.intent.is_zone_out(OTHER_ZONE);
        self.intent = Arc::new(next);
        match (was_out, self.intent.is_zone_out(OTHER_ZONE)) {
            (false, true) => self.zone_out_since = Some(self.now),
            (true, false) => self.zone_out_since = None,
            _ => {}
        }
        let nodes = (0..self.balancers.len())
            .map(Node::Balancer)
            .chain((0..self.agents.len()).map(Node::Agent));
        for node in nodes.collect::<Vec<_>>() {
            let lag = ms(self.rng.random_range(1..40));
            let intent = Arc::clone(&self.intent);
            self.schedule(lag, Event::SetIntent(node, intent));
        }
    }
}

fn deliver(purpose: Purpose, service: Option<&str>) -> Body<'_> {
    Body::Deliver {
        purpose,
        service: service.unwrap_or_default(),
        packet: &[],
    }
}

fn speed<'a>(service_time_micros: u32) -> Body<'a> {
    Body::Speed {
        service_time_micros,
    }
}

fn returned(reason: Reason, report: Report, packet: &[u8]) -> Body<'_> {
    Body::Returned {
        reason,
        report,
        packet,
    }
}

fn missing(flow: Key, report: Report, packet: &[u8]) -> Body<'_> {
    Body::Missing {
        flow,
        report,
        packet,
    }
}

fn without_bounced_flag(packet: Packet) -> Packet {
    Head {
        flags: Flags {
            bounced: false,
            ..packet.flags
        },
        ..packet
    }
}

/// Encodes the fields in which the packets of these clients differ.
fn encode(packet: &Packet) -> Vec<u8> {
    let mut bytes = packet.source.port().to_be_bytes().to_vec();
    bytes.extend(packet.acknowledgement.to_be_bytes());
    bytes.extend(packet.sequence.to_be_bytes());
    bytes.push(u8::from(packet.flags.syn));
    bytes
}

fn decode(bytes: &[u8]) -> Packet {
    let number = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
    let syn = bytes[10] == 1;
    let flags = Flags {
        syn,
        ack: !syn,
        ..Flags::default()
    };
    let port = u16::from_be_bytes([bytes[0], bytes[1]]);
    Head {
        sequence: number(6),
        ..client_head(flow(port), flags, number(2), if syn { 0 } else { 500 })
    }
}

#[test]
fn invariants_hold_under_seeded_faults() {
    for seed in 0..25 {
        let mut simulation = Simulation::new(seed, 3, 8);
        simulation.run(ms(12_000));
        assert!(
            simulation.answered > 500,
            "seed {seed}: only {} requests answered",
            simulation.answered
        );
    }
}

#[test]
fn no_flow_is_reset_while_only_balancers_are_replaced() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed, 3, 8);
        simulation.run(ms(1_400));
        for _ in 0..20 {
            let replaced = simulation.rng.random_range(0..3);
            simulation.balancers[replaced] = simulation.new_balancer(replaced);
            let until = simulation.now + ms(250);
            simulation.drop_events(|event| matches!(event, Event::Fault));
            simulation.run(until);
        }
        assert_eq!(simulation.resets, 0, "seed {seed}");
    }
}

/// All faults of a simulation with two balancers and three agents.
fn all_faults() -> Vec<Fault> {
    let balancers = (0..2).map(Fault::BalancerReplaced);
    let of_agents = (0..3).flat_map(|agent| {
        [
            Fault::AgentRestarted(agent),
            Fault::UpstreamRestarted(agent),
            Fault::Drain(agent),
            Fault::Unlisted { balancer: 0, agent },
        ]
    });
    let zones = [Fault::ZoneOut, Fault::ZoneIn];
    balancers.chain(of_agents).chain(zones).collect()
}

/// Injects `faults` in order with `gap` between them, while clients open flows.
fn run_faults(faults: &[Fault], gap: Duration) {
    let mut simulation = Simulation::new(1, 2, 3);
    simulation.run(ms(1_030));
    simulation.drop_events(|event| matches!(event, Event::Fault));
    for fault in faults {
        simulation.inject(*fault);
        simulation.run(simulation.now + gap);
    }
    simulation.drop_events(|event| matches!(event, Event::OpenFlow));
    simulation.run(simulation.now + ms(1_000));
}

#[test]
fn invariants_hold_for_every_sequence_of_three_faults() {
    std::thread::scope(|scope| {
        for first in all_faults() {
            scope.spawn(move || {
                for second in all_faults() {
                    for third in all_faults() {
                        run_faults(&[first, second, third], ms(7));
                    }
                }
            });
        }
    });
}

#[test]
fn invariants_hold_for_every_pair_of_faults_and_delay_between_them() {
    std::thread::scope(|scope| {
        for gap in [1, 3, 15, 50, 90, 250, 600, 1_300] {
            scope.spawn(move || {
                for first in all_faults() {
                    for second in all_faults() {
                        run_faults(&[first, second], ms(gap));
                    }
                }
            });
        }
    });
}
