//! Tests of the directory of returning callers at an agent.

use std::net::Ipv4Addr;

use sassafrasmast_core::flow::{Key, agent::Action};
use sassafrasmast_wire::flow::Attempt;

use crate::fixture::{AgentRig, flow, ms, route_address, simple_intent};

/// Limit of entries.
const MAX_ENTRIES: u32 = 4_096;

const TIME_LIMIT_MS: u64 = 1_500;

/// An agent whose route has a time limit.
fn rig() -> AgentRig {
    let mut rig = AgentRig::ready();
    let mut limited = (*simple_intent()).clone();
    limited.revision = 2;
    for route in limited.policy.routes.values_mut() {
        route.timeout = Some(ms(TIME_LIMIT_MS));
    }
    assert!(rig.agent.set_intent(limited.into()));
    rig
}

fn attempt(client: Ipv4Addr, age_ms: u32) -> Attempt {
    Attempt {
        client,
        route: route_address(),
        age_ms,
    }
}

/// The earlier attempts that the agent knows of the callers of flows.
fn inquire(rig: &mut AgentRig, flows: &[Key]) -> Vec<(Key, u32)> {
    let mut actions = Vec::new();
    rig.agent
        .handle_inquiry(rig.now, rig.balancer, flows, &mut actions);
    match actions.pop() {
        None => Vec::new(),
        Some(Action::Earlier { to, flows }) if to == rig.balancer => flows,
        other => panic!("{other:?}"),
    }
}

/// Guards against a caller that is taken for a returning one more often than it has returned.
#[test]
fn one_entry_answers_one_inquiry() {
    let mut rig = rig();
    let caller = *flow(1).client.ip();
    rig.agent.handle_ended(rig.now, &[attempt(caller, 700)]);
    rig.now += ms(20);
    // The port of another attempt differs.
    assert_eq!(inquire(&mut rig, &[flow(2), flow(3)]), [(flow(2), 720)]);
    assert_eq!(inquire(&mut rig, &[flow(4)]), []);
}

/// Guards against new requests of an address that are ordered by one that is long over.
#[test]
fn entry_expires_with_the_time_limit_of_its_route() {
    let mut rig = rig();
    let caller = *flow(1).client.ip();
    rig.agent.handle_ended(rig.now, &[attempt(caller, 700)]);
    rig.now += ms(TIME_LIMIT_MS - 700);
    assert_eq!(inquire(&mut rig, &[flow(2)]), []);
    let expired = attempt(caller, u32::MAX);
    rig.agent.handle_ended(rig.now, &[expired]);
    assert_eq!(inquire(&mut rig, &[flow(2)]), []);
}

/// Guards against a directory that outgrows the memory of a small VM.
#[test]
fn oldest_entries_are_replaced_beyond_the_limit() {
    let mut rig = rig();
    let caller = |number: u32| Ipv4Addr::from(0x6440_0000 + number);
    for number in 0..=MAX_ENTRIES {
        let ended = attempt(caller(number), 700);
        rig.agent.handle_ended(rig.now, &[ended]);
        rig.now += std::time::Duration::from_micros(10);
    }
    let of = |number: u32| Key {
        client: std::net::SocketAddrV4::new(caller(number), 1),
        route: route_address(),
    };
    assert_eq!(inquire(&mut rig, &[of(0)]), []);
    assert_eq!(inquire(&mut rig, &[of(1), of(MAX_ENTRIES)]).len(), 2);
}

/// Guards against entries of routes whose callers have no limit that ends them.
#[test]
fn routes_without_time_limit_have_no_entries() {
    let mut rig = AgentRig::ready();
    let caller = *flow(1).client.ip();
    rig.agent.handle_ended(rig.now, &[attempt(caller, 700)]);
    assert_eq!(inquire(&mut rig, &[flow(2)]), []);
}
