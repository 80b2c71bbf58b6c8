//! Unfinished requests.

use std::time::{Duration, Instant};

use sassafrasmast_wire::AgentId;

use crate::timeline::RequestId;

use super::{Class, Key, Request, SizeClass};

/// A request that has no final answer yet or still occupies the upstream.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    pub request: Request,
    pub size: SizeClass,
    pub stage: Stage,
    /// Whether the final answer was given.
    pub answered: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// When its claim was requested; `None` until this agent holds the claim.
    pub claim_requested_at: Option<Instant>,
    /// Whether its result was passed to the limiter, or must not be as the caller cancelled it.
    pub observed: bool,
    /// Whether it was handed over to this agent's own upstream.
    pub handed_over: bool,
    /// When its timer expires.
    pub timer: Instant,
    /// Most time before the deadline that is reserved for the run itself.
    pub max_reserve: Duration,
    /// Whether it was relayed, by a peer to this agent or by this agent to a peer.
    pub relayed: bool,
    /// Repeats with the same key that wait for this request.
    pub waiting_repeats: Vec<RequestId>,
}

/// Stage of an unfinished request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Arrived, or between two other stages.
    New,
    /// Its key is being claimed.
    Claiming,
    /// Waiting for a slot.
    Queued,
    /// Holds a slot, but nothing was sent to the upstream yet.
    Starting,
    /// Handed over to the upstream at this time.
    Running(Instant),
    /// Relayed to this peer.
    Relaying(AgentId),
    /// Waiting for this request with the same key.
    Attached(RequestId),
}

impl InFlight {
    pub fn new(now: Instant, request: Request) -> Self {
        let total = request.deadline.saturating_duration_since(now);
        Self {
            size: SizeClass::of(request.body_bytes),
            stage: Stage::New,
            answered: false,
            may_have_run: false,
            claim_requested_at: None,
            observed: false,
            handed_over: false,
            timer: request.deadline,
            max_reserve: total / 2,
            relayed: request.relayed,
            waiting_repeats: Vec::new(),
            request,
        }
    }

    /// The idempotency key, if the request is non-idempotent.
    pub fn key(&self) -> Option<&Key> {
        match self.request.class {
            Class::NonIdempotent => self.request.key.as_ref(),
            Class::Feed | Class::Idempotent => None,
        }
    }

    /// Whether it is being handed over or was handed over to the upstream.
    pub fn is_started(&self) -> bool {
        matches!(self.stage, Stage::Starting | Stage::Running(_))
    }
}
