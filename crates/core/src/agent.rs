//! Admission, scheduling and answering of requests at one agent.
//!
//! [`Agent`] is a state machine without I/O. The I/O layer reports events with the current time and
//! then takes the resulting actions from [`Agent::poll`] until it returns `None`. Each request that
//! arrived gets exactly one [`Action::Answer`]. The methods are grouped in the private modules
//! `arrival`, `claiming`, `running`, `relaying`, `answering`, `timers` and `configuration`.
//!
//! The outcome "not run" guarantees that the request never runs. It is decided only by the agent
//! that a ticket names (its home agent), by the agent that claimed a minted key, or for a request
//! without a key that no upstream can have run: it was never handed over, or was refused without
//! being run. An agent that relayed the request passes it on. A ticket of another service is also
//! answered "not run". All other errors have the outcome "unknown", except that of a dropped answer
//! ("ran"); repeating a request that has a key with the same key is safe.

mod action;
mod answering;
mod arrival;
mod budget;
pub mod claim;
mod claiming;
mod class;
mod configuration;
mod finish;
mod in_flight;
mod input;
mod key;
mod limiter;
mod member;
mod peers;
mod predictor;
mod queue;
mod registry;
mod relay;
mod relaying;
mod reply;
mod request;
mod running;
mod settings;
mod size_class;
mod slots;
mod stored_answer;
mod timers;
mod used_ticket_nonces;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use sassafrasmast_wire::{AgentId, Load, ServiceId, State, Ticket};

use crate::timeline::RequestId;

use self::{in_flight::InFlight, member::Member, slots::Slots};

pub use self::{
    action::Action,
    budget::Budget,
    claim::{Claim, Nonce},
    class::Class,
    finish::Finish,
    input::Input,
    key::Key,
    limiter::{Limiter, Signal},
    peers::Peers,
    predictor::Predictor,
    queue::Queue,
    registry::{Entry, Record, Registry},
    relay::Relay,
    reply::Reply,
    request::{Digest, Request},
    settings::Settings,
    size_class::SizeClass,
    stored_answer::StoredAnswer,
    used_ticket_nonces::UsedTicketNonces,
};

/// Capacity of the retry budget in tokens.
const RETRY_BURST: f64 = 10.0;

/// Capacity of the claim budget in tokens.
const CLAIM_BURST: f64 = 20.0;

/// The state machine of one agent. Cloning gives an independent copy, which tests use to explore
/// schedules.
#[derive(Debug, Clone)]
pub struct Agent {
    settings: Settings,
    /// Start of the incarnation; the expiry of a ticket is counted from here.
    started: Instant,
    member: Option<Member>,
    /// Whether the process was told to stop.
    stopping: bool,
    /// When the current drain began.
    draining_since: Option<Instant>,
    requests: BTreeMap<RequestId, InFlight>,
    /// At most one timer for each unfinished request, earliest first.
    timers: BTreeSet<(Instant, RequestId)>,
    /// Requests in [`Stage::Claiming`](in_flight::Stage::Claiming).
    pending_claims: usize,
    /// Requests in [`Stage::Relaying`](in_flight::Stage::Relaying).
    pending_relays: usize,
    queue: Queue,
    slots: Slots,
    limiter: Limiter,
    /// The limit of the last [`Action::LimitChanged`].
    reported_limit: u16,
    registry: Registry,
    retry_budget: Budget,
    claim_budget: Budget,
    /// Number of nonces given to claims.
    claim_count: u64,
    /// Number of tickets issued, which is the nonce of the latest one.
    ticket_count: u64,
    peers: Peers,
    predictor: Predictor,
    last_small_arrival: Option<Instant>,
    actions: VecDeque<Action>,
    recorded: Vec<Recorded>,
}

/// An input with its time and the request that it is about.
pub type Recorded = (Instant, Option<RequestId>, Input);

impl Agent {
    /// Creates an agent without a configuration. It refuses all requests until [`Agent::config`]
    /// passes a configuration that lists it.
    ///
    /// ```
    /// use std::time::Instant;
    /// use sassafrasmast_core::agent::{Agent, Settings};
    /// let now = Instant::now();
    /// let agent = Agent::new(Settings::default(), now);
    /// assert!(!agent.load(now).state.takes_work());
    /// ```
    pub fn new(settings: Settings, now: Instant) -> Self {
        let registry = Registry::new(settings.max_keys, settings.max_answer_bytes);
        Self {
            settings,
            started: now,
            member: None,
            stopping: false,
            draining_since: None,
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            pending_claims: 0,
            pending_relays: 0,
            queue: Queue::default(),
            slots: Slots::default(),
            limiter: Limiter::new(0),
            reported_limit: 0,
            registry,
            retry_budget: Budget::new(RETRY_BURST, 0.0, now),
            claim_budget: Budget::new(CLAIM_BURST, 0.0, now),
            claim_count: 0,
            ticket_count: 0,
            peers: Peers::default(),
            predictor: Predictor::default(),
            last_small_arrival: None,
            actions: VecDeque::new(),
            recorded: Vec::new(),
        }
    }

    /// The next action. To be called after each event until it returns `None`.
    pub fn poll(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Removes and returns the inputs recorded since the last call, if
    /// [`Settings::record_inputs`] is set.
    pub fn take_inputs(&mut self) -> Vec<Recorded> {
        std::mem::take(&mut self.recorded)
    }

    fn record_input(&mut self, now: Instant, id: Option<RequestId>, input: impl FnOnce() -> Input) {
        if self.settings.record_inputs {
            self.recorded.push((now, id, input()));
        }
    }

    /// Id and service of this agent, if the configuration lists it.
    pub fn identity(&self) -> Option<(AgentId, ServiceId)> {
        let member = self.member.as_ref()?;
        Some((member.agent, member.service))
    }

    /// The load to report. The I/O layer fills in the number of flows.
    pub fn load(&self, now: Instant) -> Load {
        let wait = self.expected_latency(now, SizeClass::Small);
        Load {
            state: self.state(now),
            running: self.slots.used(),
            queued: u16::try_from(self.queue.len() + self.pending_claims).unwrap_or(u16::MAX),
            limit: self.limiter.limit(now),
            flows: 0,
            wait_us: u32::try_from(wait.as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// Issues a ticket for a caller's next request; `None` if this agent takes no new work.
    pub fn ticket(&mut self, now: Instant) -> Option<Ticket> {
        self.record_input(now, None, || Input::Ticket);
        let member = self.member.as_ref()?;
        if !self.state(now).takes_work() {
            return None;
        }
        self.ticket_count += 1;
        Some(Ticket {
            service: member.service,
            agent: member.agent,
            incarnation: self.settings.incarnation,
            nonce: self.ticket_count,
            expiry: now.saturating_duration_since(self.started) + self.settings.ticket_lifetime,
        })
    }

    /// Stores the load that a peer of the same service reported.
    pub fn peer_load(&mut self, now: Instant, agent: AgentId, load: Load) {
        self.record_input(now, None, || Input::Peer { agent, load });
        let peer = |member: &Member| member.peers.contains(&agent);
        if self.member.as_ref().is_some_and(peer) {
            self.peers.report(now, agent, load);
        }
    }

    /// Latest time at which [`Agent::tick`] has to be called.
    pub fn next_tick(&self) -> Option<Instant> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let grace = self
            .draining_since
            .map(|since| since + self.settings.drain_grace);
        let waiting = [grace, self.limiter.paused_until()].into_iter().flatten();
        let waiting = waiting.filter(|_| !self.queue.is_empty());
        timer.into_iter().chain(waiting).min()
    }

    /// Number of requests that have no final answer yet or still occupy the upstream.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether more actions about a request may follow.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Whether requests other than feeds are unfinished.
    pub fn is_busy(&self) -> bool {
        let mut requests = self.requests.values();
        requests.any(|in_flight| in_flight.request.class != Class::Feed)
    }

    /// Number of idempotency keys in the registry.
    pub fn key_count(&self) -> usize {
        self.registry.len()
    }

    /// The state to report. An agent that the configuration doesn't list reports
    /// [`State::Draining`], as it takes no work.
    fn state(&self, now: Instant) -> State {
        match &self.member {
            Some(member) if member.zone_out => State::Out,
            Some(_) if self.draining_since.is_none() && self.limiter.is_cold(now) => State::Cold,
            Some(_) if self.draining_since.is_none() => State::Ready,
            _ => State::Draining,
        }
    }

    /// Predicted time until a request that arrives now is answered: the rest of the limiter's
    /// pause, and the learnt service time of its size class scaled by 1 + (running and waiting
    /// requests) / limit.
    pub fn expected_latency(&self, now: Instant, size: SizeClass) -> Duration {
        let start = self.earliest_start(now);
        let ahead = usize::from(self.slots.used()) + self.queue.len() + self.pending_claims;
        let limit = self.limiter.limit(start).max(1);
        let occupancy = ahead as f64 / f64::from(limit);
        start - now + self.predictor.service_time(size).mul_f64(1.0 + occupancy)
    }

    /// When requests may start: now, or at the end of the limiter's pause.
    fn earliest_start(&self, now: Instant) -> Instant {
        self.limiter.paused_until().map_or(now, |at| at.max(now))
    }

    /// Predicted time that a request which arrives now waits for a slot. The queue shares service
    /// time equally between the size classes, so waiting requests of the other class count at most
    /// as much as those of its own class with itself.
    fn expected_wait(&self, now: Instant, size: SizeClass) -> Duration {
        let start = self.earliest_start(now);
        let pause = start - now;
        let limit = u32::from(self.limiter.limit(start));
        if limit == 0 {
            return Duration::MAX;
        }
        if self.queue.is_empty() && u32::from(self.slots.used()) < limit {
            return pause;
        }
        let service_time = |size| self.predictor.service_time(size);
        let waiting = |size| service_time(size) * saturating_u32(self.queue.count(size));
        let own = waiting(size);
        let other = waiting(size.other()).min(own + service_time(size));
        let running = self.slots.remaining_service_time(now, service_time);
        pause + (running + own + other) / limit
    }
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
