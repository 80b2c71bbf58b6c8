//! Connections for relayed requests, at the relaying agent.

use std::{net::IpAddr, time::Duration};

use sassafrasmast_wire::Address;
use tokio::{
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    time::timeout,
};

use super::{Head, Receiver, Sender};
use crate::peer::{
    Call, Error,
    codec::{self, MAX_CALL_BYTES},
    connect,
};

/// A peer that accepts no connection within this time counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a relay failed.
#[derive(Debug)]
pub enum Failure {
    /// No connection could be made, or the head can't be encoded or is too large; nothing was sent.
    Unreachable,
    /// The connection broke after something was sent.
    Lost,
}

/// A connection that carries one relayed request.
#[derive(Debug)]
pub struct Connection {
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
}

impl Connection {
    /// Connects to the peer at `to` from the local address `from`.
    ///
    /// # Errors
    ///
    /// [`Failure::Unreachable`].
    pub async fn connect(from: IpAddr, to: Address) -> Result<Self, Failure> {
        match timeout(CONNECT_TIMEOUT, connect(from, to)).await {
            Ok(Ok(stream)) => {
                let (read, write) = stream.into_split();
                Ok(Self { read, write })
            }
            _ => Err(Failure::Unreachable),
        }
    }

    /// Sends the head.
    ///
    /// # Errors
    ///
    /// [`Failure::Unreachable`] if the head can't be encoded or is too large, [`Failure::Lost`] if
    /// the connection broke.
    pub async fn send(&mut self, head: Head) -> Result<(), Failure> {
        let call = Call::Relay(Box::new(head));
        match codec::write(&mut self.write, &call, MAX_CALL_BYTES).await {
            Ok(()) => Ok(()),
            Err(Error::TooLarge { .. } | Error::Malformed) => Err(Failure::Unreachable),
            Err(_) => Err(Failure::Lost),
        }
    }

    /// Splits the connection into the sender of the body and the receiver of the answer.
    pub fn split(self) -> (Sender, Receiver) {
        (Sender::new(self.write), Receiver::new(self.read))
    }
}
