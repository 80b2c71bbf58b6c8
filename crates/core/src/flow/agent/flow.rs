//! A flow as an agent sees it.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::flow::Head;

/// How long a closed flow is remembered, for repeated packets of both ends.
const CLOSED_FOR: Duration = Duration::from_secs(4);

/// Sequence numbers that are less than this ahead are newer, others older.
const HALF_OF_NUMBERS: u32 = 1 << 31;

/// Time from a flow's opening packet until its first request is there: two round trips.
const FIRST_REQUEST_WITHIN: Duration = Duration::from_millis(100);

/// Where a flow stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The upstream was given the opening packet.
    Opening,
    /// The upstream has accepted it; the client has not chosen yet.
    Accepted,
    /// The upstream holds it.
    Open,
    /// The agent is younger than the flow and does not know whether its upstream holds it.
    Unsure,
    /// The upstream gave the opening packet back. Its later packets would be strange to it.
    Refused,
}

/// A flow as an agent sees it.
#[derive(Debug, Clone)]
pub struct Flow {
    phase: Phase,
    since: Instant,
    seen_at: Instant,
    /// The balancer that sent the opening packet.
    opener: Option<SocketAddrV4>,
    /// The balancer that sent the last packet.
    sender: Option<SocketAddrV4>,
    /// A balancer that waits to hear whether the flow is here.
    asker: Option<SocketAddrV4>,
    /// The packet that the upstream has not answered yet.
    kept: Option<Box<[u8]>>,
    /// Sequence number of the upstream's reply to the opening packet.
    accepted: Option<u32>,
    acknowledgement: u32,
    /// When the client last sent new data that the upstream has not answered.
    asked_at: Option<Instant>,
    /// Where the client's data ends so far; repetitions of it ask for nothing new.
    client_data_end: Option<u32>,
    client_done: bool,
    upstream_done: bool,
}

impl Flow {
    fn new(now: Instant, phase: Phase) -> Self {
        Self {
            phase,
            since: now,
            seen_at: now,
            opener: None,
            sender: None,
            asker: None,
            kept: None,
            accepted: None,
            acknowledgement: 0,
            asked_at: None,
            client_data_end: None,
            client_done: false,
            upstream_done: false,
        }
    }

    /// A flow whose opening packet goes to the upstream.
    pub fn opening(now: Instant, from: SocketAddrV4, packet: &[u8]) -> Self {
        Self {
            opener: Some(from),
            sender: Some(from),
            kept: Some(packet.into()),
            ..Self::new(now, Phase::Opening)
        }
    }

    /// A flow that only the upstream can tell of.
    pub fn unsure(now: Instant, from: SocketAddrV4, packet: &[u8]) -> Self {
        Self {
            sender: Some(from),
            kept: Some(packet.into()),
            ..Self::new(now, Phase::Unsure)
        }
    }

    /// A flow first seen by a packet of the upstream.
    pub fn of_upstream(now: Instant, head: &Head) -> Self {
        let phase = if head.flags.syn {
            Phase::Accepted
        } else {
            Phase::Open
        };
        Self {
            accepted: head.flags.syn.then_some(head.sequence),
            ..Self::new(now, phase)
        }
    }

    /// Where the flow stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The balancer that sent the opening packet.
    pub fn opener(&self) -> Option<SocketAddrV4> {
        self.opener
    }

    /// The upstream gave the opening packet back.
    pub fn refuse(&mut self, now: Instant) {
        self.phase = Phase::Refused;
        self.since = now;
        self.kept = None;
    }

    /// Notes that a copy of the opening packet came from a balancer.
    pub fn set_opener(&mut self, from: SocketAddrV4) {
        self.opener = Some(from);
    }

    /// The balancer that sent the last packet.
    pub fn sender(&self) -> SocketAddrV4 {
        self.sender
            .unwrap_or(SocketAddrV4::new([0, 0, 0, 0].into(), 0))
    }

    /// Notes that a balancer waits to hear whether the flow is here.
    pub fn ask(&mut self, from: SocketAddrV4) {
        self.asker = Some(from);
    }

    /// The balancer that waits to hear whether the flow is here.
    pub fn take_asker(&mut self) -> Option<SocketAddrV4> {
        self.asker.take()
    }

    /// The packet that the upstream has not answered, if it is still kept.
    pub fn take_kept(&mut self) -> Option<Box<[u8]>> {
        self.kept.take()
    }

    /// The client's last acknowledged number.
    pub fn acknowledgement(&self) -> u32 {
        self.acknowledgement
    }

    /// Whether the client has chosen another upstream's reply.
    pub fn refutes(&self, acknowledgement: u32) -> bool {
        match (self.phase, self.accepted) {
            (Phase::Accepted, Some(sequence)) => acknowledgement.wrapping_sub(sequence) > 1,
            (Phase::Opening | Phase::Refused, _) => true,
            _ => false,
        }
    }

    /// Notes a packet of the client.
    pub fn client_packet(&mut self, now: Instant, from: SocketAddrV4, head: &Head) {
        self.seen_at = now;
        self.sender = Some(from);
        self.acknowledgement = head.acknowledgement;
        if self.phase == Phase::Accepted {
            self.phase = Phase::Open;
        }
        let end = head.sequence.wrapping_add(u32::from(head.data_len));
        let is_new = self
            .client_data_end
            .is_none_or(|known| end.wrapping_sub(known) < HALF_OF_NUMBERS && end != known);
        if head.data_len > 0 && is_new {
            self.asked_at = Some(now);
            self.client_data_end = Some(end);
        }
        self.client_done |= head.flags.fin || head.flags.rst;
    }

    /// Notes a packet of the upstream.
    pub fn upstream_packet(&mut self, now: Instant, head: &Head) {
        self.seen_at = now;
        if head.flags.syn {
            self.accepted = Some(head.sequence);
            self.kept = None;
            if self.phase == Phase::Opening {
                self.phase = Phase::Accepted;
            }
        } else if self.phase == Phase::Unsure {
            self.phase = Phase::Open;
            self.kept = None;
        }
        if head.data_len > 0 {
            self.asked_at = None;
        }
        self.upstream_done |= head.flags.fin || head.flags.rst;
    }

    /// Whether either end has closed its side.
    pub fn is_closing(&self) -> bool {
        self.client_done || self.upstream_done
    }

    /// Whether a request waits for its answer, or is about to come on a new flow.
    pub fn is_busy(&self, now: Instant, at_most: Duration) -> bool {
        if self.is_closing() {
            return false;
        }
        let is_new = matches!(self.phase, Phase::Opening | Phase::Accepted)
            && self.is_younger_than(now, FIRST_REQUEST_WITHIN);
        is_new
            || self
                .asked_at
                .is_some_and(|at| now.saturating_duration_since(at) < at_most)
    }

    /// Time since the flow began.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Whether the flow began less than `age` ago.
    pub fn is_younger_than(&self, now: Instant, age: Duration) -> bool {
        self.age(now) < age
    }

    /// Whether the flow may be forgotten.
    pub fn is_over(&self, now: Instant, idle: Duration) -> bool {
        let quiet = now.saturating_duration_since(self.seen_at);
        quiet > idle || (self.client_done && self.upstream_done && quiet > CLOSED_FOR)
    }
}
