//! Trace of the decisions of one balancer for a seeded sequence of inputs.

use std::{
    fmt::Write,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_core::flow::{
    Balancer, Head, Key, Member, Reason, Report,
    balancer::{self, Action},
    packet::Flags,
};
use sassafrasmast_wire::flow::Body;
use xxhash_rust::xxh3::xxh3_64;

use crate::fixture::{
    OTHER_ZONE, SERVICE, ZONE, address, client_head, ms, ready_report, route_address,
    simple_intent, syn,
};

/// Inputs of a trace.
const STEPS: usize = 6_000;

/// Times of the copies of a SYN after the first one.
const COPIES: [Duration; 3] = [ms(0), ms(200), ms(600)];

fn agent(index: u16) -> SocketAddrV4 {
    address(&format!("10.0.1.{index}:7000"))
}

fn flow(number: u32) -> Key {
    let [_, high, low, port] = number.to_be_bytes();
    Key {
        client: SocketAddrV4::new([100, 64, high, low].into(), 1_024 + u16::from(port)),
        route: route_address(),
    }
}

/// A balancer, the copies that its clients will send, and what it has decided.
struct Trace {
    balancer: Balancer,
    rng: StdRng,
    start: Instant,
    now: Duration,
    /// Copies of SYNs that are still to be sent.
    copies: Vec<(Duration, u32, usize)>,
    /// SYNs that agents were sent and have not answered.
    pending: Vec<(SocketAddrV4, Vec<u8>)>,
    text: String,
}

/// Number of the flow of a packet, whose bytes are that number.
fn number(bytes: &[u8]) -> u32 {
    u32::from_be_bytes(bytes.try_into().unwrap())
}

fn syn_copy(flow: Key, copy: usize) -> Head {
    Head {
        acknowledgement: copy as u32,
        ..syn(flow)
    }
}

impl Trace {
    fn new(seed: u64, priority: u8) -> Self {
        let start = Instant::now();
        let settings = balancer::Settings {
            zone: ZONE.into(),
            max_queued: 20,
            ..balancer::Settings::default()
        };
        let mut balancer = Balancer::new(start, settings);
        let mut limited = (*simple_intent()).clone();
        for route in limited.policy.routes.values_mut() {
            route.timeout = Some(ms(1_500));
            route.latency_objective = Some(ms(200));
            route.priority = priority;
        }
        assert!(balancer.set_intent(limited.into()));
        let members = (1..=6).map(|index| {
            let zone = if index % 2 == 0 { OTHER_ZONE } else { ZONE };
            Member::listed(agent(index), SERVICE.into(), zone.into(), ready_report())
        });
        balancer.set_members(start, members.collect());
        Self {
            balancer,
            rng: StdRng::seed_from_u64(seed),
            start,
            now: ms(1_000),
            copies: Vec::new(),
            pending: Vec::new(),
            text: String::new(),
        }
    }

    fn at(&self) -> Instant {
        self.start + self.now
    }

    /// Notes what the balancer decided. The order of actions within one decision may differ from run
    /// to run, since it follows that of a hash map.
    fn note(&mut self, actions: Vec<Action>, current: u32) {
        let mut texts: Vec<_> = actions.iter().map(|action| format!("{action:?}")).collect();
        texts.sort();
        writeln!(self.text, "{:?} {texts:?}", self.now).unwrap();
        let mut sent: Vec<_> = actions
            .into_iter()
            .filter_map(|action| match action {
                Action::Forward { to, .. } => Some((to, current.to_be_bytes().to_vec())),
                Action::Send { to, packet, .. } => Some((to, packet.into_vec())),
                _ => None,
            })
            .collect();
        sent.sort();
        self.pending.extend(sent);
    }

    fn send_syn(&mut self, number: u32, copy: usize) {
        let mut actions = Vec::new();
        let head = syn_copy(flow(number), copy);
        let bytes = number.to_be_bytes();
        let now = self.at();
        self.balancer
            .handle_client_packet(now, &head, &bytes, &mut actions);
        self.note(actions, number);
    }

    fn frame(&mut self, from: SocketAddrV4, body: &Body<'_>, head: Option<&Head>) {
        let mut actions = Vec::new();
        let now = self.at();
        self.balancer
            .handle_agent_frame(now, from, body, head, &mut actions);
        self.note(actions, 0);
    }

    /// An agent accepts or returns the SYN that it was sent, and the client may send its request.
    fn answer(&mut self, report: Report) {
        if self.pending.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.pending.len());
        let (from, packet) = self.pending.swap_remove(index);
        let flow = flow(number(&packet));
        if self.rng.random_bool(0.2) {
            let returned = Body::Returned {
                reason: Reason::Busy,
                report,
                packet: &packet,
            };
            self.frame(from, &returned, Some(&syn(flow)));
            return;
        }
        let accepted = Body::Accepted {
            flow,
            sequence: 1_000,
            report,
        };
        self.frame(from, &accepted, None);
        let ack = Flags {
            ack: true,
            ..Flags::default()
        };
        for acknowledgement in [1_001, 1_400] {
            self.now += Duration::from_micros(400);
            let mut actions = Vec::new();
            let head = client_head(flow, ack, acknowledgement, 100);
            let now = self.at();
            self.balancer
                .handle_client_packet(now, &head, &packet, &mut actions);
            self.note(actions, number(&packet));
        }
    }

    fn step(&mut self, index: u32) {
        self.now += Duration::from_micros(self.rng.random_range(0..4_000));
        let due = |(at, ..): &(Duration, u32, usize)| *at <= self.now;
        if let Some(position) = self.copies.iter().position(due) {
            let (_, number, copy) = self.copies.swap_remove(position);
            self.send_syn(number, copy);
        }
        let report = Report {
            headroom: self.rng.random_range(0..3),
            busy: self.rng.random_range(0..8),
            ..ready_report()
        };
        match self.rng.random_range(0..10) {
            0..=3 => {
                for (copy, after) in COPIES.into_iter().enumerate().skip(1) {
                    self.copies.push((self.now + after, index, copy));
                }
                self.send_syn(index, 0);
            }
            4 | 5 => self.answer(report),
            6 => {
                let from = agent(self.rng.random_range(1..=6));
                self.frame(from, &Body::Report(report), None);
            }
            _ => {
                let mut actions = Vec::new();
                let now = self.at();
                self.balancer.tick(now, &mut actions);
                self.note(actions, 0);
            }
        }
    }
}

/// Digest of the decisions for the inputs that follow from `seed`, with routes of one priority.
fn digest(seed: u64, priority: u8) -> u64 {
    let mut trace = Trace::new(seed, priority);
    for index in 0..STEPS {
        trace.step(index as u32);
    }
    xxh3_64(trace.text.as_bytes())
}

/// Guards against a change of decisions for services whose routes have one priority. The digests
/// are those of the last commit before admission by class, 951a983.
#[test]
fn decisions_without_classes_are_those_of_before() {
    let digests = [
        0x4829_b1e5_db02_bbbc,
        0x4eaa_9a58_6de7_49cb,
        0x3521_1ddb_4554_f614,
    ];
    for (seed, expected) in digests.into_iter().enumerate() {
        for priority in [0, 2] {
            assert_eq!(
                digest(seed as u64, priority),
                expected,
                "seed {seed}, priority {priority}"
            );
        }
    }
}
