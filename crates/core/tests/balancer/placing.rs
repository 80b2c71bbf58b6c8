//! Placement of new flows, and of flows that agents hand back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sassafrasmast_core::balancer::{Reason, Settings};
use sassafrasmast_wire::{AgentId, Body, Load, State};

use super::fixture::{
    DISPATCH, Harness, INCARNATION, MANIFESTS, address, caller, document, initial, ready_load,
};

fn handback(agent: AgentId, attempt: u8, payload: &[u8]) -> Body<'_> {
    Body::Handback {
        service: DISPATCH,
        agent,
        incarnation: INCARNATION,
        attempt,
        caller: caller(),
        load: ready_load(),
        payload,
    }
}

fn placed(harness: &Harness, count: usize) -> BTreeMap<AgentId, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..count {
        *counts
            .entry(harness.place(DISPATCH).expect("an agent accepts the flow"))
            .or_default() += 1;
    }
    counts
}

#[test]
fn placements_between_two_reports_do_not_concentrate_on_one_agent() {
    let harness = Harness::ready();
    let counts = placed(&harness, 70);
    let most = counts.values().max().unwrap();
    assert!(counts.len() == 7 && *most <= 13, "{counts:?}");
}

#[test]
fn an_agent_with_a_longer_predicted_wait_gets_fewer_flows() {
    let harness = Harness::ready();
    let slow = Load {
        wait_us: 200_000,
        running: 5,
        queued: 3,
        ..ready_load()
    };
    harness.report(2, INCARNATION, slow);
    let counts = placed(&harness, 70);
    assert!(counts.get(&2).is_none_or(|&count| count <= 1), "{counts:?}");
}

#[test]
fn draining_agents_get_no_new_flows_and_keep_their_open_ones() {
    let mut harness = Harness::ready();
    harness.update_config(|document| document.upstreams.get_mut(&1).unwrap().draining = true);
    let draining = Load {
        state: State::Draining,
        ..ready_load()
    };
    harness.report(2, INCARNATION, draining);
    let counts = placed(&harness, 500);
    assert!(
        !counts.contains_key(&1) && !counts.contains_key(&2),
        "{counts:?}"
    );
    assert!(harness.forwards(1) && harness.forwards(2));
}

#[test]
fn a_cold_agent_gets_few_flows_while_others_are_ready() {
    let mut harness = Harness::ready();
    let cold = Load {
        state: State::Cold,
        limit: 1,
        ..ready_load()
    };
    harness.report(3, INCARNATION, cold);
    let mut counts = BTreeMap::new();
    for _ in 0..1_000 {
        *counts.entry(harness.place(DISPATCH).unwrap()).or_insert(0) += 1;
        harness.now += Duration::from_millis(1);
    }
    let cold_flows = counts.get(&3).copied().unwrap_or(0);
    assert!(
        (1..=10).contains(&cold_flows),
        "{cold_flows} of 1000 in 1 s: {counts:?}"
    );
}

#[test]
fn agents_without_a_report_get_flows_only_when_no_other_agent_can() {
    let harness = Harness::new(document(7, 3), Settings::default());
    assert!(harness.place(DISPATCH).is_some());
    harness.report(4, INCARNATION, ready_load());
    assert!((0..100).all(|_| harness.place(DISPATCH) == Some(4)));
}

#[test]
fn a_new_balancer_of_a_large_fleet_soon_spreads_flows_over_all_agents_of_a_service() {
    let mut harness = Harness::new(document(4_197, 3), Settings::default());
    harness.report(4_198, INCARNATION, ready_load());
    assert_eq!(harness.place(MANIFESTS), Some(4_198));
    harness.advance(Duration::from_secs(1), |_| Some(1));
    let placed: BTreeSet<_> = (0..50).filter_map(|_| harness.place(MANIFESTS)).collect();
    assert_eq!(placed.len(), 3, "{placed:?}");
}

#[test]
fn a_flow_handed_back_goes_to_another_agent() {
    let harness = Harness::ready();
    for _ in 0..50 {
        let actions = harness.receive(address(5), 1, handback(5, 1, &initial()));
        assert_eq!(actions.len(), 1);
        assert!(actions[0].contains("Inbound") && !actions[0].contains("agent: 5,"));
        assert!(actions[0].contains("attempt: 1"));
    }
    assert!(
        (0..50).all(|_| harness.place(DISPATCH) != Some(5)),
        "new flow placed on an agent that handed one back within 100 ms"
    );
}

#[test]
fn a_flow_handed_back_too_often_is_dropped() {
    let harness = Harness::ready();
    assert!(
        harness
            .receive(address(5), 1, handback(5, 3, &initial()))
            .is_empty()
    );
    assert_eq!(harness.router.counters().dropped(Reason::Attempts), 1);
}

#[test]
fn a_flow_handed_back_by_the_only_agent_is_dropped() {
    let harness = Harness::new(document(1, 1), Settings::default());
    harness.report_all();
    assert!(
        harness
            .receive(address(1), 1, handback(1, 1, &initial()))
            .is_empty()
    );
    assert_eq!(harness.router.counters().dropped(Reason::NoAgent), 1);
    assert_eq!(harness.place(DISPATCH), Some(1));
}
