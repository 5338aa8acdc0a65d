//! Logs to standard output, bounded in volume and never in the way.

mod limiter;
mod writer;

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use log::LevelFilter;

pub use self::limiter::LogDecision;
pub use self::limiter::LogRateLimiter;
use self::writer::Writer;
pub use self::writer::dropped_log_lines;
use self::writer::leave_out;

/// The crates whose lines are written at the chosen level; others only warn.
const CRATES: [&str; 3] = ["filbertcleat_gateway", "filbertcleat_prepared", "filbertcleatd"];

/// Starts writing logs to standard output, one line an event.
pub fn init_logging(level: LevelFilter) -> Result<(), Fault> {
    let start = Instant::now();
    let limiter = Mutex::new(LogRateLimiter::default());
    let writer = Writer::start();
    let output = fern::Output::call(move |record| {
        let message = record.args().to_string();
        let now_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
        let verdict =
            limiter.lock().unwrap_or_else(PoisonError::into_inner).evaluate(now_ms, &message);
        let level = record.level().as_str().to_lowercase();
        match verdict {
            LogDecision::Write => writer.write(line(&level, &message)),
            LogDecision::WriteAfterDropped { dropped } => {
                let event = LogRateLimiter::event_kind(&message);
                let note = format!("event=lines-left-out of={event} lines={dropped}");
                writer.write(line("info", &note));
                writer.write(line(&level, &message));
            }
            LogDecision::Drop => leave_out(),
        }
    });
    let dispatch =
        CRATES.iter().fold(fern::Dispatch::new().level(LevelFilter::Warn), |dispatch, name| {
            dispatch.level_for(*name, level)
        });
    dispatch.chain(output).apply().map_err(|error| Fault::new(Step::Settings, "logs", error))
}

fn line(level: &str, message: &str) -> String {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("time_ms={} level={level} {message}\n", time.as_millis())
}
