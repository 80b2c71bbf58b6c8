//! Requests sent from agent to agent over the connections of [`crate::peer`].
//!
//! The sender follows the [`Head`] with [`Chunk`]s of the request body; the receiver sends an
//! [`Answer`] and [`Chunk`]s of its body. Closing the connection early, on either side, cancels the
//! rest.

mod answer;
mod chunk;
mod head;
mod line;
mod receiver;
mod sender;

pub use self::{
    answer::Answer,
    chunk::{Chunk, MAX_DATA},
    head::{Fields, Head},
    line::{Failure, Line},
    receiver::Receiver,
    sender::Sender,
};

pub(crate) use self::chunk::MAX_MESSAGE;
