//! A caller: an HTTP/3 client that follows the ticket protocol and checks the answers.

mod answer;
mod client;
mod connection;
mod direct;
mod error;
mod feed;
mod load;
mod submission;
mod summary;

pub use self::{
    answer::Answer,
    client::{Client, Settings},
    connection::Connection,
    direct::DirectConnection,
    error::Error,
    feed::Feed,
    load::Load,
    submission::{FinalOutcome, Submission},
    summary::{Latencies, Summary},
};
