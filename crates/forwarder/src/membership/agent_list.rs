//! A balancer's copy of the agents' entries in the store.

use std::{collections::BTreeMap, net::SocketAddrV4};

use sassafrasmast_store::Revision;

use crate::registration::Record;

/// What a listing changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The entry is new or differs.
    Listed(SocketAddrV4, Record),
    /// The entry is gone.
    Unlisted(SocketAddrV4),
}

/// Agents' entries as last read from the store. Stale listings may be older than each other and than
/// what a watch has delivered.
#[derive(Debug, Default)]
pub struct AgentList {
    /// Position in the store's history up to which changes are known.
    revision: Revision,
    records: BTreeMap<SocketAddrV4, Record>,
}

impl AgentList {
    /// Position in the store's history up to which changes are known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Records that all changes up to `revision` are known.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Replaces all entries after a listing that is not stale.
    pub fn replace(&mut self, revision: Revision, records: BTreeMap<SocketAddrV4, Record>) {
        self.revision = revision;
        self.records = records;
    }

    /// Records that a watch has delivered an entry.
    pub fn put(&mut self, revision: Revision, address: SocketAddrV4, record: Record) {
        self.advance(revision);
        self.records.insert(address, record);
    }

    /// Records that a watch has delivered the end of an entry.
    pub fn remove(&mut self, revision: Revision, address: SocketAddrV4) {
        self.advance(revision);
        self.records.remove(&address);
    }

    /// Applies a stale listing and returns what it changes; `None` if it is older than what is known.
    /// A missing entry has lapsed or was removed, since a listing that is not older shows every entry
    /// that stands. It remains a hint: the balancer keeps using an agent that answers.
    pub fn apply_stale(
        &mut self,
        revision: Revision,
        records: BTreeMap<SocketAddrV4, Record>,
    ) -> Option<Vec<Change>> {
        if revision < self.revision {
            return None;
        }
        self.revision = revision;
        let known = std::mem::take(&mut self.records);
        let gone = known
            .keys()
            .filter(|address| !records.contains_key(address));
        let mut changes: Vec<Change> = gone.copied().map(Change::Unlisted).collect();
        for (address, record) in &records {
            if known.get(address) != Some(record) {
                changes.push(Change::Listed(*address, record.clone()));
            }
        }
        self.records = records;
        Some(changes)
    }
}
