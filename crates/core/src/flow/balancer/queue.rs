//! Queue of SYNs that wait for an upstream with capacity.

use std::collections::VecDeque;

use crate::flow::Key;

/// A queued SYN.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedSyn {
    /// The flow.
    pub flow: Key,
    /// The packet.
    pub packet: Box<[u8]>,
}

/// Queued SYNs in the order of their arrival.
#[derive(Debug, Default)]
pub struct Queue {
    entries: VecDeque<QueuedSyn>,
}

impl Queue {
    /// Number of queued SYNs.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Queues a SYN.
    pub fn push(&mut self, flow: Key, packet: Box<[u8]>) {
        self.entries.push_back(QueuedSyn { flow, packet });
    }

    /// Empties the queue and returns its content.
    pub fn take_all(&mut self) -> impl Iterator<Item = QueuedSyn> + use<> {
        std::mem::take(&mut self.entries).into_iter()
    }
}
