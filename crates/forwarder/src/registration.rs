//! An agent's entry in the store, which lives under a lease.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rand::Rng;
use sassafrasmast_core::flow::{Member, Report, ServiceName, State, ZoneName};
use sassafrasmast_store::{Compare, Error, LeaseId, Put, Range, Revision, Store, Txn};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Prefix of the agents' entries.
const PREFIX: &str = "sassafrasmast/agents/";

/// A lease is renewed this many times within its time to live, so that two renewals may fail.
const RENEWALS_PER_TTL: u32 = 3;

/// Pause after a failure of the store: the entry is back well within two seconds of its return.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Headroom that an entry grants while its agent was not heard: one flow shows the rest.
const INITIAL_HEADROOM: u16 = 1;

/// What an agent's entry says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The service of its upstream.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// This start of the agent.
    pub incarnation: u64,
    /// Whether the upstream leaves.
    pub draining: bool,
}

impl Record {
    /// What a balancer knows of a member.
    pub fn of(member: &Member) -> Self {
        Self {
            service: member.service.clone(),
            zone: member.zone.clone(),
            incarnation: member.report.agent,
            draining: member.report.state == State::Draining,
        }
    }

    /// The key of the agent at `address`.
    pub fn key(address: SocketAddrV4) -> String {
        format!("{PREFIX}{address}")
    }

    /// The agent that a key belongs to, if it is one of an agent.
    ///
    /// ```
    /// use sassafrasmast_forwarder::registration::Record;
    /// let address = "10.0.0.1:7000".parse().unwrap();
    /// assert_eq!(Record::address(&Record::key(address)), Some(address));
    /// assert_eq!(Record::address("other"), None);
    /// ```
    pub fn address(key: &str) -> Option<SocketAddrV4> {
        key.strip_prefix(PREFIX)?.parse().ok()
    }

    /// Reads an entry's value.
    ///
    /// # Errors
    ///
    /// When another writer wrote it.
    pub fn decode(value: &[u8]) -> anyhow::Result<Self> {
        Ok(serde_json::from_slice(value)?)
    }

    /// The agent as a balancer lists it.
    pub fn member(&self, address: SocketAddrV4) -> Member {
        let report = Report {
            agent: self.incarnation,
            state: if self.draining {
                State::Draining
            } else {
                State::Unknown
            },
            slots: 1,
            headroom: INITIAL_HEADROOM,
            ..Report::default()
        };
        Member::listed(address, self.service.clone(), self.zone.clone(), report)
    }
}

/// Keeps an agent's entry in the store.
#[derive(Debug)]
pub struct Registration {
    store: Arc<dyn Store>,
    key: String,
    ttl: Duration,
    /// The entry that shall stand; `None` once the upstream has left.
    desired: watch::Receiver<Option<Record>>,
    /// Whether the entry stands, as far as is known.
    registered: Arc<AtomicBool>,
    lease: Option<LeaseId>,
    written: Option<(Record, Revision)>,
}

impl Registration {
    /// Keeps the entry of the agent at `address` as `desired` says, and tells in `registered`
    /// whether it stands.
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

    /// Keeps the entry until the process ends.
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
            }
        }
    }

    /// Writes what is to be written, or renews the lease.
    async fn reconcile(&mut self) -> Result<(), Error> {
        let desired = self.desired.borrow_and_update().clone();
        let Some(record) = desired else {
            if let Some(lease) = self.lease.take() {
                self.written = None;
                self.store.revoke(lease).await?;
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

    /// Writes the entry under the condition that nobody else has since the last read, so that a
    /// late write of an earlier start cannot replace it unseen.
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
                Err(Error::Unreachable(
                    "the entry was changed meanwhile".to_owned(),
                ))
            }
            Err(error) => {
                self.written = None;
                Err(error)
            }
        }
    }

    /// The revision of the entry as it stands.
    async fn stored_revision(&self) -> Result<Option<Revision>, Error> {
        let listing = self.store.range(Range::Key(self.key.clone())).await?;
        Ok(listing.entries.first().map(|entry| entry.mod_revision))
    }
}
