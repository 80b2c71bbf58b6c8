//! Adapter between quinn and the h3 library.
//!
//! h3-quinn finishes a stream when it is dropped, so that an answer whose task ended early would
//! look complete, and it does not report when a caller stops reading. [`Connection`] replaces
//! h3-quinn's request streams by streams that are reset when dropped early and that report a
//! caller's cancellation. Control streams remain those of h3-quinn.

mod bidi;
mod cancels;
mod connection;
mod errors;
mod opener;
mod receiver;
mod sender;

pub use self::{
    bidi::Bidi,
    cancels::{Cancels, StreamEnd, StreamEnded},
    connection::Connection,
    opener::Opener,
    receiver::Receiver,
    sender::Sender,
};
