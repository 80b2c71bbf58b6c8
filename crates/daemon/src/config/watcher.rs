//! A balancer's waiting call to the platform's store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use sassafrasmast_core::{
    config::{Document, Record, Revision, Secrets},
    timeline::Kind,
};
use sassafrasmast_wire::ConfigVersion;
use tokio::time::sleep;

use super::{Installer, Origin, executor::transaction, jitter::jittered, key};
use crate::store::{Compare, Entry, Error, Range, Store, Update, Watch};

/// First pause after a failed call to the store.
const RETRY_MIN: Duration = Duration::from_millis(250);

/// Longest pause after failed calls to the store.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Longest time between two looks for a version that the watch did not tell of.
const LOOK_INTERVAL: Duration = Duration::from_secs(60);

/// Time a process waits for a peer's configuration before it creates the first document.
const FIRST_DOCUMENT_WAIT: Duration = Duration::from_secs(2);

/// Operation id of a document that was put back after the store lost it.
const RESTORED: &str = "restored";

/// Operation id of the first document.
const FIRST: &str = "first";

/// Follows the configuration in the platform's store.
#[derive(Debug)]
pub struct Watcher {
    store: Arc<dyn Store>,
    installer: Installer,
    reachable: bool,
}

/// Whether the store and this process agree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Agreement {
    /// The store continues from the version in force here.
    Follows,
    /// The store may have lost versions; its record of the version in force tells.
    Doubtful,
    /// The whole document has to be read.
    Unknown,
}

impl Watcher {
    /// A watcher that puts in force what it finds.
    pub fn new(store: Arc<dyn Store>, installer: Installer) -> Self {
        Self {
            store,
            installer,
            reachable: true,
        }
    }

    /// Follows the store until the task is dropped.
    pub async fn run(mut self) {
        let mut pause = RETRY_MIN;
        loop {
            match self.round().await {
                Ok(()) => pause = RETRY_MIN,
                Err(error) => {
                    self.note(&error);
                    sleep(jittered(pause)).await;
                    pause = (pause * 2).min(RETRY_MAX);
                }
            }
        }
    }

    /// Reads what is missing, then follows the watch. Ends when the two disagree.
    async fn round(&mut self) -> Result<(), Error> {
        let revision = self.read().await?;
        let range = Range::Prefix(key::CHANGES.to_owned());
        let mut watch = self.store.watch(range, revision + 1).await?;
        if !self.reachable {
            log::info!("store: answers again.");
            self.reachable = true;
            let kind = Kind::StoreReachable { reachable: true };
            self.installer.recorder().record(kind);
        }
        self.follow(&mut watch).await
    }

    async fn follow(&self, watch: &mut Watch) -> Result<(), Error> {
        loop {
            let wait = jittered(LOOK_INTERVAL);
            let agreement = tokio::select! {
                update = watch.recv() => match update {
                    Some(Ok(Update::Put(entry))) => self.take(&entry),
                    Some(Ok(Update::Delete { .. })) => Agreement::Follows,
                    Some(Err(error)) => return Err(error),
                    None => return Err(Error::Unreachable("the watch ended".to_owned())),
                },
                () = sleep(wait) => self.look().await?,
            };
            let agreement = match agreement {
                Agreement::Doubtful => self.look().await?,
                other => other,
            };
            if agreement == Agreement::Unknown {
                return Ok(());
            }
        }
    }

    /// Reads only the records after the version in force, or the whole document if they do not
    /// follow from it. Returns a revision after which nothing was missed.
    async fn read(&self) -> Result<Revision, Error> {
        let probe = self.range(&key::change(self.version())).await?;
        if self.version() > 0 && self.agrees(probe.1.as_ref()) {
            let mut revision = probe.0;
            loop {
                let (at, next) = self.range(&key::change(self.version() + 1)).await?;
                revision = revision.min(at);
                match next.map(|entry| self.take(&entry)) {
                    None => return Ok(revision),
                    Some(Agreement::Follows | Agreement::Doubtful) => {}
                    Some(Agreement::Unknown) => break,
                }
            }
        }
        self.read_whole().await
    }

    /// Looks for a version that the watch did not tell of.
    async fn look(&self) -> Result<Agreement, Error> {
        let (_, own) = self.range(&key::change(self.version())).await?;
        if !self.agrees(own.as_ref()) {
            return Ok(Agreement::Unknown);
        }
        let (_, next) = self.range(&key::change(self.version() + 1)).await?;
        Ok(next.map_or(Agreement::Follows, |entry| self.take(&entry)))
    }

    /// Whether the store's record of the version in force is about the document in force.
    fn agrees(&self, entry: Option<&Entry>) -> bool {
        let record = entry.and_then(|entry| serde_json::from_slice::<Record>(&entry.value).ok());
        let config = self.installer.board().config();
        match (record, config) {
            (Some(record), Some(config)) => record.digest == config.document.digest(),
            _ => false,
        }
    }

    /// Applies a record to the document in force.
    fn take(&self, entry: &Entry) -> Agreement {
        let Ok(record) = serde_json::from_slice::<Record>(&entry.value) else {
            log::warn!("config: the record {} does not parse.", entry.key);
            return Agreement::Unknown;
        };
        let Some(config) = self.installer.board().config() else {
            return Agreement::Unknown;
        };
        let current = &config.document;
        if record.version < current.version {
            return Agreement::Doubtful;
        }
        if record.version == current.version {
            return match record.digest == current.digest() {
                true => Agreement::Follows,
                false => Agreement::Unknown,
            };
        }
        match record.apply_to(current) {
            Some(document) => {
                self.installer.install(document, Origin::Store);
                Agreement::Follows
            }
            None => Agreement::Unknown,
        }
    }

    async fn read_whole(&self) -> Result<Revision, Error> {
        let (revision, entry) = self.range(key::CURRENT).await?;
        let Some(entry) = entry else {
            return self.write_missing().await;
        };
        let document: Document = serde_json::from_slice(&entry.value).map_err(|error| {
            self.installer.refuse(0, Origin::Store, error.to_string());
            Error::Malformed(error.to_string())
        })?;
        let known = self.installer.board().config();
        match known {
            Some(known) if document.version < known.document.version => {
                let reason = format!("version {} is in force", known.document.version);
                self.installer
                    .refuse(document.version, Origin::Store, reason);
                let compare = Compare::ModRevision(key::CURRENT.to_owned(), entry.mod_revision);
                self.write(compare, &known.document, RESTORED).await
            }
            Some(known) if document.version == known.document.version => {
                if document != known.document {
                    let reason = "another document of this version is in force".to_owned();
                    self.installer
                        .refuse(document.version, Origin::Store, reason);
                    return Err(Error::Malformed(
                        "the store's configuration forked".to_owned(),
                    ));
                }
                Ok(revision)
            }
            _ if self.installer.install(document, Origin::Store) => Ok(revision),
            _ => Err(Error::Malformed(
                "the store's document is refused".to_owned(),
            )),
        }
    }

    /// The store has no document: puts back the one in force, or creates the first one if no
    /// peer has any.
    async fn write_missing(&self) -> Result<Revision, Error> {
        let compare = Compare::Absent(key::CURRENT.to_owned());
        if self.version() == 0 {
            let mut versions = self.installer.subscribe();
            let _ = tokio::time::timeout(FIRST_DOCUMENT_WAIT, versions.changed()).await;
        }
        match self.installer.board().config() {
            Some(config) => self.write(compare, &config.document, RESTORED).await,
            None => self.write(compare, &first(), FIRST).await,
        }
    }

    /// Writes `document` if `compare` holds. Either way the next round reads the outcome.
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
            return Err(Error::Malformed("another balancer wrote first".to_owned()));
        }
        log::info!(
            "config: wrote version {} to the store ({operation}).",
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
        self.installer.board().version()
    }

    /// Logs a failed round; an outage is recorded once.
    fn note(&mut self, error: &Error) {
        if !matches!(error, Error::Unreachable(_)) {
            log::debug!("config: the store is read again: {error}.");
        } else if self.reachable {
            log::warn!("store: {error}.");
            self.reachable = false;
            let kind = Kind::StoreReachable { reachable: false };
            self.installer.recorder().record(kind);
        }
    }
}

/// The first document of a fleet, with random secrets.
fn first() -> Document {
    Document::first(Secrets {
        sealing: 0,
        phases: BTreeMap::from([(0, rand::random())]),
        reset: rand::random(),
    })
}
