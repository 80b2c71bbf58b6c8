//! Each caller gets the complete answer to its own request or an error.

use std::{sync::atomic::Ordering, time::Duration};

use bytes::Buf;
use h3::error::Code;

use super::{
    caller::{get, post, read},
    harness::Harness,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_answered_by_the_upstream() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let answer = caller.post("/echo", b"hello").await.unwrap();
    assert_eq!((answer.status, answer.outcome()), (200, "ran"));
    assert_eq!(answer.body, "hello");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_is_never_reported_as_success() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    for path in ["/cut/length", "/cut/chunked"] {
        let answer = caller.get(path).await.unwrap();
        assert_eq!(
            (answer.status, answer.outcome()),
            (502, "unknown"),
            "{path}"
        );
    }
    let large = caller.get("/cut/large").await;
    assert!(
        large.is_err(),
        "a body cut after its head must end in an error: {large:?}"
    );
    let next = caller.get("/large/200000").await.unwrap();
    assert_eq!(next.body.len(), 200_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_request_is_cancelled_at_the_upstream() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let mut stream = caller.open(get("/slow/60000")).await.unwrap();
    stream.finish().await.unwrap();
    harness
        .wait_until(|harness| harness.counts.started.load(Ordering::Relaxed) == 1)
        .await;
    stream.stop_sending(Code::H3_REQUEST_CANCELLED);
    drop(stream);
    harness
        .wait_until(|harness| harness.counts.cancelled.load(Ordering::Relaxed) == 1)
        .await;
    assert_eq!(caller.get("/echo").await.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn interleaved_requests_get_their_own_answers() {
    let harness = Harness::start().await;
    let caller = harness.caller_with_warm_upstream().await;
    let (mut first, mut second) = (caller.clone(), caller.clone());
    let slow = tokio::spawn(async move { first.get("/slow/400").await.unwrap() });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let fast = second.get("/slow/1").await.unwrap();
    assert!(
        !slow.is_finished(),
        "the later request must be answered first"
    );
    assert_eq!(fast.body, "/slow/1");
    assert_eq!(slow.await.unwrap().body, "/slow/400");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_request_body_is_streamed() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let answer = caller.post("/size", &vec![7; 8_000_000]).await.unwrap();
    assert_eq!((answer.status, answer.body), (200, "8000000".into()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused() {
    let harness = Harness::start().await;
    harness.change(|document| {
        if let Some(service) = document.services.get_mut(&1) {
            service.max_body_bytes = 1_000_000;
        }
    });
    let mut caller = harness.caller().await;
    let declared = post("/size")
        .header("content-length", 1_000_001)
        .body(())
        .unwrap();
    let answer = caller.ask(declared, &vec![7; 1_000_001]).await.unwrap();
    assert_eq!((answer.status, answer.outcome()), (413, "not-run"));
    let answer = caller.post("/size", &vec![7; 3_000_000]).await.unwrap();
    assert_eq!((answer.status, answer.outcome()), (413, "unknown"));
    assert_eq!(harness.counts.ran.load(Ordering::Relaxed), 0);
    assert_eq!(caller.post("/size", b"1234").await.unwrap().body, "4");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_an_incomplete_body_does_not_run() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let mut stream = caller.open(post("/size").body(()).unwrap()).await.unwrap();
    stream.send_data(vec![7; 200_000].into()).await.unwrap();
    harness
        .wait_until(|harness| harness.counts.started.load(Ordering::Relaxed) == 1)
        .await;
    stream.stop_stream(Code::H3_REQUEST_CANCELLED);
    harness
        .wait_until(|harness| harness.counts.cancelled.load(Ordering::Relaxed) == 1)
        .await;
    assert_eq!(harness.counts.ran.load(Ordering::Relaxed), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_refused_by_the_upstream_is_reported_as_not_run() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let answer = caller.post("/shed", b"").await.unwrap();
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_cancelled_at_its_deadline() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let request = post("/slow/60000").header("sassafrasmast-deadline-ms", 300);
    let answer = caller.ask(request.body(()).unwrap(), b"").await.unwrap();
    assert_eq!((answer.status, answer.outcome()), (504, "unknown"));
    harness
        .wait_until(|harness| harness.counts.cancelled.load(Ordering::Relaxed) == 1)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_feed_outlives_its_deadline() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let mut request = get("/feed/route");
    request
        .headers_mut()
        .insert("sassafrasmast-deadline-ms", 300.into());
    let mut stream = caller.open(request).await.unwrap();
    stream.finish().await.unwrap();
    stream.recv_response().await.unwrap();
    let mut bytes = 0;
    let until = tokio::time::Instant::now() + Duration::from_secs(1);
    while tokio::time::Instant::now() < until {
        bytes += stream.recv_data().await.unwrap().unwrap().remaining();
    }
    assert!(
        bytes > 100,
        "a line each 20 ms is expected, {bytes} bytes came"
    );
    drop(stream);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_feed_cut_by_the_upstream_ends_in_an_error() {
    let harness = Harness::start().await;
    harness.change(|document| {
        if let Some(service) = document.services.get_mut(&1) {
            service.feeds.push("/cut".to_owned());
        }
    });
    let mut caller = harness.caller().await;
    let mut stream = caller.open(get("/cut/chunked")).await.unwrap();
    stream.finish().await.unwrap();
    stream.recv_response().await.unwrap();
    assert!(read(&mut stream).await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_cannot_set_outcome_and_ticket_headers() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let answer = caller.get("/pretend").await.unwrap();
    assert_eq!(answer.outcome(), "ran");
    assert!(answer.ticket().starts_with("st1-"));
    assert_eq!(
        answer
            .headers
            .get_all("sassafrasmast-ticket")
            .iter()
            .count(),
        1
    );
    assert_eq!(caller.get("/host").await.unwrap().body, "localhost");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_content_lengths_are_refused() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let request = post("/size")
        .header("content-length", 4)
        .header("content-length", 5);
    let answer = caller
        .ask(request.body(()).unwrap(), b"1234")
        .await
        .unwrap();
    assert_eq!((answer.status, answer.outcome()), (400, "not-run"));
    let request = post("/size").header("content-length", 9);
    let answer = caller
        .ask(request.body(()).unwrap(), b"1234")
        .await
        .unwrap();
    assert_eq!((answer.status, answer.outcome()), (400, "not-run"));
    assert_eq!(harness.counts.started.load(Ordering::Relaxed), 0);
}
