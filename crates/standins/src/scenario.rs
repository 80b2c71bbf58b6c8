//! Steps that tests of the whole path share.

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

/// Time between the starts of two feeds.
const FEED_START_INTERVAL: Duration = Duration::from_millis(5);

/// Longest silence of a feed that counts as alive.
const MAX_FEED_SILENCE: Duration = Duration::from_secs(5);

/// Feeds after they were read for a while.
#[derive(Debug, Default)]
pub struct Feeds {
    /// Feeds still open, without a gap.
    pub intact: Vec<Feed>,
    /// Upstream of each feed that ended, and why it did.
    pub broken: Vec<(String, Error)>,
}

impl Feeds {
    /// Opens `count` feeds of the first service, each by a caller of its own.
    ///
    /// # Errors
    ///
    /// The first feed that does not open.
    pub async fn open(deployment: &Deployment, count: usize) -> anyhow::Result<Self> {
        let mut opening = JoinSet::new();
        for number in 0..count {
            let client = deployment.client(0)?;
            opening.spawn(async move {
                let opened = client.feed("/feed").await;
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
                    if let Err(error) = feed.line(MAX_FEED_SILENCE).await {
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

/// Bookings with what their callers know of them in the end.
#[derive(Debug)]
pub struct Bookings {
    /// What became of each, by id.
    pub submissions: BTreeMap<String, Submission>,
}

impl Bookings {
    /// Books `count` times at once, each by a caller of its own, under ids that start with
    /// `prefix`.
    ///
    /// # Errors
    ///
    /// The first caller that got a wrong answer or has no socket.
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

    /// Lets `callers` book one after the other until `end`, each on connections of its own.
    ///
    /// # Errors
    ///
    /// If a caller has no socket; the future gives the first wrong answer.
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

    /// Number of bookings with the given fate.
    pub fn count(&self, final_outcome: FinalOutcome) -> usize {
        let matching = self
            .submissions
            .values()
            .filter(|s| s.final_outcome == final_outcome);
        matching.count()
    }

    /// Checks what callers were told against the starts that the upstreams counted.
    ///
    /// # Errors
    ///
    /// The first booking that ran twice, that ran though its caller was told that it did not, or
    /// that did not run though its caller got its confirmation.
    pub fn check(&self, executions: &BTreeMap<String, u64>) -> anyhow::Result<()> {
        for (id, submission) in &self.submissions {
            let count = executions.get(id).copied().unwrap_or(0);
            let allowed = match submission.final_outcome {
                FinalOutcome::Ran if submission.is_success() => 1..=1,
                // The upstream itself answered that it failed, before or after the start.
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
