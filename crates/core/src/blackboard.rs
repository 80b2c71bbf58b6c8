//! What the controllers of one process share.
//!
//! Lock order: `config`, `balancers`, `announcements`, `timeline`. No lock is held across an await
//! point or while calling into another module that takes a lock.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use sassafrasmast_wire::{Address, ConfigVersion};

use crate::{
    Announcement,
    announcement::MAX_ANNOUNCEMENTS,
    config::{Registration, Snapshot},
    timeline::{Event, Ring},
};

/// Shared state of one process that controllers read and write.
#[derive(Debug)]
pub struct Blackboard {
    config: RwLock<Option<Arc<Snapshot>>>,
    balancers: RwLock<Arc<Vec<Registration>>>,
    announcements: Mutex<BTreeMap<Address, Announcement>>,
    timeline: Mutex<Ring>,
    spent: AtomicU64,
}

impl Blackboard {
    /// An empty blackboard whose time line keeps `events` events.
    pub fn new(events: usize) -> Self {
        Self {
            config: RwLock::new(None),
            balancers: RwLock::new(Arc::default()),
            announcements: Mutex::new(BTreeMap::new()),
            timeline: Mutex::new(Ring::new(events)),
            spent: AtomicU64::new(0),
        }
    }

    /// The configuration in force, if any was received yet.
    pub fn config(&self) -> Option<Arc<Snapshot>> {
        self.config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Version of the configuration in force; 0 without one.
    pub fn version(&self) -> ConfigVersion {
        self.config()
            .map_or(0, |snapshot| snapshot.document.version)
    }

    /// Puts a configuration in force. Returns `false` and changes nothing unless its version is
    /// higher than the one in force: a configuration never reverts. Announcements of agents that
    /// it admits are forgotten, lest they are shown again when the agent is removed.
    pub fn install(&self, snapshot: Snapshot) -> bool {
        let mut config = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let current = config
            .as_ref()
            .map_or(0, |current| current.document.version);
        let newer = snapshot.document.version > current;
        if newer {
            let upstreams = snapshot.document.upstreams.values();
            let admitted: BTreeSet<_> = upstreams.map(|upstream| upstream.agent).collect();
            self.announcements
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .retain(|agent, _| !admitted.contains(agent));
            *config = Some(Arc::new(snapshot));
        }
        newer
    }

    /// Balancers known to be live, by the address they listen on.
    pub fn balancers(&self) -> Arc<Vec<Registration>> {
        self.balancers
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the list of live balancers.
    pub fn set_balancers(&self, balancers: Vec<Registration>) {
        *self
            .balancers
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(balancers);
    }

    /// Remembers an announcement, replacing an older one of the same agent's address. Returns
    /// `false` if it comes from an older incarnation or the table is full of live ones.
    pub fn announce(&self, now: Instant, announcement: Announcement) -> bool {
        let mut table = self
            .announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match table.get(&announcement.agent) {
            Some(known) if known.incarnation > announcement.incarnation => return false,
            Some(_) => {}
            None if table.len() >= MAX_ANNOUNCEMENTS => table.retain(|_, known| known.is_live(now)),
            None => {}
        }
        if table.len() >= MAX_ANNOUNCEMENTS && !table.contains_key(&announcement.agent) {
            return false;
        }
        table.insert(announcement.agent, announcement);
        true
    }

    /// Forgets the announcement of the agent at `address`: it was admitted.
    pub fn admitted(&self, address: Address) {
        self.announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
    }

    /// Upstreams that announced themselves lately and are not admitted yet.
    pub fn announcements(&self, now: Instant) -> Vec<Announcement> {
        self.announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .values()
            .filter(|announcement| announcement.is_live(now))
            .cloned()
            .collect()
    }

    /// Notes control bytes that were sent, headers included, so that whoever has a choice sends
    /// less.
    pub fn spend(&self, bytes: u64) {
        self.spent.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Control bytes noted since the last call.
    pub fn take_spent(&self) -> u64 {
        self.spent.swap(0, Ordering::Relaxed)
    }

    /// Appends an event to the time line.
    pub fn record(&self, event: Event) {
        self.timeline
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(event);
    }

    /// Copies the events after sequence number `after`, oldest first.
    pub fn events(&self, after: u64) -> Vec<(u64, Event)> {
        self.timeline
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .after(after)
    }
}
