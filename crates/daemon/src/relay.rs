//! Requests sent from agent to agent over the connections of [`crate::peer`].
//!
//! After the call with the [`Head`] come [`Chunk`]s of the body one way, and an [`Answer`] with
//! [`Chunk`]s of its body the other way. Whoever closes the connection early cancels the rest.

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
