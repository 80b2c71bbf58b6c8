//! Soak test of flow forwarding: real processes on loopback before a stand-in store, with clients and
//! upstreams that exchange packets, under seeded faults. What clients and upstreams see is checked.
//!
//! - [`plan`]: draws the faults.
//! - [`fleet`]: starts processes and upstreams and applies faults to them.
//! - [`callers`]: clients that open flows and send requests.
//! - [`checker`]: the rules.

pub mod callers;
pub mod checker;
pub mod fleet;
pub mod plan;

use std::{
    fs,
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use anyhow::{Context, ensure};
use tokio::signal::unix::{SignalKind, signal};

use self::{
    callers::Callers,
    checker::{Journal, Summary},
    fleet::Fleet,
    plan::Plan,
};

/// Help text.
const HELP: &str = "\
soak: runs real processes under seeded faults and checks what clients and upstreams see

USAGE:
    soak --seed N --seconds S [--history] [--crashes] [--logs DIR]

OPTIONS:
    --seed N       faults and load are drawn from this number
    --seconds S    duration; at least 10
    --history      the store also loses leases and history and comes back from older copies
    --crashes      upstreams also crash, their clocks are set, and announcements arrive late
    --logs DIR     keeps the logs of the processes, as `sassafrasmast explain` reads them

Exits with 1 if a rule was broken.
";

/// Shortest run in which faults and their ends have room.
const MIN_SECONDS: u64 = 10;

/// Interval at which processes are checked and due faults are applied.
const TICK: Duration = Duration::from_millis(20);

/// Share of the requests that has to be answered. A run in which less is served checks nothing.
const MIN_ANSWERED: f64 = 0.5;

/// What to run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Settings {
    /// Seed of faults and load.
    pub seed: u64,
    /// Duration.
    pub duration: Duration,
    /// Whether the store also loses what it held.
    pub history: bool,
    /// Whether upstreams also crash and start again by clocks that were set.
    pub crashes: bool,
    /// Directory for the logs of the processes.
    pub logs: Option<PathBuf>,
}

/// Parses the arguments and runs the soak test.
pub fn main() -> ExitCode {
    match parse().and_then(|settings| settings.map_or(Ok(true), |settings| report(&settings))) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// The settings on the command line; `None` if the help text was printed.
fn parse() -> anyhow::Result<Option<Settings>> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(None);
    }
    let seed = arguments.value_from_str("--seed")?;
    let seconds = arguments.value_from_str("--seconds")?;
    let history = arguments.contains("--history");
    let crashes = arguments.contains("--crashes");
    let logs = arguments.opt_value_from_str("--logs")?;
    let rest = arguments.finish();
    ensure!(rest.is_empty(), "unexpected arguments: {rest:?}");
    ensure!(
        seconds >= MIN_SECONDS,
        "--seconds: at least {MIN_SECONDS} are needed"
    );
    Ok(Some(Settings {
        seed,
        duration: Duration::from_secs(seconds),
        history,
        crashes,
        logs,
    }))
}

/// Runs the soak test and prints the result. Returns whether all rules were kept.
fn report(settings: &Settings) -> anyhow::Result<bool> {
    let summary = run(settings)?;
    println!("seed {}: {summary}", settings.seed);
    if summary.violations.is_empty() {
        return Ok(true);
    }
    for violation in &summary.violations {
        println!("  {violation}");
    }
    println!("faults:");
    for (at, step) in Plan::draw(settings).steps {
        println!("  {:.3} s: {step:?}", at.as_secs_f64());
    }
    Ok(false)
}

/// Runs the soak test until its end or a signal. All processes are killed when it returns.
///
/// # Errors
///
/// When the directory for logs cannot be written or signals cannot be received.
pub fn run(settings: &Settings) -> anyhow::Result<Summary> {
    if let Some(logs) = &settings.logs {
        fs::create_dir_all(logs).with_context(|| logs.display().to_string())?;
    }
    let interrupted = watch_signals()?;
    let journal = Journal::default();
    let plan = Plan::draw(settings);
    let mut fleet = Fleet::start(&journal, settings.logs.clone());
    let callers = Callers::start(settings.seed, &journal, fleet.fabric());
    let start = Instant::now();
    let mut steps = plan.steps.into_iter().peekable();
    while start.elapsed() < settings.duration && !interrupted.load(Ordering::Relaxed) {
        fleet.check_exits();
        while let Some((_, step)) = steps.next_if(|(at, _)| *at <= start.elapsed()) {
            fleet.apply(step);
        }
        thread::sleep(TICK);
    }
    callers.stop();
    fleet.check_exits();
    drop(fleet);
    let mut summary = journal.summary();
    if summary.answered_share() < MIN_ANSWERED {
        let reason = format!("fewer than {MIN_ANSWERED} of the requests were answered");
        summary.violations.push(reason);
    }
    Ok(summary)
}

/// Sets the returned flag on the first SIGINT or SIGTERM, so that the processes are killed before this
/// one ends.
fn watch_signals() -> anyhow::Result<Arc<AtomicBool>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (mut interrupts, mut terminations) = {
        let _context = runtime.enter();
        (
            signal(SignalKind::interrupt())?,
            signal(SignalKind::terminate())?,
        )
    };
    let interrupted = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&interrupted);
    thread::spawn(move || {
        runtime.block_on(async {
            tokio::select! {
                _ = interrupts.recv() => {}
                _ = terminations.recv() => {}
            }
            flag.store(true, Ordering::Relaxed);
        });
    });
    Ok(interrupted)
}
