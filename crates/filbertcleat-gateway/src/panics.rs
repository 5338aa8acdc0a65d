//! Keeps a panic within the task in which it happens.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;

use crate::metrics::Metric;
use crate::metrics::Metrics;

/// The pause before a task is started again after a panic, so that one that panics each time leaves
/// the process its time.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Logs where panics happen, besides what the standard library writes to the standard error.
///
/// The message of a panic is not logged, since it may quote what a caller sent.
pub fn log_panics() {
    let before = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        match info.location() {
            Some(location) => log::error!("event=panic at={location}"),
            None => log::error!("event=panic at=-"),
        }
        before(info);
    }));
}

/// Runs a task and returns what it returns, or `None` if it panics.
pub(crate) async fn contain<T>(
    task: &'static str,
    metrics: &Metrics,
    future: impl Future<Output = T>,
) -> Option<T> {
    // What the task shares with others is in cells that a panic leaves usable, and is brought up to
    // date by later messages.
    let result = AssertUnwindSafe(future).catch_unwind().await;
    if result.is_err() {
        log::error!("event=task-panicked task={task}");
        metrics.count(Metric::TaskPanics, &[("task", task)]);
    }
    result.ok()
}

/// Runs a task that lasts as long as the process, and starts it again whenever it panics.
pub(crate) async fn supervise<F: Future<Output = ()>>(
    task: &'static str,
    metrics: Metrics,
    mut start: impl FnMut() -> F,
) {
    while contain(task, &metrics, start()).await.is_none() {
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}
