//! An unfinished request.

use std::time::{Duration, Instant};

use sassafrasmast_wire::AgentId;

use crate::timeline::RequestId;

use super::{Class, Key, Request, SizeClass};

/// A request that has not got its final answer, or still occupies the upstream.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    pub request: Request,
    pub size: SizeClass,
    pub stage: Stage,
    /// The final answer was given.
    pub answered: bool,
    /// An earlier attempt may have run.
    pub may_have_run: bool,
    /// When its claim was asked for; set once the claim is ours.
    pub claimed_at: Option<Instant>,
    /// What its end says about the upstream is already known, or it ends by the caller's will.
    pub observed: bool,
    /// Was handed to the upstream beside this agent.
    pub handed_over: bool,
    /// When something has to happen to it at the latest.
    pub timer: Instant,
    /// Longest time kept free for the run itself.
    pub max_reserve: Duration,
    /// Was relayed, by a peer to here or from here to a peer.
    pub relayed: bool,
    /// Repeats of the same key that wait for this run.
    pub duplicates: Vec<RequestId>,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Just arrived.
    New,
    /// Its key is being claimed.
    Claiming,
    /// Waits for a slot.
    Queued,
    /// May be handed over, but nothing was sent yet.
    Starting,
    /// Handed over.
    Running(Instant),
    /// Sent to a peer.
    Relaying(AgentId),
    /// Waits for the run of the same key.
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
            claimed_at: None,
            observed: false,
            handed_over: false,
            timer: request.deadline,
            max_reserve: total / 2,
            relayed: request.relayed,
            duplicates: Vec::new(),
            request,
        }
    }

    /// The key, where it matters.
    pub fn key(&self) -> Option<&Key> {
        match self.request.class {
            Class::NonIdempotent => self.request.key.as_ref(),
            Class::Feed | Class::Idempotent => None,
        }
    }

    /// Whether it is at the upstream, or about to be.
    pub fn is_started(&self) -> bool {
        matches!(self.stage, Stage::Starting | Stage::Running(_))
    }
}
