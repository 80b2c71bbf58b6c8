//! A balancer that cannot know whether its configuration is outdated.

use std::time::Duration;

use sassafrasmast_core::balancer::{Reason, Route};

use super::fixture::{DISPATCH, Fleet, initial};

#[test]
fn a_resumed_balancer_sends_nothing_to_a_zone_taken_out_meanwhile() {
    let mut fleet = Fleet::ready();
    fleet.pass(Duration::from_secs(1), |_| Some(1));
    fleet.now += Duration::from_secs(8);
    // Packets that waited in the sockets are read before anything else happens.
    let packet = fleet.short(1, DISPATCH);
    assert_eq!(fleet.route(DISPATCH, &packet), Route::Drop(Reason::Held));
    assert_eq!(fleet.route(DISPATCH, &initial()), Route::Drop(Reason::Held));
    // Others have version 2 in force: the hold lasts until it is here.
    fleet.pass(Duration::from_secs(2), |_| Some(2));
    assert_eq!(fleet.route(DISPATCH, &packet), Route::Drop(Reason::Held));
    fleet.change(|document| document.zones.get_mut("b").unwrap().out = true);
    fleet.pass(Duration::from_millis(300), |_| Some(2));
    assert_eq!(fleet.route(DISPATCH, &packet), Route::Drop(Reason::ZoneOut));
    assert!(fleet.forwards(2));
}

#[test]
fn a_resumed_balancer_with_the_present_configuration_goes_on_at_once() {
    let mut fleet = Fleet::ready();
    fleet.now += Duration::from_secs(60);
    assert!(!fleet.forwards(1));
    fleet.pass(Duration::from_millis(100), |_| Some(1));
    for agent in 1..=10 {
        assert!(
            fleet.forwards(agent),
            "the pause was not agent {agent}'s silence"
        );
    }
}

#[test]
fn old_answers_verify_nothing() {
    let mut fleet = Fleet::ready();
    fleet.now += Duration::from_secs(2);
    assert!(!fleet.forwards(1));
    fleet.all_report(); // Nonce 0: answers to probes from before the pause.
    fleet.pass(Duration::from_secs(1), |_| None);
    assert!(!fleet.forwards(1));
}

#[test]
fn one_answer_is_enough_when_no_more_come() {
    let mut fleet = Fleet::ready();
    fleet.now += Duration::from_secs(2);
    fleet.pass(Duration::from_secs(2), |agent| (agent == 5).then_some(1));
    assert!(fleet.forwards(1));
}

#[test]
fn a_newer_configuration_that_cannot_be_fetched_stops_nothing_for_ever() {
    let mut fleet = Fleet::ready();
    fleet.now += Duration::from_secs(2);
    fleet.pass(Duration::from_secs(4), |_| Some(2));
    assert!(!fleet.forwards(1));
    fleet.pass(Duration::from_secs(2), |_| Some(2));
    assert!(fleet.forwards(1));
}

#[test]
fn a_balancer_that_hears_nobody_forwards_nothing_until_somebody_answers() {
    let mut fleet = Fleet::ready();
    fleet.pass(Duration::from_secs(6), |_| None);
    assert!(!fleet.forwards(1));
    fleet.pass(Duration::from_secs(60), |_| None);
    let packet = fleet.short(1, DISPATCH);
    assert_eq!(fleet.route(DISPATCH, &packet), Route::Drop(Reason::Held));
    fleet.pass(Duration::from_secs(6), |_| Some(1));
    assert!(fleet.forwards(1));
}
