//! Agents of services whose routes do not differ in priority: their decisions are those of the build
//! before admission by class.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_core::flow::{Head, Intent, Key, Purpose, intent::Route, packet::Flags};
use xxhash_rust::xxh3::Xxh3;

use crate::fixture::{
    AgentRig, address, announcement, bounced, client_head, data, flow, ms, route_address,
    simple_intent, syn, syn_ack, upstream_head,
};

/// Steps of a recorded sequence.
const STEPS: usize = 4_000;

/// Digest of the actions that the agent took before admission by class, by seed. A change that is
/// meant for services without classes too records new ones.
const RECORDED: [u64; 4] = [
    6_116_495_754_738_363_582,
    3_355_625_262_940_178_073,
    3_868_985_808_027_424_768,
    14_254_358_537_434_784_461,
];

/// Priority of all routes where it is not the default.
const PRIORITY: u8 = 7;

/// How demand is stated to the agent.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Statement {
    Demand,
    ClassDemand,
}

/// Feeds an agent a seeded sequence of packets, demands, announcements and ticks, and returns the
/// digest of its actions and reports.
fn digest(seed: u64, statement: Statement, intent: Arc<Intent>) -> u64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut rig = AgentRig::confirmed();
    assert_eq!(rig.agent.set_intent(intent.clone()), intent.revision > 1);
    let start = rig.now;
    let mut digest = Xxh3::new();
    let mut sequence = 3;
    let mut last = [100_u32; 40];
    for _ in 0..STEPS {
        rig.now += Duration::from_micros(rng.random_range(0..3_000));
        rig.balancer = address(&format!("10.0.0.{}:7000", rng.random_range(1..4)));
        let port = rng.random_range(0..40_usize);
        let key = flow(port as u16);
        let actions = match rng.random_range(0..100) {
            0..25 => rig.deliver(Purpose::Open, &syn(key)),
            25..40 => rig.handle_upstream_packet(&syn_ack(key, 7)),
            40..60 => {
                // A new request, or a retransmission of the last one.
                last[port] += 500 * rng.random_range(0..2);
                let head = Head {
                    sequence: last[port],
                    ..data(key, 8)
                };
                rig.deliver(Purpose::Known, &head)
            }
            60..80 => rig.handle_upstream_packet(&answer(key)),
            80..83 => rig.deliver(Purpose::Known, &end(key)),
            83..85 => rig.handle_upstream_packet(&bounced(syn(key))),
            85..92 => {
                let waiting = rng.random_range(0..6);
                let mut actions = Vec::new();
                match statement {
                    Statement::Demand => {
                        let (now, from) = (rig.now, rig.balancer);
                        rig.agent.handle_demand(now, from, waiting, &mut actions);
                    }
                    Statement::ClassDemand => {
                        let (now, from) = (rig.now, rig.balancer);
                        let waiting = [(PRIORITY, waiting)];
                        rig.agent
                            .handle_class_demand(now, from, &waiting, &mut actions);
                    }
                }
                actions
            }
            92 => {
                sequence += 1;
                rig.announce(&announcement(1, sequence))
            }
            _ => rig.tick(ms(5)),
        };
        let report = rig.agent.report_to(rig.now, rig.balancer);
        let now = rig.now.duration_since(start);
        digest.update(format!("{now:?} {actions:?} {report:?}").as_bytes());
    }
    digest.digest()
}

/// The upstream's answer to a request.
fn answer(key: Key) -> Head {
    let flags = Flags {
        ack: true,
        ..Flags::default()
    };
    upstream_head(key, flags, 8, 500)
}

/// The client's last packet of a flow.
fn end(key: Key) -> Head {
    let flags = Flags {
        ack: true,
        fin: true,
        ..Flags::default()
    };
    client_head(key, flags, 508, 0)
}

#[test]
fn decisions_without_classes_are_those_recorded_before_admission_by_class() {
    let digests = [0, 1, 2, 3].map(|seed| digest(seed, Statement::Demand, simple_intent()));
    assert_eq!(digests, RECORDED);
}

#[test]
fn routes_of_one_priority_make_no_classes() {
    let mut intent = (*simple_intent()).clone();
    intent.revision = 2;
    let route = intent.policy.routes[&route_address()].clone();
    for port in [443, 444] {
        let address = SocketAddrV4::new(*route_address().ip(), port);
        let priority = PRIORITY;
        let route = Route {
            priority,
            ..route.clone()
        };
        intent.policy.routes.insert(address, route);
    }
    let digest = |seed| digest(seed, Statement::ClassDemand, intent.clone().into());
    assert_eq!([0, 1, 2, 3].map(digest), RECORDED);
}
