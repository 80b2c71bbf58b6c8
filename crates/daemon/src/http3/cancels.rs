//! Cancellations of requests by callers.

use std::{
    collections::HashMap,
    fmt,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
};

/// Completes when the caller no longer waits for the answer of a request.
pub type Cancellation = Pin<Box<dyn Future<Output = StreamEnd> + Send + Sync>>;

/// Why a caller no longer waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The caller cancelled the request.
    Cancelled,
    /// The connection was lost.
    Lost,
    /// The caller acknowledged the complete answer.
    Delivered,
}

/// Cancellations of accepted request streams, kept until the streams' handlers take them.
#[derive(Clone, Default)]
pub struct Cancels {
    pending: Arc<Mutex<HashMap<u64, Cancellation>>>,
}

impl Cancels {
    /// Removes and returns the cancellation of the stream with id `id`.
    pub fn take(&self, id: u64) -> Option<Cancellation> {
        self.lock().remove(&id)
    }

    pub(super) fn insert(&self, id: u64, cancel: Cancellation) {
        self.lock().insert(id, cancel);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Cancellation>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Cancels {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Cancels").finish_non_exhaustive()
    }
}
