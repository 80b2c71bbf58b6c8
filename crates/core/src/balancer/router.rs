//! The balancer's router. Its inputs are datagrams, frames from other processes and ticks; its
//! outputs are routes and actions.

mod datagram;
mod frame;

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::StdRng};
use sassafrasmast_wire::{Address, AgentId, Incarnation, Load, ServiceId};

use crate::{Blackboard, config::Snapshot};

use super::{
    Action, Bucket, Counters, Reason, Settings, gate::Gate, placement::Placement, prober::Prober,
    table::Table, throttle::Throttle,
};

/// Maximum size in bytes of a caller's datagram, chosen so that it fits into a frame.
const MAX_DATAGRAM_BYTES: usize = 1_900;

/// Stateless resets per second; also the burst size.
const RESETS_PER_S: u32 = 1_000;

/// Maximum number of a service's agents that one placement checks for a missing first report.
const MAX_UNREPORTED_CHECKS: usize = 8;

/// Routes datagrams, places new flows and probes the agents. All methods take `&self`, so that
/// several workers can share one router.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    blackboard: Arc<Blackboard>,
    counters: Arc<Counters>,
    start: Instant,
    table: RwLock<Option<Arc<Table>>>,
    gate: Gate,
    prober: Prober,
    reset_budget: Mutex<Bucket>,
    pull_throttle: Mutex<Throttle>,
    rng: Mutex<StdRng>,
    trusted_balancers: RwLock<Vec<Address>>,
    placements: AtomicUsize,
}

impl Router {
    /// Creates a router that reads its configuration from `blackboard`.
    pub fn new(now: Instant, settings: Settings, blackboard: Arc<Blackboard>) -> Self {
        let counters = Arc::<Counters>::default();
        Self {
            start: now,
            table: RwLock::new(None),
            gate: Gate::new(now),
            prober: Prober::new(now, &settings, Arc::clone(&counters)),
            counters,
            reset_budget: Mutex::new(Bucket::new(now, RESETS_PER_S, RESETS_PER_S)),
            pull_throttle: Mutex::new(Throttle::default()),
            rng: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            trusted_balancers: RwLock::new(Vec::new()),
            placements: AtomicUsize::new(0),
            settings,
            blackboard,
        }
    }

    /// The router's counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Replaces the addresses of the other balancers, whose config versions are trusted.
    pub fn set_trusted_balancers(&self, balancers: Vec<Address>) {
        *self
            .trusted_balancers
            .write()
            .unwrap_or_else(PoisonError::into_inner) = balancers;
    }

    /// Whether forwarding is held until the configuration is verified.
    pub fn is_held(&self) -> bool {
        self.gate.is_held()
    }

    /// Incarnation and load in the latest report of an agent, if there is one.
    pub fn load(&self, now: Instant, agent: AgentId) -> Option<(Incarnation, Load)> {
        let table = self.table(now)?;
        let health = table.entries.get(&agent)?.health();
        health
            .has_reported()
            .then_some((health.incarnation, health.load))
    }

    /// Age of the latest report of an agent, if there is one.
    pub fn report_age(&self, now: Instant, agent: AgentId) -> Option<Duration> {
        self.table(now)?
            .entries
            .get(&agent)?
            .health()
            .report_age(now)
    }

    /// Does the periodic work: checks whether forwarding must be held, and sends probes. Call it
    /// about every [`Router::TICK`]; a gap of more than one second counts as a pause of this
    /// process.
    pub fn tick(&self, now: Instant, actions: &mut Vec<Action<'_>>) {
        if self.gate.was_paused(now) {
            self.hold(now);
        }
        self.gate.record_tick(now);
        if self.gate.is_isolated(now) && !self.gate.is_held() {
            self.hold(now);
        }
        let Some(table) = self.table(now) else {
            return;
        };
        self.gate.try_end_hold(now, table.snapshot.document.version);
        self.prober
            .charge(now, self.blackboard.take_control_bytes());
        self.prober.tick(now, &table, &self.gate, actions);
    }

    /// Intended time between two calls of [`Router::tick`].
    pub const TICK: Duration = Duration::from_millis(50);

    fn place(
        &self,
        now: Instant,
        table: &Table,
        service: ServiceId,
        excluded: Option<AgentId>,
    ) -> Result<(AgentId, Address), Reason> {
        if self.gate.is_held() {
            return Err(Reason::Held);
        }
        let placement = Placement {
            settings: &self.settings,
            table,
            sequence: self.placements.fetch_add(1, Ordering::Relaxed),
        };
        let agent = placement
            .choose(now, &mut *lock(&self.rng), service, excluded)
            .ok_or(Reason::NoAgent)?;
        self.prioritize_unreported(table, service);
        let entry = table.entries.get(&agent).ok_or(Reason::NoAgent)?;
        let mut health = entry.health();
        health.record_placement(now);
        let newly_prioritized = health.prioritize();
        drop(health);
        if newly_prioritized {
            self.prober.prioritize(agent);
        }
        Ok((agent, entry.address))
    }

    /// Prioritizes probes of agents of `service` that have not reported yet. In a large fleet the
    /// round-robin probes take minutes to reach every agent, and until then all flows of the
    /// service would go to the few agents that have reported.
    fn prioritize_unreported(&self, table: &Table, service: ServiceId) {
        let agents = table.eligible.get(&service).into_iter().flatten();
        for &agent in agents.take(MAX_UNREPORTED_CHECKS) {
            let Some(entry) = table.entries.get(&agent) else {
                continue;
            };
            let mut health = entry.health();
            if !health.has_reported() && health.prioritize() {
                self.prober.prioritize(agent);
            }
        }
    }

    /// Holds forwarding. The agents' silence is measured from now on, because this process was
    /// paused or isolated until now.
    fn hold(&self, now: Instant) {
        if self.gate.start_hold(now, self.prober.next_nonce()) {
            Counters::increment(&self.counters.holds);
        }
        if let Some(table) = self.table(now) {
            for entry in table.entries.values() {
                entry.health().restart_silence(now);
            }
        }
    }

    fn is_trusted_balancer(&self, from: Address) -> bool {
        self.trusted_balancers
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&from)
    }

    fn elapsed_us(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_micros() as u64
    }

    /// The table of the configuration in force, rebuilt after a change.
    fn table(&self, now: Instant) -> Option<Arc<Table>> {
        let config = self.blackboard.config()?;
        let current = self
            .table
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        match current {
            Some(table) if table.snapshot.document.version >= config.document.version => {
                Some(table)
            }
            _ => Some(self.rebuild_table(now, config)),
        }
    }

    fn rebuild_table(&self, now: Instant, config: Arc<Snapshot>) -> Arc<Table> {
        let mut slot = self.table.write().unwrap_or_else(PoisonError::into_inner);
        let previous = slot.take();
        let table = match previous {
            Some(table) if table.snapshot.document.version >= config.document.version => table,
            previous => {
                let zone = &self.settings.zone;
                Arc::new(Table::new(
                    now,
                    config,
                    previous.as_deref(),
                    zone,
                    !self.gate.is_held(),
                ))
            }
        };
        *slot = Some(Arc::clone(&table));
        table
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
