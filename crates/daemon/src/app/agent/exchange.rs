//! One request and its answer: performs the actions that the agent state machine emits for it.

use std::{
    pin::Pin,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use http::{Request, StatusCode};
use sassafrasmast_core::{
    agent::{self, Action, Class, Finish, Relay, Reply},
    error::{Kind, Outcome},
    timeline::{self, FlowId, RequestId},
};

use super::{
    Actions, Answer, RequestInfo, SharedState, Sink,
    attempt::{self, Attempt, Step},
    request_head,
    source::Origin,
};
use crate::http3::{StreamEnd, StreamEnded};

/// Path at which callers request a ticket. Such requests never reach the upstream.
const TICKET_PATH: &str = "/.well-known/sassafrasmast/ticket";

/// An attempt, or the streaming of its answer, in progress.
type Work = Pin<Box<dyn Future<Output = Step> + Send>>;

/// A request as it arrived.
pub struct Arrival {
    /// Flow on which it arrived; `None` if a peer relayed it.
    pub flow: Option<FlowId>,
    /// Its head.
    pub request: Request<()>,
    /// Its body.
    pub origin: Origin,
    /// Where its answer goes.
    pub sink: Sink,
    /// Completes when the caller no longer waits for the answer.
    pub cancel: StreamEnded,
    /// Time left until the deadline according to the relaying peer; `None` if no peer relayed it.
    pub time_left: Option<Duration>,
}

/// A request that has no final answer yet, or about which further actions may follow.
struct Exchange {
    attempt: Attempt,
    flow: Option<FlowId>,
    sink: Option<Sink>,
    /// The complete answer of this request's own run or relay; of a streamed one only status and
    /// outcome.
    pending_answer: Option<Answer>,
    /// Whether the current attempt is a relay.
    relaying: bool,
    /// What was wrong with the request itself.
    request_error: Option<Kind>,
    /// Set once an answer is streamed: the time until its start arrived.
    stream_latency: Option<Duration>,
    answered: bool,
}

/// Serves one request to its final answer.
pub async fn serve(shared: Arc<SharedState>, arrival: Arrival) {
    let id = shared.next_request_id();
    let Arrival {
        flow,
        request,
        origin,
        sink,
        mut cancel,
        time_left,
    } = arrival;
    let recorder = &shared.recorder;
    recorder.record_about(flow, Some(id), timeline::Kind::RequestArrived);
    if time_left.is_none() && request.uri().path() == TICKET_PATH {
        return deliver(&shared, flow, id, sink, ticket_path_answer(&shared)).await;
    }
    let info = tokio::select! {
        info = RequestInfo::read(&shared, &request, origin, time_left) => info,
        _ = &mut cancel => return,
    };
    let info = match info {
        Ok(info) => info,
        Err(Kind::Cancelled) => return,
        Err(kind) => {
            let answer = request_head::refusal(kind, request.headers());
            return deliver(&shared, flow, id, sink, answer).await;
        }
    };
    let class = info.class;
    let arrived = agent::Request {
        id,
        class,
        digest: request_head::digest(&request, &info.source),
        body_bytes: info.source.length(),
        deadline: info.deadline,
        relayed: time_left.is_some(),
        key: info.key.clone(),
    };
    let exchange = Exchange {
        attempt: Attempt {
            shared: Arc::clone(&shared),
            id,
            request,
            source: Arc::new(Mutex::new(info.source)),
            class,
            keyed: class == Class::NonIdempotent && info.key.is_some(),
            deadline: info.deadline,
        },
        flow,
        sink: Some(sink),
        pending_answer: None,
        relaying: false,
        request_error: None,
        stream_latency: None,
        answered: false,
    };
    let actions = shared.dispatcher.arrive(arrived);
    exchange.run(actions, cancel).await;
}

/// The answer of [`TICKET_PATH`].
fn ticket_path_answer(shared: &SharedState) -> Answer {
    match shared
        .dispatcher
        .inspect(|agent, now| agent.load(now).state)
    {
        state if state.takes_work() => Answer::ran(
            StatusCode::NO_CONTENT,
            Default::default(),
            Default::default(),
        ),
        _ => Answer::refusal(Kind::Draining),
    }
}

/// Sends the caller a final answer whose body is complete.
async fn deliver(
    shared: &SharedState,
    flow: Option<FlowId>,
    id: RequestId,
    mut sink: Sink,
    answer: Answer,
) {
    record_answer(shared, flow, id, answer.status.as_u16(), answer.outcome);
    let ticket = shared.ticket();
    // A caller that disconnected needs no answer.
    if sink.send_head(&answer, ticket.as_deref()).await.is_ok()
        && sink.send_data(answer.body).await.is_ok()
    {
        let _ = sink.finish().await;
    }
}

/// Records a final answer in the metrics and on the time line.
fn record_answer(
    shared: &SharedState,
    flow: Option<FlowId>,
    id: RequestId,
    status: u16,
    outcome: Outcome,
) {
    metrics::counter!("sassafrasmast_agent_answers_total", "outcome" => outcome.as_str())
        .increment(1);
    let kind = timeline::Kind::RequestAnswered {
        status,
        outcome: outcome.to_string(),
    };
    shared.recorder.record_about(flow, Some(id), kind);
}

/// Waits for the work in progress; forever if there is none.
async fn next_step(work: &mut Option<Work>) -> Step {
    match work {
        Some(work) => work.await,
        None => std::future::pending().await,
    }
}

impl Exchange {
    /// Performs actions until no more can follow.
    async fn run(mut self, mut actions: Actions, mut cancel: StreamEnded) {
        let mut work: Option<Work> = None;
        let mut waiting = true;
        loop {
            tokio::select! {
                action = actions.recv() => match action {
                    Some(action) => self.perform(action, &mut work).await,
                    None => return,
                },
                step = next_step(&mut work) => {
                    work = None;
                    self.on_step(step, &mut work);
                }
                stop = &mut cancel, if waiting => {
                    waiting = false;
                    if stop != StreamEnd::Delivered {
                        self.decide(agent::Agent::cancelled);
                    }
                }
            }
        }
    }

    fn decide(&self, event: impl FnOnce(&mut agent::Agent, Instant, RequestId)) {
        let id = self.attempt.id;
        let dispatcher = &self.attempt.shared.dispatcher;
        dispatcher.decide(|agent, now| event(agent, now, id));
    }

    /// Performs one action.
    async fn perform(&mut self, action: Action, work: &mut Option<Work>) {
        let attempt = self.attempt.clone();
        match action {
            Action::Start { .. } => {
                self.relaying = false;
                *work = Some(Box::pin(attempt.run()));
            }
            Action::Relay { id, to } => {
                self.relaying = true;
                let recorder = &attempt.shared.recorder;
                let relayed = timeline::Kind::RequestRelayed { agent: to };
                recorder.record_about(self.flow, Some(id), relayed);
                *work = Some(Box::pin(attempt.relay(to)));
            }
            Action::Abort { .. } => {
                *work = None;
                self.decide(|agent, now, id| agent.finished(now, id, Finish::Cut));
            }
            Action::Claim { id, key, nonce } => {
                tokio::spawn(async move {
                    let result = attempt.shared.claim(&key, nonce).await;
                    let dispatcher = &attempt.shared.dispatcher;
                    dispatcher.decide(|agent, now| agent.claimed(now, id, result));
                });
            }
            Action::Answer { reply, .. } => {
                self.send_answer(reply).await;
                self.answered = true;
                attempt.shared.dispatcher.answered(attempt.id);
            }
            Action::LimitChanged { .. } | Action::Collapsed => {}
        }
    }

    /// Reports the result of the work.
    fn on_step(&mut self, step: Step, work: &mut Option<Work>) {
        match step {
            Step::Finished(finish, answer) => {
                self.pending_answer = answer;
                self.decide(|agent, now, id| agent.finished(now, id, finish));
            }
            Step::Relayed(relay, answer) => {
                self.pending_answer = answer;
                self.decide(|agent, now, id| agent.relayed(now, id, relay));
            }
            Step::Streaming {
                answer,
                rest,
                latency,
            } => {
                if self.attempt.class == Class::Feed {
                    self.decide(|agent, now, id| agent.opened(now, id, latency));
                }
                self.stream_latency = Some(latency);
                let (status, outcome) = (answer.status, answer.outcome);
                self.pending_answer =
                    Some(Answer::ran(status, Default::default(), Default::default()));
                if let Some(pending_answer) = &mut self.pending_answer {
                    pending_answer.outcome = outcome;
                }
                let ticket = self.attempt.shared.ticket();
                let stream = attempt::stream(self.sink.take(), answer, rest, ticket);
                *work = Some(Box::pin(stream));
            }
            Step::Streamed { sink, whole } => {
                self.sink = sink;
                self.on_stream_end(whole);
            }
            Step::Withdrawn => {}
            Step::RequestError(kind) => {
                self.request_error = Some(kind);
                self.decide(agent::Agent::cancelled);
                self.decide(|agent, now, id| agent.finished(now, id, Finish::Cut));
            }
        }
    }

    /// Reports the end of a streamed answer.
    fn on_stream_end(&self, whole: bool) {
        let status = self
            .pending_answer
            .as_ref()
            .map(|pending_answer| pending_answer.status);
        match (self.relaying, whole) {
            (true, true) => self.decide(|agent, now, id| agent.relayed(now, id, Relay::Whole)),
            (true, false) => self.decide(|agent, now, id| agent.relayed(now, id, Relay::Lost)),
            (false, false) => self.decide(|agent, now, id| agent.finished(now, id, Finish::Cut)),
            (false, true) => {
                let finish = Finish::Whole {
                    answer: None,
                    latency: self.stream_latency.unwrap_or_default(),
                    failed: status.is_some_and(|status| status.is_server_error()),
                };
                self.decide(|agent, now, id| agent.finished(now, id, finish));
            }
        }
    }

    /// Sends the caller the final answer, or ends the one that is being streamed.
    async fn send_answer(&mut self, reply: Reply) {
        let (shared, id) = (Arc::clone(&self.attempt.shared), self.attempt.id);
        if self.stream_latency.is_some() {
            return self.end_stream(&shared, reply).await;
        }
        let answer = match reply {
            Reply::Fresh => match self.pending_answer.take() {
                Some(answer) => answer,
                None => Answer::error(Kind::AnswerDropped, Outcome::Ran),
            },
            Reply::Stored(stored) => Answer::from_stored(&stored),
            Reply::Error { kind, outcome } => {
                Answer::error(self.request_error.unwrap_or(kind), outcome)
            }
        };
        if let Some(sink) = self.sink.take() {
            deliver(&shared, self.flow, id, sink, answer).await;
        }
    }

    /// Ends a streamed answer. It is left incomplete unless the reply is this request's own
    /// complete answer.
    async fn end_stream(&mut self, shared: &SharedState, reply: Reply) {
        let (status, outcome) = match (&reply, &self.pending_answer) {
            (Reply::Error { kind, outcome }, _) => (kind.answer().status, *outcome),
            (_, Some(pending_answer)) => (pending_answer.status.as_u16(), pending_answer.outcome),
            (_, None) => (StatusCode::OK.as_u16(), Outcome::Ran),
        };
        record_answer(shared, self.flow, self.attempt.id, status, outcome);
        if let (Reply::Fresh, Some(sink)) = (reply, self.sink.take()) {
            // A caller that disconnected needs no end of the answer.
            let _ = sink.finish().await;
        }
    }
}

impl Drop for Exchange {
    /// Releases what the request holds in the agent state machine if its task ended early.
    fn drop(&mut self) {
        let (dispatcher, id) = (&self.attempt.shared.dispatcher, self.attempt.id);
        if dispatcher.inspect(|agent, _| agent.is_open(id)) {
            self.decide(agent::Agent::cancelled);
            self.decide(|agent, now, id| agent.finished(now, id, Finish::Cut));
        }
        if !self.answered {
            dispatcher.answered(id);
        }
    }
}
