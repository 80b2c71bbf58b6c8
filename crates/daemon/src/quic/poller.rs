//! Waits for a socket to become writable.

use std::{
    fmt, io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use quinn::UdpPoller;

use super::Socket;

/// The future of one wait.
type Wait = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

/// Lets one task wait for the socket to become writable.
pub(super) struct Poller {
    socket: Arc<Socket>,
    wait: Option<Wait>,
}

impl Poller {
    pub(super) fn new(socket: Arc<Socket>) -> Self {
        Self { socket, wait: None }
    }
}

impl UdpPoller for Poller {
    fn poll_writable(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = Arc::clone(&self.socket);
        let wait = self
            .wait
            .get_or_insert_with(|| Box::pin(async move { socket.writable().await }));
        let result = ready!(wait.as_mut().poll(cx));
        self.wait = None;
        Poll::Ready(result)
    }
}

impl fmt::Debug for Poller {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Poller").finish_non_exhaustive()
    }
}
