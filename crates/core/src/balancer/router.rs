//! The balancer's state machine.

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

use crate::{SharedState, config::Snapshot};

use super::{
    Action, Bucket, Counters, Reason, Settings, gate::Gate, peers::Peers, placement::Placement,
    prober::Prober, table::Table,
};

/// Largest datagram of a caller in bytes; it still fits into a frame.
const MAX_DATAGRAM_BYTES: usize = 1_900;

/// Stateless resets a second, and at once.
const RESET_RATE: u32 = 1_000;

/// Agents of a service that are looked at for never having been heard.
const EXPLORED: usize = 8;

/// Routes datagrams, places new flows and watches the agents. All methods take `&self`, so a
/// pool of workers shares one router.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    blackboard: Arc<SharedState>,
    counters: Arc<Counters>,
    start: Instant,
    table: RwLock<Option<Arc<Table>>>,
    gate: Gate,
    prober: Prober,
    resets: Mutex<Bucket>,
    pulls: Mutex<Peers>,
    rng: Mutex<StdRng>,
    trusted: RwLock<Vec<Address>>,
    turn: AtomicUsize,
}

impl Router {
    /// A router that takes its configuration from `blackboard`.
    pub fn new(now: Instant, settings: Settings, blackboard: Arc<SharedState>) -> Self {
        let counters = Arc::<Counters>::default();
        Self {
            start: now,
            table: RwLock::new(None),
            gate: Gate::new(now),
            prober: Prober::new(now, &settings, Arc::clone(&counters)),
            counters,
            resets: Mutex::new(Bucket::new(now, RESET_RATE, RESET_RATE)),
            pulls: Mutex::new(Peers::default()),
            rng: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            trusted: RwLock::new(Vec::new()),
            turn: AtomicUsize::new(0),
            settings,
            blackboard,
        }
    }

    /// The router's counters.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Names the other balancers, whose frames may tell of a newer configuration.
    pub fn trust(&self, peers: Vec<Address>) {
        *self.trusted.write().unwrap_or_else(PoisonError::into_inner) = peers;
    }

    /// Whether forwarding is held until the configuration is verified.
    pub fn is_held(&self) -> bool {
        self.gate.is_held()
    }

    /// Latest report of an agent and its incarnation, once it was heard.
    pub fn load(&self, now: Instant, agent: AgentId) -> Option<(Incarnation, Load)> {
        let table = self.table(now)?;
        let member = table.entries.get(&agent)?.member();
        member
            .is_known()
            .then_some((member.incarnation, member.load))
    }

    /// Age of the latest report of an agent, once it was heard.
    pub fn age(&self, now: Instant, agent: AgentId) -> Option<Duration> {
        self.table(now)?.entries.get(&agent)?.member().age(now)
    }

    /// Does what is due. To be called every [`Router::TICK`] or so; a longer gap counts as a
    /// pause of this process.
    pub fn tick(&self, now: Instant, actions: &mut Vec<Action<'_>>) {
        if self.gate.was_paused(now) {
            self.hold(now);
        }
        self.gate.tick(now);
        if self.gate.lost_touch(now) && !self.gate.is_held() {
            self.hold(now);
        }
        let Some(table) = self.table(now) else {
            return;
        };
        self.gate.release(now, table.snapshot.document.version);
        self.prober
            .charge(now, self.blackboard.take_control_bytes());
        self.prober.tick(now, &table, &self.gate, actions);
    }

    /// Time between two calls of [`Router::tick`].
    pub const TICK: Duration = Duration::from_millis(50);

    fn place(
        &self,
        now: Instant,
        table: &Table,
        service: ServiceId,
        refuser: Option<AgentId>,
    ) -> Result<(AgentId, Address), Reason> {
        if self.gate.is_held() {
            return Err(Reason::Held);
        }
        let placement = Placement {
            settings: &self.settings,
            table,
            turn: self.turn.fetch_add(1, Ordering::Relaxed),
        };
        let agent = placement
            .choose(now, &mut *lock(&self.rng), service, refuser)
            .ok_or(Reason::NoAgent)?;
        self.explore(table, service);
        let entry = table.entries.get(&agent).ok_or(Reason::NoAgent)?;
        let mut member = entry.member();
        member.place(now);
        let heat = member.warm();
        drop(member);
        if heat {
            self.prober.heat(agent);
        }
        Ok((agent, entry.address))
    }

    /// Has agents of a service in use probed soon that were never heard: the idle round of a large
    /// fleet takes minutes, and until then all flows would go to the few that are known.
    fn explore(&self, table: &Table, service: ServiceId) {
        let agents = table.candidates.get(&service).into_iter().flatten();
        for &agent in agents.take(EXPLORED) {
            let Some(entry) = table.entries.get(&agent) else {
                continue;
            };
            let mut member = entry.member();
            if !member.is_known() && member.warm() {
                self.prober.heat(agent);
            }
        }
    }

    /// Holds forwarding; silence so far is not the agents' fault.
    fn hold(&self, now: Instant) {
        if self.gate.hold(now, self.prober.next_nonce()) {
            Counters::add(&self.counters.holds);
        }
        if let Some(table) = self.table(now) {
            for entry in table.entries.values() {
                entry.member().forgive(now);
            }
        }
    }

    fn trusts(&self, from: Address) -> bool {
        self.trusted
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .contains(&from)
    }

    fn micros(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_micros() as u64
    }

    /// The view of the configuration in force, made anew after it changed.
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
            _ => Some(self.renew(now, config)),
        }
    }

    fn renew(&self, now: Instant, config: Arc<Snapshot>) -> Arc<Table> {
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
