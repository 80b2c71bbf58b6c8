//! Queue of datagrams for quinn.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    task::{Context, Poll, Waker},
};

/// Largest number of queued datagrams; more are dropped, as with a full socket buffer.
const MAX_DATAGRAMS: usize = 4_096;

/// The address of a caller and a datagram from it.
pub type Datagram = (SocketAddr, Box<[u8]>);

/// A bounded queue between the frame reader and quinn.
#[derive(Debug, Default)]
pub struct Queue {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    datagrams: VecDeque<Datagram>,
    waker: Option<Waker>,
}

impl Queue {
    /// Appends a datagram. Returns `false` if the queue is full.
    pub fn push(&self, caller: SocketAddr, payload: &[u8]) -> bool {
        let waker = {
            let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
            if inner.datagrams.len() >= MAX_DATAGRAMS {
                return false;
            }
            inner.datagrams.push_back((caller, payload.into()));
            inner.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
        true
    }

    /// Takes up to `limit` datagrams, or registers the task to be woken.
    pub fn poll(&self, cx: &mut Context<'_>, limit: usize) -> Poll<Vec<Datagram>> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.datagrams.is_empty() {
            inner.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let count = limit.min(inner.datagrams.len());
        Poll::Ready(inner.datagrams.drain(..count).collect())
    }
}
