//! The time line of a case, which is written to its record file.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// The time line of a case.
pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the record file and starts the clock.
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file })
    }

    /// Returns the milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes one line, and returns its time.
    pub fn line(&self, text: &str) -> u64 {
        let now = self.now_ms();
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{:>7} ms  {text}", now);
        let _ = file.flush();
        now
    }
}
