//! The configuration in the form the router looks things up.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use sassafrasmast_wire::{Address, AgentId, ServiceId};

use crate::config::{Snapshot, Zone, ZoneName};

use super::member::Member;

/// Immutable view of one configuration; members are shared with the views before and after.
#[derive(Debug)]
pub(super) struct Table {
    /// The configuration this view was made from.
    pub(super) snapshot: Arc<Snapshot>,
    /// Admitted agents.
    pub(super) entries: HashMap<AgentId, Entry>,
    /// Agents that may get new flows, by service.
    pub(super) candidates: HashMap<ServiceId, Vec<AgentId>>,
    /// Agents by address.
    pub(super) addresses: HashMap<Address, AgentId>,
    /// All agents in a stable order.
    pub(super) order: Vec<AgentId>,
    zones: HashMap<ZoneName, Arc<ZoneState>>,
}

/// One admitted agent.
#[derive(Debug)]
pub(super) struct Entry {
    /// Service of the upstream.
    pub(super) service: ServiceId,
    /// Address of the agent.
    pub(super) address: Address,
    /// Whether the upstream is in the balancer's zone.
    pub(super) local: bool,
    /// The upstream's zone.
    pub(super) zone_state: Arc<ZoneState>,
    member: Arc<Mutex<Member>>,
}

/// What is known about one zone.
#[derive(Debug)]
pub(super) struct ZoneState {
    /// Since when this process knows that the zone is out.
    pub(super) out_since: Option<Instant>,
    /// Whether this process learnt of it while it was forwarding, so probably at once.
    pub(super) learned_while_forwarding: bool,
    /// When an agent of the zone was last heard, in microseconds since the router's start.
    last_heard_us: AtomicU64,
}

impl ZoneState {
    /// Notes that an agent of the zone was heard.
    pub(super) fn record_heard(&self, elapsed_us: u64) {
        self.last_heard_us.fetch_max(elapsed_us, Ordering::Relaxed);
    }

    /// When an agent of the zone was last heard, in microseconds since the router's start.
    pub(super) fn last_heard_us(&self) -> u64 {
        self.last_heard_us.load(Ordering::Relaxed)
    }

    fn next(
        previous: Option<&Arc<Self>>,
        zone: &Zone,
        now: Instant,
        learned_while_forwarding: bool,
    ) -> Arc<Self> {
        let out_since = previous.and_then(|zone_state| zone_state.out_since);
        Arc::new(Self {
            out_since: zone.out.then(|| out_since.unwrap_or(now)),
            learned_while_forwarding: previous.is_some_and(|zone_state| {
                zone_state.out_since.map_or(learned_while_forwarding, |_| {
                    zone_state.learned_while_forwarding
                })
            }),
            last_heard_us: AtomicU64::new(
                previous.map_or(0, |zone_state| zone_state.last_heard_us()),
            ),
        })
    }
}

impl Entry {
    /// Locks the agent's member.
    pub(super) fn member(&self) -> MutexGuard<'_, Member> {
        self.member.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    /// Makes the view that follows `previous`. `learned_while_forwarding` tells whether datagrams are forwarded now.
    pub(super) fn new(
        now: Instant,
        snapshot: Arc<Snapshot>,
        previous: Option<&Self>,
        local: &ZoneName,
        learned_while_forwarding: bool,
    ) -> Self {
        let document = &snapshot.document;
        let mut table = Self {
            snapshot: Arc::clone(&snapshot),
            entries: HashMap::new(),
            candidates: HashMap::new(),
            addresses: HashMap::new(),
            order: document.upstreams.keys().copied().collect(),
            zones: HashMap::new(),
        };
        for (name, zone) in &document.zones {
            let zone_state = previous.and_then(|previous| previous.zones.get(name));
            let zone_state = ZoneState::next(zone_state, zone, now, learned_while_forwarding);
            table.zones.insert(name.clone(), zone_state);
        }
        for (&agent, upstream) in &document.upstreams {
            let Some(zone_state) = table.zones.get(&upstream.zone) else {
                continue;
            };
            let known = previous.and_then(|previous| previous.entries.get(&agent));
            let member = match known.filter(|known| known.address == upstream.agent) {
                Some(known) => Arc::clone(&known.member),
                None => Arc::new(Mutex::new(Member::new(now))),
            };
            let entry = Entry {
                service: upstream.service,
                address: upstream.agent,
                local: upstream.zone == *local,
                zone_state: Arc::clone(zone_state),
                member,
            };
            if entry.zone_state.out_since.is_none() && !upstream.draining {
                let candidates = table.candidates.entry(upstream.service).or_default();
                candidates.push(agent);
            }
            table.addresses.insert(upstream.agent, agent);
            table.entries.insert(agent, entry);
        }
        table
    }

    /// Whether `agent` was admitted once and is no longer: ids are given out in order and never
    /// again.
    pub(super) fn was_removed(&self, agent: AgentId) -> bool {
        let document = &self.snapshot.document;
        agent < document.next_agent && !document.upstreams.contains_key(&agent)
    }
}
