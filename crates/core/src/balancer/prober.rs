//! Which agents are asked for their load, within a budget of control bytes.

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
    peers::Peers,
    table::{Entry, Table},
};

/// Bytes of IP and UDP headers, counted on top of each control frame.
const HEADER_BYTES: u32 = 28;

/// Bytes of a probe, headers included.
const PROBE_BYTES: u32 = 60;

/// Bytes to reserve for a probe and its report, headers included.
const PROBE_ROUND_BYTES: u32 = 2 * PROBE_BYTES;

/// Bytes of a greeting, headers included.
const GREETING_BYTES: u32 = HEADER_BYTES + 12;

/// Agents looked at in one tick beside those used lately.
const SCAN: usize = 64;

/// Agents probed at once while forwarding is held.
const HOLD_PROBES: usize = 4;

/// Spends the control bytes of one router.
#[derive(Debug)]
pub(super) struct Prober {
    counters: Arc<Counters>,
    hot: Mutex<Vec<AgentId>>,
    control: Mutex<Bucket>,
    peers: Mutex<Peers>,
    nonce: AtomicU32,
    cursor: AtomicUsize,
}

impl Prober {
    /// A prober with the budget of `settings`.
    pub(super) fn new(now: Instant, settings: &Settings, counters: Arc<Counters>) -> Self {
        let control = Bucket::new(now, settings.control_rate, settings.control_burst);
        Self {
            counters,
            hot: Mutex::new(Vec::new()),
            control: Mutex::new(control),
            peers: Mutex::new(Peers::default()),
            nonce: AtomicU32::new(1),
            cursor: AtomicUsize::new(0),
        }
    }

    /// Number of the next probe.
    pub(super) fn next_nonce(&self) -> u32 {
        self.nonce.load(Ordering::Relaxed)
    }

    /// Adds an agent to those used or changed lately.
    pub(super) fn heat(&self, agent: AgentId) {
        lock(&self.hot).push(agent);
    }

    /// Counts a control frame of `bytes` that came in.
    pub(super) fn charge(&self, now: Instant, bytes: usize) {
        let bytes = bytes as u32 + HEADER_BYTES;
        Counters::count(&self.counters.control_bytes, bytes);
        lock(&self.control).charge(now, bytes);
    }

    /// Tells a process that is behind our config version.
    pub(super) fn greet(&self, now: Instant, to: Address, actions: &mut Vec<Action<'_>>) {
        if !lock(&self.control).has(now, GREETING_BYTES) || !lock(&self.peers).greet(now, to) {
            return;
        }
        lock(&self.control).charge(now, GREETING_BYTES);
        Counters::count(&self.counters.control_bytes, GREETING_BYTES);
        let body = Body::Hello;
        actions.push(Action::Send { to, body });
    }

    /// Probes what is due: agents in use first, then the others with the bytes that are left.
    pub(super) fn tick(
        &self,
        now: Instant,
        table: &Table,
        gate: &Gate,
        actions: &mut Vec<Action<'_>>,
    ) {
        if gate.is_held() && gate.asks(now) {
            self.probe_for_release(now, table, gate, actions);
        }
        self.probe_hot(now, table, gate, actions);
        self.probe_idle(now, table, gate, actions);
    }

    /// Probes agents used or changed lately: of those in use the changed first, then the most
    /// used.
    fn probe_hot(&self, now: Instant, table: &Table, gate: &Gate, actions: &mut Vec<Action<'_>>) {
        let hot = std::mem::take(&mut *lock(&self.hot));
        let mut due = Vec::new();
        for agent in hot {
            let Some(entry) = table.entries.get(&agent) else {
                continue;
            };
            let mut member = entry.member();
            if entry.area.out.is_none() && member.wants_probe(now) {
                due.push((member.used > 0, member.changed, member.used, agent));
            } else {
                member.hot = false;
            }
        }
        due.sort_unstable_by(|a, b| b.cmp(a));
        let mut rest = due.into_iter().map(|(.., agent)| agent);
        for agent in rest.by_ref() {
            if !self.probe(now, table, gate, agent, actions) {
                lock(&self.hot).push(agent);
                break;
            }
            if let Some(entry) = table.entries.get(&agent) {
                entry.member().hot = false;
            }
        }
        lock(&self.hot).extend(rest);
    }

    fn probe_idle(&self, now: Instant, table: &Table, gate: &Gate, actions: &mut Vec<Action<'_>>) {
        for _ in 0..SCAN.min(table.order.len()) {
            let agent = self.next_in_turn(table);
            let wants = |entry: &Entry| entry.area.out.is_none() && entry.member().wants_probe(now);
            if !table.entries.get(&agent).is_some_and(wants) {
                continue;
            }
            if !self.probe(now, table, gate, agent, actions) {
                self.cursor.fetch_sub(1, Ordering::Relaxed);
                return;
            }
        }
    }

    /// Asks some agents whether they know a newer configuration, whatever the budget.
    fn probe_for_release(
        &self,
        now: Instant,
        table: &Table,
        gate: &Gate,
        actions: &mut Vec<Action<'_>>,
    ) {
        let mut left = HOLD_PROBES;
        for _ in 0..SCAN.min(table.order.len()) {
            let agent = self.next_in_turn(table);
            let in_service = |entry: &Entry| entry.area.out.is_none();
            if left == 0 || !table.entries.get(&agent).is_some_and(in_service) {
                continue;
            }
            left -= 1;
            lock(&self.control).charge(now, PROBE_BYTES);
            self.send(now, table, gate, agent, actions);
        }
    }

    fn next_in_turn(&self, table: &Table) -> AgentId {
        let turn = self.cursor.fetch_add(1, Ordering::Relaxed);
        table.order[turn % table.order.len()]
    }

    /// Probes an agent if the budget allows it.
    fn probe(
        &self,
        now: Instant,
        table: &Table,
        gate: &Gate,
        agent: AgentId,
        actions: &mut Vec<Action<'_>>,
    ) -> bool {
        let mut control = lock(&self.control);
        let enough = control.has(now, PROBE_ROUND_BYTES);
        if enough {
            control.charge(now, PROBE_BYTES);
            drop(control);
            self.send(now, table, gate, agent, actions);
        }
        enough
    }

    fn send(
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
        entry.member().probe(now);
        gate.probed();
        Counters::add(&self.counters.probes);
        Counters::count(&self.counters.control_bytes, PROBE_BYTES);
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
