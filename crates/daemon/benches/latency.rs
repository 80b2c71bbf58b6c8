//! Latency that an agent and a fake balancer in front of it add to a request.
//!
//! One caller sends one request after another through the daemon, and for comparison directly to the
//! upstream in HTTP/1.1, over one kept connection and over a new connection for each request:
//!
//! ```text
//! cargo bench -p sassafrasmastd --bench latency
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

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use self::{caller::Caller, child::Child};

/// Requests measured for each path.
const REQUESTS: usize = 5_000;

/// Requests sent before the measurement.
const WARM_UP: usize = 500;

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let child = Child::start().await;
        report("direct", direct(child.upstream, true).await);
        report(
            "direct, new connections",
            direct(child.upstream, false).await,
        );
        let mut caller = child.caller().await;
        let before = child.processor_s();
        report("through the agent", through_agent(&mut caller).await);
        let each = (child.processor_s() - before) / (REQUESTS + WARM_UP) as f64;
        println!(
            "processor time of the agent per request: {:.0} us",
            each * 1e6
        );
    });
}

async fn through_agent(caller: &mut Caller) -> Vec<Duration> {
    let mut times = Vec::new();
    for _ in 0..WARM_UP + REQUESTS {
        let start = Instant::now();
        assert_eq!(caller.post("/echo", b"booking").await.unwrap().status, 200);
        times.push(start.elapsed());
    }
    times.split_off(WARM_UP)
}

type Sender = http1::SendRequest<Full<Bytes>>;

async fn connect(upstream: SocketAddr) -> Sender {
    let stream = TcpStream::connect(upstream).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// Sends requests to the upstream over one connection, or over a new one for each request.
async fn direct(upstream: SocketAddr, keep_alive: bool) -> Vec<Duration> {
    let mut sender = connect(upstream).await;
    let mut times = Vec::new();
    for _ in 0..WARM_UP + REQUESTS {
        let start = Instant::now();
        if !keep_alive {
            sender = connect(upstream).await;
        }
        let body = Full::new(Bytes::from_static(b"booking"));
        let request = Request::post("/echo")
            .header("host", "localhost")
            .body(body);
        sender.ready().await.unwrap();
        let response = sender.send_request(request.unwrap()).await.unwrap();
        response.into_body().collect().await.unwrap();
        times.push(start.elapsed());
    }
    times.split_off(WARM_UP)
}

fn report(title: &str, mut times: Vec<Duration>) {
    times.sort();
    let percentile = |percent: usize| times[times.len() * percent / 100].as_micros();
    println!(
        "{title}: median {} us, 99th percentile {} us",
        percentile(50),
        percentile(99)
    );
}
