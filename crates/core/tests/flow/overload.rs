//! Balancers and agents under a load that returns at once after an outage, with clients that send
//! copies of their SYNs, try again after a failed attempt and give up at their time limit.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_core::flow::{
    Agent, Balancer, Head, Intent, Member, Purpose,
    agent::{self, Action as AgentAction, Delivery},
    balancer::{self, Action},
    packet::Flags,
};
use sassafrasmast_wire::flow::Body;

use crate::fixture::{
    SERVICE, ZONE, announcement, client_head, data, flow, ms, ready_report, simple_intent, syn,
    syn_ack, upstream_head,
};

const BALANCERS: usize = 2;
const UPSTREAMS: usize = 7;
const SLOTS: usize = 5;

/// Requests that an upstream queues beside those in its slots; it refuses further ones.
const UPSTREAM_QUEUE: usize = 20;

/// Range of service times, in milliseconds.
const SERVICE_MS: std::ops::RangeInclusive<u64> = 15..=52;
const MEAN_SERVICE: f64 = 0.0335;

/// One-way delay between clients and the processes.
const CLIENT_DELAY: Duration = Duration::from_millis(2);

/// Times after its first SYN at which a client sends the copies of it.
const COPIES: [Duration; 3] = [ms(0), ms(200), ms(600)];

/// Time after its first SYN at which a client gives up an attempt that has no SYN-ACK.
const ATTEMPT_TIME: Duration = ms(1_400);

/// Attempts of a client, and its time limit for all of them.
const ATTEMPTS: u32 = 3;
const TIME_LIMIT: Duration = ms(1_500);

/// Latency objective.
const OBJECTIVE: Duration = ms(150);

const OUTAGE_AT: Duration = ms(3_000);
const RETURN_AT: Duration = ms(5_000);

/// The time after the return within which the goodput must be restored.
const RECOVERY: Duration = ms(2_000);

/// Target for the goodput, as a share of the load or of the capacity, whichever is less.
const GOODPUT: f64 = 0.95;

/// End of the simulation.
const END: Duration = ms(12_000);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A copy of the SYN of an attempt.
    Syn {
        attempt: u16,
        copy: usize,
    },
    /// The upstream's SYN-ACK arrives at the client.
    SynAck {
        attempt: u16,
        upstream: usize,
    },
    /// The client's request arrives at a balancer.
    Request {
        attempt: u16,
    },
    /// The upstream has finished a request.
    Finish {
        upstream: usize,
        attempt: u16,
    },
    /// The answer arrives at the client.
    Answer {
        attempt: u16,
    },
    Reset {
        attempt: u16,
    },
    GiveUp {
        attempt: u16,
    },
    Tick,
    Outage,
    Return,
}

/// A request of a client over all its attempts.
#[derive(Debug)]
struct Client {
    arrived_at: Duration,
    attempts_left: u32,
}

impl Client {
    /// When the client gives up.
    fn deadline(&self) -> Duration {
        self.arrived_at + TIME_LIMIT
    }

    /// Whether the client counts: it arrived after the time for recovery, and its time limit ends
    /// within the simulation.
    fn is_counted(&self) -> bool {
        self.arrived_at >= RETURN_AT + RECOVERY && self.deadline() < END
    }
}

/// An attempt, which has a flow of its own.
#[derive(Debug)]
struct Attempt {
    client: usize,
    /// The upstream whose SYN-ACK the client acknowledges.
    upstream: Option<usize>,
    is_over: bool,
}

#[derive(Debug, Default)]
struct Upstream {
    running: usize,
    waiting: VecDeque<u16>,
}

/// What clients got that count.
#[derive(Debug, Default)]
struct Outcome {
    arrived: usize,
    answered: usize,
    /// Answered within the latency objective.
    in_time: usize,
    refused_by_upstreams: usize,
    /// SYNs that reached an upstream after their client's attempt was over.
    opened_too_late: usize,
}

struct Simulation {
    start: Instant,
    now: Duration,
    rng: StdRng,
    rate: f64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    balancers: Vec<Balancer>,
    agents: Vec<Agent>,
    upstreams: Vec<Upstream>,
    clients: Vec<Client>,
    attempts: HashMap<u16, Attempt>,
    outcome: Outcome,
}

fn agent_address(agent: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 1, agent as u8].into(), 7000)
}

fn balancer_address(balancer: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, balancer as u8].into(), 7000)
}

fn index(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[3])
}

/// The packets of these clients differ in port and copy only.
fn encode(head: &Head) -> Vec<u8> {
    let mut bytes = head.source.port().to_be_bytes().to_vec();
    bytes.push(head.acknowledgement as u8);
    bytes
}

fn decode_syn(bytes: &[u8]) -> Head {
    let port = u16::from_be_bytes([bytes[0], bytes[1]]);
    syn_copy(port, usize::from(bytes[2]))
}

fn syn_copy(attempt: u16, copy: usize) -> Head {
    Head {
        acknowledgement: copy as u32,
        ..syn(flow(attempt))
    }
}

impl Simulation {
    /// A deployment under `share` of what its upstreams bear.
    fn new(seed: u64, share: f64) -> Self {
        let mut simulation = Self {
            start: Instant::now(),
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            rate: share * (UPSTREAMS * SLOTS) as f64 / MEAN_SERVICE,
            events: BinaryHeap::new(),
            event_count: 0,
            balancers: Vec::new(),
            agents: Vec::new(),
            upstreams: Vec::new(),
            clients: Vec::new(),
            attempts: HashMap::new(),
            outcome: Outcome::default(),
        };
        simulation.start_processes();
        simulation.inform_balancers();
        simulation.schedule(ms(100), Event::Arrival);
        simulation.schedule(ms(5), Event::Tick);
        simulation.schedule(OUTAGE_AT, Event::Outage);
        simulation.schedule(RETURN_AT, Event::Return);
        simulation
    }

    fn at(&self) -> Instant {
        self.start + self.now
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        let entry = (self.now + after, self.event_count, event);
        self.events.push(Reverse(entry));
    }

    /// Starts all processes and upstreams, without an intent at the balancers.
    fn start_processes(&mut self) {
        let now = self.at();
        self.balancers = (0..BALANCERS)
            .map(|_| {
                let zone = ZONE.into();
                Balancer::new(
                    now,
                    balancer::Settings {
                        zone,
                        ..balancer::Settings::default()
                    },
                )
            })
            .collect();
        self.upstreams = (0..UPSTREAMS).map(|_| Upstream::default()).collect();
        self.agents = (0..UPSTREAMS)
            .map(|_| {
                let mut agent = Agent::new(
                    now,
                    agent::Settings {
                        service: SERVICE.into(),
                        zone: ZONE.into(),
                        incarnation: 1,
                        ..agent::Settings::default()
                    },
                );
                agent.set_intent(limited_intent());
                agent.handle_announcement(now, &announcement(1, 1), &mut Vec::new());
                agent
            })
            .collect();
    }

    /// Gives the balancers the intent and the list of agents.
    fn inform_balancers(&mut self) {
        let now = self.at();
        for balancer in &mut self.balancers {
            balancer.set_intent(limited_intent());
            let members = (0..UPSTREAMS)
                .map(|agent| {
                    let address = agent_address(agent);
                    Member::listed(address, SERVICE.into(), ZONE.into(), ready_report())
                })
                .collect();
            balancer.set_members(now, members);
        }
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > END {
                break;
            }
            self.now = at;
            self.step(event);
        }
        self.outcome
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Syn { attempt, copy } => {
                if self.is_waiting(attempt) {
                    let balancer = usize::from(attempt) % BALANCERS;
                    self.send_to_balancer(balancer, &syn_copy(attempt, copy));
                }
            }
            Event::SynAck { attempt, upstream } => {
                if self.is_waiting(attempt) {
                    self.attempts.get_mut(&attempt).unwrap().upstream = Some(upstream);
                    self.schedule(CLIENT_DELAY, Event::Request { attempt });
                }
            }
            Event::Request { attempt } => {
                let upstream = self.attempts[&attempt].upstream.unwrap();
                let head = data(flow(attempt), sequence_of(upstream) + 1);
                self.send_to_balancer(usize::from(attempt) % BALANCERS, &head);
            }
            Event::Finish { upstream, attempt } => self.finish(upstream, attempt),
            Event::Answer { attempt } => {
                if !self.is_over(attempt) {
                    let state = self.attempts.get_mut(&attempt).unwrap();
                    state.is_over = true;
                    let client = &self.clients[state.client];
                    self.outcome.answered += usize::from(client.is_counted());
                    self.outcome.in_time += usize::from(
                        client.is_counted() && self.now < client.arrived_at + OBJECTIVE,
                    );
                }
            }
            Event::Reset { attempt } => self.end_attempt(attempt),
            Event::GiveUp { attempt } => {
                if self.is_waiting(attempt) {
                    self.end_attempt(attempt);
                }
            }
            Event::Tick => {
                self.tick();
                self.schedule(ms(5), Event::Tick);
            }
            Event::Outage => {
                self.start_processes();
                let is_finish = |event: &Event| matches!(event, Event::Finish { .. });
                self.events.retain(|Reverse((.., event))| !is_finish(event));
            }
            Event::Return => self.inform_balancers(),
        }
    }

    fn arrive(&mut self) {
        let client = Client {
            arrived_at: self.now,
            attempts_left: ATTEMPTS,
        };
        self.outcome.arrived += usize::from(client.is_counted());
        self.clients.push(client);
        self.begin_attempt(self.clients.len() - 1);
        let pause = -self.rng.random::<f64>().max(1e-9).ln() / self.rate;
        self.schedule(Duration::from_secs_f64(pause), Event::Arrival);
    }

    fn begin_attempt(&mut self, client: usize) {
        let state = &mut self.clients[client];
        if state.attempts_left == 0 || self.now >= state.deadline() {
            return;
        }
        state.attempts_left -= 1;
        let attempt = u16::try_from(self.attempts.len() + 1).unwrap();
        self.attempts.insert(
            attempt,
            Attempt {
                client,
                upstream: None,
                is_over: false,
            },
        );
        for (copy, after) in COPIES.into_iter().enumerate() {
            self.schedule(CLIENT_DELAY + after, Event::Syn { attempt, copy });
        }
        self.schedule(ATTEMPT_TIME, Event::GiveUp { attempt });
    }

    /// Whether the attempt is over or its client has given up.
    fn is_over(&self, attempt: u16) -> bool {
        let attempt = &self.attempts[&attempt];
        attempt.is_over || self.now >= self.clients[attempt.client].deadline()
    }

    /// Whether the client still waits for a SYN-ACK.
    fn is_waiting(&self, attempt: u16) -> bool {
        !self.is_over(attempt) && self.attempts[&attempt].upstream.is_none()
    }

    fn end_attempt(&mut self, attempt: u16) {
        if !self.is_over(attempt) {
            self.attempts.get_mut(&attempt).unwrap().is_over = true;
            self.begin_attempt(self.attempts[&attempt].client);
        }
    }

    fn tick(&mut self) {
        let now = self.at();
        for balancer in 0..BALANCERS {
            let mut actions = Vec::new();
            self.balancers[balancer].tick(now, &mut actions);
            self.balancer_actions(balancer, actions, None);
        }
        for agent in 0..UPSTREAMS {
            let mut actions = Vec::new();
            self.agents[agent].tick(now, &mut actions);
            self.agent_actions(agent, actions, &syn(flow(0)));
        }
    }

    fn send_to_balancer(&mut self, balancer: usize, head: &Head) {
        let now = self.at();
        let mut actions = Vec::new();
        self.balancers[balancer].handle_client_packet(now, head, &encode(head), &mut actions);
        self.balancer_actions(balancer, actions, Some(head));
    }

    fn balancer_actions(&mut self, from: usize, actions: Vec<Action>, current: Option<&Head>) {
        for action in actions {
            match action {
                Action::Forward { to, purpose, .. } => {
                    self.send_to_agent(index(to), from, purpose, current.unwrap());
                }
                Action::Send {
                    to,
                    purpose,
                    packet,
                    ..
                } => self.send_to_agent(index(to), from, purpose, &decode_syn(&packet)),
                Action::Probe(to) => {
                    let now = self.at();
                    let sent = self.balancers[from].members().probe_timestamp(now);
                    let report = self.agents[index(to)].report(now);
                    let answer = Body::Answer { sent, report };
                    self.frame_to_balancer(from, index(to), &answer, None);
                }
                Action::Reset { flow, .. } => {
                    let attempt = flow.client.port();
                    self.schedule(CLIENT_DELAY, Event::Reset { attempt });
                }
                Action::Drop(..) => {}
                Action::Locate { flow, .. } => panic!("the owner of {flow:?} is not known"),
            }
        }
    }

    fn send_to_agent(&mut self, agent: usize, from: usize, purpose: Purpose, head: &Head) {
        let now = self.at();
        let delivery = Delivery {
            purpose,
            service: SERVICE,
            sender_revision: 1,
            head,
            packet: &encode(head),
        };
        let mut actions = Vec::new();
        let from = balancer_address(from);
        self.agents[agent].deliver(now, from, &delivery, &mut actions);
        self.agent_actions(agent, actions, head);
    }

    fn agent_actions(&mut self, agent: usize, actions: Vec<AgentAction>, current: &Head) {
        let now = self.at();
        for action in actions {
            let report = self.agents[agent].report(now);
            match action {
                AgentAction::ToUpstream => self.send_to_upstream(agent, current),
                AgentAction::ToClient => {}
                AgentAction::Return { to, reason } => {
                    let packet = &encode(current);
                    let body = Body::Returned {
                        reason,
                        report,
                        packet,
                    };
                    self.frame_to_balancer(index(to), agent, &body, Some(current));
                }
                AgentAction::Accepted {
                    to, flow, sequence, ..
                } => {
                    let body = Body::Accepted {
                        flow,
                        sequence,
                        report,
                    };
                    self.frame_to_balancer(index(to), agent, &body, None);
                }
                other => panic!("unexpected in a deployment without silent upstreams: {other:?}"),
            }
        }
    }

    fn frame_to_balancer(&mut self, to: usize, agent: usize, body: &Body<'_>, head: Option<&Head>) {
        let now = self.at();
        let mut actions = Vec::new();
        let from = agent_address(agent);
        self.balancers[to].handle_agent_frame(now, from, body, head, &mut actions);
        self.balancer_actions(to, actions, None);
    }

    /// The upstream accepts each SYN, and runs a request or queues it.
    fn send_to_upstream(&mut self, upstream: usize, head: &Head) {
        let attempt = head.source.port();
        if head.opens() {
            self.outcome.opened_too_late += usize::from(self.is_over(attempt));
            self.schedule(CLIENT_DELAY, Event::SynAck { attempt, upstream });
            self.send_from_upstream(upstream, &syn_ack(flow(attempt), sequence_of(upstream)));
            return;
        }
        let state = &mut self.upstreams[upstream];
        if state.running < SLOTS {
            self.begin_request(upstream, attempt);
        } else if state.waiting.len() < UPSTREAM_QUEUE {
            state.waiting.push_back(attempt);
        } else {
            self.outcome.refused_by_upstreams += 1;
            self.answer(upstream, attempt);
        }
    }

    fn begin_request(&mut self, upstream: usize, attempt: u16) {
        self.upstreams[upstream].running += 1;
        let took = ms(self.rng.random_range(SERVICE_MS));
        self.schedule(took, Event::Finish { upstream, attempt });
    }

    fn finish(&mut self, upstream: usize, attempt: u16) {
        self.upstreams[upstream].running -= 1;
        self.schedule(CLIENT_DELAY, Event::Answer { attempt });
        self.answer(upstream, attempt);
        if let Some(next) = self.upstreams[upstream].waiting.pop_front() {
            self.begin_request(upstream, next);
        }
    }

    /// The upstream sends an answer and the client closes the flow.
    fn answer(&mut self, upstream: usize, attempt: u16) {
        let key = flow(attempt);
        let ack = Flags {
            ack: true,
            ..Flags::default()
        };
        self.send_from_upstream(upstream, &upstream_head(key, ack, 9, 500));
        let fin = Flags { fin: true, ..ack };
        let head = client_head(key, fin, sequence_of(upstream) + 1, 0);
        let now = self.at();
        let delivery = Delivery {
            purpose: Purpose::Known,
            service: "",
            sender_revision: 1,
            head: &head,
            packet: &encode(&head),
        };
        let from = balancer_address(usize::from(attempt) % BALANCERS);
        self.agents[upstream].deliver(now, from, &delivery, &mut Vec::new());
    }

    fn send_from_upstream(&mut self, upstream: usize, head: &Head) {
        let now = self.at();
        let mut actions = Vec::new();
        self.agents[upstream].handle_upstream_packet(now, head, &mut actions);
        self.agent_actions(upstream, actions, head);
    }
}

/// An intent with a time limit and a latency objective.
fn limited_intent() -> Arc<Intent> {
    let mut limited = (*simple_intent()).clone();
    for route in limited.policy.routes.values_mut() {
        route.timeout = Some(TIME_LIMIT);
        route.latency_objective = Some(OBJECTIVE);
    }
    limited.into()
}

/// Sequence number of an upstream's SYN-ACKs.
fn sequence_of(upstream: usize) -> u32 {
    1_000 * (upstream as u32 + 1)
}

/// Plays a load of `share` of the capacity and returns the shares of the clients that count which
/// were answered, and answered in time.
fn play(seed: u64, share: f64) -> (f64, f64, Outcome) {
    let outcome = Simulation::new(seed, share).run();
    let of_arrived = |count: usize| count as f64 / outcome.arrived as f64;
    let (answered, in_time) = (of_arrived(outcome.answered), of_arrived(outcome.in_time));
    (answered, in_time, outcome)
}

#[test]
fn goodput_recovers_within_two_seconds_of_the_capacity() {
    for share in [0.5, 0.8, 1.0] {
        for seed in 0..5 {
            let (answered, _, outcome) = play(seed, share);
            assert!(
                answered >= GOODPUT,
                "load {share}, seed {seed}: {outcome:?}"
            );
        }
    }
}

#[test]
fn latency_recovers_within_two_seconds_of_the_capacity() {
    for share in [0.5, 0.8] {
        for seed in 0..5 {
            let (_, in_time, outcome) = play(seed, share);
            assert!(in_time >= GOODPUT, "load {share}, seed {seed}: {outcome:?}");
        }
    }
}

#[test]
fn goodput_stays_at_the_capacity_under_twice_the_load() {
    for seed in 0..5 {
        let (answered, _, outcome) = play(seed, 2.0);
        assert!(answered >= GOODPUT / 2.0, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.refused_by_upstreams, 0, "seed {seed}");
    }
}
