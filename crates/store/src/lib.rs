//! The platform's key-value store, met at the [`Store`] trait.

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

/// Counts the changes of the whole store.
pub type Revision = i64;

/// Identifies a lease.
pub type LeaseId = i64;

/// Updates of a watch in order. An error is the last item.
pub type Watch = mpsc::Receiver<Result<Update, Error>>;

/// Access to the platform's key-value store. No call is repeated after it was sent, except reads:
/// after [`Error::Unreachable`] the caller reads back to learn whether its write took effect.
#[async_trait]
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads one key or all keys with a prefix, ordered by key.
    async fn range(&self, range: Range) -> Result<Listing, Error>;

    /// Applies the writes of `txn` at once if all its comparisons hold, else none of them.
    async fn txn(&self, txn: Txn) -> Result<Applied, Error>;

    /// Grants a lease. The platform counts whole seconds, rounded up.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error>;

    /// Extends a lease and returns its new time to live; [`Error::LeaseNotFound`] if it lapsed.
    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, Error>;

    /// Ends a lease and removes its keys.
    async fn revoke(&self, lease: LeaseId) -> Result<(), Error>;

    /// Watches `range` for changes from revision `from` on (inclusive). The watch ends with an
    /// error when the connection breaks or stays silent too long; the caller then reads again
    /// and watches from there.
    async fn watch(&self, range: Range, from: Revision) -> Result<Watch, Error>;
}
