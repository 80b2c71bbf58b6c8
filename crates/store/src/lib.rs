//! Interface to the platform's key-value store: the [`Store`] trait and its types.

mod entry;
mod error;
mod range;
mod txn;
mod update;

use std::{fmt, time::Duration};

use async_trait::async_trait;
use tokio::sync::mpsc;

pub use self::{
    entry::Entry,
    error::Error,
    range::{Listing, Range},
    txn::{Applied, Compare, Put, Txn},
    update::Update,
};

/// Revision of the store, incremented with each change of any key.
pub type Revision = i64;

/// Identifies a lease.
pub type LeaseId = i64;

/// Updates of a watch in order. An error ends the stream.
pub type Watch = mpsc::Receiver<Result<Update, Error>>;

/// Access to the platform's key-value store. Implementations never retry a write that was sent:
/// after [`Error::Unreachable`] the caller reads the key to find out whether its write took
/// effect.
#[async_trait]
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads one key or all keys with a prefix, ordered by key.
    async fn range(&self, range: Range) -> Result<Listing, Error>;

    /// Applies the writes of `txn` atomically if all its comparisons hold, otherwise none of them.
    async fn txn(&self, txn: Txn) -> Result<Applied, Error>;

    /// Grants a lease. A store that counts in whole seconds rounds `ttl` up.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error>;

    /// Renews a lease and returns its new time to live; [`Error::LeaseNotFound`] if it has expired.
    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, Error>;

    /// Ends a lease and removes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), Error>;

    /// Watches `range` for changes from revision `from` on (inclusive). The watch ends with an
    /// error when the connection breaks or nothing is received for too long. The caller then
    /// watches again after the last revision it has seen, or reads again if that is compacted.
    async fn watch(&self, range: Range, from: Revision) -> Result<Watch, Error>;
}
