//! Tests the behaviour of the upstream and fabric stand-ins on which other tests rely.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use sassafrasmast_standins::{
    caller::DirectConnection,
    fabric, http,
    upstream::{Counts, Server, Settings},
};
use serde_json::{Value, json};
use tokio::{net::UdpSocket, task::JoinSet};

fn address(port: u16) -> SocketAddr {
    let [_, .., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 92, high, low], port))
}

async fn start_upstream(port: u16) -> SocketAddr {
    let settings = Settings {
        listen: address(port),
        booking_time: Duration::from_millis(50),
        collapse_time: Duration::from_millis(100),
        ..Settings::default()
    };
    tokio::spawn(Server::run(settings));
    while counts(address(port)).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    address(port)
}

async fn counts(upstream: SocketAddr) -> anyhow::Result<Counts> {
    http::call_json(upstream, "GET", "/standin/counts", None).await
}

/// Submits `count` bookings at once and returns the number of answers by status.
async fn book_concurrently(upstream: SocketAddr, count: u64) -> BTreeMap<u16, u64> {
    let mut callers = JoinSet::new();
    for number in 0..count {
        callers.spawn(async move {
            let mut direct = DirectConnection::connect(upstream).await.expect("connects");
            let body = Bytes::from(json!({ "booking": number.to_string() }).to_string());
            direct.post("/bookings", body).await.expect("answers")
        });
    }
    let mut statuses = BTreeMap::new();
    for answer in callers.join_all().await {
        *statuses.entry(answer.status).or_default() += 1;
    }
    statuses
}

#[tokio::test]
async fn cold_upstream_collapses_under_load_that_a_warm_one_sheds() {
    let upstream = start_upstream(8_000).await;
    assert_eq!(
        book_concurrently(upstream, 5).await,
        BTreeMap::from([(500, 5)])
    );
    assert_eq!(counts(upstream).await.unwrap().collapses, 1);
    tokio::time::sleep(Duration::from_millis(150)).await;
    for _ in 0..20 {
        assert_eq!(
            book_concurrently(upstream, 1).await,
            BTreeMap::from([(200, 1)])
        );
    }
    assert_eq!(
        book_concurrently(upstream, 8).await,
        BTreeMap::from([(200, 5), (503, 3)])
    );
    let counts = counts(upstream).await.unwrap();
    assert_eq!((counts.collapses, counts.shed, counts.peak), (1, 3, 5));
    // Booking 0 ran in each round, including the first.
    assert_eq!(counts.max_executions, counts.bookings["0"]);
    assert_eq!(counts.running, 0);
}

#[tokio::test]
async fn disconnected_caller_cancels_its_request() {
    let upstream = start_upstream(8_001).await;
    let slow: Value = json!({ "slow": 1_000.0 });
    http::call_json::<Value>(upstream, "POST", "/standin/fault", Some(&slow))
        .await
        .unwrap();
    let mut direct = DirectConnection::connect(upstream).await.unwrap();
    let post = direct.post("/bookings", Bytes::from_static(b"{}"));
    assert!(
        tokio::time::timeout(Duration::from_millis(100), post)
            .await
            .is_err()
    );
    drop(direct);
    while counts(upstream).await.unwrap().cancelled == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(counts(upstream).await.unwrap().running, 0);
}

#[tokio::test]
async fn fabric_sprays_datagrams_of_a_caller_from_one_address_and_returns_replies() {
    let service = address(4_433);
    let balancers = [address(4_501), address(4_502), address(4_503)];
    let settings = fabric::Settings {
        api: address(8_002),
        services: vec![(service, balancers.to_vec())],
        seed: 1,
    };
    tokio::spawn(fabric::Forwarder::run(settings));
    let mut sockets = Vec::new();
    for balancer in balancers {
        sockets.push(UdpSocket::bind(balancer).await.unwrap());
    }
    while http::call_json::<Value>(address(8_002), "GET", "/standin/counts", None)
        .await
        .is_err()
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let caller = UdpSocket::bind(address(0)).await.unwrap();
    for number in 0..60_u8 {
        caller.send_to(&[number], service).await.unwrap();
    }
    let mut sources = BTreeSet::new();
    let mut buffer = [0; 16];
    for socket in &sockets {
        let (_, source) = socket.recv_from(&mut buffer).await.unwrap();
        sources.insert(source);
        socket.send_to(b"reply", source).await.unwrap();
        let (length, from) = caller.recv_from(&mut buffer).await.unwrap();
        assert_eq!((&buffer[..length], from), (&b"reply"[..], service));
    }
    assert_eq!(sources.len(), 1);
}
