//! Requests with tickets run at most once, and never after the answer "not run".

use std::time::Duration;

use sassafrasmast_core::{
    agent::{Action, Class, Finish, Key, Reply, Settings, UsedTicketNonces},
    error::{Kind, Outcome},
};
use sassafrasmast_wire::Ticket;

use crate::fixture::{Fixture, INCARNATION, stored_answer, whole_answer};

#[test]
fn a_repeat_waits_for_the_run_and_gets_its_answer() {
    let mut fixture = Fixture::new(5);
    let ticket = fixture.ticket();
    fixture.arrive_booking(1, Some(ticket.clone()));
    fixture.arrive_booking(2, Some(ticket.clone()));
    fixture.run(1);
    fixture.arrive_booking(3, Some(ticket));
    let again = Reply::Stored(stored_answer("booked").expect("an answer"));
    assert_eq!(fixture.replies(1), [Reply::Fresh]);
    assert_eq!(fixture.replies(2), std::slice::from_ref(&again));
    assert_eq!(fixture.replies(3), [again]);
    assert!(!fixture.started(2) && !fixture.started(3));
}

#[test]
fn a_refused_ticket_never_runs() {
    let mut fixture = Fixture::new(5);
    let ticket = fixture.ticket();
    fixture.arrive_booking(1, Some(ticket.clone()));
    assert!(fixture.hand_over(1));
    fixture.finish(1, Finish::Refused);
    fixture.arrive_booking(2, Some(ticket));
    fixture.assert_error(2, Kind::UpstreamRefused, Outcome::NotRun);
    assert!(!fixture.started(2));
}

#[test]
fn a_run_without_a_complete_answer_stays_unknown() {
    let mut fixture = Fixture::new(5);
    let ticket = fixture.ticket();
    fixture.arrive_booking(1, Some(ticket.clone()));
    assert!(fixture.hand_over(1));
    fixture.tick(5_000);
    fixture.assert_error(1, Kind::UpstreamTimeout, Outcome::Unknown);
    assert!(fixture.actions.contains(&Action::Abort { id: 1 }));
    fixture.arrive_booking(2, Some(ticket.clone()));
    fixture.finish(1, Finish::Cut);
    fixture.assert_error(2, Kind::UpstreamCut, Outcome::Unknown);
    fixture.arrive_booking(3, Some(ticket));
    fixture.assert_error(3, Kind::UpstreamCut, Outcome::Unknown);
}

#[test]
fn an_answer_after_cancellation_reaches_a_repeat() {
    let mut fixture = Fixture::new(5);
    let ticket = fixture.ticket();
    fixture.arrive_booking(1, Some(ticket.clone()));
    assert!(fixture.hand_over(1));
    fixture.agent.cancelled(fixture.now, 1);
    fixture.collect_actions();
    fixture.assert_error(1, Kind::Cancelled, Outcome::Unknown);
    fixture.finish(1, whole_answer(10));
    fixture.arrive_booking(2, Some(ticket));
    assert_eq!(
        fixture.replies(2),
        [Reply::Stored(stored_answer("booked").expect("an answer"))]
    );
}

#[test]
fn a_ticket_cancelled_before_its_start_may_be_used_again() {
    let mut fixture = Fixture::new(5);
    let ticket = fixture.ticket();
    fixture.arrive_booking(1, None);
    fixture.arrive_booking(2, Some(ticket.clone()));
    fixture.agent.cancelled(fixture.now, 2);
    fixture.arrive_booking(3, Some(ticket));
    fixture.run(1);
    assert!(fixture.started(3) && !fixture.started(2));
}

#[test]
fn a_paused_process_does_not_hand_over_an_expired_ticket() {
    let settings = Settings {
        ticket_lifetime: Duration::from_secs(1),
        ..Settings::default()
    };
    let mut fixture = Fixture::with_settings(5, settings);
    let ticket = fixture.ticket();
    fixture.arrive_booking(1, Some(ticket.clone()));
    assert!(fixture.started(1));
    fixture.advance(1_000);
    assert!(!fixture.hand_over(1));
    fixture.assert_error(1, Kind::TicketExpired, Outcome::NotRun);
    fixture.arrive_booking(2, Some(ticket));
    fixture.assert_error(2, Kind::TicketExpired, Outcome::NotRun);
}

#[test]
fn a_paused_process_does_not_hand_over_past_the_deadline() {
    let mut fixture = Fixture::new(5);
    let ticket = fixture.ticket();
    fixture.arrive_booking(1, Some(ticket.clone()));
    fixture.advance(5_000);
    assert!(!fixture.hand_over(1));
    fixture.assert_error(1, Kind::DeadlinePassed, Outcome::NotRun);
    fixture.arrive_booking(2, Some(ticket));
    fixture.assert_error(2, Kind::DeadlinePassed, Outcome::NotRun);
}

#[test]
fn a_used_ticket_without_an_entry_is_unknown_and_an_unused_one_was_not_run() {
    let mut fixture = Fixture::new(5);
    let ticket = fixture.ticket();
    fixture.arrive_booking(1, Some(ticket.clone()));
    fixture.run(1);
    let unused = fixture.ticket();
    fixture.tick(86_400_000);
    assert_eq!(fixture.agent.key_count(), 0);
    fixture.arrive_booking(2, Some(ticket));
    fixture.assert_error(2, Kind::TicketForgotten, Outcome::Unknown);
    fixture.arrive_booking(3, Some(unused));
    fixture.assert_error(3, Kind::TicketExpired, Outcome::NotRun);
}

#[test]
fn a_ticket_refused_by_a_full_registry_never_runs() {
    let settings = Settings {
        max_keys: 1,
        ..Settings::default()
    };
    let mut fixture = Fixture::with_settings(5, settings);
    let (held, refused) = (fixture.ticket(), fixture.ticket());
    fixture.arrive_booking(1, None);
    fixture.arrive_booking(2, Some(held));
    fixture.arrive_booking(3, Some(refused.clone()));
    fixture.assert_error(3, Kind::Overloaded, Outcome::NotRun);
    fixture.agent.cancelled(fixture.now, 2);
    assert_eq!(fixture.agent.key_count(), 0);
    fixture.run(1);
    fixture.arrive_booking(4, Some(refused));
    fixture.assert_error(4, Kind::Overloaded, Outcome::NotRun);
    let fresh = fixture.ticket();
    fixture.arrive_booking(5, Some(fresh));
    assert!(!fixture.started(4) && fixture.started(5));
}

#[test]
fn stored_answers_are_bounded_and_a_dropped_one_is_not_run_again() {
    let settings = Settings {
        max_answer_bytes: 400,
        ..Settings::default()
    };
    let mut fixture = Fixture::with_settings(5, settings);
    let tickets: Vec<_> = (0..8).map(|_| fixture.ticket()).collect();
    for (id, ticket) in (0..).zip(&tickets) {
        fixture.arrive_booking(id, Some(ticket.clone()));
        fixture.run(id);
    }
    fixture.arrive_booking(10, Some(tickets[0].clone()));
    fixture.arrive_booking(11, Some(tickets[7].clone()));
    fixture.assert_error(10, Kind::AnswerDropped, Outcome::Ran);
    assert_eq!(
        fixture.replies(11),
        [Reply::Stored(stored_answer("booked").expect("an answer"))]
    );
}

#[test]
fn a_different_request_with_the_same_key_is_refused() {
    let mut fixture = Fixture::new(5);
    let ticket = fixture.ticket();
    fixture.arrive_booking(1, Some(ticket.clone()));
    let mut other = fixture.request(2, Class::NonIdempotent, Some(ticket));
    other.digest = [9; 32];
    fixture.arrive(other);
    fixture.assert_error(2, Kind::KeyReused, Outcome::NotRun);
}

/// A ticket with nonce 1 of any agent and incarnation.
fn ticket_of(agent: u32, incarnation: u64) -> Key {
    Key::Ticket(Ticket {
        service: 1,
        agent,
        incarnation,
        nonce: 1,
        expiry: Duration::from_secs(600),
    })
}

#[test]
fn a_ticket_runs_only_at_its_home_agent() {
    let mut fixture = Fixture::new(5);
    fixture.arrive_booking(1, Some(ticket_of(2, 7)));
    assert!(fixture.actions.contains(&Action::Relay { id: 1, to: 2 }));
    fixture.agent.relayed(
        fixture.now,
        1,
        sassafrasmast_core::agent::Relay::Unreachable,
    );
    fixture.collect_actions();
    fixture.assert_error(1, Kind::HomeGone, Outcome::Unknown);
    fixture.arrive_booking(2, Some(ticket_of(9, 7)));
    fixture.assert_error(2, Kind::HomeGone, Outcome::Unknown);
    fixture.arrive_booking(3, Some(ticket_of(1, INCARNATION - 1)));
    fixture.assert_error(3, Kind::HomeGone, Outcome::Unknown);
    fixture.configure(|document| document.zones.get_mut("z2").expect("zone").out = true);
    fixture.arrive_booking(4, Some(ticket_of(2, 7)));
    fixture.assert_error(4, Kind::HomeGone, Outcome::Unknown);
    assert!((1..=4).all(|id| !fixture.started(id)));
}

#[test]
fn without_holding_the_key_an_agent_answers_unknown() {
    let mut fixture = Fixture::new(5);
    fixture.configure(|document| document.zones.get_mut("z1").expect("zone").out = true);
    fixture.arrive_booking(1, Some(ticket_of(9, 7)));
    fixture.arrive_booking(2, Some(Key::Minted("order-1".into())));
    fixture.assert_error(1, Kind::HomeGone, Outcome::Unknown);
    fixture.assert_error(2, Kind::ZoneOut, Outcome::Unknown);
}

#[test]
fn tickets_refused_when_their_zone_goes_out_never_run() {
    let mut fixture = Fixture::new(5);
    let (first, second) = (fixture.ticket(), fixture.ticket());
    fixture.arrive_booking(1, Some(first));
    fixture.arrive_booking(2, Some(second.clone()));
    fixture.configure(|document| document.zones.get_mut("z1").expect("zone").out = true);
    fixture.assert_error(2, Kind::ZoneOut, Outcome::NotRun);
    assert!(!fixture.hand_over(1));
    fixture.assert_error(1, Kind::ZoneOut, Outcome::NotRun);
    fixture.configure(|document| document.zones.get_mut("z1").expect("zone").out = false);
    fixture.arrive_booking(3, Some(second));
    assert!(!fixture.started(3));
    fixture.assert_error(3, Kind::ZoneOut, Outcome::NotRun);
}

#[test]
fn the_nonce_set_is_bounded() {
    let mut used = UsedTicketNonces::default();
    for nonce in (0..40_000_000).step_by(1_000) {
        used.insert(nonce);
    }
    assert_eq!(used.get(0), None);
    assert_eq!(used.get(39_999_000), Some(true));
    assert_eq!(used.get(39_999_001), Some(false));
}

#[test]
fn a_booking_refused_for_a_reused_key_never_runs_after_the_first_is_cancelled() {
    let mut fixture = Fixture::new(5);
    let ticket = fixture.ticket();
    fixture.arrive_booking(1, None);
    fixture.arrive_booking(2, Some(ticket.clone()));
    let mut other = fixture.request(3, Class::NonIdempotent, Some(ticket));
    other.digest = [9; 32];
    fixture.arrive(other.clone());
    fixture.assert_error(3, Kind::KeyReused, Outcome::NotRun);
    fixture.agent.cancelled(fixture.now, 2);
    fixture.run(1);
    other.id = 4;
    fixture.arrive(other);
    fixture.assert_error(4, Kind::KeyReused, Outcome::NotRun);
}

#[test]
fn a_request_that_was_still_connecting_at_its_deadline_was_not_run() {
    let mut fixture = Fixture::new(5);
    let ticket = fixture.ticket();
    fixture.arrive_booking(1, Some(ticket.clone()));
    assert!(fixture.started(1));
    fixture.tick(5_000);
    fixture.assert_error(1, Kind::DeadlinePassed, Outcome::NotRun);
    assert!(fixture.actions.contains(&Action::Abort { id: 1 }));
    assert!(!fixture.hand_over(1));
    fixture.arrive_booking(2, Some(ticket));
    fixture.assert_error(2, Kind::DeadlinePassed, Outcome::NotRun);
    fixture.arrive_booking(3, None);
    assert!(fixture.started(3));
}
