//! A response stream that reports its end to the event loop.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures_util::Stream;
use tokio::sync::mpsc;
use tonic::Status;

use crate::loop_event::LoopEvent;
use crate::loop_event::LoopSender;
use crate::loop_event::send_to_loop;

/// A stream of messages to a peer, which sends an event to the event loop when it is dropped.
#[derive(Debug)]
pub(crate) struct NotifyOnDrop<T> {
    receiver: mpsc::UnboundedReceiver<T>,
    loop_sender: LoopSender,
    on_drop: Option<LoopEvent>,
}

impl<T> NotifyOnDrop<T> {
    pub fn new(
        receiver: mpsc::UnboundedReceiver<T>,
        loop_sender: LoopSender,
        on_drop: LoopEvent,
    ) -> Self {
        Self { receiver, loop_sender, on_drop: Some(on_drop) }
    }
}

impl<T> Stream for NotifyOnDrop<T> {
    type Item = Result<T, Status>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.receiver.poll_recv(context).map(|item| item.map(Ok))
    }
}

impl<T> Drop for NotifyOnDrop<T> {
    fn drop(&mut self) {
        if let Some(event) = self.on_drop.take() {
            send_to_loop(&self.loop_sender, event);
        }
    }
}
