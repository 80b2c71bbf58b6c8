//! One attempt to get an answer: from the upstream or from a peer.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, StatusCode};
use sassafrasmast_core::{
    agent::{Class, Finish, Relay},
    error::Kind,
    timeline::{self, RequestId},
};
use sassafrasmast_wire::AgentId;

use super::{
    AbortOnDrop, Answer, Cut, Piece, RequestBody, ResponseBody, SharedState, Sink, Source,
    request_head, response_body::Truncated,
};
use crate::relay::{Chunk, Connection, Failure, Fields, Head, Sender};

/// Answers up to this size are buffered completely before their head is sent to the caller, so that
/// a broken upstream connection can still be reported as an error answer.
const MAX_BUFFERED_ANSWER_BYTES: usize = 64 * 1_024;

/// Result of a stage of an attempt.
pub enum Step {
    /// The run at the upstream ended.
    Finished(Finish, Option<Answer>),
    /// The relay to a peer ended.
    Relayed(Relay, Option<Answer>),
    /// The answer has to be streamed: it exceeds `MAX_BUFFERED_ANSWER_BYTES` or is a feed.
    Streaming {
        /// The head and the start of the body.
        answer: Answer,
        /// The rest of the body.
        rest: ResponseBody,
        /// Time until the part in `answer` arrived.
        latency: Duration,
    },
    /// Streaming of an answer ended.
    Streamed {
        /// For ending the answer; `None` if the answer broke off or the caller disconnected.
        sink: Option<Sink>,
        /// Whether the whole body was read.
        whole: bool,
    },
    /// The agent state machine did not permit the start at the upstream; nothing was sent.
    Withdrawn,
    /// The request itself was invalid, or its body was too large or broke off.
    RequestError(Kind),
}

/// A request to send to the upstream or to a peer.
#[derive(Clone)]
pub struct Attempt {
    /// State shared by all flows.
    pub shared: Arc<SharedState>,
    /// Id of the request.
    pub id: RequestId,
    /// Its head.
    pub request: Request<()>,
    /// Its body.
    pub source: Arc<Mutex<Source>>,
    /// Request class.
    pub class: Class,
    /// Whether its answer is stored for repeats with the same key.
    pub keyed: bool,
    /// Time until which the caller waits.
    pub deadline: Instant,
}

impl Attempt {
    /// Runs the request at the upstream. Dropping the future cancels the run.
    pub async fn run(self) -> Step {
        let Ok(connection) = self.shared.upstream.connect().await else {
            return Step::Finished(Finish::Unreachable, None);
        };
        let Some((body, body_task)) = self.body() else {
            return Step::Finished(Finish::Unsent, None);
        };
        let Ok(request) = self.outgoing(body) else {
            return Step::RequestError(Kind::BadRequest);
        };
        let (dispatcher, id) = (&self.shared.dispatcher, self.id);
        if !dispatcher.decide(|agent, now| agent.begin_hand_over(now, id)) {
            return Step::Withdrawn;
        }
        let started = Instant::now();
        let recorder = &self.shared.recorder;
        recorder.record_about(None, Some(id), timeline::Kind::RequestStarted);
        let call = match connection.send(request).await {
            Ok(call) => call,
            Err(Kind::UpstreamRefused) => return Step::Finished(Finish::Refused, None),
            Err(kind @ (Kind::BodyTooLarge | Kind::Cancelled)) => return Step::RequestError(kind),
            Err(_) => return Step::Finished(Finish::Cut, None),
        };
        let (head, body) = call.response.into_parts();
        let rest = ResponseBody::Upstream(body, call.driver, body_task);
        let answer = Answer::ran(head.status, head.headers, Bytes::new());
        self.read(answer, rest, started, call.delimited).await
    }

    /// Reads the start of an upstream answer, or all of a small one.
    async fn read(
        &self,
        mut answer: Answer,
        mut rest: ResponseBody,
        started: Instant,
        delimited: bool,
    ) -> Step {
        let feed = self.class == Class::Feed;
        let Ok((start, whole)) = read_start(&mut rest, feed).await else {
            return Step::Finished(Finish::Cut, None);
        };
        if !delimited && !feed {
            // Without length or chunked encoding, a broken connection looks like the end.
            return Step::Finished(Finish::Cut, None);
        }
        answer.body = start;
        let latency = started.elapsed();
        if !whole {
            return Step::Streaming {
                answer,
                rest,
                latency,
            };
        }
        let finish = Finish::Whole {
            answer: self.keyed.then(|| answer.to_stored()),
            latency,
            failed: answer.status.is_server_error(),
        };
        Step::Finished(finish, Some(answer))
    }

    /// Sends the request to a peer. Dropping the future cancels the request there, unless a run
    /// with a key has started.
    pub async fn relay(self, to: AgentId) -> Step {
        let Some((address, head)) = self.relay_head(to) else {
            return Step::Relayed(Relay::Unreachable, None);
        };
        let from = self.shared.settings.listen.ip();
        let Ok(mut connection) = Connection::connect(from, address).await else {
            return Step::Relayed(Relay::Unreachable, None);
        };
        let Some((body, body_task)) = self.body() else {
            return Step::Relayed(Relay::Unreachable, None);
        };
        match connection.send(head).await {
            Ok(()) => {}
            Err(Failure::Unreachable) => return Step::Relayed(Relay::Unreachable, None),
            Err(Failure::Lost) => return Step::Relayed(Relay::Lost, None),
        }
        let started = Instant::now();
        let (sender, mut receiver) = connection.split();
        let driver = AbortOnDrop::spawn(upload(body, body_task, sender));
        let Ok(head) = receiver.receive_answer().await else {
            return Step::Relayed(Relay::Lost, None);
        };
        let outcome = head.outcome;
        if let Some(kind) = head.kind {
            return Step::Relayed(Relay::Refused { kind, outcome }, None);
        }
        let (Ok(status), Some(headers)) =
            (StatusCode::from_u16(head.status), head.headers.to_headers())
        else {
            return Step::Relayed(Relay::Lost, None);
        };
        let mut rest = ResponseBody::Peer(receiver, driver);
        let Ok((start, whole)) = read_start(&mut rest, false).await else {
            return Step::Relayed(Relay::Lost, None);
        };
        let mut answer = Answer::ran(status, headers, start);
        answer.outcome = outcome;
        if whole {
            return Step::Relayed(Relay::Whole, Some(answer));
        }
        Step::Streaming {
            answer,
            rest,
            latency: started.elapsed(),
        }
    }

    fn body(&self) -> Option<(RequestBody, Option<AbortOnDrop>)> {
        let mut source = self.source.lock().unwrap_or_else(PoisonError::into_inner);
        source.body()
    }

    /// The request to send to the upstream, with the time left in the deadline header.
    fn outgoing(&self, body: RequestBody) -> Result<Request<RequestBody>, http::uri::InvalidUri> {
        let mut request = Request::new(body);
        *request.method_mut() = self.request.method().clone();
        *request.uri_mut() = request_head::path(&self.request).parse()?;
        *request.headers_mut() = self.request.headers().clone();
        let time_left = HeaderValue::from(time_left_ms(self.deadline));
        request
            .headers_mut()
            .insert(request_head::DEADLINE, time_left);
        Ok(request)
    }

    /// The peer's address and the request head to send to it.
    fn relay_head(&self, to: AgentId) -> Option<(std::net::SocketAddr, Head)> {
        let snapshot = self.shared.blackboard.config()?;
        let peer = snapshot.document.upstreams.get(&to)?;
        let head = Head {
            to,
            service: peer.service,
            method: self.request.method().to_string(),
            path: request_head::path(&self.request).to_owned(),
            headers: Fields::new(self.request.headers()),
            time_left_ms: time_left_ms(self.deadline),
        };
        Some((peer.agent, head))
    }
}

/// Sends a body to a peer, then keeps the connection open, as closing it would tell the peer that
/// the caller no longer waits.
async fn upload(mut body: RequestBody, body_task: Option<AbortOnDrop>, mut sender: Sender) {
    loop {
        let sent = match body.next().await {
            Piece::Data(bytes) => sender.send_data(bytes).await,
            Piece::End => {
                if sender.send_chunk(&Chunk::End).await.is_ok() {
                    std::future::pending::<()>().await;
                }
                break;
            }
            Piece::Cut(Cut::TooLarge) => {
                // Without `Chunk::End` the peer treats the body as incomplete, so a lost message is
                // harmless.
                let _ = sender.send_chunk(&Chunk::TooLarge).await;
                break;
            }
            Piece::Cut(Cut::Incomplete) => break,
        };
        if sent.is_err() {
            break;
        }
    }
    drop(body_task);
}

/// Reads a small answer completely, the start of a larger one, and nothing of a feed. Returns the
/// bytes and whether the body ended.
async fn read_start(rest: &mut ResponseBody, feed: bool) -> Result<(Bytes, bool), Truncated> {
    let mut start = BytesMut::new();
    while !feed && start.len() <= MAX_BUFFERED_ANSWER_BYTES {
        match rest.next().await? {
            Some(piece) => start.extend_from_slice(&piece),
            None => return Ok((start.freeze(), true)),
        }
    }
    Ok((start.freeze(), false))
}

/// Forwards an answer as it arrives. If the caller disconnects, the body is still read to its end,
/// because a run with a key may have to finish.
pub async fn stream(
    mut sink: Option<Sink>,
    answer: Answer,
    mut rest: ResponseBody,
    ticket: Option<String>,
) -> Step {
    if let Some(open_sink) = &mut sink
        && (open_sink
            .send_head(&answer, ticket.as_deref())
            .await
            .is_err()
            || open_sink.send_data(answer.body).await.is_err())
    {
        sink = None;
    }
    loop {
        let Ok(piece) = rest.next().await else {
            if let Some(sink) = sink {
                sink.abort();
            }
            return Step::Streamed {
                sink: None,
                whole: false,
            };
        };
        let Some(piece) = piece else {
            return Step::Streamed { sink, whole: true };
        };
        if let Some(open_sink) = &mut sink
            && open_sink.send_data(piece).await.is_err()
        {
            sink = None;
        }
    }
}

/// Time left until `deadline`, in milliseconds.
fn time_left_ms(deadline: Instant) -> u64 {
    let time_left = deadline.saturating_duration_since(Instant::now());
    u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX)
}
