//! Where new flows go.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sassafrasmast_core::balancer::{Reason, Settings};
use sassafrasmast_wire::{AgentId, Body, Load, State};

use super::fixture::{
    DISPATCH, Fleet, INCARNATION, MANIFESTS, address, caller, document, initial, ready,
};

fn handback(agent: AgentId, attempt: u8, payload: &[u8]) -> Body<'_> {
    Body::Handback {
        service: DISPATCH,
        agent,
        incarnation: INCARNATION,
        attempt,
        caller: caller(),
        load: ready(),
        payload,
    }
}

fn placed(fleet: &Fleet, count: usize) -> BTreeMap<AgentId, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..count {
        *counts
            .entry(fleet.place(DISPATCH).expect("an agent"))
            .or_default() += 1;
    }
    counts
}

#[test]
fn placements_between_two_reports_do_not_herd() {
    let fleet = Fleet::ready();
    let counts = placed(&fleet, 70);
    let most = counts.values().max().unwrap();
    assert!(counts.len() == 7 && *most <= 13, "{counts:?}");
}

#[test]
fn the_shorter_predicted_wait_gets_more() {
    let fleet = Fleet::ready();
    let slow = Load {
        wait_us: 200_000,
        running: 5,
        queued: 3,
        ..ready()
    };
    fleet.report(2, INCARNATION, slow);
    let counts = placed(&fleet, 70);
    assert!(counts.get(&2).is_none_or(|&count| count <= 1), "{counts:?}");
}

#[test]
fn draining_agents_get_no_new_flows_and_keep_their_open_ones() {
    let mut fleet = Fleet::ready();
    fleet.change(|document| document.upstreams.get_mut(&1).unwrap().draining = true);
    let draining = Load {
        state: State::Draining,
        ..ready()
    };
    fleet.report(2, INCARNATION, draining);
    let counts = placed(&fleet, 500);
    assert!(
        !counts.contains_key(&1) && !counts.contains_key(&2),
        "{counts:?}"
    );
    assert!(fleet.forwards(1) && fleet.forwards(2));
}

#[test]
fn a_cold_agent_gets_a_trickle_while_others_are_ready() {
    let mut fleet = Fleet::ready();
    let cold = Load {
        state: State::Cold,
        limit: 1,
        ..ready()
    };
    fleet.report(3, INCARNATION, cold);
    let mut counts = BTreeMap::new();
    for _ in 0..1_000 {
        *counts.entry(fleet.place(DISPATCH).unwrap()).or_insert(0) += 1;
        fleet.now += Duration::from_millis(1);
    }
    let trickle = counts.get(&3).copied().unwrap_or(0);
    assert!(
        (1..=10).contains(&trickle),
        "{trickle} of 1000 in 1 s: {counts:?}"
    );
}

#[test]
fn agents_never_heard_come_last_but_serve_when_there_is_nobody_else() {
    let fleet = Fleet::new(document(7, 3), Settings::default());
    assert!(fleet.place(DISPATCH).is_some());
    fleet.report(4, INCARNATION, ready());
    assert!((0..100).all(|_| fleet.place(DISPATCH) == Some(4)));
}

#[test]
fn a_balancer_new_to_a_large_fleet_soon_spreads_the_flows_of_a_service_it_uses() {
    let mut fleet = Fleet::new(document(4_197, 3), Settings::default());
    fleet.report(4_198, INCARNATION, ready());
    assert_eq!(fleet.place(MANIFESTS), Some(4_198));
    fleet.pass(Duration::from_secs(1), |_| Some(1));
    let placed: BTreeSet<_> = (0..50).filter_map(|_| fleet.place(MANIFESTS)).collect();
    assert_eq!(placed.len(), 3, "{placed:?}");
}

#[test]
fn a_flow_handed_back_goes_to_another_agent() {
    let fleet = Fleet::ready();
    for _ in 0..50 {
        let actions = fleet.receive(address(5), 1, handback(5, 1, &initial()));
        assert_eq!(actions.len(), 1);
        assert!(actions[0].contains("Inbound") && !actions[0].contains("agent: 5,"));
        assert!(actions[0].contains("attempt: 1"));
    }
    assert!(
        (0..50).all(|_| fleet.place(DISPATCH) != Some(5)),
        "it refused just now"
    );
}

#[test]
fn attempts_are_bounded() {
    let fleet = Fleet::ready();
    assert!(
        fleet
            .receive(address(5), 1, handback(5, 3, &initial()))
            .is_empty()
    );
    assert_eq!(fleet.router.counters().dropped(Reason::Attempts), 1);
}

#[test]
fn the_only_agent_is_not_tried_twice() {
    let fleet = Fleet::new(document(1, 1), Settings::default());
    fleet.all_report();
    assert!(
        fleet
            .receive(address(1), 1, handback(1, 1, &initial()))
            .is_empty()
    );
    assert_eq!(fleet.router.counters().dropped(Reason::NoAgent), 1);
    assert_eq!(fleet.place(DISPATCH), Some(1));
}
