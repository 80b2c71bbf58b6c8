//! A balancer's sockets: datagrams from callers to agents and back.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use sassafrasmast_core::{
    Blackboard, balancer,
    config::{Document, Secrets, Service, Snapshot, Upstream, Zone},
    timeline,
};
use sassafrasmast_wire::{Body, Cid, Frame, Load, State};
use sassafrasmastd::{
    app::balancer::{DataPlane, Journal, Pull},
    options::{Balancer, Role, Settings},
    recorder::Recorder,
};
use tokio::{net::UdpSocket, sync::mpsc, time::timeout};

/// Longest time for a datagram to arrive over loopback, with a large margin.
const TIMEOUT: Duration = Duration::from_secs(5);

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A loopback address that no other test process uses.
fn ip() -> [u8; 4] {
    let [_, _, a, b] = std::process::id().to_be_bytes();
    let next = NEXT.fetch_add(1, Ordering::Relaxed) as u8;
    [127, 64 + (a & 0x3f), b, 1 + next]
}

struct TestBed {
    data_plane: Arc<DataPlane>,
    blackboard: Arc<Blackboard>,
    document: Document,
    agent: UdpSocket,
    caller: UdpSocket,
    listen: SocketAddr,
    service: SocketAddr,
    pulls: mpsc::Receiver<Pull>,
}

impl TestBed {
    async fn new() -> Self {
        let [listen, service, agent, caller] =
            [7_000, 8_443, 7_000, 0].map(|port| SocketAddr::from((ip(), port)));
        let agent = UdpSocket::bind(agent).await.expect("a free address");
        let caller = UdpSocket::bind(caller).await.expect("a free address");
        let document = document(service, agent.local_addr().expect("bound"));
        let blackboard = Arc::new(Blackboard::new(64));
        let snapshot = Snapshot::new(document.clone()).expect("consistent secrets");
        assert!(blackboard.install(Instant::now(), snapshot));
        let (wanted, pulls) = mpsc::channel(8);
        let data_plane = data_plane(listen, &blackboard, wanted).expect("free addresses");
        data_plane.start();
        Self {
            data_plane,
            blackboard,
            document,
            agent,
            caller,
            listen,
            service,
            pulls,
        }
    }

    /// Sends a caller's datagram until the agent gets it, as sockets are bound only some time after
    /// the configuration was put in force.
    async fn send_until_forwarded(&self, datagram: &[u8]) -> Vec<u8> {
        let end = Instant::now() + TIMEOUT;
        loop {
            assert!(Instant::now() < end, "the agent got nothing");
            self.send(datagram).await;
            let wait = Duration::from_millis(100);
            if let Ok(frame) = timeout(wait, self.inbound()).await {
                return frame;
            }
        }
    }

    async fn send(&self, datagram: &[u8]) {
        let sent = self.caller.send_to(datagram, self.service).await;
        sent.expect("loopback");
    }

    /// The next frame with a caller's datagram.
    async fn inbound(&self) -> Vec<u8> {
        let mut buffer = [0; 4_096];
        loop {
            let (length, _) = self.agent.recv_from(&mut buffer).await.expect("loopback");
            let frame = Frame::decode(&buffer[..length]).expect("a frame");
            if matches!(frame.body, Body::Inbound { .. }) {
                return buffer[..length].to_vec();
            }
        }
    }

    async fn send_frame(&self, config: u64, body: Body<'_>) {
        let mut bytes = Vec::new();
        let frame = Frame::new(config, body);
        frame.encode(&mut bytes).expect("a small frame");
        let sent = self.agent.send_to(&bytes, self.listen).await;
        sent.expect("loopback");
    }

    async fn receive(&self) -> (Vec<u8>, SocketAddr) {
        let mut buffer = [0; 4_096];
        let heard = timeout(TIMEOUT, self.caller.recv_from(&mut buffer)).await;
        let (length, from) = heard.expect("an answer in time").expect("loopback");
        (buffer[..length].to_vec(), from)
    }

    fn short_header_datagram(&self) -> Vec<u8> {
        let keys = self.document.secrets.keys().expect("consistent secrets");
        let cid = Cid {
            agent: 1,
            incarnation: 9,
            service: 1,
            nonce: 3,
        };
        let mut datagram = vec![0x41; 60];
        datagram[1..18].copy_from_slice(&cid.seal(&keys));
        datagram
    }
}

fn data_plane(
    listen: SocketAddr,
    blackboard: &Arc<Blackboard>,
    pulls: mpsc::Sender<Pull>,
) -> anyhow::Result<Arc<DataPlane>> {
    let role = Balancer {
        api: listen,
        store: Vec::new(),
        peers: Vec::new(),
        bind: [].into(),
        policy: balancer::Policy::default(),
    };
    let settings = Settings {
        name: "balancer-1".to_owned(),
        zone: "a".to_owned(),
        listen,
        metrics: None,
        log: "info".to_owned(),
        workers: 2,
        events: 64,
        role: Role::Balancer(role.clone()),
    };
    let blackboard_clone = || Arc::clone(blackboard);
    let router = balancer::Router::new(
        Instant::now(),
        balancer::Settings::default(),
        blackboard_clone(),
    );
    let journal = Journal::new(Recorder::new(blackboard_clone(), settings.name.clone(), 1));
    DataPlane::bind(&settings, &role, router, blackboard_clone(), journal, pulls)
}

fn document(service: SocketAddr, agent: SocketAddr) -> Document {
    let mut document = Document::first(Secrets {
        sealing: 0,
        phases: [(0, [1; 32])].into(),
        reset: [2; 32],
    });
    document.zones.insert("a".to_owned(), Zone::default());
    let service = Service {
        name: "dispatch".to_owned(),
        address: service,
        feeds: Vec::new(),
        deadline_ms: 10_000,
        max_body_bytes: 1 << 20,
    };
    document.services.insert(1, service);
    let upstream = Upstream {
        service: 1,
        zone: "a".to_owned(),
        agent,
        upstream: agent,
        slots: 5,
        connections: 2_000,
        draining: false,
    };
    document.upstreams.insert(1, upstream);
    document.next_agent = 2;
    document
}

fn initial_datagram() -> Vec<u8> {
    let mut datagram = vec![0; 1_200];
    datagram[..7].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8, 9]);
    datagram
}

#[tokio::test(flavor = "multi_thread")]
async fn datagrams_are_forwarded_in_both_directions() {
    let test_bed = TestBed::new().await;
    let placed = test_bed.send_until_forwarded(&initial_datagram()).await;
    let Body::Inbound {
        incarnation,
        caller,
        payload,
        ..
    } = Frame::decode(&placed).expect("a frame").body
    else {
        panic!("expected an inbound frame");
    };
    assert_eq!((incarnation, payload), (None, &initial_datagram()[..]));
    let forwarded = test_bed
        .send_until_forwarded(&test_bed.short_header_datagram())
        .await;
    let forwarded = Frame::decode(&forwarded).expect("a frame").body;
    assert!(matches!(
        forwarded,
        Body::Inbound {
            incarnation: Some(9),
            ..
        }
    ));
    let outbound = Body::Outbound {
        service: 1,
        agent: 1,
        incarnation: 9,
        caller,
        load: Load {
            state: State::Ready,
            ..Load::default()
        },
        payload: b"answer",
    };
    test_bed.send_frame(1, outbound).await;
    assert_eq!(
        test_bed.receive().await,
        (b"answer".to_vec(), test_bed.service)
    );
    let events = test_bed.blackboard.events(0);
    let placed = timeline::Kind::FlowPlaced {
        service: 1,
        agent: 1,
    };
    assert!(events.iter().any(|(_, event)| event.kind == placed));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flow_of_a_removed_agent_is_reset_at_its_next_datagram() {
    let mut test_bed = TestBed::new().await;
    test_bed
        .send_until_forwarded(&test_bed.short_header_datagram())
        .await;
    test_bed.document.version = 2;
    test_bed.document.upstreams.clear();
    let snapshot = Snapshot::new(test_bed.document.clone()).expect("consistent secrets");
    assert!(test_bed.blackboard.install(Instant::now(), snapshot));
    test_bed.send(&test_bed.short_header_datagram()).await;
    let keys = test_bed
        .document
        .secrets
        .keys()
        .expect("consistent secrets");
    let token = keys.reset_token(1, &test_bed.short_header_datagram()[1..18]);
    let (reset, from) = test_bed.receive().await;
    assert!(reset.ends_with(&token) && from == test_bed.service);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newer_version_is_pulled_from_the_sender_of_its_frame() {
    let mut test_bed = TestBed::new().await;
    test_bed.send_until_forwarded(&initial_datagram()).await;
    test_bed.send_frame(5, Body::Hello).await;
    let pull = timeout(TIMEOUT, test_bed.pulls.recv())
        .await
        .expect("a pull in time");
    let from = test_bed.agent.local_addr().expect("bound");
    assert_eq!(pull, Some(Pull { from, version: 5 }));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_burst_that_fits_into_the_buffers_is_forwarded_completely() {
    const BURST: usize = 50;
    let test_bed = TestBed::new().await;
    test_bed.send_until_forwarded(&initial_datagram()).await;
    for _ in 0..BURST {
        test_bed.send(&test_bed.short_header_datagram()).await;
    }
    for got in 0..BURST {
        let inbound = timeout(TIMEOUT, test_bed.inbound()).await;
        assert!(inbound.is_ok(), "{got} of {BURST} arrived");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_error_names_the_address_that_is_in_use() {
    let test_bed = TestBed::new().await;
    let (wanted, _pulls) = mpsc::channel(1);
    let error = data_plane(test_bed.listen, &test_bed.blackboard, wanted)
        .expect_err("the address is taken");
    let text = format!("{error:#}");
    assert!(text.contains(&test_bed.listen.to_string()), "{text}");
    // The failed start does not make the running balancer hold datagrams.
    assert!(!test_bed.data_plane.router().is_held());
}
