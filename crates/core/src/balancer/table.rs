//! Lookup tables built from the configuration.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use sassafrasmast_wire::{Address, AgentId, ServiceId};

use crate::config::{Snapshot, ZoneName};

use super::health::Health;

/// Lookup tables of one configuration. The agents' health is shared with the tables of the
/// configurations before and after.
#[derive(Debug)]
pub(super) struct Table {
    /// The configuration this table was built from.
    pub(super) snapshot: Arc<Snapshot>,
    /// Admitted agents.
    pub(super) entries: HashMap<AgentId, Entry>,
    /// Agents that may receive new flows, by service: not draining, and in a zone in service.
    pub(super) eligible: HashMap<ServiceId, Vec<AgentId>>,
    /// Ids of the agents by address.
    pub(super) addresses: HashMap<Address, AgentId>,
    /// All agents, in the order of the round-robin probes.
    pub(super) round_robin_order: Vec<AgentId>,
    zones: HashMap<ZoneName, Arc<ZoneState>>,
}

/// One admitted agent.
#[derive(Debug)]
pub(super) struct Entry {
    /// Service of the upstream.
    pub(super) service: ServiceId,
    /// Address of the agent.
    pub(super) address: Address,
    /// Whether the upstream is in the balancer's availability zone.
    pub(super) in_local_zone: bool,
    /// State of the upstream's availability zone.
    pub(super) zone_state: Arc<ZoneState>,
    health: Arc<Mutex<Health>>,
}

/// State of one availability zone.
#[derive(Debug)]
pub(super) struct ZoneState {
    /// When the configuration came into force by which the zone is out of service; `None` while it is
    /// in service.
    pub(super) out_since: Option<Instant>,
    /// Whether this process was forwarding when it learned that the zone is out of service. If so,
    /// it probably learned that without delay.
    pub(super) learned_while_forwarding: bool,
    /// Time of the last frame from an agent of the zone, in microseconds since the router's start.
    last_report_us: AtomicU64,
}

impl ZoneState {
    /// Records a frame from an agent of the zone, received `elapsed_us` after the router's start.
    pub(super) fn record_report_time(&self, elapsed_us: u64) {
        self.last_report_us.fetch_max(elapsed_us, Ordering::Relaxed);
    }

    /// Time of the last frame from an agent of the zone, in microseconds since the router's start;
    /// 0 before the first.
    pub(super) fn last_report_us(&self) -> u64 {
        self.last_report_us.load(Ordering::Relaxed)
    }

    fn next(
        previous: Option<&Arc<Self>>,
        out_since: Option<Instant>,
        is_forwarding: bool,
    ) -> Arc<Self> {
        Arc::new(Self {
            out_since,
            learned_while_forwarding: previous.is_some_and(|zone_state| {
                zone_state
                    .out_since
                    .map_or(is_forwarding, |_| zone_state.learned_while_forwarding)
            }),
            last_report_us: AtomicU64::new(
                previous.map_or(0, |zone_state| zone_state.last_report_us()),
            ),
        })
    }
}

impl Entry {
    /// Locks and returns the agent's health.
    pub(super) fn health(&self) -> MutexGuard<'_, Health> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    /// Builds the table that replaces `previous`. `is_forwarding` tells whether datagrams are
    /// forwarded now, that is, no hold is in effect.
    pub(super) fn new(
        now: Instant,
        snapshot: Arc<Snapshot>,
        previous: Option<&Self>,
        local_zone: &ZoneName,
        is_forwarding: bool,
    ) -> Self {
        let document = &snapshot.document;
        let mut table = Self {
            snapshot: Arc::clone(&snapshot),
            entries: HashMap::new(),
            eligible: HashMap::new(),
            addresses: HashMap::new(),
            round_robin_order: document.upstreams.keys().copied().collect(),
            zones: HashMap::new(),
        };
        for name in document.zones.keys() {
            let zone_state = previous.and_then(|previous| previous.zones.get(name));
            let out_since = snapshot.zones_out.get(name).copied();
            let zone_state = ZoneState::next(zone_state, out_since, is_forwarding);
            table.zones.insert(name.clone(), zone_state);
        }
        for (&agent, upstream) in &document.upstreams {
            let Some(zone_state) = table.zones.get(&upstream.zone) else {
                continue;
            };
            let known = previous.and_then(|previous| previous.entries.get(&agent));
            let health = match known.filter(|known| known.address == upstream.agent) {
                Some(known) => Arc::clone(&known.health),
                None => Arc::new(Mutex::new(Health::new(now))),
            };
            let entry = Entry {
                service: upstream.service,
                address: upstream.agent,
                in_local_zone: upstream.zone == *local_zone,
                zone_state: Arc::clone(zone_state),
                health,
            };
            if entry.zone_state.out_since.is_none() && !upstream.draining {
                let eligible = table.eligible.entry(upstream.service).or_default();
                eligible.push(agent);
            }
            table.addresses.insert(upstream.agent, agent);
            table.entries.insert(agent, entry);
        }
        table
    }

    /// Whether `agent` was admitted once and then removed. Ids are assigned in ascending order and
    /// never reused, so every lower id that is missing belonged to a removed agent.
    pub(super) fn was_removed(&self, agent: AgentId) -> bool {
        let document = &self.snapshot.document;
        agent < document.next_agent && !document.upstreams.contains_key(&agent)
    }
}
