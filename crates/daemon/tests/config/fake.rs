//! A fake store in memory with fault injection.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use async_trait::async_trait;
use sassafrasmastd::store::{
    Compare, Entry, Error, LeaseId, Listing, Range, Revision, Store, Txn, TxnResult, Update, Watch,
};
use tokio::sync::mpsc;

/// Updates buffered for one watch.
const MAX_BUFFERED_UPDATES: usize = 256;

/// The fake store. Tests set its faults.
#[derive(Debug, Default)]
pub struct FakeStore {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    revision: Revision,
    entries: BTreeMap<String, Entry>,
    watches: Vec<(Range, mpsc::Sender<Result<Update, Error>>)>,
    leases: LeaseId,
    down: bool,
    /// Transactions that take effect and whose reply is lost.
    lose_replies: u32,
    /// Whether watches get no updates.
    mute: bool,
    /// Whether the store goes down with the next lost reply.
    down_after_loss: bool,
}

impl FakeStore {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no test panicked with the lock")
    }

    /// Takes the store down, which breaks all watches, or brings it back.
    pub fn set_down(&self, down: bool) {
        self.state().set_down(down);
    }

    /// Sends no updates to watches while `mute` is set, as if the store went down directly after a
    /// write.
    pub fn set_mute(&self, mute: bool) {
        self.state().mute = mute;
    }

    /// The next transaction takes effect, but its reply is lost; the store may go down with it.
    pub fn lose_reply(&self, then_down: bool) {
        let mut state = self.state();
        state.lose_replies = 1;
        state.down_after_loss = then_down;
    }

    /// Value of a key.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.state()
            .entries
            .get(key)
            .map(|entry| entry.value.clone())
    }

    /// All keys and values.
    pub fn dump(&self) -> Vec<(String, Vec<u8>)> {
        let state = self.state();
        let all = state.entries.iter();
        all.map(|(key, entry)| (key.clone(), entry.value.clone()))
            .collect()
    }

    /// Replaces everything, as if the platform restored an old backup.
    pub fn restore(&self, dump: Vec<(String, Vec<u8>)>) {
        let mut state = self.state();
        state.entries.clear();
        for (key, value) in dump {
            state.revision += 1;
            state.put(key, value, None);
        }
    }
}

impl State {
    fn set_down(&mut self, down: bool) {
        self.down = down;
        if down {
            for (_, watch) in self.watches.drain(..) {
                let _ = watch.try_send(Err(unreachable()));
            }
        }
    }

    fn check(&self) -> Result<(), Error> {
        if self.down {
            Err(unreachable())
        } else {
            Ok(())
        }
    }

    fn put(&mut self, key: String, value: Vec<u8>, lease: Option<LeaseId>) {
        let entry = Entry {
            key: key.clone(),
            value,
            create_revision: self.revision,
            mod_revision: self.revision,
            lease,
        };
        self.entries.insert(key, entry.clone());
        self.notify_watches(&entry.key.clone(), Update::Put(entry));
    }

    fn notify_watches(&mut self, key: &str, update: Update) {
        if self.mute {
            return;
        }
        self.watches.retain(|(range, watch)| {
            !covers(range, key) || watch.try_send(Ok(update.clone())).is_ok()
        });
    }

    fn holds(&self, compare: &Compare) -> bool {
        match compare {
            Compare::Absent(key) => !self.entries.contains_key(key),
            Compare::ModRevision(key, revision) => self
                .entries
                .get(key)
                .is_some_and(|e| e.mod_revision == *revision),
            Compare::CreateRevision(key, revision) => self
                .entries
                .get(key)
                .is_some_and(|e| e.create_revision == *revision),
        }
    }
}

fn unreachable() -> Error {
    Error::Unreachable("the store is down".to_owned())
}

fn covers(range: &Range, key: &str) -> bool {
    match range {
        Range::Key(own) => own == key,
        Range::Prefix(prefix) => key.starts_with(prefix),
    }
}

#[async_trait]
impl Store for FakeStore {
    async fn range(&self, range: Range) -> Result<Listing, Error> {
        let state = self.state();
        state.check()?;
        let found = state.entries.values().filter(|e| covers(&range, &e.key));
        Ok(Listing {
            revision: state.revision,
            entries: found.cloned().collect(),
        })
    }

    async fn txn(&self, txn: Txn) -> Result<TxnResult, Error> {
        let mut state = self.state();
        state.check()?;
        let succeeded = txn.compares.iter().all(|compare| state.holds(compare));
        if succeeded {
            state.revision += 1;
            for put in txn.puts {
                state.put(put.key, put.value, put.lease);
            }
            for key in txn.deletes {
                if state.entries.remove(&key).is_some() {
                    let revision = state.revision;
                    let update = Update::Delete {
                        key: key.clone(),
                        revision,
                    };
                    state.notify_watches(&key, update);
                }
            }
        }
        if state.lose_replies > 0 {
            state.lose_replies -= 1;
            if state.down_after_loss {
                state.set_down(true);
            }
            return Err(unreachable());
        }
        Ok(TxnResult {
            succeeded,
            revision: state.revision,
        })
    }

    async fn grant(&self, _ttl: Duration) -> Result<LeaseId, Error> {
        let mut state = self.state();
        state.check()?;
        state.leases += 1;
        Ok(state.leases)
    }

    async fn keep_alive(&self, _lease: LeaseId) -> Result<Duration, Error> {
        self.state().check()?;
        Ok(Duration::from_secs(15))
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), Error> {
        let mut state = self.state();
        state.check()?;
        state.revision += 1;
        let revision = state.revision;
        let owned = state.entries.values().filter(|e| e.lease == Some(lease));
        let keys: Vec<_> = owned.map(|entry| entry.key.clone()).collect();
        for key in keys {
            state.entries.remove(&key);
            let update = Update::Delete {
                key: key.clone(),
                revision,
            };
            state.notify_watches(&key, update);
        }
        Ok(())
    }

    async fn watch(&self, range: Range, from: Revision) -> Result<Watch, Error> {
        let mut state = self.state();
        state.check()?;
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_UPDATES);
        let missed = state.entries.values();
        for entry in missed.filter(|e| covers(&range, &e.key) && e.mod_revision >= from) {
            let _ = sender.try_send(Ok(Update::Put(entry.clone())));
        }
        state.watches.push((range, sender));
        Ok(receiver)
    }
}
