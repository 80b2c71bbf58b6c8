//! Memory and idle processor time of an agent per open flow.
//!
//! Starts the daemon as an agent, opens flows through a fake balancer that forwards datagrams,
//! and reads the agent's resident memory and processor time at several numbers of flows:
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
#[path = "../tests/agent/child.rs"]
mod child;
#[path = "../tests/agent/document.rs"]
mod document;
#[path = "../tests/agent/upstream.rs"]
mod upstream;

use std::time::Duration;

use tokio::time::sleep;

use self::{
    caller::{Caller, Stream, get},
    child::Child,
};

/// Numbers of open flows at which a reading is taken.
const FLOW_COUNTS: [usize; 5] = [0, 250, 500, 1_000, 1_900];

/// Pause before a reading.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time over which processor time is measured.
const WINDOW: Duration = Duration::from_secs(5);

/// One reading: flows, resident KiB, processor seconds per second.
type Reading = (usize, f64, f64);

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for feeds in [false, true] {
        let readings = runtime.block_on(measure(feeds));
        report(if feeds { "with an open feed" } else { "idle" }, &readings);
    }
}

async fn measure(feeds: bool) -> Vec<Reading> {
    let child = Child::start().await;
    let mut open: Vec<(Caller, Option<Stream>)> = Vec::new();
    let mut readings = Vec::new();
    for count in FLOW_COUNTS {
        while open.len() < count {
            let mut caller = child.caller().await;
            let stream = match feeds {
                true => Some(open_feed(&mut caller).await),
                false => None,
            };
            open.push((caller, stream));
        }
        sleep(SETTLE_TIME).await;
        let before = child.processor_s();
        sleep(WINDOW).await;
        let share = (child.processor_s() - before) / WINDOW.as_secs_f64();
        readings.push((count, child.resident_kib(), share));
    }
    readings
}

/// Opens a feed and waits for its first data.
async fn open_feed(caller: &mut Caller) -> Stream {
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
    let sum = |f: &dyn Fn(&Reading) -> f64| readings.iter().map(f).sum::<f64>();
    let slope = sum(&|r| (r.0 as f64 - x) * (r.1 - y)) / sum(&|r| (r.0 as f64 - x).powi(2));
    let residual = sum(&|r| (r.1 - y - slope * (r.0 as f64 - x)).powi(2)) / count;
    println!(
        "  slope {slope:.2} KiB per flow, intercept {:.0} KiB, residual (rms) {:.0} KiB",
        y - slope * x,
        residual.sqrt()
    );
}
