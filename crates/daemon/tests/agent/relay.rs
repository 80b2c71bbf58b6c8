//! Requests that have not started are relayed to a peer that can serve them sooner.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use h3::error::Code;

use super::harness::Harness;

fn started(harness: &Harness) -> u64 {
    harness.counts.started.load(Ordering::Relaxed)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_queued_request_is_relayed_to_an_idle_peer() {
    let (one, two) = Harness::pair().await;
    let caller = one.caller().await;
    // The agent predicts the wait from the service time of this request.
    caller.clone().post("/slow/100", b"").await.unwrap();
    let mut busy = caller.clone();
    let long = tokio::spawn(async move { busy.post("/slow/3000", b"").await.unwrap() });
    one.wait_until(|one| started(one) == 2).await;
    let since = Instant::now();
    let answer = caller.clone().post("/echo", b"moved").await.unwrap();
    assert_eq!((answer.outcome(), &answer.body[..]), ("ran", &b"moved"[..]));
    assert!(since.elapsed() < Duration::from_secs(2));
    assert_eq!((started(&one), started(&two)), (2, 1));
    assert_eq!(long.await.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_agent_relays_queued_requests_to_a_peer() {
    let (one, two) = Harness::pair().await;
    let caller = one.caller().await;
    let mut busy = caller.clone();
    let long = tokio::spawn(async move { busy.post("/slow/2000", b"").await.unwrap() });
    one.wait_until(|one| started(one) == 1).await;
    let mut waiting = caller.clone();
    let moved = tokio::spawn(async move { waiting.post("/echo", b"moved").await.unwrap() });
    one.wait_until(|one| {
        one.shared()
            .dispatcher
            .inspect(|agent, _| agent.open_requests())
            == 2
    })
    .await;
    (one.drain)();
    let answer = moved.await.unwrap();
    assert_eq!((answer.outcome(), &answer.body[..]), ("ran", &b"moved"[..]));
    assert_eq!(long.await.unwrap().outcome(), "ran");
    assert_eq!((started(&one), started(&two)), (1, 1));
    drop(caller);
    one.wait_until(|one| one.task.is_finished()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let harness = Harness::start().await;
    let caller = harness.caller().await;
    let mut busy = caller.clone();
    let long = tokio::spawn(async move { busy.post("/slow/1500", b"").await.unwrap() });
    harness.wait_until(|harness| started(harness) == 1).await;
    let request = super::caller::post("/echo").header("sassafrasmast-deadline-ms", 200);
    let since = Instant::now();
    let request = request.body(()).unwrap();
    let answer = caller.clone().ask(request, b"").await.unwrap();
    assert_eq!(answer.outcome(), "not-run");
    assert!(answer.headers.contains_key("retry-after"));
    assert!(since.elapsed() < Duration::from_millis(700));
    assert_eq!(long.await.unwrap().outcome(), "ran");
    assert_eq!(started(&harness), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_relayed_request_is_cancelled_at_the_peer() {
    let (one, two) = Harness::pair().await;
    let caller = one.caller().await;
    caller.clone().post("/slow/100", b"").await.unwrap();
    let mut busy = caller.clone();
    let long = tokio::spawn(async move { busy.post("/slow/3000", b"").await.unwrap() });
    one.wait_until(|one| started(one) == 2).await;
    let request = super::caller::post("/slow/60000").body(()).unwrap();
    let mut stream = caller.clone().open(request).await.unwrap();
    stream.finish().await.unwrap();
    two.wait_until(|two| started(two) == 1).await;
    stream.stop_sending(Code::H3_REQUEST_CANCELLED);
    drop(stream);
    two.wait_until(|two| two.counts.cancelled.load(Ordering::Relaxed) == 1)
        .await;
    assert_eq!(long.await.unwrap().outcome(), "ran");
}
