//! An agent's state of a flow.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::flow::Head;

/// Retention of a closed flow, for retransmissions of both ends.
const CLOSED_RETENTION: Duration = Duration::from_secs(4);

/// Half of the sequence number space: numbers that are less than this ahead are newer, others are
/// older.
const HALF_SEQUENCE_SPACE: u32 = 1 << 31;

/// Time after its SYN in which a flow without a request counts as busy, since its first request is
/// about to arrive: two round trips.
const MAX_FIRST_REQUEST_DELAY: Duration = Duration::from_millis(100);

/// Sequence number after a packet's data.
fn data_end(head: &Head) -> u32 {
    head.sequence.wrapping_add(u32::from(head.data_len))
}

/// Phase of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The SYN was passed to the upstream.
    Opening,
    /// The upstream sent a SYN-ACK; the client has not acknowledged it yet.
    Accepted,
    /// The flow is open at the upstream.
    Open,
    /// The agent has started after the flow and does not know whether its upstream holds it.
    Unconfirmed,
    /// The upstream bounced the SYN, so it does not know the flow's later packets either.
    Bounced,
}

/// A request that the upstream has not answered yet.
#[derive(Debug, Clone, Copy)]
struct Request {
    /// When the client last sent new data.
    at: Instant,
    /// Requests that were in progress then at the upstream, including this one.
    in_progress: usize,
}

/// An agent's state of a flow.
#[derive(Debug, Clone)]
pub struct Flow {
    phase: Phase,
    age_since: Instant,
    last_packet_at: Instant,
    /// The balancer that sent the SYN.
    syn_sender: Option<SocketAddrV4>,
    /// The balancer that sent the last packet.
    last_sender: Option<SocketAddrV4>,
    /// A balancer that waits for the answer whether the flow is at this upstream.
    requester: Option<SocketAddrV4>,
    /// Copy of the packet that the upstream has not answered yet.
    buffered: Option<Box<[u8]>>,
    /// Sequence number of the upstream's SYN-ACK.
    syn_ack_sequence: Option<u32>,
    acknowledgement: u32,
    /// The request that the upstream has not answered yet.
    request: Option<Request>,
    /// Sequence number after the client's last data; retransmissions of it are no new request.
    client_data_end: Option<u32>,
    client_closed: bool,
    upstream_closed: bool,
}

impl Flow {
    fn new(now: Instant, phase: Phase) -> Self {
        Self {
            phase,
            age_since: now,
            last_packet_at: now,
            syn_sender: None,
            last_sender: None,
            requester: None,
            buffered: None,
            syn_ack_sequence: None,
            acknowledgement: 0,
            request: None,
            client_data_end: None,
            client_closed: false,
            upstream_closed: false,
        }
    }

    /// A flow whose SYN is passed to the upstream.
    pub fn opening(now: Instant, from: SocketAddrV4, packet: &[u8]) -> Self {
        Self {
            syn_sender: Some(from),
            last_sender: Some(from),
            buffered: Some(packet.into()),
            ..Self::new(now, Phase::Opening)
        }
    }

    /// A flow of which only the upstream knows whether it holds it.
    pub fn unconfirmed(now: Instant, from: SocketAddrV4, packet: &[u8]) -> Self {
        Self {
            last_sender: Some(from),
            buffered: Some(packet.into()),
            ..Self::new(now, Phase::Unconfirmed)
        }
    }

    /// A flow whose first observed packet was sent by the upstream.
    pub fn from_upstream_packet(now: Instant, head: &Head) -> Self {
        let phase = if head.flags.syn {
            Phase::Accepted
        } else {
            Phase::Open
        };
        Self {
            syn_ack_sequence: head.flags.syn.then_some(head.sequence),
            ..Self::new(now, phase)
        }
    }

    /// Phase of the flow.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The balancer that sent the SYN.
    pub fn syn_sender(&self) -> Option<SocketAddrV4> {
        self.syn_sender
    }

    /// Records that the upstream bounced the SYN.
    pub fn record_bounce(&mut self, now: Instant) {
        self.phase = Phase::Bounced;
        self.age_since = now;
        self.buffered = None;
    }

    /// Records the balancer that sent a retransmission of the SYN.
    pub fn set_syn_sender(&mut self, from: SocketAddrV4) {
        self.syn_sender = Some(from);
    }

    /// The balancer that sent the last packet, 0.0.0.0:0 if none has yet.
    pub fn last_sender(&self) -> SocketAddrV4 {
        self.last_sender
            .unwrap_or(SocketAddrV4::new([0, 0, 0, 0].into(), 0))
    }

    /// Records a balancer that waits for the answer whether the flow is at this upstream.
    pub fn set_requester(&mut self, from: SocketAddrV4) {
        self.requester = Some(from);
    }

    /// Takes out the balancer that waits for the answer whether the flow is at this upstream.
    pub fn take_requester(&mut self) -> Option<SocketAddrV4> {
        self.requester.take()
    }

    /// Takes out the packet that the upstream has not answered, if there is one.
    pub fn take_buffered(&mut self) -> Option<Box<[u8]>> {
        self.buffered.take()
    }

    /// The client's last acknowledged sequence number.
    pub fn acknowledgement(&self) -> u32 {
        self.acknowledgement
    }

    /// Whether the client acknowledges another upstream's SYN-ACK. Always so if this upstream has
    /// sent none.
    pub fn is_held_elsewhere(&self, acknowledgement: u32) -> bool {
        match (self.phase, self.syn_ack_sequence) {
            (Phase::Accepted, Some(sequence)) => acknowledgement.wrapping_sub(sequence) > 1,
            (Phase::Opening | Phase::Bounced, _) => true,
            _ => false,
        }
    }

    /// Records a packet of the client. If it brings a request, `in_progress` others are in progress.
    pub fn record_client_packet(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        head: &Head,
        in_progress: usize,
    ) {
        self.record_arrival(now, from, head);
        self.record_delivery(now, head, in_progress);
    }

    /// Records that a packet of the client has arrived at the agent.
    pub fn record_arrival(&mut self, now: Instant, from: SocketAddrV4, head: &Head) {
        self.last_packet_at = now;
        self.last_sender = Some(from);
        self.acknowledgement = head.acknowledgement;
        if self.phase == Phase::Accepted {
            self.phase = Phase::Open;
        }
        self.client_closed |= head.flags.fin || head.flags.rst;
    }

    /// Records that a packet of the client is passed to the upstream. If it brings a request,
    /// `in_progress` others are in progress.
    pub fn record_delivery(&mut self, now: Instant, head: &Head, in_progress: usize) {
        if head.data_len > 0 && self.is_new(head) {
            self.request = Some(Request {
                at: now,
                in_progress: in_progress + 1,
            });
            self.client_data_end = Some(data_end(head));
        }
    }

    /// Whether a packet's data ends after those that were passed to the upstream.
    fn is_new(&self, head: &Head) -> bool {
        let end = data_end(head);
        self.client_data_end
            .is_none_or(|known| end.wrapping_sub(known) < HALF_SEQUENCE_SPACE && end != known)
    }

    /// Whether the client's packet begins a further request of an open flow, while no earlier one
    /// is in progress.
    pub fn begins_further_request(&self, head: &Head) -> bool {
        let is_idle = self.request.is_none() && !self.is_closing();
        let had_request = self.phase == Phase::Open && self.client_data_end.is_some();
        is_idle && had_request && head.data_len > 0 && self.is_new(head)
    }

    /// Time from the SYN until now if the client's packet that is about to be recorded brings the
    /// first request of a flow whose opening was observed.
    pub fn opening_time(&self, now: Instant, head: &Head) -> Option<Duration> {
        let is_first = self.syn_sender.is_some() && self.client_data_end.is_none();
        (is_first && head.data_len > 0).then(|| self.age(now))
    }

    /// Records a packet of the upstream. If it begins the answer to a request, returns the
    /// request's time and the number of requests in progress when it arrived.
    pub fn record_upstream_packet(
        &mut self,
        now: Instant,
        head: &Head,
    ) -> Option<(Duration, usize)> {
        self.last_packet_at = now;
        if head.flags.syn {
            self.syn_ack_sequence = Some(head.sequence);
            self.buffered = None;
            if self.phase == Phase::Opening {
                self.phase = Phase::Accepted;
            }
        } else if self.phase == Phase::Unconfirmed {
            self.phase = Phase::Open;
            self.buffered = None;
        }
        self.upstream_closed |= head.flags.fin || head.flags.rst;
        let answered = self.request.take_if(|_| head.data_len > 0)?;
        let took = now.saturating_duration_since(answered.at);
        Some((took, answered.in_progress))
    }

    /// Whether either end has closed its side.
    pub fn is_closing(&self) -> bool {
        self.client_closed || self.upstream_closed
    }

    /// Whether a request waits for its answer, or is about to arrive on a new flow. Requests older
    /// than `request_timeout` don't count.
    pub fn is_busy(&self, now: Instant, request_timeout: Duration) -> bool {
        if self.is_closing() {
            return false;
        }
        let is_new = matches!(self.phase, Phase::Opening | Phase::Accepted)
            && self.is_younger_than(now, MAX_FIRST_REQUEST_DELAY);
        is_new || self.has_request(now, request_timeout)
    }

    /// Whether a request waits for its answer, for less than `request_timeout`.
    pub fn has_request(&self, now: Instant, request_timeout: Duration) -> bool {
        self.request
            .is_some_and(|request| now.saturating_duration_since(request.at) < request_timeout)
    }

    /// Time since this agent observed the flow's first packet, or since the upstream bounced its
    /// SYN.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.age_since)
    }

    /// Whether the flow was first observed before `at`.
    pub fn is_older_than(&self, at: Instant) -> bool {
        self.age_since < at
    }

    /// Whether [`Self::age`] is less than `age`.
    pub fn is_younger_than(&self, now: Instant, age: Duration) -> bool {
        self.age(now) < age
    }

    /// Whether the flow may be removed from the table.
    pub fn is_expired(&self, now: Instant, timeout: Duration) -> bool {
        let idle_for = now.saturating_duration_since(self.last_packet_at);
        idle_for > timeout
            || (self.client_closed && self.upstream_closed && idle_for > CLOSED_RETENTION)
    }
}
