//! Processes, upstreams and the store of a run.

use std::{
    fs::OpenOptions,
    net::SocketAddr,
    path::PathBuf,
    process::Stdio,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use sassafrasmast_platform_standins::{
    CONFIG,
    kv::{Kv, Mode},
    process::{Process, Vm},
    server::Server,
};

use super::{
    checker::{Event, Journal},
    plan::{Step, Target},
};

/// Number of balancers.
pub const BALANCERS: usize = 3;

/// Number of agents, each with an upstream.
pub const AGENTS: usize = 5;

/// Third octet of the loopback addresses of soak tests, which no test of the platform uses.
const NETWORK: u8 = 200;

/// Fourth octets of the loopback addresses start at these numbers.
const FIRST_BALANCER: u8 = 1;
const FIRST_AGENT: u8 = 20;
const FIRST_CALLER: u8 = 100;

/// Interval between announcements of an upstream, as of the platform's servers.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(200);

/// Start of the callers' route in [`CONFIG`], and what it is replaced by: a flow of a safe route is reset
/// by design when its agent has been silent for a second, so that its client tries elsewhere.
const SAFE_ROUTE: &str = r#""host":"198.18.0.3","prefix":"/8443/","kind":"safe""#;
const ONCE_ROUTE: &str = r#""host":"198.18.0.3","prefix":"/8443/","kind":"upload""#;

/// Time in which processes that have started learn of each other.
const START_UP: Duration = Duration::from_secs(1);

/// Birth of the first upstreams, in milliseconds; each further one is born a second later.
const FIRST_BIRTH_MS: u64 = 1_700_000_000_000;

/// The VM of a caller.
pub fn caller_vm(index: usize) -> Vm {
    vm(FIRST_CALLER, index)
}

fn vm(first: u8, index: usize) -> Vm {
    Vm::new(NETWORK, first + u8::try_from(index).unwrap_or_default())
}

/// Balancers that clients' packets go to.
#[derive(Debug, Clone)]
pub struct Fabric(Arc<Mutex<[bool; BALANCERS]>>);

impl Fabric {
    /// The VMs of the balancers that are in use, or of all if none is.
    pub fn balancers(&self) -> Vec<Vm> {
        let in_use = *lock(&self.0);
        let is_any = in_use.contains(&true);
        let indexes = (0..BALANCERS).filter(|&index| in_use[index] || !is_any);
        indexes.map(|index| vm(FIRST_BALANCER, index)).collect()
    }

    fn set(&self, target: Target, in_use: bool) {
        if let Target::Balancer(index) = target {
            lock(&self.0)[index] = in_use;
        }
    }
}

/// An upstream and its announcements.
struct Upstream {
    name: String,
    server: Server,
    draining: bool,
    /// The upstream that crashed last beside the same agent.
    crashed: Option<Server>,
}

/// Processes, upstreams and the store.
pub struct Fleet {
    journal: Journal,
    logs: Option<PathBuf>,
    kv: Kv,
    store: SocketAddr,
    fabric: Fabric,
    balancers: [Option<Process>; BALANCERS],
    agents: [Option<Process>; AGENTS],
    upstreams: Vec<Arc<Mutex<Upstream>>>,
    /// Upstreams started so far.
    births: u64,
    /// Seconds by which the clocks of upstreams were set.
    clock_offset_s: i64,
    stopped: Arc<AtomicBool>,
}

impl Fleet {
    /// Starts all processes and upstreams and waits until they know each other.
    pub fn start(journal: &Journal, logs: Option<PathBuf>) -> Self {
        let (kv, store) = Kv::start_configured(&CONFIG.replace(SAFE_ROUTE, ONCE_ROUTE));
        let mut fleet = Self {
            journal: journal.clone(),
            logs,
            kv,
            store,
            fabric: Fabric(Arc::new(Mutex::new([true; BALANCERS]))),
            balancers: Default::default(),
            agents: Default::default(),
            upstreams: Vec::new(),
            births: 0,
            clock_offset_s: 0,
            stopped: Arc::default(),
        };
        for index in 0..AGENTS {
            fleet.start_process(Target::Agent(index));
            let upstream = Arc::new(Mutex::new(fleet.start_upstream(index)));
            fleet.upstreams.push(Arc::clone(&upstream));
            let (journal, stopped) = (journal.clone(), Arc::clone(&fleet.stopped));
            thread::spawn(move || announce(&upstream, &journal, &stopped));
        }
        for index in 0..BALANCERS {
            fleet.start_process(Target::Balancer(index));
        }
        thread::sleep(START_UP);
        fleet
    }

    /// The balancers that clients' packets go to.
    pub fn fabric(&self) -> Fabric {
        self.fabric.clone()
    }

    /// Applies a step of the plan.
    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Kill(target) => {
                self.fabric.set(target, false);
                *self.process(target) = None;
            }
            Step::Terminate(target) => {
                self.fabric.set(target, false);
                self.signal(target, Process::terminate);
            }
            Step::Start(target) => {
                self.start_process(target);
                self.fabric.set(target, true);
            }
            Step::Pause(target) => self.signal(target, Process::pause),
            Step::Resume(target) => self.signal(target, Process::resume),
            Step::Drain(index) => lock(&self.upstreams[index]).draining = true,
            Step::Replace(index) => self.replace(index),
            Step::Crash(index, clock_step_s) => self.crash(index, clock_step_s),
            Step::LateAnnouncement(index) => self.announce_late(index),
            Step::Store(mode) => self.kv.set_mode(mode),
            Step::CopyStore => self.kv.copy(),
            Step::RestoreStore => self.kv.restore(),
            Step::CompactStore => self.kv.compact(),
            Step::RevokeLeases => self.kv.revoke_leases(),
        }
    }

    /// Reports processes that have exited by themselves, and starts them again.
    pub fn check_exits(&mut self) {
        let balancers = (0..BALANCERS).map(Target::Balancer);
        for target in balancers.chain((0..AGENTS).map(Target::Agent)) {
            let process = self.process(target).as_mut();
            if process.is_some_and(Process::has_exited) {
                self.journal.record(Event::Exited(format!("{target:?}")));
                self.start_process(target);
            }
        }
    }

    fn process(&mut self, target: Target) -> &mut Option<Process> {
        match target {
            Target::Balancer(index) => &mut self.balancers[index],
            Target::Agent(index) => &mut self.agents[index],
        }
    }

    fn signal(&mut self, target: Target, signal: impl Fn(&Process)) {
        if let Some(process) = self.process(target) {
            signal(process);
        }
    }

    /// Starts a process, after killing it if it runs.
    fn start_process(&mut self, target: Target) {
        *self.process(target) = None;
        let (role, vm) = match target {
            Target::Balancer(index) => ("balancer", vm(FIRST_BALANCER, index)),
            Target::Agent(index) => ("agent", vm(FIRST_AGENT, index)),
        };
        let seeds: Vec<_> = (0..BALANCERS)
            .map(|index| self::vm(FIRST_BALANCER, index))
            .collect();
        let log = self.logs.as_ref().and_then(|directory| {
            let path = directory.join(format!("{target:?}.log"));
            let file = OpenOptions::new().create(true).append(true).open(path);
            file.ok()
        });
        let log = log.map_or_else(Stdio::null, Stdio::from);
        let process = Process::start_logging(role, vm, self.store, &seeds, log);
        *self.process(target) = Some(process);
    }

    fn start_upstream(&mut self, index: usize) -> Upstream {
        let name = format!("upstream-{}-{index}", self.births);
        let clock = 1_000 * self.clock_offset_s;
        let born = (FIRST_BIRTH_MS + 1_000 * self.births).saturating_add_signed(clock);
        self.births += 1;
        let (journal, own_name) = (self.journal.clone(), name.clone());
        let observer = Box::new(
            move |head: &sassafrasmast_core::flow::Head, packet: &[u8]| {
                let (upstream, flow) = (own_name.clone(), head.client_flow());
                journal.record(if head.opens() {
                    Event::Accepted(upstream, flow)
                } else {
                    Event::Delivered {
                        upstream,
                        flow,
                        sequence: head.sequence,
                        packet: packet.to_vec(),
                    }
                });
            },
        );
        Upstream {
            server: vm(FIRST_AGENT, index).observed_server(&name, born, observer),
            name,
            draining: false,
            crashed: None,
        }
    }

    fn replace(&mut self, index: usize) {
        let upstream = Arc::clone(&self.upstreams[index]);
        let mut upstream = lock(&upstream);
        self.stop(&upstream);
        upstream.server.deregister();
        *upstream = self.start_upstream(index);
    }

    fn crash(&mut self, index: usize, clock_step_s: i64) {
        let upstream = Arc::clone(&self.upstreams[index]);
        let mut upstream = lock(&upstream);
        self.stop(&upstream);
        self.clock_offset_s = clock_step_s;
        let crashed = std::mem::replace(&mut *upstream, self.start_upstream(index));
        upstream.crashed = Some(crashed.server);
    }

    fn stop(&self, upstream: &Upstream) {
        self.journal.record(Event::Stopped(upstream.name.clone()));
        upstream.server.stop();
    }

    fn announce_late(&self, index: usize) {
        if let Some(crashed) = &lock(&self.upstreams[index]).crashed {
            crashed.announce("ready");
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.kv.set_mode(Mode::Up);
    }
}

/// Announces an upstream again and again, and records the first acknowledgement of its drain.
fn announce(upstream: &Mutex<Upstream>, journal: &Journal, stopped: &AtomicBool) {
    while !stopped.load(Ordering::Relaxed) {
        let upstream = lock(upstream);
        let state = if upstream.draining {
            "draining"
        } else {
            "ready"
        };
        if upstream.server.announce(state) == 200 && upstream.draining {
            journal.record(Event::Draining(upstream.name.clone()));
        }
        drop(upstream);
        thread::sleep(ANNOUNCEMENT_INTERVAL);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
