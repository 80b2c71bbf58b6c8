//! Confirms a plan and waits until it is in force everywhere.

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

/// Most attempts to confirm while the outcome is not known.
const MAX_ATTEMPTS: u32 = 3;

/// Pause between two attempts to confirm.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time between two requests for the progress.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Confirms the plan in `file` and waits until all processes have it in force.
///
/// # Errors
///
/// If the plan is not confirmed, or no balancer reports the progress. A file that does not hold a
/// plan is reported on standard error and gives [`Exit::Usage`].
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
    let confirmed = confirm_until_known(client, &confirm).await?;
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
    wait_in_force(client, confirmed.version, wait).await
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

/// Confirms the plan. While the outcome is not known, confirms again with the same operation id,
/// which is idempotent.
async fn confirm_until_known(client: &Client, confirm: &Confirm) -> Result<Confirmed, Error> {
    let mut attempts = 0;
    loop {
        let result = client.post("/confirm", confirm).await;
        attempts += 1;
        match &result {
            Err(Error::Api(api::Error::Unsettled) | Error::Incomplete(_))
                if attempts < MAX_ATTEMPTS =>
            {
                eprintln!(
                    "attempt {attempts} of {MAX_ATTEMPTS}: the outcome of plan {} is not known yet, confirming again",
                    confirm.plan.id
                );
                sleep(RETRY_DELAY).await;
            }
            // An earlier attempt may have written the plan, so failing to reach the balancers or the
            // store now does not show that nothing was written.
            Err(Error::Unreachable(reason)) if attempts > 1 => {
                return Err(Error::Incomplete(reason.clone()));
            }
            Err(Error::Api(api::Error::StoreDown)) if attempts > 1 => {
                return Err(Error::Api(api::Error::Unsettled));
            }
            _ => return result,
        }
    }
}

/// Waits until all known processes report `version` and prints the progress.
async fn wait_in_force(
    client: &Client,
    version: ConfigVersion,
    wait: Duration,
) -> anyhow::Result<Exit> {
    let start = Instant::now();
    let path = format!("/progress?version={version}");
    let mut last_shown = None;
    loop {
        let progress: Progress = client.get(&path).await?;
        let pending = progress.behind.len() + progress.silent.len();
        let in_force = progress.asked - pending.min(progress.asked);
        if last_shown != Some(in_force) {
            eprintln!(
                "version {version} is in force at {in_force} of {} processes",
                progress.asked
            );
            last_shown = Some(in_force);
        }
        if pending == 0 {
            return Ok(Exit::Done);
        }
        if start.elapsed() >= wait {
            print_pending(&progress, wait);
            return Ok(Exit::Partial);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Prints the processes that do not report the version.
fn print_pending(progress: &Progress, wait: Duration) {
    eprintln!(
        "after {} s these processes do not report the version:",
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
