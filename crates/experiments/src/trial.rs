//! One policy under one scenario.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use sassafrasmast_core::balancer::Policy;
use sassafrasmast_standins::{caller::Error, deployment::Deployment, scenario::Feeds};
use tokio::time::sleep_until;

use crate::{
    load::Load, measure::Measure, overhead::Overhead, sampler, sampler::Sampler, scenario::Scenario,
};

/// Index of the service for bookings and feeds.
const BOOKINGS: usize = 0;

/// Index of the service for manifests.
const MANIFESTS: usize = 1;

/// Start of the reason with which a feed in an out zone is closed.
const ZONE_OUT: &str = "zone out";

/// The result of a trial.
#[derive(Debug)]
pub struct Trial {
    /// The policy.
    pub policy: Policy,
    /// What was measured.
    pub measure: Measure,
    /// Comparison with direct calls, if the scenario asks for it.
    pub overhead: Option<Overhead>,
}

impl Trial {
    /// Starts a deployment, runs the load and the faults, and stops it again.
    ///
    /// # Errors
    ///
    /// If the deployment does not start or a fault cannot be made.
    pub async fn run(scenario: &Scenario, policy: Policy) -> anyhow::Result<Self> {
        let mut deployment = Deployment::start(scenario.sizes(policy)).await?;
        let overhead = match scenario.compared {
            0 => None,
            compared => Some(Overhead::measure(&deployment, compared).await?),
        };
        let feeds = Feeds::open(&deployment, scenario.feeds).await?;
        let measured = Instant::now() + Duration::from_secs(scenario.warm_up);
        let end = measured + Duration::from_secs(scenario.seconds);
        let measure = Arc::new(Mutex::new(Measure::new(scenario.seconds as usize)));
        let loads = Loads::new(scenario, &deployment, measured, end, &measure)?;
        let reading = tokio::spawn(feeds.read(end));
        let upstreams = deployment.settings.services[BOOKINGS].upstreams;
        let sampler = watch(scenario, &mut deployment, upstreams, measured, end).await?;
        loads.wait().await?;
        let feeds = reading.await?;
        let mut measure = std::mem::replace(
            &mut *measure.lock().unwrap_or_else(PoisonError::into_inner),
            Measure::new(0),
        );
        measure.imbalance = sampler.by_second();
        measure.overall_imbalance = sampler.overall();
        measure.variation = sampler.variation();
        for (_, error) in &feeds.broken {
            match error {
                Error::Closed { reason, .. } if reason.contains(ZONE_OUT) => {
                    measure.given_up_feeds += 1;
                }
                _ => measure.broken_feeds += 1,
            }
        }
        take_counts(&deployment, &mut measure).await?;
        Ok(Self {
            policy,
            measure,
            overhead,
        })
    }
}

/// The running streams of requests.
#[derive(Debug)]
struct Loads(Vec<tokio::task::JoinHandle<anyhow::Result<()>>>);

impl Loads {
    fn new(
        scenario: &Scenario,
        deployment: &Deployment,
        measured: Instant,
        end: Instant,
        measure: &Arc<Mutex<Measure>>,
    ) -> anyhow::Result<Self> {
        let load = |service, rate, manifest, prefix| {
            let mut caller = deployment.caller_settings(service)?;
            caller.deadline = scenario.deadline();
            anyhow::Ok(Load {
                caller,
                rate,
                per_flow: scenario.bookings_per_flow,
                manifest,
                prefix,
                seed: scenario.seed + service as u64,
            })
        };
        let manifest = Bytes::from(vec![0x5a; scenario.manifest_bytes]);
        let loads = [
            load(BOOKINGS, scenario.bookings_per_s, None, "booking")?,
            load(
                MANIFESTS,
                scenario.manifests_per_s,
                Some(manifest),
                "manifest",
            )?,
        ];
        let spawn = |load: Load| tokio::spawn(load.run(measured, end, Arc::clone(measure)));
        Ok(Self(loads.into_iter().map(spawn).collect()))
    }

    async fn wait(self) -> anyhow::Result<()> {
        for load in self.0 {
            load.await??;
        }
        Ok(())
    }
}

/// Samples the upstreams and makes the faults happen until the end.
async fn watch(
    scenario: &Scenario,
    deployment: &mut Deployment,
    upstreams: usize,
    measured: Instant,
    end: Instant,
) -> anyhow::Result<Sampler> {
    let mut sampler = Sampler::default();
    let mut faults = scenario.faults.iter().peekable();
    let mut at = measured;
    while at < end {
        sleep_until(at.into()).await;
        let passed = measured.elapsed().as_secs_f64();
        while let Some(fault) = faults.next_if(|fault| fault.at_s <= passed) {
            fault.event.apply(deployment).await?;
        }
        sampler.sample(deployment, upstreams).await;
        at += sampler::PERIOD;
    }
    Ok(sampler)
}

/// Adds what the upstreams counted.
async fn take_counts(deployment: &Deployment, measure: &mut Measure) -> anyhow::Result<()> {
    let mut runs = std::collections::BTreeMap::<String, u64>::new();
    let mut offered = 0;
    for (index, ..) in deployment.upstreams() {
        let counts = deployment.upstream_counts(index).await?;
        measure.collapses += counts.collapses;
        offered += counts.offered;
        for (booking, count) in counts.bookings {
            *runs.entry(booking).or_default() += count;
        }
    }
    measure.doubled = runs.values().filter(|&&count| count > 1).count() as u64;
    measure.offered_ratio = offered as f64 / measure.sent.max(1) as f64;
    Ok(())
}
