//! The balancer's state machine.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::StdRng};
use sassafrasmast_wire::{
    Address, AgentId, Body, Cid, ConfigVersion, Frame, Incarnation, Load, ServiceId, cid,
};

use crate::{Announcement, Blackboard, config::Snapshot};

use super::{
    Action, Bucket, Counters, Form, Header, Reason, Reset, Route, Settings,
    gate::Gate,
    peers::Peers,
    placement::Placement,
    prober::{HEADER_BYTES, Prober},
    table::{Entry, Table},
};

/// Largest datagram of a caller in bytes; it still fits into a frame.
const MAX_DATAGRAM_BYTES: usize = 1_900;

/// How often one first datagram may be handed back.
const MAX_ATTEMPTS: u8 = 3;

/// Stateless resets a second, and at once.
const RESET_RATE: u32 = 1_000;

/// Agents of a service that are looked at for never having been heard.
const EXPLORED: usize = 8;

/// Time in which packets that are on their way still reach a zone that was taken out, so that
/// their callers get an answer or a refusal instead of silence.
const ZONE_FORWARD: Duration = Duration::from_secs(1);

/// Time in which agents of a zone that was taken out close their flows themselves.
const ZONE_GRACE: Duration = Duration::from_secs(2);

/// Age of a zone's last sign of life up to which its silent agents count as dead, not cut off.
const ZONE_SIGN: Duration = Duration::from_secs(2);

/// Routes datagrams, places new flows and watches the agents. All methods take `&self`, so a
/// pool of workers shares one router.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    blackboard: Arc<Blackboard>,
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
    pub fn new(now: Instant, settings: Settings, blackboard: Arc<Blackboard>) -> Self {
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

    /// Decides on a datagram that came to the address of `service`.
    pub fn route(&self, now: Instant, service: ServiceId, datagram: &[u8]) -> Route {
        let route = self.decide(now, service, datagram);
        let route = route.unwrap_or_else(Route::Drop);
        match &route {
            Route::Forward { .. } => Counters::add(&self.counters.forwarded),
            Route::Place { .. } => Counters::add(&self.counters.placed),
            Route::Reset { .. } => Counters::add(&self.counters.reset),
            Route::Drop(reason) => self.counters.discard(*reason),
        }
        route
    }

    /// Takes one datagram that came to the address for frames and appends what to do.
    pub fn receive<'a>(
        &self,
        now: Instant,
        from: Address,
        datagram: &'a [u8],
        actions: &mut Vec<Action<'a>>,
    ) {
        let Ok(frame) = Frame::decode(datagram) else {
            return Counters::add(&self.counters.malformed_frames);
        };
        if self.gate.was_paused(now) {
            self.hold(now);
        }
        let table = self.table(now);
        let sender = table.as_deref().and_then(|table| Sender::of(table, from));
        match frame.body {
            Body::Outbound { .. } | Body::Handback { .. } | Body::Inbound { .. } => {}
            _ => {
                let bytes = datagram.len() as u64 + HEADER_BYTES;
                self.prober.charge(now, bytes);
            }
        }
        if sender.is_some() || self.trusts(from) {
            self.compare(now, from, frame.config, actions);
        }
        match (table.as_deref(), sender) {
            (Some(table), Some(sender)) => self.hear(now, table, &sender, frame.body, actions),
            _ => self.hear_stranger(now, from, frame, actions),
        }
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
        self.prober.charge(now, self.blackboard.take_spent());
        self.prober.tick(now, &table, &self.gate, actions);
    }

    /// Time between two calls of [`Router::tick`].
    pub const TICK: Duration = Duration::from_millis(50);

    fn decide(&self, now: Instant, service: ServiceId, datagram: &[u8]) -> Result<Route, Reason> {
        if datagram.len() > MAX_DATAGRAM_BYTES {
            return Err(Reason::Oversize);
        }
        let header = Header::parse(datagram)?;
        if self.gate.was_paused(now) {
            self.hold(now);
        }
        let table = self.table(now).ok_or(Reason::NotReady)?;
        if !table.snapshot.document.services.contains_key(&service) {
            return Err(Reason::NotReady);
        }
        let packet = Packet {
            service,
            header,
            length: datagram.len(),
        };
        let cid = match header.dcid.len() {
            cid::BYTES => Cid::open(&table.snapshot.keys, header.dcid).ok(),
            _ => None,
        };
        match cid.map(|cid| (cid, table.entries.get(&cid.agent))) {
            Some((cid, Some(entry))) if entry.service == cid.service => {
                self.forward(now, &table, entry, cid, &packet)
            }
            Some((cid, None)) if table.was_removed(cid.agent) && cid.service == service => {
                self.reset(now, &table, cid.agent, &packet, Reason::Removed)
            }
            _ if header.form == Form::First => {
                let (agent, address) = self.place(now, &table, service, None)?;
                Ok(Route::Place { agent, address })
            }
            _ => Err(Reason::Foreign),
        }
    }

    fn forward(
        &self,
        now: Instant,
        table: &Table,
        entry: &Entry,
        cid: Cid,
        packet: &Packet<'_>,
    ) -> Result<Route, Reason> {
        if entry.service != packet.service {
            return Err(Reason::OtherService);
        }
        if self.gate.is_held() {
            return Err(Reason::Held);
        }
        if let Some(out) = entry.area.out {
            let known = now.saturating_duration_since(out);
            if known >= ZONE_GRACE {
                return self.reset(now, table, cid.agent, packet, Reason::ZoneOut);
            }
            if known >= ZONE_FORWARD || !entry.area.prompt {
                return Err(Reason::ZoneOut);
            }
        }
        let mut member = entry.member();
        let dead = member.is_dead(now, self.settings.idle_timeout);
        member.touch();
        let heat = member.warm();
        drop(member);
        if heat {
            self.prober.heat(cid.agent);
        }
        if dead && self.has_sign(now, entry) {
            return self.reset(now, table, cid.agent, packet, Reason::Dead);
        }
        Ok(Route::Forward {
            agent: cid.agent,
            address: entry.address,
            incarnation: cid.incarnation,
        })
    }

    /// Resets a flow, or gives `reason` for dropping the packet when that cannot be done.
    fn reset(
        &self,
        now: Instant,
        table: &Table,
        agent: AgentId,
        packet: &Packet<'_>,
        reason: Reason,
    ) -> Result<Route, Reason> {
        if packet.header.form != Form::Short {
            return Err(reason);
        }
        if !lock(&self.resets).take(now, 1) {
            return Err(Reason::ResetLimit);
        }
        let token = table.snapshot.keys.reset_token(agent, packet.header.dcid);
        let reset = Reset::new(&mut *lock(&self.rng), token, packet.length).ok_or(reason)?;
        Ok(Route::Reset { agent, reset })
    }

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

    /// Compares the sender's config version with ours.
    fn compare(
        &self,
        now: Instant,
        from: Address,
        theirs: ConfigVersion,
        actions: &mut Vec<Action<'_>>,
    ) {
        self.gate.heard(now, theirs);
        let ours = self.blackboard.version();
        if theirs > ours && lock(&self.pulls).greet(now, from) {
            actions.push(Action::PullConfig {
                from,
                version: theirs,
            });
        }
        if theirs < ours {
            self.prober.greet(now, from, actions);
        }
    }

    /// Takes a frame of an admitted agent.
    fn hear<'a>(
        &self,
        now: Instant,
        table: &Table,
        sender: &Sender<'_>,
        body: Body<'a>,
        actions: &mut Vec<Action<'a>>,
    ) {
        match body {
            Body::Outbound {
                service,
                agent,
                incarnation,
                caller,
                load,
                payload,
            } => {
                if self.is_from(sender, agent, service) {
                    self.report(now, sender, incarnation, load);
                    Counters::add(&self.counters.delivered);
                    actions.push(Action::Deliver {
                        service,
                        agent,
                        caller,
                        payload,
                    });
                }
            }
            Body::Handback {
                service,
                agent,
                incarnation,
                attempt,
                caller,
                load,
                payload,
            } => {
                if !self.is_from(sender, agent, service) {
                    return;
                }
                self.report(now, sender, incarnation, load);
                sender.entry.member().refuse(now);
                let returned = Returned {
                    service,
                    refuser: agent,
                    attempt,
                    caller,
                    payload,
                };
                self.place_again(now, table, &returned, actions);
            }
            control => self.hear_control(now, sender, control),
        }
    }

    /// Takes a frame of an admitted agent that carries no caller's datagram.
    fn hear_control(&self, now: Instant, sender: &Sender<'_>, body: Body<'_>) {
        match body {
            Body::Report {
                nonce,
                service,
                agent,
                incarnation,
                load,
            } => {
                self.gate.answered(now, nonce);
                let (Some(agent), Some(service)) = (agent, service) else {
                    return; // Admitted, but it does not know yet: it takes no flows.
                };
                if self.is_from(sender, agent, service) {
                    self.report(now, sender, incarnation, load);
                }
            }
            Body::Announce { .. } => self.blackboard.admitted(sender.entry.address),
            Body::Hello => {}
            _ => Counters::add(&self.counters.foreign_frames),
        }
    }

    /// Takes a frame of a process that is no admitted agent.
    fn hear_stranger(
        &self,
        now: Instant,
        from: Address,
        frame: Frame<'_>,
        actions: &mut Vec<Action<'_>>,
    ) {
        match frame.body {
            Body::Announce {
                service,
                zone,
                upstream,
                incarnation,
                slots,
                connections,
            } if Announcement::is_name(service) && Announcement::is_name(zone) => {
                let announcement = Announcement {
                    service: service.to_owned(),
                    zone: zone.to_owned(),
                    agent: from,
                    upstream,
                    slots,
                    connections,
                    incarnation,
                    heard: now,
                };
                self.blackboard.announce(now, announcement);
                if frame.config < self.blackboard.version() {
                    self.prober.greet(now, from, actions);
                }
            }
            Body::Hello if self.trusts(from) => {}
            _ => Counters::add(&self.counters.foreign_frames),
        }
    }

    /// Places a first datagram that was handed back on another agent.
    fn place_again<'a>(
        &self,
        now: Instant,
        table: &Table,
        returned: &Returned<'a>,
        actions: &mut Vec<Action<'a>>,
    ) {
        let placed = match returned {
            returned if returned.attempt >= MAX_ATTEMPTS => Err(Reason::Attempts),
            returned if returned.payload.len() > MAX_DATAGRAM_BYTES => Err(Reason::Oversize),
            returned => self.place(now, table, returned.service, Some(returned.refuser)),
        };
        match placed {
            Ok((agent, to)) => {
                Counters::add(&self.counters.replaced);
                actions.push(Action::Send {
                    to,
                    body: returned.inbound(agent),
                });
            }
            Err(reason) => self.counters.discard(reason),
        }
    }

    /// Whether a frame names its sender and the sender's service.
    fn is_from(&self, sender: &Sender<'_>, agent: AgentId, service: ServiceId) -> bool {
        let is_from = agent == sender.agent && service == sender.entry.service;
        if !is_from {
            Counters::add(&self.counters.foreign_frames);
        }
        is_from
    }

    fn report(&self, now: Instant, sender: &Sender<'_>, incarnation: Incarnation, load: Load) {
        let mut member = sender.entry.member();
        member.report(now, incarnation, load);
        let heat = member.changed && member.warm();
        drop(member);
        sender.entry.area.hear(self.micros(now));
        if heat {
            self.prober.heat(sender.agent);
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

    /// Whether the zone of a silent agent shows life, so that the agent is gone rather than cut
    /// off from here.
    fn has_sign(&self, now: Instant, entry: &Entry) -> bool {
        let age = self.micros(now).saturating_sub(entry.area.heard());
        entry.area.heard() > 0 && Duration::from_micros(age) <= ZONE_SIGN
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

/// What is needed of a packet after its header was read.
struct Packet<'a> {
    service: ServiceId,
    header: Header<'a>,
    length: usize,
}

/// A first datagram that an agent handed back.
struct Returned<'a> {
    service: ServiceId,
    refuser: AgentId,
    attempt: u8,
    caller: Address,
    payload: &'a [u8],
}

impl<'a> Returned<'a> {
    fn inbound(&self, agent: AgentId) -> Body<'a> {
        Body::Inbound {
            service: self.service,
            agent,
            incarnation: None,
            attempt: self.attempt,
            caller: self.caller,
            payload: self.payload,
        }
    }
}

/// The admitted agent that a frame came from.
struct Sender<'a> {
    agent: AgentId,
    entry: &'a Entry,
}

impl<'a> Sender<'a> {
    fn of(table: &'a Table, from: Address) -> Option<Self> {
        let &agent = table.addresses.get(&from)?;
        let entry = table.entries.get(&agent)?;
        Some(Self { agent, entry })
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
