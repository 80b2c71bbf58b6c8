//! The plain path.

use sassafrasmast_core::{
    agent::{Action, Agent, Class, Finish, Reply, Settings},
    error::{Kind, Outcome},
};
use sassafrasmast_wire::State;

use crate::rig::{Rig, whole};

#[test]
fn without_a_configuration_nothing_is_taken() {
    let mut rig = Rig::new(5);
    rig.agent = Agent::new(Settings::default(), rig.now);
    rig.booking(1, None);
    rig.assert_error(1, Kind::NotReady, Outcome::NotRun);
    assert!(rig.agent.ticket(rig.now).is_none());
}

#[test]
fn a_request_runs_and_is_answered_once() {
    let mut rig = Rig::new(5);
    rig.booking(1, None);
    assert!(rig.started(1));
    rig.run(1);
    assert_eq!(rig.replies(1), [Reply::Fresh]);
    rig.finish(1, whole(1));
    assert_eq!(rig.replies(1), [Reply::Fresh]);
    assert_eq!(rig.agent.open_requests(), 0);
}

#[test]
fn a_cold_upstream_gets_one_request_at_a_time() {
    let mut rig = Rig::new(5);
    rig.booking(1, None);
    rig.booking(2, None);
    assert!(rig.started(1) && !rig.started(2));
    rig.run(1);
    assert!(rig.started(2));
}

#[test]
fn a_refused_keyless_booking_was_not_run() {
    let mut rig = Rig::new(5);
    rig.booking(1, None);
    assert!(rig.hand_over(1));
    rig.finish(1, Finish::Refused);
    rig.assert_error(1, Kind::UpstreamRefused, Outcome::NotRun);
}

#[test]
fn a_cut_booking_is_unknown_and_never_sent_again() {
    let mut rig = Rig::new(5);
    rig.booking(1, None);
    assert!(rig.hand_over(1));
    rig.finish(1, Finish::Cut);
    rig.assert_error(1, Kind::UpstreamCut, Outcome::Unknown);
    let starts = |action: &&Action| matches!(action, Action::Start { .. });
    assert_eq!(rig.actions.iter().filter(starts).count(), 1);
}

#[test]
fn feeds_take_connections_and_no_slots() {
    let mut rig = Rig::new(5);
    for id in 0..15 {
        rig.arrive(rig.request(id, Class::Feed, None));
        assert!(rig.hand_over(id), "feed {id}");
        rig.agent
            .opened(rig.now, id, std::time::Duration::from_millis(1));
        rig.take();
    }
    rig.arrive(rig.request(15, Class::Feed, None));
    rig.assert_error(15, Kind::Overloaded, Outcome::NotRun);
    rig.tick(60_000);
    assert_eq!(rig.agent.open_requests(), 15);
    rig.booking(16, None);
    assert!(rig.started(16));
}

#[test]
fn a_body_that_is_spent_says_nothing_about_the_upstream() {
    let mut rig = Rig::new(5);
    rig.warm(10);
    rig.booking(1, None);
    rig.finish(1, Finish::Unsent);
    rig.assert_error(1, Kind::UpstreamUnreachable, Outcome::NotRun);
    assert_eq!(rig.agent.load(rig.now).limit, 5);
    rig.booking(2, None);
    rig.finish(2, Finish::Unreachable);
    assert_eq!(rig.agent.load(rig.now).limit, 0);
}

#[test]
fn requests_of_one_collapse_count_once() {
    let mut rig = Rig::new(5);
    rig.warm(10);
    for id in 1..=5 {
        rig.booking(id, None);
    }
    for id in 1..=5 {
        rig.pass(1);
        rig.finish(id, Finish::Unreachable);
    }
    rig.booking(6, None);
    assert!(!rig.started(6));
    rig.tick(100);
    assert!(rig.started(6));
}

#[test]
fn a_collapse_moves_what_waits_to_peers_at_once() {
    let mut rig = Rig::new(5);
    rig.warm(10);
    for id in 1..=9 {
        rig.booking(id, None);
    }
    let ticket = rig.ticket();
    rig.booking(10, Some(ticket));
    rig.peer(2, 5, 10);
    rig.finish(1, Finish::Unreachable);
    let relayed: Vec<_> = (2..=10).filter(|id| rig.relay(*id).is_some()).collect();
    assert_eq!(relayed, [6, 7, 8, 9]);
}

#[test]
fn a_paused_upstream_counts_as_cold() {
    let mut rig = Rig::new(1);
    rig.booking(1, None);
    assert_eq!(rig.agent.load(rig.now).state, State::Ready);
    rig.finish(1, Finish::Unreachable);
    assert_eq!(rig.agent.load(rig.now).state, State::Cold);
    rig.tick(100);
    assert_eq!(rig.agent.load(rig.now).state, State::Ready);
}

#[test]
fn any_number_of_slots_is_borne() {
    for slots in [0, 1, u16::MAX] {
        let mut rig = Rig::new(slots);
        rig.booking(1, None);
        rig.tick(6_000);
        assert_eq!(rig.replies(1).len(), 1);
    }
}

#[test]
fn an_opened_feed_warms_nothing_up() {
    let mut rig = Rig::new(5);
    for id in 1..=12 {
        rig.arrive(rig.request(id, Class::Feed, None));
        assert!(rig.hand_over(id));
        rig.agent
            .opened(rig.now, id, std::time::Duration::from_millis(1));
        rig.take();
    }
    assert_eq!(rig.agent.load(rig.now).limit, 1);
}
