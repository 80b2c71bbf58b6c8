//! The search for the home of one flow.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{Action, Members};
use crate::flow::Purpose;

/// Agents asked in the first wave; each further wave is twice as large.
const FIRST_WAVE: usize = 2;

/// Time between waves while answers are missing: a round trip between zones and one wake-up.
const WAVE_EVERY: Duration = Duration::from_millis(8);

/// Time after the last wave in which answers still count.
const LAST_WAIT: Duration = Duration::from_millis(150);

/// Packets held for one flow; a client has no more than 16 in flight.
const MAX_HELD: usize = 16;

/// The search for the home of one flow.
#[derive(Debug)]
pub struct Search {
    order: Vec<SocketAddrV4>,
    asked: usize,
    ruled_out: Vec<SocketAddrV4>,
    wave: usize,
    waved_at: Instant,
    acknowledgement: u32,
    /// The packet that is shown to the agents, then those that came after it.
    held: Vec<Box<[u8]>>,
}

impl Search {
    /// A search through `order`.
    pub fn new(
        now: Instant,
        order: Vec<SocketAddrV4>,
        acknowledgement: u32,
        packet: &[u8],
    ) -> Self {
        Self {
            order,
            asked: 0,
            ruled_out: Vec::new(),
            wave: FIRST_WAVE,
            waved_at: now,
            acknowledgement,
            held: vec![packet.into()],
        }
    }

    /// Holds a further packet until the home is known.
    pub fn hold(&mut self, _now: Instant, packet: &[u8]) {
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
        self.order[..self.asked]
            .iter()
            .all(|asked| self.ruled_out.contains(asked))
    }

    /// Asks the next agents.
    pub fn next_wave(&mut self, now: Instant, members: &mut Members, actions: &mut Vec<Action>) {
        let end = (self.asked + self.wave).min(self.order.len());
        let Some(packet) = self.held.first() else {
            return;
        };
        for &to in &self.order[self.asked..end] {
            if self.ruled_out.contains(&to) {
                continue;
            }
            members.expect_answer(now, to);
            actions.push(Action::Send {
                to,
                purpose: Purpose::Find,
                service: None,
                packet: packet.clone(),
            });
        }
        self.asked = end;
        self.wave *= 2;
        self.waved_at = now;
    }

    /// Whether the next wave is due, or the wait after the last one is over.
    pub fn is_due(&self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.waved_at);
        if self.asked < self.order.len() {
            since >= WAVE_EVERY
        } else {
            since >= LAST_WAIT
        }
    }

    /// Whether no answer is to come any more.
    pub fn is_exhausted(&self, now: Instant) -> bool {
        self.asked == self.order.len()
            && (self.is_ruled_out_everywhere()
                || now.saturating_duration_since(self.waved_at) >= LAST_WAIT)
    }

    /// Whether each agent has said that the flow is not at its upstream.
    pub fn is_ruled_out_everywhere(&self) -> bool {
        self.order
            .iter()
            .all(|agent| self.ruled_out.contains(agent))
    }

    /// Sends the packets that came after the first one to the flow's home.
    pub fn release(self, to: SocketAddrV4, actions: &mut Vec<Action>) {
        for packet in self.held.into_iter().skip(1) {
            actions.push(Action::Send {
                to,
                purpose: Purpose::Known,
                service: None,
                packet,
            });
        }
    }
}
