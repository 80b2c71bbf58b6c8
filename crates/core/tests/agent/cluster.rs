//! Two real agents with simulated callers, store, relays and upstreams, for exploring the order of
//! events.
//!
//! [`Cluster::events`] lists the events that are possible next. [`Cluster::apply`] applies one to
//! the agents and checks the invariants: a booking runs at most once, "not run" is answered only
//! for requests that never run, each request is answered at most once, and bounds hold.

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

use crate::fixture::{INCARNATION, address, document, whole_answer};

/// Time from sending a request until its deadline.
const DEADLINE: Duration = Duration::from_secs(5);

/// Lifetime of a ticket.
const TICKET_LIFETIME: Duration = Duration::from_secs(60);

/// Most queued requests, low so that the limit is reached.
const MAX_QUEUED: usize = 3;

/// Most keys in the registry, low so that the limit is reached.
const MAX_KEYS: usize = 4;

/// One incarnation of an agent.
type Process = (AgentId, u64);

/// A request at one incarnation of an agent.
type RequestAt = (Process, u64);

/// An event that may happen next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A caller sends a request for the first time or repeats it.
    Send {
        caller_request: usize,
        agent: AgentId,
    },
    /// The store executes a claim.
    StoreClaim(usize),
    /// The result of a claim, read back if needed, reaches its agent.
    ClaimReply(usize),
    /// The store does not reply in time; it may still execute the claim later.
    ClaimTimeout(usize),
    /// A relayed request reaches the peer.
    RelayArrives(usize),
    /// The peer's answer reaches the agent that relayed the request.
    RelayReply(usize),
    /// The connection to the peer breaks.
    RelayBreaks(usize),
    /// The I/O layer is about to hand over a request.
    HandOver(RequestAt),
    /// A run ends.
    End(RequestAt, Ending),
    /// The caller cancels.
    Cancel(RequestAt),
    /// Time advances everywhere without a tick, as during a pause of the processes.
    Advance(Duration),
    /// An agent's timer fires.
    Tick(AgentId),
    /// An agent restarts as a new incarnation.
    Restart(AgentId),
    /// An agent is told to stop.
    Drain(AgentId),
    /// Operators take the agent's zone out, or bring it back.
    ToggleZone(AgentId),
}

/// How a run ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Whole,
    Cut,
    Refused,
    Unreachable,
}

/// A booking or a query of a caller. Bookings with the same key must run at most once in total.
#[derive(Debug, Clone)]
struct CallerRequest {
    class: Class,
    key: Option<Key>,
    digest: u8,
    /// When it was first sent.
    first_sent: Option<Instant>,
    runs: u32,
    /// Whether a caller got the outcome "not run".
    not_run: bool,
}

/// A call to the store that creates a claim.
#[derive(Debug, Clone)]
struct ClaimCall {
    request_at: RequestAt,
    key: Key,
    nonce: Nonce,
    /// Whether the store executed it.
    stored: bool,
    /// Whether the agent waits for the reply.
    waiting: bool,
}

/// A request relayed to a peer.
#[derive(Debug, Clone)]
struct RelayCall {
    request_at: RequestAt,
    to: AgentId,
    /// The request at the peer, once it arrived there.
    arrived: Option<RequestAt>,
    reply: Option<Reply>,
}

/// A request that reached an agent from a caller or from a peer.
#[derive(Debug, Clone)]
struct SentRequest {
    caller_request: usize,
    deadline: Instant,
    relayed: bool,
    answers: u32,
}

/// Which events may still happen, and how often.
#[derive(Debug, Clone, Default)]
pub struct EventLimits {
    pub sends: usize,
    pub restarts: usize,
    /// Steps by which time advances, the last one first.
    pub advances: Vec<Duration>,
    /// Drains, and zones taken out or brought back.
    pub operations: usize,
    pub cancels: usize,
    /// Whether runs may also be refused or fail to connect.
    pub refusals: bool,
    /// Whether the agents report their load to each other after each event.
    pub load_reports: bool,
}

/// The agents and everything around them. Cloned to explore several orders of events.
#[derive(Debug, Clone)]
pub struct Cluster {
    start: Instant,
    now: Instant,
    document: Document,
    agents: BTreeMap<AgentId, (u64, Agent)>,
    store: BTreeMap<Key, (Nonce, Instant)>,
    claim_calls: Vec<ClaimCall>,
    relay_calls: Vec<RelayCall>,
    caller_requests: Vec<CallerRequest>,
    sent: BTreeMap<RequestAt, SentRequest>,
    starting: BTreeSet<RequestAt>,
    running: BTreeSet<RequestAt>,
    limits: EventLimits,
    next_id: u64,
}

impl Cluster {
    /// Creates two agents with two slots each.
    pub fn new(limits: EventLimits) -> Self {
        let start = Instant::now();
        let mut cluster = Self {
            start,
            now: start,
            document: document(2, 2),
            agents: BTreeMap::new(),
            store: BTreeMap::new(),
            claim_calls: Vec::new(),
            relay_calls: Vec::new(),
            caller_requests: Vec::new(),
            sent: BTreeMap::new(),
            starting: BTreeSet::new(),
            running: BTreeSet::new(),
            limits,
            next_id: 0,
        };
        for agent in [1, 2] {
            cluster.boot(agent, INCARNATION);
        }
        cluster
    }

    /// Adds a booking with a minted key.
    pub fn add_minted(&mut self) {
        let key = Key::Minted(format!("order-{}", self.caller_requests.len()).into());
        self.add(Class::NonIdempotent, Some(key));
    }

    /// Adds a booking with a ticket of an agent.
    pub fn add_with_ticket(&mut self, home: AgentId) {
        let ticket = self
            .agents
            .get_mut(&home)
            .and_then(|(_, agent)| agent.ticket(self.now));
        self.add(
            Class::NonIdempotent,
            Some(Key::Ticket(ticket.expect("a ticket"))),
        );
    }

    /// Adds a booking without a key, or a query.
    pub fn add_without_key(&mut self, class: Class) {
        self.add(class, None);
    }

    /// Whether there is a first booking and it has a key.
    pub fn first_has_key(&self) -> bool {
        self.caller_requests
            .first()
            .is_some_and(|first| first.key.is_some())
    }

    /// Adds a different booking with the key of the first one.
    pub fn add_reuse(&mut self) {
        let key = self.caller_requests[0].key.clone();
        self.add(Class::NonIdempotent, key);
    }

    fn add(&mut self, class: Class, key: Option<Key>) {
        self.caller_requests.push(CallerRequest {
            class,
            key,
            digest: self.caller_requests.len() as u8,
            first_sent: None,
            runs: 0,
            not_run: false,
        });
    }

    fn boot(&mut self, agent: AgentId, incarnation: u64) {
        let settings = Settings {
            listen: address(agent),
            incarnation,
            max_queued: MAX_QUEUED,
            max_keys: MAX_KEYS,
            ticket_lifetime: TICKET_LIFETIME,
            ..Settings::default()
        };
        let fresh = Agent::new(settings, self.now);
        self.agents.insert(agent, (incarnation, fresh));
        self.send_config(agent);
    }

    fn send_config(&mut self, agent: AgentId) {
        let snapshot = Snapshot::new(self.document.clone()).expect("consistent secrets");
        let now = self.now;
        self.step(agent, |agent| agent.config(now, &snapshot));
    }

    /// Text that is equal for states with the same future, by which visited states are recognised.
    pub fn fingerprint(&self) -> String {
        let calls = (&self.store, &self.claim_calls, &self.relay_calls);
        let requests = (
            &self.caller_requests,
            &self.sent,
            &self.starting,
            &self.running,
        );
        let rest = (self.now, &self.document.zones, &self.limits);
        format!("{:?}{calls:?}{requests:?}{rest:?}", self.agents)
    }

    /// Events that are possible next.
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
        let sends = if self.limits.sends > 0 {
            self.caller_requests.len()
        } else {
            0
        };
        for caller_request in 0..sends {
            let CallerRequest {
                key, first_sent, ..
            } = &self.caller_requests[caller_request];
            // Callers stop repeating a key START_WINDOW before its claim may leave the store, as a
            // repeat may start that long after its arrival.
            let timely =
                first_sent.is_none_or(|at| self.now < at + claim::MIN_LEASE - claim::START_WINDOW);
            if first_sent.is_none() || (key.is_some() && timely) {
                events.extend([1, 2].map(|agent| Event::Send {
                    caller_request,
                    agent,
                }));
            }
        }
        if self.limits.cancels > 0 {
            let open = self.sent.iter().filter(|(_, sent)| sent.answers == 0);
            let current = open.filter(|(request_at, _)| self.is_current(request_at.0));
            events.extend(current.map(|(request_at, _)| Event::Cancel(*request_at)));
        }
    }

    fn store_events(&self, events: &mut Vec<Event>) {
        for (index, call) in self.claim_calls.iter().enumerate() {
            if !call.stored {
                events.push(Event::StoreClaim(index));
            }
            if call.waiting && self.is_current(call.request_at.0) {
                events.push(Event::ClaimTimeout(index));
                if call.stored {
                    events.push(Event::ClaimReply(index));
                }
            }
        }
    }

    fn relay_events(&self, events: &mut Vec<Event>) {
        for (index, relay) in self.relay_calls.iter().enumerate() {
            match relay {
                RelayCall { arrived: None, .. } => events.push(Event::RelayArrives(index)),
                RelayCall { reply: Some(_), .. } => events.push(Event::RelayReply(index)),
                _ => {}
            }
            events.push(Event::RelayBreaks(index));
        }
    }

    fn run_events(&self, events: &mut Vec<Event>) {
        let is_current = |request_at: &&RequestAt| self.is_current(request_at.0);
        events.extend(
            self.starting
                .iter()
                .filter(is_current)
                .map(|request_at| Event::HandOver(*request_at)),
        );
        let endings = [
            Ending::Whole,
            Ending::Cut,
            Ending::Refused,
            Ending::Unreachable,
        ];
        let endings = if self.limits.refusals {
            &endings[..]
        } else {
            &endings[..2]
        };
        for request_at in self.running.iter().filter(is_current) {
            events.extend(
                endings
                    .iter()
                    .map(|ending| Event::End(*request_at, *ending)),
            );
        }
    }

    fn fault_events(&self, events: &mut Vec<Event>) {
        if let Some(time) = self.limits.advances.last() {
            events.push(Event::Advance(*time));
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
                events.extend([Event::Drain(agent), Event::ToggleZone(agent)]);
            }
        }
    }

    /// Applies an event and checks the invariants.
    pub fn apply(&mut self, event: &Event) {
        match event.clone() {
            Event::Send {
                caller_request,
                agent,
            } => self.send(caller_request, agent, None),
            Event::StoreClaim(index) => self.store_claim(index),
            Event::ClaimReply(index) => self.reply_claim(index, true),
            Event::ClaimTimeout(index) => self.reply_claim(index, false),
            Event::RelayArrives(index) => self.deliver_relay(index),
            Event::RelayReply(index) => self.return_relay(index),
            Event::RelayBreaks(index) => self.break_relay(index),
            Event::HandOver(request_at) => self.hand_over(request_at),
            Event::End(request_at, ending) => self.end(request_at, ending),
            Event::Cancel((process, id)) => {
                self.limits.cancels -= 1;
                let now = self.now;
                self.step(process.0, |agent| agent.cancelled(now, id));
            }
            Event::Advance(time) => {
                self.limits.advances.pop();
                self.now += time;
            }
            Event::Tick(agent) => {
                let now = self.now;
                self.step(agent, |agent| agent.tick(now));
                let next_tick = self.agents[&agent].1.next_tick();
                assert!(
                    next_tick.is_none_or(|at| at > now),
                    "agent {agent}: a timer is due at {next_tick:?}, after the tick at {now:?}"
                );
            }
            Event::Restart(agent) => self.restart(agent),
            Event::Drain(agent) => {
                self.limits.operations -= 1;
                let now = self.now;
                self.step(agent, |agent| agent.drain(now));
            }
            Event::ToggleZone(agent) => self.toggle_zone(agent),
        }
        if self.limits.load_reports {
            self.report();
        }
        self.check();
    }

    fn report(&mut self) {
        let now = self.now;
        for (from, to) in [(1, 2), (2, 1)] {
            let load = self.agents[&from].1.load(now);
            self.step(to, |agent| agent.peer_load(now, from, load));
        }
    }

    /// Applies the remaining events and ticks without new requests, then asserts that each request
    /// was answered and that no agent has an open one.
    pub fn quiesce(&mut self) {
        self.limits = EventLimits::default();
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
            .filter(|(request_at, sent)| self.is_current(request_at.0) && sent.answers != 1);
        assert_eq!(
            open.collect::<Vec<_>>().len(),
            0,
            "requests without an answer: {self:?}"
        );
        assert!(
            self.agents
                .values()
                .all(|(_, agent)| agent.open_requests() == 0),
            "open requests: {self:?}"
        );
    }

    fn send(&mut self, caller_request: usize, agent: AgentId, relayed: Option<Instant>) {
        let now = self.now;
        if relayed.is_none() {
            self.limits.sends -= 1;
            self.caller_requests[caller_request]
                .first_sent
                .get_or_insert(now);
        }
        let request_at = ((agent, self.agents[&agent].0), self.next_id);
        self.next_id += 1;
        let deadline = relayed.unwrap_or(now + DEADLINE);
        let sent = SentRequest {
            caller_request,
            deadline,
            relayed: relayed.is_some(),
            answers: 0,
        };
        self.sent.insert(request_at, sent);
        let request = Request {
            id: request_at.1,
            class: self.caller_requests[caller_request].class,
            key: self.caller_requests[caller_request].key.clone(),
            digest: [self.caller_requests[caller_request].digest; 32],
            body_bytes: Some(10),
            deadline,
            relayed: relayed.is_some(),
        };
        self.step(agent, |agent| agent.arrive(now, request));
    }

    fn store_claim(&mut self, index: usize) {
        let now = self.now;
        self.store.retain(|_, (_, until)| now < *until);
        let call = &mut self.claim_calls[index];
        call.stored = true;
        let claim = (call.nonce, now + claim::MIN_LEASE);
        self.store.entry(call.key.clone()).or_insert(claim);
    }

    fn reply_claim(&mut self, index: usize, known: bool) {
        let now = self.now;
        self.store.retain(|_, (_, until)| now < *until);
        let call = &mut self.claim_calls[index];
        call.waiting = false;
        let (process, id) = call.request_at;
        let result = match self.store.get(&call.key) {
            _ if !known => Claim::Unsettled,
            Some((nonce, _)) if *nonce == call.nonce => Claim::Ours,
            Some(_) => Claim::Elsewhere,
            None => Claim::Unsettled,
        };
        self.step(process.0, |agent| agent.claimed(now, id, result));
    }

    fn deliver_relay(&mut self, index: usize) {
        let RelayCall { request_at, to, .. } = self.relay_calls[index];
        let arrived = ((to, self.agents[&to].0), self.next_id);
        self.relay_calls[index].arrived = Some(arrived);
        let SentRequest {
            caller_request,
            deadline,
            ..
        } = self.sent[&request_at];
        self.send(caller_request, to, Some(deadline));
    }

    fn return_relay(&mut self, index: usize) {
        let now = self.now;
        let RelayCall {
            request_at, reply, ..
        } = self.relay_calls.remove(index);
        let result = match reply {
            Some(Reply::Error { kind, outcome }) => Relay::Refused { kind, outcome },
            _ => Relay::Whole,
        };
        if self.is_current(request_at.0) {
            self.step(request_at.0.0, |agent| {
                agent.relayed(now, request_at.1, result)
            });
        }
    }

    fn break_relay(&mut self, index: usize) {
        let now = self.now;
        let relay = self.relay_calls.remove(index);
        let (process, id) = relay.request_at;
        let result = match relay.arrived {
            None => Relay::Unreachable,
            Some(_) => Relay::Lost,
        };
        if self.is_current(process) {
            self.step(process.0, |agent| agent.relayed(now, id, result));
        }
    }

    fn hand_over(&mut self, request_at: RequestAt) {
        let (process, id) = request_at;
        let now = self.now;
        self.starting.remove(&request_at);
        let mut allowed = false;
        self.step(process.0, |agent| allowed = agent.begin_hand_over(now, id));
        if !allowed {
            return;
        }
        let sent = &self.sent[&request_at];
        assert!(now < sent.deadline, "started after the deadline: {self:?}");
        let caller_request = &mut self.caller_requests[sent.caller_request];
        if let Some(Key::Ticket(Ticket { expiry, agent, .. })) = caller_request.key {
            assert_eq!(
                agent, process.0,
                "{request_at:?} ran at an agent other than the ticket's home"
            );
            assert!(
                now < self.start + expiry,
                "{request_at:?} started at {now:?}, after the ticket's expiry of {expiry:?}"
            );
        }
        caller_request.runs += 1;
        self.running.insert(request_at);
    }

    fn end(&mut self, request_at: RequestAt, ending: Ending) {
        let (process, id) = request_at;
        let now = self.now;
        self.running.remove(&request_at);
        let finish = match ending {
            Ending::Whole => whole_answer(10),
            Ending::Cut => Finish::Cut,
            Ending::Refused => Finish::Refused,
            Ending::Unreachable => Finish::Unreachable,
        };
        if matches!(ending, Ending::Refused | Ending::Unreachable) {
            let caller_request = self.sent[&request_at].caller_request;
            self.caller_requests[caller_request].runs -= 1;
        }
        self.step(process.0, |agent| agent.finished(now, id, finish));
    }

    fn restart(&mut self, agent: AgentId) {
        self.limits.restarts -= 1;
        let incarnation = self.agents[&agent].0 + 1;
        self.boot(agent, incarnation);
    }

    fn toggle_zone(&mut self, agent: AgentId) {
        self.limits.operations -= 1;
        let zone = self
            .document
            .zones
            .get_mut(&format!("z{agent}"))
            .expect("a zone");
        zone.out = !zone.out;
        self.document.version += 1;
        self.send_config(agent);
    }

    /// Passes an event to an agent, checks its bounds and applies its actions.
    fn step(&mut self, id: AgentId, event: impl FnOnce(&mut Agent)) {
        let (incarnation, mut agent) = self.agents[&id].clone();
        event(&mut agent);
        let process = (id, incarnation);
        let mut actions = Vec::new();
        while let Some(action) = agent.poll() {
            actions.push(action);
        }
        let load = agent.load(self.now);
        if actions
            .iter()
            .any(|action| matches!(action, Action::Start { .. }))
        {
            assert!(
                load.running <= load.limit,
                "agent {id}: started beyond the limit: {load:?}"
            );
        }
        assert!(
            load.limit <= 2 && load.running <= 2,
            "agent {id}: limit or running requests above the 2 slots: {load:?}"
        );
        assert!(
            usize::from(load.queued) <= MAX_QUEUED,
            "agent {id}: more than {MAX_QUEUED} queued requests: {load:?}"
        );
        assert!(
            agent.key_count() <= MAX_KEYS,
            "agent {id}: more than {MAX_KEYS} keys"
        );
        self.agents.insert(id, (incarnation, agent));
        for action in actions {
            self.apply_action(process, action);
        }
    }

    fn apply_action(&mut self, process: Process, action: Action) {
        match action {
            Action::Start { id } => {
                self.starting.insert((process, id));
            }
            Action::Relay { id, to } => self.relay_calls.push(RelayCall {
                request_at: (process, id),
                to,
                arrived: None,
                reply: None,
            }),
            Action::Claim { id, key, nonce } => self.claim_calls.push(ClaimCall {
                request_at: (process, id),
                key,
                nonce,
                stored: false,
                waiting: true,
            }),
            Action::Answer { id, reply } => self.answered((process, id), reply),
            Action::Abort { .. } | Action::LimitChanged { .. } | Action::Collapsed => {}
        }
    }

    fn answered(&mut self, request_at: RequestAt, reply: Reply) {
        let sent = self.sent.get_mut(&request_at).expect("a known request");
        sent.answers += 1;
        assert_eq!(sent.answers, 1, "{request_at:?} answered twice");
        let caller_request = &mut self.caller_requests[sent.caller_request];
        // For a request without a key, a peer's "not run" reaches only the agent that relayed it,
        // which may still run the request.
        let reaches_caller = !sent.relayed || caller_request.key.is_some();
        match &reply {
            Reply::Error { outcome, .. } if *outcome != Outcome::Ran => {
                caller_request.not_run |= reaches_caller && *outcome == Outcome::NotRun;
            }
            _ => assert!(
                caller_request.runs > 0,
                "{request_at:?} answered without a run"
            ),
        }
        let relays = self.relay_calls.iter_mut();
        for relay in relays.filter(|relay| relay.arrived == Some(request_at)) {
            relay.reply = Some(reply.clone());
        }
    }

    fn check(&self) {
        for caller_request in &self.caller_requests {
            let caller_requests = self.caller_requests.iter();
            let same = caller_requests
                .filter(|other| other.key.is_some() && other.key == caller_request.key);
            let runs = same
                .map(|other| other.runs)
                .sum::<u32>()
                .max(caller_request.runs);
            let at_most_once = caller_request.class == Class::NonIdempotent;
            assert!(!at_most_once || runs <= 1, "ran twice: {self:?}");
            let contradicted = caller_request.not_run && caller_request.runs > 0;
            assert!(!contradicted, "ran after the answer \"not run\": {self:?}");
        }
    }

    fn is_current(&self, process: Process) -> bool {
        self.agents[&process.0].0 == process.1
    }
}
