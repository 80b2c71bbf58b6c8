//! One request of a caller and its answer.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use h3::{error::Code, server::RequestStream};
use http::Request;
use sassafrasmast_core::{
    config::Service,
    error::{Kind, Outcome},
    timeline::{self, FlowId},
};

use super::{Answer, Content, Server, Source, attempt, source::Origin};
use crate::http3::{Bidi, Cancel, Receiver, Sender, Stop};

/// Header with the whole time in milliseconds that a caller waits.
pub const DEADLINE: &str = "sassafrasmast-deadline-ms";

/// Serves one request to its final answer.
pub async fn serve(
    server: Arc<Server>,
    flow: FlowId,
    request: Request<()>,
    stream: RequestStream<Bidi<Bytes>, Bytes>,
    cancel: Option<Cancel>,
) {
    let id = server.next_request();
    let record = |kind| server.recorder.record(Some(flow), Some(id), kind);
    record(timeline::Kind::RequestArrived);
    let (mut sender, receiver) = stream.split();
    let answer = tokio::select! {
        answer = answer(&server, request, receiver) => answer,
        () = cancelled(cancel) => {
            record(timeline::Kind::RequestAnswered {
                status: Kind::Cancelled.answer().status,
                outcome: Outcome::Unknown.to_string(),
            });
            return;
        }
    };
    record(timeline::Kind::RequestAnswered {
        status: answer.status.as_u16(),
        outcome: answer.outcome.to_string(),
    });
    if send(&mut sender, answer).await.is_err() {
        sender.stop_stream(Code::H3_INTERNAL_ERROR);
    }
}

/// Completes when the caller cancelled the request or its flow is lost.
async fn cancelled(cancel: Option<Cancel>) {
    match cancel {
        Some(cancel) => match cancel.await {
            Stop::Cancelled | Stop::Lost => {}
            Stop::Delivered => std::future::pending().await,
        },
        None => std::future::pending().await,
    }
}

/// Finds the answer of a request.
async fn answer(
    server: &Server,
    request: Request<()>,
    receiver: RequestStream<Receiver, Bytes>,
) -> Answer {
    let Some(service) = server.service() else {
        return Answer::refusal(Kind::NotReady);
    };
    let Some(limit) = Server::time_limit(&service, request.headers()) else {
        return Answer::refusal(Kind::BadRequest);
    };
    let deadline = Instant::now() + limit;
    let feed = is_feed(&service, request.uri().path());
    let origin = Origin::Caller(receiver);
    let source = Source::read(origin, request.headers(), service.max_body_bytes).await;
    match source {
        Ok(mut source) => attempt::run(server, &request, &mut source, deadline, feed)
            .await
            .unwrap_or_else(|kind| match kind {
                // The beginning of the body was sent already.
                Kind::BodyTooLarge => Answer::error(kind, Outcome::Unknown),
                _ => Answer::refusal(kind),
            }),
        Err(kind) => Answer::refusal(kind),
    }
}

/// Sends an answer to the caller.
async fn send(
    sender: &mut RequestStream<Sender<Bytes>, Bytes>,
    mut answer: Answer,
) -> Result<(), Kind> {
    let gone = |_| Kind::Cancelled;
    let head = answer.head(None);
    sender.send_response(head).await.map_err(gone)?;
    match &mut answer.content {
        Content::Whole(bytes) if bytes.is_empty() => {}
        Content::Whole(bytes) => sender.send_data(bytes.clone()).await.map_err(gone)?,
        Content::Stream(body) => {
            while let Some(piece) = body.next().await? {
                sender.send_data(piece).await.map_err(gone)?;
            }
        }
    }
    sender.finish().await.map_err(gone)
}

/// Whether a path is one of the service's feeds.
fn is_feed(service: &Service, path: &str) -> bool {
    service.feeds.iter().any(|feed| path.starts_with(feed))
}
