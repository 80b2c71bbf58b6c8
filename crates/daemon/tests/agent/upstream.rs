//! A fake upstream whose answers fail as the request path demands.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::mpsc, time::sleep};

/// Counts of requests.
#[derive(Clone, Default)]
pub struct Counts {
    pub started: Arc<AtomicU64>,
    /// Requests whose connection closed before they were answered.
    pub cancelled: Arc<AtomicU64>,
    pub ran: Arc<AtomicU64>,
}

/// A body whose pieces come from a channel.
struct ChannelBody(mpsc::Receiver<Result<Bytes, std::io::Error>>);

impl hyper::body::Body for ChannelBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        self.0
            .poll_recv(cx)
            .map(|next| next.map(|piece| piece.map(Frame::data)))
    }
}

type Reply = Response<BoxBody<Bytes, std::io::Error>>;

/// Counts a cancelled request when dropped, unless the flag says that it was answered.
struct CancelCounter(Arc<AtomicU64>, bool);

impl Drop for CancelCounter {
    fn drop(&mut self) {
        if !self.1 {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
    }
}

pub async fn start(ip: IpAddr) -> (SocketAddr, Counts) {
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let counts = Counts::default();
    let shared = counts.clone();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let counts = shared.clone();
            let service = service_fn(move |request| answer(request, counts.clone()));
            tokio::spawn(async move {
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    (address, counts)
}

fn complete(text: impl Into<Bytes>) -> Reply {
    let body = Full::new(text.into()).map_err(|never| match never {});
    Response::new(body.boxed())
}

fn channel_reply(
    length: Option<usize>,
    pieces: mpsc::Receiver<Result<Bytes, std::io::Error>>,
) -> Reply {
    let mut reply = Response::new(ChannelBody(pieces).boxed());
    if let Some(length) = length {
        reply.headers_mut().insert("content-length", length.into());
    }
    reply
}

/// A reply whose connection breaks after `sent` bytes of the body.
fn truncated(length: Option<usize>, sent: usize) -> Reply {
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        let _ = sender.send(Ok(vec![b'x'; sent].into())).await;
        sleep(Duration::from_millis(50)).await;
        let _ = sender
            .send(Err(std::io::ErrorKind::BrokenPipe.into()))
            .await;
    });
    channel_reply(length, receiver)
}

fn feed_reply(interval: Duration) -> Reply {
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        while sender.send(Ok("line\n".into())).await.is_ok() {
            sleep(interval).await;
        }
    });
    channel_reply(None, receiver)
}

async fn answer(request: Request<Incoming>, counts: Counts) -> Result<Reply, std::io::Error> {
    counts.started.fetch_add(1, Ordering::Relaxed);
    let mut guard = CancelCounter(counts.cancelled.clone(), false);
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => return Err(std::io::ErrorKind::UnexpectedEof.into()),
    };
    let reply = match path.split('/').collect::<Vec<_>>()[..] {
        ["", "echo"] => complete(body),
        ["", "size"] => complete(body.len().to_string()),
        ["", "large", size] => complete(vec![b'y'; size.parse().unwrap()]),
        ["", "slow", millis] => {
            sleep(Duration::from_millis(millis.parse().unwrap())).await;
            complete(path.clone())
        }
        ["", "cut", "length"] => truncated(Some(1_000), 10),
        ["", "cut", "chunked"] => truncated(None, 10),
        ["", "cut", "large"] => truncated(None, 200_000),
        ["", "host"] => {
            let host = head.headers.get("host");
            complete(host.map_or(Vec::new(), |host| host.as_bytes().to_vec()))
        }
        ["", "pretend"] => {
            let mut reply = complete("pretend");
            for name in ["sassafrasmast-outcome", "sassafrasmast-ticket"] {
                let value = http::HeaderValue::from_static("not-run");
                reply.headers_mut().append(name, value);
            }
            reply
        }
        ["", "shed"] => {
            let mut reply = complete("shed");
            *reply.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
            let value = http::HeaderValue::from_static("true");
            reply.headers_mut().insert("sassafrasmast-not-run", value);
            reply
        }
        ["", "feed", "quiet"] => feed_reply(Duration::from_secs(10)),
        ["", "feed", ..] => feed_reply(Duration::from_millis(20)),
        _ => {
            let mut reply = complete("not found");
            *reply.status_mut() = http::StatusCode::NOT_FOUND;
            reply
        }
    };
    guard.1 = true;
    counts.ran.fetch_add(1, Ordering::Relaxed);
    Ok(reply)
}
