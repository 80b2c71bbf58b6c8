//! Registry of idempotency keys and the results of their requests.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Instant,
};

use crate::{error::Kind, timeline::RequestId};

use super::{Digest, Key, Nonce, StoredAnswer, UsedTicketNonces};

/// State of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// A request of this agent holds the key; it waits or runs.
    Live(RequestId),
    /// A run ended with a complete answer, which is stored if there is room.
    Ran(Option<Arc<StoredAnswer>>),
    /// The request was refused and never runs.
    NotRun(Kind),
    /// The request may have run: its run ended without a complete answer, or another agent claimed
    /// the key.
    Unknown(Kind),
    /// No request holds the key, and none with it ran here; its claim was requested and may be in
    /// the store.
    Unsettled,
}

/// Entry of a key in the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Digest of the first request with the key.
    pub digest: Digest,
    /// State of the key.
    pub record: Record,
    /// Nonce of the claim and when it was first requested; minted keys only.
    pub claim: Option<(Nonce, Instant)>,
    /// Whether this agent is known to hold the claim.
    pub ours: bool,
    /// Whether a different request with this key was answered that it never runs.
    reused: bool,
    expires: Instant,
    /// Number of the stored answer in [`Registry::answers_by_age`].
    answer_number: Option<u64>,
}

/// A bounded table of keys. Entries stay until they expire, or until their request ends before it
/// could run. They are never evicted for room, so a full table refuses new keys. For tickets
/// refused that way only the highest nonce is stored: no ticket up to it that has no entry runs any
/// more, so that the outcome "not run" stays true without an entry. Nonces increase, so newer
/// tickets are not affected.
#[derive(Debug, Clone)]
pub struct Registry {
    entries: BTreeMap<Key, Entry>,
    expiries: BTreeSet<(Instant, Key)>,
    capacity: usize,
    /// Keys with stored answers by number, oldest first.
    answers_by_age: BTreeMap<u64, Key>,
    /// Number of the latest stored answer.
    answer_count: u64,
    answer_bytes: usize,
    max_answer_bytes: usize,
    /// Highest nonce of the tickets refused because the table was full.
    refused_up_to: Option<u64>,
    /// Nonces of all tickets that ever had an entry.
    used_ticket_nonces: UsedTicketNonces,
}

impl Registry {
    /// Creates an empty table of at most `capacity` keys and `max_answer_bytes` of stored answers.
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
            used_ticket_nonces: UsedTicketNonces::default(),
        }
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Size of the stored answers in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// The entry of a key.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Whether a ticket with this nonce and without an entry must not run, as it, or a later one,
    /// was refused when the table was full.
    pub fn is_refused(&self, nonce: u64) -> bool {
        self.refused_up_to.is_some_and(|last| nonce <= last)
    }

    /// Refuses all tickets up to this nonce that have no entry.
    pub fn refuse_up_to(&mut self, nonce: u64) {
        self.refused_up_to = self.refused_up_to.max(Some(nonce));
    }

    /// Whether a ticket with this nonce ever had an entry; `None` if that is no longer known.
    pub fn was_used(&self, nonce: u64) -> Option<bool> {
        self.used_ticket_nonces.get(nonce)
    }

    /// Adds an entry for a key that has none, held by the request `holder`. Returns `false` if the
    /// table is full.
    pub fn hold(&mut self, key: Key, digest: Digest, holder: RequestId, expires: Instant) -> bool {
        if self.entries.len() >= self.capacity {
            return false;
        }
        let entry = Entry {
            digest,
            record: Record::Live(holder),
            claim: None,
            ours: false,
            reused: false,
            expires,
            answer_number: None,
        };
        if let Key::Ticket(ticket) = &key {
            self.used_ticket_nonces.insert(ticket.nonce);
        }
        self.expiries.insert((expires, key.clone()));
        self.entries.insert(key, entry);
        true
    }

    /// Changes the state of a key.
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

    /// Records the claim of a minted key, unless an earlier one is recorded.
    pub fn record_claim(&mut self, key: &Key, nonce: Nonce, now: Instant) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.claim.get_or_insert((nonce, now));
        }
    }

    /// Records that this agent holds the claim of a key.
    pub fn mark_ours(&mut self, key: &Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.ours = true;
        }
    }

    /// Records that a different request with this key was answered that it never runs.
    pub fn mark_reused(&mut self, key: &Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.reused = true;
        }
    }

    /// Frees a key whose request ended before it could run, so that the key may be used again. If a
    /// different request was answered that it never runs because of the key, it stays refused.
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

    /// Removes expired entries, except those that a request still holds.
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

    /// Drops the oldest stored answers until the rest fits into `max_answer_bytes`. The entries of
    /// their keys stay.
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
