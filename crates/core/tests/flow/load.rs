//! Model of balancers, agents, upstreams and clients under load, with a virtual clock.
//!
//! Clients send copies of their SYNs, try again after a failed attempt and give up at their time
//! limit. Frames between processes are encoded and take time, so balancers decide on old reports.

mod client;
mod outcome;
mod scenario;
mod upstream;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_core::flow::{
    Agent, Balancer, Head, Intent, Key, Member, Purpose, Report, State,
    agent::{self, Action as AgentAction, Announcement, Delivery},
    balancer::{self, Action, ResetCause},
    intent::Route,
    packet::Flags,
};
use sassafrasmast_wire::flow::{Body, Frame, Question};

use self::{
    client::{Attempt, Client},
    upstream::Upstream,
};
pub use self::{
    outcome::{Outcome, Service},
    scenario::{Class, Disturbance, Scenario, Tail},
};
use crate::fixture::{
    SERVICE, bounced, client_head, data, ms, route_address, simple_intent, syn_ack, upstream_head,
};

/// Times after its first SYN at which a client sends the copies of it.
const COPIES: [Duration; 3] = [ms(0), ms(200), ms(600)];

/// Time after its first SYN at which a client gives up an attempt that has no SYN-ACK.
const ATTEMPT_TIME: Duration = ms(1_400);

/// Times after which a client sends a request again that has no answer, on flows of several requests.
const REQUEST_COPIES: [Duration; 2] = [ms(200), ms(600)];

/// Bytes of a request.
const REQUEST_BYTES: u32 = 500;

/// Interval between ticks of balancers and agents.
const TICK: Duration = ms(5);

/// Start of the load, when all processes know each other.
const LOAD_START: Duration = ms(100);

type AttemptId = u32;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A copy of the SYN of an attempt.
    Syn {
        attempt: AttemptId,
        copy: usize,
    },
    /// The upstream's SYN-ACK arrives at the client.
    SynAck {
        attempt: AttemptId,
        upstream: usize,
    },
    /// The client's request, by its number on the flow, arrives at a balancer.
    Request {
        attempt: AttemptId,
        number: u32,
    },
    /// The client of a flow of several requests sends the next one.
    Next {
        attempt: AttemptId,
    },
    /// The client of a flow of several requests gives up one of them.
    Deadline {
        client: usize,
    },
    /// The upstream has finished a request. Void if the upstream has restarted since.
    Finish {
        upstream: usize,
        start: u64,
        attempt: AttemptId,
    },
    /// The answer arrives at the client.
    Answer {
        attempt: AttemptId,
    },
    /// The client's last packet arrives at a balancer.
    Close {
        attempt: AttemptId,
    },
    Reset {
        attempt: AttemptId,
    },
    GiveUp {
        attempt: AttemptId,
    },
    /// A frame from a balancer to an agent, by its number in [`Model::frames`].
    ToAgent {
        agent: usize,
        from: usize,
        frame: u64,
    },
    /// A packet that an agent has held arrives at its upstream, which has handled its own packet
    /// that made room for it.
    HeldToUpstream {
        agent: usize,
        packet: u64,
    },
    /// A frame from an agent to a balancer.
    ToBalancer {
        balancer: usize,
        from: usize,
        frame: u64,
    },
    Tick,
    Begin,
    End,
}

/// The model.
pub struct Model {
    scenario: Scenario,
    start: Instant,
    now: Duration,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    frames: HashMap<u64, Vec<u8>>,
    balancers: Vec<Balancer>,
    agents: Vec<Agent>,
    upstreams: Vec<Upstream>,
    clients: Vec<Client>,
    attempts: Vec<Attempt>,
    is_down: bool,
    is_disturbed: bool,
    outcome: Outcome,
}

fn agent_address(agent: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 1, u8::try_from(agent).unwrap()].into(), 7000)
}

fn balancer_address(balancer: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, u8::try_from(balancer).unwrap()].into(), 7000)
}

fn index(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[3])
}

/// Bit of an attempt's id that is set if its client has an address of its own. Where all requests have
/// one class, nothing depends on addresses, and clients share them as in earlier versions of the model.
const OWN_ADDRESS: AttemptId = 1 << 31;

/// The bits of an attempt's id from this one on, below [`OWN_ADDRESS`], name its class.
const CLASS_SHIFT: u32 = 28;

/// Attempts for which a client with an address of its own has ids.
const IDS_PER_CLIENT: usize = 4;

/// First port of clients with addresses of their own.
const FIRST_PORT: u16 = 40_000;

/// The place of an attempt in [`Model::attempts`].
fn number(attempt: AttemptId) -> usize {
    (attempt & ((1 << CLASS_SHIFT) - 1)) as usize
}

/// The class of an attempt's requests, by its number in [`Scenario::classes`].
fn class_of(attempt: AttemptId) -> usize {
    ((attempt & !OWN_ADDRESS) >> CLASS_SHIFT) as usize
}

/// The address that clients of a class connect to.
fn class_route(class: usize) -> SocketAddrV4 {
    let route = route_address();
    SocketAddrV4::new(*route.ip(), route.port() + u16::try_from(class).unwrap())
}

/// The flow of an attempt. Of clients that share addresses, 16 bits of its id are the client's port, the
/// others its address.
fn key(attempt: AttemptId) -> Key {
    let route = class_route(class_of(attempt));
    if attempt & OWN_ADDRESS != 0 {
        let client = number(attempt) / IDS_PER_CLIENT;
        let [_, high, middle, low] = u32::try_from(client).unwrap().to_be_bytes();
        let port = FIRST_PORT + u16::try_from(number(attempt) % IDS_PER_CLIENT).unwrap();
        return Key {
            client: SocketAddrV4::new([101, high, middle, low].into(), port),
            route,
        };
    }
    let [high, low, port_high, port_low] = attempt.to_be_bytes();
    Key {
        client: SocketAddrV4::new(
            [100, 64, high, low].into(),
            u16::from_be_bytes([port_high, port_low]),
        ),
        route,
    }
}

fn attempt_of(flow: &Key) -> AttemptId {
    let [first, second, high, low] = flow.client.ip().octets();
    if first == 101 {
        let client = u32::from_be_bytes([0, second, high, low]);
        let class = u32::from(flow.route.port() - route_address().port());
        let number = client * IDS_PER_CLIENT as u32 + u32::from(flow.client.port() - FIRST_PORT);
        return OWN_ADDRESS | class << CLASS_SHIFT | number;
    }
    let [port_high, port_low] = flow.client.port().to_be_bytes();
    u32::from_be_bytes([high, low, port_high, port_low])
}

/// Sequence number of an upstream's SYN-ACKs.
fn sequence_of(upstream: usize) -> u32 {
    1_000 * (upstream as u32 + 1)
}

fn syn_copy(attempt: AttemptId, copy: usize) -> Head {
    Head {
        acknowledgement: copy as u32,
        ..crate::fixture::syn(key(attempt))
    }
}

fn fin(attempt: AttemptId, upstream: usize) -> Head {
    let flags = Flags {
        ack: true,
        fin: true,
        ..Flags::default()
    };
    client_head(key(attempt), flags, sequence_of(upstream) + 501, 0)
}

/// The bytes of a client's packet: what the model's packets differ in.
fn encode(head: &Head) -> Vec<u8> {
    let mut bytes = attempt_of(&head.client_flow()).to_be_bytes().to_vec();
    bytes.extend(head.acknowledgement.to_be_bytes());
    bytes.push(u8::from(head.flags.syn) | u8::from(head.flags.fin) << 1);
    bytes.extend(head.sequence.to_be_bytes());
    bytes
}

fn decode(bytes: &[u8]) -> Head {
    let number = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
    let (attempt, acknowledgement) = (number(0), number(4));
    let head = match bytes[8] {
        0 => data(key(attempt), acknowledgement),
        1 => crate::fixture::syn(key(attempt)),
        _ => fin(attempt, 0),
    };
    Head {
        acknowledgement,
        sequence: number(9),
        ..head
    }
}

/// The message that an agent's action sends. `current` is the packet that was just handled.
fn agent_body<'a>(action: &'a AgentAction, report: Report, current: &'a [u8]) -> Body<'a> {
    let returned = |reason, packet| Body::Returned {
        reason,
        report,
        packet,
    };
    let missing = |flow, packet| Body::Missing {
        flow,
        report,
        packet,
    };
    match action {
        AgentAction::Return { reason, .. } => returned(*reason, current),
        AgentAction::ReturnBuffered { reason, packet, .. } => returned(*reason, packet),
        AgentAction::Missing { flow, .. } => missing(*flow, current),
        AgentAction::MissingBuffered { flow, packet, .. } => missing(*flow, packet),
        AgentAction::Accepted { flow, sequence, .. } => Body::Accepted {
            flow: *flow,
            sequence: *sequence,
            report,
        },
        AgentAction::Found { flow, .. } => Body::Found {
            flow: *flow,
            report,
        },
        AgentAction::Absent { flow, .. } => Body::Absent {
            flows: vec![*flow],
            report,
        },
        AgentAction::Unconfirmed { flow, .. } => Body::Unconfirmed {
            flows: vec![*flow],
            report,
        },
        AgentAction::Report { .. } => Body::Report(report),
        AgentAction::Speed {
            service_time_micros,
            ..
        } => Body::Speed {
            service_time_micros: *service_time_micros,
        },
        AgentAction::Earlier { flows, .. } => Body::Earlier {
            flows: flows.clone(),
        },
        AgentAction::ToUpstream
        | AgentAction::HeldToUpstream { .. }
        | AgentAction::ToClient
        | AgentAction::Reset { .. } => {
            panic!("{action:?} sends no message")
        }
    }
}

impl Model {
    /// The model of a scenario, whose random choices follow from `seed`.
    pub fn new(seed: u64, scenario: Scenario) -> Self {
        let mut model = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            event_count: 0,
            frames: HashMap::new(),
            balancers: Vec::new(),
            agents: Vec::new(),
            upstreams: vec![Upstream::default(); scenario.upstreams],
            clients: Vec::new(),
            attempts: Vec::new(),
            is_down: false,
            is_disturbed: false,
            outcome: Outcome::default(),
            scenario,
        };
        model.start_processes(1);
        model.inform_balancers();
        model.schedule(LOAD_START, Event::Arrival);
        model.schedule(TICK, Event::Tick);
        model.schedule(model.scenario.begin, Event::Begin);
        model.schedule(model.scenario.end, Event::End);
        model
    }

    /// Plays the scenario and returns what clients got.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.scenario.length {
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.outcome
    }

    fn at(&self) -> Instant {
        self.start + self.now
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        let entry = (self.now + after, self.event_count, event);
        self.events.push(Reverse(entry));
    }

    /// Starts all balancers and agents. Each upstream has announced itself `sequence` times.
    fn start_processes(&mut self, sequence: u64) {
        let now = self.at();
        self.balancers = (0..self.scenario.balancers)
            .map(|index| {
                let zone = self.scenario.zone_of(index).into();
                let settings = balancer::Settings {
                    zone,
                    ..balancer::Settings::default()
                };
                Balancer::new(now, settings)
            })
            .collect();
        self.agents = (0..self.scenario.upstreams)
            .map(|index| self.start_agent(index, sequence))
            .collect();
    }

    fn start_agent(&self, index: usize, sequence: u64) -> Agent {
        let now = self.at();
        let mut agent = Agent::new(
            now,
            agent::Settings {
                service: SERVICE.into(),
                zone: self.scenario.zone_of(index).into(),
                incarnation: 1 + now.duration_since(self.start).as_millis() as u64,
                reports_speed: self.scenario.places_by_speed,
                ..agent::Settings::default()
            },
        );
        agent.set_intent(self.intent());
        let upstream = &self.upstreams[index];
        let announcement = Announcement {
            id: format!("i-{}", upstream.start),
            incarnation: upstream.start + 1,
            sequence,
            draining: false,
            slots: u16::try_from(self.scenario.slots).unwrap(),
            cold_left: upstream.cold_until.saturating_sub(self.now),
        };
        agent.handle_announcement(now, &announcement, &mut Vec::new());
        agent
    }

    /// Gives the balancers the intent and the list of agents.
    fn inform_balancers(&mut self) {
        let now = self.at();
        let intent = self.intent();
        let members: Vec<Member> = (0..self.scenario.upstreams)
            .map(|agent| {
                // What the store's entry says; each agent is probed for its report.
                let report = Report {
                    state: State::Unknown,
                    slots: 1,
                    headroom: 1,
                    ..Report::default()
                };
                let zone = self.scenario.zone_of(agent).into();
                Member::listed(agent_address(agent), SERVICE.into(), zone, report)
            })
            .collect();
        for balancer in &mut self.balancers {
            balancer.set_intent(Arc::clone(&intent));
            balancer.set_members(now, members.clone());
        }
    }

    /// An intent with a time limit and a latency objective.
    fn intent(&self) -> Arc<Intent> {
        let mut limited = (*simple_intent()).clone();
        let template = limited.policy.routes[&route_address()].clone();
        for (index, class) in self.scenario.classes.iter().enumerate() {
            let route = Route {
                timeout: Some(class.time_limit),
                latency_objective: Some(class.objective),
                priority: class.priority,
                ..template.clone()
            };
            limited.policy.routes.insert(class_route(index), route);
        }
        for service in limited.policy.services.values_mut() {
            service.cold_for = self.scenario.cold_for;
        }
        limited.into()
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Syn { attempt, copy } => {
                if self.is_waiting(attempt) {
                    self.send_to_balancer(attempt, &syn_copy(attempt, copy));
                }
            }
            Event::SynAck { attempt, upstream } => {
                if self.is_waiting(attempt) {
                    self.attempts[number(attempt)].upstream = Some(upstream);
                    self.send_request(attempt);
                }
            }
            Event::Request { attempt, number } => self.request_at_balancer(attempt, number),
            Event::Next { attempt } => self.send_next(attempt),
            Event::Deadline { client } => self.give_up(client),
            Event::Finish {
                upstream,
                start,
                attempt,
            } => {
                if self.upstreams[upstream].start == start {
                    self.finish(upstream, attempt);
                }
            }
            Event::Answer { attempt } => self.record_answer(attempt),
            Event::Close { attempt } => {
                if let Some(upstream) = self.attempts[number(attempt)].upstream {
                    self.send_to_balancer(attempt, &fin(attempt, upstream));
                }
            }
            Event::Reset { attempt } => self.end_attempt(attempt),
            Event::GiveUp { attempt } => {
                if self.is_waiting(attempt) {
                    self.end_attempt(attempt);
                }
            }
            Event::HeldToUpstream { agent, packet } => self.held_at_upstream(agent, packet),
            Event::ToAgent { agent, from, frame } => self.frame_at_agent(agent, from, frame),
            Event::ToBalancer {
                balancer,
                from,
                frame,
            } => self.frame_at_balancer(balancer, from, frame),
            Event::Tick => {
                self.tick();
                self.schedule(TICK, Event::Tick);
            }
            Event::Begin => self.begin_disturbance(),
            Event::End => self.end_disturbance(),
        }
    }

    fn begin_disturbance(&mut self) {
        self.is_disturbed = true;
        match self.scenario.disturbance {
            Disturbance::PowerLost => {
                self.is_down = true;
                for upstream in &mut self.upstreams {
                    upstream.restart(Duration::ZERO);
                }
            }
            Disturbance::ProcessesKilled => self.is_down = true,
            Disturbance::Slow { share, factor } => {
                let slow = (self.scenario.upstreams as f64 * share).ceil() as usize;
                for upstream in &mut self.upstreams[..slow] {
                    upstream.slowdown = factor;
                }
            }
            Disturbance::Lost { share } => {
                let lost = (self.scenario.upstreams as f64 * share).ceil() as usize;
                for upstream in &mut self.upstreams[..lost] {
                    upstream.restart(Duration::ZERO);
                    upstream.is_down = true;
                }
            }
            Disturbance::Burst { .. } | Disturbance::None => {}
        }
        if self.scenario.disturbance == Disturbance::ProcessesKilled {
            self.frames.clear();
        }
    }

    fn end_disturbance(&mut self) {
        self.is_disturbed = false;
        let cold_until = self.now + self.scenario.cold_for;
        match self.scenario.disturbance {
            Disturbance::PowerLost => {
                self.is_down = false;
                for upstream in &mut self.upstreams {
                    upstream.restart(cold_until);
                }
                self.start_processes(1);
                self.inform_balancers();
            }
            Disturbance::ProcessesKilled => {
                self.is_down = false;
                self.start_processes(5);
                self.inform_balancers();
            }
            Disturbance::Slow { .. } => {
                for upstream in &mut self.upstreams {
                    upstream.slowdown = 1.0;
                }
            }
            Disturbance::Lost { .. } => {
                for upstream in 0..self.upstreams.len() {
                    if self.upstreams[upstream].is_down {
                        self.upstreams[upstream].restart(cold_until);
                        self.agents[upstream] = self.start_agent(upstream, 1);
                    }
                }
            }
            Disturbance::Burst { .. } | Disturbance::None => {}
        }
    }

    fn arrive(&mut self) {
        let class = self.scenario.draw_class(&mut self.rng);
        let to_follow = self.scenario.classes[class].requests - 1;
        let client = self.add_client(class, to_follow);
        self.begin_attempt(client);
        let surge = match self.scenario.disturbance {
            Disturbance::Burst { factor } if self.is_disturbed => factor,
            _ => 1.0,
        };
        let rate = self.scenario.rate() * surge;
        let pause = -self.rng.random::<f64>().max(1e-9).ln() / rate;
        self.schedule(Duration::from_secs_f64(pause), Event::Arrival);
    }

    /// Adds a request of a class, which `to_follow` others follow on its flow.
    fn add_client(&mut self, class: usize, to_follow: u32) -> usize {
        let period = self.scenario.period(self.now);
        self.outcome.record_arrival(period, class);
        let client = self.clients.len();
        self.clients.push(Client {
            class,
            arrived_at: self.now,
            attempts_left: client::ATTEMPTS,
            to_follow,
            is_answered: false,
        });
        if self.has_long_flows(class) {
            let after = self.scenario.classes[class].time_limit;
            self.schedule(after, Event::Deadline { client });
        }
        client
    }

    fn has_long_flows(&self, class: usize) -> bool {
        self.scenario.classes[class].requests > 1
    }

    /// Sends the current request of a flow that is open.
    fn send_request(&mut self, attempt: AttemptId) {
        let event = Event::Request {
            attempt,
            number: self.attempts[number(attempt)].sent,
        };
        self.schedule(self.scenario.client_delay, event);
        if self.has_long_flows(class_of(attempt)) {
            for after in REQUEST_COPIES {
                self.schedule(self.scenario.client_delay + after, event);
            }
        }
    }

    /// A request of an open flow, or a copy of it, arrives at a balancer.
    fn request_at_balancer(&mut self, attempt: AttemptId, request: u32) {
        let state = &self.attempts[number(attempt)];
        let upstream = state.upstream.unwrap();
        let is_current = state.sent == request && !self.is_over(attempt);
        if is_current || !self.has_long_flows(class_of(attempt)) {
            let first = data(key(attempt), sequence_of(upstream) + 1);
            let sequence = first.sequence + REQUEST_BYTES * request;
            self.send_to_balancer(attempt, &Head { sequence, ..first });
        }
    }

    /// Sends the next request on a flow whose last one was answered.
    fn send_next(&mut self, attempt: AttemptId) {
        let before = self.attempts[number(attempt)].client;
        let to_follow = self.clients[before].to_follow - 1;
        let client = self.add_client(class_of(attempt), to_follow);
        let state = &mut self.attempts[number(attempt)];
        state.client = client;
        state.sent += 1;
        state.is_over = false;
        self.send_request(attempt);
    }

    /// Gives up a request on a flow of several ones and goes on with the next one on a new flow.
    fn give_up(&mut self, client: usize) {
        let Client {
            class,
            to_follow,
            is_answered,
            ..
        } = self.clients[client];
        if is_answered {
            return;
        }
        let id = |index| AttemptId::try_from(index).unwrap();
        let class_bits = id(class) << CLASS_SHIFT;
        let open = |attempt: &Attempt| attempt.client == client && attempt.upstream.is_some();
        if let Some(index) = self.attempts.iter().rposition(open) {
            let attempt = id(index) | class_bits;
            self.attempts[index].is_over = true;
            self.schedule(self.scenario.client_delay, Event::Close { attempt });
        }
        if to_follow > 0 {
            let client = self.add_client(class, to_follow - 1);
            self.begin_attempt(client);
        }
    }

    fn begin_attempt(&mut self, client: usize) {
        let deadline = self.deadline(client);
        let state = &mut self.clients[client];
        if state.attempts_left == 0 || self.now >= deadline {
            return;
        }
        let made = client::ATTEMPTS - state.attempts_left;
        state.attempts_left -= 1;
        let class = AttemptId::try_from(state.class).unwrap() << CLASS_SHIFT;
        let begun = Attempt {
            client,
            balancer: self.scenario.draw_balancer(&mut self.rng),
            began_at: self.now,
            upstream: None,
            requested_at: Duration::ZERO,
            sent: 0,
            is_over: false,
        };
        let attempt = if self.scenario.classes.len() > 1 {
            let place = client * IDS_PER_CLIENT + made as usize;
            if self.attempts.len() <= place {
                self.attempts.resize(place + 1, begun.clone());
            }
            self.attempts[place] = begun;
            AttemptId::try_from(place).unwrap() | class | OWN_ADDRESS
        } else {
            self.attempts.push(begun);
            AttemptId::try_from(self.attempts.len() - 1).unwrap() | class
        };
        for (copy, after) in COPIES.into_iter().enumerate() {
            let after = self.scenario.client_delay + after;
            self.schedule(after, Event::Syn { attempt, copy });
        }
        self.schedule(ATTEMPT_TIME, Event::GiveUp { attempt });
    }

    /// When the client gives up.
    fn deadline(&self, client: usize) -> Duration {
        let state = &self.clients[client];
        state.arrived_at + self.scenario.classes[state.class].time_limit
    }

    /// Whether the attempt is over or its client has given up.
    fn is_over(&self, attempt: AttemptId) -> bool {
        let attempt = &self.attempts[number(attempt)];
        attempt.is_over || self.now >= self.deadline(attempt.client)
    }

    /// Whether the client still waits for a SYN-ACK.
    fn is_waiting(&self, attempt: AttemptId) -> bool {
        !self.is_over(attempt) && self.attempts[number(attempt)].upstream.is_none()
    }

    fn end_attempt(&mut self, attempt: AttemptId) {
        if !self.is_over(attempt) {
            let state = &mut self.attempts[number(attempt)];
            state.is_over = true;
            let client = state.client;
            self.begin_attempt(client);
        }
    }

    fn record_answer(&mut self, attempt: AttemptId) {
        if self.is_over(attempt) {
            return;
        }
        let state = &mut self.attempts[number(attempt)];
        state.is_over = true;
        let client = &mut self.clients[state.client];
        client.is_answered = true;
        let Client {
            class,
            arrived_at,
            to_follow,
            ..
        } = *client;
        if to_follow > 0 {
            let pause = self.scenario.classes[class].pause;
            self.schedule(pause, Event::Next { attempt });
        } else if self.has_long_flows(class) {
            self.schedule(self.scenario.client_delay, Event::Close { attempt });
        }
        let period = self.scenario.period(arrived_at);
        let is_in_time = self.now - arrived_at < self.scenario.classes[class].objective;
        self.outcome.record_answer(period, class, is_in_time);
    }

    fn tick(&mut self) {
        if self.is_down {
            return;
        }
        let now = self.at();
        for balancer in 0..self.balancers.len() {
            let mut actions = Vec::new();
            self.balancers[balancer].tick(now, &mut actions);
            self.balancer_actions(balancer, actions, None);
        }
        self.record_share();
        for agent in 0..self.agents.len() {
            if self.upstreams[agent].is_down {
                continue;
            }
            let mut actions = Vec::new();
            self.agents[agent].tick(now, &mut actions);
            self.agent_actions(agent, actions, &syn_copy(0, 0));
        }
    }

    /// Records the mean share that the balancers of the first zone send to other zones.
    fn record_share(&mut self) {
        let of_zone = self.balancers.iter().step_by(self.scenario.zones);
        let shares: Vec<f64> = of_zone
            .filter_map(|balancer| balancer.members().zones().shares().first().cloned())
            .map(|share| share.share)
            .collect();
        let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
        self.outcome.shares.push((self.now, mean));
    }

    fn send_to_balancer(&mut self, attempt: AttemptId, head: &Head) {
        if self.is_down {
            return;
        }
        let balancer = self.attempts[number(attempt)].balancer;
        let now = self.at();
        let mut actions = Vec::new();
        self.balancers[balancer].handle_client_packet(now, head, &encode(head), &mut actions);
        self.balancer_actions(balancer, actions, Some(head));
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

    fn balancer_actions(&mut self, from: usize, actions: Vec<Action>, current: Option<&Head>) {
        for action in self.confirm_list(from, actions) {
            match action {
                Action::Forward { to, purpose, .. } => {
                    let packet = encode(current.unwrap());
                    self.deliver(from, to, purpose, &packet);
                }
                Action::Send {
                    to,
                    purpose,
                    packet,
                    ..
                } => self.deliver(from, to, purpose, &packet),
                Action::Probe(to) => {
                    let sent = self.balancers[from].members().probe_timestamp(self.at());
                    self.frame_to_agent(from, to, Body::Probe { sent });
                }
                Action::Demand { to, waiting } => {
                    self.frame_to_agent(from, to, Body::Demand { waiting });
                }
                Action::ClassDemand { to, waiting } => {
                    self.frame_to_agent(from, to, Body::ClassDemand { waiting });
                }
                Action::Ended { to, attempts } => {
                    self.frame_to_agent(from, to, Body::Ended { attempts });
                }
                Action::Inquire { to, flows } => {
                    self.frame_to_agent(from, to, Body::Inquire { flows });
                }
                Action::Reset {
                    flow,
                    sequence,
                    cause,
                } => {
                    let attempt = attempt_of(&flow);
                    let period = self.period_of(attempt);
                    if sequence == 0 {
                        let after = self.now - self.attempts[number(attempt)].began_at;
                        let mut upstreams = self.upstreams.iter();
                        let is_untrue = upstreams.any(|state| state.flows.contains_key(&attempt));
                        let by_forecast = cause == ResetCause::Unservable;
                        self.outcome
                            .record_refusal(period, after, by_forecast, is_untrue);
                    }
                    self.outcome.record_reset(period, class_of(attempt));
                    self.schedule(self.scenario.client_delay, Event::Reset { attempt });
                }
                Action::Drop(..) | Action::List => {}
                Action::Locate {
                    to,
                    flow,
                    acknowledgement,
                } => {
                    let questions = vec![Question {
                        flow,
                        acknowledgement,
                    }];
                    self.frame_to_agent(from, to, Body::Locate { questions });
                }
            }
        }
    }

    fn period_of(&self, attempt: AttemptId) -> scenario::Period {
        let client = self.attempts[number(attempt)].client;
        self.scenario.period(self.clients[client].arrived_at)
    }

    fn deliver(&mut self, from: usize, to: SocketAddrV4, purpose: Purpose, packet: &[u8]) {
        if purpose == Purpose::Open {
            let attempt = attempt_of(&decode(packet).client_flow());
            let period = self.period_of(attempt);
            self.outcome.record_forwarded_syn(period, class_of(attempt));
        }
        let body = Body::Deliver {
            purpose,
            service: SERVICE,
            packet,
        };
        self.frame_to_agent(from, to, body);
    }

    fn frame_to_agent(&mut self, from: usize, to: SocketAddrV4, body: Body<'_>) {
        let agent = index(to);
        let frame = self.store_frame(body);
        let delay = self.scenario.frame_delay(from, agent);
        self.schedule(delay, Event::ToAgent { agent, from, frame });
    }

    fn frame_to_balancer(&mut self, from: usize, to: SocketAddrV4, body: Body<'_>) {
        let is_of_earlier_build = from >= self.scenario.earlier_builds_from;
        if is_of_earlier_build && matches!(body, Body::Speed { .. }) {
            return;
        }
        let balancer = index(to);
        let mut delay = self.scenario.frame_delay(balancer, from);
        if matches!(body, Body::Report(_) | Body::Answer { .. }) {
            delay += self.scenario.report_delay;
        }
        let frame = self.store_frame(body);
        self.schedule(
            delay,
            Event::ToBalancer {
                balancer,
                from,
                frame,
            },
        );
    }

    fn store_frame(&mut self, body: Body<'_>) -> u64 {
        let mut bytes = Vec::new();
        Frame::new(1, body).encode(&mut bytes).unwrap();
        self.event_count += 1;
        self.frames.insert(self.event_count, bytes);
        self.event_count
    }

    fn frame_at_agent(&mut self, agent: usize, from: usize, frame: u64) {
        let Some(bytes) = self.frames.remove(&frame) else {
            return;
        };
        if self.is_down || self.upstreams[agent].is_down {
            return;
        }
        let now = self.at();
        let from = balancer_address(from);
        let mut actions = Vec::new();
        match Frame::decode(&bytes).unwrap().body {
            Body::Deliver {
                purpose, packet, ..
            } => {
                let head = decode(packet);
                let delivery = Delivery {
                    purpose,
                    service: SERVICE,
                    sender_revision: 1,
                    head: &head,
                    packet,
                };
                self.agents[agent].deliver(now, from, &delivery, &mut actions);
                self.agent_actions(agent, actions, &head);
            }
            Body::Locate { questions } => {
                for question in questions {
                    self.agents[agent].locate(
                        now,
                        from,
                        question.flow,
                        question.acknowledgement,
                        &mut actions,
                    );
                }
                self.agent_actions(agent, actions, &syn_copy(0, 0));
            }
            Body::Probe { sent } => {
                let report = self.agents[agent].report_to(now, from);
                self.frame_to_balancer(agent, from, Body::Answer { sent, report });
            }
            Body::Demand { waiting } => {
                self.agents[agent].handle_demand(now, from, waiting, &mut actions);
                self.agent_actions(agent, actions, &syn_copy(0, 0));
            }
            Body::ClassDemand { .. } | Body::Ended { .. } | Body::Inquire { .. }
                if self.scenario.agents_of_earlier_build => {}
            Body::ClassDemand { waiting } => {
                self.agents[agent].handle_class_demand(now, from, &waiting, &mut actions);
                self.agent_actions(agent, actions, &syn_copy(0, 0));
            }
            Body::Ended { attempts } => self.agents[agent].handle_ended(now, &attempts),
            Body::Inquire { flows } => {
                self.agents[agent].handle_inquiry(now, from, &flows, &mut actions);
                self.agent_actions(agent, actions, &syn_copy(0, 0));
            }
            other => panic!("unexpected frame to an agent: {other:?}"),
        }
    }

    fn frame_at_balancer(&mut self, balancer: usize, from: usize, frame: u64) {
        let Some(bytes) = self.frames.remove(&frame) else {
            return;
        };
        if self.is_down {
            return;
        }
        let now = self.at();
        let body = Frame::decode(&bytes).unwrap().body;
        let head = match &body {
            Body::Returned { packet, .. } | Body::Missing { packet, .. } => Some(decode(packet)),
            _ => None,
        };
        let mut actions = Vec::new();
        self.balancers[balancer].handle_agent_frame(
            now,
            agent_address(from),
            &body,
            head.as_ref(),
            &mut actions,
        );
        self.balancer_actions(balancer, actions, None);
    }

    fn agent_actions(&mut self, agent: usize, actions: Vec<AgentAction>, current: &Head) {
        let now = self.at();
        for action in actions {
            match &action {
                AgentAction::ToUpstream => self.send_to_upstream(agent, current),
                AgentAction::HeldToUpstream { packet } => {
                    self.event_count += 1;
                    let number = self.event_count;
                    self.frames.insert(number, packet.to_vec());
                    let event = Event::HeldToUpstream {
                        agent,
                        packet: number,
                    };
                    self.schedule(Duration::ZERO, event);
                }
                AgentAction::ToClient => {}
                AgentAction::Reset { flow, .. } => {
                    let attempt = attempt_of(flow);
                    self.schedule(self.scenario.client_delay, Event::Reset { attempt });
                }
                _ => {
                    let to = action.recipient().unwrap();
                    let report = self.agents[agent].report_to(now, to);
                    let packet = encode(current);
                    self.frame_to_balancer(agent, to, agent_body(&action, report, &packet));
                }
            }
        }
    }

    fn held_at_upstream(&mut self, upstream: usize, packet: u64) {
        let packet = self.frames.remove(&packet);
        if let Some(packet) = packet.filter(|_| !self.is_down) {
            self.send_to_upstream(upstream, &decode(&packet));
        }
    }

    /// The upstream accepts each SYN that it can queue, and runs a request or queues it.
    fn send_to_upstream(&mut self, upstream: usize, head: &Head) {
        let attempt = attempt_of(&head.client_flow());
        let state = &mut self.upstreams[upstream];
        if head.opens() {
            if state.waiting.len() >= self.scenario.upstream_queue {
                self.outcome.shed += 1;
                self.send_from_upstream(upstream, &bounced(*head));
                return;
            }
            state.flows.insert(attempt, 0);
            if self.is_over(attempt) {
                self.outcome.opened_too_late += 1;
            }
            let after = self.scenario.client_delay;
            self.schedule(after, Event::SynAck { attempt, upstream });
            self.send_from_upstream(upstream, &syn_ack(key(attempt), sequence_of(upstream)));
            return;
        }
        if head.flags.fin {
            state.flows.remove(&attempt);
            return;
        }
        let request = (head.sequence - data(key(attempt), 0).sequence) / REQUEST_BYTES;
        match state.flows.get_mut(&attempt) {
            None => {
                self.outcome.out_of_order += usize::from(!self.is_over(attempt));
                self.send_from_upstream(upstream, &bounced(*head));
            }
            Some(arrived) if *arrived > request => {}
            Some(arrived) => {
                self.outcome.out_of_order += usize::from(*arrived < request);
                *arrived = request + 1;
                self.attempts[number(attempt)].requested_at = self.now;
                if state.running < self.scenario.slots {
                    self.begin_request(upstream, attempt);
                } else {
                    state.waiting.push_back(attempt);
                }
            }
        }
    }

    fn begin_request(&mut self, upstream: usize, attempt: AttemptId) {
        self.record_begin(upstream, attempt);
        let work = self.scenario.draw_work(&mut self.rng, upstream);
        let state = &mut self.upstreams[upstream];
        state.running += 1;
        let start = state.start;
        let cold = if self.now < state.cold_until {
            self.scenario.cold_slowdown
        } else {
            1.0
        };
        let took = work.mul_f64(cold * state.slowdown);
        self.schedule(
            took,
            Event::Finish {
                upstream,
                start,
                attempt,
            },
        );
    }

    fn record_begin(&mut self, upstream: usize, attempt: AttemptId) {
        let state = &self.attempts[number(attempt)];
        let arrived_at = self.clients[state.client].arrived_at;
        let zone_of = |index| self.scenario.zone_of(index);
        self.outcome.record_begin(
            self.scenario.period(arrived_at),
            upstream,
            (zone_of(state.balancer), zone_of(upstream)),
            self.now - state.requested_at,
            self.now - arrived_at,
        );
    }

    fn finish(&mut self, upstream: usize, attempt: AttemptId) {
        let state = &mut self.upstreams[upstream];
        state.running -= 1;
        let next = state.waiting.pop_front();
        self.schedule(self.scenario.client_delay, Event::Answer { attempt });
        if !self.has_long_flows(class_of(attempt)) {
            self.schedule(self.scenario.client_delay * 2, Event::Close { attempt });
        }
        let ack = Flags {
            ack: true,
            ..Flags::default()
        };
        let head = upstream_head(key(attempt), ack, sequence_of(upstream) + 1, 500);
        self.send_from_upstream(upstream, &head);
        if let Some(next) = next {
            self.begin_request(upstream, next);
        }
    }

    fn send_from_upstream(&mut self, upstream: usize, head: &Head) {
        if self.is_down {
            return;
        }
        let now = self.at();
        let mut actions = Vec::new();
        self.agents[upstream].handle_upstream_packet(now, head, &mut actions);
        self.agent_actions(upstream, actions, head);
    }
}
