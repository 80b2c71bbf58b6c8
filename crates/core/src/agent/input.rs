//! The inputs of an [`Agent`] in the form in which the timeline records them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_wire::{AgentId, Load};
use serde::{Deserialize, Serialize};

use crate::{
    config::{Document, Snapshot, document},
    timeline::RequestId,
};

use super::{
    Agent, Claim, Class, Finish, Key, Relay, Request, StoredAnswer, request::DIGEST_BYTES,
};

/// One input of an agent. A recorded run is replayed by passing its inputs to [`Agent::handle`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "input", rename_all = "kebab-case")]
pub enum Input {
    /// A configuration came into force. It is recorded without its secrets.
    Config {
        /// The document.
        #[serde(deserialize_with = "document::recorded")]
        document: Box<Document>,
    },
    /// A request arrived.
    Arrived {
        /// Request class, derived from method and path.
        class: Class,
        /// Idempotency key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<Key>,
        /// First 8 bytes of the request's digest.
        #[serde(default)]
        digest: u64,
        /// Length of the body in bytes, if it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        body_bytes: Option<u64>,
        /// Time until the caller's deadline.
        patience: Duration,
        /// Whether a peer relayed the request.
        #[serde(default)]
        relayed: bool,
    },
    /// The first byte of the request is about to be written to the upstream.
    HandOver,
    /// The head of a feed's answer arrived.
    Opened {
        /// Time since the hand-over.
        latency: Duration,
    },
    /// The upstream's answer arrived completely.
    Whole {
        /// Time since the hand-over.
        latency: Duration,
        /// Whether the status was 500 or above.
        #[serde(default)]
        failed: bool,
        /// Length of the answer's body in bytes, if the answer was stored for repeats.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        kept_bytes: Option<usize>,
    },
    /// The connection to the upstream broke after part of the request was sent.
    Cut,
    /// The upstream refused the request without running it.
    Refused,
    /// No connection to the upstream could be made.
    Unreachable,
    /// Nothing was sent, for a reason other than the upstream.
    Unsent,
    /// The upstream did not answer in time.
    Timeout,
    /// The caller cancelled the request.
    Cancelled,
    /// A claim ended with a result.
    Claimed {
        /// The result.
        claim: Claim,
    },
    /// The relay of a request to a peer ended.
    Relayed {
        /// The result.
        relay: Relay,
    },
    /// A peer reported its load.
    Peer {
        /// The peer.
        agent: AgentId,
        /// Its load.
        load: Load,
    },
    /// A ticket was requested for a caller.
    Ticket,
    /// The process was told to stop.
    Drain,
    /// A timer tick.
    Tick,
}

impl Agent {
    /// Applies one recorded input. Returns `false` if it can't be applied: an input about a request
    /// needs the request's `id`, and a document needs consistent secrets.
    pub fn handle(&mut self, now: Instant, id: Option<RequestId>, input: &Input) -> bool {
        match (input, id) {
            (Input::Config { document }, _) => {
                let Some(snapshot) = Snapshot::new(document.as_ref().clone()) else {
                    return false;
                };
                self.config(now, &snapshot);
            }
            (Input::Peer { agent, load }, _) => self.peer_load(now, *agent, *load),
            (Input::Drain, _) => self.drain(now),
            (Input::Ticket, _) => {
                self.ticket(now);
            }
            (Input::Tick, _) => self.tick(now),
            (_, Some(id)) => self.handle_request(now, id, input),
            (_, None) => return false,
        }
        true
    }

    fn handle_request(&mut self, now: Instant, id: RequestId, input: &Input) {
        match input {
            Input::Arrived { .. } => {
                if let Some(request) = input.request(now, id) {
                    self.arrive(now, request);
                }
            }
            Input::HandOver => {
                self.begin_hand_over(now, id);
            }
            Input::Opened { latency } => self.opened(now, id, *latency),
            Input::Cancelled => self.cancelled(now, id),
            Input::Claimed { claim } => self.claimed(now, id, *claim),
            Input::Relayed { relay } => self.relayed(now, id, *relay),
            _ => {
                if let Some(finish) = input.finish() {
                    self.finished(now, id, finish);
                }
            }
        }
    }
}

impl Input {
    /// Input for a configuration, without its secrets.
    pub fn config(document: &Document) -> Self {
        Self::Config {
            document: Box::new(document.without_secrets()),
        }
    }

    /// Input for a request that arrived at `now`.
    pub fn arrived(now: Instant, request: &Request) -> Self {
        let mut digest = [0; size_of::<u64>()];
        digest.copy_from_slice(&request.digest[..size_of::<u64>()]);
        Self::Arrived {
            class: request.class,
            key: request.key.clone(),
            digest: u64::from_be_bytes(digest),
            body_bytes: request.body_bytes,
            patience: request.deadline.saturating_duration_since(now),
            relayed: request.relayed,
        }
    }

    /// Input for the end of a started request. Of a stored answer only the body's length is
    /// recorded.
    pub fn finished(finish: &Finish) -> Self {
        match finish {
            Finish::Whole {
                answer,
                latency,
                failed,
            } => Self::Whole {
                latency: *latency,
                failed: *failed,
                kept_bytes: answer.as_ref().map(|kept| kept.body.len()),
            },
            Finish::Cut => Self::Cut,
            Finish::Refused => Self::Refused,
            Finish::Unreachable => Self::Unreachable,
            Finish::Unsent => Self::Unsent,
            Finish::Timeout => Self::Timeout,
        }
    }

    /// Rebuilds the request of an [`Input::Arrived`], with its deadline counted from `now`.
    fn request(&self, now: Instant, id: RequestId) -> Option<Request> {
        let Self::Arrived {
            class,
            key,
            digest,
            body_bytes,
            patience,
            relayed,
        } = self
        else {
            return None;
        };
        let mut padded = [0; DIGEST_BYTES];
        padded[..size_of::<u64>()].copy_from_slice(&digest.to_be_bytes());
        Some(Request {
            id,
            class: *class,
            key: key.clone(),
            digest: padded,
            body_bytes: *body_bytes,
            deadline: now + *patience,
            relayed: *relayed,
        })
    }

    /// Rebuilds the end of a started request. A stored answer gets a body of zeros of the recorded
    /// length.
    fn finish(&self) -> Option<Finish> {
        Some(match self {
            Self::Whole {
                latency,
                failed,
                kept_bytes,
            } => Finish::Whole {
                answer: kept_bytes.map(|bytes| {
                    Arc::new(StoredAnswer {
                        status: 200,
                        headers: Vec::new(),
                        body: vec![0; bytes],
                    })
                }),
                latency: *latency,
                failed: *failed,
            },
            Self::Cut => Finish::Cut,
            Self::Refused => Finish::Refused,
            Self::Unreachable => Finish::Unreachable,
            Self::Unsent => Finish::Unsent,
            Self::Timeout => Finish::Timeout,
            _ => return None,
        })
    }
}
