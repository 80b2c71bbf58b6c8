//! Open-loop load: requests arrive whether or not earlier ones were answered.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use sassafrasmast_standins::caller::{self, Client, FinalOutcome};
use tokio::{task::JoinSet, time::sleep_until};

use crate::measure::Measure;

/// One stream of requests.
#[derive(Debug, Clone)]
pub struct Load {
    /// Settings of the callers.
    pub caller: caller::Settings,
    /// Requests a second.
    pub rate: f64,
    /// Requests after which a caller opens a new connection.
    pub per_flow: u32,
    /// Body of a manifest; bookings are made without it.
    pub manifest: Option<Bytes>,
    /// Start of the ids of bookings.
    pub prefix: &'static str,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// A caller that is idle, and how many requests it made on its connection.
type Idle = (Client, u32);

impl Load {
    /// Sends requests until `end` and counts those that began after `measured`.
    ///
    /// # Errors
    ///
    /// If a caller's socket cannot be opened.
    pub async fn run(
        self,
        measured: Instant,
        end: Instant,
        measure: Arc<Mutex<Measure>>,
    ) -> anyhow::Result<()> {
        if self.rate <= 0.0 {
            return Ok(());
        }
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let idle = Arc::new(Mutex::new(Vec::<Idle>::new()));
        let mut open = JoinSet::new();
        let mut next = Instant::now();
        for number in 0_u64.. {
            let draw: f64 = rng.random_range(f64::EPSILON..1.0);
            next += Duration::from_secs_f64(-draw.ln() / self.rate);
            if next >= end {
                break;
            }
            sleep_until(next.into()).await;
            let (load, idle, measure) = (self.clone(), Arc::clone(&idle), Arc::clone(&measure));
            open.spawn(async move { load.call(number, &idle, measured, &measure).await });
            while let Some(done) = open.try_join_next() {
                done??;
            }
        }
        while let Some(done) = open.join_next().await {
            done??;
        }
        Ok(())
    }

    async fn call(
        &self,
        number: u64,
        idle: &Mutex<Vec<Idle>>,
        measured: Instant,
        measure: &Mutex<Measure>,
    ) -> anyhow::Result<()> {
        let waiting = idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let (mut client, used) = match waiting {
            Some((client, used)) if used < self.per_flow => (client, used),
            _ => (Client::new(self.caller.clone())?, 0),
        };
        let begun = Instant::now();
        let result = match &self.manifest {
            Some(manifest) => client.upload(manifest.clone()).await,
            None => client.book(&format!("{}-{number}", self.prefix)).await,
        };
        let (final_outcome, success) = match &result {
            Ok(submission) => (submission.final_outcome, submission.is_success()),
            Err(_) => (FinalOutcome::Unknown, false),
        };
        let mut measure = measure.lock().unwrap_or_else(PoisonError::into_inner);
        measure.sent += result.map_or(1, |submission| u64::from(submission.attempts));
        if let Some(since) = begun.checked_duration_since(measured) {
            measure.count(
                since,
                self.manifest.is_some(),
                final_outcome,
                success,
                begun.elapsed(),
            );
        }
        drop(measure);
        idle.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((client, used + 1));
        Ok(())
    }
}
