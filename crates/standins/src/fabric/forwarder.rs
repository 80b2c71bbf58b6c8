//! Forwards datagrams between callers and balancers.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use hyper::{Method, Request, StatusCode, body::Incoming};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, UdpSocket},
    task::JoinHandle,
};

use super::{Fault, Settings};
use crate::http::{self, Abort, Reply};

/// Largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Requested receive buffer of a socket in bytes. The kernel grants less if its limit is lower.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Callers that may have a socket at once. Datagrams of further callers are lost.
const MAX_CALLERS: usize = 20_000;

/// Connections that the HTTP API holds at once.
const MAX_API_CONNECTIONS: usize = 64;

/// Forwards datagrams and serves the HTTP API for counters and faults.
#[derive(Debug)]
pub struct Forwarder {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    fault: Fault,
    balancers: BTreeMap<SocketAddr, Vec<SocketAddr>>,
    /// Sockets towards the balancers, by service and caller.
    callers: BTreeMap<(SocketAddr, SocketAddr), CallerSocket>,
    random: StdRng,
    inward: u64,
    outward: u64,
    /// Datagrams sent to each balancer.
    sprayed: BTreeMap<SocketAddr, u64>,
}

/// A caller's socket towards the balancers. Its reader task is aborted when it is dropped.
#[derive(Debug)]
struct CallerSocket {
    socket: Arc<UdpSocket>,
    reader: JoinHandle<()>,
}

impl Drop for CallerSocket {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

impl Forwarder {
    /// Forwards datagrams until the process ends.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub async fn run(settings: Settings) -> anyhow::Result<()> {
        let forwarder = Arc::new(Self {
            state: Mutex::new(State {
                fault: Fault::default(),
                balancers: settings.services.iter().cloned().collect(),
                callers: BTreeMap::new(),
                random: StdRng::seed_from_u64(settings.seed),
                inward: 0,
                outward: 0,
                sprayed: BTreeMap::new(),
            }),
        });
        for (service, _) in settings.services {
            let service_socket = Arc::new(bind(service)?);
            tokio::spawn(Arc::clone(&forwarder).forward_datagrams(service, service_socket));
        }
        let listener = TcpListener::bind(settings.api).await?;
        http::serve(listener, MAX_API_CONNECTIONS, move |request| {
            Arc::clone(&forwarder).handle(request)
        })
        .await;
        Ok(())
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Abort> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/standin/counts") => {
                let state = self.state();
                Ok(http::json(
                    StatusCode::OK,
                    &json!({
                        "callers": state.callers.len(),
                        "inward": state.inward,
                        "outward": state.outward,
                        "sprayed": state.sprayed,
                    }),
                ))
            }
            (&Method::POST, "/standin/fault") => match http::parse::<Fault>(request).await {
                Ok(fault) => {
                    self.state().apply_fault(fault);
                    Ok(http::json(StatusCode::OK, &json!({})))
                }
                Err(reply) => Ok(*reply),
            },
            _ => Ok(http::json(StatusCode::NOT_FOUND, &"no such path")),
        }
    }

    /// Forwards the datagrams that callers send to `service`, each to a random balancer.
    async fn forward_datagrams(
        self: Arc<Self>,
        service: SocketAddr,
        service_socket: Arc<UdpSocket>,
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error here concerns an earlier datagram to a closed socket of a caller.
            let Ok((length, caller)) = service_socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(balancer) = self.state().pick_balancer(service) else {
                continue;
            };
            if let Ok(socket) = self.caller_socket(service, caller, &service_socket) {
                let _ = socket.send_to(&buffer[..length], balancer).await;
            }
        }
    }

    /// Returns the caller's socket towards the balancers and opens it at the first datagram.
    fn caller_socket(
        self: &Arc<Self>,
        service: SocketAddr,
        caller: SocketAddr,
        service_socket: &Arc<UdpSocket>,
    ) -> io::Result<Arc<UdpSocket>> {
        let mut state = self.state();
        if let Some(entry) = state.callers.get(&(service, caller)) {
            return Ok(Arc::clone(&entry.socket));
        }
        if state.callers.len() >= MAX_CALLERS {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let socket = Arc::new(bind(SocketAddr::new(service.ip(), 0))?);
        let returning = Arc::clone(self).return_datagrams(
            caller,
            Arc::clone(service_socket),
            Arc::clone(&socket),
        );
        let reader = tokio::spawn(returning);
        let entry = CallerSocket {
            socket: Arc::clone(&socket),
            reader,
        };
        state.callers.insert((service, caller), entry);
        Ok(socket)
    }

    /// Forwards the datagrams that balancers send to a caller's socket back to the caller.
    async fn return_datagrams(
        self: Arc<Self>,
        caller: SocketAddr,
        service_socket: Arc<UdpSocket>,
        socket: Arc<UdpSocket>,
    ) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error here concerns an earlier datagram to a closed socket of a balancer.
            let Ok((length, balancer)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.state().passes_outward(balancer) {
                let _ = service_socket.send_to(&buffer[..length], caller).await;
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply_fault(&mut self, mut fault: Fault) {
        let rebind = std::mem::take(&mut fault.rebind);
        let all = std::mem::take(&mut fault.rebind_all);
        // A removed caller gets a new socket, and so a new address, at its next datagram.
        self.callers
            .retain(|(_, caller), _| !all && !rebind.contains(caller));
        self.fault = fault;
    }

    /// Picks the balancer for one datagram; `None` if the datagram is lost.
    fn pick_balancer(&mut self, service: SocketAddr) -> Option<SocketAddr> {
        let fault = &self.fault;
        let settings = self.balancers.get(&service);
        let balancers = fault.balancers.get(&service).or(settings)?;
        if balancers.is_empty() {
            return None;
        }
        let balancer = balancers[self.random.random_range(0..balancers.len())];
        let lost = fault.drop_inward
            || fault.cut.contains(&balancer)
            || self.random.random_bool(fault.loss.clamp(0.0, 1.0));
        if lost {
            return None;
        }
        self.inward += 1;
        *self.sprayed.entry(balancer).or_default() += 1;
        Some(balancer)
    }

    /// Whether a datagram from `balancer` reaches its caller.
    fn passes_outward(&mut self, balancer: SocketAddr) -> bool {
        let fault = &self.fault;
        let passes = !fault.drop_outward
            && !fault.cut.contains(&balancer)
            && !self.random.random_bool(fault.loss.clamp(0.0, 1.0));
        self.outward += u64::from(passes);
        passes
    }
}

/// Binds a socket with a receive buffer for bursts of datagrams.
fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    UdpSocket::from_std(socket)
}
