//! What all flows of an agent share.

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

/// Requests whose beginning, at most 64 KiB, is being read at once; more are refused.
const MAX_READING: usize = 512;

/// The running agent.
#[derive(Debug)]
pub struct Server {
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
    /// The one upstream.
    pub upstream: Upstream,
    /// Decides about requests.
    pub dispatcher: Dispatcher,
    /// Writes the time line.
    pub recorder: Recorder,
    /// Where the agent is in its life.
    pub phase: watch::Sender<Phase>,
    /// Room for requests whose beginning is being read.
    pub reading: Semaphore,
    claims: Option<Claims>,
    flows: AtomicU32,
    requests: AtomicU64,
}

impl Server {
    /// Puts the parts together.
    pub fn new(
        settings: Settings,
        role: Agent,
        blackboard: Arc<Blackboard>,
        incarnation: Incarnation,
        socket: Arc<Socket>,
    ) -> Self {
        let recorder = Recorder::new(Arc::clone(&blackboard), settings.name.clone(), incarnation);
        let decisions = agent::Settings {
            listen: settings.listen,
            incarnation,
            record_inputs: true,
            ..agent::Settings::default()
        };
        let start = Instant::now();
        let began = Kind::AgentSettings {
            listen: settings.listen,
            ticks: decisions.record_inputs,
        };
        recorder.record_at(start, None, None, began);
        let core = agent::Agent::new(decisions, start);
        let claims = match &role.store[..] {
            [] => None,
            store => Some(Claims::new(Arc::new(Etcd::new(store.to_vec())))),
        };
        Self {
            upstream: Upstream::new(role.upstream),
            dispatcher: Dispatcher::new(core, recorder.clone()),
            reading: Semaphore::new(MAX_READING),
            claims,
            settings,
            role,
            blackboard,
            incarnation,
            socket,
            recorder,
            phase: watch::Sender::new(Phase::NotReady),
            flows: AtomicU32::new(0),
            requests: AtomicU64::new(0),
        }
    }

    /// Whether the availability zone is out. All flows are closed together then.
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
    pub fn next_request(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Open flows.
    pub fn flows(&self) -> u32 {
        self.flows.load(Ordering::Relaxed)
    }

    /// Counts a flow until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> Entry {
        self.flows.fetch_add(1, Ordering::Relaxed);
        Entry {
            server: Arc::clone(self),
        }
    }

    /// Waits until the phase satisfies `wanted`.
    pub async fn wait_for(&self, wanted: impl Fn(Phase) -> bool) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = phase.wait_for(|phase| wanted(*phase)).await;
    }

    /// A fresh sealed ticket, unless the agent takes no new work.
    pub fn ticket(&self) -> Option<String> {
        let ticket = self.dispatcher.decide(agent::Agent::ticket)?;
        let snapshot = self.blackboard.config()?;
        Some(ticket.seal(&snapshot.keys, rand::random()))
    }

    /// Claims a caller's key in the platform's store.
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

/// Counts one open flow.
#[derive(Debug)]
pub struct Entry {
    server: Arc<Server>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.server.flows.fetch_sub(1, Ordering::Relaxed);
    }
}
