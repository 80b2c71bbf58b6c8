//! Processor time that a balancer's sockets and routing cost per packet.
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

/// Packets a second.
const RATES: [u32; 4] = [1_000, 5_000, 20_000, 50_000];

/// Time for each rate.
const RUN: Duration = Duration::from_secs(3);

/// Time between two bursts of the sender.
const BURST_GAP: Duration = Duration::from_millis(1);

/// Bytes of a packet.
const PACKET_BYTES: usize = 1_200;

/// Name of the worker threads.
const WORKERS: &str = "balancer-worker";

/// Length of a tick of the processor time in `/proc`.
const CLOCK_TICK: Duration = Duration::from_millis(10);

fn main() -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name(WORKERS)
        .enable_all()
        .build()?;
    let [listen, service, agent] = addresses();
    let document = document(service, agent);
    let packet = packet(&document)?;
    let _data_plane = runtime.block_on(start(listen, document))?;
    let received = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let sink = UdpSocket::bind(agent).context("agent")?;
    sink.set_read_timeout(Some(Duration::from_millis(100)))?;
    let receiver = receive(sink, Arc::clone(&received), Arc::clone(&stop));
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
        let each = spent.as_secs_f64() * 1e6 / forwarded.max(1) as f64;
        println!("| {rate} | {sent} | {forwarded} | {each:.2} |");
    }
    stop.store(true, Ordering::Relaxed);
    receiver.join().expect("the receiving thread ends");
    Ok(())
}

/// Loopback addresses of this process's own.
fn addresses() -> [SocketAddr; 3] {
    let [_, _, a, b] = std::process::id().to_be_bytes();
    [1, 2, 3].map(|last| SocketAddr::from(([127, 64 + (a & 0x3f), b, last], 7_000)))
}

async fn start(listen: SocketAddr, document: Document) -> anyhow::Result<Arc<DataPlane>> {
    let blackboard = Arc::new(Blackboard::new(16));
    let snapshot = Snapshot::new(document).context("secrets")?;
    blackboard.install(snapshot);
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
    let board = || Arc::clone(&blackboard);
    let router = balancer::Router::new(Instant::now(), balancer::Settings::default(), board());
    let journal = Journal::new(Recorder::new(board(), settings.name.clone(), 1));
    let (pulls, _) = mpsc::channel(1);
    let data_plane = DataPlane::bind(&settings, &role, router, board(), journal, pulls)?;
    data_plane.start();
    Ok(data_plane)
}

fn receive(
    sink: UdpSocket,
    received: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut buffer = [0; 4_096];
        while !stop.load(Ordering::Relaxed) {
            match sink.recv_from(&mut buffer) {
                Ok((length, _)) if length >= PACKET_BYTES => {
                    received.fetch_add(1, Ordering::Relaxed);
                }
                Ok((length, from)) => answer(&sink, from, &buffer[..length]),
                Err(_) => {}
            }
        }
    })
}

/// Answers a probe, so that the agent counts as alive.
fn answer(sink: &UdpSocket, from: SocketAddr, frame: &[u8]) {
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
        // A lost report is asked for again.
        let _ = sink.send_to(&bytes, from);
    }
}

/// Sends at a steady rate in small bursts and gives the number of packets.
fn send(packet: &[u8], to: SocketAddr, rate: u32) -> anyhow::Result<u32> {
    let socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let began = Instant::now();
    let mut sent = 0;
    while began.elapsed() < RUN {
        let due = (began.elapsed().as_secs_f64() * f64::from(rate)) as u32;
        while sent < due {
            socket.send_to(packet, to)?;
            sent += 1;
        }
        thread::sleep(BURST_GAP);
    }
    Ok(sent)
}

/// Processor time that the worker threads have used.
fn worker_time() -> anyhow::Result<Duration> {
    let mut ticks = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let stat = fs::read_to_string(task?.path().join("stat"))?;
        let (name, fields) = stat.rsplit_once(") ").context("a stat line")?;
        if name.contains(WORKERS) {
            // Fields 14 and 15 of the line: user and system time.
            let times = fields.split(' ').skip(11).take(2);
            ticks += times
                .filter_map(|time| time.parse::<u32>().ok())
                .sum::<u32>();
        }
    }
    Ok(CLOCK_TICK * ticks)
}

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
