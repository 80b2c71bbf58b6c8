//! The life of an agent: admission, service, drain, zone out and stop.

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

use super::{Host, Phase, Server, flow, neighbours};
use crate::{
    options::{Agent, Settings},
    quic::{Certificate, Identity, Socket, endpoint},
};

/// Time between two looks at configuration and load.
const TICK: Duration = Duration::from_millis(50);

/// Time between two announcements while the upstream is not admitted.
const ANNOUNCE: Duration = Duration::from_secs(1);

/// Time between two announcements of an admitted upstream.
const ANNOUNCE_ADMITTED: Duration = Duration::from_secs(30);

/// Time between two sweeps of the ways back.
const SWEEP: Duration = Duration::from_secs(5);

/// Longest time that requests which run when their zone is taken out get to finish. Balancers
/// forward nothing to the zone meanwhile; answers still leave it.
const FINISHING: Duration = Duration::from_millis(1_500);

/// Time in which the last answers leave before their flows are closed.
const LINGER: Duration = Duration::from_millis(200);

/// Time given to the close messages of a zone that is taken out; then packets are dropped.
const CLOSING: Duration = Duration::from_secs(1);

/// Application close code for a zone that is out (private use, as HTTP/3 greases 0x21 + 0x1f N).
const ZONE_OUT: VarInt = VarInt::from_u32(0x5a4f);

/// Application close code for a stop: no error (RFC 9114, section 8.1).
const STOPPED: VarInt = VarInt::from_u32(0x100);

/// Runs an agent through its phases.
pub struct Lifecycle {
    server: Arc<Server>,
    crypto: Arc<QuicServerConfig>,
    leaving: Arc<AtomicBool>,
    stop: Arc<Notify>,
}

/// What [`Lifecycle`] remembers between two looks.
#[derive(Default)]
struct Progress {
    open: Option<Open>,
    /// Version of the configuration that the decisions know.
    version: ConfigVersion,
    announced: Option<Instant>,
    swept: Option<Instant>,
    probed: Option<Instant>,
    /// When the zone was taken out while flows were open.
    out: Option<Instant>,
    /// Since when no request runs.
    idle: Option<Instant>,
    /// When the drain that ends in a stop began.
    left: Option<Instant>,
}

/// The endpoint of an admitted agent.
struct Open {
    identity: Identity,
    endpoint: quinn::Endpoint,
}

impl Open {
    /// Closes all flows. Callers that do not hear it meet a stateless reset or their timeout.
    async fn close(self, code: VarInt, reason: &[u8]) {
        self.endpoint.close(code, reason);
        let _ = timeout(CLOSING, self.endpoint.wait_idle()).await;
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
        let server = Server::new(settings, role, blackboard, incarnation, socket);
        log::info!("agent: started at {}", server.settings.listen);
        server.recorder.record(Kind::Started);
        Ok(Self {
            server: Arc::new(server),
            crypto,
            leaving: Arc::new(AtomicBool::new(false)),
            stop: Arc::new(Notify::new()),
        })
    }

    /// What the flows share.
    pub fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Starts a drain that ends in a stop.
    pub fn drain(&self) -> impl Fn() + Send + Sync + 'static {
        let leaving = Arc::clone(&self.leaving);
        move || leaving.store(true, Ordering::Relaxed)
    }

    /// Stops at once.
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

    /// Answers the calls of peers.
    pub fn host(&self) -> Arc<Host> {
        Arc::new(Host::new(Arc::clone(&self.server)))
    }

    /// Runs until a drain is finished or a stop is asked for.
    ///
    /// # Errors
    ///
    /// If the socket fails.
    pub async fn run(self) -> anyhow::Result<()> {
        let result = tokio::select! {
            received = self.server.socket.run() => received.map_err(anyhow::Error::from),
            () = self.server.dispatcher.run() => Ok(()),
            () = neighbours::listen(&self.server) => Ok(()),
            phases = self.phases() => phases,
        };
        self.server.recorder.record(Kind::Stopped);
        log::info!("agent: stopped");
        result
    }

    /// Follows configuration and signals.
    async fn phases(&self) -> anyhow::Result<()> {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut progress = Progress::default();
        loop {
            tokio::select! {
                _ = tick.tick() => {}
                () = self.stop.notified() => break,
            }
            let now = Instant::now();
            self.configure(&mut progress);
            let phase = self.phase();
            self.enter(phase);
            if !self.is_finishing(now, phase, &mut progress) {
                self.follow(phase, &mut progress.open).await?;
            }
            self.publish(phase);
            self.tell(now, &mut progress);
            if self.is_done(now, &mut progress) {
                break;
            }
        }
        if let Some(open) = progress.open {
            open.close(STOPPED, b"stopped").await;
        }
        Ok(())
    }

    /// Tells the decisions about a new configuration.
    fn configure(&self, progress: &mut Progress) {
        let Some(snapshot) = self.server.blackboard.config() else {
            return;
        };
        if snapshot.document.version > progress.version {
            progress.version = snapshot.document.version;
            let dispatcher = &self.server.dispatcher;
            dispatcher.decide(|agent, now| agent.config(now, &snapshot));
        }
    }

    /// Sends what is due to balancers and peers, and forgets old ways back.
    fn tell(&self, now: Instant, progress: &mut Progress) {
        let due = |last: Option<Instant>, after| last.is_none_or(|at| now - at >= after);
        if due(progress.announced, self.announce_interval()) {
            progress.announced = Some(now);
            self.announce();
        }
        if due(progress.probed, neighbours::INTERVAL) && neighbours::probe(&self.server) {
            progress.probed = Some(now);
        }
        if due(progress.swept, SWEEP) {
            progress.swept = Some(now);
            self.server.socket.expire(now);
        }
    }

    /// Whether a drain that ends in a stop is finished.
    fn is_done(&self, now: Instant, progress: &mut Progress) -> bool {
        if !self.leaving.load(Ordering::Relaxed) {
            return false;
        }
        let dispatcher = &self.server.dispatcher;
        let since = *progress.left.get_or_insert_with(|| {
            dispatcher.decide(agent::Agent::drain);
            now
        });
        let limit = self.server.role.drain_deadline_ms;
        let late = limit.is_some_and(|limit| now - since >= Duration::from_millis(limit));
        late || (self.server.flows() == 0 && dispatcher.look(|agent, _| agent.open_requests()) == 0)
    }

    /// The phase that configuration and signals ask for.
    fn phase(&self) -> Phase {
        let Some(snapshot) = self.server.blackboard.config() else {
            return Phase::NotReady;
        };
        let document = &snapshot.document;
        let Some(identity) = self.find(document) else {
            return Phase::NotReady;
        };
        let draining = document
            .upstreams
            .get(&identity.agent)
            .is_some_and(|upstream| upstream.draining);
        if !document.is_routable(identity.agent) {
            Phase::Out
        } else if draining || self.leaving.load(Ordering::Relaxed) {
            Phase::Draining
        } else {
            Phase::Serving
        }
    }

    fn find(&self, document: &Document) -> Option<Identity> {
        let Server { settings, role, .. } = &*self.server;
        Identity::find(document, settings.listen, &role.service)
    }

    /// Publishes a change of phase.
    fn enter(&self, phase: Phase) {
        let changed = self.server.phase.send_if_modified(|current| {
            let changed = *current != phase;
            *current = phase;
            changed
        });
        if changed {
            log::info!("agent: now {phase:?}");
            if phase == Phase::Draining {
                self.server.recorder.record(Kind::Draining);
            }
        }
    }

    /// Whether the flows of a zone that was taken out stay open for the requests that run. The
    /// decisions refuse everything else already.
    fn is_finishing(&self, now: Instant, phase: Phase, progress: &mut Progress) -> bool {
        if phase != Phase::Out || progress.open.is_none() {
            (progress.out, progress.idle) = (None, None);
            return false;
        }
        let out = *progress.out.get_or_insert(now);
        if self.server.dispatcher.look(|agent, _| agent.is_busy()) {
            progress.idle = None;
        } else {
            progress.idle.get_or_insert(now);
        }
        let left = progress.idle.is_some_and(|idle| now - idle >= LINGER);
        now - out < FINISHING && !left
    }

    /// Opens and closes the endpoint as the phase asks.
    async fn follow(&self, phase: Phase, open: &mut Option<Open>) -> anyhow::Result<()> {
        let identity = match phase {
            Phase::NotReady | Phase::Out => None,
            Phase::Serving | Phase::Draining => self
                .server
                .blackboard
                .config()
                .and_then(|snapshot| self.find(&snapshot.document)),
        };
        if open.as_ref().map(|open| open.identity) == identity {
            return Ok(());
        }
        if let Some(old) = open.take() {
            old.close(ZONE_OUT, b"availability zone out").await;
        }
        self.server.socket.set_identity(identity);
        if let Some(identity) = identity {
            let socket = Arc::clone(&self.server.socket);
            let endpoint = endpoint(socket, identity, Arc::clone(&self.crypto))?;
            log::info!("agent: admitted as {}", identity.agent);
            tokio::spawn(flow::accept(Arc::clone(&self.server), endpoint.clone()));
            *open = Some(Open { identity, endpoint });
        }
        Ok(())
    }

    /// Puts the load on the frames.
    fn publish(&self, phase: Phase) {
        let load = self.server.dispatcher.look(agent::Agent::load);
        let flows = self.server.flows();
        metrics::gauge!("sassafrasmast_agent_flows").set(flows);
        metrics::gauge!("sassafrasmast_agent_running").set(load.running);
        metrics::gauge!("sassafrasmast_agent_queued").set(load.queued);
        metrics::gauge!("sassafrasmast_agent_limit").set(load.limit);
        self.server.socket.set_load(Load {
            state: phase.state(load.state),
            flows,
            ..load
        });
    }

    fn announce_interval(&self) -> Duration {
        match self.server.socket.identity() {
            Some(_) => ANNOUNCE_ADMITTED,
            None => ANNOUNCE,
        }
    }

    /// Tells the balancers of the settings that the upstream exists.
    fn announce(&self) {
        let Server { settings, role, .. } = &*self.server;
        for entry in &role.entries {
            let body = Body::Announce {
                service: &role.service,
                zone: &settings.zone,
                upstream: role.upstream,
                incarnation: self.server.incarnation,
                slots: role.slots,
                connections: role.connections,
            };
            self.server.socket.send(*entry, body);
        }
    }
}

/// Milliseconds since the Unix epoch name this start of the process.
fn incarnation() -> Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation::try_from(since_epoch.as_millis()).unwrap_or(Incarnation::MAX)
}
