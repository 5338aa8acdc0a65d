//! The log lines of a test.

use std::cell::RefCell;

use log::LevelFilter;
use log::Log;
use log::Metadata;
use log::Record;

thread_local! {
    static LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the lines of each thread, and with it of each test.
#[derive(Debug)]
struct ThreadLines;

impl Log for ThreadLines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

/// Keeps the log lines of the calling test from now on.
pub fn keep_lines() {
    // A test before this one may have installed the logger.
    let _ = log::set_logger(&ThreadLines);
    log::set_max_level(LevelFilter::Info);
}

/// Returns the lines of an event, without its name.
pub fn lines(event: &str) -> Vec<String> {
    let prefix = format!("event={event} ");
    LINES.with_borrow(|lines| {
        lines.iter().filter_map(|line| line.strip_prefix(&prefix).map(str::to_owned)).collect()
    })
}
