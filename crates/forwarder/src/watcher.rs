//! Keeps a process up to date with the store: lists all keys of a range, then watches them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
    time::Duration,
};

use rand::Rng;
use sassafrasmast_core::flow::{Intent, ZoneName};
use sassafrasmast_store::{Entry, Error, Position, Range, Revision, Update};
use tokio::{sync::mpsc, task::JoinSet, time::Instant};

use crate::{
    event::Event,
    peer::{self, View},
    platform::{OperatorChange, Platform},
    position::position,
    registration::Record,
};

/// Base of the exponential backoff after failed calls.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);

/// Longest backoff: a process reconnects within a second after the store has recovered.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);

/// Time after the store has come back from an older copy in which operators' documents are written
/// again. Until then a zone stays out that was out before, whether or not the copy says so. With the
/// time until a process notices, up to 1.6 s, it stays below the 5 s in which a zone that was taken
/// back has to be in use again.
const REWRITE_TIME: Duration = Duration::from_secs(3);

/// Time for which a process that starts after a restore waits for a peer's intent. A process has to
/// take traffic within a second of the store's first answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Lists and watches a range of keys in the store.
#[derive(Debug)]
pub struct Watcher<P> {
    platform: Arc<P>,
    range: Range,
    /// Peers that a starting process asks for their intent.
    peers: Vec<SocketAddrV4>,
    intent: Intent,
    events: mpsc::Sender<Event>,
    /// Consecutive failures.
    failures: u32,
    /// Whether the last call succeeded.
    is_reachable: bool,
    /// Zones that were out when the store came back from an older copy, and until when they stay so.
    zones_kept: Option<(BTreeSet<ZoneName>, Instant)>,
}

impl<P: Platform> Watcher<P> {
    /// A watcher on the keys of `range` that sends its events to `events`.
    pub fn new(
        platform: Arc<P>,
        range: Range,
        peers: Vec<SocketAddrV4>,
        events: mpsc::Sender<Event>,
    ) -> Self {
        Self {
            platform,
            range,
            peers,
            intent: Intent::default(),
            events,
            failures: 0,
            is_reachable: false,
            zones_kept: None,
        }
    }

    /// Runs until the receiver of the events is dropped.
    pub async fn run(mut self) {
        let mut watch_after = None;
        while !self.events.is_closed() {
            let result = match watch_after {
                None => self.list().await,
                Some(revision) => self.watch(revision).await,
            };
            match result {
                Ok(revision) => watch_after = Some(revision),
                Err(error) => {
                    if needs_listing(&error) {
                        watch_after = None;
                    }
                    // The store answers, so it need not be spared.
                    if !matches!(error, Error::Restored { .. }) {
                        self.back_off(&error).await;
                    }
                }
            }
        }
    }

    /// Lists all keys. Returns the revision after which the watch starts. Without a configuration
    /// document, or if the store lists an older revision, the intent in force stays.
    async fn list(&mut self) -> Result<Revision, Error> {
        let listing = self.platform.store().range(self.range.clone()).await?;
        self.mark_reachable().await;
        let mut intent = Intent {
            revision: u64::try_from(listing.revision).unwrap_or(0),
            ..Intent::default()
        };
        let mut has_policy = false;
        let mut members = BTreeMap::new();
        for entry in &listing.entries {
            if let Some(address) = Record::address(&entry.key) {
                match Record::decode(&entry.value) {
                    Ok(record) => {
                        members.insert(address, record.member(address));
                    }
                    Err(error) => self.reject(&entry.key, &error).await,
                }
            } else if let Some(change) = self.operator_change(&entry.key, Some(&entry.value)).await
            {
                has_policy |= matches!(change, OperatorChange::Policy(_));
                apply(&mut intent, change);
            }
        }
        let members = members.into_values().collect();
        self.send(Event::Members(members)).await;
        let is_first = self.intent.revision == 0;
        if is_first && position(&intent).era > 0 {
            self.ask_peers(&intent).await;
        }
        self.note_restore(position(&intent)).await;
        if let Some((zones, _)) = &self.zones_kept {
            intent.zones_out.extend(zones.iter().cloned());
            // Older than the listing, so that the listing counts once the time is over, also if
            // nothing is written until then.
            intent.revision = intent.revision.saturating_sub(1);
        }
        if has_policy && intent.revision >= self.intent.revision {
            intent.keep_newer_policy(&self.intent);
            self.intent = intent;
            self.send(Event::Intent(Arc::new(self.intent.clone())))
                .await;
        }
        Ok(listing.revision)
    }

    /// Asks all peers for their intent, since the first listing may show an older copy that operators
    /// have not written to again. Ends with the first intent, when all peers have answered, or after
    /// `PEER_TIMEOUT`. Zones of the peer's intent that are not out in `listed` are kept out.
    async fn ask_peers(&mut self, listed: &Intent) {
        let mut exchanges = JoinSet::new();
        for &from in &self.peers {
            let request = View::default().request(false);
            exchanges.spawn(async move { (from, peer::fetch(from, request).await) });
        }
        let until = Instant::now() + PEER_TIMEOUT;
        while let Ok(Some(Ok((from, answer)))) =
            tokio::time::timeout_at(until, exchanges.join_next()).await
        {
            match answer {
                Ok(snapshot) => {
                    let intent = snapshot.intent.clone();
                    self.send(Event::Snapshot(from, Box::new(snapshot))).await;
                    if let Some(intent) = intent {
                        self.intent = Intent::clone(&intent);
                        break;
                    }
                }
                Err(error) => {
                    let reason = format!("{error:#}");
                    self.send(Event::PullFailed(from, reason)).await;
                }
            }
        }
        if !self.intent.zones_out.is_subset(&listed.zones_out) {
            self.keep_zones();
        }
    }

    /// Keeps the zones that are out for `REWRITE_TIME`.
    fn keep_zones(&mut self) {
        let until = Instant::now() + REWRITE_TIME;
        self.zones_kept = Some((self.intent.zones_out.clone(), until));
    }

    /// If the listing at `listed` is the first one of a later era, keeps the zones that are out.
    async fn note_restore(&mut self, listed: Position) {
        let before = position(&self.intent);
        let is_known = self.intent.revision > 0;
        if is_known && listed.era > before.era {
            self.keep_zones();
            self.send(Event::StoreRestored {
                from: before,
                to: listed,
            })
            .await;
        } else if self
            .zones_kept
            .as_ref()
            .is_some_and(|(_, until)| Instant::now() >= *until)
        {
            self.zones_kept = None;
        }
    }

    /// Waits until zones are no longer kept out that the store does not list.
    async fn zones_settled(zones_kept: Option<Instant>) {
        match zones_kept {
            Some(until) => tokio::time::sleep_until(until).await,
            None => std::future::pending().await,
        }
    }

    /// Watches for changes after `revision`. Returns the last revision seen when the watch is to be
    /// opened again, or an error after which the keys may have to be listed again.
    async fn watch(&mut self, revision: Revision) -> Result<Revision, Error> {
        let mut updates = self
            .platform
            .store()
            .watch(self.range.clone(), revision + 1)
            .await?;
        let mut seen = revision;
        let settled_at = self.zones_kept.as_ref().map(|(_, until)| *until);
        loop {
            let update = tokio::select! {
                update = updates.recv() => update,
                () = Self::zones_settled(settled_at) => return self.list().await,
            };
            match update {
                Some(Ok(update)) => {
                    self.mark_reachable().await;
                    seen = self.handle_update(update).await;
                }
                Some(Err(error)) if needs_listing(&error) => return Err(error),
                Some(Err(error)) => {
                    self.back_off(&error).await;
                    return Ok(seen);
                }
                None => return Ok(seen),
            }
        }
    }

    /// Handles one update of the watch. Returns its revision.
    async fn handle_update(&mut self, update: Update) -> Revision {
        let (key, value, revision) = match &update {
            Update::Put(Entry {
                key,
                value,
                mod_revision,
                ..
            }) => (key, Some(value.as_slice()), *mod_revision),
            Update::Delete { key, revision } => (key, None, *revision),
        };
        if let Some(address) = Record::address(key) {
            match value.map(Record::decode) {
                Some(Ok(record)) => {
                    self.send(Event::Listed(Box::new(record.member(address))))
                        .await;
                }
                Some(Err(error)) => self.reject(key, &error).await,
                None => self.send(Event::Unlisted(address)).await,
            }
        } else if let Some(change) = self.operator_change(key, value).await {
            let before = self.intent.clone();
            self.intent.revision = u64::try_from(revision).unwrap_or(0);
            if let (OperatorChange::ZoneIn(zone), Some((zones, _))) =
                (&change, &mut self.zones_kept)
            {
                zones.remove(zone);
            }
            apply(&mut self.intent, change);
            self.intent.keep_newer_policy(&before);
            self.send(Event::Intent(Arc::new(self.intent.clone())))
                .await;
        }
        revision
    }

    /// The change that an operator's document requests; `None` if the key or value is no document.
    async fn operator_change(&self, key: &str, value: Option<&[u8]>) -> Option<OperatorChange> {
        if !key.starts_with(self.platform.operator_prefix()) {
            return None;
        }
        match self.platform.operator_change(key, value) {
            Ok(change) => change,
            Err(error) => {
                self.reject(key, &error).await;
                None
            }
        }
    }

    async fn reject(&self, key: &str, error: &anyhow::Error) {
        self.send(Event::ValueRejected(format!("{key}: {error:#}")))
            .await;
    }

    async fn mark_reachable(&mut self) {
        self.failures = 0;
        if !self.is_reachable {
            self.is_reachable = true;
            self.send(Event::StoreReachable).await;
        }
    }

    /// Waits after a failure with exponential backoff and jitter.
    async fn back_off(&mut self, error: &Error) {
        if self.is_reachable || self.failures == 0 {
            self.is_reachable = false;
            self.send(Event::StoreUnreachable(error.to_string())).await;
        }
        self.failures = self.failures.saturating_add(1);
        let delay =
            RETRY_DELAY_MAX.min(RETRY_DELAY_MIN * 2_u32.saturating_pow(self.failures.min(8)));
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(delay.mul_f64(jitter)).await;
    }

    async fn send(&self, event: Event) {
        // The receiver is dropped only when the process ends.
        let _ = self.events.send(event).await;
    }
}

/// Whether the keys have to be listed anew after an error of a watch.
fn needs_listing(error: &Error) -> bool {
    matches!(
        error,
        Error::Compacted { .. } | Error::Restored { .. } | Error::Malformed(_)
    )
}

/// Applies the change of one document to the intent.
fn apply(intent: &mut Intent, change: OperatorChange) {
    match change {
        OperatorChange::Policy(policy) => intent.policy = policy,
        OperatorChange::ZoneOut(zone) => {
            intent.zones_out.insert(zone);
        }
        OperatorChange::ZoneIn(zone) => {
            intent.zones_out.remove(&zone);
        }
    }
}
