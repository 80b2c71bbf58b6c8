//! Open-loop load: requests arrive regardless of whether earlier ones have been answered.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use sassafrasmast_standins::caller::{self, Client, FinalOutcome};
use tokio::{task::JoinSet, time::sleep_until};

use crate::metrics::Metrics;

/// One stream of requests.
#[derive(Debug, Clone)]
pub struct OpenLoop {
    /// Settings of the callers.
    pub caller: caller::Settings,
    /// Mean arrival rate in requests a second.
    pub rate: f64,
    /// Requests after which a caller opens a new connection.
    pub requests_per_connection: u32,
    /// Body of the manifests to upload; without it, bookings are made.
    pub manifest: Option<Bytes>,
    /// Prefix of the booking ids.
    pub id_prefix: &'static str,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// An idle caller and the number of requests made on its connection.
type IdleCaller = (Client, u32);

impl OpenLoop {
    /// Sends requests until `end` and counts those that started after `measured_from`.
    /// [`Metrics::sent`] includes the warm-up.
    ///
    /// # Errors
    ///
    /// If a caller's socket cannot be opened.
    pub async fn run(
        self,
        measured_from: Instant,
        end: Instant,
        metrics: Arc<Mutex<Metrics>>,
    ) -> anyhow::Result<()> {
        if self.rate <= 0.0 {
            return Ok(());
        }
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let idle = Arc::new(Mutex::new(Vec::<IdleCaller>::new()));
        let mut open = JoinSet::new();
        let mut next = Instant::now();
        for number in 0_u64.. {
            let draw: f64 = rng.random_range(f64::EPSILON..1.0);
            next += Duration::from_secs_f64(-draw.ln() / self.rate);
            if next >= end {
                break;
            }
            sleep_until(next.into()).await;
            let (load, idle, metrics) = (self.clone(), Arc::clone(&idle), Arc::clone(&metrics));
            open.spawn(async move {
                load.run_request(number, &idle, measured_from, &metrics)
                    .await
            });
            while let Some(done) = open.try_join_next() {
                done??;
            }
        }
        while let Some(done) = open.join_next().await {
            done??;
        }
        Ok(())
    }

    async fn run_request(
        &self,
        number: u64,
        idle: &Mutex<Vec<IdleCaller>>,
        measured_from: Instant,
        metrics: &Mutex<Metrics>,
    ) -> anyhow::Result<()> {
        let reusable = idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let (mut client, used) = match reusable {
            Some((client, used)) if used < self.requests_per_connection => (client, used),
            _ => (Client::new(self.caller.clone())?, 0),
        };
        let begun = Instant::now();
        let result = match &self.manifest {
            Some(manifest) => client.upload(manifest.clone()).await,
            None => client.book(&format!("{}-{number}", self.id_prefix)).await,
        };
        let (final_outcome, success) = match &result {
            Ok(submission) => (submission.final_outcome, submission.is_success()),
            Err(_) => (FinalOutcome::Unknown, false),
        };
        let mut metrics = metrics.lock().unwrap_or_else(PoisonError::into_inner);
        metrics.sent += result.map_or(1, |submission| u64::from(submission.attempts));
        if let Some(offset) = begun.checked_duration_since(measured_from) {
            metrics.count(
                offset,
                self.manifest.is_some(),
                final_outcome,
                success,
                begun.elapsed(),
            );
        }
        drop(metrics);
        idle.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((client, used + 1));
        Ok(())
    }
}
