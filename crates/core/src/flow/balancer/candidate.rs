//! An agent in a search.

use std::{net::SocketAddrV4, time::Instant};

use super::Members;

/// An agent that may have the flow of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Where it takes frames.
    pub address: SocketAddrV4,
    /// Whether it got a question.
    pub questioned: bool,
    /// Whether it does not have the flow.
    pub ruled_out: bool,
}

impl Candidate {
    /// An agent that was not asked yet.
    pub fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            questioned: false,
            ruled_out: false,
        }
    }

    /// Whether a first question makes sense: silent agents are probed, and asked once heard.
    pub fn is_worth_asking(&self, now: Instant, members: &Members) -> bool {
        let member = members.get(self.address);
        !self.ruled_out && member.is_none_or(|member| !member.listed || !member.is_silent(now))
    }

    /// Whether a further question makes sense, after the one at `last`: to agents that were heard
    /// since, and once to others, in case that the question was lost.
    pub fn is_worth_repeating(&self, last: Instant, first: bool, members: &Members) -> bool {
        let member = members.get(self.address);
        let may_answer = member.is_none_or(|member| {
            !member.listed || member.heard_at >= Some(last) || (first && self.questioned)
        });
        !self.ruled_out && may_answer
    }
}
