//! State shared by the flows and tasks of an agent.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Instant,
};

use sassafrasmast_core::{
    Blackboard,
    agent::{self, Claim, Key, Nonce},
    config::{Service, Snapshot},
    timeline::Kind,
};
use sassafrasmast_wire::Incarnation;
use tokio::sync::{Semaphore, watch};

use super::{Claims, Dispatcher, Phase, Upstream};
use crate::{
    options::{Agent, Settings},
    quic::Socket,
    recorder::Recorder,
    store::Etcd,
};

/// Requests whose body start, of at most 128 KiB, is read concurrently; more are refused.
const MAX_CONCURRENT_READS: usize = 512;

/// State shared by the flows and tasks of an agent.
#[derive(Debug)]
pub struct SharedState {
    /// Settings of the process.
    pub settings: Settings,
    /// Settings of the role.
    pub role: Agent,
    /// The process's blackboard.
    pub blackboard: Arc<Blackboard>,
    /// The process's incarnation.
    pub incarnation: Incarnation,
    /// The frame socket.
    pub socket: Arc<Socket>,
    /// Client of the upstream.
    pub upstream: Upstream,
    /// Owns the agent state machine.
    pub dispatcher: Dispatcher,
    /// Records events on the time line.
    pub recorder: Recorder,
    /// Current phase.
    pub phase: watch::Sender<Phase>,
    /// Permits for reading the start of a request's body.
    pub read_permits: Semaphore,
    claims: Option<Claims>,
    flows: AtomicU32,
    last_request_id: AtomicU64,
}

impl SharedState {
    /// Creates the state; it starts no task.
    pub fn new(
        settings: Settings,
        role: Agent,
        blackboard: Arc<Blackboard>,
        incarnation: Incarnation,
        socket: Arc<Socket>,
    ) -> Self {
        let recorder = Recorder::new(Arc::clone(&blackboard), settings.name.clone(), incarnation);
        let agent_settings = agent::Settings {
            listen: settings.listen,
            incarnation,
            record_inputs: true,
            ..agent::Settings::default()
        };
        let start = Instant::now();
        let recorded_settings = Kind::AgentSettings {
            listen: settings.listen,
            ticks: agent_settings.record_inputs,
        };
        recorder.record_at(start, None, None, recorded_settings);
        let core = agent::Agent::new(agent_settings, start);
        let claims = match &role.store[..] {
            [] => None,
            store => Some(Claims::new(Arc::new(Etcd::new(store.to_vec())))),
        };
        Self {
            upstream: Upstream::new(role.upstream),
            dispatcher: Dispatcher::new(core, recorder.clone()),
            read_permits: Semaphore::new(MAX_CONCURRENT_READS),
            claims,
            settings,
            role,
            blackboard,
            incarnation,
            socket,
            recorder,
            phase: watch::Sender::new(Phase::NotReady),
            flows: AtomicU32::new(0),
            last_request_id: AtomicU64::new(0),
        }
    }

    /// Whether the availability zone is taken out, in which case all flows are closed together.
    pub fn is_out(&self) -> bool {
        *self.phase.borrow() == Phase::Out
    }

    /// The service and the configuration in force, once the agent is admitted.
    pub fn service(&self) -> Option<(Service, Arc<Snapshot>)> {
        let snapshot = self.blackboard.config()?;
        let identity = self.socket.identity()?;
        let service = snapshot.document.services.get(&identity.service)?.clone();
        Some((service, snapshot))
    }

    /// A request id that was never used by this incarnation.
    pub fn next_request_id(&self) -> u64 {
        self.last_request_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Number of open flows.
    pub fn flows(&self) -> u32 {
        self.flows.load(Ordering::Relaxed)
    }

    /// Counts a flow until the guard is dropped.
    pub fn count_flow(self: &Arc<Self>) -> FlowGuard {
        self.flows.fetch_add(1, Ordering::Relaxed);
        FlowGuard {
            shared: Arc::clone(self),
        }
    }

    /// Waits until the phase satisfies `wanted`.
    pub async fn wait_for(&self, wanted: impl Fn(Phase) -> bool) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = phase.wait_for(|phase| wanted(*phase)).await;
    }

    /// A new sealed ticket, unless the agent accepts no new requests.
    pub fn ticket(&self) -> Option<String> {
        let ticket = self.dispatcher.decide(agent::Agent::ticket)?;
        let snapshot = self.blackboard.config()?;
        Some(ticket.seal(&snapshot.keys, rand::random()))
    }

    /// Claims a minted key in the platform's store.
    pub async fn claim(&self, key: &Key, nonce: Nonce) -> Claim {
        let (Some(claims), Some(identity)) = (&self.claims, self.socket.identity()) else {
            return Claim::Unsettled;
        };
        match key {
            Key::Minted(key) => claims.claim(identity.service, key, nonce).await,
            Key::Ticket(_) => Claim::Unsettled,
        }
    }
}

/// Counts one open flow until it is dropped.
#[derive(Debug)]
pub struct FlowGuard {
    shared: Arc<SharedState>,
}

impl Drop for FlowGuard {
    fn drop(&mut self) {
        self.shared.flows.fetch_sub(1, Ordering::Relaxed);
    }
}
