//! Whether this process is in touch with the store, and whom it asks instead.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use sassafrasmast_core::flow::Revision;
use tokio::sync::mpsc;

use crate::{
    follow::Event,
    peer::{Known, Pull},
    status,
};

/// Time after which a process that has not heard from the store asks another one.
const FIRST_ANSWER_WITHIN: Duration = Duration::from_millis(150);

/// How often another process is asked while the store does not answer.
const PULL_EVERY: Duration = Duration::from_millis(300);

/// Time that the watch has to bring a revision that another process has: two slow answers.
const WATCH_LAG: Duration = Duration::from_millis(400);

/// How long operators are told of a question to another process: the time of an outage that they
/// look into.
const ANSWERS_KEPT: Duration = Duration::from_secs(300);

/// Whether this process is in touch with the store, and whom it asks instead.
#[derive(Debug)]
pub struct Touch {
    pulls: mpsc::Sender<Pull>,
    /// Whether this process takes the list of agents from others while the store is lost.
    takes_members: bool,
    /// Processes to ask, in turn.
    peers: Vec<SocketAddrV4>,
    turn: usize,
    /// `Some` while the store does not answer.
    lost_since: Option<Instant>,
    /// Why it does not answer.
    lost_reason: Option<String>,
    /// When the store last began to answer.
    regained_at: Instant,
    /// What became of the last question to each process, and when.
    answers: BTreeMap<SocketAddrV4, (Instant, Option<String>)>,
    /// A process that has a newer revision, and since when it is known.
    ahead: Option<(SocketAddrV4, Revision, Instant)>,
    pulled_at: Option<Instant>,
}

impl Touch {
    /// Out of touch until the store has answered.
    pub fn new(
        now: Instant,
        pulls: mpsc::Sender<Pull>,
        takes_members: bool,
        peers: Vec<SocketAddrV4>,
    ) -> Self {
        Self {
            pulls,
            takes_members,
            peers,
            turn: 0,
            lost_since: Some(now),
            lost_reason: None,
            regained_at: now,
            answers: BTreeMap::new(),
            ahead: None,
            pulled_at: None,
        }
    }

    /// Asks these processes from now on.
    pub fn set_peers(&mut self, peers: Vec<SocketAddrV4>) {
        self.peers = peers;
    }

    /// Notes what an event says of the store.
    pub fn note(&mut self, now: Instant, event: &Event) {
        match event {
            Event::Regained => {
                self.lost_since = None;
                self.regained_at = now;
            }
            Event::Lost(reason) => {
                self.lost_since.get_or_insert(now);
                self.lost_reason = Some(reason.clone());
            }
            Event::Peer(from, _) => self.note_answer(now, *from, None),
            Event::PeerFailed(from, reason) => self.note_answer(now, *from, Some(reason.clone())),
            _ => {}
        }
    }

    /// A frame told that its sender has `theirs` in force, while `own` is in force here.
    pub fn compare(&mut self, now: Instant, from: SocketAddrV4, theirs: Revision, own: Revision) {
        let known = self.ahead.is_some_and(|(_, revision, _)| revision > own);
        if theirs > own && !known {
            self.ahead = Some((from, theirs, now));
        }
    }

    fn note_answer(&mut self, now: Instant, from: SocketAddrV4, failure: Option<String>) {
        self.answers
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < ANSWERS_KEPT);
        self.answers.insert(from, (now, failure));
    }

    /// Touch with the store, as operators see it.
    pub fn store(&self, now: Instant) -> status::Store {
        let since = self.lost_since.unwrap_or(self.regained_at);
        status::Store {
            answers: self.lost_since.is_none(),
            since_ms: status::age_ms(now, since),
            reason: self.lost_since.and(self.lost_reason.clone()),
        }
    }

    /// Touch with the processes that were asked, as operators see it.
    pub fn peers(&self, now: Instant) -> Vec<status::Peer> {
        let peer =
            |(address, (at, failure)): (&SocketAddrV4, &(Instant, Option<String>))| status::Peer {
                address: *address,
                heard_ms: status::age_ms(now, *at),
                failure: failure.clone(),
            };
        self.answers.iter().map(peer).collect()
    }

    /// Asks another process if it is time to.
    pub fn tick(&mut self, now: Instant, known: &Known) {
        let own = known.revision();
        if self.ahead.is_some_and(|(_, revision, _)| revision <= own) {
            self.ahead = None;
        }
        let is_lost = self
            .lost_since
            .is_some_and(|since| now.saturating_duration_since(since) >= FIRST_ANSWER_WITHIN);
        let pause_over = self
            .pulled_at
            .is_none_or(|at| now.saturating_duration_since(at) >= PULL_EVERY);
        if !pause_over {
            return;
        }
        let from = match self.ahead {
            Some((from, _, since))
                if is_lost || now.saturating_duration_since(since) >= WATCH_LAG =>
            {
                from
            }
            _ if is_lost && !self.peers.is_empty() => {
                self.turn = (self.turn + 1) % self.peers.len();
                self.peers[self.turn]
            }
            _ => return,
        };
        self.pulled_at = Some(now);
        let pull = Pull {
            from,
            question: known.question(self.takes_members && is_lost),
        };
        if self.pulls.try_send(pull).is_err() {
            metrics::counter!("sassafrasmast_pulls_skipped").increment(1);
        }
    }
}
