//! Claims of minted keys with a store that loses replies and leases.

#![allow(
    clippy::unwrap_used,
    reason = "a failed step has to fail its test, in helpers too"
)]

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use sassafrasmast_core::agent::{Claim, Nonce, claim::MIN_LEASE};
use sassafrasmastd::{
    app::agent::Claims,
    store::{
        Compare, Entry, Error, LeaseId, Listing, Range, Revision, Store, Txn, TxnResult, Watch,
    },
};

/// A fake store: keys with their values, and the faults to inject.
#[derive(Debug, Default)]
struct FakeStore {
    keys: Mutex<BTreeMap<String, Vec<u8>>>,
    grants: AtomicU32,
    shortest_lease: Mutex<Option<Duration>>,
    lose_reply: AtomicBool,
    lose_write: AtomicBool,
    lose_lease: AtomicBool,
    down: AtomicBool,
}

fn lost() -> Error {
    Error::Unreachable("lost".to_owned())
}

#[async_trait]
impl Store for FakeStore {
    async fn range(&self, range: Range) -> Result<Listing, Error> {
        if self.down.load(Ordering::Relaxed) {
            return Err(lost());
        }
        let found = self.keys.lock().unwrap().get(range.start()).cloned();
        let entries = found.map(|value| Entry {
            key: range.start().to_owned(),
            value,
            create_revision: 1,
            mod_revision: 1,
            lease: None,
        });
        Ok(Listing {
            revision: 1,
            entries: entries.into_iter().collect(),
        })
    }

    async fn txn(&self, txn: Txn) -> Result<TxnResult, Error> {
        if self.down.load(Ordering::Relaxed) || self.lose_write.swap(false, Ordering::Relaxed) {
            return Err(lost());
        }
        if self.lose_lease.swap(false, Ordering::Relaxed) {
            return Err(Error::LeaseNotFound);
        }
        let mut keys = self.keys.lock().unwrap();
        let succeeded = txn.compares.iter().all(|compare| match compare {
            Compare::Absent(key) => !keys.contains_key(key),
            _ => false,
        });
        if succeeded {
            keys.extend(txn.puts.into_iter().map(|put| (put.key, put.value)));
        }
        if self.lose_reply.swap(false, Ordering::Relaxed) {
            return Err(lost());
        }
        Ok(TxnResult {
            succeeded,
            revision: 1,
        })
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        if self.down.load(Ordering::Relaxed) {
            return Err(lost());
        }
        let mut shortest = self.shortest_lease.lock().unwrap();
        *shortest = Some(shortest.map_or(ttl, |known| known.min(ttl)));
        Ok(self.grants.fetch_add(1, Ordering::Relaxed).into())
    }

    async fn keep_alive(&self, _lease: LeaseId) -> Result<Duration, Error> {
        Err(Error::LeaseNotFound)
    }

    async fn revoke(&self, _lease: LeaseId) -> Result<(), Error> {
        Ok(())
    }

    async fn watch(&self, _range: Range, _from: Revision) -> Result<Watch, Error> {
        Err(lost())
    }
}

fn nonce(agent: u32, count: u64) -> Nonce {
    Nonce {
        agent,
        incarnation: 1,
        count,
    }
}

fn store_and_claims() -> (Arc<FakeStore>, Claims) {
    let store = Arc::new(FakeStore::default());
    (store.clone(), Claims::new(store))
}

#[tokio::test]
async fn a_key_is_claimed_by_one_of_two_agents() {
    let (store, claims) = store_and_claims();
    let other = Claims::new(store.clone());
    assert_eq!(claims.claim(1, "order", nonce(1, 1)).await, Claim::Ours);
    assert_eq!(other.claim(1, "order", nonce(2, 1)).await, Claim::Elsewhere);
    assert_eq!(other.claim(2, "order", nonce(2, 2)).await, Claim::Ours);
    assert_eq!(claims.claim(1, "order", nonce(1, 1)).await, Claim::Ours);
    let names: Vec<_> = store.keys.lock().unwrap().keys().cloned().collect();
    assert!(names[0].starts_with("sassafrasmast/claims/1/"));
    assert!(names[1].starts_with("sassafrasmast/claims/2/"));
}

#[tokio::test]
async fn many_claims_share_a_lease_that_outlives_them() {
    let (store, claims) = store_and_claims();
    for count in 0..50 {
        let key = format!("order-{count}");
        let claimed = claims.claim(1, &key, nonce(1, count));
        assert_eq!(claimed.await, Claim::Ours);
    }
    assert_eq!(store.grants.load(Ordering::Relaxed), 1);
    assert!(store.shortest_lease.lock().unwrap().unwrap() >= MIN_LEASE);
}

#[tokio::test]
async fn a_lost_reply_is_settled_by_reading_back() {
    let (store, claims) = store_and_claims();
    store.lose_reply.store(true, Ordering::Relaxed);
    assert_eq!(claims.claim(1, "order", nonce(1, 1)).await, Claim::Ours);
    let other = Claims::new(store.clone());
    store.lose_reply.store(true, Ordering::Relaxed);
    assert_eq!(other.claim(1, "order", nonce(2, 1)).await, Claim::Elsewhere);
}

#[tokio::test]
async fn a_write_that_may_still_take_effect_leaves_the_claim_unsettled() {
    let (store, claims) = store_and_claims();
    store.lose_write.store(true, Ordering::Relaxed);
    assert_eq!(
        claims.claim(1, "order", nonce(1, 1)).await,
        Claim::Unsettled
    );
    store.down.store(true, Ordering::Relaxed);
    assert_eq!(
        claims.claim(1, "order", nonce(1, 1)).await,
        Claim::Unsettled
    );
}

#[tokio::test]
async fn a_lost_lease_is_replaced() {
    let (store, claims) = store_and_claims();
    store.lose_lease.store(true, Ordering::Relaxed);
    assert_eq!(claims.claim(1, "a", nonce(1, 1)).await, Claim::Unsettled);
    assert_eq!(claims.claim(1, "a", nonce(1, 1)).await, Claim::Ours);
    assert_eq!(store.grants.load(Ordering::Relaxed), 2);
}
