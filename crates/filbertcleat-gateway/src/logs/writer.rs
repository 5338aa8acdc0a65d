//! Writes log lines on a thread of its own.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

/// The most lines that are queued for a slow reader; further ones are dropped.
const QUEUED_LINES_MAX: usize = 512;
/// Queued lines are written in batches of about this size.
const BATCH_BYTES: usize = 16 * 1024;

/// The lines that this process has dropped by the rate limit, a full queue or a failed write.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns how many log lines this process has dropped.
pub fn dropped_log_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Queues lines for a thread that writes them, since writing to standard output may block.
#[derive(Debug)]
pub(super) struct Writer {
    lines: SyncSender<String>,
}

impl Writer {
    /// Starts the writer thread.
    pub fn start() -> Self {
        let (lines, receiver) = sync_channel(QUEUED_LINES_MAX);
        std::thread::spawn(move || write_all(&receiver));
        Self { lines }
    }

    /// Queues a line, or drops it if the queue is full.
    pub fn write(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            count_dropped_line();
        }
    }
}

/// Counts a dropped line.
pub(super) fn count_dropped_line() {
    DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
}

fn write_all(lines: &Receiver<String>) {
    let mut text = String::new();
    while let Ok(line) = lines.recv() {
        text.push_str(&line);
        while text.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            text.push_str(&line);
        }
        // If standard output is closed, the loss can be reported only in the metric.
        let mut output = std::io::stdout().lock();
        if output.write_all(text.as_bytes()).and_then(|()| output.flush()).is_err() {
            DROPPED_LINES.fetch_add(text.lines().count() as u64, Ordering::Relaxed);
        }
        text.clear();
    }
}
