//! A flow as a balancer knows it.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::flow::Head;

/// An agent that got an opening packet.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    agent: SocketAddrV4,
    /// Sequence number of the upstream's reply, once it accepted.
    accepted: Option<u32>,
    refused: bool,
}

/// A flow as a balancer knows it.
#[derive(Debug, Clone)]
pub struct Connection {
    candidates: Vec<Candidate>,
    home: Option<SocketAddrV4>,
    opened_at: Instant,
    seen_at: Instant,
    copy: u32,
}

impl Connection {
    /// A flow first seen at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            candidates: Vec::new(),
            home: None,
            opened_at: now,
            seen_at: now,
            copy: 0,
        }
    }

    /// Notes an opening packet or a copy of it.
    pub fn reopen(&mut self, now: Instant, copy: u32) {
        self.seen_at = now;
        self.copy = copy;
    }

    /// Which copy of the opening packet came last.
    pub fn copy(&self) -> u32 {
        self.copy
    }

    /// Notes a packet of the client.
    pub fn touch(&mut self, now: Instant) {
        self.seen_at = now;
    }

    /// Agents that got the opening packet.
    pub fn candidates(&self) -> Vec<SocketAddrV4> {
        self.candidates
            .iter()
            .map(|candidate| candidate.agent)
            .collect()
    }

    /// Notes that the opening packet goes to an agent.
    pub fn add_candidate(&mut self, agent: SocketAddrV4) {
        self.candidates.push(Candidate {
            agent,
            accepted: None,
            refused: false,
        });
    }

    /// An agent's upstream accepted the flow.
    pub fn accept(&mut self, agent: SocketAddrV4, sequence: u32) {
        for candidate in &mut self.candidates {
            if candidate.agent == agent {
                candidate.accepted = Some(sequence);
                candidate.refused = false;
            }
        }
    }

    /// An agent handed the opening packet back.
    pub fn refuse(&mut self, agent: SocketAddrV4) {
        for candidate in &mut self.candidates {
            if candidate.agent == agent {
                candidate.refused = true;
            }
        }
    }

    /// Forgets refusals, so that the same agents may be asked again.
    pub fn forgive(&mut self) {
        self.candidates.retain(|candidate| !candidate.refused);
    }

    /// Whether all agents that got the opening packet handed it back.
    pub fn all_refused(&self) -> bool {
        self.candidates.iter().all(|candidate| candidate.refused)
    }

    /// The first agent whose upstream accepted the flow.
    pub fn accepted_by(&self) -> Option<SocketAddrV4> {
        self.candidates
            .iter()
            .find(|candidate| candidate.accepted.is_some())
            .map(|candidate| candidate.agent)
    }

    /// The home of the flow once it is certain.
    pub fn settled(&self) -> Option<SocketAddrV4> {
        self.home
    }

    /// The flow is at this agent's upstream.
    pub fn settle(&mut self, agent: SocketAddrV4) {
        self.home = Some(agent);
    }

    /// The flow is not at this agent's upstream.
    pub fn unsettle(&mut self, agent: SocketAddrV4) {
        self.home = None;
        self.candidates.retain(|candidate| candidate.agent != agent);
    }

    /// Where a packet of the open flow goes: to the upstream whose reply the client acknowledges.
    pub fn home(&mut self, head: &Head) -> Option<SocketAddrV4> {
        if self.home.is_none() {
            let mut open = self
                .candidates
                .iter()
                .filter(|candidate| !candidate.refused);
            self.home = match (open.next(), open.next()) {
                (Some(only), None) => Some(only.agent),
                _ => self
                    .candidates
                    .iter()
                    .find(|candidate| {
                        candidate.accepted.is_some_and(|sequence| {
                            head.acknowledgement.wrapping_sub(sequence) <= 1
                        })
                    })
                    .map(|candidate| candidate.agent),
            };
        }
        self.home
    }

    /// Whether the flow may be forgotten.
    pub fn is_over(&self, now: Instant, idle: Duration, oldest: Duration) -> bool {
        now.saturating_duration_since(self.seen_at) > idle
            || now.saturating_duration_since(self.opened_at) > oldest + idle
    }
}
