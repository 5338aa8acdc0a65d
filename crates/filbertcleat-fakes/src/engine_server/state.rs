//! The shared state of a fake engine.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use filbertcleat_base::AdapterRef;
use filbertcleat_platform::AdapterListing;
use filbertcleat_platform::EngineAdapter;
use filbertcleat_platform::EngineStats;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::EngineCall;
use crate::EngineModel;
use crate::EngineSpec;
use crate::Faults;
use crate::Observation;
use crate::Recorder;
use crate::WeightStoreModel;
use crate::answer::token_text;

/// The state of a fake engine, which its HTTP handlers and its step task share.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub name: String,
    pub faults: Faults,
    pub recorder: Recorder,
    /// Wakes the step task when a call is added.
    pub call_added: Notify,
    weight_store: WeightStoreModel,
    inner: Mutex<Inner>,
}

/// The engine model and the streams of its calls.
#[derive(Debug)]
struct Inner {
    model: EngineModel,
    streams: HashMap<String, Stream>,
    last_sequence: u64,
}

/// The stream of a call; it keeps all tokens produced, so that a client can resume it.
#[derive(Debug)]
struct Stream {
    tokens: Vec<String>,
    is_complete: bool,
    sender: Option<mpsc::UnboundedSender<StreamToken>>,
    /// The number of tokens after which the connection is cut off, if it is to be.
    breaks_after: Option<usize>,
}

/// A token that is sent to the client of a stream.
#[derive(Clone, Debug)]
pub(crate) struct StreamToken {
    pub text: String,
    pub is_last: bool,
}

impl EngineState {
    /// The number of tokens after which an injected fault cuts off a stream.
    const BREAK_AFTER_TOKENS: usize = 3;

    pub fn new(
        name: &str,
        spec: EngineSpec,
        weight_store: WeightStoreModel,
        recorder: Recorder,
    ) -> Self {
        let model = EngineModel::new(spec, filbertcleat_base::stable_hash(name) >> 16);
        let inner = Inner { model, streams: HashMap::new(), last_sequence: 0 };
        Self {
            name: name.to_owned(),
            faults: Faults::default(),
            recorder,
            call_added: Notify::new(),
            weight_store,
            inner: Mutex::new(inner),
        }
    }

    /// Returns the duration of the next step, or `None` if there are no calls.
    pub fn next_step_time(&self) -> Option<Duration> {
        self.lock().model.next_step_time()
    }

    /// Runs a step and sends the tokens that it produced to their streams.
    pub fn step(&self) {
        let mut inner = self.lock();
        let prompts: HashMap<String, (AdapterRef, String)> = inner.model.prompts();
        for produced in inner.model.step() {
            let Some((adapter, prompt)) = prompts.get(&produced.call_id) else {
                continue;
            };
            let text = token_text(adapter, prompt, produced.index);
            if let Some(stream) = inner.streams.get_mut(&produced.call_id) {
                stream.push(text, produced.is_last);
            }
        }
    }

    /// Restarts the engine model and closes all streams.
    pub fn restart(&self) {
        let mut inner = self.lock();
        inner.model.restart();
        inner.streams.clear();
    }

    /// Returns whether an order with this fencing token is accepted, and records a rejection.
    pub fn accepts_fence(&self, fence: Option<u64>) -> bool {
        let is_accepted = self.lock().model.accepts_fence(fence);
        if !is_accepted {
            self.recorder.record(Observation::StaleFence { engine: self.name.clone() });
        }
        is_accepted
    }

    /// Starts a call and returns its tokens, or `None` if its adapter is not loaded.
    pub fn start_call(&self, call: EngineCall) -> Option<mpsc::UnboundedReceiver<StreamToken>> {
        let mut inner = self.lock();
        inner.last_sequence += 1;
        let call = EngineCall { sequence: inner.last_sequence, ..call };
        let id = call.id.clone();
        let (adapter, prompt) = (call.adapter.clone(), call.prompt.clone());
        if !inner.model.start_call(call) {
            return None;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let breaks_after = self.faults.take_broken_stream().then_some(Self::BREAK_AFTER_TOKENS);
        let stream =
            Stream { tokens: Vec::new(), is_complete: false, sender: Some(sender), breaks_after };
        inner.streams.insert(id.clone(), stream);
        drop(inner);

        self.recorder.record(Observation::CallStarted {
            engine: self.name.clone(),
            call: id,
            adapter,
            prompt,
        });
        self.call_added.notify_one();
        Some(receiver)
    }

    /// Continues the call `of` under the new id `id`, and returns its tokens from `offset` on.
    ///
    /// Returns `None` if there is no such call or if it has produced fewer than `offset` tokens. In
    /// the latter case its stream is dropped.
    pub fn resume(
        &self,
        of: &str,
        id: &str,
        offset: usize,
    ) -> Option<mpsc::UnboundedReceiver<StreamToken>> {
        let mut inner = self.lock();
        let mut stream = inner.streams.remove(of)?;
        if offset > stream.tokens.len() {
            return None;
        }
        if let Some(call) = inner.model.call_mut(of) {
            id.clone_into(&mut call.id);
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let remaining = &stream.tokens[offset..];
        for (index, text) in remaining.iter().enumerate() {
            let is_last = stream.is_complete && index + 1 == remaining.len();
            // The receiver is returned below, so the channel is still open.
            let _ = sender.send(StreamToken { text: text.clone(), is_last });
        }
        if !stream.is_complete {
            stream.sender = Some(sender);
        }
        stream.breaks_after = None;
        inner.streams.insert(id.to_owned(), stream);
        Some(receiver)
    }

    /// Cancels a call and closes its stream.
    pub fn cancel(&self, id: &str) {
        let mut inner = self.lock();
        inner.model.cancel_call(id);
        inner.streams.remove(id);
    }

    /// Loads an adapter, which takes as long as a single load from the weight store.
    ///
    /// Returns `false` if no adapter slot is free at the end.
    pub async fn load_adapter(&self, adapter: &AdapterRef) -> bool {
        if self.lock().model.has_adapter(adapter) {
            return true;
        }
        let seconds = 1.0 / self.weight_store.progress_per_s(1);
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        let is_loaded = self.lock().model.load_adapter(adapter);
        if is_loaded {
            let (engine, adapter) = (self.name.clone(), adapter.clone());
            self.recorder.record(Observation::AdapterLoaded { engine, adapter });
        }
        is_loaded
    }

    /// Unloads an adapter, and records whether it had unfinished calls.
    pub fn unload_adapter(&self, adapter: &AdapterRef) {
        if self.lock().model.unload_adapter(adapter) > 0 {
            let (engine, adapter) = (self.name.clone(), adapter.clone());
            self.recorder.record(Observation::EvictedWhileServing { engine, adapter });
        }
    }

    /// Returns the loaded adapters, each with its number of unfinished calls.
    pub fn listing(&self) -> AdapterListing {
        let inner = self.lock();
        let adapters = inner.model.adapters();
        let adapters = adapters
            .map(|(adapter, running)| EngineAdapter { adapter: adapter.clone(), running })
            .collect();
        AdapterListing { epoch: inner.model.epoch, adapters }
    }

    /// Returns the call counts and the batch statistics.
    pub fn stats(&self) -> EngineStats {
        let inner = self.lock();
        let (running, waiting) = inner.model.call_counts();
        EngineStats {
            epoch: inner.model.epoch,
            running,
            waiting,
            steps: inner.model.steps,
            batched_calls: inner.model.batched_calls,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Stream {
    /// Appends a token and sends it to the client.
    ///
    /// Closes the channel after the last token, or where an injected fault cuts off the stream.
    fn push(&mut self, text: String, is_last: bool) {
        self.tokens.push(text.clone());
        self.is_complete = is_last;
        if let Some(sender) = &self.sender {
            // A client that has disconnected may resume the stream later, so errors are ignored.
            let _ = sender.send(StreamToken { text, is_last });
        }
        let is_broken = self.breaks_after.is_some_and(|after| self.tokens.len() >= after);
        if is_broken || is_last {
            self.sender = None;
        }
    }
}
