//! UDP sockets.

use std::{io, net::SocketAddrV4};

use anyhow::Context;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

/// Size of a socket's receive buffer: holds the packets that arrive on a busy entry VM within a few
/// tens of milliseconds.
const RECEIVE_BUFFER_BYTES: usize = 1024 * 1024;

/// Datagrams handled in a row before the event loop polls its other inputs.
pub const BATCH_DATAGRAMS: usize = 64;

/// Size of the read buffer. Longer datagrams are truncated, and the decoder then rejects them.
pub const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Binds a socket.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn bind(address: SocketAddrV4) -> anyhow::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))
        .and_then(|socket| {
            socket.set_nonblocking(true)?;
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
            socket.bind(&address.into())?;
            Ok(socket)
        })
        .with_context(|| format!("udp: cannot bind {address}"))?;
    UdpSocket::from_std(socket.into())
        .with_context(|| format!("udp: cannot register the socket of {address} with the runtime"))
}

/// Sends a datagram. Drops it if the send buffer is full, since endpoints retransmit packets.
/// Returns whether it was sent.
pub fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddrV4) -> bool {
    match socket.try_send_to(bytes, to.into()) {
        Ok(_) => true,
        Err(error) => {
            let kind = if error.kind() == io::ErrorKind::WouldBlock {
                "full"
            } else {
                "failed"
            };
            metrics::counter!("sassafrasmast_send_errors", "kind" => kind).increment(1);
            false
        }
    }
}

/// Receives one datagram without waiting; `None` if there is none or
/// receiving failed.
pub fn receive(socket: &UdpSocket, buffer: &mut [u8]) -> Option<(usize, SocketAddrV4)> {
    match socket.try_recv_from(buffer) {
        Ok((size, std::net::SocketAddr::V4(from))) => Some((size, from)),
        Ok(_) => None,
        Err(error) => {
            if error.kind() != io::ErrorKind::WouldBlock {
                // An earlier datagram was sent to a closed port; the socket itself remains usable.
                metrics::counter!("sassafrasmast_receive_errors").increment(1);
            }
            None
        }
    }
}
