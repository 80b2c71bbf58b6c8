//! One agent with its upstream, balancer and configuration.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rustls_pki_types::CertificateDer;
use sassafrasmast_core::{
    Blackboard,
    config::{Document, Snapshot},
};
use sassafrasmast_wire::AgentId;
use sassafrasmastd::{
    app::agent::{Lifecycle, Server},
    options::{Agent, Role, Settings},
    peer,
};
use tokio::{runtime::Runtime, task::JoinHandle, time::sleep};

use super::{
    balancer::Balancer,
    caller::Caller,
    document::{certificate, document, ip},
    upstream::{self, Counts},
};

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

impl Site {
    /// Starts an admitted agent.
    pub async fn start() -> Self {
        Self::with(|_| ()).await
    }

    /// Starts an agent without a configuration.
    pub async fn unadmitted() -> Self {
        Self::named(1, |_| ()).await
    }

    /// Starts an admitted agent with changed settings.
    pub async fn with(change: impl FnOnce(&mut Agent)) -> Self {
        let site = Self::named(1, change).await;
        site.install(document(site.listen, site.upstream));
        site.wait_until(|site| site.server().socket.identity().is_some())
            .await;
        site
    }

    /// Starts agents 1 and 2 of one service.
    pub async fn pair() -> (Self, Self) {
        let (one, two) = (Self::named(1, |_| ()).await, Self::named(2, |_| ()).await);
        let mut both = document(one.listen, one.upstream);
        let other = document(two.listen, two.upstream).upstreams.remove(&1);
        both.upstreams.extend(other.map(|upstream| (2, upstream)));
        for site in [&one, &two] {
            site.install(both.clone());
            site.wait_until(|site| site.server().socket.identity().is_some())
                .await;
        }
        (one, two)
    }

    async fn named(agent: AgentId, change: impl FnOnce(&mut Agent)) -> Self {
        let ip = ip();
        let listen = SocketAddr::new(ip, 4_433);
        let blackboard = Arc::new(Blackboard::new(10_000));
        let (upstream, counts) = upstream::start(ip).await;
        let balancer = Balancer::start(ip, (agent, listen), blackboard.clone()).await;
        let (certificate, chain, key) = certificate(ip);
        let mut role = Agent {
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
        change(&mut role);
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
        let (listen, host) = (self.listen, lifecycle.peer_handler());
        runtime.spawn(async move { peer::Server::bind(listen).await.unwrap().run(host).await });
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
            if self
                .server()
                .dispatcher
                .inspect(|agent, now| agent.load(now).limit)
                >= 2
            {
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
