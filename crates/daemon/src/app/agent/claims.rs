//! Claims of callers' keys in the platform's store.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use ring::digest::{SHA256, digest};
use sassafrasmast_core::agent::{Claim, Nonce, claim::MIN_LEASE};
use sassafrasmast_wire::ServiceId;
use tokio::{sync::Mutex, time::timeout};

use crate::store::{Compare, Error, LeaseId, Put, Range, Store, Txn};

/// One lease serves the claims of this long, so that claims cost one write each.
const LEASE_USE: Duration = Duration::from_secs(600);

/// Longest time for settling one claim, reading back included.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Makes claims under shared leases.
#[derive(Debug)]
pub struct Claims {
    store: Arc<dyn Store>,
    lease: Mutex<Option<(LeaseId, Instant)>>,
}

impl Claims {
    /// Claims in `store`.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self {
            store,
            lease: Mutex::new(None),
        }
    }

    /// Creates the claim of `key` if it is absent, and reads it back when the reply is lost.
    pub async fn claim(&self, service: ServiceId, key: &str, nonce: Nonce) -> Claim {
        let settled = timeout(SETTLE_TIMEOUT, self.settle(service, key, nonce)).await;
        settled.unwrap_or(Claim::Unsettled)
    }

    async fn settle(&self, service: ServiceId, key: &str, nonce: Nonce) -> Claim {
        let Ok(value) = serde_json::to_vec(&nonce) else {
            return Claim::Unsettled;
        };
        let name = name(service, key);
        match self.create(&name, &value).await {
            Ok(true) => Claim::Ours,
            Ok(false) => self.read_back(name, &value).await,
            Err(error) => {
                log::warn!("store: a claim is not settled: {error}.");
                if matches!(error, Error::LeaseNotFound) {
                    *self.lease.lock().await = None;
                }
                self.read_back(name, &value).await
            }
        }
    }

    async fn create(&self, name: &str, value: &[u8]) -> Result<bool, Error> {
        let lease = self.lease().await?;
        let txn = Txn {
            compares: vec![Compare::Absent(name.to_owned())],
            puts: vec![Put {
                key: name.to_owned(),
                value: value.to_vec(),
                lease: Some(lease),
            }],
            ..Txn::default()
        };
        Ok(self.store.txn(txn).await?.succeeded)
    }

    /// Whose claim is in the store.
    async fn read_back(&self, name: String, value: &[u8]) -> Claim {
        match self.store.range(Range::Key(name)).await {
            Ok(listing) => match listing.entries.first() {
                Some(entry) if entry.value == value => Claim::Ours,
                Some(_) => Claim::Elsewhere,
                None => Claim::Unsettled,
            },
            Err(_) => Claim::Unsettled,
        }
    }

    /// A lease that outlives a claim made now by [`MIN_LEASE`].
    async fn lease(&self) -> Result<LeaseId, Error> {
        let mut lease = self.lease.lock().await;
        let now = Instant::now();
        if let Some((id, until)) = *lease
            && now < until
        {
            return Ok(id);
        }
        let id = self.store.grant(MIN_LEASE + LEASE_USE).await?;
        // Counted from before the grant: the lease lasts at least as long as we believe.
        *lease = Some((id, now + LEASE_USE));
        Ok(id)
    }
}

/// Name of a claim in the store.
fn name(service: ServiceId, key: &str) -> String {
    let hash = digest(&SHA256, key.as_bytes());
    let hex: String = hash.as_ref().iter().map(|b| format!("{b:02x}")).collect();
    format!("sassafrasmast/claims/{service}/{hex}")
}
