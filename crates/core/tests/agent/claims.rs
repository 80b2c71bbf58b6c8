//! Keys minted by callers.

use std::time::Duration;

use sassafrasmast_core::{
    agent::{Action, Claim, Class, Finish, Key, Nonce, Reply, Settings, claim},
    error::{Kind, Outcome},
    timeline::RequestId,
};

use crate::rig::{Rig, kept};

fn key() -> Option<Key> {
    Some(Key::Minted("order-1".into()))
}

/// The nonce with which the claim of a request was asked for.
fn nonce(rig: &Rig, id: RequestId) -> Option<Nonce> {
    let mut claims = rig.actions.iter().filter_map(|action| match action {
        Action::Claim {
            id: claiming,
            nonce,
            ..
        } if *claiming == id => Some(*nonce),
        _ => None,
    });
    claims.next()
}

fn claimed(rig: &mut Rig, id: RequestId, result: Claim) {
    rig.agent.claimed(rig.now, id, result);
    rig.take();
}

#[test]
fn a_claimed_key_runs_once_and_a_repeat_gets_its_answer() {
    let mut rig = Rig::new(5);
    rig.booking(1, key());
    assert!(!rig.started(1));
    rig.booking(2, key());
    claimed(&mut rig, 1, Claim::Ours);
    rig.run(1);
    rig.booking(3, key());
    let again = [Reply::Stored(kept("booked").expect("an answer"))];
    assert_eq!(rig.replies(1), [Reply::Fresh]);
    assert_eq!(rig.replies(2), again);
    assert_eq!(rig.replies(3), again);
    assert_eq!((nonce(&rig, 2), nonce(&rig, 3)), (None, None));
}

#[test]
fn a_key_claimed_elsewhere_is_unknown_and_never_runs_here() {
    let mut rig = Rig::new(5);
    rig.booking(1, key());
    claimed(&mut rig, 1, Claim::Elsewhere);
    rig.booking(2, key());
    rig.assert_error(1, Kind::ClaimedElsewhere, Outcome::Unknown);
    rig.assert_error(2, Kind::ClaimedElsewhere, Outcome::Unknown);
    assert!(!rig.started(1) && !rig.started(2));
}

#[test]
fn an_unsettled_claim_is_not_called_not_run_and_is_settled_by_the_same_nonce() {
    let mut rig = Rig::new(5);
    rig.booking(1, key());
    claimed(&mut rig, 1, Claim::Unsettled);
    rig.assert_error(1, Kind::ClaimUnavailable, Outcome::Unknown);
    rig.booking(2, key());
    assert_eq!(nonce(&rig, 2), nonce(&rig, 1));
    claimed(&mut rig, 2, Claim::Ours);
    rig.run(2);
    assert_eq!(rig.replies(2), [Reply::Fresh]);
}

#[test]
fn the_reply_of_a_claim_for_a_request_that_is_gone_starts_nothing() {
    let mut rig = Rig::new(5);
    rig.booking(1, key());
    rig.tick(5_000);
    rig.assert_error(1, Kind::DeadlinePassed, Outcome::Unknown);
    claimed(&mut rig, 1, Claim::Ours);
    assert!(!rig.started(1));
}

#[test]
fn a_spent_write_budget_asks_the_store_for_nothing() {
    let settings = Settings {
        fleet_claims_per_s: 3.0,
        ..Settings::default()
    };
    let mut rig = Rig::with(5, settings);
    let minted = |id: RequestId| Some(Key::Minted(format!("order-{id}").into()));
    for id in 0..40 {
        rig.booking(id, minted(id));
    }
    let claims = |action: &&Action| matches!(action, Action::Claim { .. });
    assert_eq!(rig.actions.iter().filter(claims).count(), 20);
    rig.assert_error(39, Kind::ClaimUnavailable, Outcome::Unknown);
    assert_eq!(rig.agent.key_count(), 20);
    rig.pass(1_000);
    rig.booking(40, minted(40));
    rig.booking(41, minted(41));
    assert_eq!(rig.actions.iter().filter(claims).count(), 21);
}

#[test]
fn a_process_paused_past_its_claim_hands_nothing_over() {
    let mut rig = Rig::new(5);
    let mut request = rig.request(1, Class::NonIdempotent, key());
    request.deadline = rig.now + Duration::from_secs(86_400);
    rig.arrive(request);
    claimed(&mut rig, 1, Claim::Ours);
    rig.now += claim::START_WINDOW;
    assert!(!rig.hand_over(1));
    let Reply::Error { outcome, .. } = rig.replies(1)[0] else {
        panic!("an error is due");
    };
    assert_eq!(outcome, Outcome::Unknown);
}

#[test]
fn a_claimed_key_that_the_upstream_refused_never_runs() {
    let mut rig = Rig::new(5);
    rig.booking(1, key());
    claimed(&mut rig, 1, Claim::Ours);
    assert!(rig.hand_over(1));
    rig.finish(1, Finish::Refused);
    rig.booking(2, key());
    rig.assert_error(1, Kind::UpstreamRefused, Outcome::NotRun);
    rig.assert_error(2, Kind::UpstreamRefused, Outcome::NotRun);
    assert!(!rig.started(2));
}

#[test]
fn a_key_refused_before_its_claim_takes_no_memory() {
    let mut rig = Rig::new(5);
    let mut request = rig.request(1, Class::NonIdempotent, key());
    request.deadline = rig.now;
    rig.arrive(request);
    rig.assert_error(1, Kind::DeadlinePassed, Outcome::Unknown);
    assert_eq!(rig.agent.key_count(), 0);
}

#[test]
fn an_old_claim_allows_no_start_even_if_it_is_ours() {
    let mut rig = Rig::new(5);
    rig.booking(1, key());
    claimed(&mut rig, 1, Claim::Unsettled);
    rig.now += claim::START_WINDOW - Duration::from_secs(1);
    rig.booking(2, key());
    claimed(&mut rig, 2, Claim::Ours);
    rig.pass(2_000);
    assert!(!rig.hand_over(2));
    rig.assert_error(2, Kind::ClaimUnavailable, Outcome::Unknown);
    rig.booking(3, key());
    assert_eq!(nonce(&rig, 3), None);
    rig.assert_error(3, Kind::ClaimUnavailable, Outcome::Unknown);
}

#[test]
fn a_run_under_a_claim_ends_while_the_claim_holds() {
    let mut rig = Rig::new(5);
    let mut request = rig.request(1, Class::NonIdempotent, key());
    request.deadline = rig.now + claim::MIN_LEASE * 2;
    rig.arrive(request);
    claimed(&mut rig, 1, Claim::Ours);
    assert!(rig.hand_over(1));
    rig.now += claim::START_WINDOW;
    rig.tick(0);
    rig.assert_error(1, Kind::UpstreamTimeout, Outcome::Unknown);
    assert!(rig.actions.contains(&Action::Abort { id: 1 }));
}

#[test]
fn what_became_of_a_key_is_known_as_long_as_its_claim_is_held() {
    let mut rig = Rig::new(5);
    rig.booking(1, key());
    claimed(&mut rig, 1, Claim::Ours);
    rig.run(1);
    rig.now += claim::MIN_LEASE - Duration::from_secs(1);
    rig.tick(0);
    rig.booking(2, key());
    assert_eq!(nonce(&rig, 2), None);
    assert_eq!(
        rig.replies(2),
        [Reply::Stored(kept("booked").expect("an answer"))]
    );
}
