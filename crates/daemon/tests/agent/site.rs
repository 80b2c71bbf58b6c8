//! One agent with its upstream, balancer and configuration.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use rustls_pki_types::CertificateDer;
use sassafrasmast_core::{
    Blackboard,
    config::{Document, Secrets, Service, Snapshot, Upstream, Zone},
};
use sassafrasmastd::{
    app::agent::{Lifecycle, Server},
    options::{Agent, Role, Settings},
};
use tokio::{runtime::Runtime, task::JoinHandle, time::sleep};

use super::{
    balancer::Balancer,
    caller::Caller,
    upstream::{self, Counts},
};

static NEXT: AtomicU8 = AtomicU8::new(1);

/// A loopback address of this test alone.
pub fn ip() -> IpAddr {
    let [.., high, low] = process::id().to_be_bytes();
    Ipv4Addr::new(127, high | 1, low, NEXT.fetch_add(1, Ordering::Relaxed)).into()
}

/// Everything around one agent.
pub struct Site {
    pub blackboard: Arc<Blackboard>,
    pub balancer: Balancer,
    server: Option<Arc<Server>>,
    runtime: Option<Runtime>,
    pub counts: Counts,
    pub certificate: CertificateDer<'static>,
    pub task: JoinHandle<anyhow::Result<()>>,
    pub drain: Box<dyn Fn() + Send + Sync>,
    pub listen: SocketAddr,
    pub upstream: SocketAddr,
    settings: Settings,
}

pub fn service() -> Service {
    Service {
        name: "bookings".to_owned(),
        address: "127.0.0.1:443".parse().unwrap(),
        feeds: vec!["/feed".to_owned()],
        deadline_ms: 5_000,
        max_body_bytes: 20_000_000,
    }
}

/// A document that admits the upstream as agent 1 of service 1.
pub fn document(agent: SocketAddr, upstream: SocketAddr) -> Document {
    let mut document = Document::first(Secrets {
        sealing: 0,
        phases: [(0, [1; 32])].into(),
        reset: [2; 32],
    });
    document.zones.insert("a".to_owned(), Zone::default());
    document.services.insert(1, service());
    let admitted = Upstream {
        service: 1,
        zone: "a".to_owned(),
        agent,
        upstream,
        slots: 5,
        connections: 2_000,
        draining: false,
    };
    document.upstreams.insert(1, admitted);
    document
}

/// Writes a certificate for `localhost`.
fn certificate(ip: IpAddr) -> (CertificateDer<'static>, PathBuf, PathBuf) {
    let made = rcgen::generate_simple_self_signed(["localhost".to_owned()]).unwrap();
    let folder = std::env::temp_dir().join(format!("sassafrasmast-test-{ip}"));
    std::fs::create_dir_all(&folder).unwrap();
    let (chain, key) = (folder.join("chain.pem"), folder.join("key.pem"));
    std::fs::write(&chain, made.cert.pem()).unwrap();
    std::fs::write(&key, made.signing_key.serialize_pem()).unwrap();
    (made.cert.der().clone(), chain, key)
}

impl Site {
    /// Starts an admitted agent.
    pub async fn start() -> Self {
        let site = Self::unadmitted().await;
        site.install(document(site.listen, site.upstream));
        site.wait_until(|site| site.server().socket.identity().is_some())
            .await;
        site
    }

    /// Starts an agent without a configuration.
    pub async fn unadmitted() -> Self {
        let ip = ip();
        let listen = SocketAddr::new(ip, 4_433);
        let blackboard = Arc::new(Blackboard::new(10_000));
        let (upstream, counts) = upstream::start(ip).await;
        let balancer = Balancer::start(ip, listen, blackboard.clone()).await;
        let (certificate, chain, key) = certificate(ip);
        let role = Agent {
            service: "bookings".to_owned(),
            upstream,
            slots: 5,
            connections: 2_000,
            entries: vec![balancer.back],
            store: Vec::new(),
            drain_deadline_ms: None,
            certificate: chain,
            key,
        };
        let settings = Settings {
            name: "agent".to_owned(),
            zone: "a".to_owned(),
            listen,
            metrics: None,
            log: "info".to_owned(),
            workers: 2,
            events: 10_000,
            role: Role::Agent(role.clone()),
        };
        let mut site = Self {
            blackboard,
            balancer,
            server: None,
            runtime: None,
            counts,
            certificate,
            drain: Box::new(|| ()),
            task: tokio::spawn(async { Ok(()) }),
            listen,
            upstream,
            settings,
        };
        site.launch();
        site
    }

    /// Starts the agent in a runtime of its own, so that it can be killed as a whole.
    fn launch(&mut self) {
        let Role::Agent(role) = self.settings.role.clone() else {
            unreachable!();
        };
        let runtime = Runtime::new().unwrap();
        let guard = runtime.enter();
        let settings = self.settings.clone();
        let lifecycle = Lifecycle::start(settings, role, self.blackboard.clone()).unwrap();
        self.server = Some(lifecycle.server().clone());
        self.drain = Box::new(lifecycle.drain());
        self.task = runtime.spawn(lifecycle.run());
        drop(guard);
        self.runtime = Some(runtime);
    }

    pub fn server(&self) -> &Server {
        self.server.as_ref().unwrap()
    }

    /// Kills the agent: nothing is said to anyone.
    pub async fn kill(&mut self) {
        self.server = None;
        self.drain = Box::new(|| ());
        if let Some(runtime) = self.runtime.take() {
            let stopped = tokio::task::spawn_blocking(|| {
                runtime.shutdown_timeout(Duration::from_secs(2));
            });
            stopped.await.unwrap();
        }
    }

    /// Puts a document in force.
    pub fn install(&self, document: Document) {
        assert!(self.blackboard.install(Snapshot::new(document).unwrap()));
    }

    /// Changes the document in force.
    pub fn change(&self, change: impl Fn(&mut Document)) {
        let mut document = self.blackboard.config().unwrap().document.clone();
        document.version += 1;
        change(&mut document);
        self.install(document);
    }

    /// Kills the agent and starts a new incarnation at the same address.
    pub async fn restart(&mut self) {
        self.kill().await;
        self.launch();
        self.wait_until(|site| site.server().socket.identity().is_some())
            .await;
    }

    pub async fn caller(&self) -> Caller {
        let connect = Caller::connect(&self.certificate, self.balancer.front);
        connect.await.unwrap()
    }

    /// Runs quick requests until the cold upstream is trusted with two at once.
    pub async fn warm(&self) -> Caller {
        let caller = self.caller().await;
        for _ in 0..500 {
            if self.server().desk.look(|agent, now| agent.load(now).limit) >= 2 {
                return caller;
            }
            let (mut one, mut two) = (caller.clone(), caller.clone());
            let both = tokio::join!(one.get("/slow/5"), two.get("/slow/5"));
            both.0.unwrap();
            both.1.unwrap();
        }
        panic!("the limit did not grow");
    }

    /// Waits up to 5 s for a condition.
    pub async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        for _ in 0..250 {
            if condition(self) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the condition did not come true within 5 s");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
