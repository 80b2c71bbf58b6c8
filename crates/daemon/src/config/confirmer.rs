//! Confirms plans through the platform's store.

use std::{sync::Arc, time::Duration};

use sassafrasmast_core::config::{
    Confirmation, Document, Outcome, Plan, Record, Reply, Revision, Step,
    document::MAX_REMEMBERED_OPERATIONS,
};
use tokio::time::sleep;

use super::{Installer, Origin, key};
use crate::store::{Compare, Put, Range, Store, Txn};

/// Pause before the next call to the store after a call without a reply.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Performs the steps of [`Confirmation`].
#[derive(Debug, Clone)]
pub struct Confirmer {
    store: Arc<dyn Store>,
    installer: Installer,
}

impl Confirmer {
    /// An confirmer on `store`. Documents that it confirms are put in force in this process at
    /// once.
    pub fn new(store: Arc<dyn Store>, installer: Installer) -> Self {
        Self { store, installer }
    }

    /// Confirms `plan` as `operation`. Calling it again with the same operation determines the
    /// result of an earlier confirm whose reply was lost.
    pub async fn confirm(&self, plan: Plan, operation: &str) -> Outcome {
        let known = self.installer.blackboard().version();
        let mut confirmation = Confirmation::new(plan, operation, rand::random(), known);
        loop {
            let reply = match confirmation.step() {
                Step::Done(outcome) => return self.install_confirmed(outcome.clone()),
                Step::Read => self.read().await,
                Step::Swap {
                    revision,
                    document,
                    record,
                } => self.swap(*revision, document, record).await,
            };
            if reply == Reply::Lost {
                sleep(RETRY_PAUSE).await;
            }
            confirmation.on_reply(reply);
        }
    }

    /// Puts a confirmed document in force in this process.
    fn install_confirmed(&self, outcome: Outcome) -> Outcome {
        if let Outcome::Confirmed { document, .. } = &outcome {
            self.installer
                .install(document.as_ref().clone(), Origin::Confirm);
        }
        outcome
    }

    async fn read(&self) -> Reply {
        let listing = match self.store.range(Range::Key(key::CURRENT.to_owned())).await {
            Ok(listing) => listing,
            Err(error) => {
                log::warn!(
                    "config: cannot read {} from the store: {error}",
                    key::CURRENT
                );
                return Reply::Lost;
            }
        };
        let Some(entry) = listing.entries.first() else {
            return Reply::Absent;
        };
        match serde_json::from_slice::<Document>(&entry.value) {
            Ok(document) => Reply::Document(entry.mod_revision, Box::new(document)),
            Err(error) => {
                log::warn!(
                    "config: cannot parse {} of the store: {error}",
                    key::CURRENT
                );
                Reply::Lost
            }
        }
    }

    async fn swap(&self, revision: Revision, document: &Document, record: &Record) -> Reply {
        let Ok(txn) = transaction(
            Compare::ModRevision(key::CURRENT.to_owned(), revision),
            document,
            record,
        ) else {
            return Reply::Lost;
        };
        match self.store.txn(txn).await {
            Ok(applied) if applied.succeeded => Reply::Swapped,
            Ok(_) => Reply::Mismatch,
            Err(error) => {
                log::warn!(
                    "config: got no reply to the confirm of version {}: {error}",
                    record.version
                );
                Reply::Lost
            }
        }
    }
}

/// A transaction that writes `document` and `record` if `compare` holds, and deletes the record
/// that is no longer kept.
pub(super) fn transaction(
    compare: Compare,
    document: &Document,
    record: &Record,
) -> serde_json::Result<Txn> {
    let put = |key: String, value| Put {
        key,
        value,
        lease: None,
    };
    let old = document
        .version
        .checked_sub(MAX_REMEMBERED_OPERATIONS as u64);
    Ok(Txn {
        compares: vec![compare],
        puts: vec![
            put(key::CURRENT.to_owned(), serde_json::to_vec(document)?),
            put(key::record(document.version), serde_json::to_vec(record)?),
        ],
        deletes: old.map(key::record).into_iter().collect(),
    })
}
