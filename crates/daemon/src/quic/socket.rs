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
    Identity, Queue, ReturnPaths,
    inbound::{Inbound, Verdict},
    poller::Poller,
    status::Status,
};

/// Kernel buffer size requested for each direction.
const BUFFER_BYTES: usize = 4 * 1_024 * 1_024;

/// Largest number of buffers filled by one receive call.
const BATCH_BUFFERS: usize = 16;

/// Size of one buffer of a batch; the kernel may coalesce datagrams of equal length into one
/// buffer.
const BATCH_BUFFER_BYTES: usize = 64 * 1_024;

/// Return paths kept for each flow that the agent may have open.
const RETURN_PATHS_PER_FLOW: usize = 4;

/// Smallest capacity of the table of return paths.
const MIN_RETURN_PATHS: usize = 1_024;

/// Largest number of queued load reports from peers; more are dropped.
const MAX_QUEUED_REPORTS: usize = 64;

/// Receives and sends frames, and serves quinn as its UDP socket.
///
/// Lock order: `status`, then `return_paths`. Neither is held while sending.
#[derive(Debug)]
pub struct Socket {
    io: UdpSocket,
    state: UdpSocketState,
    blackboard: Arc<Blackboard>,
    incarnation: Incarnation,
    status: Mutex<Status>,
    return_paths: Mutex<ReturnPaths>,
    queue: Queue,
    newer_version: watch::Sender<Option<(SocketAddr, ConfigVersion)>>,
    report_sender: mpsc::Sender<Report>,
    reports: Mutex<Option<mpsc::Receiver<Report>>>,
}

/// Address and id of an agent, and the load that it reports.
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
        // The kernel limits both to its configured maximum.
        socket.set_recv_buffer_size(BUFFER_BYTES)?;
        socket.set_send_buffer_size(BUFFER_BYTES)?;
        socket.set_nonblocking(true)?;
        socket.bind(&listen.into())?;
        let socket = std::net::UdpSocket::from(socket);
        let (report_sender, reports) = mpsc::channel(MAX_QUEUED_REPORTS);
        let capacity = (max_flows as usize).saturating_mul(RETURN_PATHS_PER_FLOW);
        Ok(Self {
            state: UdpSocketState::new((&socket).into())?,
            io: UdpSocket::from_std(socket)?,
            blackboard,
            incarnation,
            status: Mutex::new(Status {
                max_flows,
                ..Status::default()
            }),
            return_paths: Mutex::new(ReturnPaths::new(capacity.max(MIN_RETURN_PATHS))),
            queue: Queue::default(),
            newer_version: watch::Sender::new(None),
            report_sender,
            reports: Mutex::new(Some(reports)),
        })
    }

    /// The blackboard of the process.
    pub fn blackboard(&self) -> &Arc<Blackboard> {
        &self.blackboard
    }

    /// The incarnation of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Sets the agent's identity; `None` while it is not admitted.
    pub fn set_identity(&self, identity: Option<Identity>) {
        lock(&self.status).identity = identity;
    }

    /// The agent's identity, once it is admitted.
    pub fn identity(&self) -> Option<Identity> {
        lock(&self.status).identity
    }

    /// Sets the load that outgoing frames carry.
    pub fn set_load(&self, load: Load) {
        lock(&self.status).load = load;
    }

    /// The load that outgoing frames carry.
    pub fn load(&self) -> Load {
        lock(&self.status).load
    }

    /// Reports senders of frames that carry a higher config version than the one in force, with
    /// that version.
    pub fn newer_version(&self) -> watch::Receiver<Option<(SocketAddr, ConfigVersion)>> {
        self.newer_version.subscribe()
    }

    /// The channel of load reports from peers. Returns it only once.
    pub fn reports(&self) -> Option<mpsc::Receiver<Report>> {
        lock(&self.reports).take()
    }

    /// Removes expired return paths.
    pub fn expire(&self, now: Instant) {
        lock(&self.return_paths).expire(now);
    }

    /// Waits until the socket can send.
    pub(super) async fn writable(&self) -> io::Result<()> {
        self.io.writable().await
    }

    /// Receives frames until the future is dropped.
    ///
    /// # Errors
    ///
    /// If the socket fails. Malformed frames are only counted and dropped.
    pub async fn run(&self) -> io::Result<()> {
        let mut memory = vec![0; BATCH_BUFFERS * BATCH_BUFFER_BYTES];
        loop {
            self.io.readable().await?;
            let mut metas = [RecvMeta::default(); BATCH_BUFFERS];
            let mut buffers: Vec<_> = memory
                .chunks_mut(BATCH_BUFFER_BYTES)
                .map(IoSliceMut::new)
                .collect();
            let received = self.io.try_io(Interest::READABLE, || {
                self.state.recv((&self.io).into(), &mut buffers, &mut metas)
            });
            let count = match received {
                Ok(count) => count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                // ICMP error for an earlier datagram to a closed port; this socket still works.
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => continue,
                Err(error) => return Err(error),
            };
            let now = Instant::now();
            for (buffer, meta) in buffers.iter().zip(&metas[..count]) {
                for datagram in buffer[..meta.len].chunks(meta.stride.max(1)) {
                    self.receive(meta.addr, datagram, now);
                }
            }
        }
    }

    /// Sends one frame. It is dropped if the socket buffer is full.
    pub fn send(&self, to: SocketAddr, body: Body<'_>) {
        let mut buffer = Vec::new();
        let frame = Frame::new(self.blackboard.version(), body);
        if frame.encode(&mut buffer).is_ok() && self.io.try_send_to(&buffer, to).is_err() {
            count_drop("unsent");
        }
    }

    /// Handles one datagram from the network.
    fn receive(&self, from: SocketAddr, datagram: &[u8], now: Instant) {
        let frame = match Frame::decode(datagram) {
            Ok(frame) => frame,
            Err(_) => {
                return count_drop("malformed");
            }
        };
        if frame.config_version > self.blackboard.version() {
            self.newer_version
                .send_replace(Some((from, frame.config_version)));
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
                self.handle_inbound(from, inbound, now);
            }
            Body::Probe { nonce, .. } => self.send_report(from, nonce, now),
            Body::Report {
                agent: Some(agent),
                load,
                ..
            } => {
                // If the queue is full, the next report replaces this one.
                let _ = self.report_sender.try_send((from, agent, load));
            }
            Body::Report { agent: None, .. }
            | Body::Outbound { .. }
            | Body::Handback { .. }
            | Body::Announce { .. }
            | Body::Hello => {}
        }
    }

    /// Answers a probe.
    fn send_report(&self, from: SocketAddr, nonce: u32, now: Instant) {
        lock(&self.return_paths).record_balancer(from, now);
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

    /// Passes a caller's datagram to quinn, hands it back to its balancer or drops it.
    fn handle_inbound(&self, from: SocketAddr, inbound: Inbound<'_>, now: Instant) {
        let status = *lock(&self.status);
        match status.classify(self.incarnation, &inbound) {
            Verdict::Deliver => {}
            Verdict::Handback => return self.hand_back(from, inbound, status.load),
            Verdict::Drop(reason) => return count_drop(reason),
        }
        let known = lock(&self.return_paths).record_caller(inbound.caller, from, now);
        if !known || !self.queue.push(inbound.caller, inbound.payload) {
            count_drop("overflow");
        }
    }

    /// Returns the first datagram of a flow to its balancer, which places it at another agent.
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
        let balancer = lock(&self.return_paths).balancer_for(transmit.destination, Instant::now());
        let Some(balancer) = balancer else {
            count_drop("pathless");
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
        // 128 bytes leave room for the frame around the payload.
        let mut buffer = Vec::with_capacity(transmit.contents.len() + 128);
        let frame = Frame::new(self.blackboard.version(), body);
        if frame.encode(&mut buffer).is_err() {
            return Ok(());
        }
        match self.io.try_send_to(&buffer, balancer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(error),
            // quinn detects any other loss by missing acknowledgements.
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

/// Counts a dropped frame or datagram.
fn count_drop(reason: &'static str) {
    metrics::counter!("sassafrasmast_agent_dropped_total", "reason" => reason).increment(1);
}
