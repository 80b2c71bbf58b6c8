//! Whether this process is in touch with the store, and whom it asks instead.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use sassafrasmast_core::flow::Revision;
use tokio::sync::mpsc;

use crate::{follow::Event, peer::Pull};

/// Time after which a process that has not heard from the store asks another one.
const FIRST_ANSWER_WITHIN: Duration = Duration::from_millis(150);

/// How often another process is asked while the store does not answer.
const PULL_EVERY: Duration = Duration::from_millis(300);

/// Time that the watch has to bring a revision that another process has: two slow answers.
const WATCH_LAG: Duration = Duration::from_millis(400);

/// Whether this process is in touch with the store, and whom it asks instead.
#[derive(Debug)]
pub struct Touch {
    pulls: mpsc::Sender<Pull>,
    /// Processes to ask, in turn.
    peers: Vec<SocketAddrV4>,
    turn: usize,
    /// `Some` while the store does not answer.
    lost_since: Option<Instant>,
    /// A process that has a newer revision, and since when it is known.
    ahead: Option<(SocketAddrV4, Revision, Instant)>,
    pulled_at: Option<Instant>,
}

impl Touch {
    /// Out of touch until the store has answered.
    pub fn new(now: Instant, pulls: mpsc::Sender<Pull>, peers: Vec<SocketAddrV4>) -> Self {
        Self {
            pulls,
            peers,
            turn: 0,
            lost_since: Some(now),
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
            Event::Regained => self.lost_since = None,
            Event::Lost(_) => {
                self.lost_since.get_or_insert(now);
            }
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

    /// Asks another process if it is time to.
    pub fn tick(&mut self, now: Instant, own: Revision) {
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
            revision: own,
        };
        if self.pulls.try_send(pull).is_err() {
            metrics::counter!("sassafrasmast_pulls_skipped").increment(1);
        }
    }
}
