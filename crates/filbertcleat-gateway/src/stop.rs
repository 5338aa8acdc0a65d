//! The signal to end.

use tokio::sync::watch;

/// Tells all tasks of a process that it shall end.
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
    /// Asks the process to end.
    pub fn trigger(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the process shall end.
    pub fn is_triggered(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the process shall end.
    pub async fn triggered(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives as long as this does, so the wait can't fail.
        let _ = receiver.wait_for(|is_stopping| *is_stopping).await;
    }
}
