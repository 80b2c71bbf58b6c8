//! Agents, callers, the platform's store and upstreams under every order of events.
//!
//! [`World::events`] lists what may happen next; [`World::apply`] lets it happen to the real
//! decisions and checks what must hold.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use sassafrasmast_core::{
    agent::{
        Action, Agent, Claim, Class, Finish, Key, Nonce, Relay, Reply, Request, Settings, claim,
    },
    config::{Document, Snapshot},
    error::Outcome,
};
use sassafrasmast_wire::{AgentId, Ticket};

use crate::rig::{INCARNATION, address, document, whole};

/// Time a caller waits.
const DEADLINE: Duration = Duration::from_secs(5);

/// Life of a ticket.
const TICKET_LIFE: Duration = Duration::from_secs(60);

/// Bounds of queue and registry, low so that they are reached.
const QUEUE: usize = 3;
const KEYS: usize = 4;

/// One incarnation of an agent.
type Node = (AgentId, u64);

/// A request at one incarnation.
type Place = (Node, u64);

/// Something that may happen next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A caller sends a booking, or sends it again.
    Copy { booking: usize, agent: AgentId },
    /// The store carries out a claim.
    Land(usize),
    /// The reply of a claim, read back if needed, reaches its agent.
    Settle(usize),
    /// The agent gives up waiting for the store; the claim may still be carried out later.
    GiveUp(usize),
    /// A relayed request reaches the peer.
    Deliver(usize),
    /// The peer's answer comes back.
    Return(usize),
    /// The connection to the peer breaks.
    Lose(usize),
    /// The edge is about to hand over a request.
    HandOver(Place),
    /// A run ends.
    End(Place, Ending),
    /// The caller cancels.
    Cancel(Place),
    /// Time passes, for everyone; nobody is told.
    Pass(Duration),
    /// An agent's timer fires.
    Tick(AgentId),
    /// An agent is replaced by a new incarnation.
    Restart(AgentId),
    /// An agent is told to stop.
    Drain(AgentId),
    /// Operators take the agent's zone out, or bring it back.
    Zone(AgentId),
}

/// How a run ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Whole,
    Cut,
    Refused,
    Unreachable,
}

/// Something that must run at most once.
#[derive(Debug, Clone)]
struct Booking {
    class: Class,
    key: Option<Key>,
    digest: u8,
    first: Option<Instant>,
    runs: u32,
    not_run: bool,
}

#[derive(Debug, Clone)]
struct Call {
    place: Place,
    key: Key,
    nonce: Nonce,
    landed: bool,
    waiting: bool,
}

#[derive(Debug, Clone)]
struct Transfer {
    place: Place,
    to: AgentId,
    arrived: Option<Place>,
    reply: Option<Reply>,
}

#[derive(Debug, Clone)]
struct Sent {
    booking: usize,
    deadline: Instant,
    relayed: bool,
    answers: u32,
}

/// How often what may happen.
#[derive(Debug, Clone, Default)]
pub struct Limits {
    pub copies: usize,
    pub restarts: usize,
    pub passes: Vec<Duration>,
    pub operations: usize,
    pub cancels: usize,
    /// Whether runs may end in all ways.
    pub endings: bool,
    /// Whether the agents know each other's load.
    pub reports: bool,
}

#[derive(Debug, Clone)]
pub struct World {
    start: Instant,
    now: Instant,
    document: Document,
    agents: BTreeMap<AgentId, (u64, Agent)>,
    store: BTreeMap<Key, (Nonce, Instant)>,
    calls: Vec<Call>,
    transfers: Vec<Transfer>,
    bookings: Vec<Booking>,
    sent: BTreeMap<Place, Sent>,
    starting: BTreeSet<Place>,
    running: BTreeSet<Place>,
    limits: Limits,
    next: u64,
}

impl World {
    /// Two agents with two slots each.
    pub fn new(limits: Limits) -> Self {
        let start = Instant::now();
        let mut world = Self {
            start,
            now: start,
            document: document(2, 2),
            agents: BTreeMap::new(),
            store: BTreeMap::new(),
            calls: Vec::new(),
            transfers: Vec::new(),
            bookings: Vec::new(),
            sent: BTreeMap::new(),
            starting: BTreeSet::new(),
            running: BTreeSet::new(),
            limits,
            next: 0,
        };
        for agent in [1, 2] {
            world.boot(agent, INCARNATION);
        }
        world
    }

    /// Adds a booking under a minted key.
    pub fn mint(&mut self) {
        let key = Key::Minted(format!("order-{}", self.bookings.len()).into());
        self.book(Class::NonIdempotent, Some(key));
    }

    /// Adds a booking under a ticket of an agent.
    pub fn ticket(&mut self, home: AgentId) {
        let ticket = self
            .agents
            .get_mut(&home)
            .and_then(|(_, agent)| agent.ticket(self.now));
        self.book(
            Class::NonIdempotent,
            Some(Key::Ticket(ticket.expect("a ticket"))),
        );
    }

    /// Adds a booking without a key, or a query.
    pub fn plain(&mut self, class: Class) {
        self.book(class, None);
    }

    /// Whether there is a first booking and it has a key.
    pub fn has_key(&self) -> bool {
        self.bookings
            .first()
            .is_some_and(|first| first.key.is_some())
    }

    /// Adds another booking under the key of the first one.
    pub fn reuse(&mut self) {
        let key = self.bookings[0].key.clone();
        self.book(Class::NonIdempotent, key);
    }

    fn book(&mut self, class: Class, key: Option<Key>) {
        self.bookings.push(Booking {
            class,
            key,
            digest: self.bookings.len() as u8,
            first: None,
            runs: 0,
            not_run: false,
        });
    }

    fn boot(&mut self, agent: AgentId, incarnation: u64) {
        let settings = Settings {
            listen: address(agent),
            incarnation,
            max_queued: QUEUE,
            max_keys: KEYS,
            ticket_lifetime: TICKET_LIFE,
            ..Settings::default()
        };
        let fresh = Agent::new(settings, self.now);
        self.agents.insert(agent, (incarnation, fresh));
        self.configure(agent);
    }

    fn configure(&mut self, agent: AgentId) {
        let snapshot = Snapshot::new(self.document.clone()).expect("the secrets are whole");
        let now = self.now;
        self.with(agent, |agent| agent.config(now, &snapshot));
    }

    /// State without what doesn't matter for the future, to recognise a state seen before.
    pub fn fingerprint(&self) -> String {
        let calls = (&self.store, &self.calls, &self.transfers);
        let requests = (&self.bookings, &self.sent, &self.starting, &self.running);
        let rest = (self.now, &self.document.zones, &self.limits);
        format!("{:?}{calls:?}{requests:?}{rest:?}", self.agents)
    }

    /// What may happen next.
    pub fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        self.caller_events(&mut events);
        self.store_events(&mut events);
        self.relay_events(&mut events);
        self.run_events(&mut events);
        self.fault_events(&mut events);
        events
    }

    fn caller_events(&self, events: &mut Vec<Event>) {
        let copies = if self.limits.copies > 0 {
            self.bookings.len()
        } else {
            0
        };
        for booking in 0..copies {
            let Booking { key, first, .. } = &self.bookings[booking];
            let timely =
                first.is_none_or(|at| self.now < at + claim::MIN_LEASE - claim::START_WINDOW);
            if first.is_none() || (key.is_some() && timely) {
                events.extend([1, 2].map(|agent| Event::Copy { booking, agent }));
            }
        }
        if self.limits.cancels > 0 {
            let open = self.sent.iter().filter(|(_, sent)| sent.answers == 0);
            let alive = open.filter(|(place, _)| self.alive(place.0));
            events.extend(alive.map(|(place, _)| Event::Cancel(*place)));
        }
    }

    fn store_events(&self, events: &mut Vec<Event>) {
        for (index, call) in self.calls.iter().enumerate() {
            if !call.landed {
                events.push(Event::Land(index));
            }
            if call.waiting && self.alive(call.place.0) {
                events.push(Event::GiveUp(index));
                if call.landed {
                    events.push(Event::Settle(index));
                }
            }
        }
    }

    fn relay_events(&self, events: &mut Vec<Event>) {
        for (index, transfer) in self.transfers.iter().enumerate() {
            match transfer {
                Transfer { arrived: None, .. } => events.push(Event::Deliver(index)),
                Transfer { reply: Some(_), .. } => events.push(Event::Return(index)),
                _ => {}
            }
            events.push(Event::Lose(index));
        }
    }

    fn run_events(&self, events: &mut Vec<Event>) {
        let alive = |place: &&Place| self.alive(place.0);
        events.extend(
            self.starting
                .iter()
                .filter(alive)
                .map(|place| Event::HandOver(*place)),
        );
        let endings = [
            Ending::Whole,
            Ending::Cut,
            Ending::Refused,
            Ending::Unreachable,
        ];
        let endings = if self.limits.endings {
            &endings[..]
        } else {
            &endings[..2]
        };
        for place in self.running.iter().filter(alive) {
            events.extend(endings.iter().map(|ending| Event::End(*place, *ending)));
        }
    }

    fn fault_events(&self, events: &mut Vec<Event>) {
        if let Some(time) = self.limits.passes.last() {
            events.push(Event::Pass(*time));
        }
        for &agent in self.agents.keys() {
            let (_, core) = &self.agents[&agent];
            if core.next_tick().is_some_and(|at| at <= self.now) {
                events.push(Event::Tick(agent));
            }
            if self.limits.restarts > 0 {
                events.push(Event::Restart(agent));
            }
            if self.limits.operations > 0 {
                events.extend([Event::Drain(agent), Event::Zone(agent)]);
            }
        }
    }

    /// Lets something happen and checks what must hold.
    pub fn apply(&mut self, event: &Event) {
        match event.clone() {
            Event::Copy { booking, agent } => self.copy(booking, agent, None),
            Event::Land(index) => self.land(index),
            Event::Settle(index) => self.settle(index, true),
            Event::GiveUp(index) => self.settle(index, false),
            Event::Deliver(index) => self.deliver(index),
            Event::Return(index) => self.give_back(index),
            Event::Lose(index) => self.lose(index),
            Event::HandOver(place) => self.hand_over(place),
            Event::End(place, ending) => self.end(place, ending),
            Event::Cancel((node, id)) => {
                self.limits.cancels -= 1;
                let now = self.now;
                self.with(node.0, |agent| agent.cancelled(now, id));
            }
            Event::Pass(time) => {
                self.limits.passes.pop();
                self.now += time;
            }
            Event::Tick(agent) => {
                let now = self.now;
                self.with(agent, |agent| agent.tick(now));
                let wake = self.agents[&agent].1.next_tick();
                assert!(wake.is_none_or(|at| at > now), "a tick that left work");
            }
            Event::Restart(agent) => self.restart(agent),
            Event::Drain(agent) => {
                self.limits.operations -= 1;
                let now = self.now;
                self.with(agent, |agent| agent.drain(now));
            }
            Event::Zone(agent) => self.flip_zone(agent),
        }
        if self.limits.reports {
            self.report();
        }
        self.check();
    }

    fn report(&mut self) {
        let now = self.now;
        for (from, to) in [(1, 2), (2, 1)] {
            let load = self.agents[&from].1.load(now);
            self.with(to, |agent| agent.peer_load(now, from, load));
        }
    }

    /// Lets everything come to its end: no request may stay without its final answer.
    pub fn quiesce(&mut self) {
        self.limits = Limits::default();
        for _ in 0..200 {
            let events = self.events();
            let Some(event) = events.last() else {
                break;
            };
            self.apply(&event.clone());
            if events.len() == 1 && matches!(event, Event::Tick(_)) {
                self.now += DEADLINE;
            }
        }
        self.now += DEADLINE * 2;
        for agent in [1, 2] {
            self.apply(&Event::Tick(agent));
        }
        let open = self
            .sent
            .iter()
            .filter(|(place, sent)| self.alive(place.0) && sent.answers != 1);
        assert_eq!(
            open.collect::<Vec<_>>().len(),
            0,
            "requests without an answer: {self:?}"
        );
        assert!(
            self.agents
                .values()
                .all(|(_, agent)| agent.open_requests() == 0),
            "{self:?}"
        );
    }

    fn copy(&mut self, booking: usize, agent: AgentId, relayed: Option<Instant>) {
        let now = self.now;
        if relayed.is_none() {
            self.limits.copies -= 1;
            self.bookings[booking].first.get_or_insert(now);
        }
        let place = ((agent, self.agents[&agent].0), self.next);
        self.next += 1;
        let deadline = relayed.unwrap_or(now + DEADLINE);
        let sent = Sent {
            booking,
            deadline,
            relayed: relayed.is_some(),
            answers: 0,
        };
        self.sent.insert(place, sent);
        let request = Request {
            id: place.1,
            class: self.bookings[booking].class,
            key: self.bookings[booking].key.clone(),
            digest: [self.bookings[booking].digest; 32],
            body_bytes: Some(10),
            deadline,
            relayed: relayed.is_some(),
        };
        self.with(agent, |agent| agent.arrive(now, request));
    }

    fn land(&mut self, index: usize) {
        let now = self.now;
        self.store.retain(|_, (_, until)| now < *until);
        let call = &mut self.calls[index];
        call.landed = true;
        let claim = (call.nonce, now + claim::MIN_LEASE);
        self.store.entry(call.key.clone()).or_insert(claim);
    }

    fn settle(&mut self, index: usize, known: bool) {
        let now = self.now;
        self.store.retain(|_, (_, until)| now < *until);
        let call = &mut self.calls[index];
        call.waiting = false;
        let (node, id) = call.place;
        let result = match self.store.get(&call.key) {
            _ if !known => Claim::Unsettled,
            Some((nonce, _)) if *nonce == call.nonce => Claim::Ours,
            Some(_) => Claim::Elsewhere,
            None => Claim::Unsettled,
        };
        self.with(node.0, |agent| agent.claimed(now, id, result));
    }

    fn deliver(&mut self, index: usize) {
        let Transfer { place, to, .. } = self.transfers[index];
        let arrived = ((to, self.agents[&to].0), self.next);
        self.transfers[index].arrived = Some(arrived);
        let Sent {
            booking, deadline, ..
        } = self.sent[&place];
        self.copy(booking, to, Some(deadline));
    }

    fn give_back(&mut self, index: usize) {
        let now = self.now;
        let Transfer { place, reply, .. } = self.transfers.remove(index);
        let result = match reply {
            Some(Reply::Error { kind, outcome }) => Relay::Refused { kind, outcome },
            _ => Relay::Whole,
        };
        if self.alive(place.0) {
            self.with(place.0.0, |agent| agent.relayed(now, place.1, result));
        }
    }

    fn lose(&mut self, index: usize) {
        let now = self.now;
        let transfer = self.transfers.remove(index);
        let (node, id) = transfer.place;
        let result = match transfer.arrived {
            None => Relay::Unreachable,
            Some(_) => Relay::Lost,
        };
        if self.alive(node) {
            self.with(node.0, |agent| agent.relayed(now, id, result));
        }
    }

    fn hand_over(&mut self, place: Place) {
        let (node, id) = place;
        let now = self.now;
        self.starting.remove(&place);
        let mut allowed = false;
        self.with(node.0, |agent| allowed = agent.may_start(now, id));
        if !allowed {
            return;
        }
        let sent = &self.sent[&place];
        assert!(now < sent.deadline, "started after the deadline: {self:?}");
        let booking = &mut self.bookings[sent.booking];
        if let Some(Key::Ticket(Ticket { expiry, agent, .. })) = booking.key {
            assert_eq!(agent, node.0, "run away from home");
            assert!(
                now < self.start + expiry,
                "started after the ticket's expiry"
            );
        }
        booking.runs += 1;
        self.running.insert(place);
    }

    fn end(&mut self, place: Place, ending: Ending) {
        let (node, id) = place;
        let now = self.now;
        self.running.remove(&place);
        let finish = match ending {
            Ending::Whole => whole(10),
            Ending::Cut => Finish::Cut,
            Ending::Refused => Finish::Refused,
            Ending::Unreachable => Finish::Unreachable,
        };
        if matches!(ending, Ending::Refused | Ending::Unreachable) {
            let booking = self.sent[&place].booking;
            self.bookings[booking].runs -= 1;
        }
        self.with(node.0, |agent| agent.finished(now, id, finish));
    }

    fn restart(&mut self, agent: AgentId) {
        self.limits.restarts -= 1;
        let incarnation = self.agents[&agent].0 + 1;
        self.boot(agent, incarnation);
    }

    fn flip_zone(&mut self, agent: AgentId) {
        self.limits.operations -= 1;
        let zone = self
            .document
            .zones
            .get_mut(&format!("z{agent}"))
            .expect("a zone");
        zone.out = !zone.out;
        self.document.version += 1;
        self.configure(agent);
    }

    /// Lets an agent decide and takes its decisions.
    fn with(&mut self, id: AgentId, decide: impl FnOnce(&mut Agent)) {
        let (incarnation, mut agent) = self.agents[&id].clone();
        decide(&mut agent);
        let node = (id, incarnation);
        let mut actions = Vec::new();
        while let Some(action) = agent.poll() {
            actions.push(action);
        }
        let load = agent.load(self.now);
        if actions
            .iter()
            .any(|action| matches!(action, Action::Start { .. }))
        {
            assert!(load.running <= load.limit, "started beyond the limit");
        }
        assert!(load.limit <= 2 && load.running <= 2, "beyond the slots");
        assert!(usize::from(load.queued) <= QUEUE, "queue out of bounds");
        assert!(agent.key_count() <= KEYS, "registry out of bounds");
        self.agents.insert(id, (incarnation, agent));
        for action in actions {
            self.take(node, action);
        }
    }

    fn take(&mut self, node: Node, action: Action) {
        match action {
            Action::Start { id } => {
                self.starting.insert((node, id));
            }
            Action::Relay { id, to } => self.transfers.push(Transfer {
                place: (node, id),
                to,
                arrived: None,
                reply: None,
            }),
            Action::Claim { id, key, nonce } => self.calls.push(Call {
                place: (node, id),
                key,
                nonce,
                landed: false,
                waiting: true,
            }),
            Action::Answer { id, reply } => self.answered((node, id), reply),
            Action::Abort { .. } | Action::LimitChanged { .. } | Action::Collapsed => {}
        }
    }

    fn answered(&mut self, place: Place, reply: Reply) {
        let sent = self.sent.get_mut(&place).expect("a known request");
        sent.answers += 1;
        assert_eq!(sent.answers, 1, "answered twice");
        let booking = &mut self.bookings[sent.booking];
        // A peer's "not run" of a request without a key only tells the agent that relayed it.
        let told = !sent.relayed || booking.key.is_some();
        match &reply {
            Reply::Error { outcome, .. } if *outcome != Outcome::Ran => {
                booking.not_run |= told && *outcome == Outcome::NotRun;
            }
            _ => assert!(booking.runs > 0, "an answer without a run"),
        }
        let transfers = self.transfers.iter_mut();
        for transfer in transfers.filter(|transfer| transfer.arrived == Some(place)) {
            transfer.reply = Some(reply.clone());
        }
    }

    fn check(&self) {
        for booking in &self.bookings {
            let bookings = self.bookings.iter();
            let same = bookings.filter(|other| other.key.is_some() && other.key == booking.key);
            let runs = same.map(|other| other.runs).sum::<u32>().max(booking.runs);
            let once = booking.class == Class::NonIdempotent;
            assert!(!once || runs <= 1, "run twice: {self:?}");
            let untrue = booking.not_run && booking.runs > 0;
            assert!(!untrue, "\"not run\" was untrue: {self:?}");
        }
    }

    fn alive(&self, node: Node) -> bool {
        self.agents[&node.0].0 == node.1
    }
}
