//! Validation of settings.

use std::{
    collections::BTreeSet,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use flexi_logger::LogSpecification;
use log::LevelFilter;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

use super::{Agent, Balancer, Problem, Role, Settings};

/// Longest name of a process, zone or service, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Most worker threads.
const MAX_WORKERS: usize = 256;

/// Most events kept in the timeline, at about 256 bytes each.
const MAX_TIMELINE_EVENTS: usize = 1 << 20;

/// Collects the problems of one settings file.
#[derive(Debug, Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Settings {
    /// All problems of these settings and of the files that they name.
    pub fn problems(&self) -> Vec<Problem> {
        let mut checker = Checker::default();
        checker.name("name", &self.name);
        checker.name("zone", &self.zone);
        checker.reachable("listen", self.listen);
        checker.range("workers", self.workers, MAX_WORKERS);
        checker.range("events", self.events, MAX_TIMELINE_EVENTS);
        checker.log(&self.log);
        let mut tcp = vec![("listen", self.listen)];
        if let Some(metrics) = self.metrics {
            checker.port("metrics", metrics);
            tcp.push(("metrics", metrics));
        }
        match &self.role {
            Role::Balancer(balancer) => checker.balancer(balancer, self.listen, &mut tcp),
            Role::Agent(agent) => checker.agent(agent, &mut tcp),
        }
        checker.distinct(&tcp);
        checker.problems
    }
}

impl Checker {
    fn add(&mut self, key: &str, reason: impl Into<String>) {
        self.problems.push(Problem::new(key, reason));
    }

    fn name(&mut self, key: &str, name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() {
            self.add(key, "is empty");
        } else if name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
            self.add(
                key,
                format!("{name:?} is not 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"),
            );
        }
    }

    /// Checks a log level, or a list of levels and of modules with their levels.
    fn log(&mut self, log: &str) {
        let wrong = |part: &&str| !part.contains('=') && part.parse::<LevelFilter>().is_err();
        if let Some(part) = log.split(',').map(str::trim).find(wrong) {
            self.add("log", format!("{part:?} is not a log level"));
        } else if let Err(error) = LogSpecification::parse(log) {
            self.add("log", error.to_string());
        }
    }

    fn range(&mut self, key: &str, value: usize, max: usize) {
        if value == 0 {
            self.add(key, "is zero");
        } else if value > max {
            self.add(key, format!("is {value}, at most {max} is allowed"));
        }
    }

    fn positive(&mut self, key: &str, value: u64) {
        if value == 0 {
            self.add(key, "is zero");
        }
    }

    fn port(&mut self, key: &str, address: SocketAddr) {
        if address.port() == 0 {
            self.add(key, format!("{address} has port 0"));
        }
    }

    /// Checks an address that other processes connect to as it is written.
    fn reachable(&mut self, key: &str, address: SocketAddr) {
        self.port(key, address);
        if address.ip().is_unspecified() || address.ip().is_multicast() {
            self.add(
                key,
                format!("{address} is no address that others can reach"),
            );
        }
    }

    /// Checks a list of addresses that may be empty.
    fn address_list(&mut self, key: &str, addresses: &[SocketAddr]) {
        let mut seen = BTreeSet::new();
        for &address in addresses {
            self.reachable(key, address);
            if !seen.insert(address) {
                self.add(key, format!("{address} is given twice"));
            }
        }
    }

    /// Checks a list of addresses that must not be empty.
    fn non_empty_list(&mut self, key: &str, addresses: &[SocketAddr]) {
        if addresses.is_empty() {
            self.add(key, "is empty");
        }
        self.address_list(key, addresses);
    }

    /// Checks that no two sockets of the process, or of the upstream next to it, have
    /// overlapping addresses.
    fn distinct(&mut self, addresses: &[(&str, SocketAddr)]) {
        for (index, (key, address)) in addresses.iter().enumerate() {
            let others = &addresses[..index];
            if let Some((other, _)) = others.iter().find(|(_, other)| overlap(*address, *other)) {
                self.add(key, format!("{address} overlaps with {other}"));
            }
        }
    }

    fn balancer(
        &mut self,
        balancer: &Balancer,
        listen: SocketAddr,
        tcp: &mut Vec<(&str, SocketAddr)>,
    ) {
        self.reachable("role.balancer.api", balancer.api);
        self.non_empty_list("role.balancer.store", &balancer.store);
        self.address_list("role.balancer.peers", &balancer.peers);
        tcp.push(("role.balancer.api", balancer.api));
        let key = "role.balancer.bind";
        let mut udp = vec![("listen", listen)];
        for (&service, &local) in &balancer.bind {
            self.reachable(key, service);
            self.port(key, local);
            udp.push((key, local));
        }
        self.distinct(&udp);
    }

    fn agent(&mut self, agent: &Agent, tcp: &mut Vec<(&str, SocketAddr)>) {
        self.name("role.agent.service", &agent.service);
        self.reachable("role.agent.upstream", agent.upstream);
        self.positive("role.agent.slots", agent.slots.into());
        self.positive("role.agent.connections", agent.connections.into());
        if agent.connections < agent.slots.into() {
            let reason = format!(
                "{} is less than the {} slots",
                agent.connections, agent.slots
            );
            self.add("role.agent.connections", reason);
        }
        self.non_empty_list("role.agent.entries", &agent.entries);
        self.address_list("role.agent.store", &agent.store);
        if let Some(deadline) = agent.drain_deadline_ms {
            self.positive("role.agent.drain_deadline_ms", deadline);
        }
        tcp.push(("role.agent.upstream", agent.upstream));
        self.pem("role.agent.certificate", &agent.certificate, |pem| {
            CertificateDer::from_pem_slice(pem).is_ok()
        });
        self.pem("role.agent.key", &agent.key, |pem| {
            PrivateKeyDer::from_pem_slice(pem).is_ok()
        });
    }

    /// Checks that a PEM file can be read and that its content is valid.
    fn pem(&mut self, key: &str, path: &PathBuf, is_valid: impl Fn(&[u8]) -> bool) {
        let file = Path::new(path).display();
        match fs::read(path) {
            Err(error) => self.add(key, format!("{file}: {error}")),
            Ok(pem) if !is_valid(&pem) => {
                self.add(
                    key,
                    format!("{file} does not hold valid PEM of the expected kind"),
                );
            }
            Ok(_) => {}
        }
    }
}

/// Whether two sockets on one host cannot be bound to these addresses at the same time.
fn overlap(one: SocketAddr, other: SocketAddr) -> bool {
    let any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (any || one.ip() == other.ip())
}
