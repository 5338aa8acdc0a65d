//! A settings file that is reloaded when it changes.

use std::fs;
use std::path::PathBuf;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;

use super::GatewaySettings;

/// Parses the text of a deployment's settings file.
pub type ParseSettings = fn(&str) -> Result<GatewaySettings, Fault>;

/// A settings file that is reloaded when it changes, with or without a signal to the process.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    parse: ParseSettings,
    text: String,
}

impl SettingsFile {
    /// Reads and parses the file. Fails if it can't be read or is invalid.
    pub fn open(path: PathBuf, parse: ParseSettings) -> Result<(Self, GatewaySettings), Fault> {
        let text = fs::read_to_string(&path)
            .map_err(|error| Fault::new(Step::Settings, path.display(), error))?;
        let settings = parse(&text)?;
        Ok((Self { path, parse, text }, settings))
    }

    /// Reads the file and returns its settings if its text has changed since the last call.
    ///
    /// An invalid text is returned as an error once, until it changes again; a file that can't be
    /// read counts as unchanged. In both cases the process keeps its last valid settings.
    pub fn reload_if_changed(&mut self) -> Option<Result<GatewaySettings, Fault>> {
        let text = match fs::read_to_string(&self.path) {
            Ok(text) => text,
            // The file may be in the course of being replaced; the next call reads the new one.
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
