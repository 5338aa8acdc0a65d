//! Logging in key=value pairs.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertcleat_config::LogSettings;
use log::LevelFilter;
use thiserror::Error;

/// Initializes the global logger from the settings.
pub fn init_logging(settings: &LogSettings) -> Result<(), LogError> {
    let level: LevelFilter = settings.level.parse().unwrap_or(LevelFilter::Info);
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("filbertcleat_daemon", level)
        .format(|out, message, record| {
            let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let level = record.level().as_str().to_lowercase();
            out.finish(format_args!("time_ms={} level={level} {message}", elapsed.as_millis()));
        });
    let dispatch = match &settings.file {
        Some(path) => {
            let file =
                fern::log_file(path).map_err(|error| LogError { reason: error.to_string() })?;
            dispatch.chain(file)
        }
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch.apply().map_err(|error| LogError { reason: error.to_string() })
}

/// The reason why the logger can't be initialized.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("logs can't be written: {reason}")]
pub struct LogError {
    reason: String,
}
