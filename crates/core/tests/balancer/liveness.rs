//! Detection of silent agents, and the control traffic of probing.

use std::time::Duration;

use sassafrasmast_core::balancer::{Route, Settings};

use super::fixture::{DISPATCH, Harness, INCARNATION, document, ready_load};

#[test]
fn a_silent_agent_gets_no_new_flows_but_keeps_its_open_ones() {
    let mut harness = Harness::ready();
    harness.advance(Duration::from_secs(5), |agent| (agent != 1).then_some(1));
    assert!((0..500).all(|_| harness.place(DISPATCH) != Some(1)));
    assert!(harness.forwards(1));
    harness.report(1, INCARNATION, ready_load());
    assert!((0..500).any(|_| harness.place(DISPATCH) == Some(1)));
}

#[test]
fn flows_of_a_silent_agent_are_reset_once_it_counts_as_dead_not_before() {
    let mut harness = Harness::ready();
    let packet = harness.short_packet(1, DISPATCH);
    harness.advance(Duration::from_secs(19), |agent| (agent != 1).then_some(1));
    assert!(
        harness.forwards(1),
        "the agent is silent for less time than it takes to count as dead"
    );
    harness.advance(Duration::from_secs(3), |agent| (agent != 1).then_some(1));
    let route = harness.route(DISPATCH, &packet);
    assert!(matches!(route, Route::Reset { agent: 1, .. }), "{route:?}");
    harness.report(1, INCARNATION + 1, ready_load());
    assert!(harness.forwards(1));
}

#[test]
fn reports_of_a_replacement_machine_whose_clock_is_behind_are_accepted() {
    let mut harness = Harness::ready();
    harness.report(1, INCARNATION + 9_000, ready_load());
    harness.report(1, INCARNATION, ready_load());
    let incarnation = |harness: &Harness| {
        harness
            .router
            .load(harness.now, 1)
            .map(|(incarnation, _)| incarnation)
    };
    assert_eq!(incarnation(&harness), Some(INCARNATION + 9_000));
    harness.advance(Duration::from_secs(30), |_| Some(1));
    assert_eq!(incarnation(&harness), Some(INCARNATION));
    assert!(harness.forwards(1));
}

#[test]
fn flows_to_a_zone_that_is_silent_as_a_whole_are_not_reset() {
    let mut harness = Harness::ready();
    let in_zone_b = |agent: u32| agent % 3 == 1; // As `upstream` of the fixture assigns the zones.
    harness.advance(Duration::from_secs(60), |agent| {
        (!in_zone_b(agent)).then_some(1)
    });
    assert!(harness.forwards(1) && harness.forwards(4) && harness.forwards(7));
}

#[test]
fn agents_of_a_zone_out_of_service_are_not_probed_even_during_a_hold() {
    let mut harness = Harness::ready();
    for agent in 1..=10 {
        assert!(harness.forwards(agent));
    }
    harness.update_config(|document| document.zones.get_mut("b").unwrap().out = true);
    let answer = |agent: u32| {
        assert_ne!(agent % 3, 1, "agent {agent} is in the zone that is out");
        Some(2)
    };
    harness.advance(Duration::from_secs(5), answer);
    harness.now += Duration::from_secs(2);
    harness.advance(Duration::from_secs(5), answer);
    assert!(harness.forwards(2));
}

#[test]
fn ten_agents_are_probed_about_twice_a_second_within_the_budget() {
    let mut harness = Harness::ready();
    let seconds = 20;
    let probes = harness.advance(Duration::from_secs(seconds), |_| Some(1));
    assert!(
        probes >= 18 * seconds,
        "{probes} probes of 10 agents in {seconds} s"
    );
    let bytes = control_bytes(&harness);
    assert!(
        bytes <= 3_000 * seconds,
        "{bytes} control bytes in {seconds} s"
    );
}

#[test]
fn probing_a_large_fleet_stays_within_the_budget_and_prefers_agents_in_use() {
    let mut harness = Harness::new(document(4_000, 200), Settings::default());
    harness.report_all();
    let before = control_bytes(&harness);
    let mut probes = 0;
    for _ in 0..20 {
        assert!(harness.forwards(77));
        let probed = std::cell::Cell::new(0);
        harness.advance(Duration::from_secs(1), |agent| {
            probed.set(probed.get() + u64::from(agent == 77));
            Some(1)
        });
        probes += probed.get();
    }
    assert!(
        probes >= 18,
        "the agent in use was probed {probes} times in 20 s"
    );
    let bytes = control_bytes(&harness) - before;
    assert!(bytes <= 3_000 * 20, "{bytes} control bytes in 20 s");
}

#[test]
fn probes_use_only_the_budget_left_by_other_control_traffic() {
    let mut harness = Harness::ready();
    let seconds = 20;
    for _ in 0..seconds {
        harness.blackboard.add_control_bytes(2_000);
        let probes = harness.advance(Duration::from_secs(1), |_| Some(1));
        assert!(probes > 0);
    }
    let bytes = control_bytes(&harness);
    assert!(
        bytes >= 2_000 * seconds,
        "{bytes} control bytes in {seconds} s"
    );
    assert!(
        bytes <= 3_000 * seconds,
        "{bytes} control bytes in {seconds} s"
    );
}

fn control_bytes(harness: &Harness) -> u64 {
    let counters = harness.router.counters();
    counters
        .control_bytes
        .load(std::sync::atomic::Ordering::Relaxed)
}
