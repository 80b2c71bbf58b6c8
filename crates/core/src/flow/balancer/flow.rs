//! A balancer's state of a flow.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::flow::{Head, Reason};

/// Times after the first SYN of a flow at which its client sends the copies, by their number.
const COPY_TIMES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// Time by which a copy of a SYN may be on its way earlier than this balancer's clock tells: the first
/// copy may have waited in a socket's buffer.
const COPY_MARGIN: Duration = Duration::from_millis(50);

/// An agent that was sent the SYN.
#[derive(Debug, Clone, Copy)]
struct SynRecipient {
    agent: SocketAddrV4,
    sent_at: Instant,
    /// Sequence number of the upstream's SYN-ACK, once it has accepted.
    syn_ack_sequence: Option<u32>,
    returned: bool,
}

/// The agent that is taken to be the owner of a flow.
#[derive(Debug, Clone, Copy)]
struct Owner {
    agent: SocketAddrV4,
    /// What the client acknowledged, if the agent is the owner only because no other one is known to
    /// have been sent the SYN; `None` if it is proven. Another balancer may have placed a copy.
    assumed_from: Option<u32>,
}

impl Owner {
    fn proven(agent: SocketAddrV4) -> Self {
        Self {
            agent,
            assumed_from: None,
        }
    }
}

/// A balancer's state of a flow.
#[derive(Debug, Clone)]
pub struct Flow {
    syn_recipients: Vec<SynRecipient>,
    owner: Option<Owner>,
    opened_at: Instant,
    last_packet_at: Instant,
    /// When the client sent its first SYN, as far as the copies that arrived tell.
    first_syn_at: Instant,
    last_copy: u32,
    /// Which copies of the SYN arrived at this balancer, by number.
    seen_copies: [bool; COPY_TIMES.len()],
    /// When the client's first attempt began, if that is known to be an earlier one.
    returning_since: Option<Instant>,
    /// Whether an agent was asked for the client's earlier attempts.
    inquired: bool,
    /// Whether an agent returned the SYN without knowing whether its upstream accepts it.
    may_be_accepted: bool,
    /// Whether the SYN is queued.
    queued: bool,
    /// Whether the client has acknowledged the answer to its first request.
    answered: bool,
}

/// Whether a client that acknowledges this has chosen the SYN-ACK with this sequence number and has
/// received no data since.
fn acknowledges(acknowledgement: u32, syn_ack_sequence: u32) -> bool {
    acknowledgement.wrapping_sub(syn_ack_sequence) <= 1
}

impl Flow {
    /// A flow first seen at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            syn_recipients: Vec::new(),
            owner: None,
            opened_at: now,
            last_packet_at: now,
            first_syn_at: now,
            last_copy: 0,
            seen_copies: [false; COPY_TIMES.len()],
            returning_since: None,
            inquired: false,
            may_be_accepted: false,
            queued: false,
            answered: false,
        }
    }

    /// Records a SYN, which is copy number `copy`.
    pub fn record_syn(&mut self, now: Instant, copy: u32) {
        self.last_packet_at = now;
        self.last_copy = copy;
        let number = usize::try_from(copy).unwrap_or(usize::MAX);
        let (Some(after), Some(seen)) = (COPY_TIMES.get(number), self.seen_copies.get_mut(number))
        else {
            return;
        };
        *seen = true;
        let first_syn_at = now.checked_sub(*after).unwrap_or(now);
        self.first_syn_at = self.first_syn_at.min(first_syn_at);
    }

    /// When the client sent its first SYN, also if that went through another balancer.
    pub fn first_syn_at(&self) -> Instant {
        self.first_syn_at
    }

    /// Time since the client sent its first SYN, also if that went through another balancer.
    pub fn syn_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.first_syn_at)
    }

    /// Whether all copies of the SYN arrived here, so that no other balancer can have opened the
    /// flow.
    pub fn has_all_copies(&self) -> bool {
        self.seen_copies.iter().all(|seen| *seen)
    }

    /// Whether all copies of the SYN arrived here that its client has sent by now, as far as its age
    /// tells, so that no other balancer can have opened the flow.
    pub fn has_sent_copies(&self, now: Instant) -> bool {
        let age = self.syn_age(now) + COPY_MARGIN;
        let mut copies = COPY_TIMES.iter().zip(self.seen_copies);
        copies.all(|(&sent_at, seen)| seen || sent_at > age)
    }

    /// Whether an agent returned the SYN without knowing whether its upstream accepts it.
    pub fn may_be_accepted(&self) -> bool {
        self.may_be_accepted
    }

    /// Records that the client's first attempt began `age` ago.
    pub fn set_request_age(&mut self, now: Instant, age: Duration) {
        self.returning_since = now.checked_sub(age);
    }

    /// When the client's first attempt began, as far as known.
    pub fn first_attempt_at(&self) -> Instant {
        let returning_since = self.returning_since.unwrap_or(self.first_syn_at);
        returning_since.min(self.first_syn_at)
    }

    /// Time since the client's first attempt began, as far as known.
    pub fn request_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.first_attempt_at())
    }

    /// Records that an agent is asked for the client's earlier attempts, and returns whether this was
    /// not done before.
    pub fn begin_inquiry(&mut self) -> bool {
        !std::mem::replace(&mut self.inquired, true)
    }

    /// Whether the SYN is queued.
    pub fn is_queued(&self) -> bool {
        self.queued
    }

    /// Records whether the SYN is queued.
    pub fn set_queued(&mut self, queued: bool) {
        self.queued = queued;
    }

    /// Number of the last copy of the SYN.
    pub fn last_copy(&self) -> u32 {
        self.last_copy
    }

    /// Records a packet of the client.
    pub fn record_packet(&mut self, now: Instant) {
        self.last_packet_at = now;
    }

    /// Agents that were sent the SYN.
    pub fn syn_recipients(&self) -> Vec<SocketAddrV4> {
        self.syn_recipients
            .iter()
            .map(|recipient| recipient.agent)
            .collect()
    }

    /// Records that the SYN is sent to an agent.
    pub fn add_syn_recipient(&mut self, now: Instant, agent: SocketAddrV4) {
        self.syn_recipients.push(SynRecipient {
            agent,
            sent_at: now,
            syn_ack_sequence: None,
            returned: false,
        });
    }

    /// Time since the SYN was sent to an agent whose upstream has not accepted it before.
    pub fn time_to_accept(&self, now: Instant, agent: SocketAddrV4) -> Option<Duration> {
        let mut recipients = self.syn_recipients.iter();
        let recipient = recipients.find(|recipient| recipient.agent == agent)?;
        let is_first = recipient.syn_ack_sequence.is_none();
        is_first.then(|| now.saturating_duration_since(recipient.sent_at))
    }

    /// Records that an agent's upstream accepted the flow with `sequence`.
    pub fn accept(&mut self, agent: SocketAddrV4, sequence: u32) {
        for recipient in &mut self.syn_recipients {
            if recipient.agent == agent {
                recipient.syn_ack_sequence = Some(sequence);
                recipient.returned = false;
            }
        }
        self.owner = self.owner.and_then(|owner| match owner.assumed_from {
            Some(acknowledgement) if owner.agent == agent => {
                acknowledges(acknowledgement, sequence).then(|| Owner::proven(agent))
            }
            _ => Some(owner),
        });
    }

    /// Records that an agent returned the flow's SYN. An upstream that is only silent may have received
    /// it.
    pub fn record_return(&mut self, agent: SocketAddrV4, reason: Reason) {
        self.may_be_accepted |= reason == Reason::Silent;
        for recipient in &mut self.syn_recipients {
            if recipient.agent == agent {
                recipient.returned = true;
            }
        }
    }

    /// Removes the agents that returned the SYN, so that they may be selected again.
    pub fn clear_returned(&mut self) {
        self.syn_recipients.retain(|recipient| !recipient.returned);
    }

    /// Whether all agents that were sent the SYN returned it.
    pub fn all_returned(&self) -> bool {
        self.syn_recipients
            .iter()
            .all(|recipient| recipient.returned)
    }

    /// The first agent whose upstream accepted the flow.
    pub fn accepted_by(&self) -> Option<SocketAddrV4> {
        self.syn_recipients
            .iter()
            .find(|recipient| recipient.syn_ack_sequence.is_some())
            .map(|recipient| recipient.agent)
    }

    /// The owner of the flow, if known.
    pub fn owner(&self) -> Option<SocketAddrV4> {
        self.owner.map(|owner| owner.agent)
    }

    /// Whether the owner is proven: it said so, or the client acknowledged its upstream's SYN-ACK.
    pub fn is_owner_proven(&self) -> bool {
        self.owner.is_some_and(|owner| owner.assumed_from.is_none())
    }

    /// Records that the flow is at this agent's upstream.
    pub fn set_owner(&mut self, agent: SocketAddrV4) {
        self.owner = Some(Owner::proven(agent));
    }

    /// Records that the flow is not at this agent's upstream.
    pub fn clear_owner(&mut self, agent: SocketAddrV4) {
        self.owner = None;
        self.syn_recipients
            .retain(|recipient| recipient.agent != agent);
    }

    /// The owner of the flow. If it is not known yet, it is the agent whose upstream's SYN-ACK the client
    /// acknowledges, or the only one that may have accepted the SYN and has not told its SYN-ACK.
    pub fn resolve_owner(&mut self, head: &Head) -> Option<SocketAddrV4> {
        if self.owner.is_none() {
            let mut recipients = self.syn_recipients.iter();
            let chosen = recipients.find(|recipient| {
                recipient
                    .syn_ack_sequence
                    .is_some_and(|sequence| acknowledges(head.acknowledgement, sequence))
            });
            let mut pending = self
                .syn_recipients
                .iter()
                .filter(|recipient| !recipient.returned);
            self.owner = match (chosen, pending.next(), pending.next()) {
                (Some(chosen), ..) => Some(Owner::proven(chosen.agent)),
                (None, Some(only), None) if only.syn_ack_sequence.is_none() => Some(Owner {
                    agent: only.agent,
                    assumed_from: Some(head.acknowledgement),
                }),
                _ => None,
            };
        }
        self.owner()
    }

    /// If the client's packet is the first one to acknowledge an answer of the flow's owner, the
    /// time since the owner was sent the SYN.
    pub fn take_response_time(&mut self, now: Instant, head: &Head) -> Option<Duration> {
        if self.answered {
            return None;
        }
        let owner = self.owner()?;
        let of_owner = |recipient: &&SynRecipient| recipient.agent == owner;
        let recipient = self.syn_recipients.iter().find(of_owner)?;
        let syn_ack_sequence = recipient.syn_ack_sequence?;
        // The SYN-ACK takes one number.
        self.answered = head.acknowledgement.wrapping_sub(syn_ack_sequence) > 1;
        self.answered
            .then(|| now.saturating_duration_since(recipient.sent_at))
    }

    /// Whether the flow may be removed: it was idle for longer than `idle_timeout`, or is older
    /// than `max_age` plus `idle_timeout`.
    pub fn is_expired(&self, now: Instant, idle_timeout: Duration, max_age: Duration) -> bool {
        now.saturating_duration_since(self.last_packet_at) > idle_timeout
            || now.saturating_duration_since(self.opened_at) > max_age.saturating_add(idle_timeout)
    }
}
