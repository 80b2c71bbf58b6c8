//! An agent's state of its upstream.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use sassafrasmast_wire::Incarnation;

use super::{Announcement, Confirmation, Successor};
use crate::flow::{State, deadline};

/// Interval at which a silent upstream is sent one SYN, to detect whether it answers again.
const SILENT_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Consecutive SYNs without an answer after which the upstream counts as silent. A single one may
/// have been lost on the way.
const SILENT_AFTER_LOST_SYNS: u32 = 2;

/// Shortest time without an announcement after which the upstream is taken to have ended: two of the
/// platform's intervals of 1.2 s and their delays.
const MIN_ENDED_AFTER: Duration = Duration::from_secs(3);

/// The same as a multiple of the last interval between announcements, for slower upstreams.
const MISSED_INTERVALS: u32 = 3;

/// Time without SYNs after the upstream has bounced one: its queue is full, and a few requests end
/// in that time. Doubles with each further bounce, since an upstream that is starting or has ended
/// bounces all SYNs.
const MIN_SHED_PAUSE: Duration = Duration::from_millis(20);

/// Longest time without SYNs after a bounce: an upstream that has started is found soon.
const MAX_SHED_PAUSE: Duration = Duration::from_millis(640);

/// Requests per slot that an upstream is taken to queue until a bounce shows its queue.
const INITIAL_QUEUE_PER_SLOT: usize = 2;

/// Earlier incarnations that are remembered, so that their late announcements are recognized. Those of
/// still earlier ones count as announcements of an unknown incarnation.
const MAX_FORMER: usize = 8;

/// Open flows of which the upstream bounces a packet that prove a restart: it has forgotten them. A single
/// one may have been discarded for another reason, such as its age.
const PROVING_LOST_FLOWS: u32 = 2;

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing that balancers need to know at once.
    Nothing,
    /// The announcement was out of order or of an earlier incarnation, and was ignored.
    Stale,
    /// It is of another incarnation, which is in force once it is proven to run. Until then the upstream
    /// gets new flows only if both incarnations take them.
    Unconfirmed,
    /// It is the first one that this agent received.
    First,
    /// The upstream has restarted.
    Restarted,
    /// The upstream has begun to drain.
    Draining,
    /// The upstream has deregistered.
    Left,
}

/// An agent's state of its upstream.
#[derive(Debug, Default)]
pub struct Upstream {
    id: String,
    incarnation: Incarnation,
    sequence: u64,
    slots: u16,
    draining: bool,
    gone: bool,
    cold_until: Option<Instant>,
    /// Whether it may have become cold since its last announcement.
    may_be_cold: bool,
    announced_from_start: bool,
    /// Flows that were opened before this time were those of the incarnation before, which has ended.
    lost_before: Option<Instant>,
    /// Open flows that the upstream has forgotten since the last announcement.
    lost_flows: u32,
    /// The announcements of the incarnation; `None` before the first.
    confirmation: Option<Confirmation>,
    /// Another incarnation that announces itself.
    successor: Option<Successor>,
    /// Earlier incarnations with their names, the latest last.
    former: VecDeque<(String, Incarnation)>,
    consecutive_lost_syns: u32,
    syn_sent_at: Option<Instant>,
    /// SYNs that were bounced since the upstream last accepted one.
    consecutive_bounces: u32,
    bounced_at: Option<Instant>,
    /// Requests that the upstream queues beside those in its slots, as far as its bounces show.
    queue: Option<usize>,
    last_contact_at: Option<Instant>,
    announced_at: Option<Instant>,
    /// Time between the last two announcements.
    announcement_interval: Duration,
}

impl Upstream {
    /// The upstream's incarnation, 0 before its first announcement.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The upstream's name, empty before its first announcement.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Requests that the upstream processes concurrently.
    pub fn slots(&self) -> u16 {
        self.slots
    }

    /// Whether the upstream has deregistered.
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// Whether this agent process received the first announcement of this incarnation or noticed
    /// the restart to it, and so has observed all its flows.
    pub fn is_announced_from_start(&self) -> bool {
        self.announced_from_start
    }

    /// Whether the announcements prove that the incarnation in force runs.
    fn is_confirmed(&self) -> bool {
        self.confirmation
            .is_some_and(|confirmation| confirmation.is_complete())
    }

    /// The upstream's state at `now`.
    pub fn state(&self, now: Instant) -> State {
        let successor = self.successor.as_ref();
        let is_successor_draining = successor.is_some_and(Successor::is_draining);
        let cold_until = self
            .cold_until
            .max(successor.and_then(Successor::cold_until));
        if self.gone {
            State::Gone
        } else if self.draining || is_successor_draining {
            State::Draining
        } else if self.consecutive_lost_syns >= SILENT_AFTER_LOST_SYNS {
            State::Silent
        } else if self.incarnation == 0 {
            State::Unknown
        } else if self.may_be_cold || cold_until.is_some_and(|until| now < until) {
            State::Cold
        } else {
            State::Ready
        }
    }

    /// Flows that were opened before this time are lost: they were those of an incarnation that has ended.
    pub fn lost_before(&self) -> Option<Instant> {
        self.lost_before
    }

    /// Applies an announcement and returns what changed.
    pub fn apply_announcement(&mut self, now: Instant, announcement: &Announcement) -> Change {
        let is_in_force =
            announcement.incarnation == self.incarnation && announcement.id == self.id;
        if self.incarnation == 0 {
            self.announced_from_start = announcement.sequence <= 1;
            self.accept(now, announcement);
            Change::First
        } else if !is_in_force {
            self.apply_other(now, announcement)
        } else if announcement.sequence <= self.sequence {
            Change::Stale
        } else {
            self.successor
                .take_if(|successor| successor.contradict(now));
            let starts_draining = announcement.draining && !self.draining;
            self.accept(now, announcement);
            if starts_draining {
                Change::Draining
            } else {
                Change::Nothing
            }
        }
    }

    /// Applies an announcement of another incarnation than the one in force. It may be late, whatever its
    /// start: the clock may be set between two starts.
    fn apply_other(&mut self, now: Instant, announcement: &Announcement) -> Change {
        match &mut self.successor {
            Some(known) if known.announcement().is_same_upstream(announcement) => {
                known.record(now, announcement);
            }
            successor => {
                let mut former = self.former.iter();
                let is_former = former.any(|(id, incarnation)| {
                    *incarnation == announcement.incarnation && *id == announcement.id
                });
                let is_kept = |known: &mut Successor| {
                    is_former && !known.is_former() && !known.contradict(now)
                };
                if successor.as_mut().is_some_and(is_kept) {
                    return Change::Stale;
                }
                *successor = Some(Successor::new(now, announcement, is_former));
            }
        }
        if self.replace_if_proven() {
            return Change::Restarted;
        }
        match &self.successor {
            Some(successor) if successor.is_former() => Change::Stale,
            _ => Change::Unconfirmed,
        }
    }

    /// Puts the other incarnation that announces itself in force if the one in force has ended: it has
    /// deregistered, the upstream has forgotten its flows, or only the other one still announces itself.
    fn replace_if_proven(&mut self) -> bool {
        let has_lost_flows = self.lost_flows >= PROVING_LOST_FLOWS;
        let has_ended = self.gone || has_lost_flows;
        let is_proven = |successor: &mut Successor| {
            successor.is_confirmed() || has_ended && !successor.is_former() && successor.is_last()
        };
        let Some(successor) = self.successor.take_if(is_proven) else {
            return false;
        };
        if self.former.len() >= MAX_FORMER {
            self.former.pop_front();
        }
        let id = std::mem::take(&mut self.id);
        self.former.push_back((id, self.incarnation));
        let announcement = successor.announcement();
        let was_confirmed = self.is_confirmed();
        // The incarnation before ran beside this process, or the first announcement was received.
        self.announced_from_start = was_confirmed || has_lost_flows || announcement.sequence <= 1;
        // An announcement is sent after the one before it has arrived, so that the incarnation ran then.
        let ran_at = self
            .announced_at
            .and_then(|at| at.checked_sub(self.announcement_interval));
        self.lost_before = ran_at.filter(|_| was_confirmed);
        self.confirmation = Some(successor.confirmation());
        self.announced_at = None;
        self.consecutive_bounces = 0;
        self.bounced_at = None;
        self.queue = None;
        self.gone = false;
        self.accept(successor.last_at(), announcement);
        true
    }

    /// Records that the upstream bounced a packet of a flow that it held. Returns whether that proves a
    /// restart that was announced.
    pub fn record_lost_flow(&mut self) -> bool {
        self.lost_flows = self.lost_flows.saturating_add(1);
        self.replace_if_proven()
    }

    /// Stores what the incarnation in force announces.
    fn accept(&mut self, now: Instant, announcement: &Announcement) {
        self.confirmation
            .get_or_insert(Confirmation::new(now))
            .record(now);
        self.lost_flows = 0;
        self.last_contact_at = Some(now);
        self.consecutive_lost_syns = 0;
        if let Some(before) = self.announced_at.replace(now) {
            self.announcement_interval = now.saturating_duration_since(before);
        }
        self.id.clone_from(&announcement.id);
        self.incarnation = announcement.incarnation;
        self.sequence = announcement.sequence;
        self.slots = announcement.slots;
        self.draining = announcement.draining;
        self.may_be_cold = false;
        self.cold_until =
            (!announcement.cold_left.is_zero()).then(|| deadline(now, announcement.cold_left));
    }

    /// Takes the upstream for cold until its next announcement.
    pub fn suspect_cold(&mut self) {
        self.may_be_cold = true;
    }

    /// Applies the deregistration of the upstream named `id`. An upstream may start again under its name, so
    /// that one which states another incarnation is late.
    pub fn apply_deregistration(&mut self, id: &str, incarnation: Option<Incarnation>) -> Change {
        let is_of = |name: &str, started| {
            name == id && incarnation.is_none_or(|incarnation| incarnation == started)
        };
        if is_of(&self.id, self.incarnation) {
            self.gone = true;
            return Change::Left;
        }
        match &mut self.successor {
            Some(successor)
                if is_of(
                    &successor.announcement().id,
                    successor.announcement().incarnation,
                ) =>
            {
                successor.leave();
                Change::Unconfirmed
            }
            _ => Change::Stale,
        }
    }

    /// Records a packet from the upstream.
    pub fn record_packet(&mut self, now: Instant) {
        self.last_contact_at = Some(now);
        self.consecutive_lost_syns = 0;
    }

    /// Whether announcements are missing for so long that the upstream has ended, for an agent that
    /// has listened since `listening_since`. Packets are no sign of life here: an upstream of a VM
    /// that is being removed still bounces what it does not know.
    pub fn has_stopped_announcing(&self, now: Instant, listening_since: Instant) -> bool {
        let successor = self.successor.as_ref().map(Successor::last_at);
        let last = self.announced_at.max(successor);
        let last = last.unwrap_or(listening_since);
        let allowed = MIN_ENDED_AFTER.max(self.announcement_interval * MISSED_INTERVALS);
        now.saturating_duration_since(last) >= allowed
    }

    /// Records that the upstream bounced a SYN. Bounces of SYNs that were sent before an earlier
    /// bounce arrived tell nothing new.
    pub fn record_bounce(&mut self, now: Instant) {
        if !self.is_shedding(now) {
            self.consecutive_bounces = self.consecutive_bounces.saturating_add(1);
            self.bounced_at = Some(now);
        }
    }

    /// Records that the upstream bounced a SYN while `busy` other flows were busy. A bounce by an
    /// upstream with a free slot has another reason than its queue.
    pub fn record_full(&mut self, busy: usize) {
        let slots = usize::from(self.slots);
        if slots > 0 && busy >= slots {
            let shown = busy - slots;
            self.queue = Some(self.queue.map_or(shown, |queue| queue.min(shown)));
        }
    }

    /// Busy flows that the upstream bears: those in its slots and its queue.
    pub fn bearable(&self) -> usize {
        let slots = usize::from(self.slots);
        slots + self.queue.unwrap_or(slots * INITIAL_QUEUE_PER_SLOT)
    }

    /// Records that the upstream accepted a SYN.
    pub fn record_acceptance(&mut self) {
        self.consecutive_bounces = 0;
    }

    /// Whether the upstream has bounced a SYN so recently that it gets no other one.
    pub fn is_shedding(&self, now: Instant) -> bool {
        let doublings = self.consecutive_bounces.saturating_sub(1);
        let pause = MIN_SHED_PAUSE
            .saturating_mul(2_u32.saturating_pow(doublings))
            .min(MAX_SHED_PAUSE);
        self.bounced_at
            .is_some_and(|at| now.saturating_duration_since(at) < pause)
    }

    /// Records a SYN to the upstream.
    pub fn syn_sent(&mut self, now: Instant) {
        self.syn_sent_at = Some(now);
    }

    /// Records a SYN that was neither answered nor bounced in time.
    pub fn syn_lost(&mut self, now: Instant) {
        let contacted_since = self
            .last_contact_at
            .is_some_and(|at| now.saturating_duration_since(at) < super::SYN_TIMEOUT);
        if !contacted_since {
            self.consecutive_lost_syns = self.consecutive_lost_syns.saturating_add(1);
        }
    }

    /// Whether a silent upstream may be sent another SYN.
    pub fn may_retry(&self, now: Instant) -> bool {
        self.syn_sent_at
            .is_none_or(|at| now.saturating_duration_since(at) >= SILENT_RETRY_INTERVAL)
    }
}
