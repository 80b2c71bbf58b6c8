//! An agent's entry in the store, which is bound to a lease.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use anyhow::{Context, bail};
use rand::Rng;
use sassafrasmast_core::flow::{Member, Report, ServiceName, State, ZoneName};
use sassafrasmast_store::{Compare, Error, LeaseId, Put, Range, Revision, Store, Txn};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Prefix of the keys of agents' entries.
const PREFIX: &str = "sassafrasmast/agents/";

/// Renewals of a lease within its time to live. Failed ones are repeated after [`RETRY_DELAY`], so
/// several in a row may fail. Renewals are the largest part of an agent's calls, which are priced.
const RENEWALS_PER_TTL: u32 = 2;

/// Delay before the retry of a failed call. The entry has to be back well within two seconds after
/// the store has recovered.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Headroom assumed for an agent that has not sent a frame yet: one flow. Its answer to that flow
/// reports the actual headroom.
const INITIAL_HEADROOM_FLOWS: u16 = 1;

/// Value of an agent's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The service of the agent's upstream.
    pub service: ServiceName,
    /// The agent's availability zone.
    pub zone: ZoneName,
    /// The agent's incarnation.
    pub incarnation: u64,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Whether the agent is being restarted as planned, so that it is expected back. Entries of earlier
    /// builds do not tell.
    #[serde(default)]
    pub restarting: Option<bool>,
}

impl Record {
    /// The record of a member.
    pub fn of(member: &Member) -> Self {
        Self {
            service: member.service.clone(),
            zone: member.zone.clone(),
            incarnation: member.report.agent,
            draining: member.report.state == State::Draining,
            restarting: member.listed_restarting,
        }
    }

    /// The keys of all agents' entries.
    pub fn range() -> Range {
        Range::Prefix(PREFIX.to_owned())
    }

    /// The key of the entry of the agent at `address`.
    pub fn key(address: SocketAddrV4) -> String {
        format!("{PREFIX}{address}")
    }

    /// The address of the agent that a key belongs to; `None` if it is not the key of an agent.
    ///
    /// ```
    /// use sassafrasmast_forwarder::registration::Record;
    /// let address = "10.0.0.1:7000".parse().unwrap();
    /// assert_eq!(Record::address(&Record::key(address)).unwrap(), Some(address));
    /// assert_eq!(Record::address("other").unwrap(), None);
    /// assert!(Record::address("sassafrasmast/agents/10.0.0.1:70000").is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// When the key is among those of agents, but names no address that packets can be sent to.
    pub fn address(key: &str) -> anyhow::Result<Option<SocketAddrV4>> {
        let Some(text) = key.strip_prefix(PREFIX) else {
            return Ok(None);
        };
        let address: SocketAddrV4 = text.parse().context("the key names no address")?;
        let ip = address.ip();
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || ip.is_broadcast() {
            bail!("the key names no address of an agent");
        }
        Ok(Some(address))
    }

    /// Decodes an entry's value.
    ///
    /// # Errors
    ///
    /// When the value is not a record.
    pub fn decode(value: &[u8]) -> anyhow::Result<Self> {
        Ok(serde_json::from_slice(value)?)
    }

    /// The member for a newly listed agent, before its first frame.
    pub fn member(&self, address: SocketAddrV4) -> Member {
        let report = Report {
            agent: self.incarnation,
            state: if self.draining {
                State::Draining
            } else {
                State::Unknown
            },
            slots: 1,
            headroom: INITIAL_HEADROOM_FLOWS,
            ..Report::default()
        };
        Member {
            listed_restarting: self.restarting,
            ..Member::listed(address, self.service.clone(), self.zone.clone(), report)
        }
    }
}

/// Keeps an agent's entry in the store.
#[derive(Debug)]
pub struct Registration {
    store: Arc<dyn Store>,
    key: String,
    ttl: Duration,
    /// The entry to keep in the store; `None` once the upstream is gone.
    desired: watch::Receiver<Option<Record>>,
    /// Whether the store matches `desired`, according to the last call.
    registered: Arc<AtomicBool>,
    lease: Option<LeaseId>,
    /// The entry as last written, and the revision of that write.
    written: Option<(Record, Revision)>,
}

impl Registration {
    /// Registration of the agent at `address`. It writes the entry that `desired` holds and sets
    /// `registered` to whether the last call succeeded.
    pub fn new(
        store: Arc<dyn Store>,
        address: SocketAddrV4,
        ttl: Duration,
        desired: watch::Receiver<Option<Record>>,
        registered: Arc<AtomicBool>,
    ) -> Self {
        Self {
            store,
            key: Record::key(address),
            ttl,
            desired,
            registered,
            lease: None,
            written: None,
        }
    }

    /// Keeps the entry up to date until the sender of `desired` is dropped.
    pub async fn run(mut self) {
        loop {
            let result = self.reconcile().await;
            self.registered.store(result.is_ok(), Ordering::Relaxed);
            let wait = match result {
                Ok(()) => self.ttl / RENEWALS_PER_TTL,
                Err(error) => {
                    metrics::counter!("sassafrasmast_registration_errors").increment(1);
                    if error == Error::LeaseNotFound {
                        self.lease = None;
                        self.written = None;
                        continue;
                    }
                    RETRY_DELAY
                }
            };
            let jitter = rand::rng().random_range(0.8..1.0);
            tokio::select! {
                changed = self.desired.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = tokio::time::sleep(wait.mul_f64(jitter)) => {}
                () = lease_lost(&*self.store, self.lease) => {
                    self.lease = None;
                    self.written = None;
                }
            }
        }
    }

    /// Writes the entry if it has changed, otherwise renews the lease. If no entry is desired, ends
    /// the lease.
    async fn reconcile(&mut self) -> Result<(), Error> {
        let desired = self.desired.borrow_and_update().clone();
        let Some(record) = desired else {
            if let Some(lease) = self.lease {
                self.written = None;
                // After a failure the lease is kept, and ended by the next attempt.
                self.store.revoke(lease).await?;
                self.lease = None;
            }
            return Ok(());
        };
        let lease = match self.lease {
            Some(lease) => lease,
            None => {
                let lease = self.store.grant(self.ttl).await?;
                self.lease = Some(lease);
                lease
            }
        };
        if self
            .written
            .as_ref()
            .is_some_and(|(written, _)| *written == record)
        {
            self.store.keep_alive(lease).await?;
            return Ok(());
        }
        self.write(record, lease).await
    }

    /// Writes the entry on the condition that nobody else has written it since it was last read or
    /// written here, so that a delayed write of an earlier incarnation is noticed.
    async fn write(&mut self, record: Record, lease: LeaseId) -> Result<(), Error> {
        let expected = match &self.written {
            Some((_, revision)) => Some(*revision),
            None => self.stored_revision().await?,
        };
        let compare = match expected {
            Some(revision) => Compare::ModRevision(self.key.clone(), revision),
            None => Compare::Absent(self.key.clone()),
        };
        let value =
            serde_json::to_vec(&record).map_err(|error| Error::Malformed(error.to_string()))?;
        let applied = self
            .store
            .txn(Txn {
                compares: vec![compare],
                puts: vec![Put {
                    key: self.key.clone(),
                    value,
                    lease: Some(lease),
                }],
                deletes: Vec::new(),
            })
            .await;
        match applied {
            Ok(applied) if applied.succeeded => {
                self.written = Some((record, applied.revision));
                Ok(())
            }
            Ok(_) => {
                self.written = None;
                // Retried like a failed call.
                Err(Error::Unreachable(
                    "the entry was changed by another writer".to_owned(),
                ))
            }
            Err(error) => {
                self.written = None;
                Err(error)
            }
        }
    }

    /// The revision of the entry in the store, if it exists.
    async fn stored_revision(&self) -> Result<Option<Revision>, Error> {
        let listing = self.store.range(Range::Key(self.key.clone())).await?;
        Ok(listing.entries.first().map(|entry| entry.mod_revision))
    }
}

/// Waits until the store is known to have lost the lease, if there is one.
async fn lease_lost(store: &dyn Store, lease: Option<LeaseId>) {
    match lease {
        Some(lease) => store.lease_lost(lease).await,
        None => std::future::pending().await,
    }
}
