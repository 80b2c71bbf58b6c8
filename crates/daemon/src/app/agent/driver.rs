//! The task that drives one connection to the upstream.

use tokio::task::JoinHandle;

/// Ends the connection when dropped, which tells the upstream that nobody waits any more.
#[derive(Debug)]
pub struct Driver {
    task: JoinHandle<()>,
}

impl Driver {
    /// Drives `connection` until it ends or this value is dropped.
    pub fn spawn(connection: impl Future<Output = ()> + Send + 'static) -> Self {
        Self {
            task: tokio::spawn(connection),
        }
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.task.abort();
    }
}
