//! Memory and idle processor time of an agent for each flow it holds.
//!
//! Starts the daemon as an agent, opens flows through a forwarding fake of a balancer, and reads
//! the agent's resident memory and processor time at several sizes:
//!
//! ```text
//! cargo bench -p sassafrasmastd --bench flows
//! ```

#![allow(
    clippy::unwrap_used,
    dead_code,
    reason = "a failed step ends the measurement; the fakes are shared with the tests"
)]

#[path = "../tests/agent/balancer.rs"]
mod balancer;
#[path = "../tests/agent/caller.rs"]
mod caller;
#[path = "../tests/agent/document.rs"]
mod document;
#[path = "../tests/agent/upstream.rs"]
mod upstream;

use std::{
    fs,
    net::SocketAddr,
    process::{Child, Command},
    sync::Arc,
    time::Duration,
};

use sassafrasmast_core::{Blackboard, config::Snapshot};
use sassafrasmastd::peer;
use tokio::time::sleep;

use self::{
    balancer::Balancer,
    caller::{Caller, Stream, get},
};

/// Flows held when a reading is taken.
const SIZES: [usize; 5] = [0, 250, 500, 1_000, 1_900];

/// Rest before a reading.
const SETTLE: Duration = Duration::from_secs(3);

/// Time over which processor time is read.
const WINDOW: Duration = Duration::from_secs(5);

/// Processor time is counted in hundredths of a second.
const TICKS_PER_S: f64 = 100.0;

/// One reading: flows, resident KiB, processor seconds a second.
type Reading = (usize, f64, f64);

struct Agent(Child);

impl Drop for Agent {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Agent {
    fn resident_kib(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        line.unwrap()
            .split_whitespace()
            .nth(1)
            .unwrap()
            .parse()
            .unwrap()
    }

    fn processor_s(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap();
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

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for feeds in [false, true] {
        let readings = runtime.block_on(measure(feeds));
        report(if feeds { "with an open feed" } else { "idle" }, &readings);
    }
}

async fn measure(feeds: bool) -> Vec<Reading> {
    let ip = document::ip();
    let listen = SocketAddr::new(ip, 4_433);
    let blackboard = Arc::new(Blackboard::new(100));
    let (upstream, _) = upstream::start(ip).await;
    let balancer = Balancer::start(ip, (1, listen), blackboard.clone()).await;
    let (certificate, chain, key) = document::certificate(ip);
    let document = document::document(listen, upstream);
    assert!(blackboard.install(Snapshot::new(document).unwrap()));
    let server = peer::Server::bind(balancer.back).await.unwrap();
    let common = peer::Common::balancer(blackboard);
    tokio::spawn(server.run(Arc::new(common)));
    let settings = chain.with_file_name("agent.toml");
    let text = format!(
        "name = \"agent\"\nzone = \"a\"\nlisten = \"{listen}\"\nlog = \"warn\"\nevents = 1000\n\
         [role.agent]\nservice = \"bookings\"\nupstream = \"{upstream}\"\nslots = 5\n\
         connections = 2000\nentries = [\"{}\"]\ncertificate = {chain:?}\nkey = {key:?}\n",
        balancer.back
    );
    fs::write(&settings, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_sassafrasmastd"));
    let agent = Agent(command.arg("--settings").arg(settings).spawn().unwrap());
    // Lets it pull its configuration.
    sleep(SETTLE).await;
    let mut held: Vec<(Caller, Option<Stream>)> = Vec::new();
    let mut readings = Vec::new();
    for size in SIZES {
        while held.len() < size {
            let mut caller = Caller::connect(&certificate, balancer.front).await.unwrap();
            let stream = match feeds {
                true => Some(feed(&mut caller).await),
                false => None,
            };
            held.push((caller, stream));
        }
        sleep(SETTLE).await;
        let before = agent.processor_s();
        sleep(WINDOW).await;
        let share = (agent.processor_s() - before) / WINDOW.as_secs_f64();
        readings.push((size, agent.resident_kib(), share));
    }
    readings
}

async fn feed(caller: &mut Caller) -> Stream {
    let mut stream = caller.open(get("/feed/quiet")).await.unwrap();
    stream.finish().await.unwrap();
    assert_eq!(stream.recv_response().await.unwrap().status(), 200);
    stream.recv_data().await.unwrap();
    stream
}

/// Prints the readings and the least-squares slope of memory over flows.
fn report(title: &str, readings: &[Reading]) {
    println!("flows {title}: resident KiB, processor share");
    for (flows, kib, share) in readings {
        println!("  {flows:>5}  {kib:>8.0}  {share:.4}");
    }
    let count = readings.len() as f64;
    let mean = |value: fn(&Reading) -> f64| readings.iter().map(value).sum::<f64>() / count;
    let (x, y) = (mean(|r| r.0 as f64), mean(|r| r.1));
    let over = |f: &dyn Fn(&Reading) -> f64| readings.iter().map(f).sum::<f64>();
    let slope = over(&|r| (r.0 as f64 - x) * (r.1 - y)) / over(&|r| (r.0 as f64 - x).powi(2));
    let residual = over(&|r| (r.1 - y - slope * (r.0 as f64 - x)).powi(2)) / count;
    println!(
        "  slope {slope:.2} KiB a flow, intercept {:.0} KiB, residual (rms) {:.0} KiB",
        y - slope * x,
        residual.sqrt()
    );
}
