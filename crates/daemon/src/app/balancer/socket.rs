//! UDP sockets with large buffers.

use std::net::SocketAddr;

use anyhow::Context;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

/// Kernel buffer size requested for each direction; the system may grant less.
const BUFFER_BYTES: usize = 4 << 20;

/// Binds `count` sockets to one address. The system distributes packets over them by source
/// address, so that packets from one sender stay in order.
///
/// # Errors
///
/// If the address cannot be bound, for example because another process uses it; the error names the
/// address and the reason.
pub(super) fn bind(address: SocketAddr, count: usize) -> anyhow::Result<Vec<UdpSocket>> {
    if count > 1 {
        // `SO_REUSEPORT` would hide that another process uses the address.
        open(address, false)?;
    }
    (0..count.max(1))
        .map(|_| {
            let socket = open(address, count > 1)?;
            UdpSocket::from_std(socket.into()).with_context(|| format!("{address}"))
        })
        .collect()
}

fn open(address: SocketAddr, reuse_port: bool) -> anyhow::Result<Socket> {
    let open = || {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::DGRAM,
            Some(Protocol::UDP),
        )?;
        socket.set_recv_buffer_size(BUFFER_BYTES)?;
        socket.set_send_buffer_size(BUFFER_BYTES)?;
        socket.set_reuse_port(reuse_port)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        Ok::<_, std::io::Error>(socket)
    };
    open().with_context(|| format!("cannot bind {address} (UDP)"))
}
