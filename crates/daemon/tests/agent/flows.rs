//! Flows survive key rotations and drains, and end when their agent restarts, its zone is taken out
//! or its drain ends.

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use bytes::Buf;
use sassafrasmast_wire::{Body, Frame};
use tokio::{net::UdpSocket, time::timeout};

use super::{
    caller::{Caller, Stream, get},
    harness::Harness,
};

/// Longest wait for an expected effect.
const REACTION_TIMEOUT: Duration = Duration::from_secs(5);

async fn open_feed(caller: &mut Caller) -> Stream {
    let mut stream = caller.open(get("/feed")).await.unwrap();
    stream.finish().await.unwrap();
    stream.recv_response().await.unwrap();
    expect_line(&mut stream).await;
    stream
}

async fn expect_line(stream: &mut Stream) {
    let next = timeout(REACTION_TIMEOUT, stream.recv_data()).await.unwrap();
    assert!(next.unwrap().unwrap().remaining() > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unadmitted_agent_announces_itself_and_hands_datagrams_back() {
    let harness = Harness::unadmitted().await;
    harness
        .wait_until(|harness| harness.balancer.announced.load(Ordering::Relaxed) >= 2)
        .await;
    let balancer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let body = Body::Inbound {
        service: 1,
        agent: 1,
        incarnation: None,
        attempt: 2,
        caller: "127.0.0.1:9".parse().unwrap(),
        payload: &[0xc0; 1_200],
    };
    let mut frame = Vec::new();
    Frame::new(0, body).encode(&mut frame).unwrap();
    balancer.send_to(&frame, harness.listen).await.unwrap();
    let mut bytes = [0; 2_048];
    let received = timeout(REACTION_TIMEOUT, balancer.recv(&mut bytes)).await;
    let length = received.unwrap().unwrap();
    let Body::Handback {
        attempt, payload, ..
    } = Frame::decode(&bytes[..length]).unwrap().body
    else {
        panic!("expected a handback");
    };
    assert_eq!((attempt, payload), (3, &[0xc0; 1_200][..]));
}

#[tokio::test(flavor = "multi_thread")]
async fn frames_of_another_service_or_agent_are_not_delivered() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    caller.get("/echo").await.unwrap();
    let balancer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut frame = Vec::new();
    let mut bytes = [0; 2_048];
    for (service, agent, incarnation, first) in [
        (2, 1, None, 0xc0),
        (1, 2, None, 0xc0),
        (2, 1, Some(harness.shared().incarnation), 0x40),
        (1, 1, Some(harness.shared().incarnation - 1), 0xc0),
    ] {
        let body = Body::Inbound {
            service,
            agent,
            incarnation,
            attempt: 0,
            caller: "127.0.0.1:9".parse().unwrap(),
            payload: &[first; 1_200],
        };
        Frame::new(1, body).encode(&mut frame).unwrap();
        balancer.send_to(&frame, harness.listen).await.unwrap();
        let received = timeout(Duration::from_millis(200), balancer.recv(&mut bytes)).await;
        assert!(
            received.is_err(),
            "answer to service {service}, agent {agent}, first byte {first:x}"
        );
    }
    assert_eq!(caller.get("/echo").await.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_incarnation_resets_the_old_flows_at_once() {
    let mut harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let mut stream = open_feed(&mut caller).await;
    let started = Instant::now();
    harness.restart().await;
    let ended = async { while stream.recv_data().await.is_ok_and(|data| data.is_some()) {} };
    timeout(REACTION_TIMEOUT, ended).await.unwrap();
    assert!(started.elapsed() < REACTION_TIMEOUT);
    let reason = caller.connection.closed().await;
    assert!(matches!(reason, quinn::ConnectionError::Reset), "{reason}");
    assert_eq!(
        harness.caller().await.get("/echo").await.unwrap().status,
        200
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_rotation_breaks_no_flow() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let mut stream = open_feed(&mut caller).await;
    harness.change(|document| {
        document.secrets.phases.insert(1, [8; 32]);
        document.secrets.sealing = 1;
    });
    for _ in 0..10 {
        expect_line(&mut stream).await;
    }
    assert_eq!(
        harness.caller().await.get("/echo").await.unwrap().status,
        200
    );
    assert_eq!(caller.get("/echo").await.unwrap().status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_refuses_new_requests_and_finishes_running_ones() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let mut stream = open_feed(&mut caller).await;
    let mut other = caller.clone();
    let running = tokio::spawn(async move { other.get("/slow/800").await });
    harness
        .wait_until(|harness| harness.counts.started.load(Ordering::Relaxed) == 2)
        .await;
    (harness.drain)();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let refused = caller.open(get("/echo")).await;
    assert!(
        refused.is_err(),
        "no request may start on a flow after GOAWAY"
    );
    let answer = running.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.outcome()), (200, "ran"));
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_line(&mut stream).await;
    assert!(
        !harness.task.is_finished(),
        "the agent must not stop while a feed is open"
    );
    let connect = Caller::connect(&harness.certificate, harness.balancer.front);
    assert!(timeout(Duration::from_secs(1), connect).await.is_err());
    assert!(harness.balancer.handed_back.load(Ordering::Relaxed) > 0);
    drop(stream);
    harness
        .wait_until(|harness| harness.task.is_finished())
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_taken_out_closes_its_flows_and_sends_nothing_more() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let mut stream = open_feed(&mut caller).await;
    let started = Instant::now();
    harness.change(|document| {
        if let Some(zone) = document.zones.get_mut("a") {
            zone.out = true;
        }
    });
    while stream.recv_data().await.is_ok_and(|data| data.is_some()) {}
    assert!(started.elapsed() < REACTION_TIMEOUT);
    match caller.connection.closed().await {
        quinn::ConnectionError::ApplicationClosed(close) => {
            assert_eq!(close.reason, "availability zone out");
        }
        other => panic!("expected an application close, got: {other}"),
    }
    tokio::time::sleep_until((started + REACTION_TIMEOUT).into()).await;
    let sent = harness.balancer.outbound.load(Ordering::Relaxed);
    let connect = Caller::connect(&harness.certificate, harness.balancer.front);
    assert!(timeout(Duration::from_secs(2), connect).await.is_err());
    assert_eq!(harness.balancer.outbound.load(Ordering::Relaxed), sent);
    harness.change(|document| {
        if let Some(zone) = document.zones.get_mut("a") {
            zone.out = false;
        }
    });
    assert_eq!(
        harness.caller().await.get("/echo").await.unwrap().status,
        200
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_taken_out_finishes_running_requests_and_refuses_queued_ones() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let mut other = caller.clone();
    let running = tokio::spawn(async move { other.post("/slow/800", b"first").await });
    harness
        .wait_until(|harness| harness.counts.started.load(Ordering::Relaxed) == 1)
        .await;
    let mut other = caller.clone();
    let waiting = tokio::spawn(async move { other.post("/slow/800", b"second").await });
    harness
        .wait_until(|harness| harness.shared().socket.load().queued == 1)
        .await;
    harness.change(|document| {
        if let Some(zone) = document.zones.get_mut("a") {
            zone.out = true;
        }
    });
    let out = Instant::now();
    let refused = waiting.await.unwrap().unwrap();
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    let answer = running.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.outcome()), (200, "ran"));
    caller.connection.closed().await;
    assert!(out.elapsed() < REACTION_TIMEOUT);
    assert!(caller.get("/echo").await.is_err());
    assert_eq!(harness.counts.started.load(Ordering::Relaxed), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_ends_at_its_deadline() {
    let harness = Harness::with(|role| role.drain_deadline_ms = Some(1_000)).await;
    let mut caller = harness.caller().await;
    let mut stream = open_feed(&mut caller).await;
    (harness.drain)();
    tokio::time::sleep(Duration::from_millis(500)).await;
    expect_line(&mut stream).await;
    harness
        .wait_until(|harness| harness.task.is_finished())
        .await;
    let ended = async { while stream.recv_data().await.is_ok_and(|data| data.is_some()) {} };
    timeout(REACTION_TIMEOUT, ended).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_by_operators_does_not_stop_the_agent() {
    let harness = Harness::start().await;
    let mut caller = harness.caller().await;
    let mut stream = open_feed(&mut caller).await;
    let drain = |on: bool| {
        harness.change(|document| {
            if let Some(upstream) = document.upstreams.get_mut(&1) {
                upstream.draining = on;
            }
        });
    };
    drain(true);
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_line(&mut stream).await;
    let connect = Caller::connect(&harness.certificate, harness.balancer.front);
    assert!(timeout(Duration::from_secs(1), connect).await.is_err());
    drop(stream);
    harness
        .wait_until(|harness| harness.shared().flows() == 0)
        .await;
    assert!(!harness.task.is_finished());
    drain(false);
    assert_eq!(
        harness.caller().await.get("/echo").await.unwrap().status,
        200
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn flows_beyond_the_limit_are_handed_back() {
    let harness = Harness::with(|role| role.connections = 1).await;
    let mut caller = harness.caller().await;
    caller.get("/echo").await.unwrap();
    harness
        .wait_until(|harness| harness.shared().socket.load().flows == 1)
        .await;
    let connect = Caller::connect(&harness.certificate, harness.balancer.front);
    assert!(timeout(Duration::from_secs(1), connect).await.is_err());
    assert!(harness.balancer.handed_back.load(Ordering::Relaxed) > 0);
    assert_eq!(caller.get("/echo").await.unwrap().status, 200);
}
