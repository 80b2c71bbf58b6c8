//! Keys, leases and change history of the store.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

/// Changes kept for watches that start in the past.
const MAX_HISTORY_CHANGES: usize = 16_384;

/// Bytes of a key, decoded from base64.
pub type Key = Vec<u8>;

/// Value, revisions and lease of a key. The value stays in base64.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Entry {
    value: String,
    created: i64,
    modified: i64,
    version: i64,
    /// Id of the lease; 0 for none.
    lease: i64,
}

/// A lease and its expiry.
#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// One change of a key.
#[derive(Debug, Clone)]
pub struct Change {
    /// Revision of the change.
    pub revision: i64,
    /// Changed key.
    pub key: Key,
    /// The event in the gateway's format.
    pub event: Value,
}

/// Keys, leases and change history of the store.
#[derive(Debug)]
pub struct Table {
    revision: i64,
    entries: BTreeMap<Key, Entry>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    history: VecDeque<Change>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            revision: 1,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            // Random, so that a restarted store does not reuse the lease ids of its earlier run.
            next_lease: rand::random_range(1..i64::MAX / 2),
            history: VecDeque::new(),
        }
    }
}

impl Table {
    /// Revision of the last change.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Entries with keys in `start..end`, or exactly `start` without an end, in the gateway's
    /// format.
    pub fn range(&self, start: &Key, end: Option<&Key>) -> Vec<Value> {
        let covered = self
            .entries
            .iter()
            .filter(|(key, _)| in_range(start, end, key));
        covered.map(|(key, entry)| entry.json(key)).collect()
    }

    /// Version, creation revision and modification revision of a key; zeros if it does not exist.
    pub fn versions(&self, key: &Key) -> (i64, i64, i64) {
        self.entries.get(key).map_or((0, 0, 0), |entry| {
            (entry.version, entry.created, entry.modified)
        })
    }

    /// Starts a new revision for the following writes.
    pub fn advance_revision(&mut self) {
        self.revision += 1;
    }

    /// Whether the lease exists.
    pub fn has_lease(&self, lease: i64) -> bool {
        self.leases.contains_key(&lease)
    }

    /// Puts a key at the current revision.
    pub fn put(&mut self, key: Key, value: String, lease: i64) {
        let (version, created, _) = self.versions(&key);
        let entry = Entry {
            value,
            created: if version == 0 { self.revision } else { created },
            modified: self.revision,
            version: version + 1,
            lease,
        };
        let event = json!({ "kv": entry.json(&key) });
        self.entries.insert(key.clone(), entry);
        self.record(key, event);
    }

    /// Deletes a key at the current revision.
    pub fn delete(&mut self, key: &Key) {
        if self.entries.remove(key).is_some() {
            let revision = self.revision.to_string();
            let kv = json!({ "key": super::gateway::encode_base64(key), "mod_revision": revision });
            self.record(key.clone(), json!({ "type": "DELETE", "kv": kv }));
        }
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> i64 {
        let id = self.next_lease;
        self.next_lease += 1;
        let expires_at = now + ttl;
        self.leases.insert(id, Lease { ttl, expires_at });
        id
    }

    /// Renews a lease and returns its time to live; `None` if it does not exist.
    pub fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Revokes a lease and deletes its keys. Returns whether the lease existed.
    pub fn revoke(&mut self, id: i64) -> bool {
        let found = self.leases.remove(&id).is_some();
        let attached = self.entries.iter().filter(|(_, entry)| entry.lease == id);
        let keys: Vec<Key> = attached.map(|(key, _)| key.clone()).collect();
        if found && !keys.is_empty() {
            self.advance_revision();
            for key in &keys {
                self.delete(key);
            }
        }
        found
    }

    /// Revokes the leases that have expired.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        for id in expired.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.revoke(id);
        }
    }

    /// Changes in a key range since revision `from`; `Err` holds the oldest revision kept if `from`
    /// is older.
    pub fn changes(&self, from: i64, start: &Key, end: Option<&Key>) -> Result<Vec<Change>, i64> {
        let oldest = self.history.front().map_or(0, |change| change.revision);
        if self.history.len() >= MAX_HISTORY_CHANGES && from < oldest {
            return Err(oldest);
        }
        let changes = self
            .history
            .iter()
            .filter(|change| change.revision >= from && in_range(start, end, &change.key));
        Ok(changes.cloned().collect())
    }

    fn record(&mut self, key: Key, event: Value) {
        if self.history.len() >= MAX_HISTORY_CHANGES {
            self.history.pop_front();
        }
        let revision = self.revision;
        self.history.push_back(Change {
            revision,
            key,
            event,
        });
    }
}

impl Entry {
    fn json(&self, key: &Key) -> Value {
        json!({
            "key": super::gateway::encode_base64(key),
            "value": self.value,
            "create_revision": self.created.to_string(),
            "mod_revision": self.modified.to_string(),
            "version": self.version.to_string(),
            "lease": self.lease.to_string(),
        })
    }
}

/// Whether a key is in `start..end`, or equals `start` without an end.
fn in_range(start: &Key, end: Option<&Key>, key: &Key) -> bool {
    end.map_or(key == start, |end| key >= start && key < end)
}
