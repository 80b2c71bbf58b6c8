//! Runs one policy under one scenario.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use sassafrasmast_core::balancer::Policy;
use sassafrasmast_standins::{caller::Error, deployment::Deployment, workload::Feeds};
use tokio::time::sleep_until;

use crate::{
    load::OpenLoop, metrics::Metrics, overhead::Overhead, sampler, sampler::Sampler,
    scenario::Scenario,
};

/// Index of the service for bookings and feeds.
const BOOKING_SERVICE: usize = 0;

/// Index of the service for manifests.
const MANIFEST_SERVICE: usize = 1;

/// Part of the close reason of feeds in a zone that was taken out.
const ZONE_OUT_REASON: &str = "zone out";

/// The result of a trial.
#[derive(Debug)]
pub struct Trial {
    /// The policy.
    pub policy: Policy,
    /// Metrics of the trial.
    pub metrics: Metrics,
    /// Comparison with direct calls, if the scenario asks for it.
    pub overhead: Option<Overhead>,
}

impl Trial {
    /// Starts a deployment, runs the load and the faults, and stops it again.
    ///
    /// # Errors
    ///
    /// If the deployment does not start, a request cannot be made or a fault cannot be injected.
    pub async fn run(scenario: &Scenario, policy: Policy) -> anyhow::Result<Self> {
        let mut deployment = Deployment::start(scenario.settings(policy)).await?;
        let overhead = match scenario.compared {
            0 => None,
            compared => Some(Overhead::measure(&deployment, compared).await?),
        };
        let feeds = Feeds::open(&deployment, scenario.feeds).await?;
        let measured_from = Instant::now() + Duration::from_secs(scenario.warm_up);
        let end = measured_from + Duration::from_secs(scenario.seconds);
        let metrics = Arc::new(Mutex::new(Metrics::new(scenario.seconds as usize)));
        let loads = RunningLoads::new(scenario, &deployment, measured_from, end, &metrics)?;
        let reading = tokio::spawn(feeds.read(end));
        let upstreams = deployment.settings.services[BOOKING_SERVICE].upstreams;
        let sampler =
            sample_with_faults(scenario, &mut deployment, upstreams, measured_from, end).await?;
        loads.wait().await?;
        let feeds = reading.await?;
        let mut metrics = std::mem::replace(
            &mut *metrics.lock().unwrap_or_else(PoisonError::into_inner),
            Metrics::new(0),
        );
        metrics.imbalance = sampler.imbalance_by_second();
        metrics.overall_imbalance = sampler.overall_imbalance();
        metrics.variation = sampler.variation();
        for (_, error) in &feeds.broken {
            match error {
                Error::Closed { reason, .. } if reason.contains(ZONE_OUT_REASON) => {
                    metrics.feeds_closed_by_zone_out += 1;
                }
                _ => metrics.broken_feeds += 1,
            }
        }
        add_upstream_counts(&deployment, &mut metrics).await?;
        Ok(Self {
            policy,
            metrics,
            overhead,
        })
    }
}

/// Tasks of the running loads.
#[derive(Debug)]
struct RunningLoads(Vec<tokio::task::JoinHandle<anyhow::Result<()>>>);

impl RunningLoads {
    fn new(
        scenario: &Scenario,
        deployment: &Deployment,
        measured_from: Instant,
        end: Instant,
        metrics: &Arc<Mutex<Metrics>>,
    ) -> anyhow::Result<Self> {
        let load = |service, rate, manifest, id_prefix| {
            let mut caller = deployment.caller_settings(service)?;
            caller.deadline = scenario.deadline();
            anyhow::Ok(OpenLoop {
                caller,
                rate,
                requests_per_connection: scenario.bookings_per_flow,
                manifest,
                id_prefix,
                seed: scenario.seed + service as u64,
            })
        };
        let manifest = Bytes::from(vec![0x5a; scenario.manifest_bytes]);
        let loads = [
            load(BOOKING_SERVICE, scenario.bookings_per_s, None, "booking")?,
            load(
                MANIFEST_SERVICE,
                scenario.manifests_per_s,
                Some(manifest),
                "manifest",
            )?,
        ];
        let spawn =
            |load: OpenLoop| tokio::spawn(load.run(measured_from, end, Arc::clone(metrics)));
        Ok(Self(loads.into_iter().map(spawn).collect()))
    }

    async fn wait(self) -> anyhow::Result<()> {
        for load in self.0 {
            load.await??;
        }
        Ok(())
    }
}

/// Samples the upstreams and injects the faults at their times until `end`.
async fn sample_with_faults(
    scenario: &Scenario,
    deployment: &mut Deployment,
    upstreams: usize,
    measured_from: Instant,
    end: Instant,
) -> anyhow::Result<Sampler> {
    let mut sampler = Sampler::default();
    let mut faults = scenario.faults.iter().peekable();
    let mut at = measured_from;
    while at < end {
        sleep_until(at.into()).await;
        let elapsed_s = measured_from.elapsed().as_secs_f64();
        while let Some(fault) = faults.next_if(|fault| fault.at_s <= elapsed_s) {
            fault.event.apply(deployment).await?;
        }
        sampler.sample(deployment, upstreams).await;
        at += sampler::SAMPLE_INTERVAL;
    }
    Ok(sampler)
}

/// Adds the counters of the upstreams to the metrics.
async fn add_upstream_counts(deployment: &Deployment, metrics: &mut Metrics) -> anyhow::Result<()> {
    let mut executions = std::collections::BTreeMap::<String, u64>::new();
    let mut offered = 0;
    for (index, ..) in deployment.upstreams() {
        let counts = deployment.upstream_counts(index).await?;
        metrics.collapses += counts.collapses;
        offered += counts.offered;
        for (booking, count) in counts.bookings {
            *executions.entry(booking).or_default() += count;
        }
    }
    metrics.duplicates = executions.values().filter(|&&count| count > 1).count() as u64;
    metrics.offered_ratio = offered as f64 / metrics.sent.max(1) as f64;
    Ok(())
}
