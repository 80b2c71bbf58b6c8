//! HTTP/1.1 server of an upstream.

use std::{
    fmt::Write,
    future::pending,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use rand::{Rng, SeedableRng, rngs::StdRng};
use ring::digest;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{net::TcpListener, sync::watch};

use super::{Capacity, Fault, Settings, capacity::Admission};
use crate::http::{self, Abort, ChunkedBody, Reply};

/// Time between two status samples for the health and load endpoints.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Header of a refusal, set when the request did not run.
const NOT_RUN_HEADER: &str = "sassafrasmast-not-run";

/// Server of one upstream.
#[derive(Debug)]
pub struct Server {
    settings: Settings,
    state: Mutex<State>,
    /// Wakes running requests, so that they notice a collapse.
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    capacity: Capacity,
    fault: Fault,
    random: StdRng,
    /// Status samples with their times, oldest first. The first one is reported.
    samples: std::collections::VecDeque<(Instant, Value)>,
    /// Number of times that all feeds were ended by a fault.
    feed_end_count: u64,
}

/// Kinds of requests that occupy a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Booking,
    Manifest,
}

/// A running request. If its caller disconnects, it is dropped unfinished and counts as cancelled.
#[derive(Debug)]
struct Execution {
    server: Arc<Server>,
    finished: bool,
}

impl Execution {
    fn finish(mut self, complete: bool) {
        self.finished = true;
        self.server.state().capacity.finish(complete);
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if !self.finished {
            let mut state = self.server.state();
            state.capacity.finish(false);
            state.capacity.counts.cancelled += 1;
        }
    }
}

/// The field of a booking's body that the upstream reads.
#[derive(Debug, Default, Deserialize)]
struct Booking {
    booking: Option<String>,
}

impl Server {
    /// Starts cold and serves until the process ends.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn run(settings: Settings) -> anyhow::Result<()> {
        let listener = TcpListener::bind(settings.listen).await?;
        let limit = settings.max_connections;
        let server = Arc::new(Self {
            state: Mutex::new(State {
                capacity: Capacity::new(&settings),
                fault: Fault::default(),
                random: StdRng::seed_from_u64(settings.seed),
                samples: std::collections::VecDeque::new(),
                feed_end_count: 0,
            }),
            changed: watch::Sender::new(0),
            settings,
        });
        tokio::spawn(Arc::clone(&server).sample_status());
        http::serve(listener, limit, move |request| {
            Arc::clone(&server).handle(request)
        })
        .await;
        Ok(())
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Abort> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/standin/counts") => {
                return Ok(http::json(StatusCode::OK, &self.state().capacity.counts));
            }
            (&Method::POST, "/standin/fault") => return Ok(self.set_fault(request).await),
            _ => {}
        }
        let fault = self.state().fault;
        if fault.refuse {
            return Err(Abort);
        }
        if fault.hang {
            pending::<()>().await;
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/health" | "/load") => Ok(self.report()),
            (&Method::GET, path) if path.starts_with("/feed") => Ok(self.feed()),
            (&Method::POST, "/bookings") => self.submit(Kind::Booking, request).await,
            (&Method::POST, "/manifests") => self.submit(Kind::Manifest, request).await,
            _ => Ok(http::json(StatusCode::NOT_FOUND, &"no such path")),
        }
    }

    async fn set_fault(&self, request: Request<Incoming>) -> Reply {
        let fault: Fault = match http::parse(request).await {
            Ok(fault) => fault,
            Err(reply) => return *reply,
        };
        let mut state = self.state();
        if fault.cold {
            state.capacity.reset_to_cold(Instant::now());
        }
        state.feed_end_count += u64::from(fault.end_feeds);
        state.fault = Fault {
            cold: false,
            end_feeds: false,
            ..fault
        };
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        http::json(StatusCode::OK, &fault)
    }

    /// Runs or refuses a booking or a manifest.
    async fn submit(
        self: Arc<Self>,
        kind: Kind,
        request: Request<Incoming>,
    ) -> Result<Reply, Abort> {
        let begun = Instant::now();
        let (admission, generation) = {
            let mut state = self.state();
            let draining = state.fault.drain;
            let admission = state.capacity.admit(draining, begun);
            (admission, state.capacity.generation())
        };
        match admission {
            Admission::Run => {}
            Admission::Shed => return Ok(shed_reply()),
            Admission::Fail => {
                self.changed.send_modify(|count| *count += 1);
                return self.collapse_reply().await;
            }
        }
        let execution = Execution {
            server: Arc::clone(&self),
            finished: false,
        };
        let deadline = deadline_header(request.headers());
        let key = idempotency_key(request.headers());
        let body = http::read_body(request).await?;
        let answer = self.execute(kind, key, &body);
        let service_time = self.draw_service_time(kind);
        let wait = deadline.map_or(service_time, |deadline| service_time.min(deadline));
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = self.wait_for_collapse(generation) => {
                execution.finish(false);
                self.state().capacity.counts.failed += 1;
                return self.collapse_reply().await;
            }
        }
        if wait < service_time {
            execution.finish(false);
            self.state().capacity.counts.expired += 1;
            return Ok(http::json(StatusCode::GATEWAY_TIMEOUT, &"deadline"));
        }
        execution.finish(true);
        self.answer(&answer)
    }

    /// Counts the request as executed and returns its answer.
    fn execute(&self, kind: Kind, key: Option<String>, body: &Bytes) -> Value {
        let counts = &mut self.state().capacity.counts;
        let upstream = &self.settings.name;
        match kind {
            Kind::Manifest => {
                counts.manifests += 1;
                json!({ "bytes": body.len(), "checksum": checksum(body), "by": upstream })
            }
            Kind::Booking => {
                let booking: Booking = serde_json::from_slice(body).unwrap_or_default();
                let id = booking.booking.or(key).unwrap_or_default();
                let executions = counts.bookings.entry(id.clone()).or_default();
                *executions += 1;
                counts.max_executions = counts.max_executions.max(*executions);
                json!({ "booking": id, "executions": *executions, "by": upstream })
            }
        }
    }

    /// Reply to a finished request, truncated while `cut_answers` is set.
    fn answer(&self, answer: &Value) -> Result<Reply, Abort> {
        let truncate = {
            let fault = &mut self.state().fault;
            let truncate = fault.cut_answers > 0;
            fault.cut_answers = fault.cut_answers.saturating_sub(1);
            truncate
        };
        if !truncate {
            return Ok(http::json(StatusCode::OK, answer));
        }
        let text = answer.to_string();
        let (sender, body) = ChunkedBody::channel();
        // The channel has room for both chunks.
        let _ = sender.try_send(Ok(Bytes::copy_from_slice(
            &text.as_bytes()[..text.len() / 2],
        )));
        let _ = sender.try_send(Err(Abort));
        let mut reply = Response::new(body);
        let length = hyper::header::HeaderValue::from(text.len());
        reply
            .headers_mut()
            .insert(hyper::header::CONTENT_LENGTH, length);
        Ok(reply)
    }

    /// Reply of a collapsed upstream: an error, or none if `collapse_hangs` is set.
    async fn collapse_reply(&self) -> Result<Reply, Abort> {
        if self.state().fault.collapse_hangs {
            pending::<()>().await;
        }
        Ok(http::json(
            StatusCode::INTERNAL_SERVER_ERROR,
            &"out of memory",
        ))
    }

    /// Waits until an upstream of this generation has collapsed.
    async fn wait_for_collapse(&self, generation: u64) {
        let mut changed = self.changed.subscribe();
        while self.state().capacity.generation() == generation {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Sends numbered lines until the caller disconnects or a fault ends all feeds.
    fn feed(self: Arc<Self>) -> Reply {
        let (sender, body) = ChunkedBody::channel();
        tokio::spawn(async move {
            let end_count = {
                let mut state = self.state();
                state.capacity.counts.feeds += 1;
                state.capacity.counts.feeds_opened += 1;
                state.feed_end_count
            };
            let mut ticks = tokio::time::interval(self.settings.feed_interval);
            for number in 1_u64.. {
                tokio::select! {
                    _ = ticks.tick() => {}
                    () = sender.closed() => break,
                }
                let line = Bytes::from(format!("{number} {}\n", self.settings.name));
                if self.state().feed_end_count != end_count || sender.send(Ok(line)).await.is_err()
                {
                    break;
                }
            }
            self.state().capacity.counts.feeds -= 1;
        });
        Response::new(body)
    }

    /// Status for the health and load endpoints: the sample as old as `report_lag`, or always idle
    /// while `lie` is set.
    fn report(&self) -> Reply {
        let state = self.state();
        let idle = json!({ "status": "ok", "running": 0, "limit": self.settings.slots });
        let reported = if state.fault.lie {
            idle
        } else {
            state
                .samples
                .front()
                .map_or(idle, |(_, value)| value.clone())
        };
        http::json(StatusCode::OK, &reported)
    }

    /// Samples the status and drops all but the newest of the samples that are at least
    /// `report_lag` old.
    async fn sample_status(self: Arc<Self>) {
        loop {
            let now = Instant::now();
            {
                let mut state = self.state();
                let status = if state.capacity.is_collapsed(now) {
                    "failing"
                } else if state.fault.drain {
                    "draining"
                } else {
                    "ok"
                };
                let value = json!({
                    "status": status,
                    "running": state.capacity.counts.running,
                    "limit": state.capacity.concurrency_limit(),
                });
                state.samples.push_back((now, value));
                let lag = self.settings.report_lag;
                while state.samples.len() > 1 && now - state.samples[1].0 >= lag {
                    state.samples.pop_front();
                }
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Draws the service time of the next request.
    fn draw_service_time(&self, kind: Kind) -> Duration {
        let mut state = self.state();
        let mean = match kind {
            Kind::Booking => self.settings.booking_time,
            Kind::Manifest => self.settings.manifest_time,
        };
        let spread = state.random.random_range(0.5..1.5);
        mean.mul_f64(spread * state.fault.slow.clamp(0.0, 1_000.0))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Checksum of a manifest, as given in its answer.
pub fn checksum(body: &[u8]) -> String {
    let mut text = String::new();
    for byte in digest::digest(&digest::SHA256, body).as_ref() {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// The refusal of a request that did not run.
fn shed_reply() -> Reply {
    let mut reply = http::json(StatusCode::SERVICE_UNAVAILABLE, &"busy");
    let value = hyper::header::HeaderValue::from_static("true");
    reply.headers_mut().insert(NOT_RUN_HEADER, value);
    reply
}

/// Time that the caller waits, from its deadline header.
fn deadline_header(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("sassafrasmast-deadline-ms")?.to_str().ok()?;
    value.parse().ok().map(Duration::from_millis)
}

/// Idempotency key of a request.
fn idempotency_key(headers: &HeaderMap) -> Option<String> {
    let value = headers.get("idempotency-key")?.to_str().ok()?;
    Some(value.to_owned())
}
