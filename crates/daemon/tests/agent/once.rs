//! A non-idempotent request runs at most once, and the outcome "not run" is given only if it never
//! runs.

use std::sync::atomic::Ordering;

use super::{caller::post, harness::Harness};

fn ran(harness: &Harness) -> u64 {
    harness.counts.ran.load(Ordering::Relaxed)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_ticket_gets_the_same_answer() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let ticket = caller.ticket().await;
    let first = caller.post_once("/echo", &ticket, b"one").await;
    let again = caller.post_once("/echo", &ticket, b"one").await;
    assert_eq!((first.outcome(), again.outcome()), ("ran", "ran"));
    assert_eq!((&first.body, ran(&harness)), (&again.body, 1));
    let other = caller.post_once("/echo", &ticket, b"two").await;
    assert_eq!((other.status, other.outcome()), (422, "not-run"));
    let next = caller.post_once("/echo", first.ticket(), b"two").await;
    assert_eq!((next.outcome(), ran(&harness)), ("ran", 2));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reconnects_gets_the_answer_of_its_earlier_run() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let ticket = caller.ticket().await;
    let (mut gone, key) = (caller.clone(), ticket.clone());
    let task = tokio::spawn(async move { gone.post_once("/slow/500", &key, b"").await });
    harness
        .wait_until(|harness| harness.counts.started.load(Ordering::Relaxed) == 1)
        .await;
    task.abort();
    caller.connection.close(0_u32.into(), b"gone");
    let mut back = harness.caller().await;
    let answer = back.post_once("/slow/500", &ticket, b"").await;
    assert_eq!((answer.status, answer.outcome()), (200, "ran"));
    assert_eq!(harness.counts.started.load(Ordering::Relaxed), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_ticket_runs_at_its_home_agent() {
    let (one, two) = Harness::pair().await;
    let (mut home, mut away) = (one.caller().await, two.caller().await);
    let ticket = home.ticket().await;
    let body = vec![7; 300_000];
    let answer = away.post_once("/size", &ticket, &body).await;
    assert_eq!((answer.status, answer.outcome()), (200, "ran"));
    assert_eq!(answer.body, "300000");
    let again = home.post_once("/size", &ticket, &body).await;
    assert_eq!((again.outcome(), &again.body), ("ran", &answer.body));
    assert_eq!((ran(&one), ran(&two)), (1, 0));
    let ticket = home.ticket().await;
    let large = away.post_once("/large/1000000", &ticket, b"").await;
    assert_eq!((large.outcome(), large.body.len()), ("ran", 1_000_000));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_ticket_of_a_lost_home_agent_never_runs_at_another() {
    let (mut one, two) = Harness::pair().await;
    let ticket = one.caller().await.ticket().await;
    one.restart().await;
    let mut away = two.caller().await;
    let answer = away.post_once("/echo", &ticket, b"").await;
    assert_eq!((answer.status, answer.outcome()), (409, "unknown"));
    let answer = one.caller().await.post_once("/echo", &ticket, b"").await;
    assert_eq!((answer.status, answer.outcome()), (409, "unknown"));
    one.kill().await;
    let answer = away.post_once("/echo", &ticket, b"").await;
    assert_eq!((answer.status, answer.outcome()), (409, "unknown"));
    assert_eq!((ran(&one), ran(&two)), (0, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_relayed_answer_is_never_reported_as_success() {
    let (one, two) = Harness::pair().await;
    let ticket = one.caller().await.ticket().await;
    let mut away = two.caller().await;
    let answer = away.post_once("/cut/chunked", &ticket, b"").await;
    assert_eq!((answer.status, answer.outcome()), (502, "unknown"));
    let ticket = one.caller().await.ticket().await;
    let request = super::caller::post("/cut/large").header("idempotency-key", ticket);
    let large = away.ask(request.body(()).unwrap(), b"").await;
    assert!(large.is_err(), "a body cut after its head: {large:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_relayed_run_with_a_key_continues_after_its_caller_disconnects() {
    let (one, two) = Harness::pair().await;
    let ticket = one.caller().await.ticket().await;
    let mut away = two.caller().await;
    let task = tokio::spawn(async move { away.post_once("/slow/700", &ticket, b"").await });
    one.wait_until(|one| one.counts.started.load(Ordering::Relaxed) == 1)
        .await;
    task.abort();
    // The run has a key, so it continues and its answer is stored.
    one.wait_until(|one| ran(one) == 1).await;
    assert_eq!(one.counts.cancelled.load(Ordering::Relaxed), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_minted_key_is_refused_without_a_store() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let answer = caller.post_once("/echo", "order-17", b"").await;
    assert_eq!(answer.status, 503);
    assert_eq!(ran(&harness), 0);
    for bad in ["st1-forged", "st1-"] {
        let answer = caller.post_once("/echo", bad, b"").await;
        assert_eq!((answer.status, answer.outcome()), (400, "not-run"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_refused_on_arrival_has_an_unknown_outcome() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let ticket = caller.ticket().await;
    caller.post_once("/echo", &ticket, b"one").await;
    assert_eq!(ran(&harness), 1);
    let copy = |deadline| {
        let request = post("/echo").header("idempotency-key", ticket.as_str());
        request.header("sassafrasmast-deadline-ms", deadline)
    };
    let malformed = copy("soon").body(()).unwrap();
    let answer = caller.ask(malformed, b"one").await.unwrap();
    assert_eq!((answer.status, answer.outcome()), (400, "unknown"));
    let slow = copy("100").header("content-length", "3").body(()).unwrap();
    let mut stream = caller.open(slow).await.unwrap();
    let response = stream.recv_response().await.unwrap();
    assert_eq!(response.status(), 504);
    assert_eq!(response.headers()["sassafrasmast-outcome"], "unknown");
}
