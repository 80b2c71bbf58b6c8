//! Clients that open flows and send requests, each at most once.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use sassafrasmast_platform_standins::{
    client::{Flow, Outcome},
    process::{DATA, Vm},
};

use super::{
    checker::{Event, Journal, Request},
    fleet::{Fabric, caller_vm},
};

/// Number of callers, each with its own address.
const CALLERS: usize = 8;

/// Address that callers connect to.
const ROUTE: &str = "198.18.0.3:8443";

/// Attempts to open a flow for a request.
const ATTEMPTS: usize = 3;

/// Most requests on one flow.
const MAX_REQUESTS: usize = 8;

/// Share of the requests after which the caller's packets go to another balancer.
const MOVE_SHARE: f64 = 0.2;

/// First client port.
const FIRST_PORT: u16 = 1_024;

/// The number of a caller's first request is the caller's index shifted by this.
const CALLER_SHIFT: u32 = 32;

/// Running callers.
#[derive(Debug)]
pub struct Callers {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts the callers.
    pub fn start(seed: u64, journal: &Journal, fabric: Fabric) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let threads = (0..CALLERS).map(|index| {
            let number = u64::try_from(index).unwrap_or_default();
            let mut caller = Caller {
                random: StdRng::seed_from_u64(seed.wrapping_mul(CALLERS as u64) + number),
                vm: caller_vm(index),
                journal: journal.clone(),
                fabric: fabric.clone(),
                port: FIRST_PORT,
                request: number << CALLER_SHIFT,
            };
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || caller.run(&stopped))
        });
        Self {
            threads: threads.collect(),
            stopped,
        }
    }

    /// Lets the callers finish their requests.
    pub fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            if thread.join().is_err() {
                eprintln!("a caller has panicked");
            }
        }
    }
}

struct Caller {
    random: StdRng,
    vm: Vm,
    journal: Journal,
    fabric: Fabric,
    port: u16,
    request: Request,
}

impl Caller {
    fn run(&mut self, stopped: &AtomicBool) {
        let socket = self.vm.client_socket();
        while !stopped.load(Ordering::Relaxed) {
            let flow = (0..ATTEMPTS).find_map(|_| {
                self.port = self.port.checked_add(1).unwrap_or(FIRST_PORT);
                let balancer = self.balancer();
                let mut flow = Flow::new(&socket, self.port, ROUTE, balancer.at(DATA));
                matches!(flow.open(), Outcome::Answer(_)).then_some(flow)
            });
            if let Some(flow) = flow {
                self.use_flow(flow);
            }
        }
    }

    /// Sends requests until the flow is given up. None is sent again in another flow.
    fn use_flow(&mut self, mut flow: Flow) {
        for _ in 0..self.random.random_range(1..=MAX_REQUESTS) {
            self.request += 1;
            let packet = flow.next_request(&self.request.to_be_bytes());
            self.journal.record(Event::Sent {
                request: self.request,
                flow: flow.key(),
                sequence: flow.sequence(),
                packet: packet.clone(),
            });
            match flow.exchange(&packet) {
                Outcome::Answer(upstream) => {
                    self.journal.record(Event::Answered(self.request, upstream));
                }
                Outcome::Reset => {
                    self.journal.record(Event::Reset(flow.key()));
                    return;
                }
                Outcome::Timeout => {
                    self.journal.record(Event::Unanswered(self.request));
                    return;
                }
            }
            thread::sleep(Duration::from_millis(self.random.random_range(0..200)));
            if self.random.random_bool(MOVE_SHARE) {
                let balancer = self.balancer();
                flow.use_balancer(balancer.at(DATA));
            }
        }
    }

    fn balancer(&mut self) -> Vm {
        let balancers = self.fabric.balancers();
        let drawn = balancers.choose(&mut self.random).copied();
        drawn.unwrap_or(balancers[0])
    }
}
