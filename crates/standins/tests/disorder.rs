//! Random faults, one after the other and two at once, under bookings and feeds.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_standins::{
    caller::Fate,
    deployment::{Deployment, Settings},
    fabric,
    scenario::{Bookings, Feeds},
    store, upstream,
};

/// Faults in one run.
const FAULTS: usize = 16;

/// Time between two faults. Each is mended when the one after the next begins, so two overlap.
const GAP: Duration = Duration::from_millis(1_500);

/// Callers that book all the time.
const CALLERS: usize = 8;

/// The only agent that is killed; feeds of all others must live.
const KILLED: &str = "agent-dispatch-0";

/// Time in which all feeds show their first line.
const FIRST_LINES: Duration = Duration::from_secs(1);

/// One fault and what it hits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    KillBalancer(usize),
    PauseBalancer(usize),
    KillAgent,
    StoreDown,
    StoreLosesReplies,
    Loss,
    NewAddresses,
    Cut(usize),
    Cold(usize),
    Shed(usize),
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
            5 => Self::Loss,
            6 => Self::NewAddresses,
            7 => Self::Cut(index),
            8 => Self::Cold(index),
            _ => Self::Shed(index),
        }
    }

    async fn begin(self, deployment: &mut Deployment) -> anyhow::Result<()> {
        match self {
            Self::KillBalancer(index) => {
                deployment.signal(&format!("balancer-{index}"), Signal::SIGKILL)
            }
            Self::PauseBalancer(index) => {
                deployment.signal(&format!("balancer-{index}"), Signal::SIGSTOP)
            }
            Self::KillAgent => deployment.process(KILLED)?.restart(),
            Self::StoreDown | Self::StoreLosesReplies => {
                let fault = store::Fault {
                    down: self == Self::StoreDown,
                    lose_replies: 3,
                    ..store::Fault::default()
                };
                deployment.fault_store(&fault).await
            }
            Self::Loss | Self::NewAddresses => {
                let fault = fabric::Fault {
                    loss: if self == Self::Loss { 0.1 } else { 0.0 },
                    rebind_all: self == Self::NewAddresses,
                    ..fabric::Fault::default()
                };
                deployment.fault_fabric(&fault).await
            }
            Self::Cut(index) | Self::Cold(index) | Self::Shed(index) => {
                let fault = upstream::Fault {
                    cut_answers: u64::from(self == Self::Cut(index)) * 2,
                    cold: self == Self::Cold(index),
                    drain: self == Self::Shed(index),
                    ..upstream::Fault::default()
                };
                deployment.fault_upstream(index, &fault).await
            }
        }
    }

    async fn mend(self, deployment: &mut Deployment) -> anyhow::Result<()> {
        match self {
            Self::KillBalancer(index) => {
                deployment.process(&format!("balancer-{index}"))?.restart()
            }
            Self::PauseBalancer(index) => {
                deployment.signal(&format!("balancer-{index}"), Signal::SIGCONT)
            }
            Self::KillAgent => Ok(()),
            Self::StoreDown | Self::StoreLosesReplies => {
                deployment.fault_store(&store::Fault::default()).await
            }
            Self::Loss | Self::NewAddresses => {
                deployment.fault_fabric(&fabric::Fault::default()).await
            }
            Self::Cut(index) | Self::Cold(index) | Self::Shed(index) => {
                let fault = upstream::Fault::default();
                deployment.fault_upstream(index, &fault).await
            }
        }
    }
}

async fn run(seed: u64) {
    let settings = Settings {
        seed,
        ..Settings::default()
    };
    let mut deployment = Deployment::start(settings).await.expect("starts");
    let feeds = Feeds::open(&deployment, 30).await.expect("feeds open");
    // The first line of a feed tells whose it is, which is judged by when the feed breaks.
    let feeds = feeds.read(Instant::now() + FIRST_LINES).await;
    assert!(feeds.broken.is_empty(), "{:?}", feeds.broken);
    let end = Instant::now() + GAP * (u32::try_from(FAULTS).expect("few") + 2);
    let reading = tokio::spawn(feeds.read(end));
    let booking = Bookings::until(&deployment, "disorder", CALLERS, end).expect("callers");
    let booking = tokio::spawn(booking);
    let mut random = StdRng::seed_from_u64(seed);
    let mut open: Vec<Fault> = Vec::new();
    let mut history = Vec::new();
    for _ in 0..FAULTS {
        if open.len() == 2 {
            open.remove(0).mend(&mut deployment).await.expect("mended");
        }
        let fault = Fault::random(&mut random);
        fault.begin(&mut deployment).await.expect("a fault");
        open.push(fault);
        history.push(fault);
        tokio::time::sleep(GAP).await;
    }
    for fault in open {
        fault.mend(&mut deployment).await.expect("mended");
    }
    let bookings = booking.await.expect("bookings").expect("own answers");
    let feeds = reading.await.expect("feeds");
    let told = bookings.check(&deployment.executions().await);
    assert!(told.is_ok(), "seed {seed}, {history:?}: {told:?}");
    for (upstream, error) in &feeds.broken {
        let excused = upstream == "upstream-dispatch-0" && history.contains(&Fault::KillAgent);
        assert!(excused, "seed {seed}, {history:?}: {upstream}: {error}");
    }
    let (ran, all) = (bookings.count(Fate::Ran), bookings.submissions.len());
    println!(
        "seed {seed}: {ran} of {all} bookings ran, {} are unknown, {} of 30 feeds broke",
        bookings.count(Fate::Unknown),
        feeds.broken.len()
    );
    assert!(ran * 2 > all, "seed {seed}, {history:?}: {ran} of {all}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_random_faults_with_seed_1() {
    run(1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_random_faults_with_seed_2() {
    run(2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn promises_hold_under_random_faults_with_seed_3() {
    run(3).await;
}
