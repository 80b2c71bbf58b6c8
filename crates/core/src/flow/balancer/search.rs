//! The search for the home of one flow.

use std::{
    collections::HashSet,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Action, Candidate, Members};
use crate::{
    balancer::Bucket,
    flow::{Key, Purpose, intent::Kind},
};

/// Agents asked in the first wave; each further wave is twice as large.
const FIRST_WAVE: usize = 2;

/// How many times as many agents are asked at once in a crowd of searches: their questions share
/// frames, and rounds are few.
const CROWD_GROWTH: usize = 4;

/// Time between waves while answers are missing: a round trip between zones and a few wake-ups.
const WAVE_EVERY: Duration = Duration::from_millis(12);

/// How often agents that have not answered are asked again once all were asked. Silent ones are
/// only probed, after one repetition at most: questions without answers would fill a slow link.
const ASK_AGAIN_EVERY: Duration = Duration::from_millis(100);

/// Longest search. Clients repeat their packets within this time, which starts a new one.
const LONGEST: Duration = Duration::from_secs(2);

/// An agent that has answered nothing for this long no longer delays the end of a search for a
/// flow whose requests may be repeated.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(1);

/// Packets held for one flow; a client has no more than 16 in flight.
const MAX_HELD: usize = 16;

/// How a search stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Someone has not answered yet.
    Open,
    /// The flow is nowhere.
    Lost,
    /// Time is up.
    GivenUp,
}

/// The search for the home of one flow.
#[derive(Debug)]
pub struct Search {
    flow: Key,
    /// In the order in which they are asked.
    candidates: Vec<Candidate>,
    /// How far down the order agents were asked, or passed over since they are silent.
    asked: usize,
    /// Candidates that are not ruled out.
    open: usize,
    /// [`Members::additions`] that the candidates reflect.
    additions: u64,
    wave: usize,
    /// Whether agents were asked for a second time.
    repeated: bool,
    started_at: Instant,
    waved_at: Instant,
    kind: Kind,
    acknowledgement: u32,
    /// Agents whose upstream was shown the first held packet.
    shown: Vec<SocketAddrV4>,
    /// Packets that wait for the home.
    held: Vec<Box<[u8]>>,
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
            open: order.len(),
            candidates: order.into_iter().map(Candidate::new).collect(),
            asked: 0,
            additions: members.additions(),
            wave: FIRST_WAVE,
            repeated: false,
            started_at: now,
            waved_at: now,
            kind,
            acknowledgement,
            shown: Vec::new(),
            held: vec![packet.into()],
        }
    }

    /// Holds a further packet until the home is known.
    pub fn hold(&mut self, packet: &[u8]) {
        if self.held.len() < MAX_HELD && !self.held.iter().any(|held| **held == *packet) {
            self.held.push(packet.into());
        }
    }

    /// The client's last acknowledged number.
    pub fn acknowledgement(&self) -> u32 {
        self.acknowledgement
    }

    /// Notes that the flow is not at an agent.
    pub fn rule_out(&mut self, agent: SocketAddrV4) {
        let mut candidates = self.candidates.iter_mut();
        if let Some(candidate) = candidates.find(|candidate| candidate.address == agent)
            && !candidate.ruled_out
        {
            candidate.ruled_out = true;
            self.open -= 1;
        }
    }

    /// Whether all agents that were asked have answered.
    pub fn is_answered(&self) -> bool {
        let mut asked = self.candidates[..self.asked].iter();
        asked.all(|candidate| candidate.ruled_out || !candidate.questioned)
    }

    /// Whether no agent is left that may have the flow.
    pub fn is_exhausted(&self) -> bool {
        self.open == 0
    }

    /// Whether each agent was asked at least once.
    pub fn has_asked_all(&self) -> bool {
        self.asked == self.candidates.len()
    }

    /// When the search began.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Asks the next agents, or again those that have not answered, as far as `questions` allows.
    /// In a `crowd` of searches each asks more agents at once.
    pub fn ask(
        &mut self,
        now: Instant,
        crowd: bool,
        members: &mut Members,
        questions: &mut Bucket,
        actions: &mut Vec<Action>,
    ) {
        let repeats = self.has_asked_all();
        let wave = self
            .wave
            .saturating_mul(if crowd { CROWD_GROWTH } else { 1 });
        let (start, end) = if repeats {
            (0, self.candidates.len())
        } else {
            let end = self.asked.saturating_add(wave).min(self.candidates.len());
            (self.asked, end)
        };
        let first = repeats && !self.repeated;
        self.repeated = repeats;
        for index in start..end {
            let candidate = &mut self.candidates[index];
            let is_worthwhile = if repeats {
                candidate.is_worth_repeating(self.waved_at, first, members)
            } else {
                candidate.is_worth_asking(now, members)
            };
            if !is_worthwhile {
                continue;
            }
            if !questions.take(now, 1) {
                self.asked = self.asked.max(index);
                return;
            }
            candidate.questioned = true;
            members.expect_answer(now, candidate.address);
            actions.push(Action::Locate {
                to: candidate.address,
                flow: self.flow,
                acknowledgement: self.acknowledgement,
            });
        }
        self.asked = end;
        self.wave = wave.saturating_mul(2);
        self.waved_at = now;
    }

    /// Shows the first packet to the upstream of an agent that does not know the answer itself.
    pub fn show(&mut self, to: SocketAddrV4, actions: &mut Vec<Action>) {
        if let Some(packet) = self.held.first() {
            self.shown.push(to);
            actions.push(Action::Send {
                to,
                purpose: Purpose::Find,
                service: None,
                packet: packet.clone(),
            });
        }
    }

    /// Whether agents are to be asked now.
    pub fn is_due(&self, now: Instant) -> bool {
        let pause = match self.asked {
            _ if self.has_asked_all() => ASK_AGAIN_EVERY,
            0 => Duration::ZERO,
            _ => WAVE_EVERY,
        };
        now.saturating_duration_since(self.waved_at) >= pause
    }

    /// Takes agents into the search that were not known when it began.
    pub fn extend(&mut self, members: &Members) {
        if self.additions == members.additions() {
            return;
        }
        self.additions = members.additions();
        let known: HashSet<_> = self.candidates.iter().map(|known| known.address).collect();
        for member in members.iter() {
            if !known.contains(&member.address) {
                self.candidates.push(Candidate::new(member.address));
                self.open += 1;
            }
        }
    }

    /// How the search stands. Before the list of agents is `settled` nothing is lost.
    pub fn verdict(&self, now: Instant, members: &Members, settled: bool) -> Verdict {
        let is_unreachable = |candidate: &Candidate| {
            let member = members.get(candidate.address);
            candidate.ruled_out
                || member.is_none_or(|member| {
                    member.is_unreachable(members.proven_until(), UNREACHABLE_AFTER)
                })
        };
        let is_nowhere = || {
            self.is_exhausted()
                || (self.kind == Kind::Safe && self.candidates.iter().all(is_unreachable))
        };
        if settled && !self.candidates.is_empty() && self.has_asked_all() && is_nowhere() {
            Verdict::Lost
        } else if now.saturating_duration_since(self.started_at) >= LONGEST {
            Verdict::GivenUp
        } else {
            Verdict::Open
        }
    }

    /// Sends the held packets to the flow's home, but for the one that it was shown.
    pub fn release(self, to: SocketAddrV4, actions: &mut Vec<Action>) {
        let known = usize::from(self.shown.contains(&to));
        for packet in self.held.into_iter().skip(known) {
            actions.push(Action::Send {
                to,
                purpose: Purpose::Known,
                service: None,
                packet,
            });
        }
    }
}
