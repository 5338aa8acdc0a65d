//! Logging to standard output, with a rate limit and without blocking on a slow reader.

mod rate_limiter;
mod writer;

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use log::LevelFilter;

pub use self::rate_limiter::LogDecision;
pub use self::rate_limiter::LogRateLimiter;
use self::writer::Writer;
use self::writer::count_dropped_line;
pub use self::writer::dropped_log_lines;

/// The crates that log at the configured level; all others log warnings and errors.
const LOGGING_CRATES: [&str; 3] =
    ["filbertcleat_gateway", "filbertcleat_prepared", "filbertcleatd"];

/// Starts logging to standard output at the given level, one line per event.
///
/// Fails if a logger is already installed.
pub fn init_logging(level: LevelFilter) -> Result<(), Fault> {
    let start = Instant::now();
    let limiter = Mutex::new(LogRateLimiter::default());
    let writer = Writer::start();
    let output = fern::Output::call(move |record| {
        let message = record.args().to_string();
        let now_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
        let decision =
            limiter.lock().unwrap_or_else(PoisonError::into_inner).evaluate(now_ms, &message);
        let level = record.level().as_str().to_lowercase();
        match decision {
            LogDecision::Write => writer.write(format_line(&level, &message)),
            LogDecision::WriteAfterDropped { dropped } => {
                let event = LogRateLimiter::event_kind(&message);
                let note = format!("event=lines-left-out of={event} lines={dropped}");
                writer.write(format_line("info", &note));
                writer.write(format_line(&level, &message));
            }
            LogDecision::Drop => count_dropped_line(),
        }
    });
    let dispatch = LOGGING_CRATES
        .iter()
        .fold(fern::Dispatch::new().level(LevelFilter::Warn), |dispatch, name| {
            dispatch.level_for(*name, level)
        });
    dispatch.chain(output).apply().map_err(|error| Fault::new(Step::Settings, "logs", error))
}

fn format_line(level: &str, message: &str) -> String {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("time_ms={} level={level} {message}\n", time.as_millis())
}
