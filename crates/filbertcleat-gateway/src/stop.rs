//! The signal to end.

use tokio::sync::watch;

/// Tells all tasks of a process that it shall end.
#[derive(Clone, Debug)]
pub struct Stop {
    sender: watch::Sender<bool>,
}

impl Default for Stop {
    fn default() -> Self {
        Self { sender: watch::Sender::new(false) }
    }
}

impl Stop {
    /// Asks the process to end.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }

    /// Returns whether the process shall end.
    pub fn is_stopping(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the process shall end.
    pub async fn stopped(&self) {
        let mut receiver = self.sender.subscribe();
        // The sender lives as long as this does, so the wait can't fail.
        let _ = receiver.wait_for(|is_stopping| *is_stopping).await;
    }
}
