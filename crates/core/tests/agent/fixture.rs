//! A test fixture: one agent with a virtual clock, and the actions that it has returned.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_core::{
    agent::{Action, Agent, Class, Finish, Key, Relay, Reply, Request, Settings, StoredAnswer},
    config::{Document, Secrets, Service, Snapshot, Upstream, Zone},
    error::{Kind, Outcome},
    timeline::RequestId,
};
use sassafrasmast_wire::{AgentId, Load, State};

/// Incarnation of the agents under test.
pub const INCARNATION: u64 = 1_000;

/// Address of an agent.
pub fn address(agent: AgentId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, agent as u8], 7000))
}

/// A configuration with agents 1 to `agents` of service 1, each in its own availability zone.
pub fn document(agents: AgentId, slots: u16) -> Document {
    let mut document = Document::first(Secrets {
        sealing: 0,
        phases: BTreeMap::from([(0, [1; 32])]),
        reset: [2; 32],
    });
    let service = Service {
        name: "dispatch".to_owned(),
        address: address(200),
        feeds: vec!["/feed".to_owned()],
        deadline_ms: 5_000,
        max_body_bytes: 1 << 20,
    };
    document.services.insert(1, service);
    for agent in 1..=agents {
        document.zones.insert(format!("z{agent}"), Zone::default());
        document.upstreams.insert(agent, upstream(agent, slots));
    }
    document
}

fn upstream(agent: AgentId, slots: u16) -> Upstream {
    Upstream {
        service: 1,
        zone: format!("z{agent}"),
        agent: address(agent),
        upstream: SocketAddr::from(([127, 0, 1, agent as u8], 8000)),
        slots,
        connections: 20,
        draining: false,
    }
}

/// An answer with this body that is stored for repeats.
pub fn stored_answer(body: &str) -> Option<Arc<StoredAnswer>> {
    Some(Arc::new(StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: body.into(),
    }))
}

/// A complete successful answer after `ms` milliseconds.
pub fn whole_answer(ms: u64) -> Finish {
    Finish::Whole {
        answer: stored_answer("booked"),
        latency: Duration::from_millis(ms),
        failed: false,
    }
}

/// An agent, the current time and the actions collected so far.
#[derive(Debug, Clone)]
pub struct Fixture {
    pub agent: Agent,
    pub now: Instant,
    pub document: Document,
    pub actions: Vec<Action>,
}

impl Fixture {
    /// Agent 1 of 3, with `slots` slots.
    pub fn new(slots: u16) -> Self {
        Self::with_settings(slots, Settings::default())
    }

    /// Agent 1 of 3 with other settings.
    pub fn with_settings(slots: u16, settings: Settings) -> Self {
        Self::for_agent(1, slots, settings)
    }

    /// Any of the 3 agents.
    pub fn for_agent(agent: AgentId, slots: u16, settings: Settings) -> Self {
        let now = Instant::now();
        let settings = Settings {
            listen: address(agent),
            incarnation: INCARNATION,
            ..settings
        };
        let mut fixture = Self {
            agent: Agent::new(settings, now),
            now,
            document: document(3, slots),
            actions: Vec::new(),
        };
        fixture.configure(|_| ());
        fixture
    }

    /// Changes the configuration.
    pub fn configure(&mut self, change: impl FnOnce(&mut Document)) {
        change(&mut self.document);
        self.document.version += 1;
        let snapshot = Snapshot::new(self.document.clone()).expect("consistent secrets");
        self.agent.config(self.now, &snapshot);
        self.collect_actions();
    }

    /// Advances the clock.
    pub fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// Advances the clock and ticks.
    pub fn tick(&mut self, ms: u64) {
        self.advance(ms);
        self.agent.tick(self.now);
        self.collect_actions();
    }

    /// A small request with a deadline in 5 s.
    pub fn request(&self, id: RequestId, class: Class, key: Option<Key>) -> Request {
        Request {
            id,
            class,
            key,
            digest: [0; 32],
            body_bytes: Some(100),
            deadline: self.now + Duration::from_secs(5),
            relayed: false,
        }
    }

    /// Lets a request arrive.
    pub fn arrive(&mut self, request: Request) {
        self.agent.arrive(self.now, request);
        self.collect_actions();
    }

    /// Lets a booking arrive.
    pub fn arrive_booking(&mut self, id: RequestId, key: Option<Key>) {
        let request = self.request(id, Class::NonIdempotent, key);
        self.arrive(request);
    }

    /// Lets a peer report its load.
    pub fn peer_load(&mut self, agent: AgentId, limit: u16, wait_ms: u32) {
        let load = Load {
            state: State::Ready,
            limit,
            wait_us: wait_ms * 1_000,
            ..Load::default()
        };
        self.agent.peer_load(self.now, agent, load);
    }

    /// The peer to which a request was last relayed.
    pub fn relay_target(&self, id: RequestId) -> Option<AgentId> {
        let relays = self.actions.iter().rev();
        let mut relays = relays.filter_map(|action| match action {
            Action::Relay { id: relayed, to } if *relayed == id => Some(*to),
            _ => None,
        });
        relays.next()
    }

    /// Ends a relay.
    pub fn relayed(&mut self, id: RequestId, result: Relay) {
        self.agent.relayed(self.now, id, result);
        self.collect_actions();
    }

    /// A new ticket of the agent.
    pub fn ticket(&mut self) -> Key {
        Key::Ticket(self.agent.ticket(self.now).expect("the agent takes work"))
    }

    /// Asks whether a started request may be handed over.
    pub fn hand_over(&mut self, id: RequestId) -> bool {
        let allowed = self.agent.begin_hand_over(self.now, id);
        self.collect_actions();
        allowed
    }

    /// Ends a started request.
    pub fn finish(&mut self, id: RequestId, finish: Finish) {
        self.agent.finished(self.now, id, finish);
        self.collect_actions();
    }

    /// Runs a started request, which is answered after 10 ms.
    pub fn run(&mut self, id: RequestId) {
        assert!(self.hand_over(id));
        self.advance(10);
        self.finish(id, whole_answer(10));
    }

    /// Raises the limit to 5 by successful answers after `ms` milliseconds.
    pub fn warm_up(&mut self, ms: u64) {
        let mut id = 1 << 40;
        while self.agent.load(self.now).limit < 5 {
            let ids = id..id + u64::from(self.agent.load(self.now).limit);
            id = ids.end;
            for id in ids.clone() {
                self.arrive(self.request(id, Class::Idempotent, None));
                assert!(self.hand_over(id));
            }
            self.advance(ms);
            ids.for_each(|id| self.finish(id, whole_answer(ms)));
        }
        self.actions.clear();
    }

    /// Appends the agent's pending actions to [`Fixture::actions`].
    pub fn collect_actions(&mut self) {
        while let Some(action) = self.agent.poll() {
            self.actions.push(action);
        }
    }

    /// Whether a request was started.
    pub fn started(&self, id: RequestId) -> bool {
        self.actions.contains(&Action::Start { id })
    }

    /// The final answers of a request.
    pub fn replies(&self, id: RequestId) -> Vec<Reply> {
        let actions = self.actions.iter();
        let replies = actions.filter_map(|action| match action {
            Action::Answer {
                id: answered,
                reply,
            } if *answered == id => Some(reply.clone()),
            _ => None,
        });
        replies.collect()
    }

    /// Asserts that a request got exactly one answer, this error.
    #[track_caller]
    pub fn assert_error(&self, id: RequestId, kind: Kind, outcome: Outcome) {
        assert_eq!(self.replies(id), [Reply::Error { kind, outcome }]);
    }
}
