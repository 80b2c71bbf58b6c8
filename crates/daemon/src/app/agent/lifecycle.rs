//! Life cycle of an agent: admission, serving, drain, zone taken out and stop.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use quinn::{VarInt, crypto::rustls::QuicServerConfig};
use sassafrasmast_core::{Blackboard, agent, config::Document, timeline::Kind};
use sassafrasmast_wire::{Body, ConfigVersion, Incarnation, Load};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::Notify,
    time::{MissedTickBehavior, interval, timeout},
};

use super::{PeerHandler, Phase, SharedState, flow, peer_loads};
use crate::{
    options::{Agent, Settings},
    quic::{Certificate, Identity, Socket, endpoint},
};

/// Time between two checks of configuration and load.
const PHASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two announcements while the upstream is not admitted.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two announcements of an admitted upstream.
const ADMITTED_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(30);

/// Time between two removals of expired return paths.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);

/// Longest time for which requests that run when their zone is taken out may finish. Balancers
/// forward nothing to the zone during it, but answers still leave the zone.
const ZONE_OUT_GRACE: Duration = Duration::from_millis(1_500);

/// Time between the end of the last request and the close of its flows, for its answer to be sent.
const ANSWER_FLUSH_TIME: Duration = Duration::from_millis(200);

/// Longest time for sending the close messages of flows; after it, packets are dropped.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Application close code for a zone taken out: ASCII "ZO", neither defined nor reserved by RFC
/// 9114.
const ZONE_OUT_CODE: VarInt = VarInt::from_u32(0x5a4f);

/// Application close code for a stop: no error (RFC 9114, section 8.1).
const H3_NO_ERROR_CODE: VarInt = VarInt::from_u32(0x100);

/// Runs an agent through its phases.
pub struct Lifecycle {
    shared: Arc<SharedState>,
    crypto: Arc<QuicServerConfig>,
    drain_requested: Arc<AtomicBool>,
    stop: Arc<Notify>,
}

/// State of [`Lifecycle`] between two ticks.
#[derive(Default)]
struct Progress {
    open: Option<AdmittedEndpoint>,
    /// Version of the configuration that the agent state machine has.
    version: ConfigVersion,
    last_announcement: Option<Instant>,
    last_expiry: Option<Instant>,
    last_probe: Option<Instant>,
    /// When the zone was taken out while flows were open.
    zone_out_since: Option<Instant>,
    /// Since when no request has been running.
    idle_since: Option<Instant>,
    /// When the drain that ends in a stop began.
    drain_since: Option<Instant>,
}

/// The endpoint of an admitted agent.
struct AdmittedEndpoint {
    identity: Identity,
    endpoint: quinn::Endpoint,
}

impl AdmittedEndpoint {
    /// Closes all flows. Callers that miss the close message get a stateless reset or time out.
    async fn close(self, code: VarInt, reason: &[u8]) {
        self.endpoint.close(code, reason);
        let _ = timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
    }
}

impl Lifecycle {
    /// Binds the frame socket and reads the certificate.
    ///
    /// # Errors
    ///
    /// Names the address or file that cannot be used.
    pub fn start(
        settings: Settings,
        role: Agent,
        blackboard: Arc<Blackboard>,
    ) -> anyhow::Result<Self> {
        let crypto = Certificate::load(&role.certificate, &role.key)?.crypto()?;
        let incarnation = incarnation();
        let socket = Socket::bind(
            settings.listen,
            Arc::clone(&blackboard),
            incarnation,
            role.connections,
        );
        let socket = Arc::new(socket.map_err(|error| {
            anyhow::anyhow!("listen: cannot bind {}: {error}", settings.listen)
        })?);
        let shared = SharedState::new(settings, role, blackboard, incarnation, socket);
        log::info!("agent: listening on {}", shared.settings.listen);
        shared.recorder.record(Kind::Started);
        Ok(Self {
            shared: Arc::new(shared),
            crypto,
            drain_requested: Arc::new(AtomicBool::new(false)),
            stop: Arc::new(Notify::new()),
        })
    }

    /// State shared by all flows.
    pub fn shared(&self) -> &Arc<SharedState> {
        &self.shared
    }

    /// A function that starts a drain, after which the agent stops.
    pub fn drain(&self) -> impl Fn() + Send + Sync + 'static {
        let drain_requested = Arc::clone(&self.drain_requested);
        move || drain_requested.store(true, Ordering::Relaxed)
    }

    /// A function that stops the agent at once.
    pub fn stop(&self) -> impl Fn() + Send + Sync + 'static {
        let stop = Arc::clone(&self.stop);
        move || stop.notify_one()
    }

    /// Drains on the first SIGTERM or SIGINT and stops on the second.
    ///
    /// # Errors
    ///
    /// If the signals cannot be watched.
    pub fn watch_signals(&self) -> anyhow::Result<()> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let (drain, stop) = (self.drain(), self.stop());
        tokio::spawn(async move {
            for action in [&drain as &(dyn Fn() + Send + Sync), &stop] {
                tokio::select! {
                    _ = terminate.recv() => {}
                    _ = interrupt.recv() => {}
                }
                action();
            }
        });
        Ok(())
    }

    /// The handler of calls from other processes.
    pub fn peer_handler(&self) -> Arc<PeerHandler> {
        Arc::new(PeerHandler::new(Arc::clone(&self.shared)))
    }

    /// Runs until a drain that ends in a stop is finished, or a stop is requested.
    ///
    /// # Errors
    ///
    /// If the socket fails.
    pub async fn run(self) -> anyhow::Result<()> {
        let result = tokio::select! {
            received = self.shared.socket.run() => received.map_err(anyhow::Error::from),
            () = self.shared.dispatcher.run() => Ok(()),
            () = peer_loads::receive_reports(&self.shared) => Ok(()),
            phases = self.run_phases() => phases,
        };
        self.shared.recorder.record(Kind::Stopped);
        log::info!("agent: stopped");
        result
    }

    /// Applies changes of the configuration and signals at every tick.
    async fn run_phases(&self) -> anyhow::Result<()> {
        let mut tick = interval(PHASE_CHECK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut progress = Progress::default();
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = self.stop.notified() => break,
            }
            let now = Instant::now();
            self.apply_config(&mut progress);
            let phase = self.target_phase();
            self.set_phase(phase);
            if !self.is_in_zone_out_grace(now, phase, &mut progress) {
                self.update_endpoint(phase, &mut progress.open).await?;
            }
            self.publish_load(phase);
            self.send_due(now, &mut progress);
            if self.is_drained(now, &mut progress) {
                break;
            }
        }
        if let Some(open) = progress.open {
            open.close(H3_NO_ERROR_CODE, b"stopped").await;
        }
        Ok(())
    }

    /// Passes a new configuration on to the agent state machine.
    fn apply_config(&self, progress: &mut Progress) {
        let Some(snapshot) = self.shared.blackboard.config() else {
            return;
        };
        if snapshot.document.version > progress.version {
            progress.version = snapshot.document.version;
            let dispatcher = &self.shared.dispatcher;
            dispatcher.decide(|agent, now| agent.config(now, &snapshot));
        }
    }

    /// Sends announcements and probes that are due, and removes expired return paths.
    fn send_due(&self, now: Instant, progress: &mut Progress) {
        let is_due = |last: Option<Instant>, after| last.is_none_or(|at| now - at >= after);
        if is_due(progress.last_announcement, self.announce_interval()) {
            progress.last_announcement = Some(now);
            self.announce();
        }
        if is_due(progress.last_probe, peer_loads::PROBE_INTERVAL)
            && peer_loads::probe(&self.shared)
        {
            progress.last_probe = Some(now);
        }
        if is_due(progress.last_expiry, EXPIRE_INTERVAL) {
            progress.last_expiry = Some(now);
            self.shared.socket.expire(now);
        }
    }

    /// Whether a drain that ends in a stop is finished.
    fn is_drained(&self, now: Instant, progress: &mut Progress) -> bool {
        if !self.drain_requested.load(Ordering::Relaxed) {
            return false;
        }
        let dispatcher = &self.shared.dispatcher;
        let since = *progress.drain_since.get_or_insert_with(|| {
            dispatcher.decide(agent::Agent::drain);
            now
        });
        let limit = self.shared.role.drain_deadline_ms;
        let deadline_passed =
            limit.is_some_and(|limit| now - since >= Duration::from_millis(limit));
        deadline_passed
            || (self.shared.flows() == 0
                && dispatcher.inspect(|agent, _| agent.open_requests()) == 0)
    }

    /// The phase that configuration and signals require.
    fn target_phase(&self) -> Phase {
        let Some(snapshot) = self.shared.blackboard.config() else {
            return Phase::NotReady;
        };
        let document = &snapshot.document;
        let Some(identity) = self.identity(document) else {
            return Phase::NotReady;
        };
        let draining = document
            .upstreams
            .get(&identity.agent)
            .is_some_and(|upstream| upstream.draining);
        if !document.is_routable(identity.agent) {
            Phase::Out
        } else if draining || self.drain_requested.load(Ordering::Relaxed) {
            Phase::Draining
        } else {
            Phase::Serving
        }
    }

    fn identity(&self, document: &Document) -> Option<Identity> {
        let SharedState { settings, role, .. } = &*self.shared;
        Identity::find(document, settings.listen, &role.service)
    }

    /// Publishes `phase` if it changed.
    fn set_phase(&self, phase: Phase) {
        let changed = self.shared.phase.send_if_modified(|current| {
            let changed = *current != phase;
            *current = phase;
            changed
        });
        if changed {
            log::info!("agent: entered phase {phase:?}");
            if phase == Phase::Draining {
                self.shared.recorder.record(Kind::Draining);
            }
        }
    }

    /// Whether the flows of a zone that was taken out stay open for its running requests. The agent
    /// state machine already refuses all others.
    fn is_in_zone_out_grace(&self, now: Instant, phase: Phase, progress: &mut Progress) -> bool {
        if phase != Phase::Out || progress.open.is_none() {
            (progress.zone_out_since, progress.idle_since) = (None, None);
            return false;
        }
        let out_since = *progress.zone_out_since.get_or_insert(now);
        if self.shared.dispatcher.inspect(|agent, _| agent.is_busy()) {
            progress.idle_since = None;
        } else {
            progress.idle_since.get_or_insert(now);
        }
        let flushed = progress
            .idle_since
            .is_some_and(|idle| now - idle >= ANSWER_FLUSH_TIME);
        now - out_since < ZONE_OUT_GRACE && !flushed
    }

    /// Opens or closes the endpoint as `phase` requires.
    async fn update_endpoint(
        &self,
        phase: Phase,
        open: &mut Option<AdmittedEndpoint>,
    ) -> anyhow::Result<()> {
        let identity = match phase {
            Phase::NotReady | Phase::Out => None,
            Phase::Serving | Phase::Draining => self
                .shared
                .blackboard
                .config()
                .and_then(|snapshot| self.identity(&snapshot.document)),
        };
        if open.as_ref().map(|open| open.identity) == identity {
            return Ok(());
        }
        if let Some(old) = open.take() {
            old.close(ZONE_OUT_CODE, b"availability zone out").await;
        }
        self.shared.socket.set_identity(identity);
        if let Some(identity) = identity {
            let socket = Arc::clone(&self.shared.socket);
            let endpoint = endpoint(socket, identity, Arc::clone(&self.crypto))?;
            log::info!(
                "agent: admitted as agent {} of service {}",
                identity.agent,
                identity.service
            );
            tokio::spawn(flow::accept(Arc::clone(&self.shared), endpoint.clone()));
            *open = Some(AdmittedEndpoint { identity, endpoint });
        }
        Ok(())
    }

    /// Publishes the load as metrics and in frames to balancers.
    fn publish_load(&self, phase: Phase) {
        let load = self.shared.dispatcher.inspect(agent::Agent::load);
        let flows = self.shared.flows();
        metrics::gauge!("sassafrasmast_agent_flows").set(flows);
        metrics::gauge!("sassafrasmast_agent_running").set(load.running);
        metrics::gauge!("sassafrasmast_agent_queued").set(load.queued);
        metrics::gauge!("sassafrasmast_agent_limit").set(load.limit);
        self.shared.socket.set_load(Load {
            state: phase.state(load.state),
            flows,
            ..load
        });
    }

    fn announce_interval(&self) -> Duration {
        match self.shared.socket.identity() {
            Some(_) => ADMITTED_ANNOUNCE_INTERVAL,
            None => ANNOUNCE_INTERVAL,
        }
    }

    /// Announces the upstream to the balancers of the settings, so that operators can admit it.
    fn announce(&self) {
        let SharedState { settings, role, .. } = &*self.shared;
        for entry in &role.entries {
            let body = Body::Announce {
                service: &role.service,
                zone: &settings.zone,
                upstream: role.upstream,
                incarnation: self.shared.incarnation,
                slots: role.slots,
                connections: role.connections,
            };
            self.shared.socket.send(*entry, body);
        }
    }
}

/// The incarnation of this process: milliseconds since the Unix epoch at its start.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::try_from(since_epoch.as_millis()).unwrap_or(Incarnation::MAX)
}
