//! Requests with tickets: at most once, and "not run" is true for ever.

use std::time::Duration;

use sassafrasmast_core::{
    agent::{Action, Class, Finish, Key, NonceSet, Reply, Settings},
    error::{Kind, Outcome},
};
use sassafrasmast_wire::Ticket;

use crate::rig::{INCARNATION, Rig, kept, whole};

#[test]
fn a_twin_waits_for_the_run_and_gets_its_answer() {
    let mut rig = Rig::new(5);
    let ticket = rig.ticket();
    rig.booking(1, Some(ticket.clone()));
    rig.booking(2, Some(ticket.clone()));
    rig.run(1);
    rig.booking(3, Some(ticket));
    let again = Reply::Stored(kept("booked").expect("an answer"));
    assert_eq!(rig.replies(1), [Reply::Fresh]);
    assert_eq!(rig.replies(2), std::slice::from_ref(&again));
    assert_eq!(rig.replies(3), [again]);
    assert!(!rig.started(2) && !rig.started(3));
}

#[test]
fn a_refused_ticket_never_runs() {
    let mut rig = Rig::new(5);
    let ticket = rig.ticket();
    rig.booking(1, Some(ticket.clone()));
    assert!(rig.hand_over(1));
    rig.finish(1, Finish::Refused);
    rig.booking(2, Some(ticket));
    rig.assert_error(2, Kind::UpstreamRefused, Outcome::NotRun);
    assert!(!rig.started(2));
}

#[test]
fn a_run_without_an_end_stays_unknown() {
    let mut rig = Rig::new(5);
    let ticket = rig.ticket();
    rig.booking(1, Some(ticket.clone()));
    assert!(rig.hand_over(1));
    rig.tick(5_000);
    rig.assert_error(1, Kind::UpstreamTimeout, Outcome::Unknown);
    assert!(rig.actions.contains(&Action::Abort { id: 1 }));
    rig.booking(2, Some(ticket.clone()));
    rig.finish(1, Finish::Cut);
    rig.assert_error(2, Kind::UpstreamCut, Outcome::Unknown);
    rig.booking(3, Some(ticket));
    rig.assert_error(3, Kind::UpstreamCut, Outcome::Unknown);
}

#[test]
fn a_late_whole_answer_reaches_a_repeat() {
    let mut rig = Rig::new(5);
    let ticket = rig.ticket();
    rig.booking(1, Some(ticket.clone()));
    assert!(rig.hand_over(1));
    rig.agent.cancelled(rig.now, 1);
    rig.take();
    rig.assert_error(1, Kind::Cancelled, Outcome::Unknown);
    rig.finish(1, whole(10));
    rig.booking(2, Some(ticket));
    assert_eq!(
        rig.replies(2),
        [Reply::Stored(kept("booked").expect("an answer"))]
    );
}

#[test]
fn a_ticket_cancelled_before_its_start_may_be_used_again() {
    let mut rig = Rig::new(5);
    let ticket = rig.ticket();
    rig.booking(1, None);
    rig.booking(2, Some(ticket.clone()));
    rig.agent.cancelled(rig.now, 2);
    rig.booking(3, Some(ticket));
    rig.run(1);
    assert!(rig.started(3) && !rig.started(2));
}

#[test]
fn a_paused_process_does_not_hand_over_what_has_expired() {
    let settings = Settings {
        ticket_lifetime: Duration::from_secs(1),
        ..Settings::default()
    };
    let mut rig = Rig::with(5, settings);
    let ticket = rig.ticket();
    rig.booking(1, Some(ticket.clone()));
    assert!(rig.started(1));
    rig.pass(1_000);
    assert!(!rig.hand_over(1));
    rig.assert_error(1, Kind::TicketExpired, Outcome::NotRun);
    rig.booking(2, Some(ticket));
    rig.assert_error(2, Kind::TicketExpired, Outcome::NotRun);
}

#[test]
fn a_paused_process_does_not_hand_over_past_the_deadline() {
    let mut rig = Rig::new(5);
    let ticket = rig.ticket();
    rig.booking(1, Some(ticket.clone()));
    rig.pass(5_000);
    assert!(!rig.hand_over(1));
    rig.assert_error(1, Kind::DeadlinePassed, Outcome::NotRun);
    rig.booking(2, Some(ticket));
    rig.assert_error(2, Kind::DeadlinePassed, Outcome::NotRun);
}

#[test]
fn a_forgotten_ticket_is_unknown_and_an_unused_one_was_not_run() {
    let mut rig = Rig::new(5);
    let ticket = rig.ticket();
    rig.booking(1, Some(ticket.clone()));
    rig.run(1);
    let unused = rig.ticket();
    rig.tick(86_400_000);
    assert_eq!(rig.agent.key_count(), 0);
    rig.booking(2, Some(ticket));
    rig.assert_error(2, Kind::TicketForgotten, Outcome::Unknown);
    rig.booking(3, Some(unused));
    rig.assert_error(3, Kind::TicketExpired, Outcome::NotRun);
}

#[test]
fn a_full_registry_refuses_and_the_refusal_stays_true() {
    let settings = Settings {
        max_keys: 1,
        ..Settings::default()
    };
    let mut rig = Rig::with(5, settings);
    let (held, refused) = (rig.ticket(), rig.ticket());
    rig.booking(1, None);
    rig.booking(2, Some(held));
    rig.booking(3, Some(refused.clone()));
    rig.assert_error(3, Kind::Overloaded, Outcome::NotRun);
    rig.agent.cancelled(rig.now, 2);
    assert_eq!(rig.agent.key_count(), 0);
    rig.run(1);
    rig.booking(4, Some(refused));
    rig.assert_error(4, Kind::Overloaded, Outcome::NotRun);
    let fresh = rig.ticket();
    rig.booking(5, Some(fresh));
    assert!(!rig.started(4) && rig.started(5));
}

#[test]
fn kept_answers_are_bounded_and_a_dropped_one_is_not_run_again() {
    let settings = Settings {
        max_answer_bytes: 400,
        ..Settings::default()
    };
    let mut rig = Rig::with(5, settings);
    let tickets: Vec<_> = (0..8).map(|_| rig.ticket()).collect();
    for (id, ticket) in (0..).zip(&tickets) {
        rig.booking(id, Some(ticket.clone()));
        rig.run(id);
    }
    rig.booking(10, Some(tickets[0].clone()));
    rig.booking(11, Some(tickets[7].clone()));
    rig.assert_error(10, Kind::AnswerDropped, Outcome::Ran);
    assert_eq!(
        rig.replies(11),
        [Reply::Stored(kept("booked").expect("an answer"))]
    );
}

#[test]
fn a_key_with_another_request_is_refused() {
    let mut rig = Rig::new(5);
    let ticket = rig.ticket();
    rig.booking(1, Some(ticket.clone()));
    let mut other = rig.request(2, Class::NonIdempotent, Some(ticket));
    other.digest = [9; 32];
    rig.arrive(other);
    rig.assert_error(2, Kind::KeyReused, Outcome::NotRun);
}

fn foreign(agent: u32, incarnation: u64) -> Key {
    Key::Ticket(Ticket {
        service: 1,
        agent,
        incarnation,
        nonce: 1,
        expiry: Duration::from_secs(600),
    })
}

#[test]
fn a_ticket_goes_home_and_nowhere_else() {
    let mut rig = Rig::new(5);
    rig.booking(1, Some(foreign(2, 7)));
    assert!(rig.actions.contains(&Action::Relay { id: 1, to: 2 }));
    rig.agent
        .relayed(rig.now, 1, sassafrasmast_core::agent::Relay::Unreachable);
    rig.take();
    rig.assert_error(1, Kind::HomeGone, Outcome::Unknown);
    rig.booking(2, Some(foreign(9, 7)));
    rig.assert_error(2, Kind::HomeGone, Outcome::Unknown);
    rig.booking(3, Some(foreign(1, INCARNATION - 1)));
    rig.assert_error(3, Kind::HomeGone, Outcome::Unknown);
    rig.configure(|document| document.zones.get_mut("z2").expect("zone").out = true);
    rig.booking(4, Some(foreign(2, 7)));
    rig.assert_error(4, Kind::HomeGone, Outcome::Unknown);
    assert!((1..=4).all(|id| !rig.started(id)));
}

#[test]
fn an_agent_that_is_not_the_home_never_says_not_run() {
    let mut rig = Rig::new(5);
    rig.configure(|document| document.zones.get_mut("z1").expect("zone").out = true);
    rig.booking(1, Some(foreign(9, 7)));
    rig.booking(2, Some(Key::Minted("order-1".into())));
    rig.assert_error(1, Kind::HomeGone, Outcome::Unknown);
    rig.assert_error(2, Kind::ZoneOut, Outcome::Unknown);
}

#[test]
fn a_zone_that_goes_out_refuses_what_waits_for_ever() {
    let mut rig = Rig::new(5);
    let (first, second) = (rig.ticket(), rig.ticket());
    rig.booking(1, Some(first));
    rig.booking(2, Some(second.clone()));
    rig.configure(|document| document.zones.get_mut("z1").expect("zone").out = true);
    rig.assert_error(2, Kind::ZoneOut, Outcome::NotRun);
    assert!(!rig.hand_over(1));
    rig.assert_error(1, Kind::ZoneOut, Outcome::NotRun);
    rig.configure(|document| document.zones.get_mut("z1").expect("zone").out = false);
    rig.booking(3, Some(second));
    assert!(!rig.started(3));
    rig.assert_error(3, Kind::ZoneOut, Outcome::NotRun);
}

#[test]
fn what_is_known_of_old_tickets_is_bounded() {
    let mut used = NonceSet::default();
    for nonce in (0..40_000_000).step_by(1_000) {
        used.insert(nonce);
    }
    assert_eq!(used.get(0), None);
    assert_eq!(used.get(39_999_000), Some(true));
    assert_eq!(used.get(39_999_001), Some(false));
}

#[test]
fn a_booking_refused_for_its_key_never_runs_when_the_other_is_cancelled() {
    let mut rig = Rig::new(5);
    let ticket = rig.ticket();
    rig.booking(1, None);
    rig.booking(2, Some(ticket.clone()));
    let mut other = rig.request(3, Class::NonIdempotent, Some(ticket));
    other.digest = [9; 32];
    rig.arrive(other.clone());
    rig.assert_error(3, Kind::KeyReused, Outcome::NotRun);
    rig.agent.cancelled(rig.now, 2);
    rig.run(1);
    other.id = 4;
    rig.arrive(other);
    rig.assert_error(4, Kind::KeyReused, Outcome::NotRun);
}

#[test]
fn a_request_that_was_still_connecting_at_its_deadline_was_not_run() {
    let mut rig = Rig::new(5);
    let ticket = rig.ticket();
    rig.booking(1, Some(ticket.clone()));
    assert!(rig.started(1));
    rig.tick(5_000);
    rig.assert_error(1, Kind::DeadlinePassed, Outcome::NotRun);
    assert!(rig.actions.contains(&Action::Abort { id: 1 }));
    assert!(!rig.hand_over(1));
    rig.booking(2, Some(ticket));
    rig.assert_error(2, Kind::DeadlinePassed, Outcome::NotRun);
    rig.booking(3, None);
    assert!(rig.started(3));
}
