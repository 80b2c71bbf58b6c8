//! The search for the home of one flow.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Action, Members};
use crate::{
    balancer::Bucket,
    flow::{Key, Purpose, intent::Kind},
};

/// Agents asked in the first wave; each further wave is twice as large.
const FIRST_WAVE: usize = 2;

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
    order: Vec<SocketAddrV4>,
    /// How far down the order agents were asked, or passed over since they are silent.
    asked: usize,
    /// Agents that got a question.
    questioned: Vec<SocketAddrV4>,
    ruled_out: Vec<SocketAddrV4>,
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
    /// A search through `order` for a flow whose requests are of `kind`.
    pub fn new(
        now: Instant,
        flow: Key,
        order: Vec<SocketAddrV4>,
        kind: Kind,
        acknowledgement: u32,
        packet: &[u8],
    ) -> Self {
        Self {
            flow,
            order,
            asked: 0,
            questioned: Vec::new(),
            ruled_out: Vec::new(),
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

    /// Notes that the flow is not at an agent. Tells whether all that were asked have answered.
    pub fn rule_out(&mut self, agent: SocketAddrV4) -> bool {
        if !self.ruled_out.contains(&agent) {
            self.ruled_out.push(agent);
        }
        let mut questioned = self.questioned.iter();
        questioned.all(|agent| self.ruled_out.contains(agent))
    }

    /// Whether each agent was asked at least once.
    pub fn has_asked_all(&self) -> bool {
        self.asked == self.order.len()
    }

    /// When the search began.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Asks the next agents, or again those that have not answered, as far as `questions` allows.
    pub fn ask(
        &mut self,
        now: Instant,
        members: &mut Members,
        questions: &mut Bucket,
        actions: &mut Vec<Action>,
    ) {
        let repeats = self.has_asked_all();
        let (start, end) = if repeats {
            (0, self.order.len())
        } else {
            (self.asked, (self.asked + self.wave).min(self.order.len()))
        };
        let first_repetition = repeats && !self.repeated;
        self.repeated = repeats;
        for index in start..end {
            let to = self.order[index];
            let was_questioned = self.questioned.contains(&to);
            let is_worthwhile = members.get(to).is_none_or(|member| {
                !member.listed
                    || if repeats {
                        member.heard_at >= Some(self.waved_at)
                            || (first_repetition && was_questioned)
                    } else {
                        !member.is_silent(now)
                    }
            });
            if self.ruled_out.contains(&to) || !is_worthwhile {
                continue;
            }
            if !questions.take(now, 1) {
                self.asked = self.asked.max(index);
                return;
            }
            if !was_questioned {
                self.questioned.push(to);
            }
            members.expect_answer(now, to);
            actions.push(Action::Locate {
                to,
                flow: self.flow,
                acknowledgement: self.acknowledgement,
            });
        }
        self.asked = end;
        self.wave *= 2;
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
        let pause = if self.asked < self.order.len() {
            WAVE_EVERY
        } else {
            ASK_AGAIN_EVERY
        };
        now.saturating_duration_since(self.waved_at) >= pause
    }

    /// Takes agents into the search that were not known when it began.
    pub fn extend(&mut self, members: &Members) {
        for member in members.iter() {
            if !self.order.contains(&member.address) {
                self.order.push(member.address);
            }
        }
    }

    /// How the search stands. Before the list of agents is `settled` nothing is lost.
    pub fn verdict(&self, now: Instant, members: &Members, settled: bool) -> Verdict {
        let answered = |agent: &SocketAddrV4| {
            self.ruled_out.contains(agent)
                || (self.kind == Kind::Safe
                    && members
                        .get(*agent)
                        .is_none_or(|member| member.is_unreachable(now, UNREACHABLE_AFTER)))
        };
        let is_complete = !self.order.is_empty() && self.has_asked_all();
        if settled && is_complete && self.order.iter().all(answered) {
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
