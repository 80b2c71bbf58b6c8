//! Requests sent from agent to agent over the connections of [`crate::peer`].
//!
//! The relaying agent sends the call with the [`Head`] and then the body as [`Chunk`]s. Its peer
//! sends an [`Answer`] and that answer's body as [`Chunk`]s. If either side closes the connection
//! early, a request without a key is cancelled; a run with a key continues, and its answer is
//! stored.

mod answer;
mod chunk;
mod connection;
mod head;
mod receiver;
mod sender;

pub use self::{
    answer::Answer,
    chunk::{Chunk, MAX_DATA_BYTES},
    connection::{Connection, Failure},
    head::{Fields, Head},
    receiver::Receiver,
    sender::Sender,
};

pub(crate) use self::chunk::MAX_MESSAGE_BYTES;
