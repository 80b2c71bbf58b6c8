//! Tracks whether the store is reachable, and pulls from peers while it is not or lags behind.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use sassafrasmast_core::flow::Revision;
use tokio::sync::mpsc;

use crate::{event::Event, peer::View, puller::Pull, status};

/// Time for which the store may be unreachable before the process pulls from peers.
const STORE_LOSS_GRACE: Duration = Duration::from_millis(150);

/// Shortest interval between two pulls.
const PULL_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time that the watch may take to deliver a revision that a peer already has; after it,
/// the revision is pulled from the peer. A slow store takes about half of it for one reply.
const MAX_WATCH_LAG: Duration = Duration::from_millis(400);

/// Time after the start of a process in which it asks its peers for the list of agents: some attempts
/// at different peers.
const START_TIME: Duration = Duration::from_secs(2);

/// Age from which the result of a pull is discarded when the next result is recorded. Operators see
/// results in the status; an outage that they look into lasts about that long.
const RESULT_RETENTION: Duration = Duration::from_secs(300);

/// Reachability of the store and state of the pulls from peers.
#[derive(Debug)]
pub struct Fallback {
    pulls: mpsc::Sender<Pull>,
    /// Whether the list of agents is pulled as well while the store is unreachable.
    pulls_members: bool,
    /// Until when a process that has started asks its peers for the list of agents, whether or not the
    /// store answers: agents whose entries were lost may take a renewal to notice that. `None` once a
    /// peer has answered.
    asks_for_members_until: Option<Instant>,
    /// Peers to pull from, in rotation.
    peers: Vec<SocketAddrV4>,
    /// Index of the peer that was pulled from last.
    peer_index: usize,
    /// `Some` while the store is unreachable.
    unreachable_since: Option<Instant>,
    /// Error of the last failed call to the store.
    unreachable_reason: Option<String>,
    /// When the store last became reachable.
    reachable_since: Instant,
    /// Time of the last pull from each peer that has ended, and its error if it failed.
    pull_results: BTreeMap<SocketAddrV4, (Instant, Option<String>)>,
    /// A peer that has a newer revision, that revision, and when it was first seen.
    newer_peer: Option<(SocketAddrV4, Revision, Instant)>,
    pulled_at: Option<Instant>,
}

impl Fallback {
    /// The store counts as unreachable until its first reply.
    pub fn new(
        now: Instant,
        pulls: mpsc::Sender<Pull>,
        pulls_members: bool,
        peers: Vec<SocketAddrV4>,
    ) -> Self {
        Self {
            pulls,
            pulls_members,
            asks_for_members_until: pulls_members.then(|| now + START_TIME),
            peers,
            peer_index: 0,
            unreachable_since: Some(now),
            unreachable_reason: None,
            reachable_since: now,
            pull_results: BTreeMap::new(),
            newer_peer: None,
            pulled_at: None,
        }
    }

    /// Replaces the list of peers.
    pub fn set_peers(&mut self, peers: Vec<SocketAddrV4>) {
        self.peers = peers;
    }

    /// Records what an event says about the store or a peer.
    pub fn handle_event(&mut self, now: Instant, event: &Event) {
        match event {
            Event::StoreReachable => {
                self.unreachable_since = None;
                self.reachable_since = now;
            }
            Event::StoreUnreachable(reason) => {
                self.unreachable_since.get_or_insert(now);
                self.unreachable_reason = Some(reason.clone());
            }
            Event::Snapshot(from, _) => {
                self.asks_for_members_until = None;
                self.record_result(now, *from, None);
            }
            Event::PullFailed(from, reason) => self.record_result(now, *from, Some(reason.clone())),
            _ => {}
        }
    }

    /// Remembers the sender of a frame as newer peer if the frame's revision is newer than the one
    /// in force here.
    pub fn observe_revision(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        peer_revision: Revision,
        own_revision: Revision,
    ) {
        let has_newer_peer = self
            .newer_peer
            .is_some_and(|(_, revision, _)| revision > own_revision);
        if peer_revision > own_revision && !has_newer_peer {
            self.newer_peer = Some((from, peer_revision, now));
        }
    }

    fn record_result(&mut self, now: Instant, from: SocketAddrV4, failure: Option<String>) {
        self.pull_results
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < RESULT_RETENTION);
        self.pull_results.insert(from, (now, failure));
    }

    /// Reachability of the store, for the status.
    pub fn store_status(&self, now: Instant) -> status::Store {
        let since = self.unreachable_since.unwrap_or(self.reachable_since);
        status::Store {
            answers: self.unreachable_since.is_none(),
            since_ms: status::age_ms(now, since),
            reason: self.unreachable_since.and(self.unreachable_reason.clone()),
        }
    }

    /// Results of the last pulls, for the status.
    pub fn peer_statuses(&self, now: Instant) -> Vec<status::Peer> {
        let peer =
            |(address, (at, failure)): (&SocketAddrV4, &(Instant, Option<String>))| status::Peer {
                address: *address,
                heard_ms: status::age_ms(now, *at),
                failure: failure.clone(),
            };
        self.pull_results.iter().map(peer).collect()
    }

    /// Pulls from a peer if that is due.
    pub fn tick(&mut self, now: Instant, view: &View) {
        let own_revision = view.revision();
        if self
            .newer_peer
            .is_some_and(|(_, revision, _)| revision <= own_revision)
        {
            self.newer_peer = None;
        }
        let is_store_lost = self
            .unreachable_since
            .is_some_and(|since| now.saturating_duration_since(since) >= STORE_LOSS_GRACE);
        let has_started = self.asks_for_members_until.is_some_and(|until| now < until);
        let is_pull_due = self
            .pulled_at
            .is_none_or(|at| now.saturating_duration_since(at) >= PULL_INTERVAL);
        if !is_pull_due {
            return;
        }
        let from = match self.newer_peer {
            Some((from, _, since))
                if is_store_lost || now.saturating_duration_since(since) >= MAX_WATCH_LAG =>
            {
                from
            }
            _ if (is_store_lost || has_started) && !self.peers.is_empty() => {
                self.peer_index = (self.peer_index + 1) % self.peers.len();
                self.peers[self.peer_index]
            }
            _ => return,
        };
        self.pulled_at = Some(now);
        let pull = Pull {
            from,
            request: view.request(has_started || self.pulls_members && is_store_lost),
        };
        if self.pulls.try_send(pull).is_err() {
            metrics::counter!("sassafrasmast_pulls_skipped").increment(1);
        }
    }
}
