//! An incarnation of the upstream that may have followed the one in force.

use std::time::Instant;

use super::{Announcement, Confirmation};
use crate::flow::deadline;

/// An incarnation of the upstream that announces itself beside the one in force. Either the upstream has
/// restarted, or the announcements are late. Start times cannot tell, as the clock may be set at any time;
/// that it goes on announcing itself while the other one is silent does, since only one of them runs
/// beside the agent.
#[derive(Debug)]
pub struct Successor {
    announcement: Announcement,
    last_at: Instant,
    confirmation: Confirmation,
    /// Announcements of others since its last one.
    contradiction: Option<Confirmation>,
    /// Whether the incarnation was in force before, so that it is late unless it is confirmed.
    is_former: bool,
}

impl Successor {
    /// A successor with its first announcement.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use sassafrasmast_core::flow::agent::{Announcement, Successor};
    /// let announcement = Announcement {
    ///     id: "i-1".into(),
    ///     incarnation: 2_600,
    ///     sequence: 1,
    ///     draining: true,
    ///     slots: 5,
    ///     cold_left: Duration::ZERO,
    /// };
    /// let successor = Successor::new(Instant::now(), &announcement, false);
    /// assert!(successor.is_draining() && !successor.is_confirmed());
    /// ```
    pub fn new(now: Instant, announcement: &Announcement, is_former: bool) -> Self {
        Self {
            announcement: announcement.clone(),
            last_at: now,
            confirmation: Confirmation::new(now),
            contradiction: None,
            is_former,
        }
    }

    /// Records a further announcement of the same incarnation.
    pub fn record(&mut self, now: Instant, announcement: &Announcement) {
        if announcement.sequence <= self.announcement.sequence {
            return;
        }
        self.announcement = announcement.clone();
        self.last_at = now;
        match self.contradiction.take() {
            Some(_) => self.confirmation = Confirmation::new(now),
            None => self.confirmation.record(now),
        }
    }

    /// Records an announcement of another incarnation. It may be the late one itself, so that what this
    /// incarnation announced holds until the others are proven to run. Returns whether they are.
    pub fn contradict(&mut self, now: Instant) -> bool {
        match &mut self.contradiction {
            Some(contradiction) => contradiction.record(now),
            None => self.contradiction = Some(Confirmation::new(now)),
        }
        self.contradiction
            .is_some_and(|contradiction| contradiction.is_complete())
    }

    /// Whether its last announcement is later than those of the others.
    pub fn is_last(&self) -> bool {
        self.contradiction.is_none()
    }

    /// The last announcement.
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// When the last announcement arrived.
    pub fn last_at(&self) -> Instant {
        self.last_at
    }

    /// The announcements that count as proof.
    pub fn confirmation(&self) -> Confirmation {
        self.confirmation
    }

    /// Whether the announcements prove that this incarnation runs.
    pub fn is_confirmed(&self) -> bool {
        self.confirmation.is_complete()
    }

    /// Whether the incarnation was in force before.
    pub fn is_former(&self) -> bool {
        self.is_former
    }

    /// Records that an upstream of this name has deregistered, so that it takes no new flows.
    pub fn leave(&mut self) {
        self.announcement.draining = true;
    }

    /// Whether the upstream takes no new flows, if it is this incarnation that runs.
    pub fn is_draining(&self) -> bool {
        !self.is_former && self.announcement.draining
    }

    /// Until when the upstream is cold, if it is this incarnation that runs.
    pub fn cold_until(&self) -> Option<Instant> {
        (!self.is_former).then(|| deadline(self.last_at, self.announcement.cold_left))
    }
}
