//! Holds: a balancer whose configuration may be outdated forwards nothing until it is verified.

use std::time::Duration;

use sassafrasmast_core::balancer::{Reason, Route};

use super::fixture::{DISPATCH, Harness, initial};

#[test]
fn a_resumed_balancer_sends_nothing_to_a_zone_taken_out_meanwhile() {
    let mut harness = Harness::ready();
    harness.advance(Duration::from_secs(1), |_| Some(1));
    harness.now += Duration::from_secs(8);
    // Packets queued in the sockets are routed before the first tick after the pause.
    let packet = harness.short_packet(1, DISPATCH);
    assert_eq!(harness.route(DISPATCH, &packet), Route::Drop(Reason::Held));
    assert_eq!(
        harness.route(DISPATCH, &initial()),
        Route::Drop(Reason::Held)
    );
    // The agents have version 2 in force: the hold lasts until it is installed here.
    harness.advance(Duration::from_secs(2), |_| Some(2));
    assert_eq!(harness.route(DISPATCH, &packet), Route::Drop(Reason::Held));
    harness.update_config(|document| document.zones.get_mut("b").unwrap().out = true);
    harness.advance(Duration::from_millis(300), |_| Some(2));
    assert_eq!(
        harness.route(DISPATCH, &packet),
        Route::Drop(Reason::ZoneOut)
    );
    assert!(harness.forwards(2));
}

#[test]
fn a_resumed_balancer_with_the_current_configuration_soon_forwards_again() {
    let mut harness = Harness::ready();
    harness.now += Duration::from_secs(60);
    assert!(!harness.forwards(1));
    harness.advance(Duration::from_millis(100), |_| Some(1));
    for agent in 1..=10 {
        assert!(
            harness.forwards(agent),
            "the balancer's pause counted as silence of agent {agent}"
        );
    }
}

#[test]
fn answers_to_probes_from_before_the_pause_do_not_end_the_hold() {
    let mut harness = Harness::ready();
    harness.now += Duration::from_secs(2);
    assert!(!harness.forwards(1));
    harness.report_all(); // Nonce 0 stands for answers to probes from before the pause.
    harness.advance(Duration::from_secs(1), |_| None);
    assert!(!harness.forwards(1));
}

#[test]
fn one_answer_ends_the_hold_when_no_more_arrive() {
    let mut harness = Harness::ready();
    harness.now += Duration::from_secs(2);
    harness.advance(Duration::from_secs(2), |agent| (agent == 5).then_some(1));
    assert!(harness.forwards(1));
}

#[test]
fn a_newer_configuration_that_cannot_be_fetched_does_not_hold_forwarding_for_ever() {
    let mut harness = Harness::ready();
    harness.now += Duration::from_secs(2);
    harness.advance(Duration::from_secs(4), |_| Some(2));
    assert!(!harness.forwards(1));
    harness.advance(Duration::from_secs(2), |_| Some(2));
    assert!(harness.forwards(1));
}

#[test]
fn an_isolated_balancer_forwards_nothing_until_an_agent_answers() {
    let mut harness = Harness::ready();
    harness.advance(Duration::from_secs(6), |_| None);
    assert!(!harness.forwards(1));
    harness.advance(Duration::from_secs(60), |_| None);
    let packet = harness.short_packet(1, DISPATCH);
    assert_eq!(harness.route(DISPATCH, &packet), Route::Drop(Reason::Held));
    harness.advance(Duration::from_secs(6), |_| Some(1));
    assert!(harness.forwards(1));
}
