//! Sockets bound to service addresses.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
};

use sassafrasmast_core::config::Document;
use sassafrasmast_wire::ServiceId;
use tokio::{net::UdpSocket, task::JoinHandle};

use super::socket;

/// Up to this number of services, each gets one socket per worker; beyond it, one socket.
const MAX_SERVICES_WITH_SOCKET_PER_WORKER: usize = 64;

/// A service's sockets and the tasks that read them.
#[derive(Debug)]
struct Listener {
    address: SocketAddr,
    sockets: Vec<Arc<UdpSocket>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// The service sockets of the process.
#[derive(Debug)]
pub(super) struct Listeners {
    bind: BTreeMap<SocketAddr, SocketAddr>,
    workers: usize,
    table: RwLock<HashMap<ServiceId, Listener>>,
}

impl Listeners {
    /// A table without sockets. `bind` maps service addresses to local addresses that differ from
    /// them.
    pub(super) fn new(bind: BTreeMap<SocketAddr, SocketAddr>, workers: usize) -> Self {
        Self {
            bind,
            workers,
            table: RwLock::new(HashMap::new()),
        }
    }

    /// The socket from which a service's datagrams to `caller` are sent.
    pub(super) fn socket(&self, service: ServiceId) -> Option<Arc<UdpSocket>> {
        let table = self.table.read().unwrap_or_else(PoisonError::into_inner);
        table.get(&service)?.sockets.first().cloned()
    }

    /// Closes and binds sockets to match the configuration. `spawn_reader` starts the task that
    /// reads a socket. Returns whether all sockets could be bound.
    pub(super) fn apply_config(
        &self,
        document: &Document,
        spawn_reader: impl Fn(ServiceId, Arc<UdpSocket>) -> JoinHandle<()>,
    ) -> bool {
        let mut table = self.table.write().unwrap_or_else(PoisonError::into_inner);
        let local = |address: &SocketAddr| *self.bind.get(address).unwrap_or(address);
        table.retain(|id, listener| {
            let service = document.services.get(id);
            service.is_some_and(|service| local(&service.address) == listener.address)
        });
        let count = match document.services.len() <= MAX_SERVICES_WITH_SOCKET_PER_WORKER {
            true => self.workers,
            false => 1,
        };
        let mut all_bound = true;
        for (&id, service) in &document.services {
            if table.contains_key(&id) {
                continue;
            }
            let address = local(&service.address);
            match socket::bind(address, count) {
                Ok(sockets) => {
                    let sockets: Vec<_> = sockets.into_iter().map(Arc::new).collect();
                    let tasks = sockets
                        .iter()
                        .map(|socket| spawn_reader(id, Arc::clone(socket)));
                    let tasks = tasks.collect();
                    let listener = Listener {
                        address,
                        sockets,
                        tasks,
                    };
                    table.insert(id, listener);
                    log::info!(
                        "balancer: listening on {address} for service {}",
                        service.name
                    );
                }
                Err(error) => {
                    all_bound = false;
                    log::error!(
                        "balancer: cannot listen for service {}: {error:#}",
                        service.name
                    );
                }
            }
        }
        all_bound
    }
}
