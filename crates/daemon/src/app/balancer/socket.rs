//! UDP sockets with large buffers.

use std::net::SocketAddr;

use anyhow::Context;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

/// Bytes asked for in each direction; the system may grant less.
const BUFFER_BYTES: usize = 4 << 20;

/// Binds `count` sockets to one address. The system spreads packets over them by their source,
/// so packets of one sender stay in order.
///
/// # Errors
///
/// Names the address and why it cannot be bound, for example because another process has it.
pub(super) fn bind(address: SocketAddr, count: usize) -> anyhow::Result<Vec<UdpSocket>> {
    if count > 1 {
        // Sharing would hide that another process has the address.
        open(address, false)?;
    }
    (0..count.max(1))
        .map(|_| {
            let socket = open(address, count > 1)?;
            UdpSocket::from_std(socket.into()).with_context(|| format!("{address}"))
        })
        .collect()
}

fn open(address: SocketAddr, shared: bool) -> anyhow::Result<Socket> {
    let open = || {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::DGRAM,
            Some(Protocol::UDP),
        )?;
        socket.set_recv_buffer_size(BUFFER_BYTES)?;
        socket.set_send_buffer_size(BUFFER_BYTES)?;
        socket.set_reuse_port(shared)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        Ok::<_, std::io::Error>(socket)
    };
    open().with_context(|| format!("cannot bind {address} (UDP)"))
}
