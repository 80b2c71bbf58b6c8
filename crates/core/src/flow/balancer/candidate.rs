//! Candidate of a search.

use std::{net::SocketAddrV4, time::Instant};

use super::Members;

/// An agent that may own the flow of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Address at which the agent receives frames.
    pub address: SocketAddrV4,
    /// Whether the agent was sent a question.
    pub asked: bool,
    /// Whether the agent does not own the flow.
    pub ruled_out: bool,
}

impl Candidate {
    /// A candidate that was not asked yet.
    pub fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            asked: false,
            ruled_out: false,
        }
    }

    /// Whether to send a first question. Listed agents that are silent are probed first and asked
    /// when they answer; agents that the store does not list are asked in any case.
    pub fn should_ask(&self, now: Instant, members: &Members) -> bool {
        let member = members.get(self.address);
        !self.ruled_out
            && member.is_none_or(|member| !member.listed || !member.is_agent_silent(now))
    }

    /// Whether to repeat the question last sent at `asked_at`: to agents that have sent a frame
    /// since then, to agents that the store does not list, and in the first repetition to all that
    /// were asked, since a question may have been lost.
    pub fn should_ask_again(
        &self,
        asked_at: Instant,
        is_first_repetition: bool,
        members: &Members,
    ) -> bool {
        let member = members.get(self.address);
        let may_answer = member.is_none_or(|member| {
            !member.listed
                || member.last_frame_at >= Some(asked_at)
                || (is_first_repetition && self.asked)
        });
        !self.ruled_out && may_answer
    }
}
