//! Search for the owner of a flow.

use std::{
    collections::HashSet,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Action, Candidate, Members, Reachability};
use crate::{
    balancer::Bucket,
    flow::{Key, Purpose, intent::Kind},
};

/// Number of agents asked in the first wave. Unless searches are batched, each further wave is
/// twice as large.
const FIRST_WAVE: usize = 2;

/// Additional growth factor of each wave while searches are batched; the next wave grows from the
/// enlarged size. The questions share frames, and batches are less frequent than waves.
const BATCHED_WAVE_FACTOR: usize = 4;

/// Time between waves while answers are missing: a round trip between zones and a few scheduling
/// delays.
const WAVE_INTERVAL: Duration = Duration::from_millis(12);

/// Interval at which agents that have not answered are asked again once all were asked. Silent ones
/// are asked once more and then only probed: unanswered questions would saturate a slow link.
const ASK_AGAIN_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit of a search. The client's next retransmission after it starts a new search.
const MAX_SEARCH_TIME: Duration = Duration::from_secs(2);

/// An agent that has not answered for this long no longer delays the end of a search for a flow
/// whose requests may be executed more than once: the time after which a known owner of such a flow
/// counts as unreachable. Clients with a time limit of 1.5 s can still use a new flow then.
const SEARCH_UNREACHABLE_AFTER: Duration = Duration::from_millis(550);

/// Limit of buffered packets per flow; a client has no more than 16 in flight.
const MAX_BUFFERED_PACKETS: usize = 16;

/// Status of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// Agents that may own the flow have not answered yet.
    Running,
    /// No agent owns the flow, except possibly silent ones that may be restarted as planned.
    Unproven,
    /// No agent owns the flow, except possibly failed ones if its requests are idempotent.
    Lost,
    /// The time limit is reached.
    TimedOut,
}

/// Search for the owner of a flow.
#[derive(Debug)]
pub struct Search {
    flow: Key,
    /// Candidates in the order in which they are asked.
    candidates: Vec<Candidate>,
    /// Number of candidates that were asked or, if silent, skipped; they are a prefix of
    /// `candidates`.
    visited: usize,
    /// Candidates that are not ruled out.
    remaining: usize,
    /// [`Members::additions`] that the candidates reflect.
    additions: u64,
    wave_size: usize,
    /// Whether the last wave repeated questions.
    repeats: bool,
    started_at: Instant,
    last_wave_at: Instant,
    kind: Kind,
    acknowledgement: u32,
    /// Agents that were sent the first buffered packet for their upstream.
    first_packet_sent_to: Vec<SocketAddrV4>,
    /// Packets that wait for the owner to be known.
    buffered: Vec<Box<[u8]>>,
}

impl Search {
    /// A search through `order`, which holds all `members`, for a flow whose requests are of
    /// `kind`.
    pub fn new(
        now: Instant,
        flow: Key,
        order: Vec<SocketAddrV4>,
        members: &Members,
        kind: Kind,
        acknowledgement: u32,
        packet: &[u8],
    ) -> Self {
        Self {
            flow,
            remaining: order.len(),
            candidates: order.into_iter().map(Candidate::new).collect(),
            visited: 0,
            additions: members.additions(),
            wave_size: FIRST_WAVE,
            repeats: false,
            started_at: now,
            last_wave_at: now,
            kind,
            acknowledgement,
            first_packet_sent_to: Vec::new(),
            buffered: vec![packet.into()],
        }
    }

    /// Buffers a further packet until the owner is known.
    pub fn buffer(&mut self, packet: &[u8]) {
        if self.buffered.len() < MAX_BUFFERED_PACKETS
            && !self.buffered.iter().any(|buffered| **buffered == *packet)
        {
            self.buffered.push(packet.into());
        }
    }

    /// The client's last acknowledged sequence number.
    pub fn acknowledgement(&self) -> u32 {
        self.acknowledgement
    }

    /// Records that an agent does not own the flow.
    pub fn rule_out(&mut self, agent: SocketAddrV4) {
        let mut candidates = self.candidates.iter_mut();
        if let Some(candidate) = candidates.find(|candidate| candidate.address == agent)
            && !candidate.ruled_out
        {
            candidate.ruled_out = true;
            self.remaining -= 1;
        }
    }

    /// Whether all agents that were asked are ruled out.
    pub fn are_asked_ruled_out(&self) -> bool {
        let mut asked = self.candidates[..self.visited].iter();
        asked.all(|candidate| candidate.ruled_out || !candidate.asked)
    }

    /// Whether no agent is left that may own the flow.
    pub fn is_exhausted(&self) -> bool {
        self.remaining == 0
    }

    /// Whether each agent was asked or, if silent, skipped.
    pub fn has_visited_all(&self) -> bool {
        self.visited == self.candidates.len()
    }

    /// When the search began.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Asks the next wave of agents, or repeats the question to those that have not answered,
    /// within the rate limit `question_limiter`. While searches are `batched` waves are larger.
    pub fn ask(
        &mut self,
        now: Instant,
        batched: bool,
        members: &mut Members,
        question_limiter: &mut Bucket,
        actions: &mut Vec<Action>,
    ) {
        let repeats = self.has_visited_all();
        let wave_size =
            self.wave_size
                .saturating_mul(if batched { BATCHED_WAVE_FACTOR } else { 1 });
        let (start, end) = if repeats {
            (0, self.candidates.len())
        } else {
            let end = self
                .visited
                .saturating_add(wave_size)
                .min(self.candidates.len());
            (self.visited, end)
        };
        let is_first_repetition = repeats && !self.repeats;
        self.repeats = repeats;
        for index in start..end {
            let candidate = &mut self.candidates[index];
            let should_ask = if repeats {
                candidate.should_ask_again(self.last_wave_at, is_first_repetition, members)
            } else {
                candidate.should_ask(now, members)
            };
            if !should_ask {
                continue;
            }
            if !question_limiter.take(now, 1) {
                self.visited = self.visited.max(index);
                return;
            }
            candidate.asked = true;
            members.expect_answer(now, candidate.address);
            actions.push(Action::Locate {
                to: candidate.address,
                flow: self.flow,
                acknowledgement: self.acknowledgement,
            });
        }
        self.visited = end;
        self.wave_size = wave_size.saturating_mul(2);
        self.last_wave_at = now;
    }

    /// Sends the first buffered packet to an agent that does not know whether its upstream holds
    /// the flow. The upstream's response shows it.
    pub fn send_first_packet(&mut self, to: SocketAddrV4, actions: &mut Vec<Action>) {
        if let Some(packet) = self.buffered.first() {
            self.first_packet_sent_to.push(to);
            actions.push(Action::Send {
                to,
                purpose: Purpose::Find,
                service: None,
                packet: packet.clone(),
            });
        }
    }

    /// Whether the next wave is due.
    pub fn is_due(&self, now: Instant) -> bool {
        let pause = match self.visited {
            _ if self.has_visited_all() => ASK_AGAIN_INTERVAL,
            0 => Duration::ZERO,
            _ => WAVE_INTERVAL,
        };
        now.saturating_duration_since(self.last_wave_at) >= pause
    }

    /// Adds agents to the candidates that have become known since the search began.
    pub fn add_new_members(&mut self, members: &Members) {
        if self.additions == members.additions() {
            return;
        }
        self.additions = members.additions();
        let known: HashSet<_> = self.candidates.iter().map(|known| known.address).collect();
        for member in members.iter() {
            if !known.contains(&member.address) {
                self.candidates.push(Candidate::new(member.address));
                self.remaining += 1;
            }
        }
    }

    /// Whether the time limit is reached.
    pub fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= MAX_SEARCH_TIME
    }

    /// Status of the search. A flow does not count as lost before the list of agents is `settled`.
    pub fn status(&self, now: Instant, members: &Members, settled: bool) -> Status {
        let is_done = settled && !self.candidates.is_empty() && self.has_visited_all();
        match self.best_reachability(members) {
            Some(Reachability::Failed) | None if is_done => Status::Lost,
            _ if self.is_overdue(now) => Status::TimedOut,
            Some(Reachability::Silent) if is_done => Status::Unproven,
            _ => Status::Running,
        }
    }

    /// The best that is known of the agents that are not ruled out; `None` if there are none. All count
    /// as reachable if the flow's requests must not be executed twice.
    fn best_reachability(&self, members: &Members) -> Option<Reachability> {
        if self.is_exhausted() {
            return None;
        }
        if self.kind != Kind::Safe {
            return Some(Reachability::Reachable);
        }
        let left = self.candidates.iter();
        let left = left.filter(|candidate| !candidate.ruled_out);
        left.map(|candidate| match members.get(candidate.address) {
            Some(member) => members.reachability(member, SEARCH_UNREACHABLE_AFTER),
            None => Reachability::Failed,
        })
        .min()
    }

    /// Sends the buffered packets to the flow's owner. The first one is left out if that agent
    /// already received it.
    pub fn send_buffered(self, to: SocketAddrV4, actions: &mut Vec<Action>) {
        let sent = usize::from(self.first_packet_sent_to.contains(&to));
        for packet in self.buffered.into_iter().skip(sent) {
            actions.push(Action::Send {
                to,
                purpose: Purpose::Known,
                service: None,
                packet,
            });
        }
    }
}
