//! Selection of the agents to probe for their load, within a budget of control bytes.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    time::Instant,
};

use sassafrasmast_wire::{Address, AgentId, Body};

use super::{
    Action, Bucket, Counters, Settings,
    gate::Gate,
    table::{Entry, Table},
    throttle::Throttle,
};

/// Bytes of an IPv4 and a UDP header, added to the size of each control frame.
pub(super) const IPV4_UDP_HEADER_BYTES: u64 = 28;

/// Bytes charged for a probe, headers included. The encoded probe is smaller.
const PROBE_BYTES: u32 = 60;

/// Bytes of the budget that must be available to send a probe, so that its answer fits too.
const PROBE_ROUND_TRIP_BYTES: u32 = 2 * PROBE_BYTES;

/// Bytes charged for a `Hello` frame, headers included; its maximum size.
const HELLO_BYTES: u32 = IPV4_UDP_HEADER_BYTES as u32 + 12;

/// Maximum number of agents that one round-robin pass examines.
const MAX_SCANNED_AGENTS: usize = 64;

/// Maximum number of agents in one round of probes for a newer configuration during a hold.
const PROBES_PER_HOLD_ROUND: usize = 4;

/// Sends the probes and `Hello` frames of one router within its budget of control bytes.
#[derive(Debug)]
pub(super) struct Prober {
    counters: Arc<Counters>,
    priority: Mutex<Vec<AgentId>>,
    budget: Mutex<Bucket>,
    hello_throttle: Mutex<Throttle>,
    nonce: AtomicU32,
    round_robin_position: AtomicUsize,
}

impl Prober {
    /// Creates a prober with the budget of `settings`.
    pub(super) fn new(now: Instant, settings: &Settings, counters: Arc<Counters>) -> Self {
        let budget = Bucket::new(
            now,
            settings.control_bytes_per_s,
            settings.control_burst_bytes,
        );
        Self {
            counters,
            priority: Mutex::new(Vec::new()),
            budget: Mutex::new(budget),
            hello_throttle: Mutex::new(Throttle::default()),
            nonce: AtomicU32::new(1),
            round_robin_position: AtomicUsize::new(0),
        }
    }

    /// Nonce of the next probe.
    pub(super) fn next_nonce(&self) -> u32 {
        self.nonce.load(Ordering::Relaxed)
    }

    /// Adds an agent to the priority list. Its health must be marked as prioritized.
    pub(super) fn prioritize(&self, agent: AgentId) {
        lock(&self.priority).push(agent);
    }

    /// Counts control bytes that were already sent or received, headers included, and charges them
    /// to the budget.
    pub(super) fn charge(&self, now: Instant, bytes: u64) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        Counters::add(&self.counters.control_bytes, bytes);
        lock(&self.budget).charge(now, bytes);
    }

    /// Sends the local config version to a process that has an older one, within the budget and the
    /// rate limit for that process.
    pub(super) fn send_hello(&self, now: Instant, to: Address, actions: &mut Vec<Action<'_>>) {
        if !lock(&self.budget).has(now, HELLO_BYTES) || !lock(&self.hello_throttle).allow(now, to) {
            return;
        }
        lock(&self.budget).charge(now, HELLO_BYTES);
        Counters::add(&self.counters.control_bytes, HELLO_BYTES);
        let body = Body::Hello;
        actions.push(Action::Send { to, body });
    }

    /// Sends the probes that are due: to prioritized agents first, then round robin to all agents
    /// with the remaining budget.
    pub(super) fn tick(
        &self,
        now: Instant,
        table: &Table,
        gate: &Gate,
        actions: &mut Vec<Action<'_>>,
    ) {
        if gate.is_held() && gate.start_probe_round(now) {
            self.probe_for_version(now, table, gate, actions);
        }
        self.probe_prioritized(now, table, gate, actions);
        self.probe_round_robin(now, table, gate, actions);
    }

    /// Probes the prioritized agents that are due, in descending order of: any datagrams since the
    /// last probe, changed state or limit, number of datagrams since the last probe.
    fn probe_prioritized(
        &self,
        now: Instant,
        table: &Table,
        gate: &Gate,
        actions: &mut Vec<Action<'_>>,
    ) {
        let priority = std::mem::take(&mut *lock(&self.priority));
        let mut due = Vec::new();
        for agent in priority {
            let Some(entry) = table.entries.get(&agent) else {
                continue;
            };
            let mut health = entry.health();
            if entry.zone_state.out_since.is_none() && health.is_probe_due(now) {
                due.push((
                    health.datagrams_since_probe > 0,
                    health.state_or_limit_changed,
                    health.datagrams_since_probe,
                    agent,
                ));
            } else {
                health.prioritized = false;
            }
        }
        due.sort_unstable_by(|a, b| b.cmp(a));
        let mut rest = due.into_iter().map(|(.., agent)| agent);
        for agent in rest.by_ref() {
            if !self.probe(now, table, gate, agent, actions) {
                lock(&self.priority).push(agent);
                break;
            }
            if let Some(entry) = table.entries.get(&agent) {
                entry.health().prioritized = false;
            }
        }
        lock(&self.priority).extend(rest);
    }

    fn probe_round_robin(
        &self,
        now: Instant,
        table: &Table,
        gate: &Gate,
        actions: &mut Vec<Action<'_>>,
    ) {
        for _ in 0..MAX_SCANNED_AGENTS.min(table.round_robin_order.len()) {
            let agent = self.next_round_robin(table);
            let is_due = |entry: &Entry| {
                entry.zone_state.out_since.is_none() && entry.health().is_probe_due(now)
            };
            if !table.entries.get(&agent).is_some_and(is_due) {
                continue;
            }
            if !self.probe(now, table, gate, agent, actions) {
                self.round_robin_position.fetch_sub(1, Ordering::Relaxed);
                return;
            }
        }
    }

    /// Probes some agents for their config version, regardless of the budget.
    fn probe_for_version(
        &self,
        now: Instant,
        table: &Table,
        gate: &Gate,
        actions: &mut Vec<Action<'_>>,
    ) {
        let mut remaining = PROBES_PER_HOLD_ROUND;
        for _ in 0..MAX_SCANNED_AGENTS.min(table.round_robin_order.len()) {
            let agent = self.next_round_robin(table);
            let in_service = |entry: &Entry| entry.zone_state.out_since.is_none();
            if remaining == 0 || !table.entries.get(&agent).is_some_and(in_service) {
                continue;
            }
            remaining -= 1;
            lock(&self.budget).charge(now, PROBE_BYTES);
            self.send_probe(now, table, gate, agent, actions);
        }
    }

    fn next_round_robin(&self, table: &Table) -> AgentId {
        let position = self.round_robin_position.fetch_add(1, Ordering::Relaxed);
        table.round_robin_order[position % table.round_robin_order.len()]
    }

    /// Probes an agent if the budget allows it. Returns whether the probe was sent.
    fn probe(
        &self,
        now: Instant,
        table: &Table,
        gate: &Gate,
        agent: AgentId,
        actions: &mut Vec<Action<'_>>,
    ) -> bool {
        let mut budget = lock(&self.budget);
        let enough = budget.has(now, PROBE_ROUND_TRIP_BYTES);
        if enough {
            budget.charge(now, PROBE_BYTES);
            drop(budget);
            self.send_probe(now, table, gate, agent, actions);
        }
        enough
    }

    fn send_probe(
        &self,
        now: Instant,
        table: &Table,
        gate: &Gate,
        agent: AgentId,
        actions: &mut Vec<Action<'_>>,
    ) {
        let Some(entry) = table.entries.get(&agent) else {
            return;
        };
        entry.health().record_probe(now);
        gate.record_probe();
        Counters::increment(&self.counters.probes);
        Counters::add(&self.counters.control_bytes, PROBE_BYTES);
        let nonce = self.nonce.fetch_add(1, Ordering::Relaxed);
        actions.push(Action::Send {
            to: entry.address,
            body: Body::Probe { nonce, agent },
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
