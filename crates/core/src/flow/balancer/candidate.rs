//! Candidate of a search.

use std::{net::SocketAddrV4, time::Instant};

use super::{Members, search::is_try_lost};

/// An agent that may own the flow of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Address at which the agent receives frames.
    pub address: SocketAddrV4,
    /// Whether the agent was sent a question.
    pub asked: bool,
    /// Whether the agent does not own the flow.
    pub ruled_out: bool,
    /// Whether the agent cannot tell whether its upstream holds the flow.
    pub unconfirmed: bool,
    /// When the agent was last sent a packet of the flow for its upstream, whose response tells.
    pub tried_at: Option<Instant>,
}

impl Candidate {
    /// A candidate that was not asked yet.
    pub fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            asked: false,
            ruled_out: false,
            unconfirmed: false,
            tried_at: None,
        }
    }

    /// Whether the agent has said all that it knows of the flow.
    pub fn has_answered(&self) -> bool {
        self.ruled_out || self.unconfirmed
    }

    /// Whether its upstream may be sent a packet of the flow.
    pub fn is_untried(&self) -> bool {
        self.unconfirmed && !self.ruled_out && self.tried_at.is_none()
    }

    /// Whether its upstream was sent a packet of the flow and has not responded.
    pub fn is_being_tried(&self) -> bool {
        self.tried_at.is_some() && !self.ruled_out
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
    /// were asked, since a question may have been lost. Agents that cannot tell are tried instead, and
    /// asked again only if that was lost.
    pub fn should_ask_again(
        &self,
        now: Instant,
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
        let is_answer_known = self.unconfirmed
            && self
                .tried_at
                .is_none_or(|tried_at| !is_try_lost(now, tried_at));
        !self.ruled_out && !is_answer_known && may_answer
    }
}
