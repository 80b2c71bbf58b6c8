//! Interface to the platform's key-value store: the [`Store`] trait.

mod changes;
mod entry;
mod error;
mod position;
mod range;
mod txn;
mod update;

use std::{fmt, time::Duration};

use async_trait::async_trait;
use tokio::sync::mpsc;

pub use self::{
    changes::Changes,
    entry::Entry,
    error::Error,
    position::{Era, Position},
    range::{Listing, Range},
    txn::{Compare, Put, Txn, TxnResult},
    update::Update,
};

/// Revision of the store, higher with each change. If the store may come back from an older copy,
/// it is a packed [`Position`].
pub type Revision = i64;

/// Identifies a lease.
pub type LeaseId = i64;

/// Updates of a watch, in order. After an error the stream ends.
pub type Watch = mpsc::Receiver<Result<Update, Error>>;

/// Access to the platform's key-value store. Writes are never retried once they were sent: after
/// [`Error::Unreachable`] the caller reads back to learn whether its write took effect.
#[async_trait]
pub trait Store: fmt::Debug + Send + Sync {
    /// Reads one key, or all keys with a prefix, ordered by key.
    async fn range(&self, range: Range) -> Result<Listing, Error>;

    /// Reads like [`Self::range`], but the result may be some seconds old: its revision may be lower
    /// than that of an earlier read. Cheaper where the store has such reads; otherwise a normal read.
    async fn range_stale(&self, range: Range) -> Result<Listing, Error> {
        self.range(range).await
    }

    /// Applies the writes of `txn` atomically if all its comparisons hold, otherwise none of them.
    async fn txn(&self, txn: Txn) -> Result<TxnResult, Error>;

    /// Grants a lease. The platform rounds its time to live up to whole seconds.
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error>;

    /// Renews a lease and returns its new time to live; [`Error::LeaseNotFound`] if it expired.
    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration, Error>;

    /// Waits until it is known that the store has lost a lease by coming back from an older copy.
    /// Never returns for stores that do not do so.
    async fn lease_lost(&self, _lease: LeaseId) {
        std::future::pending().await
    }

    /// Revokes a lease and deletes its keys. For stores that come back from older copies this never
    /// ends a lease of another holder that got the same id.
    async fn revoke(&self, lease: LeaseId) -> Result<(), Error>;

    /// Watches `range` for changes from revision `from` on, inclusive. The watch ends with an error
    /// when the connection breaks or receives nothing for too long; the caller then reads again
    /// and watches from the revision of that read.
    async fn watch(&self, range: Range, from: Revision) -> Result<Watch, Error>;

    /// Reads the changes of `range` after `revision` without waiting for one, so that the reply proves
    /// what a watch that delivers nothing cannot: that there are no others. Stores without such a
    /// read answer [`Error::Compacted`], after which the caller lists.
    async fn read_changes(&self, _range: Range, _revision: Revision) -> Result<Changes, Error> {
        Err(Error::Compacted { oldest: 0 })
    }
}
