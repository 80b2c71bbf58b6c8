//! One agent under a virtual clock.

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

/// A document with agents 1 to `agents` of service 1, each in its own zone.
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

/// An answer to keep.
pub fn kept(body: &str) -> Option<Arc<StoredAnswer>> {
    Some(Arc::new(StoredAnswer {
        status: 200,
        headers: Vec::new(),
        body: body.into(),
    }))
}

/// A whole good answer after `ms` milliseconds.
pub fn whole(ms: u64) -> Finish {
    Finish::Whole {
        answer: kept("booked"),
        latency: Duration::from_millis(ms),
        failed: false,
    }
}

/// An agent, the present time and the decisions taken so far.
#[derive(Debug, Clone)]
pub struct Rig {
    pub agent: Agent,
    pub now: Instant,
    pub document: Document,
    pub actions: Vec<Action>,
}

impl Rig {
    /// Agent 1 of 3, with so many slots.
    pub fn new(slots: u16) -> Self {
        Self::with(slots, Settings::default())
    }

    /// The same with other settings.
    pub fn with(slots: u16, settings: Settings) -> Self {
        Self::of(1, slots, settings)
    }

    /// Any of the agents.
    pub fn of(agent: AgentId, slots: u16, settings: Settings) -> Self {
        let now = Instant::now();
        let settings = Settings {
            listen: address(agent),
            incarnation: INCARNATION,
            ..settings
        };
        let mut rig = Self {
            agent: Agent::new(settings, now),
            now,
            document: document(3, slots),
            actions: Vec::new(),
        };
        rig.configure(|_| ());
        rig
    }

    /// Changes the configuration.
    pub fn configure(&mut self, change: impl FnOnce(&mut Document)) {
        change(&mut self.document);
        self.document.version += 1;
        let snapshot = Snapshot::new(self.document.clone()).expect("the secrets are whole");
        self.agent.config(self.now, &snapshot);
        self.take();
    }

    /// Lets time pass.
    pub fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// Lets time pass and ticks.
    pub fn tick(&mut self, ms: u64) {
        self.pass(ms);
        self.agent.tick(self.now);
        self.take();
    }

    /// A small request that waits for 5 s.
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

    /// A request arrives.
    pub fn arrive(&mut self, request: Request) {
        self.agent.arrive(self.now, request);
        self.take();
    }

    /// A booking arrives.
    pub fn booking(&mut self, id: RequestId, key: Option<Key>) {
        let request = self.request(id, Class::NonIdempotent, key);
        self.arrive(request);
    }

    /// A peer reports its load.
    pub fn peer(&mut self, agent: AgentId, limit: u16, wait_ms: u32) {
        let load = Load {
            state: State::Ready,
            limit,
            wait_us: wait_ms * 1_000,
            ..Load::default()
        };
        self.agent.peer_load(self.now, agent, load);
    }

    /// The peer to which a request was relayed last.
    pub fn relay(&self, id: RequestId) -> Option<AgentId> {
        let relays = self.actions.iter().rev();
        let mut relays = relays.filter_map(|action| match action {
            Action::Relay { id: relayed, to } if *relayed == id => Some(*to),
            _ => None,
        });
        relays.next()
    }

    /// A relay ends.
    pub fn relayed(&mut self, id: RequestId, result: Relay) {
        self.agent.relayed(self.now, id, result);
        self.take();
    }

    /// A fresh ticket.
    pub fn ticket(&mut self) -> Key {
        Key::Ticket(self.agent.ticket(self.now).expect("the agent takes work"))
    }

    /// Asks whether a started request may be handed over.
    pub fn hand_over(&mut self, id: RequestId) -> bool {
        let allowed = self.agent.may_start(self.now, id);
        self.take();
        allowed
    }

    /// A started request ends.
    pub fn finish(&mut self, id: RequestId, finish: Finish) {
        self.agent.finished(self.now, id, finish);
        self.take();
    }

    /// Runs a started request to a good end after 10 ms.
    pub fn run(&mut self, id: RequestId) {
        assert!(self.hand_over(id));
        self.pass(10);
        self.finish(id, whole(10));
    }

    /// Raises the limit to 5 by good answers of so many milliseconds.
    pub fn warm(&mut self, ms: u64) {
        let mut id = 1 << 40;
        while self.agent.load(self.now).limit < 5 {
            let ids = id..id + u64::from(self.agent.load(self.now).limit);
            id = ids.end;
            for id in ids.clone() {
                self.arrive(self.request(id, Class::Idempotent, None));
                assert!(self.hand_over(id));
            }
            self.pass(ms);
            ids.for_each(|id| self.finish(id, whole(ms)));
        }
        self.actions.clear();
    }

    /// Takes the decisions.
    pub fn take(&mut self) {
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

    /// Asserts that a request got exactly this error.
    #[track_caller]
    pub fn assert_error(&self, id: RequestId, kind: Kind, outcome: Outcome) {
        assert_eq!(self.replies(id), [Reply::Error { kind, outcome }]);
    }
}
