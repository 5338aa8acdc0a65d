//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {text}");
        println!("{line}");
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{line}");
        let _ = file.flush();
    }
}
