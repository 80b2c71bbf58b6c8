//! A balancer's watch of the configuration in the platform's store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sassafrasmast_core::{
    config::{Document, Record, Revision, Secrets},
    timeline::Kind,
};
use sassafrasmast_wire::ConfigVersion;
use tokio::time::sleep;

use super::{Installer, Origin, confirmer::transaction, jitter::jittered, key};
use crate::store::{Compare, Entry, Error, Range, Store, Update, Watch};

/// First pause after a failed call to the store.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failed calls to the store.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// Longest time without an update before checking for a version that the watch did not report.
const CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Time for which a process waits for a peer's configuration before it creates the first document.
const FIRST_DOCUMENT_WAIT: Duration = Duration::from_secs(2);

/// Operation id of a document that was written again after the store lost it.
const RESTORE_OPERATION: &str = "restored";

/// Operation id of the first document.
const FIRST_OPERATION: &str = "first";

/// Watches the configuration in the platform's store.
#[derive(Debug)]
pub struct Watcher {
    store: Arc<dyn Store>,
    installer: Installer,
    reachable: bool,
}

/// Whether the document in force matches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SyncState {
    /// The store's versions continue from the version in force.
    InSync,
    /// The store may have lost versions. Its record of the version in force has to be compared.
    NeedsCheck,
    /// The document has to be read in full.
    NeedsFullRead,
}

impl Watcher {
    /// A watcher that puts documents from `store` in force.
    pub fn new(store: Arc<dyn Store>, installer: Installer) -> Self {
        Self {
            store,
            installer,
            reachable: true,
        }
    }

    /// Watches the store until the future is dropped.
    pub async fn run(mut self) {
        let mut pause = MIN_RETRY_PAUSE;
        loop {
            match self.sync().await {
                Ok(()) => pause = MIN_RETRY_PAUSE,
                Err(error) => {
                    self.record_failure(&error);
                    sleep(jittered(pause)).await;
                    pause = (pause * 2).min(MAX_RETRY_PAUSE);
                }
            }
        }
    }

    /// Reads the versions that are missing, then applies updates of a watch. Ends if the document
    /// has to be read in full.
    async fn sync(&mut self) -> Result<(), Error> {
        let revision = self.read().await?;
        let range = Range::Prefix(key::CHANGES.to_owned());
        let mut watch = self.store.watch(range, revision + 1).await?;
        if !self.reachable {
            log::info!("store: reachable again");
            self.reachable = true;
            let kind = Kind::StoreReachable { reachable: true };
            self.installer.recorder().record(kind);
        }
        self.follow(&mut watch).await
    }

    async fn follow(&self, watch: &mut Watch) -> Result<(), Error> {
        loop {
            let wait = jittered(CHECK_INTERVAL);
            let state = tokio::select! {
                update = watch.recv() => match update {
                    Some(Ok(Update::Put(entry))) => self.apply(&entry),
                    Some(Ok(Update::Delete { .. })) => SyncState::InSync,
                    Some(Err(error)) => return Err(error),
                    None => return Err(Error::Unreachable("the watch ended".to_owned())),
                },
                () = sleep(wait) => self.check_for_missed().await?,
            };
            let state = match state {
                SyncState::NeedsCheck => self.check_for_missed().await?,
                other => other,
            };
            if state == SyncState::NeedsFullRead {
                return Ok(());
            }
        }
    }

    /// Reads the records after the version in force, or the full document if they can't be applied
    /// to it. Returns the revision after which the watch has to start.
    async fn read(&self) -> Result<Revision, Error> {
        let own_record = self.range(&key::record(self.version())).await?;
        if self.version() > 0 && self.is_in_force(own_record.1.as_ref()) {
            let mut revision = own_record.0;
            loop {
                let (at, next) = self.range(&key::record(self.version() + 1)).await?;
                revision = revision.min(at);
                match next.map(|entry| self.apply(&entry)) {
                    None => return Ok(revision),
                    Some(SyncState::InSync | SyncState::NeedsCheck) => {}
                    Some(SyncState::NeedsFullRead) => break,
                }
            }
        }
        self.read_whole().await
    }

    /// Checks for a version that the watch did not report.
    async fn check_for_missed(&self) -> Result<SyncState, Error> {
        let (_, own) = self.range(&key::record(self.version())).await?;
        if !self.is_in_force(own.as_ref()) {
            return Ok(SyncState::NeedsFullRead);
        }
        let (_, next) = self.range(&key::record(self.version() + 1)).await?;
        Ok(next.map_or(SyncState::InSync, |entry| self.apply(&entry)))
    }

    /// Whether `entry` is the store's record of the document in force.
    fn is_in_force(&self, entry: Option<&Entry>) -> bool {
        let record = entry.and_then(|entry| serde_json::from_slice::<Record>(&entry.value).ok());
        let config = self.installer.blackboard().config();
        match (record, config) {
            (Some(record), Some(config)) => record.digest == config.document.digest(),
            _ => false,
        }
    }

    /// Applies a record to the document in force.
    fn apply(&self, entry: &Entry) -> SyncState {
        let Ok(record) = serde_json::from_slice::<Record>(&entry.value) else {
            log::warn!("config: cannot parse record {}", entry.key);
            return SyncState::NeedsFullRead;
        };
        let Some(config) = self.installer.blackboard().config() else {
            return SyncState::NeedsFullRead;
        };
        let current = &config.document;
        if record.version < current.version {
            return SyncState::NeedsCheck;
        }
        if record.version == current.version {
            return match record.digest == current.digest() {
                true => SyncState::InSync,
                false => SyncState::NeedsFullRead,
            };
        }
        match record.apply_to(current) {
            Some(document) => {
                self.installer.install(document, Origin::Store);
                SyncState::InSync
            }
            None => SyncState::NeedsFullRead,
        }
    }

    async fn read_whole(&self) -> Result<Revision, Error> {
        let (revision, entry) = self.range(key::CURRENT).await?;
        let Some(entry) = entry else {
            return self.write_missing().await;
        };
        let document: Document = serde_json::from_slice(&entry.value).map_err(|error| {
            // Version 0 means that the version of the document is unknown.
            self.installer.refuse(0, Origin::Store, error.to_string());
            Error::Malformed(error.to_string())
        })?;
        let known = self.installer.blackboard().config();
        match known {
            Some(known) if document.version < known.document.version => {
                let reason = format!("version {} is in force", known.document.version);
                self.installer
                    .refuse(document.version, Origin::Store, reason);
                let compare = Compare::ModRevision(key::CURRENT.to_owned(), entry.mod_revision);
                self.write(compare, &known.document, RESTORE_OPERATION)
                    .await
            }
            Some(known) if document.version == known.document.version => {
                if document != known.document {
                    let reason = "another document of this version is in force".to_owned();
                    self.installer
                        .refuse(document.version, Origin::Store, reason);
                    return Err(Error::Malformed(
                        "the store holds another document of the version in force".to_owned(),
                    ));
                }
                Ok(revision)
            }
            _ if self.installer.install(document, Origin::Store) => Ok(revision),
            _ => Err(Error::Malformed(
                "the store's document was refused".to_owned(),
            )),
        }
    }

    /// Called if the store has no document. Writes the one in force, or creates the first document
    /// if no peer has one.
    async fn write_missing(&self) -> Result<Revision, Error> {
        let compare = Compare::Absent(key::CURRENT.to_owned());
        if self.version() == 0 {
            let mut versions = self.installer.subscribe();
            let _ = tokio::time::timeout(FIRST_DOCUMENT_WAIT, versions.changed()).await;
        }
        match self.installer.blackboard().config() {
            Some(config) => {
                self.write(compare, &config.document, RESTORE_OPERATION)
                    .await
            }
            None => {
                self.write(compare, &first_document(), FIRST_OPERATION)
                    .await
            }
        }
    }

    /// Writes `document` if `compare` holds. If it does not hold, the error leads to another read.
    async fn write(
        &self,
        compare: Compare,
        document: &Document,
        operation: &str,
    ) -> Result<Revision, Error> {
        let record = Record {
            version: document.version,
            operation: operation.to_owned(),
            changes: Vec::new(),
            fresh: rand::random(),
            digest: document.digest(),
        };
        let txn = transaction(compare, document, &record)
            .map_err(|error| Error::Malformed(error.to_string()))?;
        let applied = self.store.txn(txn).await?;
        if !applied.succeeded {
            return Err(Error::Malformed(
                "the store changed before the document was written".to_owned(),
            ));
        }
        log::info!(
            "config: wrote version {} to the store (operation {operation})",
            document.version
        );
        self.installer.install(document.clone(), Origin::Store);
        Ok(applied.revision)
    }

    async fn range(&self, key: &str) -> Result<(Revision, Option<Entry>), Error> {
        let listing = self.store.range(Range::Key(key.to_owned())).await?;
        Ok((listing.revision, listing.entries.into_iter().next()))
    }

    fn version(&self) -> ConfigVersion {
        self.installer.blackboard().version()
    }

    /// Logs a failure. The beginning of an outage is logged and recorded once.
    fn record_failure(&mut self, error: &Error) {
        if !matches!(error, Error::Unreachable(_)) {
            log::debug!("config: reading the store again after an error: {error}");
        } else if self.reachable {
            log::warn!("store: {error}; retrying until it is reachable");
            self.reachable = false;
            let kind = Kind::StoreReachable { reachable: false };
            self.installer.recorder().record(kind);
        }
    }
}

/// The first document of a fleet, with random secrets.
fn first_document() -> Document {
    Document::first(Secrets {
        sealing: 0,
        phases: BTreeMap::from([(0, rand::random())]),
        reset: rand::random(),
    })
}
