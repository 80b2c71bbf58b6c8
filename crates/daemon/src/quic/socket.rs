//! The frame socket of an agent.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Instant,
};

use quinn::{
    AsyncUdpSocket, UdpPoller,
    udp::{RecvMeta, Transmit, UdpSocketState},
};
use sassafrasmast_core::Blackboard;
use sassafrasmast_wire::{AgentId, Body, ConfigVersion, Frame, Incarnation, Load};
use socket2::{Domain, Protocol, Type};
use tokio::{
    io::Interest,
    net::UdpSocket,
    sync::{mpsc, watch},
};

use super::{
    Identity, Link, Queue,
    inbound::{Inbound, Verdict},
    poller::Poller,
    status::Status,
};

/// Kernel buffer asked for in each direction, in bytes.
const BUFFER_BYTES: usize = 4 * 1_024 * 1_024;

/// Datagrams taken from the kernel in one call.
const BATCH: usize = 16;

/// Room for one slot of a batch; the kernel may merge equal datagrams into one slot.
const SLOT_BYTES: usize = 64 * 1_024;

/// Flows for which the way back is remembered, for each connection of the upstream.
const CALLERS_PER_CONNECTION: usize = 4;

/// Least number of callers for which the way back is remembered.
const MIN_CALLERS: usize = 1_024;

/// Reports of peers that may wait; more are dropped.
const MAX_REPORTS: usize = 64;

/// Receives and sends frames; quinn uses it as its UDP socket.
///
/// Lock order: `status`, then `link`. Neither is held while sending.
#[derive(Debug)]
pub struct Socket {
    io: UdpSocket,
    state: UdpSocketState,
    blackboard: Arc<Blackboard>,
    incarnation: Incarnation,
    status: Mutex<Status>,
    link: Mutex<Link>,
    queue: Queue,
    newer: watch::Sender<Option<(SocketAddr, ConfigVersion)>>,
    report: mpsc::Sender<Report>,
    reports: Mutex<Option<mpsc::Receiver<Report>>>,
}

/// Load that an agent at an address reports.
pub type Report = (SocketAddr, AgentId, Load);

impl Socket {
    /// Binds the socket at `listen` with large kernel buffers.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn bind(
        listen: SocketAddr,
        blackboard: Arc<Blackboard>,
        incarnation: Incarnation,
        max_flows: u32,
    ) -> io::Result<Self> {
        let kind = Domain::for_address(listen);
        let socket = socket2::Socket::new(kind, Type::DGRAM, Some(Protocol::UDP))?;
        // The kernel caps both at its own limits.
        socket.set_recv_buffer_size(BUFFER_BYTES)?;
        socket.set_send_buffer_size(BUFFER_BYTES)?;
        socket.set_nonblocking(true)?;
        socket.bind(&listen.into())?;
        let socket = std::net::UdpSocket::from(socket);
        let (report, reports) = mpsc::channel(MAX_REPORTS);
        let callers = (max_flows as usize).saturating_mul(CALLERS_PER_CONNECTION);
        Ok(Self {
            state: UdpSocketState::new((&socket).into())?,
            io: UdpSocket::from_std(socket)?,
            blackboard,
            incarnation,
            status: Mutex::new(Status {
                max_flows,
                ..Status::default()
            }),
            link: Mutex::new(Link::new(callers.max(MIN_CALLERS))),
            queue: Queue::default(),
            newer: watch::Sender::new(None),
            report,
            reports: Mutex::new(Some(reports)),
        })
    }

    /// The blackboard of the process.
    pub fn blackboard(&self) -> &Arc<Blackboard> {
        &self.blackboard
    }

    /// The incarnation that frames must name.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Sets who the agent is; `None` while it is not admitted.
    pub fn set_identity(&self, identity: Option<Identity>) {
        lock(&self.status).identity = identity;
    }

    /// Who the agent is, once it is admitted.
    pub fn identity(&self) -> Option<Identity> {
        lock(&self.status).identity
    }

    /// Sets the load that rides on every frame.
    pub fn set_load(&self, load: Load) {
        lock(&self.status).load = load;
    }

    /// The load that rides on every frame.
    pub fn load(&self) -> Load {
        lock(&self.status).load
    }

    /// Tells when a frame shows a newer configuration than the one in force, and who sent it.
    pub fn newer(&self) -> watch::Receiver<Option<(SocketAddr, ConfigVersion)>> {
        self.newer.subscribe()
    }

    /// The loads that peers report. Can be taken once.
    pub fn reports(&self) -> Option<mpsc::Receiver<Report>> {
        lock(&self.reports).take()
    }

    /// Forgets callers and balancers that were not heard for long.
    pub fn expire(&self, now: Instant) {
        lock(&self.link).expire(now);
    }

    /// Waits until the socket can send.
    pub(super) async fn writable(&self) -> io::Result<()> {
        self.io.writable().await
    }

    /// Receives frames until the task is dropped.
    ///
    /// # Errors
    ///
    /// Only if the socket itself fails; bad frames are counted and dropped.
    pub async fn run(&self) -> io::Result<()> {
        let mut memory = vec![0; BATCH * SLOT_BYTES];
        loop {
            self.io.readable().await?;
            let mut metas = [RecvMeta::default(); BATCH];
            let mut slots: Vec<_> = memory.chunks_mut(SLOT_BYTES).map(IoSliceMut::new).collect();
            let received = self.io.try_io(Interest::READABLE, || {
                self.state.recv((&self.io).into(), &mut slots, &mut metas)
            });
            let count = match received {
                Ok(count) => count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                // An earlier datagram met a closed port; it says nothing about this socket.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(error) => return Err(error),
            };
            let now = Instant::now();
            for (slot, meta) in slots.iter().zip(&metas[..count]) {
                for datagram in slot[..meta.len].chunks(meta.stride.max(1)) {
                    self.receive(meta.addr, datagram, now);
                }
            }
        }
    }

    /// Sends one frame; a full socket buffer drops it, as the network might.
    pub fn send(&self, to: SocketAddr, body: Body<'_>) {
        let mut buffer = Vec::new();
        let frame = Frame::new(self.blackboard.version(), body);
        if frame.encode(&mut buffer).is_ok() && self.io.try_send_to(&buffer, to).is_err() {
            dropped("unsent");
        }
    }

    /// Takes one datagram from the network.
    fn receive(&self, from: SocketAddr, datagram: &[u8], now: Instant) {
        let frame = match Frame::decode(datagram) {
            Ok(frame) => frame,
            Err(_) => {
                return dropped("malformed");
            }
        };
        if frame.config_version > self.blackboard.version() {
            self.newer.send_replace(Some((from, frame.config_version)));
        }
        match frame.body {
            Body::Inbound {
                service,
                agent,
                incarnation,
                attempt,
                caller,
                payload,
            } => {
                let inbound = Inbound {
                    service,
                    agent,
                    incarnation,
                    attempt,
                    caller,
                    payload,
                };
                self.inbound(from, inbound, now);
            }
            Body::Probe { nonce, .. } => self.report(from, nonce, now),
            Body::Report {
                agent: Some(agent),
                load,
                ..
            } => {
                // A report that finds no room is soon followed by another.
                let _ = self.report.try_send((from, agent, load));
            }
            Body::Report { agent: None, .. }
            | Body::Outbound { .. }
            | Body::Handback { .. }
            | Body::Announce { .. }
            | Body::Hello => {}
        }
    }

    /// Answers a probe.
    fn report(&self, from: SocketAddr, nonce: u32, now: Instant) {
        lock(&self.link).heard(from, now);
        let status = *lock(&self.status);
        self.send(
            from,
            Body::Report {
                nonce,
                service: status.identity.map(|identity| identity.service),
                agent: status.identity.map(|identity| identity.agent),
                incarnation: self.incarnation,
                load: status.load,
            },
        );
    }

    /// Hands a caller's datagram to quinn, hands it back or drops it.
    fn inbound(&self, from: SocketAddr, inbound: Inbound<'_>, now: Instant) {
        let status = *lock(&self.status);
        match status.judge(self.incarnation, &inbound) {
            Verdict::Deliver => {}
            Verdict::HandBack => return self.hand_back(from, inbound, status.load),
            Verdict::Drop(reason) => return dropped(reason),
        }
        let known = lock(&self.link).arrived(inbound.caller, from, now);
        if !known || !self.queue.push(inbound.caller, inbound.payload) {
            dropped("overflow");
        }
    }

    /// Returns a first datagram to its balancer, which places it elsewhere.
    fn hand_back(&self, to: SocketAddr, inbound: Inbound<'_>, load: Load) {
        metrics::counter!("sassafrasmast_agent_handbacks_total").increment(1);
        self.send(
            to,
            Body::Handback {
                service: inbound.service,
                agent: inbound.agent,
                incarnation: self.incarnation,
                attempt: inbound.attempt.saturating_add(1),
                caller: inbound.caller,
                load,
                payload: inbound.payload,
            },
        );
    }
}

impl AsyncUdpSocket for Socket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(Poller::new(self))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let status = *lock(&self.status);
        let Some(identity) = status.identity else {
            return Ok(());
        };
        let balancer = lock(&self.link).route(transmit.destination, Instant::now());
        let Some(balancer) = balancer else {
            dropped("pathless");
            return Ok(());
        };
        let body = Body::Outbound {
            service: identity.service,
            agent: identity.agent,
            incarnation: self.incarnation,
            caller: transmit.destination,
            load: status.load,
            payload: transmit.contents,
        };
        let mut buffer = Vec::with_capacity(transmit.contents.len() + 128);
        let frame = Frame::new(self.blackboard.version(), body);
        if frame.encode(&mut buffer).is_err() {
            return Ok(());
        }
        match self.io.try_send_to(&buffer, balancer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            // Whatever else went wrong, quinn finds out by the lack of acknowledgements.
            Ok(_) | Err(_) => Ok(()),
        }
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let limit = bufs.len().min(meta.len());
        let datagrams = ready!(self.queue.poll(cx, limit));
        let mut filled = 0;
        for (caller, payload) in datagrams {
            let Some(target) = bufs[filled].get_mut(..payload.len()) else {
                continue;
            };
            target.copy_from_slice(&payload);
            meta[filled] = RecvMeta {
                addr: caller,
                len: payload.len(),
                stride: payload.len(),
                ecn: None,
                dst_ip: None,
            };
            filled += 1;
        }
        Poll::Ready(Ok(filled))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    fn may_fragment(&self) -> bool {
        self.state.may_fragment()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a frame or datagram that was dropped.
fn dropped(reason: &'static str) {
    metrics::counter!("sassafrasmast_agent_dropped_total", "reason" => reason).increment(1);
}
