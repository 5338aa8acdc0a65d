//! The state of a fake engine.

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

/// The state of a fake engine, shared by its connections.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub name: String,
    pub faults: Faults,
    pub recorder: Recorder,
    pub work: Notify,
    weights: WeightStoreModel,
    inner: Mutex<Inner>,
}

/// The model and the streams of its calls.
#[derive(Debug)]
struct Inner {
    model: EngineModel,
    streams: HashMap<String, Stream>,
    next_number: u64,
}

/// The stream of a call, with all that was produced, so that it can be resumed.
#[derive(Debug)]
struct Stream {
    texts: Vec<String>,
    done: bool,
    sender: Option<mpsc::UnboundedSender<Piece>>,
    breaks_after: Option<usize>,
}

/// A piece of a stream.
#[derive(Clone, Debug)]
pub(crate) struct Piece {
    pub text: String,
    pub last: bool,
}

impl EngineState {
    /// The pieces after which a stream breaks that is to be broken.
    const BREAK_AFTER: usize = 3;

    pub fn new(
        name: &str,
        spec: EngineSpec,
        weights: WeightStoreModel,
        recorder: Recorder,
    ) -> Self {
        let model = EngineModel::new(spec, filbertcleat_base::stable_hash(name) >> 16);
        let inner = Inner { model, streams: HashMap::new(), next_number: 0 };
        Self {
            name: name.to_owned(),
            faults: Faults::default(),
            recorder,
            work: Notify::new(),
            weights,
            inner: Mutex::new(inner),
        }
    }

    pub fn step_time(&self) -> Option<Duration> {
        self.lock().model.next_step_time()
    }

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

    pub fn restart(&self) {
        let mut inner = self.lock();
        inner.model.restart();
        inner.streams.clear();
    }

    /// Returns whether an order's fencing number is good, and notes an old one.
    pub fn admits(&self, fence: Option<u64>) -> bool {
        let admitted = self.lock().model.accepts_fence(fence);
        if !admitted {
            self.recorder.record(Observation::StaleFence { engine: self.name.clone() });
        }
        admitted
    }

    /// Begins a call, and returns its stream; `None` means that its adapter is not held.
    pub fn start_call(&self, call: EngineCall) -> Option<mpsc::UnboundedReceiver<Piece>> {
        let mut inner = self.lock();
        inner.next_number += 1;
        let call = EngineCall { sequence: inner.next_number, ..call };
        let id = call.id.clone();
        let (adapter, prompt) = (call.adapter.clone(), call.prompt.clone());
        if !inner.model.start_call(call) {
            return None;
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let breaks_after = self.faults.take_broken_stream().then_some(Self::BREAK_AFTER);
        let stream = Stream { texts: Vec::new(), done: false, sender: Some(sender), breaks_after };
        inner.streams.insert(id.clone(), stream);
        drop(inner);

        self.recorder.record(Observation::CallStarted {
            engine: self.name.clone(),
            call: id,
            adapter,
            prompt,
        });
        self.work.notify_one();
        Some(receiver)
    }

    /// Hands the stream of an earlier call to a new one, from an offset on.
    pub fn resume(
        &self,
        of: &str,
        id: &str,
        offset: usize,
    ) -> Option<mpsc::UnboundedReceiver<Piece>> {
        let mut inner = self.lock();
        let mut stream = inner.streams.remove(of)?;
        if offset > stream.texts.len() {
            return None;
        }
        if let Some(call) = inner.model.call_mut(of) {
            id.clone_into(&mut call.id);
        }
        let (sender, receiver) = mpsc::unbounded_channel();
        let rest = &stream.texts[offset..];
        for (index, text) in rest.iter().enumerate() {
            let last = stream.done && index + 1 == rest.len();
            // The receiver is still here.
            let _ = sender.send(Piece { text: text.clone(), last });
        }
        if !stream.done {
            stream.sender = Some(sender);
        }
        stream.breaks_after = None;
        inner.streams.insert(id.to_owned(), stream);
        Some(receiver)
    }

    pub fn cancel(&self, id: &str) {
        let mut inner = self.lock();
        inner.model.cancel_call(id);
        inner.streams.remove(id);
    }

    /// Loads an adapter over the weight store's time; `false` means that no slot is free.
    pub async fn load(&self, adapter: &AdapterRef) -> bool {
        if self.lock().model.has_adapter(adapter) {
            return true;
        }
        let seconds = 1.0 / self.weights.progress_per_s(1);
        tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
        let loaded = self.lock().model.load_adapter(adapter);
        if loaded {
            let (engine, adapter) = (self.name.clone(), adapter.clone());
            self.recorder.record(Observation::AdapterLoaded { engine, adapter });
        }
        loaded
    }

    pub fn unload(&self, adapter: &AdapterRef) {
        if self.lock().model.unload_adapter(adapter) > 0 {
            let (engine, adapter) = (self.name.clone(), adapter.clone());
            self.recorder.record(Observation::EvictedWhileServing { engine, adapter });
        }
    }

    pub fn listing(&self) -> AdapterListing {
        let inner = self.lock();
        let adapters = inner.model.adapters();
        let adapters = adapters
            .map(|(adapter, running)| EngineAdapter { adapter: adapter.clone(), running })
            .collect();
        AdapterListing { epoch: inner.model.epoch, adapters }
    }

    pub fn report(&self) -> EngineStats {
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
    fn push(&mut self, text: String, last: bool) {
        self.texts.push(text.clone());
        self.done = last;
        if let Some(sender) = &self.sender {
            // A reader that has gone away may come back and resume.
            let _ = sender.send(Piece { text, last });
        }
        let breaks = self.breaks_after.is_some_and(|after| self.texts.len() >= after);
        if breaks || last {
            self.sender = None;
        }
    }
}
