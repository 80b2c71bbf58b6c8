//! Confirming a plan.

use std::{
    fs,
    io::{Read, stdin},
    path::Path,
    time::{Duration, Instant},
};

use anyhow::Context;
use sassafrasmast_core::config::Plan;
use sassafrasmast_wire::ConfigVersion;
use sassafrasmastd::api::{self, Confirm, Confirmed, Progress};
use tokio::time::sleep;

use crate::{
    client::{Client, Error},
    exit::Exit,
};

/// Tries to settle a confirm whose outcome is not known.
const SETTLE_TRIES: u32 = 3;

/// Pause before a confirm is settled.
const SETTLE_PAUSE: Duration = Duration::from_secs(1);

/// Time between two questions for the progress.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Confirms the plan in `file` and waits until all processes have it in force.
///
/// # Errors
///
/// If the file is no plan, or the plan is not confirmed.
pub async fn run(
    client: &Client,
    file: &Path,
    operation: Option<String>,
    wait: Duration,
    json: bool,
) -> anyhow::Result<Exit> {
    let plan = match read(file) {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("sassafrasmast: {error:#}");
            return Ok(Exit::Usage);
        }
    };
    let operation = operation.unwrap_or_else(|| plan.id.clone());
    let confirm = Confirm { plan, operation };
    let confirmed = settle(client, &confirm).await?;
    if json {
        println!("{}", serde_json::to_string(&confirmed)?);
    } else {
        println!(
            "plan {} is confirmed as version {}",
            confirm.plan.id, confirmed.version
        );
    }
    if wait.is_zero() {
        return Ok(Exit::Done);
    }
    follow(client, confirmed.version, wait).await
}

fn read(file: &Path) -> anyhow::Result<Plan> {
    let mut text = String::new();
    if file == Path::new("-") {
        stdin().read_to_string(&mut text)?;
    } else {
        text = fs::read_to_string(file).with_context(|| format!("{}", file.display()))?;
    }
    serde_json::from_str(&text).with_context(|| format!("{}: not a plan", file.display()))
}

/// Confirms; an outcome that is not known is asked for again with the same operation.
async fn settle(client: &Client, confirm: &Confirm) -> Result<Confirmed, Error> {
    let mut tries = 0;
    loop {
        let result = client.post("/confirm", confirm).await;
        tries += 1;
        match &result {
            Err(Error::Api(api::Error::Unsettled) | Error::Cut(_)) if tries < SETTLE_TRIES => {
                eprintln!("the outcome is not known yet, asking again");
                sleep(SETTLE_PAUSE).await;
            }
            // Once a write was sent, a later failure to reach the store settles nothing.
            Err(Error::Unreachable(reason)) if tries > 1 => {
                return Err(Error::Cut(reason.clone()));
            }
            Err(Error::Api(api::Error::StoreDown)) if tries > 1 => {
                return Err(Error::Api(api::Error::Unsettled));
            }
            _ => return result,
        }
    }
}

/// Waits until all known processes report `version`; shows the progress.
async fn follow(client: &Client, version: ConfigVersion, wait: Duration) -> anyhow::Result<Exit> {
    let start = Instant::now();
    let path = format!("/progress?version={version}");
    let mut shown = None;
    loop {
        let progress: Progress = client.get(&path).await?;
        let missing = progress.behind.len() + progress.silent.len();
        let done = progress.asked - missing.min(progress.asked);
        if shown != Some(done) {
            eprintln!("in force at {done} of {} processes", progress.asked);
            shown = Some(done);
        }
        if missing == 0 {
            return Ok(Exit::Done);
        }
        if start.elapsed() >= wait {
            report(&progress, wait);
            return Ok(Exit::Partial);
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn report(progress: &Progress, wait: Duration) {
    eprintln!(
        "after {} s these processes do not report it:",
        wait.as_secs()
    );
    for behind in &progress.behind {
        let (role, address) = (behind.process.role, behind.process.address);
        eprintln!("  {role} {address} has version {}", behind.version);
    }
    for process in &progress.silent {
        eprintln!("  {} {} does not answer", process.role, process.address);
    }
}
