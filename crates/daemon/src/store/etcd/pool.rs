//! Connection pool for the endpoints.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::Error;

/// Most idle connections kept, over all endpoints together.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Sender of requests on one connection.
pub type Sender = http1::SendRequest<Full<Bytes>>;

/// Endpoints, the one that answered last, and idle connections.
#[derive(Debug)]
pub struct Pool {
    endpoints: Vec<SocketAddr>,
    preferred: AtomicUsize,
    idle: Mutex<Vec<(SocketAddr, Sender)>>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(endpoints: Vec<SocketAddr>) -> Self {
        Self {
            endpoints,
            preferred: AtomicUsize::new(0),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// All endpoints, the one that answered last first.
    pub fn order(&self) -> Vec<SocketAddr> {
        let mut order = self.endpoints.clone();
        if !order.is_empty() {
            let first = self.preferred.load(Ordering::Relaxed) % order.len();
            order.rotate_left(first);
        }
        order
    }

    /// Remembers the endpoint that answered last.
    pub fn prefer(&self, endpoint: SocketAddr) {
        if let Some(index) = self.endpoints.iter().position(|&other| other == endpoint) {
            self.preferred.store(index, Ordering::Relaxed);
        }
    }

    /// An idle connection to `endpoint` that is still open, or a new one.
    pub async fn take(&self, endpoint: SocketAddr) -> io::Result<Sender> {
        loop {
            let idle = {
                let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
                let index = idle.iter().position(|(other, _)| *other == endpoint);
                index.map(|index| idle.swap_remove(index).1)
            };
            let Some(mut sender) = idle else {
                return self.connect(endpoint).await;
            };
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
    }

    /// Returns a connection to the pool after a whole reply was read.
    pub fn put(&self, endpoint: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS && !sender.is_closed() {
            idle.push((endpoint, sender));
        }
    }

    /// Opens a connection.
    pub async fn connect(&self, endpoint: SocketAddr) -> io::Result<Sender> {
        let stream = TcpStream::connect(endpoint).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("store: connection to {endpoint} ended: {error}");
            }
        });
        Ok(sender)
    }

    /// A POST request with a JSON body.
    pub fn request(
        &self,
        endpoint: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        Request::post(path)
            .header(hyper::header::HOST, endpoint.to_string())
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::Malformed(error.to_string()))
    }
}
