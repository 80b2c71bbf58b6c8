//! Configuration tasks of a balancer and of an agent, with a frame reader as in the roles.

use std::{
    net::{Ipv4Addr, SocketAddr},
    process,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use sassafrasmast_core::{
    Blackboard,
    config::{Change, Outcome, Plan, Registration, Service},
    timeline::Kind,
};
use sassafrasmast_wire::{ConfigVersion, Frame};
use sassafrasmastd::{
    config::{Agent, Balancer, Puller},
    peer::CommonHandler,
    recorder::Recorder,
    store::Store,
};
use tokio::{
    net::UdpSocket,
    task::JoinHandle,
    time::{Instant, sleep},
};

/// Longest time until a confirmed change is in force everywhere.
pub const REACTION_TIMEOUT: Duration = Duration::from_secs(5);

/// A loopback address that no other test uses.
pub fn address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = process::id().to_be_bytes();
    let ip = Ipv4Addr::new(
        127,
        64 | (high & 63),
        low,
        NEXT.fetch_add(1, Ordering::Relaxed),
    );
    SocketAddr::from((ip, 7000))
}

/// The configuration tasks of one process.
pub struct Node<T> {
    pub parts: T,
    pub listen: SocketAddr,
    pub blackboard: Arc<Blackboard>,
    reader: JoinHandle<()>,
}

impl<T> Drop for Node<T> {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

pub async fn balancer(store: Arc<dyn Store>, peers: &[SocketAddr]) -> Node<Balancer> {
    let listen = address();
    let blackboard = Arc::new(Blackboard::new(1_024));
    let recorder = Recorder::new(blackboard.clone(), listen.to_string(), 1);
    let socket = Arc::new(UdpSocket::bind(listen).await.expect("a free address"));
    let own = Registration {
        name: listen.to_string(),
        zone: "pocitos".to_owned(),
        listen,
        api: listen,
    };
    let parts = Balancer::start(recorder, store, own, peers.to_vec(), socket.clone())
        .await
        .expect("a free address");
    let reader = read_frames(socket, blackboard.clone(), parts.puller.clone());
    Node {
        parts,
        listen,
        blackboard,
        reader,
    }
}

pub async fn agent(listen: SocketAddr, entries: &[SocketAddr]) -> Node<Agent> {
    let blackboard = Arc::new(Blackboard::new(1_024));
    let recorder = Recorder::new(blackboard.clone(), listen.to_string(), 1);
    let socket = Arc::new(UdpSocket::bind(listen).await.expect("a free address"));
    let handler = Arc::new(CommonHandler::agent(blackboard.clone()));
    let parts = Agent::start(recorder, listen, entries.to_vec(), handler)
        .await
        .expect("a free address");
    let reader = read_frames(socket, blackboard.clone(), parts.puller.clone());
    Node {
        parts,
        listen,
        blackboard,
        reader,
    }
}

/// Pulls from senders of frames with a higher version, as both roles do.
fn read_frames(
    socket: Arc<UdpSocket>,
    blackboard: Arc<Blackboard>,
    puller: Puller,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut buffer = [0; 2_048];
        while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
            let frame = Frame::decode(&buffer[..length]);
            if frame.is_ok_and(|frame| frame.config_version > blackboard.version()) {
                puller.request(from);
            }
        }
    })
}

impl<T> Node<T> {
    /// Waits until `version` is in force here.
    pub async fn wait_for_version(&self, version: ConfigVersion, limit: Duration) {
        let start = Instant::now();
        while self.blackboard.version() < version {
            assert!(
                start.elapsed() < limit,
                "{} has version {}, not {version}, after {limit:?}",
                self.listen,
                self.blackboard.version()
            );
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Whether a refusal of a document is on the time line.
    pub fn has_refused(&self) -> bool {
        let events = self.blackboard.events(0);
        let refused = |kind: &Kind| matches!(kind, Kind::ConfigRefused { .. });
        events.iter().any(|(_, event)| refused(&event.kind))
    }

    /// The versions that came in force, in order.
    pub fn versions(&self) -> Vec<ConfigVersion> {
        let events = self.blackboard.events(0).into_iter();
        events
            .filter_map(|(_, event)| match event.kind {
                Kind::ConfigInForce { version } => Some(version),
                _ => None,
            })
            .collect()
    }
}

impl Node<Balancer> {
    pub fn plan(&self, changes: Vec<Change>) -> Plan {
        let config = self
            .blackboard
            .config()
            .expect("a configuration is in force");
        Plan::new(&config.document, changes).expect("the changes make sense")
    }

    /// Confirms `changes` and returns the new version.
    pub async fn change(&self, changes: Vec<Change>) -> ConfigVersion {
        let plan = self.plan(changes);
        let operation = plan.id.clone();
        match self.parts.confirmer.confirm(plan, &operation).await {
            Outcome::Confirmed { version, .. } => version,
            other => panic!("{other:?}"),
        }
    }
}

pub fn add_zone(zone: &str) -> Change {
    Change::AddZone {
        zone: zone.to_owned(),
    }
}

/// A zone, a service and admitted upstreams beside `agents`.
pub fn admission(agents: &[SocketAddr]) -> Vec<Change> {
    let service = Service {
        name: "dispatch".to_owned(),
        address: "127.0.1.1:443".parse().expect("an address"),
        feeds: vec!["/feed".to_owned()],
        deadline_ms: 5_000,
        max_body_bytes: 1 << 20,
    };
    let admit = |&agent: &SocketAddr| Change::Admit {
        service: "dispatch".to_owned(),
        zone: "pocitos".to_owned(),
        agent,
        upstream: (agent.ip(), 8080).into(),
        slots: 5,
        connections: 2_000,
    };
    let fixed = [add_zone("pocitos"), Change::CreateService { service }];
    fixed.into_iter().chain(agents.iter().map(admit)).collect()
}
