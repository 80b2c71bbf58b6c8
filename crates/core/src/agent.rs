//! Decisions of an agent: when a request runs, where, and what its caller is told.
//!
//! [`Agent`] is a state machine without I/O. The edge reports events with the present time and
//! then takes the decisions from [`Agent::poll`] until there are none. Each request that arrived
//! gets exactly one [`Action::Answer`]. The methods stand by concern in the private modules
//! `arrival`, `claiming`, `running`, `relaying`, `ending`, `clock` and `membership`.
//!
//! "Not run" is said only where it stays true: by the agent that a ticket names, by the agent
//! that claimed a minted key, or for a request without a key that was never handed over. In all
//! other cases the outcome is "unknown", and repeating the same key is safe.

mod action;
mod arrival;
mod budget;
pub mod claim;
mod claiming;
mod class;
mod clock;
mod ending;
mod finish;
mod flight;
mod input;
mod key;
mod limiter;
mod member;
mod membership;
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
mod slots;
mod stored_answer;
mod used;
mod weight;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use sassafrasmast_wire::{AgentId, Load, ServiceId, State, Ticket};

use crate::timeline::RequestId;

use self::{flight::Flight, member::Member, slots::Slots};

pub use self::{
    action::Action,
    budget::Budget,
    claim::{Claim, Nonce},
    class::Class,
    finish::Finish,
    input::Input,
    key::Key,
    limiter::{Limiter, Sign},
    peers::Peers,
    predictor::Predictor,
    queue::Queue,
    registry::{Entry, Record, Registry},
    relay::Relay,
    reply::Reply,
    request::{Digest, Request},
    settings::Settings,
    stored_answer::StoredAnswer,
    used::Used,
    weight::Weight,
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
    drained: Option<Instant>,
    flights: BTreeMap<RequestId, Flight>,
    /// When something has to happen to an unfinished request.
    dues: BTreeSet<(Instant, RequestId)>,
    claiming: usize,
    relaying: usize,
    queue: Queue,
    slots: Slots,
    limiter: Limiter,
    limit_told: u16,
    registry: Registry,
    retries: Budget,
    claims: Budget,
    claim_count: u64,
    ticket_count: u64,
    peers: Peers,
    predictor: Predictor,
    /// When the last small request arrived.
    small: Option<Instant>,
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
            drained: None,
            flights: BTreeMap::new(),
            dues: BTreeSet::new(),
            claiming: 0,
            relaying: 0,
            queue: Queue::default(),
            slots: Slots::default(),
            limiter: Limiter::new(0),
            limit_told: 0,
            registry,
            retries: Budget::new(RETRY_BURST, 0.0, now),
            claims: Budget::new(CLAIM_BURST, 0.0, now),
            claim_count: 0,
            ticket_count: 0,
            peers: Peers::default(),
            predictor: Predictor::default(),
            small: None,
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
    fn note(&mut self, now: Instant, id: Option<RequestId>, input: impl FnOnce() -> Input) {
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
        let wait = self.expected(now, Weight::Small);
        Load {
            state: self.state(now),
            running: self.slots.used(),
            queued: u16::try_from(self.queue.len() + self.claiming).unwrap_or(u16::MAX),
            limit: self.limiter.limit(now),
            flows: 0,
            wait_us: u32::try_from(wait.as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// A fresh ticket for the next request of a caller; `None` unless this agent takes new work.
    pub fn ticket(&mut self, now: Instant) -> Option<Ticket> {
        self.note(now, None, || Input::Ticket);
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
        self.note(now, None, || Input::Peer { agent, load });
        let peer = |member: &Member| member.peers.contains(&agent);
        if self.member.as_ref().is_some_and(peer) {
            self.peers.report(now, agent, load);
        }
    }

    /// When [`Agent::tick`] has to be called at the latest.
    pub fn next_tick(&self) -> Option<Instant> {
        let due = self.dues.first().map(|(at, _)| *at);
        let grace = self.drained.map(|since| since + self.settings.drain_grace);
        let waiting = [grace, self.limiter.resumes()].into_iter().flatten();
        let waiting = waiting.filter(|_| !self.queue.is_empty());
        due.into_iter().chain(waiting).min()
    }

    /// Requests that have not got their final answer or still occupy the upstream.
    pub fn open_requests(&self) -> usize {
        self.flights.len()
    }

    /// Whether more decisions about a request may follow.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.flights.contains_key(&id)
    }

    /// Whether requests other than feeds are unfinished.
    pub fn is_busy(&self) -> bool {
        let mut flights = self.flights.values();
        flights.any(|flight| flight.request.class != Class::Feed)
    }

    /// Keys that are remembered.
    pub fn key_count(&self) -> usize {
        self.registry.len()
    }

    fn state(&self, now: Instant) -> State {
        match &self.member {
            Some(member) if member.out => State::Out,
            Some(_) if self.drained.is_none() && self.limiter.cold(now) => State::Cold,
            Some(_) if self.drained.is_none() => State::Ready,
            _ => State::Draining,
        }
    }

    /// Predicted time until a request that arrives now is answered: the learnt service time of
    /// its weight, longer by the share of the limit that is taken or waited for.
    pub fn expected(&self, now: Instant, weight: Weight) -> Duration {
        let start = self.resumes(now);
        let ahead = usize::from(self.slots.used()) + self.queue.len() + self.claiming;
        let limit = self.limiter.limit(start).max(1);
        let share = ahead as f64 / f64::from(limit);
        start - now + self.predictor.service(weight).mul_f64(1.0 + share)
    }

    fn resumes(&self, now: Instant) -> Instant {
        self.limiter.resumes().map_or(now, |at| at.max(now))
    }

    /// Predicted wait for a slot of a request that arrives now.
    fn wait(&self, now: Instant, weight: Weight) -> Duration {
        let start = self.resumes(now);
        let pause = start - now;
        let limit = u32::from(self.limiter.limit(start));
        if limit == 0 {
            return Duration::MAX;
        }
        if self.queue.is_empty() && u32::from(self.slots.used()) < limit {
            return pause;
        }
        let service = |weight| self.predictor.service(weight);
        let waiting = |weight| service(weight) * clamp(self.queue.count(weight));
        let own = waiting(weight);
        let other = waiting(weight.other()).min(own + service(weight));
        let running = self.slots.remaining(now, service);
        pause + (running + own + other) / limit
    }
}

fn clamp(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
