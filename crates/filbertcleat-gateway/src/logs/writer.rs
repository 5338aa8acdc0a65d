//! Writing lines without waiting for their reader.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

/// Lines that may wait for a slow reader before further ones are left out.
const LINES_MAX: usize = 512;
/// Lines are written together up to this size.
const WRITE_BYTES: usize = 16 * 1024;

/// The lines left out in this process, for want of room or by the limit.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines this process has left out.
pub fn dropped_log_lines() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// Hands lines to a thread that writes them, since standard output may block.
#[derive(Debug)]
pub(super) struct Writer {
    lines: SyncSender<String>,
}

impl Writer {
    /// Starts the thread.
    pub fn start() -> Self {
        let (lines, receiver) = sync_channel(LINES_MAX);
        std::thread::spawn(move || write_all(&receiver));
        Self { lines }
    }

    /// Writes a line, or leaves it out if too many wait.
    pub fn write(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            leave_out();
        }
    }
}

/// Counts a line that is left out.
pub(super) fn leave_out() {
    LEFT_OUT.fetch_add(1, Ordering::Relaxed);
}

fn write_all(lines: &Receiver<String>) {
    let mut text = String::new();
    while let Ok(line) = lines.recv() {
        text.push_str(&line);
        while text.len() < WRITE_BYTES
            && let Ok(line) = lines.try_recv()
        {
            text.push_str(&line);
        }
        // A closed pipe has no reader, and there is nowhere else to say so.
        let mut output = std::io::stdout().lock();
        if output.write_all(text.as_bytes()).and_then(|()| output.flush()).is_err() {
            LEFT_OUT.fetch_add(text.lines().count() as u64, Ordering::Relaxed);
        }
        text.clear();
    }
}
