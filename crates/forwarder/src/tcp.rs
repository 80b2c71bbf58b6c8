//! TCP listeners.

use std::{net::SocketAddrV4, time::Duration};

use anyhow::Context;
use tokio::net::{TcpListener, TcpStream};

/// Delay after a failed `accept`: the usual cause is that file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens at `address`. `part` names the purpose of the listener in the error message.
pub(crate) async fn bind(part: &str, address: SocketAddrV4) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("{part}: cannot bind {address}"))
}

/// Waits for the next connection. Errors are counted and retried.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            return stream;
        }
        metrics::counter!("sassafrasmast_accept_errors").increment(1);
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}
