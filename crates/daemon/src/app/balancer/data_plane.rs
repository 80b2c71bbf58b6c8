//! Tasks that read the sockets and perform the router's decisions.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_core::{
    Blackboard,
    balancer::{Action, Route, Router},
    timeline,
};
use sassafrasmast_wire::{Body, Frame, ServiceId};
use tokio::{net::UdpSocket, sync::mpsc, task::JoinHandle, time::MissedTickBehavior};

use crate::options::{Balancer, Settings};

use super::{Journal, Pull, exporter, listeners::Listeners, socket};

/// Size of a receive buffer; longer datagrams are truncated and then refused as oversize.
const RECEIVE_BUFFER_BYTES: usize = 4_096;

/// Datagrams read from a socket before the task yields to others.
const MAX_READS_IN_A_ROW: usize = 64;

/// Time between two publications of the counters.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two attempts to bind service addresses.
const REBIND_INTERVAL: Duration = Duration::from_secs(5);

/// Sockets, router and shared state of one balancer.
#[derive(Debug)]
pub struct DataPlane {
    router: Router,
    blackboard: Arc<Blackboard>,
    journal: Journal,
    frames: Vec<Arc<UdpSocket>>,
    listeners: Listeners,
    pulls: mpsc::Sender<Pull>,
}

impl DataPlane {
    /// Binds the sockets for frames. Service sockets are bound as the configuration requires.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound; the error names it.
    pub fn bind(
        settings: &Settings,
        role: &Balancer,
        router: Router,
        blackboard: Arc<Blackboard>,
        journal: Journal,
        pulls: mpsc::Sender<Pull>,
    ) -> anyhow::Result<Arc<Self>> {
        let frames = socket::bind(settings.listen, settings.workers)?;
        Ok(Arc::new(Self {
            router,
            blackboard,
            journal,
            frames: frames.into_iter().map(Arc::new).collect(),
            listeners: Listeners::new(role.bind.clone(), settings.workers),
            pulls,
        }))
    }

    /// The router.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// The journal of this balancer's events.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// The socket from which frames are sent.
    pub fn socket(&self) -> Arc<UdpSocket> {
        Arc::clone(&self.frames[0])
    }

    /// Starts the tasks. They run until the runtime stops.
    pub fn start(self: &Arc<Self>) {
        for at in 0..self.frames.len() {
            tokio::spawn(Arc::clone(self).read_frames(at));
        }
        tokio::spawn(Arc::clone(self).tick());
    }

    /// Reads frames from agents and other balancers.
    async fn read_frames(self: Arc<Self>, at: usize) {
        let socket = &self.frames[at];
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        let mut scratch = Vec::new();
        loop {
            if let Err(error) = socket.readable().await {
                log::error!("balancer: stopped reading frames from a socket: {error}");
                return;
            }
            for _ in 0..MAX_READS_IN_A_ROW {
                let Ok((length, from)) = socket.try_recv_from(&mut buffer) else {
                    break;
                };
                let mut actions = Vec::new();
                let datagram = &buffer[..length];
                self.router
                    .receive(Instant::now(), from, datagram, &mut actions);
                for action in actions {
                    self.perform(action, &mut scratch).await;
                }
            }
            tokio::task::yield_now().await;
        }
    }

    /// Reads datagrams from callers of one service.
    async fn read_callers(self: Arc<Self>, service: ServiceId, socket: Arc<UdpSocket>) {
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        let mut scratch = Vec::new();
        loop {
            if let Err(error) = socket.readable().await {
                log::error!("balancer: stopped reading datagrams of service {service}: {error}");
                return;
            }
            for _ in 0..MAX_READS_IN_A_ROW {
                let Ok((length, caller)) = socket.try_recv_from(&mut buffer) else {
                    break;
                };
                let datagram = &buffer[..length];
                self.forward(service, &socket, caller, datagram, &mut scratch)
                    .await;
            }
            tokio::task::yield_now().await;
        }
    }

    /// Forwards, resets or drops one datagram from a caller.
    async fn forward(
        &self,
        service: ServiceId,
        socket: &UdpSocket,
        caller: SocketAddr,
        payload: &[u8],
        scratch: &mut Vec<u8>,
    ) {
        let now = Instant::now();
        let (agent, address, incarnation) = match self.router.route(now, service, payload) {
            Route::Forward {
                agent,
                address,
                incarnation,
            } => (agent, address, Some(incarnation)),
            Route::Place { agent, address } => {
                let placed = timeline::Kind::FlowPlaced { service, agent };
                self.journal.record_flow(now, caller, placed);
                (agent, address, None)
            }
            Route::Reset { agent, reset } => {
                let reset_flow = timeline::Kind::FlowReset { agent };
                self.journal.record_flow(now, caller, reset_flow);
                return send(socket, reset.bytes(), caller).await;
            }
            Route::Drop(reason) => {
                return log::trace!(
                    "balancer: dropped a datagram from {caller} to service {service}: {}",
                    reason.name()
                );
            }
        };
        let body = Body::Inbound {
            service,
            agent,
            incarnation,
            attempt: 0,
            caller,
            payload,
        };
        self.send_frame(body, address, scratch).await;
    }

    async fn perform(&self, action: Action<'_>, scratch: &mut Vec<u8>) {
        match action {
            Action::Deliver {
                service,
                caller,
                payload,
                ..
            } => {
                if let Some(socket) = self.listeners.socket(service) {
                    send(&socket, payload, caller).await;
                }
            }
            Action::Send { to, body } => self.send_frame(body, to, scratch).await,
            Action::PullConfig { from, version } => {
                // If the queue is full, a later frame triggers the pull.
                let _ = self.pulls.try_send(Pull { from, version });
            }
        }
    }

    async fn send_frame(&self, body: Body<'_>, to: SocketAddr, scratch: &mut Vec<u8>) {
        let frame = Frame::new(self.blackboard.version(), body);
        match frame.encode(scratch) {
            Ok(()) => send(&self.frames[0], scratch, to).await,
            Err(error) => log::debug!("balancer: cannot encode a frame to {to}: {error}"),
        }
    }

    /// Ticks the router, binds service addresses and publishes the counters.
    async fn tick(self: Arc<Self>) {
        let mut interval = tokio::time::interval(Router::TICK);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut scratch = Vec::new();
        let mut applied_version = 0;
        let mut last_publish = Instant::now();
        let mut last_bind = Instant::now();
        loop {
            interval.tick().await;
            let now = Instant::now();
            let mut actions = Vec::new();
            self.router.tick(now, &mut actions);
            for action in actions {
                self.perform(action, &mut scratch).await;
            }
            let version = self.blackboard.version();
            if version != applied_version || now.duration_since(last_bind) >= REBIND_INTERVAL {
                last_bind = now;
                self.bind_services();
                applied_version = version;
            }
            if now.duration_since(last_publish) >= PUBLISH_INTERVAL {
                last_publish = now;
                exporter::publish(self.router.counters());
            }
        }
    }

    /// Binds the service addresses of the configuration in force.
    fn bind_services(self: &Arc<Self>) {
        let Some(config) = self.blackboard.config() else {
            return;
        };
        let read = |service, socket| -> JoinHandle<()> {
            tokio::spawn(Arc::clone(self).read_callers(service, socket))
        };
        self.listeners.apply_config(&config.document, read);
    }
}

/// Sends one datagram. If that fails, QUIC retransmits.
async fn send(socket: &UdpSocket, datagram: &[u8], to: SocketAddr) {
    if let Err(error) = socket.send_to(datagram, to).await {
        log::debug!(
            "balancer: cannot send {} bytes to {to}: {error}",
            datagram.len()
        );
    }
}
