//! Sends calls.

use std::{net::IpAddr, time::Duration};

use sassafrasmast_wire::Address;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};

use super::{
    Call, Error, Reply,
    codec::{self, MAX_CALL_BYTES, MAX_REPLY_BYTES},
};

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends `call` from the local address `from` to the peer at `to` and waits for the reply.
///
/// # Errors
///
/// [`Error`]; after 2 s without a reply [`Error::Timeout`].
pub async fn call(from: IpAddr, to: Address, call: &Call) -> Result<Reply, Error> {
    timeout(CALL_TIMEOUT, exchange(from, to, call))
        .await
        .map_err(|_| Error::Timeout)?
}

async fn exchange(from: IpAddr, to: Address, call: &Call) -> Result<Reply, Error> {
    let mut stream = connect(from, to).await?;
    codec::write(&mut stream, call, MAX_CALL_BYTES).await?;
    codec::read(&mut stream, MAX_REPLY_BYTES).await
}

/// Connects from the local address `from`, by which the peer identifies this process.
pub(crate) async fn connect(from: IpAddr, to: Address) -> std::io::Result<TcpStream> {
    let socket = if to.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    if from.is_ipv4() == to.is_ipv4() {
        socket.bind((from, 0).into())?;
    }
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
