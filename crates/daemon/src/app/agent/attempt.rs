//! One attempt to run a request at the upstream.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request};
use sassafrasmast_core::error::{Kind, Outcome};
use tokio::time::timeout_at;

use super::{
    Answer, Content, Outflow, Server, Source, exchange::DEADLINE, outflow, upstream::Call,
};

/// Answers up to this size are read whole before the caller sees their head, so a cut still
/// becomes an error answer.
const WHOLE_BYTES: usize = 64 * 1_024;

/// Runs a request.
///
/// # Errors
///
/// Why there is no answer of the upstream.
pub async fn run(
    server: &Server,
    request: &Request<()>,
    source: &mut Source,
    deadline: Instant,
    feed: bool,
) -> Result<Answer, Kind> {
    let line = server.upstream.connect().await?;
    let (body, _pump) = source.body().ok_or(Kind::UpstreamUnreachable)?;
    let mut sent = Request::new(body);
    *sent.method_mut() = request.method().clone();
    *sent.uri_mut() = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .parse()
        .map_err(|_| Kind::BadRequest)?;
    *sent.headers_mut() = request.headers().clone();
    let left = deadline.saturating_duration_since(Instant::now());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    sent.headers_mut().insert(DEADLINE, HeaderValue::from(left));
    match timeout_at(deadline.into(), async {
        read(line.send(sent).await?, feed).await
    })
    .await
    {
        Ok(answer) => answer,
        Err(_) => Err(Kind::UpstreamTimeout),
    }
}

/// Reads a small answer whole; a larger one is left to be streamed.
async fn read(call: Call, feed: bool) -> Result<Answer, Kind> {
    let (head, mut body) = call.response.into_parts();
    let mut pieces = Vec::new();
    let mut size = 0;
    let content = loop {
        if feed || size > WHOLE_BYTES {
            break Content::Stream(Box::new(Outflow::new(pieces, body, call.driver)));
        }
        match outflow::piece(&mut body).await? {
            Some(piece) => {
                size += piece.len();
                pieces.push(piece);
            }
            None => break Content::Whole(concat(pieces)),
        }
    };
    if !call.delimited && !feed {
        return Err(Kind::UpstreamCut);
    }
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        outcome: Outcome::Ran,
        retry_after: None,
        content,
    })
}

/// Joins the pieces of a small body.
fn concat(mut pieces: Vec<Bytes>) -> Bytes {
    match pieces.len() {
        0 => Bytes::new(),
        1 => pieces.remove(0),
        _ => {
            let mut whole = BytesMut::new();
            for piece in pieces {
                whole.extend_from_slice(&piece);
            }
            whole.freeze()
        }
    }
}
