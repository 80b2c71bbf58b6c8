//! Receives calls.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::{sleep, timeout},
};

use super::{
    Call, Error, Reply,
    codec::{self, MAX_CALL_BYTES, MAX_REPLY_BYTES},
};
use crate::relay::Head;

/// Connections served at a time; more wait in the accept queue.
const MAX_CONNECTIONS: usize = 256;

/// Longest wait for a call on an open connection.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for writing a reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed accept, for example if no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers the calls of other processes.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers `call`, which came from `from`.
    async fn answer(&self, from: SocketAddr, call: Call) -> Reply;

    /// Takes over the connection on which a relayed request arrived. The default closes it, so that
    /// the outcome is unknown to the peer and its caller.
    async fn relay(&self, from: SocketAddr, _head: Head, _stream: TcpStream) {
        log::debug!("peer: closed a connection from {from}: this process runs no relayed requests");
    }
}

/// Listens for calls of other processes.
#[derive(Debug)]
pub struct Server {
    listener: TcpListener,
}

impl Server {
    /// Binds the address for peer calls.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn bind(listen: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        Ok(Self { listener })
    }

    /// Answers calls through `handler` until the future is dropped.
    pub async fn run(self, handler: Arc<dyn Handler>) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else {
                return;
            };
            match self.listener.accept().await {
                Ok((stream, from)) => {
                    let handler = handler.clone();
                    tokio::spawn(async move {
                        if let Err(error) = serve(stream, from, handler.as_ref()).await {
                            log::debug!("peer: connection from {from} ended: {error}");
                        }
                        drop(permit);
                    });
                }
                Err(error) => {
                    log::warn!("peer: cannot accept, next attempt in {ACCEPT_PAUSE:?}: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

/// Answers the calls on one connection until it is closed or no call arrives within
/// [`READ_TIMEOUT`].
async fn serve(
    mut stream: TcpStream,
    from: SocketAddr,
    handler: &dyn Handler,
) -> Result<(), Error> {
    stream.set_nodelay(true)?;
    loop {
        let call = timeout(READ_TIMEOUT, codec::read(&mut stream, MAX_CALL_BYTES))
            .await
            .map_err(|_| Error::Timeout)??;
        if let Call::Relay(head) = call {
            handler.relay(from, *head, stream).await;
            return Ok(());
        }
        let reply = handler.answer(from, call).await;
        timeout(
            WRITE_TIMEOUT,
            codec::write(&mut stream, &reply, MAX_REPLY_BYTES),
        )
        .await
        .map_err(|_| Error::Timeout)??;
    }
}
