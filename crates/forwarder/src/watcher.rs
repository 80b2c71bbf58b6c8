//! Keeps a process up to date with the store: lists keys, then watches them. A balancer watches
//! agents' keys or reads stale listings of them, as its [`Schedule`] says.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    pin::Pin,
    sync::Arc,
    time::Duration,
};

use rand::Rng;
use sassafrasmast_core::flow::{self, Intent, ZoneName};
use sassafrasmast_store::{Changes, Entry, Error, Listing, Position, Range, Revision, Update};
use tokio::{
    sync::{Notify, mpsc, watch},
    task::JoinSet,
    time::Instant,
};

use crate::{
    event::Event,
    hints::Hints,
    membership::{AgentList, Change, Schedule, Source, WatchMonitor},
    peer::{self, View},
    platform::{OperatorChange, Platform},
    position::position,
    registration::Record,
};

/// Base of the exponential backoff after failed calls.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);

/// Longest backoff: a process reconnects within a second after the store has recovered.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);

/// Time after which a watch counts as stable, so that the backoff begins anew. A store that answers
/// listings and refuses watches is not listed without end at the shortest delay.
const STABLE_AFTER: Duration = Duration::from_secs(5);

/// Time after the store has come back from an older copy in which operators' documents are written
/// again. Until then a zone stays out that was out before, whether or not the copy says so. With the
/// time until a process notices, up to 1.6 s, it stays below the 5 s in which a zone that was taken
/// back has to be in use again.
const REWRITE_TIME: Duration = Duration::from_secs(3);

/// Time for which a process that starts after a restore waits for a peer's intent. A process has to
/// take traffic within a second of the store's first answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes of an entry in a listing besides its key and value, which is in base64.
const ENTRY_OVERHEAD_BYTES: u64 = 110;

/// Malformed values that are remembered, so that each is reported once; further ones are only counted.
const MAX_REFUSED: usize = 1_000;

/// Reason for a check of the watch: another call got no reply, so that the watch's may be lost too.
const REPLY_LOST: &str = "no reply to another call";

/// Reason for a check of the watch: another connection or process has shown a later revision.
const LATER_REVISION: &str = "later revision elsewhere";

/// A read of agents' entries that is due later.
type StaleListing = Pin<Box<dyn Future<Output = Result<Listing, Error>> + Send>>;

/// A read of the changes of agents' entries, and when it was begun.
type CatchUp = Pin<Box<dyn Future<Output = (Instant, Result<Changes, Error>)> + Send>>;

/// Lists and watches keys of the store.
#[derive(Debug)]
pub struct Watcher<P> {
    platform: Arc<P>,
    /// Peers that a starting process asks for their intent.
    peers: Vec<SocketAddrV4>,
    intent: Intent,
    events: mpsc::Sender<Event>,
    /// Decides how agents are learned of; `None` in an agent's process, which does not learn of them.
    schedule: Option<Schedule>,
    /// Whether a service has no upstream, as the balancer sees it.
    starved: watch::Receiver<bool>,
    /// Notified when the balancer needs a list of agents that is complete at present.
    list_requests: Arc<Notify>,
    /// Revision up to which a peer knew a change that this process did not.
    peer_changes: watch::Receiver<flow::Revision>,
    /// Decides when a silent watch is checked.
    monitor: WatchMonitor,
    /// The agents' entries.
    agents: AgentList,
    /// Whether the pending watch covers the agents' keys.
    watches_agents: bool,
    /// Consecutive failures.
    failures: u32,
    /// Whether the last call succeeded.
    is_reachable: bool,
    /// Zones that were out when the store came back from an older copy, and until when they stay so.
    zones_kept: Option<(BTreeSet<ZoneName>, Instant)>,
    /// Keys whose values could not be read, with the revision that was reported.
    refused: BTreeMap<String, Revision>,
}

impl<P: Platform> Watcher<P> {
    /// A watcher that sends its events to `events`: on operators' keys, and with a schedule also on
    /// agents' keys.
    pub fn new(
        platform: Arc<P>,
        peers: Vec<SocketAddrV4>,
        schedule: Option<Schedule>,
        hints: &Hints,
        events: mpsc::Sender<Event>,
    ) -> Self {
        Self {
            platform,
            peers,
            intent: Intent::default(),
            events,
            schedule,
            starved: hints.starved.subscribe(),
            list_requests: Arc::clone(&hints.list_requests),
            peer_changes: hints.peer_changes.subscribe(),
            monitor: WatchMonitor::default(),
            agents: AgentList::default(),
            watches_agents: false,
            failures: 0,
            is_reachable: false,
            zones_kept: None,
            refused: BTreeMap::new(),
        }
    }

    /// Runs until the receiver of the events is dropped.
    pub async fn run(mut self) {
        let mut watch_after = None;
        while !self.events.is_closed() {
            if self.update_source().await {
                // Changes since the last stale listing are not known.
                watch_after = None;
            }
            let started_at = Instant::now();
            let result = match watch_after {
                None => self.list().await,
                Some(revision) => self.watch(revision).await,
            };
            if started_at.elapsed() >= STABLE_AFTER {
                self.failures = 0;
            }
            match result {
                Ok(revision) => watch_after = Some(revision),
                Err(error) => {
                    watch_after = None;
                    self.handle_failure(&error).await;
                }
            }
        }
    }

    /// Updates whether agents are watched. Returns whether they are from now on.
    async fn update_source(&mut self) -> bool {
        let is_starved = *self.starved.borrow_and_update();
        let Some(schedule) = &mut self.schedule else {
            return false;
        };
        let now = Instant::now().into_std();
        schedule.set_starved(now, is_starved);
        let source = schedule.source(now);
        let watches_agents = source == Source::Watch;
        if watches_agents == self.watches_agents {
            return false;
        }
        self.watches_agents = watches_agents;
        self.send(Event::AgentSource(source)).await;
        watches_agents
    }

    /// The keys that are listed and watched.
    fn range(&self) -> Range {
        Range::Prefix(if self.watches_agents {
            String::new()
        } else {
            self.platform.operator_prefix().to_owned()
        })
    }

    /// Handles a failed listing or watch; a listing follows.
    async fn handle_failure(&mut self, error: &Error) {
        match error {
            // The store answers, so it need not be spared.
            Error::Restored { .. } => {
                if let Some(schedule) = &mut self.schedule {
                    schedule.regain_store(Instant::now().into_std());
                }
            }
            Error::Compacted { .. } => tokio::time::sleep(RETRY_DELAY_MIN).await,
            _ => self.back_off(error).await,
        }
    }

    /// Lists the keys to watch. Returns the revision after which the watch starts. Without a
    /// configuration document, or if the store lists an older revision, the intent in force stays.
    async fn list(&mut self) -> Result<Revision, Error> {
        let asked_at = Instant::now();
        let listing = self.platform.store().range(self.range()).await?;
        self.mark_reachable().await;
        let mut intent = Intent {
            revision: u64::try_from(listing.revision).unwrap_or(0),
            ..Intent::default()
        };
        let mut has_policy = false;
        for entry in &listing.entries {
            let change = self
                .operator_change(&entry.key, Some(&entry.value), entry.mod_revision)
                .await;
            if let Some(change) = change {
                has_policy |= matches!(change, OperatorChange::Policy { .. });
                apply(&mut intent, change);
            }
        }
        if self.watches_agents {
            self.replace_agents(asked_at, &listing).await;
        }
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
        let mut has_changes = false;
        if has_policy && intent.revision >= self.intent.revision {
            intent.keep_newer_policy(&self.intent);
            has_changes = intent.digest() != self.intent.digest();
            self.intent = intent;
            self.send(Event::Intent(Arc::new(self.intent.clone())))
                .await;
        }
        self.monitor.record_listing(listing.revision, has_changes);
        Ok(listing.revision)
    }

    /// Replaces the list of agents by a listing that is not stale, for which the store was asked at
    /// `asked_at`.
    async fn replace_agents(&mut self, asked_at: Instant, listing: &Listing) {
        let records = self.records(&listing.entries).await;
        let members = records.iter();
        let members = members.map(|(address, record)| record.member(*address));
        self.send(Event::Members(members.collect())).await;
        self.agents.replace(listing.revision, records);
        self.send(Event::MembersConfirmed(asked_at.into_std()))
            .await;
    }

    /// Records that the balancer needs to know all present agents. Returns the source that is due.
    fn record_list_request(&mut self) -> Source {
        let now = Instant::now().into_std();
        match &mut self.schedule {
            Some(schedule) => {
                schedule.record_request(now);
                schedule.source(now)
            }
            None => Source::Watch,
        }
    }

    /// Lists the agents' keys afresh. Returns whether the store replied: the balancer does without
    /// listings that fail.
    ///
    /// # Errors
    ///
    /// When the store has come back from an older copy.
    async fn confirm_agents(&mut self) -> Result<bool, Error> {
        let asked_at = Instant::now();
        match self.platform.store().range(Record::range()).await {
            Ok(listing) => {
                metrics::counter!("sassafrasmast_listings_confirmed", "result" => "confirmed")
                    .increment(1);
                if let Some(schedule) = &mut self.schedule {
                    schedule.record_listing(asked_at.into_std(), bytes(&listing));
                }
                self.replace_agents(asked_at, &listing).await;
                Ok(true)
            }
            Err(error) => {
                metrics::counter!("sassafrasmast_listings_confirmed", "result" => "failed")
                    .increment(1);
                match error {
                    Error::Restored { .. } => Err(error),
                    _ => Ok(!matches!(error, Error::Unreachable(_))),
                }
            }
        }
    }

    /// Reads the changes of agents' entries that the watch has not delivered after `seen`. While the watch
    /// covers these entries as well, its silence does not tell whether there are any: a reply may be
    /// on its way, or lost.
    fn begin_catch_up(&self, seen: Revision) -> CatchUp {
        let store = self.platform.store();
        let known = self.agents.revision().max(seen);
        let asked_at = Instant::now();
        Box::pin(async move { (asked_at, store.read_changes(Record::range(), known).await) })
    }

    /// Applies the changes of agents' entries that were read at `asked_at`, which make the list of
    /// agents complete.
    async fn finish_catch_up(&mut self, asked_at: Instant, changes: Changes) {
        metrics::counter!("sassafrasmast_catch_ups").increment(1);
        for update in changes.updates {
            self.apply_update(update).await;
        }
        self.agents.advance(changes.revision);
        let now = Instant::now().into_std();
        self.monitor.record_position(now, changes.revision);
        self.send(Event::MembersConfirmed(asked_at.into_std()))
            .await;
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

    /// The agents' entries among these by address.
    async fn records(&mut self, entries: &[Entry]) -> BTreeMap<SocketAddrV4, Record> {
        let mut records = BTreeMap::new();
        for entry in entries {
            match read_record(&entry.key, &entry.value) {
                Ok(Some((address, record))) => {
                    records.insert(address, record);
                }
                Ok(None) => {}
                Err(error) => self.reject(&entry.key, entry.mod_revision, &error).await,
            }
        }
        // Entries are in the order of their keys.
        let is_listed = |key: &str| {
            let found = entries.binary_search_by(|entry| entry.key.as_str().cmp(key));
            found.is_ok()
        };
        let operators = self.platform.operator_prefix();
        self.refused
            .retain(|key, _| key.starts_with(operators) || is_listed(key));
        records
    }

    /// Watches for changes after `revision`, and reads stale listings of agents' keys. Returns the last
    /// revision seen when the watch is to be opened again, or an error after which the keys have to be listed again.
    async fn watch(&mut self, revision: Revision) -> Result<Revision, Error> {
        let mut updates = self
            .platform
            .store()
            .watch(self.range(), revision + 1)
            .await?;
        let mut seen = revision;
        let settled_at = self.zones_kept.as_ref().map(|(_, until)| *until);
        let mut stale_listing = self.next_stale_listing();
        let list_requests = Arc::clone(&self.list_requests);
        let mut catch_up: CatchUp = Box::pin(std::future::pending());
        let mut is_catching_up = false;
        loop {
            let source_ends_at = self.schedule.as_ref().and_then(Schedule::watch_ends_at);
            let source_ends_at = source_ends_at.filter(|_| self.watches_agents);
            let check_at = self.monitor.check_at().map(Instant::from_std);
            tokio::select! {
                update = updates.recv() => match update {
                    Some(Ok(update)) => seen = self.handle_update(update).await,
                    Some(Err(error)) => return Err(error),
                    None => return Ok(seen),
                },
                listing = &mut stale_listing => {
                    if !self.handle_stale_listing(listing).await? {
                        return self.check_watch(REPLY_LOST).await;
                    }
                    stale_listing = self.next_stale_listing();
                }
                Ok(()) = self.peer_changes.changed() => self.record_peer_change(),
                () = at(check_at) => return self.check_watch(LATER_REVISION).await,
                // A request that comes during a catch-up is handled after that.
                () = list_requests.notified(), if !is_catching_up => match self.record_list_request() {
                    Source::Watch if self.watches_agents => {
                        catch_up = self.begin_catch_up(seen);
                        is_catching_up = true;
                    }
                    // A listing and a watch of all keys follow.
                    Source::Watch => return Ok(seen),
                    Source::StaleListings => {
                        if !self.confirm_agents().await? {
                            return self.check_watch(REPLY_LOST).await;
                        }
                        stale_listing = self.next_stale_listing();
                    }
                },
                (asked_at, result) = &mut catch_up, if is_catching_up => {
                    is_catching_up = false;
                    match result {
                        Ok(changes) => self.finish_catch_up(asked_at, changes).await,
                        Err(Error::Unreachable(_)) => return self.check_watch(REPLY_LOST).await,
                        Err(Error::Compacted { .. }) => return self.list().await,
                        Err(error) => return Err(error),
                    }
                }
                () = at(settled_at) => return self.list().await,
                // The source of the list of agents may have changed.
                () = at(source_ends_at.map(Instant::from_std)) => return Ok(seen),
                Ok(()) = self.starved.changed(), if self.schedule.is_some() => return Ok(seen),
            }
        }
    }

    /// Records that a peer knew a change that this process did not.
    fn record_peer_change(&mut self) {
        let revision = *self.peer_changes.borrow_and_update();
        let revision = Revision::try_from(revision).unwrap_or(Revision::MAX);
        let now = Instant::now().into_std();
        self.monitor.record_peer_change(now, revision);
    }

    /// Lists the watched keys, since the watch may be silent for `reason` and not because nothing
    /// changes. Returns the revision after which it is opened again.
    async fn check_watch(&mut self, reason: &'static str) -> Result<Revision, Error> {
        let known = Position::unpack(self.monitor.known());
        self.send(Event::WatchChecked { known, reason }).await;
        self.list().await
    }

    /// The next stale listing of agents' keys when it is due. While the watch covers them, it only shows
    /// whether that is silent.
    fn next_stale_listing(&self) -> StaleListing {
        let Some(schedule) = &self.schedule else {
            return Box::pin(std::future::pending());
        };
        let due_at = schedule.listing_due_at().map(Instant::from_std);
        let store = self.platform.store();
        Box::pin(async move {
            tokio::time::sleep_until(due_at.unwrap_or_else(Instant::now)).await;
            store.range_stale(Record::range()).await
        })
    }

    /// Handles the result of a stale listing. Returns whether the store replied.
    ///
    /// # Errors
    ///
    /// When the store is lost or has come back from an older copy.
    async fn handle_stale_listing(
        &mut self,
        result: Result<Listing, Error>,
    ) -> Result<bool, Error> {
        let Some(schedule) = &mut self.schedule else {
            return Ok(true);
        };
        let now = Instant::now().into_std();
        let listing = match result {
            Ok(listing) => listing,
            Err(error) => {
                metrics::counter!("sassafrasmast_stale_listings", "result" => "failed")
                    .increment(1);
                let is_lost = schedule.record_failure(now);
                return if is_lost || matches!(error, Error::Restored { .. }) {
                    Err(error)
                } else {
                    Ok(!matches!(error, Error::Unreachable(_)))
                };
            }
        };
        schedule.record_listing(now, bytes(&listing));
        if self.watches_agents {
            metrics::counter!("sassafrasmast_stale_listings", "result" => "compared").increment(1);
            self.monitor.record_position(now, listing.revision);
            return Ok(true);
        }
        let records = self.records(&listing.entries).await;
        let Some(changes) = self.agents.apply_stale(listing.revision, records) else {
            metrics::counter!("sassafrasmast_stale_listings", "result" => "older").increment(1);
            return Ok(true);
        };
        metrics::counter!("sassafrasmast_stale_listings", "result" => "applied").increment(1);
        if changes.is_empty() {
            self.monitor.record_position(now, listing.revision);
        }
        for change in changes {
            let event = match change {
                Change::Listed(address, record) => Event::Listed(Box::new(record.member(address))),
                Change::Unlisted(address) => Event::Unlisted(address),
            };
            self.send(event).await;
        }
        Ok(true)
    }

    /// Handles one update of the watch. Returns its revision.
    async fn handle_update(&mut self, update: Update) -> Revision {
        let revision = update.revision();
        self.monitor.record_update(revision);
        self.apply_update(update).await;
        revision
    }

    /// Applies a change. Changes of agents' entries that a later read has covered are passed over.
    async fn apply_update(&mut self, update: Update) {
        let revision = update.revision();
        let (key, value) = match &update {
            Update::Put(Entry { key, value, .. }) => (key, Some(value.as_slice())),
            Update::Delete { key, .. } => (key, None),
        };
        match Record::address(key) {
            Ok(Some(address)) => {
                self.apply_entry(key, address, value, revision).await;
                return;
            }
            Ok(None) => {}
            Err(error) => {
                self.reject(key, revision, &error).await;
                return;
            }
        }
        if let Some(change) = self.operator_change(key, value, revision).await {
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
    }

    /// Applies a change of an agent's entry. An entry that cannot be read names no agent.
    async fn apply_entry(
        &mut self,
        key: &str,
        address: SocketAddrV4,
        value: Option<&[u8]>,
        revision: Revision,
    ) {
        if revision < self.agents.revision() {
            return;
        }
        match value.map(Record::decode) {
            Some(Ok(record)) => {
                self.send(Event::Listed(Box::new(record.member(address))))
                    .await;
                self.agents.put(revision, address, record);
                return;
            }
            Some(Err(error)) => self.reject(key, revision, &error).await,
            None => {}
        }
        self.agents.remove(revision, address);
        self.send(Event::Unlisted(address)).await;
    }

    /// The change that an operator's document requests; `None` if the key or value is no document.
    async fn operator_change(
        &mut self,
        key: &str,
        value: Option<&[u8]>,
        revision: Revision,
    ) -> Option<OperatorChange> {
        if !key.starts_with(self.platform.operator_prefix()) {
            return None;
        }
        match self.platform.operator_change(key, value) {
            Ok(Some(OperatorChange::Policy { policy, refused })) => {
                if let Some(first) = refused.first() {
                    let count = refused.len();
                    let error = anyhow::anyhow!("{count} routes or services refused: {first}");
                    self.reject(key, revision, &error).await;
                }
                Some(OperatorChange::Policy { policy, refused })
            }
            Ok(change) => change,
            Err(error) => {
                self.reject(key, revision, &error).await;
                None
            }
        }
    }

    /// Reports once that the value which a key has had since `revision` cannot be read. A listing may not show
    /// the revision of such a value, and states 0 then.
    async fn reject(&mut self, key: &str, revision: Revision, error: &anyhow::Error) {
        metrics::counter!("sassafrasmast_values_refused").increment(1);
        let reported = self.refused.get(key);
        let is_full = self.refused.len() >= MAX_REFUSED && reported.is_none();
        if is_full || reported.is_some_and(|reported| *reported >= revision) {
            return;
        }
        self.refused.insert(key.to_owned(), revision);
        self.send(Event::ValueRejected(format!("{key}: {error:#}")))
            .await;
    }

    async fn mark_reachable(&mut self) {
        if !self.is_reachable {
            self.is_reachable = true;
            if let Some(schedule) = &mut self.schedule {
                schedule.regain_store(Instant::now().into_std());
            }
            self.send(Event::StoreReachable).await;
        }
    }

    /// Waits after a failure with exponential backoff and jitter.
    async fn back_off(&mut self, error: &Error) {
        if self.is_reachable || self.failures == 0 {
            self.is_reachable = false;
            if let Some(schedule) = &mut self.schedule {
                schedule.lose_store();
            }
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

/// Waits until the given time, forever if there is none.
async fn at(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// The agent that an entry names; `None` if the key is not among those of agents.
fn read_record(key: &str, value: &[u8]) -> anyhow::Result<Option<(SocketAddrV4, Record)>> {
    let Some(address) = Record::address(key)? else {
        return Ok(None);
    };
    Ok(Some((address, Record::decode(value)?)))
}

/// Size of a listing on the link, estimated.
fn bytes(listing: &Listing) -> u64 {
    let entries = listing.entries.iter();
    let sizes = entries.map(|entry| {
        let text = entry.key.len() + entry.value.len().div_ceil(3) * 4;
        text as u64 + ENTRY_OVERHEAD_BYTES
    });
    sizes.sum()
}

/// Applies the change of one document to the intent.
fn apply(intent: &mut Intent, change: OperatorChange) {
    match change {
        OperatorChange::Policy { policy, .. } => intent.policy = policy,
        OperatorChange::ZoneOut(zone) => {
            intent.zones_out.insert(zone);
        }
        OperatorChange::ZoneIn(zone) => {
            intent.zones_out.remove(&zone);
        }
    }
}
