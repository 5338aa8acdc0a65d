//! A settings file that may change while the process runs.

use std::fs;
use std::path::PathBuf;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;

use super::GatewaySettings;

/// How a deployment's settings file is read.
pub type ParseSettings = fn(&str) -> Result<GatewaySettings, Fault>;

/// A settings file that may change while the process runs, with or without a signal.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    parse: ParseSettings,
    text: String,
}

impl SettingsFile {
    /// Reads the file for the first time.
    pub fn open(path: PathBuf, parse: ParseSettings) -> Result<(Self, GatewaySettings), Fault> {
        let text = fs::read_to_string(&path)
            .map_err(|error| Fault::new(Step::Settings, path.display(), error))?;
        let settings = parse(&text)?;
        Ok((Self { path, parse, text }, settings))
    }

    /// Reads the file again and returns its settings if it has changed.
    ///
    /// A file that can't be read or is wrong leaves the process with its last good settings; it is
    /// reported once, until it changes again.
    pub fn reload_if_changed(&mut self) -> Option<Result<GatewaySettings, Fault>> {
        let text = match fs::read_to_string(&self.path) {
            Ok(text) => text,
            // A file that is being replaced is there again at the next look.
            Err(error) => {
                log::debug!(
                    "event=settings-unread file={} reason=\"{error}\"",
                    self.path.display()
                );
                return None;
            }
        };
        if text == self.text {
            return None;
        }
        self.text = text;
        Some((self.parse)(&self.text))
    }
}
