//! Ends of request streams: cancelled by the caller, lost or delivered.

use std::{
    collections::HashMap,
    fmt,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
};

/// Completes when the caller no longer waits for the answer of a request, or got all of it.
pub type StreamEnded = Pin<Box<dyn Future<Output = StreamEnd> + Send + Sync>>;

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

/// Futures of the ends of accepted request streams, kept until the streams' handlers take them.
#[derive(Clone, Default)]
pub struct Cancels {
    pending: Arc<Mutex<HashMap<u64, StreamEnded>>>,
}

impl Cancels {
    /// Removes and returns the future of the end of the stream with id `id`.
    pub fn take(&self, id: u64) -> Option<StreamEnded> {
        self.lock().remove(&id)
    }

    pub(super) fn insert(&self, id: u64, cancel: StreamEnded) {
        self.lock().insert(id, cancel);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, StreamEnded>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Cancels {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Cancels").finish_non_exhaustive()
    }
}
