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
    Answer, Cut, Driver, Inflow, Outflow, Piece, Server, Sink, Source, intake, outflow::Broken,
};
use crate::relay::{Chunk, Failure, Fields, Head, Line, Sender};

/// Answers up to this size are read whole before the caller sees their head, so a cut still
/// becomes an error answer.
const WHOLE_BYTES: usize = 64 * 1_024;

/// How far an attempt came.
pub enum Step {
    /// The upstream's run ended.
    Finished(Finish, Option<Answer>),
    /// The relay ended.
    Relayed(Relay, Option<Answer>),
    /// The answer is larger than what is read whole, or a feed: it has to be streamed.
    Streaming {
        /// Head and beginning.
        answer: Answer,
        /// The rest.
        rest: Outflow,
        /// Time until the head arrived.
        latency: Duration,
    },
    /// A streamed answer came to its end.
    Streamed {
        /// For ending the answer, while the caller is there.
        sink: Option<Sink>,
        /// Whether the whole body was read.
        whole: bool,
    },
    /// The request must not be handed over any more.
    Withdrawn,
    /// The request's own body was at fault.
    Faulty(Kind),
}

/// A request to be tried.
#[derive(Clone)]
pub struct Attempt {
    /// What the flows share.
    pub server: Arc<Server>,
    /// Id of the request.
    pub id: RequestId,
    /// Its head.
    pub request: Request<()>,
    /// Its body.
    pub source: Arc<Mutex<Source>>,
    /// What method and path allow.
    pub class: Class,
    /// Whether its answer may be asked for again.
    pub keyed: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

impl Attempt {
    /// Runs the request at the upstream. Dropping the future cancels the run.
    pub async fn run(self) -> Step {
        let Ok(line) = self.server.upstream.connect().await else {
            return Step::Finished(Finish::Unreachable, None);
        };
        let Some((body, pump)) = self.body() else {
            return Step::Finished(Finish::Unsent, None);
        };
        let Ok(request) = self.outgoing(body) else {
            return Step::Faulty(Kind::BadRequest);
        };
        let (dispatcher, id) = (&self.server.dispatcher, self.id);
        if !dispatcher.decide(|agent, now| agent.begin_hand_over(now, id)) {
            return Step::Withdrawn;
        }
        let started = Instant::now();
        let recorder = &self.server.recorder;
        recorder.record_about(None, Some(id), timeline::Kind::RequestStarted);
        let call = match line.send(request).await {
            Ok(call) => call,
            Err(Kind::UpstreamRefused) => return Step::Finished(Finish::Refused, None),
            Err(kind @ (Kind::BodyTooLarge | Kind::Cancelled)) => return Step::Faulty(kind),
            Err(_) => return Step::Finished(Finish::Cut, None),
        };
        let (head, body) = call.response.into_parts();
        let rest = Outflow::Upstream(body, call.driver, pump);
        let answer = Answer::ran(head.status, head.headers, Bytes::new());
        self.read(answer, rest, started, call.delimited).await
    }

    /// Reads an answer of the upstream as far as it is read whole.
    async fn read(
        &self,
        mut answer: Answer,
        mut rest: Outflow,
        started: Instant,
        delimited: bool,
    ) -> Step {
        let feed = self.class == Class::Feed;
        let Ok((start, whole)) = start_of(&mut rest, feed).await else {
            return Step::Finished(Finish::Cut, None);
        };
        if !delimited && !feed {
            // Nobody could tell its end from a cut.
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
            answer: self.keyed.then(|| answer.keep()),
            latency,
            failed: answer.status.is_server_error(),
        };
        Step::Finished(finish, Some(answer))
    }

    /// Sends the request to a peer. Dropping the future cancels it there.
    pub async fn relay(self, to: AgentId) -> Step {
        let Some((address, head)) = self.relay_head(to) else {
            return Step::Relayed(Relay::Unreachable, None);
        };
        let from = self.server.settings.listen.ip();
        let Ok(mut line) = Line::connect(from, address).await else {
            return Step::Relayed(Relay::Unreachable, None);
        };
        let Some((body, pump)) = self.body() else {
            return Step::Relayed(Relay::Unreachable, None);
        };
        match line.send(head).await {
            Ok(()) => {}
            Err(Failure::Unreachable) => return Step::Relayed(Relay::Unreachable, None),
            Err(Failure::Lost) => return Step::Relayed(Relay::Lost, None),
        }
        let started = Instant::now();
        let (sender, mut receiver) = line.split();
        let driver = Driver::spawn(upload(body, pump, sender));
        let Ok(head) = receiver.answer().await else {
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
        let mut rest = Outflow::Peer(receiver, driver);
        let Ok((start, whole)) = start_of(&mut rest, false).await else {
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

    fn body(&self) -> Option<(Inflow, Option<Driver>)> {
        let mut source = self.source.lock().unwrap_or_else(PoisonError::into_inner);
        source.body()
    }

    /// The request as the upstream gets it.
    fn outgoing(&self, body: Inflow) -> Result<Request<Inflow>, http::uri::InvalidUri> {
        let mut request = Request::new(body);
        *request.method_mut() = self.request.method().clone();
        *request.uri_mut() = intake::path(&self.request).parse()?;
        *request.headers_mut() = self.request.headers().clone();
        let left = HeaderValue::from(left_ms(self.deadline));
        request.headers_mut().insert(intake::DEADLINE, left);
        Ok(request)
    }

    /// The peer's address and the head to send there.
    fn relay_head(&self, to: AgentId) -> Option<(std::net::SocketAddr, Head)> {
        let snapshot = self.server.blackboard.config()?;
        let peer = snapshot.document.upstreams.get(&to)?;
        let head = Head {
            to,
            service: peer.service,
            method: self.request.method().to_string(),
            path: intake::path(&self.request).to_owned(),
            headers: Fields::new(self.request.headers()),
            left_ms: left_ms(self.deadline),
        };
        Some((peer.agent, head))
    }
}

/// Sends a body to a peer, then holds the connection open: closing it would cancel the request.
async fn upload(mut body: Inflow, pump: Option<Driver>, mut sender: Sender) {
    loop {
        let sent = match body.next().await {
            Piece::Data(bytes) => sender.data(bytes).await,
            Piece::End => {
                if sender.chunk(&Chunk::End).await.is_ok() {
                    std::future::pending::<()>().await;
                }
                break;
            }
            Piece::Cut(Cut::TooLarge) => {
                // Whether or not it arrives, the body does not end well.
                let _ = sender.chunk(&Chunk::TooLarge).await;
                break;
            }
            Piece::Cut(Cut::Short) => break,
        };
        if sent.is_err() {
            break;
        }
    }
    drop(pump);
}

/// Reads a small answer whole, of a larger one the beginning, and of a feed nothing.
async fn start_of(rest: &mut Outflow, feed: bool) -> Result<(Bytes, bool), Broken> {
    let mut start = BytesMut::new();
    while !feed && start.len() <= WHOLE_BYTES {
        match rest.next().await? {
            Some(piece) => start.extend_from_slice(&piece),
            None => return Ok((start.freeze(), true)),
        }
    }
    Ok((start.freeze(), false))
}

/// Sends an answer on as it arrives. If the caller leaves, the body is still read to its end: the
/// run may belong to a key.
pub async fn stream(
    mut sink: Option<Sink>,
    answer: Answer,
    mut rest: Outflow,
    ticket: Option<String>,
) -> Step {
    if let Some(there) = &mut sink
        && (there.head(&answer, ticket.as_deref()).await.is_err()
            || there.data(answer.body).await.is_err())
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
        if let Some(there) = &mut sink
            && there.data(piece).await.is_err()
        {
            sink = None;
        }
    }
}

/// Time left until `deadline`, in milliseconds.
fn left_ms(deadline: Instant) -> u64 {
    let left = deadline.saturating_duration_since(Instant::now());
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}
