//! Load of many concurrent callers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::sleep};

use super::{Client, DirectConnection, Error, Settings, Summary};
use crate::certificate;

/// Time without a line after which a feed counts as broken; its upstream sends several lines in
/// this time.
const MAX_FEED_SILENCE: Duration = Duration::from_secs(10);

/// Delay between opening two feeds.
const FEED_START_INTERVAL: Duration = Duration::from_millis(2);

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Booking,
    Manifest,
}

/// A number of feeds, bookings and manifests.
#[derive(Debug, Clone)]
pub struct Load {
    /// Settings of each caller.
    pub settings: Settings,
    /// An upstream to call directly over HTTP/1.1 instead of the service.
    pub direct: Option<SocketAddr>,
    /// Feeds held open at once, each by a separate caller.
    pub feeds: usize,
    /// Time for which the feeds are held open.
    pub hold_time: Duration,
    /// Number of bookings to make.
    pub bookings: u64,
    /// Number of manifests to upload.
    pub manifests: u64,
    /// Size of a manifest in bytes.
    pub manifest_bytes: usize,
    /// Concurrent callers for bookings, and as many for manifests.
    pub concurrency: u64,
    /// Prefix of all booking ids.
    pub id_prefix: String,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            settings: Settings::default(),
            direct: None,
            feeds: 0,
            hold_time: Duration::from_secs(10),
            bookings: 0,
            manifests: 0,
            manifest_bytes: 256 * 1024,
            concurrency: 1,
            id_prefix: "booking".to_owned(),
        }
    }
}

impl Load {
    /// Parses the arguments of the process: `--server ADDRESS --certificate FILE`, or
    /// `--direct ADDRESS`; then `--feeds`, `--hold-s`, `--bookings`, `--manifests`,
    /// `--manifest-bytes`, `--concurrency` and `--prefix`.
    ///
    /// # Errors
    ///
    /// Names the missing, malformed or unknown argument.
    pub fn parse(mut arguments: pico_args::Arguments) -> anyhow::Result<Self> {
        let default = Self::default();
        let direct = arguments.opt_value_from_str("--direct")?;
        let mut settings = Settings::default();
        if direct.is_none() {
            settings.server = arguments.value_from_str("--server")?;
            let path: PathBuf = arguments.value_from_str("--certificate")?;
            settings.certificate = certificate::read(&path)?;
        }
        let mut number = |name: &'static str, default: u64| {
            anyhow::Ok(arguments.opt_value_from_str(name)?.unwrap_or(default))
        };
        let load = Self {
            settings,
            direct,
            feeds: usize::try_from(number("--feeds", 0)?)?,
            hold_time: Duration::from_secs(number("--hold-s", default.hold_time.as_secs())?),
            bookings: number("--bookings", 0)?,
            manifests: number("--manifests", 0)?,
            manifest_bytes: usize::try_from(number(
                "--manifest-bytes",
                default.manifest_bytes as u64,
            )?)?,
            concurrency: number("--concurrency", default.concurrency)?.max(1),
            id_prefix: arguments
                .opt_value_from_str("--prefix")?
                .unwrap_or(default.id_prefix),
        };
        let rest = arguments.finish();
        anyhow::ensure!(rest.is_empty(), "unknown arguments {rest:?}");
        Ok(load)
    }

    /// Runs feeds, bookings and manifests concurrently and returns their results.
    ///
    /// # Errors
    ///
    /// If a caller's socket cannot be opened or a direct call fails.
    pub async fn run(&self) -> anyhow::Result<Value> {
        let begun = Instant::now();
        let (feeds, bookings, manifests) = tokio::join!(
            self.hold_feeds(),
            self.run_requests(Kind::Booking, self.bookings),
            self.run_requests(Kind::Manifest, self.manifests),
        );
        Ok(json!({
            "feeds": feeds?,
            "bookings": bookings?,
            "manifests": manifests?,
            "seconds": begun.elapsed().as_secs_f64(),
        }))
    }

    /// Holds the feeds and returns how many broke, with their errors.
    async fn hold_feeds(&self) -> anyhow::Result<Value> {
        let mut feeds = JoinSet::new();
        for _ in 0..self.feeds {
            let client = Client::new(self.settings.clone())?;
            let hold_time = self.hold_time;
            feeds.spawn(async move { hold_feed(&client, hold_time).await });
            sleep(FEED_START_INTERVAL).await;
        }
        let (mut intact, mut lines) = (0_u64, 0);
        let mut errors: BTreeMap<String, u64> = BTreeMap::new();
        while let Some(ended) = feeds.join_next().await {
            match ended? {
                Ok(read) => {
                    intact += 1;
                    lines += read;
                }
                Err(error) => *errors.entry(error.to_string()).or_default() += 1,
            }
        }
        let broken = self.feeds as u64 - intact;
        Ok(json!({ "whole": intact, "broken": broken, "lines": lines, "errors": errors }))
    }

    /// Makes `count` requests and returns their results and the rate.
    async fn run_requests(&self, kind: Kind, count: u64) -> anyhow::Result<Value> {
        let begun = Instant::now();
        let next = Arc::new(AtomicU64::new(0));
        let mut callers = JoinSet::new();
        for _ in 0..self.concurrency.min(count) {
            let caller = self.clone().run_caller(kind, count, Arc::clone(&next));
            callers.spawn(caller);
        }
        let mut summary = Summary::default();
        while let Some(part) = callers.join_next().await {
            summary.merge(part??);
        }
        let mut value = summary.json();
        value["per_second"] = json!(count as f64 / begun.elapsed().as_secs_f64());
        Ok(value)
    }

    /// Runs one caller, which takes the next request number until all are taken.
    async fn run_caller(
        self,
        kind: Kind,
        count: u64,
        next: Arc<AtomicU64>,
    ) -> anyhow::Result<Summary> {
        let mut summary = Summary::default();
        let manifest = Bytes::from(vec![0x5a; self.manifest_bytes]);
        if let Some(upstream) = self.direct {
            let mut direct = DirectConnection::connect(upstream).await?;
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= count {
                    return Ok(summary);
                }
                let (path, body) = match kind {
                    Kind::Booking => ("/bookings", self.booking(number).into()),
                    Kind::Manifest => ("/manifests", manifest.clone()),
                };
                let begun = Instant::now();
                let answer = direct.post(path, body).await?;
                summary.add_direct(&answer, begun.elapsed());
            }
        }
        let mut client = Client::new(self.settings.clone())?;
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= count {
                return Ok(summary);
            }
            let result = match kind {
                Kind::Booking => client.book(&format!("{}-{number}", self.id_prefix)).await,
                Kind::Manifest => client.upload(manifest.clone()).await,
            };
            summary.add(&result);
        }
    }

    fn booking(&self, number: u64) -> String {
        json!({ "booking": format!("{}-{number}", self.id_prefix) }).to_string()
    }
}

/// Holds one feed and returns the number of lines read.
async fn hold_feed(client: &Client, hold_time: Duration) -> Result<u64, Error> {
    let end = Instant::now() + hold_time;
    let mut feed = client.open_feed("/feed").await?;
    while Instant::now() < end {
        feed.read_line(MAX_FEED_SILENCE).await?;
    }
    Ok(feed.lines_read())
}
