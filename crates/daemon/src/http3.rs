//! HTTP/3 streams over quinn for the h3 library.
//!
//! h3-quinn finishes a stream when it is dropped, so an answer whose task ended early would look
//! complete, and it does not report when a caller stops reading. [`Connection`] replaces the
//! request streams of h3-quinn by ones that are reset when dropped early and that report a caller's
//! cancellation; control streams stay with h3-quinn.

mod bidi;
mod cancels;
mod connection;
mod errors;
mod opener;
mod receiver;
mod sender;

pub use self::{
    bidi::Bidi,
    cancels::{Cancel, Cancels, Stop},
    connection::Connection,
    opener::Opener,
    receiver::Receiver,
    sender::Sender,
};
