//! A balancer's registration under a lease, and the list of live balancers.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use sassafrasmast_core::{config::Registration, timeline::Kind};
use tokio::time::{Instant, sleep, timeout};

use super::{jitter::jittered, key};
use crate::{
    recorder::Recorder,
    store::{Entry, Error, LeaseId, Put, Range, Store, Txn, Update},
};

/// Time to live of the lease: the registration of a balancer that sends no keep-alives expires
/// after it.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Fewest keep-alives sent within one time to live of the lease; jitter shortens their interval.
const MIN_KEEP_ALIVES_PER_TTL: u32 = 3;

/// Longest wait for the store when a balancer that stops revokes its lease.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Keeps this balancer registered and the list of live balancers current.
#[derive(Debug, Clone)]
pub struct Registrar {
    store: Arc<dyn Store>,
    recorder: Recorder,
    own: Registration,
    lease: Arc<Mutex<Option<LeaseId>>>,
}

impl Registrar {
    /// A registrar for the balancer `own`.
    pub fn new(store: Arc<dyn Store>, recorder: Recorder, own: Registration) -> Self {
        Self {
            store,
            recorder,
            own,
            lease: Arc::default(),
        }
    }

    /// Keeps the registration alive until the future is dropped. If the lease is lost, that is
    /// recorded and the balancer registers again.
    pub async fn keep_registered(self) {
        loop {
            match self.grant_and_register().await {
                Ok(lease) => {
                    self.replace_lease(Some(lease));
                    self.renew_until_lost(lease).await;
                    self.replace_lease(None);
                    log::warn!(
                        "config: lost the lease of the registration of {}",
                        self.own.listen
                    );
                    self.recorder.record(Kind::LeaseLost);
                }
                Err(error) => {
                    log::debug!("config: cannot register {}: {error}", self.own.listen);
                    sleep(jittered(RETRY_PAUSE)).await;
                }
            }
        }
    }

    /// Revokes the lease, so that other processes need not wait for it to expire. To be called
    /// after the task of [`Registrar::keep_registered`] was stopped.
    pub async fn leave(&self) {
        let Some(lease) = self.replace_lease(None) else {
            return;
        };
        match timeout(REVOKE_TIMEOUT, self.store.revoke(lease)).await {
            Ok(Ok(())) => log::info!("config: withdrew the registration of {}", self.own.listen),
            Ok(Err(error)) => log::warn!(
                "config: cannot revoke the lease of {}, expiry within {LEASE_TTL:?}: {error}",
                self.own.listen
            ),
            Err(_) => log::warn!(
                "config: no reply in {REVOKE_TIMEOUT:?}, lease of {} expires within {LEASE_TTL:?}",
                self.own.listen
            ),
        }
    }

    /// Replaces the stored lease and returns the previous one.
    fn replace_lease(&self, lease: Option<LeaseId>) -> Option<LeaseId> {
        let mut slot = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *slot, lease)
    }

    async fn grant_and_register(&self) -> Result<LeaseId, Error> {
        let lease = self.store.grant(LEASE_TTL).await?;
        let value = serde_json::to_vec(&self.own).map_err(|e| Error::Malformed(e.to_string()))?;
        let put = Put {
            key: key::balancer(self.own.listen),
            value,
            lease: Some(lease),
        };
        let txn = Txn {
            puts: vec![put],
            ..Txn::default()
        };
        self.store.txn(txn).await?;
        Ok(lease)
    }

    /// Renews the lease until it is lost, that is, not found or not renewed within its time to
    /// live.
    async fn renew_until_lost(&self, lease: LeaseId) {
        let mut expiry = Instant::now() + LEASE_TTL;
        loop {
            sleep(jittered(LEASE_TTL / MIN_KEEP_ALIVES_PER_TTL)).await;
            let asked = Instant::now();
            match self.store.keep_alive(lease).await {
                // A time to live that cannot be added says nothing of the lease's end.
                Ok(ttl) => expiry = asked.checked_add(ttl).unwrap_or(asked + LEASE_TTL),
                Err(Error::LeaseNotFound) => return,
                Err(_) if Instant::now() >= expiry => return,
                Err(error) => {
                    log::debug!(
                        "config: cannot renew the lease of {}: {error}",
                        self.own.listen
                    )
                }
            }
        }
    }

    /// Keeps the list of live balancers on the blackboard current until the future is dropped.
    /// While the store is unreachable, the last list stays.
    pub async fn keep_list_current(self) {
        loop {
            if let Err(error) = self.watch_balancers().await {
                log::debug!("config: cannot watch the list of balancers: {error}");
            }
            sleep(jittered(RETRY_PAUSE)).await;
        }
    }

    async fn watch_balancers(&self) -> Result<(), Error> {
        let range = Range::Prefix(key::BALANCERS.to_owned());
        let listing = self.store.range(range.clone()).await?;
        let mut known: BTreeMap<_, _> = listing.entries.iter().filter_map(parse).collect();
        self.publish(&known);
        let mut watch = self.store.watch(range, listing.revision + 1).await?;
        while let Some(update) = watch.recv().await {
            match update? {
                Update::Put(entry) => known.extend(parse(&entry)),
                Update::Delete { key, .. } => {
                    known.remove(&key);
                }
            }
            self.publish(&known);
        }
        Ok(())
    }

    /// Puts the list on the blackboard. It always includes this balancer, even if the store does
    /// not.
    fn publish(&self, known: &BTreeMap<String, Registration>) {
        let mut list: Vec<_> = known.values().cloned().collect();
        if list.iter().all(|other| other.listen != self.own.listen) {
            list.push(self.own.clone());
        }
        list.sort_by_key(|registration| registration.listen);
        self.recorder.blackboard().set_balancers(list);
    }
}

fn parse(entry: &Entry) -> Option<(String, Registration)> {
    match serde_json::from_slice(&entry.value) {
        Ok(registration) => Some((entry.key.clone(), registration)),
        Err(error) => {
            log::warn!("config: cannot parse registration {}: {error}", entry.key);
            None
        }
    }
}
