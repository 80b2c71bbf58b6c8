//! Everything an agent's decisions can be told, in a form that the time line can carry.

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

/// One input of the decisions. A recorded run is replayed by feeding its inputs again.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "input", rename_all = "kebab-case")]
pub enum Input {
    /// A configuration came in force. Secrets are not part of a recording.
    Config {
        /// The document.
        #[serde(deserialize_with = "document::recorded")]
        document: Box<Document>,
    },
    /// A request arrived.
    Arrived {
        /// What method and path allow.
        class: Class,
        /// Idempotency key.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<Key>,
        /// First bytes of the request's digest.
        #[serde(default)]
        digest: u64,
        /// Length of the body in bytes, if it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        body_bytes: Option<u64>,
        /// Time the caller waits.
        patience: Duration,
        /// Whether a peer relayed it.
        #[serde(default)]
        relayed: bool,
    },
    /// The edge is about to write the first byte to the upstream.
    HandOver,
    /// The head of a feed's answer arrived.
    Opened {
        /// Time since the hand-over.
        latency: Duration,
    },
    /// The upstream's answer arrived whole.
    Whole {
        /// Time since the hand-over.
        latency: Duration,
        /// Whether the upstream failed inside.
        #[serde(default)]
        failed: bool,
        /// Size of the answer in bytes, if it was small enough to keep.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        kept_bytes: Option<usize>,
    },
    /// The connection to the upstream broke after something was sent.
    Cut,
    /// The upstream refused and did not run the request.
    Refused,
    /// No connection to the upstream could be made.
    Unreachable,
    /// Nothing was sent, and the upstream is not the cause.
    Unsent,
    /// The upstream did not answer in time.
    Timeout,
    /// The caller cancelled the request.
    Cancelled,
    /// A claim was settled, or could not be.
    Claimed {
        /// The result.
        claim: Claim,
    },
    /// A relay came to its end.
    Relayed {
        /// How.
        relay: Relay,
    },
    /// A peer reported its load.
    Peer {
        /// The peer.
        agent: AgentId,
        /// Its load.
        load: Load,
    },
    /// A ticket was made for a caller.
    Ticket,
    /// The process was told to stop.
    Drain,
    /// Nothing but time passed.
    Tick,
}

impl Agent {
    /// Feeds one recorded input. Returns whether the input could be applied: an input about a
    /// request needs the request's `id`, and a document needs consistent secrets.
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
                self.may_start(now, id);
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
    /// Records a configuration, without its secrets.
    pub fn config(document: &Document) -> Self {
        Self::Config {
            document: Box::new(document.without_secrets()),
        }
    }

    /// Records a request that arrived at `now`.
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

    /// Records how a hand-over ended. The answer itself is not recorded, only its size.
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

    /// The request that arrived, as of `now`.
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

    /// The end of a hand-over, with an empty body of the recorded size in place of the answer.
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
