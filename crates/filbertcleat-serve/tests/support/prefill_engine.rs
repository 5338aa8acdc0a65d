//! A simulated engine that prefills prompts between the decoding steps of its streams.

/// The speed of a simulated engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// The time of a decoding step.
    pub step_ms: f64,
    /// The prompt tokens that the engine reads per millisecond.
    pub tokens_per_ms: f64,
    /// The most prompt tokens that the engine reads between two steps.
    pub chunk_tokens: f64,
    /// The steps per event of a stream.
    pub steps_per_event: u32,
    /// The requests in the batch.
    pub batch: usize,
}

/// What a step of the simulated engine showed of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shown {
    /// The first event came at this time.
    FirstEvent(usize, f64),
    /// A later event came at this time, this long after the previous one.
    Gap(usize, f64, f64),
    /// The stream ended.
    End(usize, f64),
}

/// A simulated engine.
#[derive(Debug)]
pub struct PrefillEngine {
    speed: EngineSpeed,
    /// The time at which the current step ends.
    pub now_ms: f64,
    /// The requests whose prompts wait: number, tokens left, events to make.
    waiting: Vec<(usize, f64, u32)>,
    running: Vec<Running>,
}

#[derive(Debug)]
struct Running {
    request: usize,
    steps: u32,
    events_left: u32,
    last_event_ms: f64,
}

impl PrefillEngine {
    pub fn new(speed: EngineSpeed) -> Self {
        Self { speed, now_ms: 0.0, waiting: Vec::new(), running: Vec::new() }
    }

    /// Changes the speed from the next step on.
    pub fn set_speed(&mut self, speed: EngineSpeed) {
        self.speed = speed;
    }

    pub fn send(&mut self, request: usize, prompt_tokens: u64, events: u32) {
        self.waiting.push((request, prompt_tokens as f64, events));
    }

    /// Returns the requests in the batch and in the queue.
    pub fn load(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Advances the engine to `until_ms` and returns what it showed.
    pub fn run_until(&mut self, until_ms: f64) -> Vec<Shown> {
        let mut shown = Vec::new();
        while self.now_ms <= until_ms {
            if self.waiting.is_empty() && self.running.is_empty() {
                self.now_ms = until_ms;
                break;
            }
            self.step(&mut shown);
        }
        shown
    }

    fn step(&mut self, shown: &mut Vec<Shown>) {
        let mut chunk = self.speed.chunk_tokens;
        let mut read = 0.0;
        let mut free = self.speed.batch.saturating_sub(self.running.len());
        let mut started = Vec::new();
        for (request, tokens, events) in &mut self.waiting {
            if chunk <= 0.0 || free == 0 {
                break;
            }
            let part = tokens.min(chunk);
            *tokens -= part;
            chunk -= part;
            read += part;
            free -= 1;
            if *tokens <= 0.0 {
                started.push((*request, *events));
            }
        }
        self.waiting.retain(|(_, tokens, _)| *tokens > 0.0);
        self.now_ms += self.speed.step_ms + read / self.speed.tokens_per_ms;
        for running in &mut self.running {
            running.steps += 1;
            if running.steps.is_multiple_of(self.speed.steps_per_event) {
                let gap_ms = self.now_ms - running.last_event_ms;
                running.last_event_ms = self.now_ms;
                running.events_left -= 1;
                shown.push(Shown::Gap(running.request, self.now_ms, gap_ms));
                if running.events_left == 0 {
                    shown.push(Shown::End(running.request, self.now_ms));
                }
            }
        }
        self.running.retain(|running| running.events_left > 0);
        for (request, events) in started {
            shown.push(Shown::FirstEvent(request, self.now_ms));
            if events <= 1 {
                shown.push(Shown::End(request, self.now_ms));
                continue;
            }
            self.running.push(Running {
                request,
                steps: 0,
                events_left: events - 1,
                last_event_ms: self.now_ms,
            });
        }
    }
}
