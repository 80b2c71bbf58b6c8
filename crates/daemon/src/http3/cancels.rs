//! Callers' cancellations of requests.

use std::{
    collections::HashMap,
    fmt,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
};

/// Completes when the caller no longer wants the answer of a request.
pub type Cancel = Pin<Box<dyn Future<Output = Stop> + Send + Sync>>;

/// Why a request stream ended before its answer was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// The caller cancelled the request.
    Cancelled,
    /// The connection is lost.
    Lost,
    /// The answer was delivered.
    Delivered,
}

/// Cancellations of accepted request streams until their handlers take them.
#[derive(Clone, Default)]
pub struct Cancels {
    pending: Arc<Mutex<HashMap<u64, Cancel>>>,
}

impl Cancels {
    /// Takes the cancellation of the stream numbered `id`.
    pub fn take(&self, id: u64) -> Option<Cancel> {
        self.lock().remove(&id)
    }

    pub(super) fn put(&self, id: u64, cancel: Cancel) {
        self.lock().insert(id, cancel);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Cancel>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Cancels {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Cancels").finish_non_exhaustive()
    }
}
