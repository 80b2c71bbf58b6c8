//! Processor time of a balancer's sockets and routing per packet.
//!
//! `cargo run --release -p sassafrasmastd --example forward` sends packets of open flows at fixed
//! rates through one balancer on loopback and prints a Markdown table. The time of the balancer's
//! worker threads is counted, not that of the sending and the receiving thread.

use std::{
    fs,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;
use sassafrasmast_core::{
    Blackboard, balancer,
    config::{Document, Secrets, Service, Snapshot, Upstream, Zone},
};
use sassafrasmast_wire::{Body, Cid, Frame, Load};
use sassafrasmastd::{
    app::balancer::{DataPlane, Journal},
    options::{Balancer, Role, Settings},
    recorder::Recorder,
};
use tokio::sync::mpsc;

/// Packets per second sent in each run.
const RATES: [u32; 4] = [1_000, 5_000, 20_000, 50_000];

/// Length of the run at each rate.
const RUN: Duration = Duration::from_secs(3);

/// Time between two bursts of the sender.
const BURST_GAP: Duration = Duration::from_millis(1);

/// Size of a packet.
const PACKET_BYTES: usize = 1_200;

/// Name of the balancer's worker threads.
const WORKER_NAME: &str = "balancer-worker";

/// Unit of the processor times in `/proc`.
const CLOCK_TICK: Duration = Duration::from_millis(10);

fn main() -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(WORKER_NAME)
        .enable_all()
        .build()?;
    let [listen, service, agent] = addresses();
    let document = document(service, agent);
    let packet = packet(&document)?;
    let _data_plane = runtime.block_on(start(listen, document))?;
    let received = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let socket = UdpSocket::bind(agent).context("agent")?;
    socket.set_read_timeout(Some(Duration::from_millis(100)))?;
    let receiver = receive(socket, Arc::clone(&received), Arc::clone(&stop));
    thread::sleep(Duration::from_millis(500));
    println!("| packets/s | sent | forwarded | worker us per packet |");
    println!("|---|---|---|---|");
    for rate in RATES {
        received.store(0, Ordering::Relaxed);
        let before = worker_time()?;
        let sent = send(&packet, service, rate)?;
        thread::sleep(Duration::from_millis(300));
        let spent = worker_time()?.saturating_sub(before);
        let forwarded = received.load(Ordering::Relaxed);
        let per_packet = spent.as_secs_f64() * 1e6 / forwarded.max(1) as f64;
        println!("| {rate} | {sent} | {forwarded} | {per_packet:.2} |");
    }
    stop.store(true, Ordering::Relaxed);
    receiver.join().expect("the receiving thread ends");
    Ok(())
}

/// Loopback addresses that are unique to this process: balancer, service and agent.
fn addresses() -> [SocketAddr; 3] {
    let [_, _, a, b] = std::process::id().to_be_bytes();
    [1, 2, 3].map(|last| SocketAddr::from(([127, 64 + (a & 0x3f), b, last], 7_000)))
}

async fn start(listen: SocketAddr, document: Document) -> anyhow::Result<Arc<DataPlane>> {
    let blackboard = Arc::new(Blackboard::new(16));
    let snapshot = Snapshot::new(document).context("secrets")?;
    blackboard.install(Instant::now(), snapshot);
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
        events: 16,
        role: Role::Balancer(role.clone()),
    };
    let blackboard_clone = || Arc::clone(&blackboard);
    let router = balancer::Router::new(
        Instant::now(),
        balancer::Settings::default(),
        blackboard_clone(),
    );
    let journal = Journal::new(Recorder::new(blackboard_clone(), settings.name.clone(), 1));
    let (pulls, _) = mpsc::channel(1);
    let data_plane = DataPlane::bind(&settings, &role, router, blackboard_clone(), journal, pulls)?;
    data_plane.start();
    Ok(data_plane)
}

/// Starts a thread that counts the packets arriving at the agent's address and answers probes.
fn receive(
    socket: UdpSocket,
    received: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut buffer = [0; 4_096];
        while !stop.load(Ordering::Relaxed) {
            match socket.recv_from(&mut buffer) {
                Ok((length, _)) if length >= PACKET_BYTES => {
                    received.fetch_add(1, Ordering::Relaxed);
                }
                Ok((length, from)) => answer_probe(&socket, from, &buffer[..length]),
                Err(_) => {}
            }
        }
    })
}

/// Answers a probe with a report, so that the balancer considers the agent alive.
fn answer_probe(socket: &UdpSocket, from: SocketAddr, frame: &[u8]) {
    let Ok(Frame {
        body: Body::Probe { nonce, agent },
        ..
    }) = Frame::decode(frame)
    else {
        return;
    };
    let body = Body::Report {
        nonce,
        service: Some(1),
        agent: Some(agent),
        incarnation: 1,
        load: Load::default(),
    };
    let mut bytes = Vec::new();
    if Frame::new(1, body).encode(&mut bytes).is_ok() {
        // If the report is lost, the balancer probes again.
        let _ = socket.send_to(&bytes, from);
    }
}

/// Sends packets at a steady rate in small bursts and returns their number.
fn send(packet: &[u8], to: SocketAddr, rate: u32) -> anyhow::Result<u32> {
    let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < RUN {
        let due = (start.elapsed().as_secs_f64() * f64::from(rate)) as u32;
        while sent < due {
            socket.send_to(packet, to)?;
            sent += 1;
        }
        thread::sleep(BURST_GAP);
    }
    Ok(sent)
}

/// Processor time used by the worker threads so far.
fn worker_time() -> anyhow::Result<Duration> {
    let mut ticks = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let stat = fs::read_to_string(task?.path().join("stat"))?;
        let (name, fields) = stat.rsplit_once(") ").context("a stat line")?;
        if name.contains(WORKER_NAME) {
            // Fields 14 and 15 of the line: user and system time.
            let times = fields.split(' ').skip(11).take(2);
            ticks += times
                .filter_map(|time| time.parse::<u32>().ok())
                .sum::<u32>();
        }
    }
    Ok(CLOCK_TICK * ticks)
}

/// A QUIC datagram with a short header and a connection id of the agent.
fn packet(document: &Document) -> anyhow::Result<Vec<u8>> {
    let keys = document.secrets.keys().context("secrets")?;
    let cid = Cid {
        agent: 1,
        incarnation: 1,
        service: 1,
        nonce: 1,
    };
    let mut packet = vec![0x41; PACKET_BYTES];
    packet[1..18].copy_from_slice(&cid.seal(&keys));
    Ok(packet)
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
