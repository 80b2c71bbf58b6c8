//! A balancer's state of a flow.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::flow::Head;

/// An agent that was sent the SYN.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    agent: SocketAddrV4,
    /// Sequence number of the upstream's SYN-ACK, once it has accepted.
    syn_ack_sequence: Option<u32>,
    refused: bool,
}

/// A balancer's state of a flow.
#[derive(Debug, Clone)]
pub struct Connection {
    candidates: Vec<Candidate>,
    owner: Option<SocketAddrV4>,
    opened_at: Instant,
    last_packet_at: Instant,
    last_copy: u32,
}

impl Connection {
    /// A flow first seen at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            candidates: Vec::new(),
            owner: None,
            opened_at: now,
            last_packet_at: now,
            last_copy: 0,
        }
    }

    /// Records a SYN, which is copy number `copy`.
    pub fn record_syn(&mut self, now: Instant, copy: u32) {
        self.last_packet_at = now;
        self.last_copy = copy;
    }

    /// Number of the last copy of the SYN.
    pub fn last_copy(&self) -> u32 {
        self.last_copy
    }

    /// Records a packet of the client.
    pub fn touch(&mut self, now: Instant) {
        self.last_packet_at = now;
    }

    /// Agents that were sent the SYN.
    pub fn candidates(&self) -> Vec<SocketAddrV4> {
        self.candidates
            .iter()
            .map(|candidate| candidate.agent)
            .collect()
    }

    /// Records that the SYN is sent to an agent.
    pub fn add_candidate(&mut self, agent: SocketAddrV4) {
        self.candidates.push(Candidate {
            agent,
            syn_ack_sequence: None,
            refused: false,
        });
    }

    /// Records that an agent's upstream accepted the flow with `sequence`.
    pub fn accept(&mut self, agent: SocketAddrV4, sequence: u32) {
        for candidate in &mut self.candidates {
            if candidate.agent == agent {
                candidate.syn_ack_sequence = Some(sequence);
                candidate.refused = false;
            }
        }
    }

    /// Records that an agent returned the flow's SYN.
    pub fn refuse(&mut self, agent: SocketAddrV4) {
        for candidate in &mut self.candidates {
            if candidate.agent == agent {
                candidate.refused = true;
            }
        }
    }

    /// Removes the agents that returned the SYN, so that they may be selected again.
    pub fn clear_refusals(&mut self) {
        self.candidates.retain(|candidate| !candidate.refused);
    }

    /// Whether all agents that were sent the SYN returned it.
    pub fn all_refused(&self) -> bool {
        self.candidates.iter().all(|candidate| candidate.refused)
    }

    /// The first agent whose upstream accepted the flow.
    pub fn accepted_by(&self) -> Option<SocketAddrV4> {
        self.candidates
            .iter()
            .find(|candidate| candidate.syn_ack_sequence.is_some())
            .map(|candidate| candidate.agent)
    }

    /// The owner of the flow, if known.
    pub fn owner(&self) -> Option<SocketAddrV4> {
        self.owner
    }

    /// Records that the flow is at this agent's upstream.
    pub fn set_owner(&mut self, agent: SocketAddrV4) {
        self.owner = Some(agent);
    }

    /// Records that the flow is not at this agent's upstream.
    pub fn clear_owner(&mut self, agent: SocketAddrV4) {
        self.owner = None;
        self.candidates.retain(|candidate| candidate.agent != agent);
    }

    /// The owner of the flow. If it is not known yet, it is the only agent that may have accepted
    /// the SYN, or the one whose upstream's SYN-ACK the client acknowledges.
    pub fn resolve_owner(&mut self, head: &Head) -> Option<SocketAddrV4> {
        if self.owner.is_none() {
            let mut pending = self
                .candidates
                .iter()
                .filter(|candidate| !candidate.refused);
            self.owner = match (pending.next(), pending.next()) {
                (Some(only), None) => Some(only.agent),
                _ => self
                    .candidates
                    .iter()
                    .find(|candidate| {
                        candidate.syn_ack_sequence.is_some_and(|sequence| {
                            head.acknowledgement.wrapping_sub(sequence) <= 1
                        })
                    })
                    .map(|candidate| candidate.agent),
            };
        }
        self.owner
    }

    /// Whether the flow may be removed: it was idle for longer than `idle_timeout`, or is older
    /// than `max_age` plus `idle_timeout`.
    pub fn is_expired(&self, now: Instant, idle_timeout: Duration, max_age: Duration) -> bool {
        now.saturating_duration_since(self.last_packet_at) > idle_timeout
            || now.saturating_duration_since(self.opened_at) > max_age + idle_timeout
    }
}
