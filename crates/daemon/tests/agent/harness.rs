//! Runs one agent with a fake upstream, a fake balancer and a configuration.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rustls_pki_types::CertificateDer;
use sassafrasmast_core::{
    Blackboard,
    config::{Document, Snapshot},
};
use sassafrasmast_wire::AgentId;
use sassafrasmastd::{
    app::agent::{Lifecycle, SharedState},
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

/// One agent and its environment.
pub struct Harness {
    pub blackboard: Arc<Blackboard>,
    pub balancer: Balancer,
    shared: Option<Arc<SharedState>>,
    runtime: Option<Runtime>,
    pub counts: Counts,
    pub certificate: CertificateDer<'static>,
    pub task: JoinHandle<anyhow::Result<()>>,
    pub drain: Box<dyn Fn() + Send + Sync>,
    pub listen: SocketAddr,
    pub upstream: SocketAddr,
    settings: Settings,
}

impl Harness {
    /// Starts an admitted agent.
    pub async fn start() -> Self {
        Self::with(|_| ()).await
    }

    /// Starts an agent without a configuration.
    pub async fn unadmitted() -> Self {
        Self::launch_unadmitted(1, |_| ()).await
    }

    /// Starts an admitted agent with changed settings.
    pub async fn with(change: impl FnOnce(&mut Agent)) -> Self {
        let harness = Self::launch_unadmitted(1, change).await;
        harness.install(document(harness.listen, harness.upstream));
        harness
            .wait_until(|harness| harness.shared().socket.identity().is_some())
            .await;
        harness
    }

    /// Starts agents 1 and 2 of one service.
    pub async fn pair() -> (Self, Self) {
        let (one, two) = (
            Self::launch_unadmitted(1, |_| ()).await,
            Self::launch_unadmitted(2, |_| ()).await,
        );
        let mut both = document(one.listen, one.upstream);
        let other = document(two.listen, two.upstream).upstreams.remove(&1);
        both.upstreams.extend(other.map(|upstream| (2, upstream)));
        for harness in [&one, &two] {
            harness.install(both.clone());
            harness
                .wait_until(|harness| harness.shared().socket.identity().is_some())
                .await;
        }
        (one, two)
    }

    async fn launch_unadmitted(agent: AgentId, change: impl FnOnce(&mut Agent)) -> Self {
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
        let mut harness = Self {
            blackboard,
            balancer,
            shared: None,
            runtime: None,
            counts,
            certificate,
            drain: Box::new(|| ()),
            task: tokio::spawn(async { Ok(()) }),
            listen,
            upstream,
            settings,
        };
        harness.launch();
        harness
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
        self.shared = Some(lifecycle.shared().clone());
        self.drain = Box::new(lifecycle.drain());
        let (listen, host) = (self.listen, lifecycle.peer_handler());
        runtime.spawn(async move { peer::Server::bind(listen).await.unwrap().run(host).await });
        self.task = runtime.spawn(lifecycle.run());
        drop(guard);
        self.runtime = Some(runtime);
    }

    pub fn shared(&self) -> &SharedState {
        self.shared.as_ref().unwrap()
    }

    /// Kills the agent without notice to callers or balancers.
    pub async fn kill(&mut self) {
        self.shared = None;
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
        assert!(
            self.blackboard
                .install(Instant::now(), Snapshot::new(document).unwrap())
        );
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
        self.wait_until(|harness| harness.shared().socket.identity().is_some())
            .await;
    }

    pub async fn caller(&self) -> Caller {
        let connect = Caller::connect(&self.certificate, self.balancer.front);
        connect.await.unwrap()
    }

    /// A caller, after enough short requests for the cold upstream's limit to reach two concurrent
    /// requests.
    pub async fn caller_with_warm_upstream(&self) -> Caller {
        let caller = self.caller().await;
        for _ in 0..500 {
            if self
                .shared()
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
        panic!("the limit did not reach 2 within 500 rounds of requests");
    }

    /// Waits up to 5 s for a condition.
    pub async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        for _ in 0..250 {
            if condition(self) {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the condition was not met within 5 s");
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
