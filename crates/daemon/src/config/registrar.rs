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

/// Time after which a silent balancer's registration goes.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Keep-alives in one lifetime of the lease.
const KEEP_ALIVES: u32 = 3;

/// Longest wait for the store when a balancer that stops gives its lease up.
const LEAVE_LIMIT: Duration = Duration::from_secs(1);

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Keeps this balancer registered and knows the others.
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

    /// Keeps the registration alive until the task is dropped. A lost lease is recorded and a
    /// new one is taken.
    pub async fn register(self) {
        loop {
            match self.grant().await {
                Ok(lease) => {
                    self.remember(Some(lease));
                    self.keep(lease).await;
                    self.remember(None);
                    log::warn!("config: the lease of this balancer's registration is lost.");
                    self.recorder.record(Kind::LeaseLost);
                }
                Err(error) => {
                    log::debug!("config: cannot register: {error}.");
                    sleep(jittered(RETRY_PAUSE)).await;
                }
            }
        }
    }

    /// Gives the lease up, so that the others need not wait for its end. To be called after the
    /// task of [`Registrar::register`] was stopped.
    pub async fn leave(&self) {
        let Some(lease) = self.remember(None) else {
            return;
        };
        match timeout(LEAVE_LIMIT, self.store.revoke(lease)).await {
            Ok(Ok(())) => log::info!("config: the registration is withdrawn."),
            Ok(Err(error)) => log::warn!("config: cannot withdraw the registration: {error}."),
            Err(_) => log::warn!("config: the store is slow, the registration will lapse."),
        }
    }

    /// Replaces the remembered lease and gives back the one before.
    fn remember(&self, lease: Option<LeaseId>) -> Option<LeaseId> {
        let mut slot = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *slot, lease)
    }

    async fn grant(&self) -> Result<LeaseId, Error> {
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

    /// Renews the lease until it is lost: not found, or not renewed for its lifetime.
    async fn keep(&self, lease: LeaseId) {
        let mut expiry = Instant::now() + LEASE_TTL;
        loop {
            sleep(jittered(LEASE_TTL / KEEP_ALIVES)).await;
            let asked = Instant::now();
            match self.store.keep_alive(lease).await {
                Ok(ttl) => expiry = asked + ttl,
                Err(Error::LeaseNotFound) => return,
                Err(_) if Instant::now() >= expiry => return,
                Err(error) => log::debug!("config: cannot renew the lease: {error}."),
            }
        }
    }

    /// Keeps the list of live balancers on the blackboard until the task is dropped. While the
    /// store is down, the last list stays.
    pub async fn list(self) {
        loop {
            if let Err(error) = self.follow().await {
                log::debug!("config: cannot follow the list of balancers: {error}.");
            }
            sleep(jittered(RETRY_PAUSE)).await;
        }
    }

    async fn follow(&self) -> Result<(), Error> {
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

    /// Puts the list on the blackboard. This balancer is live whatever the store says.
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
            log::warn!(
                "config: the registration {} does not parse: {error}.",
                entry.key
            );
            None
        }
    }
}
