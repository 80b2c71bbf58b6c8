//! The daemon as an agent in a separate process. Used by `benches/latency.rs` and
//! `benches/flows.rs`.

use std::{
    fs,
    net::SocketAddr,
    process::{self, Command},
    sync::Arc,
    time::{Duration, Instant},
};

use rustls_pki_types::CertificateDer;
use sassafrasmast_core::{Blackboard, config::Snapshot};
use sassafrasmastd::peer;
use tokio::time::sleep;

use super::{balancer::Balancer, caller::Caller, document, upstream};

/// Wait after the start, in which the agent pulls the configuration.
const BOOT_WAIT: Duration = Duration::from_secs(3);

/// Clock ticks per second in which `/proc` states processor time.
const TICKS_PER_S: f64 = 100.0;

/// The process with its balancer and upstream. It is killed when this is dropped.
pub struct Child {
    process: process::Child,
    balancer: Balancer,
    certificate: CertificateDer<'static>,
    pub upstream: SocketAddr,
}

impl Drop for Child {
    fn drop(&mut self) {
        // Killing fails if the process has already ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Child {
    pub async fn start() -> Self {
        let ip = document::ip();
        let listen = SocketAddr::new(ip, 4_433);
        let blackboard = Arc::new(Blackboard::new(100));
        let (upstream, _) = upstream::start(ip).await;
        let balancer = Balancer::start(ip, (1, listen), blackboard.clone()).await;
        let (certificate, chain, key) = document::certificate(ip);
        let document = document::document(listen, upstream);
        assert!(blackboard.install(Instant::now(), Snapshot::new(document).unwrap()));
        let server = peer::Server::bind(balancer.back).await.unwrap();
        let common = peer::CommonHandler::balancer(blackboard);
        tokio::spawn(server.run(Arc::new(common)));
        let settings = chain.with_file_name("agent.toml");
        let text = format!(
            "name = \"agent\"\nzone = \"a\"\nlisten = \"{listen}\"\nlog = \"warn\"\n\
             events = 1000\n[role.agent]\nservice = \"bookings\"\nupstream = \"{upstream}\"\n\
             slots = 5\nconnections = 2000\nentries = [\"{}\"]\ncertificate = {chain:?}\n\
             key = {key:?}\n",
            balancer.back
        );
        fs::write(&settings, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_sassafrasmastd"));
        let process = command.arg("--settings").arg(settings).spawn().unwrap();
        sleep(BOOT_WAIT).await;
        Self {
            process,
            balancer,
            certificate,
            upstream,
        }
    }

    pub async fn caller(&self) -> Caller {
        let connect = Caller::connect(&self.certificate, self.balancer.front);
        connect.await.unwrap()
    }

    pub fn resident_kib(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.unwrap().split_whitespace().nth(1);
        number.unwrap().parse().unwrap()
    }

    pub fn processor_s(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id())).unwrap();
        let fields: Vec<_> = stat
            .rsplit(')')
            .next()
            .unwrap()
            .split_whitespace()
            .collect();
        let ticks = |at: usize| fields[at].parse::<f64>().unwrap();
        (ticks(11) + ticks(12)) / TICKS_PER_S
    }
}
