//! The signal that shuts a process down.

use tokio::sync::watch;

/// Notifies all tasks of a process that it shuts down.
///
/// Clones share the signal, which stays triggered once it is.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    sender: watch::Sender<bool>,
}

impl Default for ShutdownSignal {
    fn default() -> Self {
        Self { sender: watch::Sender::new(false) }
    }
}

impl ShutdownSignal {
    /// Triggers the shutdown.
    pub fn trigger(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the shutdown has been triggered.
    pub fn is_triggered(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the shutdown is triggered.
    pub async fn triggered(&self) {
        let mut receiver = self.sender.subscribe();
        // The wait fails only if the sender is dropped, and `self` owns a sender.
        let _ = receiver.wait_for(|is_triggered| *is_triggered).await;
    }
}
