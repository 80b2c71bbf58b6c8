//! Claims of minted keys.

use std::time::Duration;

use sassafrasmast_core::{
    agent::{Action, Claim, Class, Finish, Key, Nonce, Reply, Settings, claim},
    error::{Kind, Outcome},
    timeline::RequestId,
};

use crate::fixture::{Fixture, stored_answer};

fn key() -> Option<Key> {
    Some(Key::Minted("order-1".into()))
}

/// The nonce of the claim that was requested for a request.
fn nonce(fixture: &Fixture, id: RequestId) -> Option<Nonce> {
    let mut claims = fixture.actions.iter().filter_map(|action| match action {
        Action::Claim {
            id: claiming,
            nonce,
            ..
        } if *claiming == id => Some(*nonce),
        _ => None,
    });
    claims.next()
}

fn claimed(fixture: &mut Fixture, id: RequestId, result: Claim) {
    fixture.agent.claimed(fixture.now, id, result);
    fixture.collect_actions();
}

#[test]
fn a_claimed_key_runs_once_and_a_repeat_gets_its_answer() {
    let mut fixture = Fixture::new(5);
    fixture.arrive_booking(1, key());
    assert!(!fixture.started(1));
    fixture.arrive_booking(2, key());
    claimed(&mut fixture, 1, Claim::Ours);
    fixture.run(1);
    fixture.arrive_booking(3, key());
    let again = [Reply::Stored(stored_answer("booked").expect("an answer"))];
    assert_eq!(fixture.replies(1), [Reply::Fresh]);
    assert_eq!(fixture.replies(2), again);
    assert_eq!(fixture.replies(3), again);
    assert_eq!((nonce(&fixture, 2), nonce(&fixture, 3)), (None, None));
}

#[test]
fn a_key_claimed_elsewhere_never_runs_here_and_its_outcome_is_unknown() {
    let mut fixture = Fixture::new(5);
    fixture.arrive_booking(1, key());
    claimed(&mut fixture, 1, Claim::Elsewhere);
    fixture.arrive_booking(2, key());
    fixture.assert_error(1, Kind::ClaimedElsewhere, Outcome::Unknown);
    fixture.assert_error(2, Kind::ClaimedElsewhere, Outcome::Unknown);
    assert!(!fixture.started(1) && !fixture.started(2));
}

#[test]
fn an_unsettled_claim_is_unknown_and_a_repeat_claims_with_the_same_nonce() {
    let mut fixture = Fixture::new(5);
    fixture.arrive_booking(1, key());
    claimed(&mut fixture, 1, Claim::Unsettled);
    fixture.assert_error(1, Kind::ClaimUnavailable, Outcome::Unknown);
    fixture.arrive_booking(2, key());
    assert_eq!(nonce(&fixture, 2), nonce(&fixture, 1));
    claimed(&mut fixture, 2, Claim::Ours);
    fixture.run(2);
    assert_eq!(fixture.replies(2), [Reply::Fresh]);
}

#[test]
fn a_claim_result_after_the_deadline_starts_nothing() {
    let mut fixture = Fixture::new(5);
    fixture.arrive_booking(1, key());
    fixture.tick(5_000);
    fixture.assert_error(1, Kind::DeadlinePassed, Outcome::Unknown);
    claimed(&mut fixture, 1, Claim::Ours);
    assert!(!fixture.started(1));
}

#[test]
fn an_empty_claim_budget_sends_no_claim() {
    let settings = Settings {
        fleet_claims_per_s: 3.0,
        ..Settings::default()
    };
    let mut fixture = Fixture::with_settings(5, settings);
    let minted = |id: RequestId| Some(Key::Minted(format!("order-{id}").into()));
    for id in 0..40 {
        fixture.arrive_booking(id, minted(id));
    }
    let claims = |action: &&Action| matches!(action, Action::Claim { .. });
    assert_eq!(fixture.actions.iter().filter(claims).count(), 20);
    fixture.assert_error(39, Kind::ClaimUnavailable, Outcome::Unknown);
    assert_eq!(fixture.agent.key_count(), 20);
    fixture.advance(1_000);
    fixture.arrive_booking(40, minted(40));
    fixture.arrive_booking(41, minted(41));
    assert_eq!(fixture.actions.iter().filter(claims).count(), 21);
}

#[test]
fn a_process_paused_past_the_start_window_hands_nothing_over() {
    let mut fixture = Fixture::new(5);
    let mut request = fixture.request(1, Class::NonIdempotent, key());
    request.deadline = fixture.now + Duration::from_secs(86_400);
    fixture.arrive(request);
    claimed(&mut fixture, 1, Claim::Ours);
    fixture.now += claim::START_WINDOW;
    assert!(!fixture.hand_over(1));
    let Reply::Error { outcome, .. } = fixture.replies(1)[0] else {
        panic!("expected an error");
    };
    assert_eq!(outcome, Outcome::Unknown);
}

#[test]
fn a_claimed_key_that_the_upstream_refused_never_runs() {
    let mut fixture = Fixture::new(5);
    fixture.arrive_booking(1, key());
    claimed(&mut fixture, 1, Claim::Ours);
    assert!(fixture.hand_over(1));
    fixture.finish(1, Finish::Refused);
    fixture.arrive_booking(2, key());
    fixture.assert_error(1, Kind::UpstreamRefused, Outcome::NotRun);
    fixture.assert_error(2, Kind::UpstreamRefused, Outcome::NotRun);
    assert!(!fixture.started(2));
}

#[test]
fn a_key_refused_before_its_claim_leaves_no_registry_entry() {
    let mut fixture = Fixture::new(5);
    let mut request = fixture.request(1, Class::NonIdempotent, key());
    request.deadline = fixture.now;
    fixture.arrive(request);
    fixture.assert_error(1, Kind::DeadlinePassed, Outcome::Unknown);
    assert_eq!(fixture.agent.key_count(), 0);
}

#[test]
fn a_claim_past_the_start_window_allows_no_start() {
    let mut fixture = Fixture::new(5);
    fixture.arrive_booking(1, key());
    claimed(&mut fixture, 1, Claim::Unsettled);
    fixture.now += claim::START_WINDOW - Duration::from_secs(1);
    fixture.arrive_booking(2, key());
    claimed(&mut fixture, 2, Claim::Ours);
    fixture.advance(2_000);
    assert!(!fixture.hand_over(2));
    fixture.assert_error(2, Kind::ClaimUnavailable, Outcome::Unknown);
    fixture.arrive_booking(3, key());
    assert_eq!(nonce(&fixture, 3), None);
    fixture.assert_error(3, Kind::ClaimUnavailable, Outcome::Unknown);
}

#[test]
fn a_run_with_a_minted_key_times_out_while_its_claim_is_held() {
    let mut fixture = Fixture::new(5);
    let mut request = fixture.request(1, Class::NonIdempotent, key());
    request.deadline = fixture.now + claim::MIN_LEASE * 2;
    fixture.arrive(request);
    claimed(&mut fixture, 1, Claim::Ours);
    assert!(fixture.hand_over(1));
    fixture.now += claim::START_WINDOW;
    fixture.tick(0);
    fixture.assert_error(1, Kind::UpstreamTimeout, Outcome::Unknown);
    assert!(fixture.actions.contains(&Action::Abort { id: 1 }));
}

#[test]
fn the_entry_of_a_minted_key_is_kept_as_long_as_its_claim() {
    let mut fixture = Fixture::new(5);
    fixture.arrive_booking(1, key());
    claimed(&mut fixture, 1, Claim::Ours);
    fixture.run(1);
    fixture.now += claim::MIN_LEASE - Duration::from_secs(1);
    fixture.tick(0);
    fixture.arrive_booking(2, key());
    assert_eq!(nonce(&fixture, 2), None);
    assert_eq!(
        fixture.replies(2),
        [Reply::Stored(stored_answer("booked").expect("an answer"))]
    );
}
