//! Tests the store client of the daemon against the store stand-in.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

use sassafrasmast_standins::{
    http,
    store::{Counts, Gateway},
};
use sassafrasmastd::store::{Compare, Error, Etcd, Put, Range, Store, Txn, Update};
use serde_json::{Value, json};

/// Starts a store on a separate address and waits until it answers.
async fn start() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    let [_, .., high, low] = std::process::id().to_be_bytes();
    let port = NEXT.fetch_add(1, Ordering::Relaxed);
    let address = SocketAddr::from(([127, 91, high, low], port));
    tokio::spawn(Gateway::run(address));
    let store = Etcd::new(vec![address]);
    while store.range(Range::Key("x".into())).await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    address
}

async fn set_fault(address: SocketAddr, fault: Value) {
    let _: Value = http::call_json(address, "POST", "/standin/fault", Some(&fault))
        .await
        .expect("the fault is set");
}

fn put(key: &str, value: &str) -> Put {
    Put {
        key: key.into(),
        value: value.into(),
        ..Put::default()
    }
}

fn create_if_absent(key: &str, value: &str) -> Txn {
    Txn {
        compares: vec![Compare::Absent(key.into())],
        puts: vec![put(key, value)],
        ..Txn::default()
    }
}

#[tokio::test]
async fn compare_and_swap_lets_one_of_two_writers_win() {
    let store = Etcd::new(vec![start().await]);
    assert!(
        store
            .txn(create_if_absent("a", "1"))
            .await
            .unwrap()
            .succeeded
    );
    assert!(
        !store
            .txn(create_if_absent("a", "2"))
            .await
            .unwrap()
            .succeeded
    );
    let entry = store.range(Range::Key("a".into())).await.unwrap().entries[0].clone();
    assert_eq!(entry.value, b"1");
    let swap = |value: &str| Txn {
        compares: vec![Compare::ModRevision("a".into(), entry.mod_revision)],
        puts: vec![put("a", value)],
        ..Txn::default()
    };
    assert!(store.txn(swap("3")).await.unwrap().succeeded);
    assert!(!store.txn(swap("4")).await.unwrap().succeeded);
    let listing = store.range(Range::Prefix("a".into())).await.unwrap();
    assert_eq!(listing.entries[0].value, b"3");
    assert_eq!(listing.entries[0].create_revision, entry.create_revision);
}

#[tokio::test]
async fn lost_reply_is_an_unsettled_error_and_the_write_took_effect() {
    let address = start().await;
    let store = Etcd::new(vec![address]);
    set_fault(address, json!({ "lose_replies": 1 })).await;
    let error = store.txn(create_if_absent("a", "1")).await.unwrap_err();
    assert!(error.may_have_taken_effect(), "{error}");
    let listing = store.range(Range::Key("a".into())).await.unwrap();
    assert_eq!(listing.entries[0].value, b"1");
}

#[tokio::test]
async fn expired_lease_deletes_its_keys_and_is_not_found() {
    let store = Etcd::new(vec![start().await]);
    let lease = store.grant(Duration::from_millis(900)).await.unwrap();
    let mut txn = create_if_absent("a", "1");
    txn.puts[0].lease = Some(lease);
    let applied = store.txn(txn).await.unwrap();
    let mut watch = store
        .watch(Range::Key("a".into()), applied.revision + 1)
        .await
        .unwrap();
    let ttl = store.keep_alive(lease).await.unwrap();
    assert_eq!(ttl, Duration::from_secs(1));
    let update = watch.recv().await.unwrap().unwrap();
    assert!(matches!(update, Update::Delete { ref key, .. } if key == "a"));
    assert_eq!(store.keep_alive(lease).await, Err(Error::LeaseNotFound));
    let mut late = create_if_absent("a", "2");
    late.puts[0].lease = Some(lease);
    assert_eq!(store.txn(late).await, Err(Error::LeaseNotFound));
}

#[tokio::test]
async fn watch_delivers_past_and_new_changes_in_order_and_is_counted() {
    let address = start().await;
    let store = Etcd::new(vec![address]);
    let first = store
        .txn(create_if_absent("a/1", "x"))
        .await
        .unwrap()
        .revision;
    store.txn(create_if_absent("b/1", "x")).await.unwrap();
    let mut watch = store
        .watch(Range::Prefix("a/".into()), first)
        .await
        .unwrap();
    store.txn(create_if_absent("a/2", "y")).await.unwrap();
    for (key, value) in [("a/1", b"x"), ("a/2", b"y")] {
        let Update::Put(entry) = watch.recv().await.unwrap().unwrap() else {
            panic!("no put");
        };
        assert_eq!(
            (entry.key.as_str(), entry.value.as_slice()),
            (key, &value[..])
        );
    }
    let counts = || http::call_json::<Counts>(address, "GET", "/standin/counts", None);
    assert_eq!(counts().await.unwrap().watches, 1);
    drop(watch);
    while counts().await.unwrap().watches > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn outage_ends_watches_and_the_next_endpoint_is_tried() {
    let (first, second) = (start().await, start().await);
    let store = Etcd::new(vec![first, second]);
    let mut watch = store.watch(Range::Prefix("a".into()), 0).await.unwrap();
    set_fault(first, json!({ "down": true })).await;
    assert!(watch.recv().await.unwrap().is_err());
    assert!(store.range(Range::Key("a".into())).await.is_ok());
    set_fault(second, json!({ "delay_ms": 5_000 })).await;
    let begun = Instant::now();
    let error = store.txn(create_if_absent("a", "1")).await.unwrap_err();
    assert!(matches!(error, Error::Unreachable(_)));
    assert!(begun.elapsed() < Duration::from_secs(3));
}
