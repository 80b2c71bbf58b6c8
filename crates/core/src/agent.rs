//! Decisions of an agent: when a request runs, where, and what its caller is told.
//!
//! [`Agent`] is a state machine without I/O. The edge reports events with the present time and
//! then takes the decisions from [`Agent::poll`] until there are none. Each request that arrived
//! gets exactly one [`Action::Answer`]. The methods stand by concern in the private modules
//! `arrival`, `claiming`, `running`, `relaying`, `answering`, `timers` and `membership`.
//!
//! "Not run" is said only where it stays true: by the agent that a ticket names, by the agent
//! that claimed a minted key, or for a request without a key that was never handed over. In all
//! other cases the outcome is "unknown", and repeating the same key is safe.

mod action;
mod answering;
mod arrival;
mod budget;
pub mod claim;
mod claiming;
mod class;
mod finish;
mod in_flight;
mod input;
mod key;
mod limiter;
mod member;
mod membership;
mod nonce_set;
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
    nonce_set::NonceSet,
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
};

/// Most tokens of the retry budget.
const RETRY_BURST: f64 = 10.0;

/// Most tokens of the claim budget.
const CLAIM_BURST: f64 = 20.0;

/// The decisions of one agent. Cloning gives an independent copy, for exploring schedules.
#[derive(Debug, Clone)]
pub struct Agent {
    settings: Settings,
    /// Start of the incarnation; tickets expire on this clock.
    started: Instant,
    member: Option<Member>,
    /// The process was told to stop.
    stopping: bool,
    /// When the present drain began.
    draining_since: Option<Instant>,
    requests: BTreeMap<RequestId, InFlight>,
    /// When something has to happen to an unfinished request.
    timers: BTreeSet<(Instant, RequestId)>,
    pending_claims: usize,
    pending_relays: usize,
    queue: Queue,
    slots: Slots,
    limiter: Limiter,
    reported_limit: u16,
    registry: Registry,
    retry_budget: Budget,
    claim_budget: Budget,
    claim_count: u64,
    ticket_count: u64,
    peers: Peers,
    predictor: Predictor,
    /// When the last small request arrived.
    last_small_arrival: Option<Instant>,
    actions: VecDeque<Action>,
    recorded: Vec<Recorded>,
}

/// An input with its time and the request concerned.
pub type Recorded = (Instant, Option<RequestId>, Input);

impl Agent {
    /// An agent without a configuration: it refuses everything until [`Agent::config`].
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

    /// The next decision. Called after each event until it returns `None`.
    pub fn poll(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// The inputs since the last call, if [`Settings::record_inputs`] is set.
    pub fn take_inputs(&mut self) -> Vec<Recorded> {
        std::mem::take(&mut self.recorded)
    }

    /// Records an input.
    fn record_input(&mut self, now: Instant, id: Option<RequestId>, input: impl FnOnce() -> Input) {
        if self.settings.record_inputs {
            self.recorded.push((now, id, input()));
        }
    }

    /// Id and service of this agent, once it is admitted.
    pub fn identity(&self) -> Option<(AgentId, ServiceId)> {
        let member = self.member.as_ref()?;
        Some((member.agent, member.service))
    }

    /// The load to report. The edge fills in the number of flows.
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

    /// A fresh ticket for the next request of a caller; `None` unless this agent takes new work.
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

    /// Takes in the load that a peer of the same service reports.
    pub fn peer_load(&mut self, now: Instant, agent: AgentId, load: Load) {
        self.record_input(now, None, || Input::Peer { agent, load });
        let peer = |member: &Member| member.peers.contains(&agent);
        if self.member.as_ref().is_some_and(peer) {
            self.peers.report(now, agent, load);
        }
    }

    /// When [`Agent::tick`] has to be called at the latest.
    pub fn next_tick(&self) -> Option<Instant> {
        let timer = self.timers.first().map(|(at, _)| *at);
        let grace = self
            .draining_since
            .map(|since| since + self.settings.drain_grace);
        let waiting = [grace, self.limiter.paused_until()].into_iter().flatten();
        let waiting = waiting.filter(|_| !self.queue.is_empty());
        timer.into_iter().chain(waiting).min()
    }

    /// Requests that have not got their final answer or still occupy the upstream.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether more decisions about a request may follow.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Whether requests other than feeds are unfinished.
    pub fn is_busy(&self) -> bool {
        let mut requests = self.requests.values();
        requests.any(|in_flight| in_flight.request.class != Class::Feed)
    }

    /// Keys that are remembered.
    pub fn key_count(&self) -> usize {
        self.registry.len()
    }

    fn state(&self, now: Instant) -> State {
        match &self.member {
            Some(member) if member.zone_out => State::Out,
            Some(_) if self.draining_since.is_none() && self.limiter.is_cold(now) => State::Cold,
            Some(_) if self.draining_since.is_none() => State::Ready,
            _ => State::Draining,
        }
    }

    /// Predicted time until a request that arrives now is answered: the learnt service time of
    /// its size, longer by the share of the limit that is taken or waited for.
    pub fn expected_latency(&self, now: Instant, size: SizeClass) -> Duration {
        let start = self.earliest_start(now);
        let ahead = usize::from(self.slots.used()) + self.queue.len() + self.pending_claims;
        let limit = self.limiter.limit(start).max(1);
        let share = ahead as f64 / f64::from(limit);
        start - now + self.predictor.service_time(size).mul_f64(1.0 + share)
    }

    fn earliest_start(&self, now: Instant) -> Instant {
        self.limiter.paused_until().map_or(now, |at| at.max(now))
    }

    /// Predicted wait for a slot of a request that arrives now.
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
