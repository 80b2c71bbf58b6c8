//! What all flows of an agent share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use sassafrasmast_core::{Blackboard, config::Service};
use sassafrasmast_wire::Incarnation;
use tokio::sync::watch;

use super::{Phase, Recorder, Upstream};
use crate::{
    options::{Agent, Settings},
    quic::Socket,
};

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
    /// Writes the time line.
    pub recorder: Recorder,
    /// Where the agent is in its life.
    pub phase: watch::Sender<Phase>,
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
        Self {
            upstream: Upstream::new(role.upstream),
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

    /// The service in force, once the agent is admitted.
    pub fn service(&self) -> Option<Service> {
        let snapshot = self.blackboard.config()?;
        let identity = self.socket.identity()?;
        snapshot.document.services.get(&identity.service).cloned()
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

    /// Longest time a request may take, from its caller's header or the service.
    pub fn time_limit(service: &Service, headers: &http::HeaderMap) -> Option<Duration> {
        match headers.get(super::exchange::DEADLINE) {
            None => Some(Duration::from_millis(service.deadline_ms)),
            Some(value) => {
                let millis = value.to_str().ok()?.parse().ok()?;
                Some(Duration::from_millis(millis))
            }
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
