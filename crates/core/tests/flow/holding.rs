//! Admission by class at an agent: room, offers and the holding of requests on open flows.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_core::flow::{
    Head, Key, Priority, Purpose, Reason,
    agent::{Action, Announcement, Counts, Delivery},
    balancer::ResetCause,
    intent::{Policy, Route},
    packet::Flags,
};

use crate::fixture::{
    AgentRig, SERVICE, address, announcement, bounced, client_head, data, flow, intent, ms,
    route_address, syn, syn_ack, upstream_head,
};

const CRITICAL: Priority = 1;
const BULK: Priority = 2;

/// Flows that an upstream of five slots takes while the time of its requests is not known.
const LIMIT: u16 = 10;

/// Slots of the upstream, and the flows that it bears with its queue until a bounce shows less.
const SLOTS: u16 = 5;
const BEARABLE: u16 = 3 * SLOTS;

/// Interval between ticks of a process with pending work.
const TICK: Duration = ms(20);

/// Age at which a held packet is delivered by the next tick, so that none is held for over 200 ms.
const MAX_HELD: Duration = ms(200 - 20);

/// Bytes of a full packet.
const FULL_PACKET: usize = 1_400;

/// Limit of the bytes held.
const MAX_HELD_BYTES: usize = 65_536;

/// A flow of the critical class.
fn critical(port: u16) -> Key {
    flow(port)
}

/// A flow of the less critical class.
fn bulk(port: u16) -> Key {
    let route = SocketAddrV4::new(*route_address().ip(), 444);
    Key {
        route,
        ..flow(port)
    }
}

fn add_classes(policy: &mut Policy) {
    let route = policy.routes[&route_address()].clone();
    for (flow, priority) in [(critical(0), CRITICAL), (bulk(0), BULK)] {
        let route = Route {
            priority,
            ..route.clone()
        };
        policy.routes.insert(flow.route, route);
    }
}

/// An agent of a service with two classes, whose upstream has five slots.
fn rig() -> AgentRig {
    rig_with_cold_rate(0.0)
}

fn rig_with_cold_rate(cold_rate: f64) -> AgentRig {
    let mut rig = AgentRig::ready();
    let mut intent = (*intent(2, &[(SERVICE, 1)], cold_rate)).clone();
    add_classes(&mut intent.policy);
    assert!(rig.agent.set_intent(intent.into()));
    rig
}

/// The request of a flow with this number.
fn request(flow: Key, number: u32) -> Head {
    let first = data(flow, 8);
    Head {
        sequence: first.sequence + number * u32::from(first.data_len),
        ..first
    }
}

fn answer(flow: Key) -> Head {
    let flags = Flags {
        ack: true,
        ..Flags::default()
    };
    upstream_head(flow, flags, 8, 500)
}

fn fin(flow: Key) -> Head {
    let flags = Flags {
        ack: true,
        fin: true,
        ..Flags::default()
    };
    client_head(flow, flags, 508, 0)
}

fn acknowledgement(flow: Key) -> Head {
    let flags = Flags {
        ack: true,
        ..Flags::default()
    };
    client_head(flow, flags, 508, 0)
}

/// Opens a flow and has its first request answered.
fn open_idle(rig: &mut AgentRig, flow: Key) {
    rig.open(flow, 7);
    rig.handle_upstream_packet(&answer(flow));
}

/// Fills the upstream with critical requests.
fn fill(rig: &mut AgentRig) {
    for port in 100..100 + LIMIT {
        rig.open(critical(port), 7);
    }
}

/// An agent with an idle flow of the less critical class and an upstream full of critical requests.
fn full_rig() -> AgentRig {
    let mut rig = rig();
    open_idle(&mut rig, bulk(1));
    fill(&mut rig);
    rig
}

/// Delivers a packet whose bytes name it.
fn deliver_named(rig: &mut AgentRig, head: &Head, name: &[u8]) -> Vec<Action> {
    let mut actions = Vec::new();
    let delivery = Delivery {
        purpose: Purpose::Known,
        service: SERVICE,
        sender_revision: 1,
        head,
        packet: name,
    };
    rig.agent
        .deliver(rig.now, rig.balancer, &delivery, &mut actions);
    actions
}

fn held(packet: &[u8]) -> Action {
    Action::HeldToUpstream {
        packet: packet.into(),
    }
}

fn demand(rig: &mut AgentRig, from: &str, waiting: &[(Priority, u16)]) -> Vec<Action> {
    let mut actions = Vec::new();
    rig.agent
        .handle_class_demand(rig.now, address(from), waiting, &mut actions);
    actions
}

fn report(to: &str) -> Action {
    Action::Report { to: address(to) }
}

#[test]
fn a_request_on_an_open_flow_waits_until_the_upstream_has_room() {
    let mut rig = full_rig();
    let next = request(bulk(1), 1);
    assert_eq!(rig.deliver(Purpose::Known, &next), []);
    assert_eq!(rig.tick(ms(1)), []);
    assert_eq!(
        rig.handle_upstream_packet(&answer(critical(100))),
        [Action::ToClient, held(b"packet")]
    );
    let counts = rig.agent.class_counts()[&BULK];
    let expected = Counts {
        admitted: 1,
        held: 1,
        passed: 1,
        ..Counts::default()
    };
    assert_eq!(counts, expected);
}

#[test]
fn a_request_is_held_for_200_ms_at_most() {
    let mut rig = full_rig();
    rig.deliver(Purpose::Known, &request(bulk(1), 1));
    assert!(rig.agent.has_pending_work());
    let mut waited = Duration::ZERO;
    loop {
        waited += TICK;
        if rig.tick(TICK) == [held(b"packet")] {
            break;
        }
    }
    assert!(waited <= ms(200) && waited >= MAX_HELD, "{waited:?}");
    assert_eq!(rig.tick(TICK), []);
}

/// Guards against requests that are held until they cannot be in time any more.
#[test]
fn a_request_with_an_objective_is_held_for_a_quarter_of_it_at_most() {
    const OBJECTIVE: Duration = ms(240);
    let mut rig = full_rig();
    let mut intent = (**rig.agent.intent().unwrap()).clone();
    intent.revision += 1;
    for route in intent.policy.routes.values_mut() {
        route.latency_objective = Some(OBJECTIVE);
    }
    assert!(rig.agent.set_intent(intent.into()));
    rig.deliver(Purpose::Known, &request(bulk(1), 1));
    assert_eq!(rig.tick(OBJECTIVE / 4 - ms(1)), []);
    assert_eq!(rig.tick(ms(1)), [held(b"packet")]);
}

/// An agent whose upstream bears no more, with flows of the less critical class whose requests have an
/// objective of 240 ms and a time limit of a second.
fn crowded_rig(flows: std::ops::RangeInclusive<u16>) -> AgentRig {
    let mut rig = rig();
    let mut intent = (**rig.agent.intent().unwrap()).clone();
    intent.revision += 1;
    for route in intent.policy.routes.values_mut() {
        route.latency_objective = Some(ms(240));
        route.timeout = Some(ms(1_000));
    }
    assert!(rig.agent.set_intent(intent.into()));
    for port in flows {
        open_idle(&mut rig, bulk(port));
    }
    for port in 100..100 + BEARABLE {
        open_idle(&mut rig, critical(port));
    }
    for port in 100..100 + BEARABLE {
        rig.deliver(Purpose::Known, &request(critical(port), 1));
    }
    rig
}

/// Guards against requests that are delivered while the upstream bears no more: critical SYNs find no
/// room, and requests that could be in time wait behind those that cannot.
#[test]
fn requests_beyond_what_the_upstream_bears_are_held_and_those_in_time_go_first() {
    let mut rig = crowded_rig(1..=3);
    for (port, name) in [(1, b"first"), (2, b"secnd")] {
        assert_eq!(deliver_named(&mut rig, &request(bulk(port), 1), name), []);
        assert_eq!(rig.tick(ms(20)), []);
    }
    assert_eq!(rig.tick(ms(240)), []);
    assert_eq!(deliver_named(&mut rig, &request(bulk(3), 1), b"third"), []);
    let mut delivered = Vec::new();
    for port in 100..103 {
        delivered.extend(rig.handle_upstream_packet(&answer(critical(port))));
        delivered.extend(rig.tick(ms(1)));
    }
    delivered.retain(|action| *action != Action::ToClient);
    assert_eq!(delivered, [held(b"third"), held(b"secnd"), held(b"first")]);
}

/// Guards against work for clients that have given up.
#[test]
fn a_held_request_is_dropped_when_its_client_gives_up() {
    let mut rig = crowded_rig(1..=2);
    rig.deliver(Purpose::Known, &request(bulk(1), 1));
    rig.deliver(Purpose::Known, &request(bulk(2), 1));
    let reset = Head {
        flags: Flags {
            rst: true,
            ..Flags::default()
        },
        ..acknowledgement(bulk(2))
    };
    assert_eq!(
        rig.deliver(Purpose::Known, &reset),
        [Action::ToUpstream],
        "a reset delivers nothing that it overtakes"
    );
    assert_eq!(rig.tick(ms(999)), []);
    assert_eq!(rig.agent.held_count(), 1);
    assert_eq!(rig.tick(ms(1)), []);
    assert_eq!(rig.agent.held_count(), 0);
    assert_eq!(rig.agent.class_counts()[&BULK].expired, 2);
}

/// Guards against less critical requests that fill the whole queue of the upstream while a critical SYN
/// waits for a place in it.
#[test]
fn half_of_the_queue_is_left_to_a_critical_syn_that_waits() {
    let mut rig = crowded_rig(1..=8);
    for port in 1..=8 {
        rig.deliver(Purpose::Known, &request(bulk(port), 1));
    }
    rig.tick(ms(60));
    demand(&mut rig, "10.9.0.1:7000", &[(CRITICAL, 9)]);
    for port in 100..100 + (BEARABLE - SLOTS) / 2 {
        let delivered = rig.handle_upstream_packet(&answer(critical(port)));
        assert!(!delivered.contains(&held(b"packet")), "{port}");
    }
}

#[test]
fn requests_of_the_most_critical_class_are_never_held() {
    let mut rig = rig();
    open_idle(&mut rig, critical(1));
    fill(&mut rig);
    let next = request(critical(1), 1);
    assert_eq!(rig.deliver(Purpose::Known, &next), [Action::ToUpstream]);
}

#[test]
fn requests_are_not_held_while_the_upstream_has_room() {
    let mut rig = rig();
    open_idle(&mut rig, bulk(1));
    let next = request(bulk(1), 1);
    assert_eq!(rig.deliver(Purpose::Known, &next), [Action::ToUpstream]);
}

/// Guards against requests of the class that a SYN was already admitted for being held again.
#[test]
fn the_first_request_of_a_flow_is_not_held() {
    let mut rig = rig();
    for port in 1..=LIMIT {
        assert_eq!(
            rig.deliver(Purpose::Open, &syn(bulk(port))),
            [Action::ToUpstream]
        );
        rig.handle_upstream_packet(&syn_ack(bulk(port), 7));
    }
    for port in 1..=LIMIT {
        let first = request(bulk(port), 0);
        assert_eq!(rig.deliver(Purpose::Known, &first), [Action::ToUpstream]);
    }
}

#[test]
fn acknowledgements_pass_and_the_end_of_a_flow_delivers_what_is_held_before_it() {
    let mut rig = full_rig();
    rig.deliver(Purpose::Known, &request(bulk(1), 1));
    assert_eq!(
        rig.deliver(Purpose::Known, &acknowledgement(bulk(1))),
        [Action::ToUpstream]
    );
    assert_eq!(
        rig.deliver(Purpose::Known, &fin(bulk(1))),
        [held(b"packet"), Action::ToUpstream]
    );
}

#[test]
fn packets_of_a_held_request_keep_their_order_and_copies_are_dropped() {
    let mut rig = full_rig();
    for (number, name) in [(1, b"one"), (2, b"two"), (1, b"1st"), (2, b"2nd")] {
        assert_eq!(deliver_named(&mut rig, &request(bulk(1), number), name), []);
    }
    assert_eq!(rig.tick(MAX_HELD), [held(b"one"), held(b"two")]);
}

#[test]
fn at_most_64_kb_are_held() {
    let mut rig = rig();
    let flows = MAX_HELD_BYTES / FULL_PACKET + 2;
    let ports = 1..=u16::try_from(flows).unwrap();
    for port in ports.clone() {
        open_idle(&mut rig, bulk(port));
    }
    fill(&mut rig);
    let mut bytes = 0;
    for port in ports {
        let actions = deliver_named(&mut rig, &request(bulk(port), 1), &[0; FULL_PACKET]);
        if actions.is_empty() {
            bytes += FULL_PACKET;
        } else {
            assert_eq!(actions, [Action::ToUpstream]);
        }
    }
    assert!(bytes <= MAX_HELD_BYTES && bytes + FULL_PACKET > MAX_HELD_BYTES);
}

#[test]
fn nothing_is_held_for_a_draining_upstream() {
    let mut rig = full_rig();
    rig.announce(&Announcement {
        draining: true,
        ..announcement(1, 2)
    });
    let next = request(bulk(1), 1);
    assert_eq!(rig.deliver(Purpose::Known, &next), [Action::ToUpstream]);
}

/// Guards against packets of lost flows that reach the upstream's next incarnation.
#[test]
fn a_restart_of_the_upstream_drops_the_held_packets_of_its_flows() {
    let mut rig = full_rig();
    rig.announce_each(650, 1, 2..=4);
    rig.deliver(Purpose::Known, &request(bulk(1), 1));
    rig.deliver_bounced(critical(100));
    rig.deliver_bounced(critical(101));
    let actions = rig.announce(&announcement(2, 1));
    let reset = Action::Reset {
        flow: bulk(1),
        sequence: 8,
        cause: ResetCause::Restarted,
    };
    assert!(actions.contains(&reset), "{actions:?}");
    assert_eq!(rig.tick(MAX_HELD), []);
}

#[test]
fn a_held_packet_of_a_flow_that_has_ended_goes_back_to_its_balancer() {
    let mut rig = full_rig();
    rig.deliver(Purpose::Known, &request(bulk(1), 1));
    rig.deliver(Purpose::Known, &acknowledgement(bulk(1)));
    rig.handle_upstream_packet(&bounced(acknowledgement(bulk(1))));
    let missing = Action::MissingBuffered {
        to: rig.balancer,
        flow: bulk(1),
        packet: b"packet".as_slice().into(),
    };
    assert_eq!(rig.tick(MAX_HELD), [missing]);
}

/// Guards against a critical SYN that waits for the end of less critical work.
#[test]
fn a_critical_syn_is_admitted_to_an_upstream_full_of_less_critical_requests() {
    let mut rig = rig();
    for port in 1..=LIMIT {
        rig.open(bulk(port), 7);
    }
    assert_eq!(
        rig.deliver(Purpose::Open, &syn(bulk(LIMIT + 1))),
        rig.return_actions(Reason::Busy)
    );
    for port in 1..=LIMIT / 2 {
        rig.open(critical(port), 7);
    }
    assert_eq!(
        rig.deliver(Purpose::Open, &syn(critical(LIMIT))),
        rig.return_actions(Reason::Busy)
    );
}

/// Guards against bounces that the preference for critical SYNs would cause.
#[test]
fn a_bounce_shows_how_many_flows_the_upstream_bears() {
    let mut rig = rig();
    for port in 1..=LIMIT {
        rig.open(bulk(port), 7);
    }
    rig.open(critical(1), 7);
    rig.deliver(Purpose::Open, &syn(critical(2)));
    rig.handle_upstream_packet(&bounced(syn(critical(2))));
    rig.now += ms(100);
    assert_eq!(
        rig.deliver(Purpose::Open, &syn(critical(3))),
        rig.return_actions(Reason::Busy)
    );
}

#[test]
fn room_is_offered_for_the_most_critical_syn_first() {
    let (few, many) = ("10.0.0.2:7000", "10.0.0.3:7000");
    let mut rig = full_rig();
    assert_eq!(demand(&mut rig, many, &[(BULK, 9)]), [report(many)]);
    assert_eq!(
        demand(&mut rig, few, &[(CRITICAL, 1), (BULK, 1)]),
        [report(few)]
    );
    // A held request is less critical than the SYN.
    rig.deliver(Purpose::Known, &request(bulk(1), 1));
    let mut next = |port| rig.handle_upstream_packet(&answer(critical(port)));
    assert_eq!(next(100), [Action::ToClient, report(few)]);
    assert_eq!(next(101), [Action::ToClient, held(b"packet")]);
    assert_eq!(next(102), [Action::ToClient, report(many)]);
}

/// Guards against a balancer that uses a place for a SYN that it was not offered for, so that the
/// flows of the less critical class grow in number while their requests are held.
#[test]
fn a_place_offered_for_a_critical_syn_is_not_used_by_a_less_critical_one() {
    let mut rig = rig();
    for port in 1..=LIMIT {
        rig.open(bulk(port), 7);
    }
    let balancer = rig.balancer.to_string();
    demand(&mut rig, &balancer, &[(CRITICAL, 1), (BULK, 1)]);
    assert_eq!(rig.agent.report_to(rig.now, rig.balancer).headroom, 1);
    assert_eq!(
        rig.deliver(Purpose::Open, &syn(bulk(LIMIT + 1))),
        rig.return_actions(Reason::Busy)
    );
}

/// Guards against a balancer of an earlier build, which states no classes, that gets more room than
/// its SYNs may use, or none while others ask for less critical ones.
#[test]
fn a_demand_without_classes_gets_the_room_of_a_service_without_classes() {
    let (old, new) = ("10.0.0.2:7000", "10.0.0.3:7000");
    let mut rig = rig();
    for port in 1..=LIMIT {
        rig.open(bulk(port), 7);
    }
    let mut actions = Vec::new();
    rig.agent
        .handle_demand(rig.now, address(old), 2, &mut actions);
    assert_eq!(rig.agent.report_to(rig.now, address(old)).headroom, 0);
    // There is room for a critical SYN only.
    demand(&mut rig, new, &[(CRITICAL, 1), (BULK, 1)]);
    assert_eq!(rig.agent.report_to(rig.now, address(new)).headroom, 1);
    for port in 1..=2 {
        rig.handle_upstream_packet(&answer(bulk(port)));
    }
    assert_eq!(rig.agent.report_to(rig.now, address(old)).headroom, 1);
    rig.balancer = address(old);
    assert_eq!(
        rig.deliver(Purpose::Open, &syn(bulk(LIMIT + 1))),
        [Action::ToUpstream]
    );
}

#[test]
fn one_of_twenty_places_goes_to_the_less_critical_class() {
    let (critical_balancer, bulk_balancer) = ("10.0.0.2:7000", "10.0.0.3:7000");
    let mut rig = rig();
    fill(&mut rig);
    let mut lower = 0;
    for port in 100..140 {
        demand(&mut rig, critical_balancer, &[(CRITICAL, 9)]);
        demand(&mut rig, bulk_balancer, &[(BULK, 9)]);
        let actions = rig.handle_upstream_packet(&answer(critical(port)));
        lower += usize::from(actions.contains(&report(bulk_balancer)));
        let (from, key) = if actions.contains(&report(bulk_balancer)) {
            (bulk_balancer, bulk(port + LIMIT))
        } else {
            (critical_balancer, critical(port + LIMIT))
        };
        rig.balancer = address(from);
        rig.open(key, 7);
        if key == bulk(port + LIMIT) {
            // Later rounds end critical requests only.
            rig.handle_upstream_packet(&answer(key));
            rig.balancer = address(critical_balancer);
            rig.open(critical(port + LIMIT), 7);
        }
    }
    assert_eq!(lower, 2);
}

/// Guards against a cold limit that classes or held requests get round, and against held requests
/// that the cold limit keeps from the upstream although they open no flow.
#[test]
fn the_cold_limit_holds_for_all_classes_together() {
    let mut rig = rig_with_cold_rate(10.0);
    rig.announce(&Announcement {
        cold_left: ms(10_000),
        ..announcement(2, 1)
    });
    let limit = rig.agent.cold_limit().unwrap();
    let mut rng = StdRng::seed_from_u64(1);
    let mut admitted = Vec::new();
    for port in 0..4_000 {
        rig.now += ms(1);
        let key = if rng.random() {
            critical(port)
        } else {
            bulk(port)
        };
        let waiting = [(CRITICAL, rng.random_range(0..4)), (BULK, 4)];
        demand(&mut rig, "10.0.0.1:7000", &waiting);
        if rig.deliver(Purpose::Open, &syn(key))[0] == Action::ToUpstream {
            admitted.push(rig.now);
            rig.handle_upstream_packet(&syn_ack(key, 7));
            rig.deliver(Purpose::Known, &request(key, 0));
            rig.handle_upstream_packet(&answer(key));
            // A further request opens no flow.
            let next = rig.deliver(Purpose::Known, &request(key, 1));
            assert!(next.contains(&Action::ToUpstream));
            rig.handle_upstream_packet(&answer(key));
        }
    }
    assert!(admitted.len() > 2 * limit);
    for &from in &admitted {
        let in_second = |at: &&std::time::Instant| **at >= from && **at < from + ms(1_000);
        assert!(admitted.iter().filter(in_second).count() <= limit);
    }
}

/// Numbers of the requests that have reached the upstream, by the client's port.
#[derive(Debug, Default)]
struct Arrivals {
    by_flow: HashMap<u16, Vec<u32>>,
}

impl Arrivals {
    /// Records actions. `current` is the request that was just delivered, if it was one.
    fn record(&mut self, actions: &[Action], current: Option<(u16, u32)>) {
        for action in actions {
            let (port, number) = match action {
                Action::HeldToUpstream { packet } => (
                    u16::from_be_bytes([packet[0], packet[1]]),
                    u32::from_be_bytes([packet[2], packet[3], packet[4], packet[5]]),
                ),
                Action::ToUpstream if current.is_some() => current.unwrap(),
                _ => continue,
            };
            let of_flow = self.by_flow.entry(port).or_default();
            // The upstream ignores copies of what it has.
            if of_flow.last() != Some(&number) {
                of_flow.push(number);
            }
        }
    }
}

/// Guards against packets that are lost, repeated or reordered by holding.
#[test]
fn each_packet_of_a_flow_reaches_the_upstream_once_and_in_order() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut rig = rig();
        let flows = 1..=12;
        for port in flows.clone() {
            open_idle(&mut rig, bulk(port));
        }
        let mut sent: HashMap<u16, u32> = HashMap::new();
        let mut arrived = Arrivals::default();
        let mut busy = Vec::new();
        for step in 0..3_000_u16 {
            rig.now += Duration::from_micros(rng.random_range(0..4_000));
            let port = rng.random_range(flows.clone());
            match rng.random_range(0..10) {
                0..4 => {
                    let number = sent.entry(port).or_default();
                    // Three of four packets are new, the others are copies.
                    *number += u32::from(*number == 0 || rng.random_range(0..4) > 0);
                    let name =
                        [port.to_be_bytes().to_vec(), number.to_be_bytes().to_vec()].concat();
                    let head = request(bulk(port), *number);
                    let actions = deliver_named(&mut rig, &head, &name);
                    arrived.record(&actions, Some((port, *number)));
                }
                4..6 => arrived.record(&rig.handle_upstream_packet(&answer(bulk(port))), None),
                6..8 => {
                    let key = critical(1_000 + step);
                    let actions = rig.deliver(Purpose::Open, &syn(key));
                    arrived.record(&actions, None);
                    if actions.contains(&Action::ToUpstream) {
                        arrived.record(&rig.handle_upstream_packet(&syn_ack(key, 7)), None);
                        arrived.record(&rig.deliver(Purpose::Known, &request(key, 0)), None);
                        busy.push(key);
                    }
                }
                8 if !busy.is_empty() => {
                    let key = busy.swap_remove(rng.random_range(0..busy.len()));
                    arrived.record(&rig.handle_upstream_packet(&answer(key)), None);
                }
                _ => arrived.record(&rig.tick(ms(1)), None),
            }
        }
        // What the upstream does not bear yet is held until it has answered others.
        for key in busy.into_iter().chain(flows.map(bulk)) {
            arrived.record(&rig.handle_upstream_packet(&answer(key)), None);
        }
        arrived.record(&rig.tick(MAX_HELD), None);
        assert!(rig.agent.class_counts()[&BULK].held > 0, "seed {seed}");
        for (port, last) in sent {
            let expected: Vec<u32> = (1..=last).collect();
            assert_eq!(arrived.by_flow[&port], expected, "seed {seed}, flow {port}");
        }
    }
}
