//! The HTTP/1.1 server of an upstream.

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

use super::{Fault, Settings, Workload, workload::Admission};
use crate::http::{self, Cut, Reply, Stream};

/// Time between two samples for the lagging reports.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Header of a refusal that tells that the request did not run.
const NOT_RUN: &str = "sassafrasmast-not-run";

/// An upstream and its state.
#[derive(Debug)]
pub struct Server {
    settings: Settings,
    state: Mutex<State>,
    /// Wakes running requests and feeds when the state of the whole upstream changes.
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    workload: Workload,
    fault: Fault,
    random: StdRng,
    /// What health and load tell, with its time.
    samples: std::collections::VecDeque<(Instant, Value)>,
    /// Counts the times all feeds were ended.
    feeds_ended: u64,
}

/// The two kinds of work that hold a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Work {
    Booking,
    Manifest,
}

/// A running request. Dropped early when its caller leaves.
#[derive(Debug)]
struct Run {
    server: Arc<Server>,
    ended: bool,
}

impl Run {
    fn end(mut self, whole: bool) {
        self.ended = true;
        self.server.state().workload.end(whole);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            let mut state = self.server.state();
            state.workload.end(false);
            state.workload.counts.cancelled += 1;
        }
    }
}

/// The part of a booking that the upstream reads.
#[derive(Debug, Default, Deserialize)]
struct Booking {
    booking: Option<String>,
}

impl Server {
    /// Serves a cold upstream for ever.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn run(settings: Settings) -> anyhow::Result<()> {
        let listener = TcpListener::bind(settings.listen).await?;
        let limit = settings.connections;
        let server = Arc::new(Self {
            state: Mutex::new(State {
                workload: Workload::new(&settings),
                fault: Fault::default(),
                random: StdRng::seed_from_u64(settings.seed),
                samples: std::collections::VecDeque::new(),
                feeds_ended: 0,
            }),
            changed: watch::Sender::new(0),
            settings,
        });
        tokio::spawn(Arc::clone(&server).sample());
        http::serve(listener, limit, move |request| {
            Arc::clone(&server).handle(request)
        })
        .await;
        Ok(())
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Reply, Cut> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/standin/counts") => {
                return Ok(http::json(StatusCode::OK, &self.state().workload.counts));
            }
            (&Method::POST, "/standin/fault") => return Ok(self.set_fault(request).await),
            _ => {}
        }
        let fault = self.state().fault;
        if fault.refuse {
            return Err(Cut);
        }
        if fault.hang {
            pending::<()>().await;
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/health" | "/load") => Ok(self.report()),
            (&Method::GET, path) if path.starts_with("/feed") => Ok(self.feed()),
            (&Method::POST, "/bookings") => self.work(Work::Booking, request).await,
            (&Method::POST, "/manifests") => self.work(Work::Manifest, request).await,
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
            state.workload.fall_cold(Instant::now());
        }
        state.feeds_ended += u64::from(fault.end_feeds);
        state.fault = Fault {
            cold: false,
            end_feeds: false,
            ..fault
        };
        drop(state);
        self.changed.send_modify(|count| *count += 1);
        http::json(StatusCode::OK, &fault)
    }

    /// Runs a booking or a manifest, or refuses it.
    async fn work(self: Arc<Self>, work: Work, request: Request<Incoming>) -> Result<Reply, Cut> {
        let begun = Instant::now();
        let (admission, life) = {
            let mut state = self.state();
            let draining = state.fault.drain;
            let admission = state.workload.admit(draining, begun);
            (admission, state.workload.life())
        };
        match admission {
            Admission::Run => {}
            Admission::Shed => return Ok(shed()),
            Admission::Fail => {
                self.changed.send_modify(|count| *count += 1);
                return self.collapsed().await;
            }
        }
        let run = Run {
            server: Arc::clone(&self),
            ended: false,
        };
        let deadline = deadline(request.headers());
        let key = key(request.headers());
        let body = http::read(request).await?;
        let answer = self.execute(work, key, &body);
        let time = self.time(work);
        let pause = deadline.map_or(time, |deadline| time.min(deadline));
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = self.life_ends(life) => {
                run.end(false);
                self.state().workload.counts.failed += 1;
                return self.collapsed().await;
            }
        }
        if pause < time {
            run.end(false);
            self.state().workload.counts.expired += 1;
            return Ok(http::json(StatusCode::GATEWAY_TIMEOUT, &"deadline"));
        }
        run.end(true);
        self.answer(&answer)
    }

    /// Counts the work as started and gives its answer.
    fn execute(&self, work: Work, key: Option<String>, body: &Bytes) -> Value {
        let counts = &mut self.state().workload.counts;
        let by = &self.settings.name;
        match work {
            Work::Manifest => {
                counts.manifests += 1;
                json!({ "bytes": body.len(), "checksum": checksum(body), "by": by })
            }
            Work::Booking => {
                let booking: Booking = serde_json::from_slice(body).unwrap_or_default();
                let id = booking.booking.or(key).unwrap_or_default();
                let executions = counts.bookings.entry(id.clone()).or_default();
                *executions += 1;
                counts.max_executions = counts.max_executions.max(*executions);
                json!({ "booking": id, "executions": *executions, "by": by })
            }
        }
    }

    /// The answer of finished work, whole unless it shall be cut.
    fn answer(&self, answer: &Value) -> Result<Reply, Cut> {
        let cut = {
            let fault = &mut self.state().fault;
            let cut = fault.cut_answers > 0;
            fault.cut_answers = fault.cut_answers.saturating_sub(1);
            cut
        };
        if !cut {
            return Ok(http::json(StatusCode::OK, answer));
        }
        let text = answer.to_string();
        let (sender, body) = Stream::open();
        // The buffer has room for both pieces.
        let _ = sender.try_send(Ok(Bytes::copy_from_slice(
            &text.as_bytes()[..text.len() / 2],
        )));
        let _ = sender.try_send(Err(Cut));
        let mut reply = Response::new(body);
        let length = hyper::header::HeaderValue::from(text.len());
        reply
            .headers_mut()
            .insert(hyper::header::CONTENT_LENGTH, length);
        Ok(reply)
    }

    /// What a collapsed upstream does to a request.
    async fn collapsed(&self) -> Result<Reply, Cut> {
        if self.state().fault.collapse_hangs {
            pending::<()>().await;
        }
        Ok(http::json(
            StatusCode::INTERNAL_SERVER_ERROR,
            &"out of memory",
        ))
    }

    /// Waits for the end of the given life of the workload.
    async fn life_ends(&self, life: u64) {
        let mut changed = self.changed.subscribe();
        while self.state().workload.life() == life {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// An endless stream of numbered lines.
    fn feed(self: Arc<Self>) -> Reply {
        let (sender, body) = Stream::open();
        tokio::spawn(async move {
            let ended = {
                let mut state = self.state();
                state.workload.counts.feeds += 1;
                state.workload.counts.feeds_opened += 1;
                state.feeds_ended
            };
            let mut ticks = tokio::time::interval(self.settings.feed);
            for number in 1_u64.. {
                tokio::select! {
                    _ = ticks.tick() => {}
                    () = sender.closed() => break,
                }
                let line = Bytes::from(format!("{number} {}\n", self.settings.name));
                if self.state().feeds_ended != ended || sender.send(Ok(line)).await.is_err() {
                    break;
                }
            }
            self.state().workload.counts.feeds -= 1;
        });
        Response::new(body)
    }

    /// What health and load tell: late, or a lie.
    fn report(&self) -> Reply {
        let state = self.state();
        let idle = json!({ "status": "ok", "running": 0, "limit": self.settings.slots });
        let told = if state.fault.lie {
            idle
        } else {
            state
                .samples
                .front()
                .map_or(idle, |(_, value)| value.clone())
        };
        http::json(StatusCode::OK, &told)
    }

    /// Keeps the samples that the reports tell.
    async fn sample(self: Arc<Self>) {
        loop {
            let now = Instant::now();
            {
                let mut state = self.state();
                let status = if state.workload.is_collapsed(now) {
                    "failing"
                } else if state.fault.drain {
                    "draining"
                } else {
                    "ok"
                };
                let value = json!({
                    "status": status,
                    "running": state.workload.counts.running,
                    "limit": state.workload.limit(),
                });
                state.samples.push_back((now, value));
                let lag = self.settings.lag;
                while state.samples.len() > 1 && now - state.samples[1].0 >= lag {
                    state.samples.pop_front();
                }
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Service time of the next piece of work.
    fn time(&self, work: Work) -> Duration {
        let mut state = self.state();
        let mean = match work {
            Work::Booking => self.settings.booking,
            Work::Manifest => self.settings.manifest,
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
fn shed() -> Reply {
    let mut reply = http::json(StatusCode::SERVICE_UNAVAILABLE, &"busy");
    let value = hyper::header::HeaderValue::from_static("true");
    reply.headers_mut().insert(NOT_RUN, value);
    reply
}

/// Time that the caller waits.
fn deadline(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("sassafrasmast-deadline-ms")?.to_str().ok()?;
    value.parse().ok().map(Duration::from_millis)
}

/// Idempotency key of a request.
fn key(headers: &HeaderMap) -> Option<String> {
    let value = headers.get("idempotency-key")?.to_str().ok()?;
    Some(value.to_owned())
}
