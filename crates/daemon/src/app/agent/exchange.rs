//! One request and its answer: carries out what is decided about it.

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
    Actions, Answer, Facts, Server, Sink,
    attempt::{self, Attempt, Step},
    intake,
    source::Origin,
};
use crate::http3::{Cancel, Stop};

/// Path that gives a ticket.
const TICKET_PATH: &str = "/.well-known/sassafrasmast/ticket";

/// Work on a request that is under way.
type Work = Pin<Box<dyn Future<Output = Step> + Send>>;

/// A request as it arrived.
pub struct Arrival {
    /// Flow on which it came; `None` if a peer relayed it.
    pub flow: Option<FlowId>,
    /// Its head.
    pub request: Request<()>,
    /// Its body.
    pub origin: Origin,
    /// Where its answer goes.
    pub sink: Sink,
    /// Completes when nobody waits for the answer any more.
    pub cancel: Cancel,
    /// Time that the relaying peer leaves; `None` if no peer relayed it.
    pub left: Option<Duration>,
}

/// A request on its way to its final answer.
struct Exchange {
    attempt: Attempt,
    flow: Option<FlowId>,
    sink: Option<Sink>,
    /// The whole answer of the own run or relay.
    held: Option<Answer>,
    /// Whether the present work is a relay.
    relaying: bool,
    /// What was wrong with the request's own body.
    fault: Option<Kind>,
    /// The head of a streamed answer is gone out; it took this long to come.
    streamed: Option<Duration>,
    answered: bool,
}

/// Serves one request to its final answer.
pub async fn serve(server: Arc<Server>, arrival: Arrival) {
    let id = server.next_request();
    let Arrival {
        flow,
        request,
        origin,
        sink,
        mut cancel,
        left,
    } = arrival;
    let recorder = &server.recorder;
    recorder.record_about(flow, Some(id), timeline::Kind::RequestArrived);
    if left.is_none() && request.uri().path() == TICKET_PATH {
        return deliver(&server, flow, id, sink, ticket_answer(&server)).await;
    }
    let facts = tokio::select! {
        facts = Facts::find(&server, &request, origin, left) => facts,
        _ = &mut cancel => return,
    };
    let facts = match facts {
        Ok(facts) => facts,
        Err(Kind::Cancelled) => return,
        Err(kind) => {
            let answer = intake::refusal(kind, request.headers());
            return deliver(&server, flow, id, sink, answer).await;
        }
    };
    let class = facts.class;
    let arrived = agent::Request {
        id,
        class,
        digest: intake::digest(&request, &facts.source),
        body_bytes: facts.source.length(),
        deadline: facts.deadline,
        relayed: left.is_some(),
        key: facts.key.clone(),
    };
    let exchange = Exchange {
        attempt: Attempt {
            server: Arc::clone(&server),
            id,
            request,
            source: Arc::new(Mutex::new(facts.source)),
            class,
            keyed: class == Class::NonIdempotent && facts.key.is_some(),
            deadline: facts.deadline,
        },
        flow,
        sink: Some(sink),
        held: None,
        relaying: false,
        fault: None,
        streamed: None,
        answered: false,
    };
    let actions = server.dispatcher.arrive(arrived);
    exchange.run(actions, cancel).await;
}

/// The answer of the path that gives tickets.
fn ticket_answer(server: &Server) -> Answer {
    match server.dispatcher.look(|agent, now| agent.load(now).state) {
        state if state.takes_work() => Answer::ran(
            StatusCode::NO_CONTENT,
            Default::default(),
            Default::default(),
        ),
        _ => Answer::refusal(Kind::Draining),
    }
}

/// Gives the caller a final answer whose body is all here.
async fn deliver(
    server: &Server,
    flow: Option<FlowId>,
    id: RequestId,
    mut sink: Sink,
    answer: Answer,
) {
    note(server, flow, id, answer.status.as_u16(), answer.outcome);
    let ticket = server.ticket();
    // Whoever is gone needs no answer.
    if sink.head(&answer, ticket.as_deref()).await.is_ok() && sink.data(answer.body).await.is_ok() {
        let _ = sink.finish().await;
    }
}

/// Records a final answer.
fn note(server: &Server, flow: Option<FlowId>, id: RequestId, status: u16, outcome: Outcome) {
    metrics::counter!("sassafrasmast_agent_answers_total", "outcome" => outcome.as_str())
        .increment(1);
    let kind = timeline::Kind::RequestAnswered {
        status,
        outcome: outcome.to_string(),
    };
    server.recorder.record_about(flow, Some(id), kind);
}

/// Waits for the present work; for ever without any.
async fn step(work: &mut Option<Work>) -> Step {
    match work {
        Some(work) => work.await,
        None => std::future::pending().await,
    }
}

impl Exchange {
    /// Carries out decisions until none can follow.
    async fn run(mut self, mut actions: Actions, mut cancel: Cancel) {
        let mut work: Option<Work> = None;
        let mut there = true;
        loop {
            tokio::select! {
                action = actions.recv() => match action {
                    Some(action) => self.act(action, &mut work).await,
                    None => return,
                },
                step = step(&mut work) => {
                    work = None;
                    self.stepped(step, &mut work);
                }
                stop = &mut cancel, if there => {
                    there = false;
                    if stop != Stop::Delivered {
                        self.decide(agent::Agent::cancelled);
                    }
                }
            }
        }
    }

    fn decide(&self, event: impl FnOnce(&mut agent::Agent, Instant, RequestId)) {
        let id = self.attempt.id;
        let dispatcher = &self.attempt.server.dispatcher;
        dispatcher.decide(|agent, now| event(agent, now, id));
    }

    /// Carries out one decision.
    async fn act(&mut self, action: Action, work: &mut Option<Work>) {
        let attempt = self.attempt.clone();
        match action {
            Action::Start { .. } => {
                self.relaying = false;
                *work = Some(Box::pin(attempt.run()));
            }
            Action::Relay { id, to } => {
                self.relaying = true;
                let recorder = &attempt.server.recorder;
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
                    let result = attempt.server.claim(&key, nonce).await;
                    let dispatcher = &attempt.server.dispatcher;
                    dispatcher.decide(|agent, now| agent.claimed(now, id, result));
                });
            }
            Action::Answer { reply, .. } => {
                self.answer(reply).await;
                self.answered = true;
                attempt.server.dispatcher.answered(attempt.id);
            }
            Action::LimitChanged { .. } | Action::Collapsed => {}
        }
    }

    /// Reports how far the work came.
    fn stepped(&mut self, step: Step, work: &mut Option<Work>) {
        match step {
            Step::Finished(finish, answer) => {
                self.held = answer;
                self.decide(|agent, now, id| agent.finished(now, id, finish));
            }
            Step::Relayed(relay, answer) => {
                self.held = answer;
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
                self.streamed = Some(latency);
                let (status, outcome) = (answer.status, answer.outcome);
                self.held = Some(Answer::ran(status, Default::default(), Default::default()));
                if let Some(held) = &mut self.held {
                    held.outcome = outcome;
                }
                let ticket = self.attempt.server.ticket();
                let stream = attempt::stream(self.sink.take(), answer, rest, ticket);
                *work = Some(Box::pin(stream));
            }
            Step::Streamed { sink, whole } => {
                self.sink = sink;
                self.streamed_to_end(whole);
            }
            Step::Withdrawn => {}
            Step::Faulty(kind) => {
                self.fault = Some(kind);
                self.decide(agent::Agent::cancelled);
                self.decide(|agent, now, id| agent.finished(now, id, Finish::Cut));
            }
        }
    }

    /// Reports the end of a streamed answer.
    fn streamed_to_end(&self, whole: bool) {
        let status = self.held.as_ref().map(|held| held.status);
        match (self.relaying, whole) {
            (true, true) => self.decide(|agent, now, id| agent.relayed(now, id, Relay::Whole)),
            (true, false) => self.decide(|agent, now, id| agent.relayed(now, id, Relay::Lost)),
            (false, false) => self.decide(|agent, now, id| agent.finished(now, id, Finish::Cut)),
            (false, true) => {
                let finish = Finish::Whole {
                    answer: None,
                    latency: self.streamed.unwrap_or_default(),
                    failed: status.is_some_and(|status| status.is_server_error()),
                };
                self.decide(|agent, now, id| agent.finished(now, id, finish));
            }
        }
    }

    /// Gives the caller the final answer, or ends the one that is being streamed.
    async fn answer(&mut self, reply: Reply) {
        let (server, id) = (Arc::clone(&self.attempt.server), self.attempt.id);
        if self.streamed.is_some() {
            return self.end_stream(&server, reply).await;
        }
        let answer = match reply {
            Reply::Fresh => match self.held.take() {
                Some(answer) => answer,
                None => Answer::error(Kind::AnswerDropped, Outcome::Ran),
            },
            Reply::Stored(kept) => Answer::kept(&kept),
            Reply::Error { kind, outcome } => Answer::error(self.fault.unwrap_or(kind), outcome),
        };
        if let Some(sink) = self.sink.take() {
            deliver(&server, self.flow, id, sink, answer).await;
        }
    }

    /// Ends a streamed answer. Anything but the own whole answer leaves it incomplete.
    async fn end_stream(&mut self, server: &Server, reply: Reply) {
        let (status, outcome) = match (&reply, &self.held) {
            (Reply::Error { kind, outcome }, _) => (kind.answer().status, *outcome),
            (_, Some(held)) => (held.status.as_u16(), held.outcome),
            (_, None) => (StatusCode::OK.as_u16(), Outcome::Ran),
        };
        note(server, self.flow, self.attempt.id, status, outcome);
        if let (Reply::Fresh, Some(sink)) = (reply, self.sink.take()) {
            // Whoever is gone needs no end.
            let _ = sink.finish().await;
        }
    }
}

impl Drop for Exchange {
    /// Gives back what the request occupies if its task ended before its time.
    fn drop(&mut self) {
        let (dispatcher, id) = (&self.attempt.server.dispatcher, self.attempt.id);
        if dispatcher.look(|agent, _| agent.is_open(id)) {
            self.decide(agent::Agent::cancelled);
            self.decide(|agent, now, id| agent.finished(now, id, Finish::Cut));
        }
        if !self.answered {
            dispatcher.answered(id);
        }
    }
}
