//! Basic handling of requests, feeds and collapses.

use sassafrasmast_core::{
    agent::{Action, Agent, Class, Finish, Reply, Settings},
    error::{Kind, Outcome},
};
use sassafrasmast_wire::State;

use crate::fixture::{Fixture, whole_answer};

#[test]
fn without_a_configuration_every_request_is_refused() {
    let mut fixture = Fixture::new(5);
    fixture.agent = Agent::new(Settings::default(), fixture.now);
    fixture.arrive_booking(1, None);
    fixture.assert_error(1, Kind::NotReady, Outcome::NotRun);
    assert!(fixture.agent.ticket(fixture.now).is_none());
}

#[test]
fn a_request_runs_and_is_answered_once() {
    let mut fixture = Fixture::new(5);
    fixture.arrive_booking(1, None);
    assert!(fixture.started(1));
    fixture.run(1);
    assert_eq!(fixture.replies(1), [Reply::Fresh]);
    fixture.finish(1, whole_answer(1));
    assert_eq!(fixture.replies(1), [Reply::Fresh]);
    assert_eq!(fixture.agent.open_requests(), 0);
}

#[test]
fn a_cold_upstream_gets_one_request_at_a_time() {
    let mut fixture = Fixture::new(5);
    fixture.arrive_booking(1, None);
    fixture.arrive_booking(2, None);
    assert!(fixture.started(1) && !fixture.started(2));
    fixture.run(1);
    assert!(fixture.started(2));
}

#[test]
fn a_refused_booking_without_a_key_was_not_run() {
    let mut fixture = Fixture::new(5);
    fixture.arrive_booking(1, None);
    assert!(fixture.hand_over(1));
    fixture.finish(1, Finish::Refused);
    fixture.assert_error(1, Kind::UpstreamRefused, Outcome::NotRun);
}

#[test]
fn a_booking_whose_connection_breaks_is_unknown_and_not_retried() {
    let mut fixture = Fixture::new(5);
    fixture.arrive_booking(1, None);
    assert!(fixture.hand_over(1));
    fixture.finish(1, Finish::Cut);
    fixture.assert_error(1, Kind::UpstreamCut, Outcome::Unknown);
    let starts = |action: &&Action| matches!(action, Action::Start { .. });
    assert_eq!(fixture.actions.iter().filter(starts).count(), 1);
}

#[test]
fn open_feeds_hold_connections_but_no_slots() {
    let mut fixture = Fixture::new(5);
    for id in 0..15 {
        fixture.arrive(fixture.request(id, Class::Feed, None));
        assert!(fixture.hand_over(id), "feed {id}");
        fixture
            .agent
            .opened(fixture.now, id, std::time::Duration::from_millis(1));
        fixture.collect_actions();
    }
    fixture.arrive(fixture.request(15, Class::Feed, None));
    fixture.assert_error(15, Kind::Overloaded, Outcome::NotRun);
    fixture.tick(60_000);
    assert_eq!(fixture.agent.open_requests(), 15);
    fixture.arrive_booking(16, None);
    assert!(fixture.started(16));
}

#[test]
fn an_unsent_request_does_not_lower_the_limit() {
    let mut fixture = Fixture::new(5);
    fixture.warm_up(10);
    fixture.arrive_booking(1, None);
    fixture.finish(1, Finish::Unsent);
    fixture.assert_error(1, Kind::UpstreamUnreachable, Outcome::NotRun);
    assert_eq!(fixture.agent.load(fixture.now).limit, 5);
    fixture.arrive_booking(2, None);
    fixture.finish(2, Finish::Unreachable);
    assert_eq!(fixture.agent.load(fixture.now).limit, 0);
}

#[test]
fn failures_of_one_collapse_count_once() {
    let mut fixture = Fixture::new(5);
    fixture.warm_up(10);
    for id in 1..=5 {
        fixture.arrive_booking(id, None);
    }
    for id in 1..=5 {
        fixture.advance(1);
        fixture.finish(id, Finish::Unreachable);
    }
    fixture.arrive_booking(6, None);
    assert!(!fixture.started(6));
    fixture.tick(100);
    assert!(fixture.started(6));
}

#[test]
fn a_collapse_relays_queued_requests_to_peers_at_once() {
    let mut fixture = Fixture::new(5);
    fixture.warm_up(10);
    for id in 1..=9 {
        fixture.arrive_booking(id, None);
    }
    let ticket = fixture.ticket();
    fixture.arrive_booking(10, Some(ticket));
    fixture.peer_load(2, 5, 10);
    fixture.finish(1, Finish::Unreachable);
    let relayed: Vec<_> = (2..=10)
        .filter(|id| fixture.relay_target(*id).is_some())
        .collect();
    assert_eq!(relayed, [6, 7, 8, 9]);
}

#[test]
fn a_paused_upstream_counts_as_cold() {
    let mut fixture = Fixture::new(1);
    fixture.arrive_booking(1, None);
    assert_eq!(fixture.agent.load(fixture.now).state, State::Ready);
    fixture.finish(1, Finish::Unreachable);
    assert_eq!(fixture.agent.load(fixture.now).state, State::Cold);
    fixture.tick(100);
    assert_eq!(fixture.agent.load(fixture.now).state, State::Ready);
}

#[test]
fn zero_one_and_maximum_slots_give_one_answer() {
    for slots in [0, 1, u16::MAX] {
        let mut fixture = Fixture::new(slots);
        fixture.arrive_booking(1, None);
        fixture.tick(6_000);
        assert_eq!(fixture.replies(1).len(), 1);
    }
}

#[test]
fn an_opened_feed_does_not_raise_the_limit() {
    let mut fixture = Fixture::new(5);
    for id in 1..=12 {
        fixture.arrive(fixture.request(id, Class::Feed, None));
        assert!(fixture.hand_over(id));
        fixture
            .agent
            .opened(fixture.now, id, std::time::Duration::from_millis(1));
        fixture.collect_actions();
    }
    assert_eq!(fixture.agent.load(fixture.now).limit, 1);
}
