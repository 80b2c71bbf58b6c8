//! A scripted demonstration: feeds, a booking and a manifest on a small deployment while a balancer
//! is killed and a zone is taken out.

use std::{
    future::Future,
    path::Path,
    process::Command,
    time::{Duration, Instant},
};

use bytes::Bytes;
use nix::sys::signal::Signal;
use sassafrasmast_core::config::Change;

use crate::{
    caller::{Error, Feed, FinalOutcome},
    deployment::{Deployment, Settings},
    process,
};

/// Index of the balancer that is killed.
const KILLED: usize = 1;

/// Exit code of the operators' tool when a process did not answer and the output is partial.
const EXIT_PARTIAL: i32 = 6;

/// Time until the fabric stops sending to the killed balancer.
const FABRIC_DETECTION_DELAY: Duration = Duration::from_millis(300);

/// Time within which every change and failure must have taken effect.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(5);

/// Time without a line after which a feed counts as broken.
const MAX_FEED_SILENCE: Duration = Duration::from_secs(5);

/// Limit on the feeds opened to find two whose upstreams are in different zones.
const MAX_FEEDS: usize = 32;

/// Bytes of the uploaded manifest.
const MANIFEST_BYTES: usize = 512 * 1024;

/// Runs the steps and counts their results.
#[derive(Debug, Default)]
pub struct Runner {
    passed: u32,
    failed: u32,
}

/// Two feeds in different zones.
#[derive(Debug)]
struct Feeds {
    /// Its upstream is in the zone that is taken out.
    affected: Feed,
    /// Its upstream is in another zone.
    unaffected: Feed,
    /// The zone that is taken out.
    zone: String,
}

impl Runner {
    /// Runs all steps and prints their results; returns whether all passed.
    pub async fn run() -> bool {
        let mut runner = Self::default();
        if let Err(error) = runner.steps().await {
            println!("stopped by an error: {error:#}");
        }
        println!(
            "quickstart: {} passed, {} failed",
            runner.passed, runner.failed
        );
        runner.failed == 0 && runner.passed > 0
    }

    async fn steps(&mut self) -> anyhow::Result<()> {
        let mut deployment = self
            .step(
                "3 balancers, 5 upstreams in 3 zones, store and fabric start",
                Deployment::start(Settings::default()),
            )
            .await?;
        let mut feeds = self
            .step("feeds open in two zones", open_feeds(&deployment))
            .await?;
        deployment.signal(&format!("balancer-{KILLED}"), Signal::SIGKILL)?;
        println!(
            "        balancer-{KILLED} is killed; the fabric stops sending to it \
             {FABRIC_DETECTION_DELAY:?} later"
        );
        let fabric = async {
            tokio::time::sleep(FABRIC_DETECTION_DELAY).await;
            let remaining: Vec<_> = (0..deployment.settings.balancers)
                .filter(|&index| index != KILLED)
                .collect();
            deployment.set_fabric_balancers(&remaining).await
        };
        let requests = async {
            // A failed step is counted and the remaining steps still run.
            let _ = self
                .step("a booking runs exactly once", book(&deployment, "tour-1"))
                .await;
            let _ = self
                .step("a manifest arrives complete", upload(&deployment))
                .await;
        };
        let (fabric_updated, ()) = tokio::join!(fabric, requests);
        fabric_updated?;
        let _ = self
            .step("both feeds continue without a gap", read_both(&mut feeds))
            .await;
        self.zone_out(&deployment, feeds).await?;
        let recording = deployment.directory().join("timeline.jsonl");
        let _ = self
            .step(
                "the timeline is collected",
                collect_timeline(&deployment, &recording),
            )
            .await;
        let _ = self
            .step(
                "the replay of the timeline gives the same decisions",
                replay(&recording),
            )
            .await;
        print_timeline(&deployment)
    }

    /// Takes a zone out by a confirmed plan.
    async fn zone_out(&mut self, deployment: &Deployment, feeds: Feeds) -> anyhow::Result<()> {
        let Feeds {
            mut affected,
            mut unaffected,
            zone,
        } = feeds;
        let operator = deployment.operator_client(0);
        let change = Change::ZoneOut { zone: zone.clone() };
        let planned = operator.plan(vec![change]);
        let plan = self.step("zone-out is planned", planned).await?;
        for line in plan.to_string().lines() {
            println!("        {line}");
        }
        let confirmed = operator.confirm(plan, "quickstart-zone-out");
        self.step("the plan is confirmed", confirmed).await?;
        let name = format!("the feed in {zone} is closed with a reason within 5 s");
        let _ = self.step(&name, wait_for_close(&mut affected)).await;
        let name = "the feed in the other zone continues without a gap";
        let _ = self.step(name, read_without_gap(&mut unaffected)).await;
        let name = "a booking runs exactly once in the remaining zones";
        let _ = self.step(name, book(deployment, "tour-2")).await;
        Ok(())
    }

    /// Runs a step, prints and counts its result.
    async fn step<T>(
        &mut self,
        name: &str,
        step: impl Future<Output = anyhow::Result<T>>,
    ) -> anyhow::Result<T> {
        let begun = Instant::now();
        let result = step.await;
        let elapsed = begun.elapsed().as_secs_f64();
        match &result {
            Ok(_) => {
                self.passed += 1;
                println!("passed  {name} ({elapsed:.2} s)");
            }
            Err(error) => {
                self.failed += 1;
                println!("failed  {name} ({elapsed:.2} s): {error:#}");
            }
        }
        result
    }
}

/// Opens feeds until two have upstreams in different zones.
async fn open_feeds(deployment: &Deployment) -> anyhow::Result<Feeds> {
    let mut first: Option<(Feed, String)> = None;
    for _ in 0..MAX_FEEDS {
        let mut feed = deployment.client(0)?.open_feed("/feed").await?;
        feed.read_line(MAX_FEED_SILENCE).await?;
        let zone = deployment.zone_of(&feed.upstream)?.to_owned();
        match first.take() {
            Some((affected, affected_zone)) if affected_zone != zone => {
                return Ok(Feeds {
                    affected,
                    unaffected: feed,
                    zone: affected_zone,
                });
            }
            Some(kept) => first = Some(kept),
            None => first = Some((feed, zone)),
        }
    }
    anyhow::bail!("all {MAX_FEEDS} feeds opened have upstreams in the same zone")
}

/// Submits one booking and checks the executions that all upstreams counted.
async fn book(deployment: &Deployment, id: &str) -> anyhow::Result<()> {
    let submission = deployment.client(0)?.book(id).await?;
    let errors = submission.errors.join(", ");
    anyhow::ensure!(
        submission.final_outcome == FinalOutcome::Ran && submission.is_success(),
        "booking outcome {:?}: {errors}",
        submission.final_outcome
    );
    let executions = deployment.executions().await;
    let count = executions.get(id).copied().unwrap_or(0);
    anyhow::ensure!(count == 1, "booking {id} ran {count} times instead of once");
    Ok(())
}

/// Uploads a manifest; the client checks its length and checksum.
async fn upload(deployment: &Deployment) -> anyhow::Result<()> {
    let manifest: Vec<u8> = (0..MANIFEST_BYTES).map(|byte| byte as u8).collect();
    let service = deployment.settings.services.len() - 1;
    let mut client = deployment.client(service)?;
    let submission = client.upload(Bytes::from(manifest)).await?;
    anyhow::ensure!(
        submission.final_outcome == FinalOutcome::Ran && submission.is_success(),
        "upload outcome {:?}: {}",
        submission.final_outcome,
        submission.errors.join(", ")
    );
    Ok(())
}

/// Reads both feeds for [`CONVERGENCE_LIMIT`].
async fn read_both(feeds: &mut Feeds) -> anyhow::Result<()> {
    let (affected, unaffected) = tokio::join!(
        read_without_gap(&mut feeds.affected),
        read_without_gap(&mut feeds.unaffected)
    );
    affected.and(unaffected)
}

/// Reads a feed for [`CONVERGENCE_LIMIT`], by which time every fault has taken effect.
async fn read_without_gap(feed: &mut Feed) -> anyhow::Result<()> {
    let begun = Instant::now();
    while begun.elapsed() < CONVERGENCE_LIMIT {
        feed.read_line(MAX_FEED_SILENCE).await?;
    }
    Ok(())
}

/// Reads a feed until its connection is closed with a reason.
async fn wait_for_close(feed: &mut Feed) -> anyhow::Result<()> {
    let begun = Instant::now();
    loop {
        let remaining = CONVERGENCE_LIMIT.saturating_sub(begun.elapsed());
        match feed.read_line(remaining).await {
            Ok(_) => {}
            Err(Error::Closed { code, reason }) if !reason.is_empty() => {
                println!("        closed with code {code}: {reason}");
                return Ok(());
            }
            Err(error) => return Err(error.into()),
        }
    }
}

/// Runs the operators' tool and returns its output. A partial timeline is accepted because one
/// process was killed.
fn run_cli(arguments: &[&str]) -> anyhow::Result<String> {
    let output = Command::new(process::binary_directory()?.join("sassafrasmast"))
        .args(arguments)
        .output()?;
    let partial =
        output.status.code() == Some(EXIT_PARTIAL) && arguments.first() == Some(&"timeline");
    anyhow::ensure!(
        output.status.success() || partial,
        "{arguments:?}: {}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    Ok(String::from_utf8_lossy(&output.stdout).into_owned())
}

/// Writes the timeline of all processes to a file.
async fn collect_timeline(deployment: &Deployment, file: &Path) -> anyhow::Result<()> {
    let api = deployment.network.api(0).to_string();
    run_cli(&["timeline", "--api", &api, "--out", &file.to_string_lossy()])?;
    Ok(())
}

/// Replays a recorded timeline and compares the decisions.
async fn replay(file: &Path) -> anyhow::Result<()> {
    let printed = run_cli(&["replay", &file.to_string_lossy()])?;
    println!("        {}", printed.lines().last().unwrap_or_default());
    Ok(())
}

/// Prints the timeline of all processes.
fn print_timeline(deployment: &Deployment) -> anyhow::Result<()> {
    let api = deployment.network.api(0).to_string();
    print!("{}", run_cli(&["timeline", "--api", &api])?);
    Ok(())
}
