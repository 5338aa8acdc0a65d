//! A stream whose end is told to the loop.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures_util::Stream;
use tokio::sync::mpsc;
use tonic::Status;

use crate::input::Input;
use crate::input::Inputs;
use crate::input::tell;

/// A stream of messages to a peer, which tells the loop when the peer drops it.
#[derive(Debug)]
pub(crate) struct Ending<T> {
    receiver: mpsc::UnboundedReceiver<T>,
    inputs: Inputs,
    at_end: Option<Input>,
}

impl<T> Ending<T> {
    pub fn new(receiver: mpsc::UnboundedReceiver<T>, inputs: Inputs, at_end: Input) -> Self {
        Self { receiver, inputs, at_end: Some(at_end) }
    }
}

impl<T> Stream for Ending<T> {
    type Item = Result<T, Status>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.receiver.poll_recv(context).map(|item| item.map(Ok))
    }
}

impl<T> Drop for Ending<T> {
    fn drop(&mut self) {
        if let Some(input) = self.at_end.take() {
            tell(&self.inputs, input);
        }
    }
}
