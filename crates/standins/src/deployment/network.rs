//! Loopback addresses of a deployment.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

/// Number of loopback networks of 256 addresses from which one is reserved.
const NETWORK_COUNT: u32 = 150 * 256;

/// Second byte of the first of these networks, 127.100.0.0/24.
const FIRST_NETWORK_BYTE: u32 = 100;

/// Networks set apart for each process id.
const NETWORKS_PER_PROCESS: u32 = 8;

/// Last byte of the address on which a listener marks a network as in use.
const LOCK_HOST: usize = 254;

/// Port of that listener.
const LOCK_PORT: u16 = 7_999;

/// Last byte of the first balancer's address.
const FIRST_BALANCER_HOST: usize = 10;

/// Last byte of the first upstream's address.
const FIRST_UPSTREAM_HOST: usize = 100;

/// A network of 256 loopback addresses, with one address for each simulated machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Network {
    bytes: [u8; 3],
}

impl Network {
    /// Reserves a network that no other deployment on this machine uses while the returned listener
    /// is bound.
    ///
    /// # Errors
    ///
    /// If all networks are in use.
    pub fn reserve() -> anyhow::Result<(Self, TcpListener)> {
        static COUNTER: AtomicU32 = AtomicU32::new(0);
        for _ in 0..NETWORK_COUNT {
            let count = COUNTER.fetch_add(1, Ordering::Relaxed);
            let number = process::id()
                .wrapping_mul(NETWORKS_PER_PROCESS)
                .wrapping_add(count)
                % NETWORK_COUNT;
            let [_, _, high, low] = (number + (FIRST_NETWORK_BYTE << 8)).to_be_bytes();
            let network = Self {
                bytes: [127, high, low],
            };
            if let Ok(listener) = TcpListener::bind(network.address(LOCK_HOST, LOCK_PORT)) {
                return Ok((network, listener));
            }
        }
        anyhow::bail!("all {NETWORK_COUNT} loopback networks are in use")
    }

    /// Address of the platform's store.
    pub fn store(&self) -> SocketAddr {
        self.address(1, 2_379)
    }

    /// Address of the fabric's HTTP API for counters and faults.
    pub fn fabric(&self) -> SocketAddr {
        self.address(2, 8_000)
    }

    /// Address of a balancer's metrics.
    pub fn metrics(&self, index: usize) -> SocketAddr {
        self.address(FIRST_BALANCER_HOST + index, 7_001)
    }

    /// Address to which the callers of the `index`-th service send.
    pub fn service(&self, index: usize) -> SocketAddr {
        self.address(2, service_port(index))
    }

    /// Address of a balancer for frames and for calls of its peers.
    pub fn balancer(&self, index: usize) -> SocketAddr {
        self.address(FIRST_BALANCER_HOST + index, 7_000)
    }

    /// Address of a balancer's operators' API.
    pub fn api(&self, index: usize) -> SocketAddr {
        self.address(FIRST_BALANCER_HOST + index, 8_000)
    }

    /// Address that a balancer binds for the `service`-th service.
    pub fn bind_address(&self, balancer: usize, service: usize) -> SocketAddr {
        self.address(FIRST_BALANCER_HOST + balancer, service_port(service))
    }

    /// Address of the `index`-th upstream over all services.
    pub fn upstream(&self, index: usize) -> SocketAddr {
        self.address(FIRST_UPSTREAM_HOST + index, 8_080)
    }

    /// Address of the agent beside the `index`-th upstream.
    pub fn agent(&self, index: usize) -> SocketAddr {
        self.address(FIRST_UPSTREAM_HOST + index, 7_000)
    }

    fn address(&self, host: usize, port: u16) -> SocketAddr {
        let [a, b, c] = self.bytes;
        let host = u8::try_from(host).expect("the deployment has at most 150 upstreams");
        SocketAddr::new(Ipv4Addr::new(a, b, c, host).into(), port)
    }
}

/// Port of the `index`-th service.
fn service_port(index: usize) -> u16 {
    4_433 + u16::try_from(index).unwrap_or_default()
}
