//! What became of the requests with keys.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use crate::{error::Kind, timeline::RequestId};

use super::{Digest, Key, Nonce, NonceSet, StoredAnswer};

/// What is known about one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// A request of this agent holds the key and waits or runs.
    Live(RequestId),
    /// A run ended with a whole answer, kept if there was room.
    Ran(Option<Arc<StoredAnswer>>),
    /// The request was refused and will never run.
    NotRun(Kind),
    /// A run ended without a whole answer.
    Unknown(Kind),
    /// No request holds the key; an earlier claim may or may not have taken effect.
    Unsettled,
}

/// Record of a key with what belongs to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Digest of the request that came first with the key.
    pub digest: Digest,
    /// What is known.
    pub record: Record,
    /// Nonce of the claim and when it was first asked for; minted keys only.
    pub claim: Option<(Nonce, Instant)>,
    /// Whether the claim is known to be ours.
    pub ours: bool,
    /// Another request was told that it never runs, as it came with this key.
    reused: bool,
    expires: Instant,
    /// Place in the order of kept answers.
    answer_number: Option<u64>,
}

/// A bounded table of keys. An entry stays until it expires; there is no eviction, so a full
/// table refuses new keys. Tickets refused for want of room are covered by a floor: ticket nonces
/// grow, and no unrecorded ticket at or below the floor runs any more, so "not run" stays true
/// without a record.
#[derive(Debug, Clone)]
pub struct Registry {
    entries: BTreeMap<Key, Entry>,
    expiries: BTreeSet<(Instant, Key)>,
    capacity: usize,
    /// Kept answers, oldest first.
    answers_by_age: BTreeMap<u64, Key>,
    answer_count: u64,
    answer_bytes: usize,
    max_answer_bytes: usize,
    refused_up_to: Option<u64>,
    used: NonceSet,
}

impl Registry {
    /// An empty table of `capacity` keys and `max_answer_bytes` bytes of answers.
    pub fn new(capacity: usize, max_answer_bytes: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            capacity,
            answers_by_age: BTreeMap::new(),
            answer_count: 0,
            answer_bytes: 0,
            max_answer_bytes,
            refused_up_to: None,
            used: NonceSet::default(),
        }
    }

    /// Keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of the kept answers.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// What is known about a key.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Whether an unrecorded ticket with this nonce was given up for want of room.
    pub fn is_refused(&self, nonce: u64) -> bool {
        self.refused_up_to.is_some_and(|last| nonce <= last)
    }

    /// Gives up all unrecorded tickets up to this nonce.
    pub fn refuse_up_to(&mut self, nonce: u64) {
        self.refused_up_to = self.refused_up_to.max(Some(nonce));
    }

    /// Whether a ticket with this nonce was ever held; `None` if that is no longer known.
    pub fn was_used(&self, nonce: u64) -> Option<bool> {
        self.used.get(nonce)
    }

    /// Records that a request holds a key that has no entry. Returns `false` if the table is
    /// full.
    pub fn hold(&mut self, key: Key, digest: Digest, run: RequestId, expires: Instant) -> bool {
        if self.entries.len() >= self.capacity {
            return false;
        }
        let entry = Entry {
            digest,
            record: Record::Live(run),
            claim: None,
            ours: false,
            reused: false,
            expires,
            answer_number: None,
        };
        if let Key::Ticket(ticket) = &key {
            self.used.insert(ticket.nonce);
        }
        self.expiries.insert((expires, key.clone()));
        self.entries.insert(key, entry);
        true
    }

    /// Changes what is known about a key.
    pub fn set(&mut self, key: &Key, record: Record) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        self.answer_bytes -= entry.record.bytes();
        if let Some(number) = entry.answer_number.take() {
            self.answers_by_age.remove(&number);
        }
        entry.record = record;
        let bytes = entry.record.bytes();
        if bytes > 0 {
            self.answer_count += 1;
            self.answer_bytes += bytes;
            entry.answer_number = Some(self.answer_count);
            self.answers_by_age.insert(self.answer_count, key.clone());
            self.evict_answers();
        }
    }

    /// Notes the claim of a minted key; an earlier one stays.
    pub fn record_claim(&mut self, key: &Key, nonce: Nonce, now: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.claim.get_or_insert((nonce, now));
        }
    }

    /// Notes that the claim of a key is ours.
    pub fn mark_ours(&mut self, key: &Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.ours = true;
        }
    }

    /// Notes that another request with this key is refused for good.
    pub fn mark_reused(&mut self, key: &Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.reused = true;
        }
    }

    /// Gives back a key whose request ended before it could run. It may be used again, unless
    /// another request was refused for good because of it.
    pub fn release(&mut self, key: &Key, kind: Kind) {
        match self.entries.get(key) {
            Some(entry) if entry.reused => self.set(key, Record::NotRun(kind)),
            _ => self.remove(key),
        }
    }

    /// Removes the entry of a key.
    fn remove(&mut self, key: &Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.answer_bytes -= entry.record.bytes();
            self.expiries.remove(&(entry.expires, key.clone()));
            if let Some(number) = entry.answer_number {
                self.answers_by_age.remove(&number);
            }
        }
    }

    /// Drops entries that expired, but for those that a request still holds.
    pub fn remove_expired(&mut self, now: Instant) {
        let expired = self.expiries.iter().take_while(|(at, _)| *at <= now);
        let keys: Vec<Key> = expired
            .filter(|(_, key)| !self.is_live(key))
            .map(|(_, key)| key.clone())
            .collect();
        for key in &keys {
            self.remove(key);
        }
    }

    fn is_live(&self, key: &Key) -> bool {
        let entry = self.entries.get(key);
        entry.is_some_and(|entry| matches!(entry.record, Record::Live(_)))
    }

    /// Drops the oldest kept answers, not what is known about their keys.
    fn evict_answers(&mut self) {
        while self.answer_bytes > self.max_answer_bytes {
            let Some((_, key)) = self.answers_by_age.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&key) {
                self.answer_bytes -= entry.record.bytes();
                entry.answer_number = None;
                entry.record = Record::Ran(None);
            }
        }
    }
}

impl Record {
    fn bytes(&self) -> usize {
        match self {
            Self::Ran(Some(answer)) => answer.bytes(),
            _ => 0,
        }
    }
}
