//! Creates claims of minted keys (keys that callers create themselves, in contrast to tickets) in
//! the platform's store.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ring::digest::{SHA256, digest};
use sassafrasmast_core::agent::{Claim, Nonce, claim::MIN_LEASE};
use sassafrasmast_wire::ServiceId;
use tokio::{sync::Mutex, time::timeout};

use crate::store::{Compare, Error, LeaseId, Put, Range, Store, Txn};

/// Time for which a lease is used for new claims. Sharing a lease makes a claim cost one write.
const LEASE_REUSE: Duration = Duration::from_secs(600);

/// Longest time for creating one claim, including reading it back.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Creates claims under shared leases.
#[derive(Debug)]
pub struct Claims {
    store: Arc<dyn Store>,
    lease: Mutex<Option<(LeaseId, Instant)>>,
}

impl Claims {
    /// Creates claims in `store`.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self {
            store,
            lease: Mutex::new(None),
        }
    }

    /// Creates the claim of `key`. If it exists already or creating it failed, reads it back to
    /// determine whose it is.
    pub async fn claim(&self, service: ServiceId, key: &str, nonce: Nonce) -> Claim {
        let settled = timeout(SETTLE_TIMEOUT, self.settle(service, key, nonce)).await;
        settled.unwrap_or(Claim::Unsettled)
    }

    async fn settle(&self, service: ServiceId, key: &str, nonce: Nonce) -> Claim {
        let Ok(value) = serde_json::to_vec(&nonce) else {
            return Claim::Unsettled;
        };
        let store_key = store_key(service, key);
        match self.create(&store_key, &value).await {
            Ok(true) => Claim::Ours,
            Ok(false) => self.read_back(store_key, &value).await,
            Err(error) => {
                log::warn!("store: cannot create claim {store_key}: {error}");
                if matches!(error, Error::LeaseNotFound) {
                    *self.lease.lock().await = None;
                }
                self.read_back(store_key, &value).await
            }
        }
    }

    async fn create(&self, store_key: &str, value: &[u8]) -> Result<bool, Error> {
        let lease = self.lease().await?;
        let txn = Txn {
            compares: vec![Compare::Absent(store_key.to_owned())],
            puts: vec![Put {
                key: store_key.to_owned(),
                value: value.to_vec(),
                lease: Some(lease),
            }],
            ..Txn::default()
        };
        Ok(self.store.txn(txn).await?.succeeded)
    }

    /// Reads the claim back and compares its nonce with this agent's.
    async fn read_back(&self, store_key: String, value: &[u8]) -> Claim {
        match self.store.range(Range::Key(store_key)).await {
            Ok(listing) => match listing.entries.first() {
                Some(entry) if entry.value == value => Claim::Ours,
                Some(_) => Claim::Elsewhere,
                None => Claim::Unsettled,
            },
            Err(_) => Claim::Unsettled,
        }
    }

    /// A lease that lasts at least [`MIN_LEASE`] from now.
    async fn lease(&self) -> Result<LeaseId, Error> {
        let mut lease = self.lease.lock().await;
        let now = Instant::now();
        if let Some((id, reuse_until)) = *lease
            && now < reuse_until
        {
            return Ok(id);
        }
        let id = self.store.grant(MIN_LEASE + LEASE_REUSE).await?;
        // Counted from before the grant, so that the lease does not end earlier than assumed.
        *lease = Some((id, now + LEASE_REUSE));
        Ok(id)
    }
}

/// Key of a claim in the store.
fn store_key(service: ServiceId, key: &str) -> String {
    let hash = digest(&SHA256, key.as_bytes());
    let hex: String = hash.as_ref().iter().map(|b| format!("{b:02x}")).collect();
    format!("sassafrasmast/claims/{service}/{hex}")
}
