//! Silent agents, and the cost of watching.

use std::time::Duration;

use sassafrasmast_core::balancer::{Route, Settings};

use super::fixture::{DISPATCH, Fleet, INCARNATION, document, ready};

#[test]
fn a_silent_agent_gets_no_new_flows_but_keeps_its_open_ones() {
    let mut fleet = Fleet::ready();
    fleet.pass(Duration::from_secs(5), |agent| (agent != 1).then_some(1));
    assert!((0..500).all(|_| fleet.place(DISPATCH) != Some(1)));
    assert!(fleet.forwards(1));
    fleet.report(1, INCARNATION, ready());
    assert!((0..500).any(|_| fleet.place(DISPATCH) == Some(1)));
}

#[test]
fn flows_of_a_dead_agent_are_reset_after_the_idle_timeout_not_before() {
    let mut fleet = Fleet::ready();
    let packet = fleet.short(1, DISPATCH);
    fleet.pass(Duration::from_secs(19), |agent| (agent != 1).then_some(1));
    assert!(fleet.forwards(1), "a paused agent may still come back");
    fleet.pass(Duration::from_secs(3), |agent| (agent != 1).then_some(1));
    let route = fleet.route(DISPATCH, &packet);
    assert!(matches!(route, Route::Reset { agent: 1, .. }), "{route:?}");
    fleet.report(1, INCARNATION + 1, ready());
    assert!(fleet.forwards(1));
}

#[test]
fn an_agent_replaced_by_a_machine_whose_clock_is_behind_is_heard() {
    let mut fleet = Fleet::ready();
    fleet.report(1, INCARNATION + 9_000, ready());
    fleet.report(1, INCARNATION, ready());
    let incarnation = |fleet: &Fleet| fleet.router.load(fleet.now, 1).map(|(is, _)| is);
    assert_eq!(incarnation(&fleet), Some(INCARNATION + 9_000));
    fleet.pass(Duration::from_secs(30), |_| Some(1));
    assert_eq!(incarnation(&fleet), Some(INCARNATION));
    assert!(fleet.forwards(1));
}

#[test]
fn a_zone_that_is_cut_off_from_here_is_not_declared_dead() {
    let mut fleet = Fleet::ready();
    let in_zone_b = |agent: u32| agent % 3 == 1;
    fleet.pass(Duration::from_secs(60), |agent| {
        (!in_zone_b(agent)).then_some(1)
    });
    assert!(fleet.forwards(1) && fleet.forwards(4) && fleet.forwards(7));
}

#[test]
fn agents_of_an_out_zone_are_not_probed_even_during_a_hold() {
    let mut fleet = Fleet::ready();
    for agent in 1..=10 {
        assert!(fleet.forwards(agent));
    }
    fleet.change(|document| document.zones.get_mut("b").unwrap().out = true);
    let answer = |agent: u32| {
        assert_ne!(agent % 3, 1, "agent {agent} is in the zone that is out");
        Some(2)
    };
    fleet.pass(Duration::from_secs(5), answer);
    fleet.now += Duration::from_secs(2);
    fleet.pass(Duration::from_secs(5), answer);
    assert!(fleet.forwards(2));
}

#[test]
fn ten_agents_are_heard_about_twice_a_second_within_the_budget() {
    let mut fleet = Fleet::ready();
    let seconds = 20;
    let probes = fleet.pass(Duration::from_secs(seconds), |_| Some(1));
    assert!(
        probes >= 18 * seconds,
        "{probes} probes of 10 agents in {seconds} s"
    );
    let bytes = control_bytes(&fleet);
    assert!(
        bytes <= 3_000 * seconds,
        "{bytes} control bytes in {seconds} s"
    );
}

#[test]
fn watching_costs_the_same_for_a_large_fleet_and_prefers_agents_in_use() {
    let mut fleet = Fleet::new(document(4_000, 200), Settings::default());
    fleet.all_report();
    let before = control_bytes(&fleet);
    let mut heard = 0;
    for _ in 0..20 {
        assert!(fleet.forwards(77));
        let probed = std::cell::Cell::new(0);
        fleet.pass(Duration::from_secs(1), |agent| {
            probed.set(probed.get() + u64::from(agent == 77));
            Some(1)
        });
        heard += probed.get();
    }
    assert!(
        heard >= 18,
        "the agent in use was probed {heard} times in 20 s"
    );
    let bytes = control_bytes(&fleet) - before;
    assert!(bytes <= 3_000 * 20, "{bytes} control bytes in 20 s");
}

#[test]
fn probes_make_way_for_control_bytes_of_other_parts() {
    let mut fleet = Fleet::ready();
    let seconds = 20;
    for _ in 0..seconds {
        fleet.blackboard.add_control_bytes(2_000);
        let probes = fleet.pass(Duration::from_secs(1), |_| Some(1));
        assert!(probes > 0);
    }
    let bytes = control_bytes(&fleet);
    assert!(
        bytes >= 2_000 * seconds,
        "{bytes} control bytes in {seconds} s"
    );
    assert!(
        bytes <= 3_000 * seconds,
        "{bytes} control bytes in {seconds} s"
    );
}

fn control_bytes(fleet: &Fleet) -> u64 {
    let counters = fleet.router.counters();
    counters
        .control_bytes
        .load(std::sync::atomic::Ordering::Relaxed)
}
