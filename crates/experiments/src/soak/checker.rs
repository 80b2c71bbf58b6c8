//! Rules about what clients and upstreams see.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sassafrasmast_core::flow::Key;

/// Time after a draining upstream's acknowledgement from which on it gets no new flow.
pub const DRAIN_BOUND: Duration = Duration::from_secs(5);

/// Name of an upstream. Each start of one has its own.
pub type Upstream = String;

/// Number of a request, unique in a run.
pub type Request = u64;

/// Something that a client, an upstream or the operator of the processes saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An upstream accepted a copy of a SYN.
    Accepted(Upstream, Key),
    /// A client sends the packet of a request, perhaps several times.
    Sent {
        /// The request.
        request: Request,
        /// Its flow.
        flow: Key,
        /// Sequence number of the packet.
        sequence: u32,
        /// The packet.
        packet: Vec<u8>,
    },
    /// An upstream got a packet with data of a flow that it has accepted.
    Delivered {
        /// The upstream.
        upstream: Upstream,
        /// The flow.
        flow: Key,
        /// Sequence number of the packet.
        sequence: u32,
        /// The packet.
        packet: Vec<u8>,
    },
    /// A client got an answer to a request from this upstream.
    Answered(Request, Upstream),
    /// A client did not get an answer to a request in time.
    Unanswered(Request),
    /// A client's open flow was reset.
    Reset(Key),
    /// An agent acknowledged that its upstream drains.
    Draining(Upstream),
    /// An upstream is about to be stopped.
    Stopped(Upstream),
    /// A process ended by itself.
    Exited(String),
}

/// State of the rules.
#[derive(Debug, Default)]
pub struct Checker {
    /// Upstreams that accepted a flow.
    accepted: HashMap<Key, HashSet<Upstream>>,
    /// The upstream that got a request of a flow, and so holds it.
    holders: HashMap<Key, Upstream>,
    /// Requests by flow and sequence number, with their packets.
    sent: HashMap<(Key, u32), (Request, Vec<u8>)>,
    /// The flow and upstream in which a request arrived.
    executed: HashMap<Request, (Key, Upstream)>,
    draining: HashMap<Upstream, Duration>,
    stopped: HashSet<Upstream>,
    summary: Summary,
}

/// Figures of a run and the rules that were broken.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Summary {
    /// Number of requests sent.
    pub sent: usize,
    /// Number of requests answered.
    pub answered: usize,
    /// Number of flows accepted by upstreams.
    pub flows: usize,
    /// Number of open flows that were reset because their upstream was gone.
    pub resets: usize,
    /// Broken rules, each with its time.
    pub violations: Vec<String>,
}

impl Summary {
    /// Share of the requests that were answered.
    pub fn answered_share(&self) -> f64 {
        self.answered as f64 / self.sent.max(1) as f64
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} flows accepted, {} requests sent, {} answered, {} open flows reset, {} violations",
            self.flows,
            self.sent,
            self.answered,
            self.resets,
            self.violations.len()
        )
    }
}

impl Checker {
    /// Takes an event into account that happened `at` this time since the start.
    pub fn record(&mut self, at: Duration, event: Event) {
        let violation = match event {
            Event::Accepted(upstream, flow) => self.accept(at, upstream, flow),
            Event::Sent {
                request,
                flow,
                sequence,
                packet,
            } => {
                self.summary.sent += 1;
                self.sent.insert((flow, sequence), (request, packet));
                None
            }
            Event::Delivered {
                upstream,
                flow,
                sequence,
                packet,
            } => self.deliver(upstream, flow, sequence, &packet),
            Event::Answered(request, upstream) => {
                self.summary.answered += 1;
                let executed = self.executed.get(&request);
                let is_true = executed.is_some_and(|(_, by)| *by == upstream);
                (!is_true).then(|| {
                    format!("request {request} was answered by {upstream}, which did not get it")
                })
            }
            Event::Unanswered(_) => None,
            Event::Reset(flow) => self.reset(flow),
            Event::Draining(upstream) => {
                self.draining.entry(upstream).or_insert(at);
                None
            }
            Event::Stopped(upstream) => {
                self.stopped.insert(upstream);
                None
            }
            Event::Exited(process) => Some(format!("{process} exited by itself")),
        };
        if let Some(violation) = violation {
            let text = format!("{:.3} s: {violation}", at.as_secs_f64());
            self.summary.violations.push(text);
        }
    }

    /// A draining upstream gets no new flow after the bound. Further copies of the SYN of a flow that
    /// it has accepted are no new flow.
    fn accept(&mut self, at: Duration, upstream: Upstream, flow: Key) -> Option<String> {
        if !self
            .accepted
            .entry(flow)
            .or_default()
            .insert(upstream.clone())
        {
            return None;
        }
        self.summary.flows += 1;
        let drained_for = at.checked_sub(*self.draining.get(&upstream)?)?;
        (drained_for > DRAIN_BOUND).then(|| {
            let millis = drained_for.as_millis();
            format!(
                "{upstream} got the new flow {} {millis} ms after its drain",
                name(&flow)
            )
        })
    }

    /// Packets arrive as they were sent, and a request arrives in one flow at one upstream only.
    fn deliver(
        &mut self,
        upstream: Upstream,
        flow: Key,
        sequence: u32,
        packet: &[u8],
    ) -> Option<String> {
        let sent = self.sent.get(&(flow, sequence));
        let Some((request, _)) = sent.filter(|(_, sent)| sent == packet) else {
            return Some(format!(
                "{upstream} got a packet of {} that was not sent so: {packet:02x?}",
                name(&flow)
            ));
        };
        let request = *request;
        self.holders.entry(flow).or_insert_with(|| upstream.clone());
        let execution = (flow, upstream);
        let first = self
            .executed
            .entry(request)
            .or_insert_with(|| execution.clone());
        (*first != execution).then(|| {
            format!(
                "request {request} ran at {} in {} and at {} in {}",
                first.1,
                name(&first.0),
                execution.1,
                name(&flow)
            )
        })
    }

    /// An open flow is not reset while the upstream lives that holds it: the one that got a request, or
    /// before that one that accepted a copy of its SYN.
    fn reset(&mut self, flow: Key) -> Option<String> {
        let is_alive = |upstream: &&Upstream| !self.stopped.contains(*upstream);
        let alive = match self.holders.get(&flow) {
            Some(holder) => Some(holder).filter(is_alive),
            None => {
                let accepted = self.accepted.get(&flow).into_iter().flatten();
                accepted.into_iter().find(is_alive)
            }
        };
        if alive.is_none() {
            self.summary.resets += 1;
        }
        alive.map(|upstream| format!("{} was reset while {upstream} lives", name(&flow)))
    }

    /// Figures and broken rules so far.
    pub fn summary(&self) -> &Summary {
        &self.summary
    }
}

fn name(flow: &Key) -> String {
    format!("{}>{}", flow.client, flow.route)
}

/// Checker shared by the threads of a run.
#[derive(Debug, Clone)]
pub struct Journal {
    start: Instant,
    checker: Arc<Mutex<Checker>>,
}

impl Default for Journal {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            checker: Arc::default(),
        }
    }
}

impl Journal {
    /// Records an event that happens now.
    pub fn record(&self, event: Event) {
        let mut checker = self.checker();
        // Read under the lock, so that the times of events are in their order.
        let at = self.start.elapsed();
        checker.record(at, event);
    }

    /// Figures and broken rules so far.
    pub fn summary(&self) -> Summary {
        self.checker().summary().clone()
    }

    fn checker(&self) -> MutexGuard<'_, Checker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
