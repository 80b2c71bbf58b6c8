//! Seeded random faults, up to two at a time, while bookings are made and feeds are read.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_standins::{
    caller::FinalOutcome,
    deployment::{Deployment, Settings},
    fabric, store, upstream,
    workload::{Bookings, Feeds},
};

/// Faults in one run.
const FAULTS_PER_RUN: usize = 16;

/// Time between the starts of two faults. Of two active faults, the older one is undone before
/// the next one starts.
const FAULT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Callers that submit bookings throughout the run.
const CALLERS: usize = 8;

/// The only agent that is killed; feeds on all other agents must survive.
const KILLED_AGENT: &str = "agent-dispatch-0";

/// Time within which all feeds receive their first line.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(1);

/// A fault, with the index of the process that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    KillBalancer(usize),
    PauseBalancer(usize),
    KillAgent,
    StoreDown,
    StoreLosesReplies,
    PacketLoss,
    RebindCallers,
    TruncateAnswers(usize),
    ColdStart(usize),
    ShedLoad(usize),
}

impl Fault {
    fn random(random: &mut StdRng) -> Self {
        let index = random.random_range(0..3);
        match random.random_range(0..10) {
            0 => Self::KillBalancer(index),
            1 => Self::PauseBalancer(index),
            2 => Self::KillAgent,
            3 => Self::StoreDown,
            4 => Self::StoreLosesReplies,
            5 => Self::PacketLoss,
            6 => Self::RebindCallers,
            7 => Self::TruncateAnswers(index),
            8 => Self::ColdStart(index),
            _ => Self::ShedLoad(index),
        }
    }

    async fn inject(self, deployment: &mut Deployment) -> anyhow::Result<()> {
        match self {
            Self::KillBalancer(index) => {
                deployment.signal(&format!("balancer-{index}"), Signal::SIGKILL)
            }
            Self::PauseBalancer(index) => {
                deployment.signal(&format!("balancer-{index}"), Signal::SIGSTOP)
            }
            Self::KillAgent => deployment.process(KILLED_AGENT)?.restart(),
            Self::StoreDown | Self::StoreLosesReplies => {
                let fault = store::Fault {
                    down: self == Self::StoreDown,
                    lose_replies: 3,
                    ..store::Fault::default()
                };
                deployment.set_store_fault(&fault).await
            }
            Self::PacketLoss | Self::RebindCallers => {
                let fault = fabric::Fault {
                    loss: if self == Self::PacketLoss { 0.1 } else { 0.0 },
                    rebind_all: self == Self::RebindCallers,
                    ..fabric::Fault::default()
                };
                deployment.set_fabric_fault(&fault).await
            }
            Self::TruncateAnswers(index) | Self::ColdStart(index) | Self::ShedLoad(index) => {
                let fault = upstream::Fault {
                    cut_answers: u64::from(self == Self::TruncateAnswers(index)) * 2,
                    cold: self == Self::ColdStart(index),
                    drain: self == Self::ShedLoad(index),
                    ..upstream::Fault::default()
                };
                deployment.set_upstream_fault(index, &fault).await
            }
        }
    }

    async fn undo(self, deployment: &mut Deployment) -> anyhow::Result<()> {
        match self {
            Self::KillBalancer(index) => {
                deployment.process(&format!("balancer-{index}"))?.restart()
            }
            Self::PauseBalancer(index) => {
                deployment.signal(&format!("balancer-{index}"), Signal::SIGCONT)
            }
            Self::KillAgent => Ok(()),
            Self::StoreDown | Self::StoreLosesReplies => {
                deployment.set_store_fault(&store::Fault::default()).await
            }
            Self::PacketLoss | Self::RebindCallers => {
                deployment.set_fabric_fault(&fabric::Fault::default()).await
            }
            Self::TruncateAnswers(index) | Self::ColdStart(index) | Self::ShedLoad(index) => {
                let fault = upstream::Fault::default();
                deployment.set_upstream_fault(index, &fault).await
            }
        }
    }
}

async fn run_with_seed(seed: u64) {
    let settings = Settings {
        seed,
        ..Settings::default()
    };
    let mut deployment = Deployment::start(settings).await.expect("starts");
    let feeds = Feeds::open(&deployment, 30).await.expect("feeds open");
    // The first line of a feed names its upstream, which decides whether the feed may break.
    let feeds = feeds.read(Instant::now() + FIRST_LINE_TIMEOUT).await;
    assert!(feeds.broken.is_empty(), "{:?}", feeds.broken);
    let end = Instant::now() + FAULT_INTERVAL * (u32::try_from(FAULTS_PER_RUN).expect("few") + 2);
    let reading = tokio::spawn(feeds.read(end));
    let booking = Bookings::submit_until(&deployment, "disorder", CALLERS, end).expect("callers");
    let booking = tokio::spawn(booking);
    let mut random = StdRng::seed_from_u64(seed);
    let mut active: Vec<Fault> = Vec::new();
    let mut injected = Vec::new();
    for _ in 0..FAULTS_PER_RUN {
        if active.len() == 2 {
            active
                .remove(0)
                .undo(&mut deployment)
                .await
                .expect("mended");
        }
        let fault = Fault::random(&mut random);
        fault.inject(&mut deployment).await.expect("fault injected");
        active.push(fault);
        injected.push(fault);
        tokio::time::sleep(FAULT_INTERVAL).await;
    }
    for fault in active {
        fault.undo(&mut deployment).await.expect("mended");
    }
    let bookings = booking
        .await
        .expect("bookings")
        .expect("every answer is for its own booking");
    let feeds = reading.await.expect("feeds");
    let checked = bookings.check(&deployment.executions().await);
    assert!(checked.is_ok(), "seed {seed}, {injected:?}: {checked:?}");
    for (upstream, error) in &feeds.broken {
        let expected = upstream == "upstream-dispatch-0" && injected.contains(&Fault::KillAgent);
        assert!(expected, "seed {seed}, {injected:?}: {upstream}: {error}");
    }
    let (ran, all) = (
        bookings.count(FinalOutcome::Ran),
        bookings.submissions.len(),
    );
    println!(
        "seed {seed}: {ran} of {all} bookings ran, {} are unknown, {} of 30 feeds broke",
        bookings.count(FinalOutcome::Unknown),
        feeds.broken.len()
    );
    assert!(
        ran * 2 > all,
        "seed {seed}, {injected:?}: {ran} of {all} bookings ran"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_random_faults_with_seed_1() {
    run_with_seed(1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_random_faults_with_seed_2() {
    run_with_seed(2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_random_faults_with_seed_3() {
    run_with_seed(3).await;
}
