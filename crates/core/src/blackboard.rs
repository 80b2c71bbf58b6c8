//! The blackboard: state that the tasks of one process share.
//!
//! Lock order: `config`, `balancers`, `announcements`, `timeline`. No lock is held across an await
//! point or during a call into another module that takes a lock.

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

/// State shared by the tasks of one process: the configuration in force, the live balancers,
/// announcements of upstreams that are not admitted yet, the event timeline and the number of
/// control bytes sent.
#[derive(Debug)]
pub struct Blackboard {
    config: RwLock<Option<Arc<Snapshot>>>,
    balancers: RwLock<Arc<Vec<Registration>>>,
    announcements: Mutex<BTreeMap<Address, Announcement>>,
    timeline: Mutex<Ring>,
    control_bytes: AtomicU64,
}

impl Blackboard {
    /// An empty blackboard whose timeline keeps the last `event_capacity` events, at least one.
    pub fn new(event_capacity: usize) -> Self {
        Self {
            config: RwLock::new(None),
            balancers: RwLock::new(Arc::default()),
            announcements: Mutex::new(BTreeMap::new()),
            timeline: Mutex::new(Ring::new(event_capacity)),
            control_bytes: AtomicU64::new(0),
        }
    }

    /// The configuration in force; `None` until one was received.
    pub fn config(&self) -> Option<Arc<Snapshot>> {
        self.config
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> ConfigVersion {
        self.config()
            .map_or(0, |snapshot| snapshot.document.version)
    }

    /// Puts a configuration in force. Returns `false` and changes nothing unless its version is
    /// higher than the one in force: a configuration never reverts. Announcements of agents that
    /// it admits are dropped, so that they do not reappear as pending when the agent is removed.
    pub fn install(&self, now: Instant, mut snapshot: Snapshot) -> bool {
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
            snapshot.date_zones_out(now, config.as_deref());
            *config = Some(Arc::new(snapshot));
        }
        newer
    }

    /// Live balancers, identified by their listen address.
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

    /// Stores an announcement, replacing an earlier one from the same agent address. Returns
    /// `false` if it comes from an older incarnation than a live one or the table is full of live
    /// announcements. A process whose clock was set back is admitted once the other one has expired.
    pub fn insert_announcement(&self, now: Instant, announcement: Announcement) -> bool {
        let mut table = self
            .announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match table.get(&announcement.agent) {
            Some(known) if known.incarnation > announcement.incarnation && known.is_live(now) => {
                return false;
            }
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

    /// Removes the announcement of the agent at `address` once the agent is admitted.
    pub fn remove_announcement(&self, address: Address) {
        self.announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
    }

    /// Live announcements of upstreams that are not admitted yet.
    pub fn announcements(&self, now: Instant) -> Vec<Announcement> {
        self.announcements
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .values()
            .filter(|announcement| announcement.is_live(now))
            .cloned()
            .collect()
    }

    /// Counts control bytes: the bytes of frames sent between processes other than the packets of
    /// flows, IP and UDP headers included. They are charged to the budget of traffic that can be
    /// deferred, such as probes.
    pub fn add_control_bytes(&self, bytes: u64) {
        self.control_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Control bytes counted since the last call.
    pub fn take_control_bytes(&self) -> u64 {
        self.control_bytes.swap(0, Ordering::Relaxed)
    }

    /// Appends an event to the timeline.
    pub fn record(&self, event: Event) {
        self.timeline
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(event);
    }

    /// Copies the events with a number above `after`, oldest first.
    pub fn events(&self, after: u64) -> Vec<(u64, Event)> {
        self.timeline
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .after(after)
    }
}
