//! Tasks that end with their owner.

use tokio::task::JoinHandle;

/// A task that is aborted when this is dropped. A connection driven by the task is closed then,
/// which cancels its request.
#[derive(Debug)]
pub struct AbortOnDrop {
    task: JoinHandle<()>,
}

impl AbortOnDrop {
    /// Runs `future` until it ends or this value is dropped.
    pub fn spawn(future: impl Future<Output = ()> + Send + 'static) -> Self {
        Self {
            task: tokio::spawn(future),
        }
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.task.abort();
    }
}
