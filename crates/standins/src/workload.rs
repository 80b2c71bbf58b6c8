//! Feeds and bookings that the end-to-end tests share.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use anyhow::Context;
use tokio::task::JoinSet;

use crate::{
    caller::{Error, Feed, FinalOutcome, Submission},
    deployment::Deployment,
};

/// Delay between opening two feeds.
const FEED_START_INTERVAL: Duration = Duration::from_millis(5);

/// Time without a line after which a feed counts as broken.
const MAX_FEED_SILENCE: Duration = Duration::from_secs(5);

/// A number of feeds and the result of reading them.
#[derive(Debug, Default)]
pub struct Feeds {
    /// Feeds still open, without a gap.
    pub intact: Vec<Feed>,
    /// Upstream of each broken feed, and the error that ended it.
    pub broken: Vec<(String, Error)>,
}

impl Feeds {
    /// Opens `count` feeds of the first service, each by a separate caller.
    ///
    /// # Errors
    ///
    /// The error of the first feed that does not open.
    pub async fn open(deployment: &Deployment, count: usize) -> anyhow::Result<Self> {
        let mut opening = JoinSet::new();
        for number in 0..count {
            let client = deployment.client(0)?;
            opening.spawn(async move {
                let opened = client.open_feed("/feed").await;
                opened.with_context(|| format!("feed {number}"))
            });
            tokio::time::sleep(FEED_START_INTERVAL).await;
        }
        let opened = opening.join_all().await.into_iter();
        Ok(Self {
            intact: opened.collect::<anyhow::Result<_>>()?,
            broken: Vec::new(),
        })
    }

    /// Reads all open feeds until `end`.
    pub async fn read(self, end: Instant) -> Self {
        let mut reading = JoinSet::new();
        for mut feed in self.intact {
            reading.spawn(async move {
                while Instant::now() < end {
                    if let Err(error) = feed.read_line(MAX_FEED_SILENCE).await {
                        return Err((feed.upstream, error));
                    }
                }
                Ok(feed)
            });
        }
        let mut feeds = Self {
            intact: Vec::new(),
            broken: self.broken,
        };
        for ended in reading.join_all().await {
            match ended {
                Ok(feed) => feeds.intact.push(feed),
                Err(broken) => feeds.broken.push(broken),
            }
        }
        feeds
    }
}

/// Bookings with the final outcome that each caller knows.
#[derive(Debug)]
pub struct Bookings {
    /// Result of each booking, by id.
    pub submissions: BTreeMap<String, Submission>,
}

impl Bookings {
    /// Submits `count` bookings at once, each by a separate caller, under ids that start with
    /// `prefix`.
    ///
    /// # Errors
    ///
    /// The error of the first caller that got an invalid answer or could not open a socket.
    pub async fn submit(
        deployment: &Deployment,
        prefix: &str,
        count: usize,
    ) -> anyhow::Result<Self> {
        let mut booking = JoinSet::new();
        for number in 0..count {
            let mut client = deployment.client(0)?;
            let id = format!("{prefix}-{number}");
            booking.spawn(async move {
                let submission = client.book(&id).await?;
                anyhow::Ok((id, submission))
            });
        }
        let submitted = booking.join_all().await.into_iter();
        Ok(Self {
            submissions: submitted.collect::<anyhow::Result<_>>()?,
        })
    }

    /// Runs `callers` callers until `end`. Each submits one booking after the other on its own
    /// connections.
    ///
    /// # Errors
    ///
    /// If a caller cannot open a socket. The future returns the error of the first invalid answer.
    pub fn submit_until(
        deployment: &Deployment,
        prefix: &str,
        callers: usize,
        end: Instant,
    ) -> anyhow::Result<impl Future<Output = anyhow::Result<Self>> + use<>> {
        let mut booking = JoinSet::new();
        for caller in 0..callers {
            let mut client = deployment.client(0)?;
            let prefix = format!("{prefix}-{caller}");
            booking.spawn(async move {
                let mut submitted = Vec::new();
                while Instant::now() < end {
                    let id = format!("{prefix}-{}", submitted.len());
                    let submission = client.book(&id).await?;
                    submitted.push((id, submission));
                }
                anyhow::Ok(submitted)
            });
        }
        Ok(async move {
            let mut submissions = BTreeMap::new();
            for submitted in booking.join_all().await {
                submissions.extend(submitted?);
            }
            Ok(Self { submissions })
        })
    }

    /// Number of bookings with the given final outcome.
    pub fn count(&self, final_outcome: FinalOutcome) -> usize {
        let matching = self
            .submissions
            .values()
            .filter(|s| s.final_outcome == final_outcome);
        matching.count()
    }

    /// Compares the outcome that callers know with the executions that the upstreams counted.
    ///
    /// # Errors
    ///
    /// Names the first booking that ran twice, that ran although its caller was told that it did
    /// not, or that did not run although its caller got a success.
    pub fn check(&self, executions: &BTreeMap<String, u64>) -> anyhow::Result<()> {
        for (id, submission) in &self.submissions {
            let count = executions.get(id).copied().unwrap_or(0);
            let allowed = match submission.final_outcome {
                FinalOutcome::Ran if submission.is_success() => 1..=1,
                // The upstream answered with a failure, before or after the execution was counted.
                FinalOutcome::Ran => 0..=1,
                FinalOutcome::NotRun => 0..=0,
                FinalOutcome::Unknown => 0..=1,
            };
            anyhow::ensure!(
                allowed.contains(&count),
                "{id} ran {count} times: {submission:?}"
            );
        }
        Ok(())
    }
}
