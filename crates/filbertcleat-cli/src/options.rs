//! Parsing of the command line.

use std::path::PathBuf;

use filbertcleat_base::NodeName;
use filbertcleat_base::OperatorName;
use getopts::Matches;
use getopts::Options;

use crate::command::Command;
use crate::error::ClientError;

/// The parsed command line.
#[derive(Debug)]
pub struct Invocation {
    /// The operators' address of an entry.
    pub entry: String,
    /// The operators' token.
    pub token: String,
    /// The operator's name, which is recorded with patches and drains.
    pub operator: OperatorName,
    /// Whether output is written as JSON.
    pub json: bool,
    /// The command to run.
    pub command: Command,
}

/// The part of the help text that lists the commands.
const COMMANDS: &str = "\
Commands:
  patch FILE [--base N]     submit the changes in FILE (YAML or JSON) against version N
  config                    show the configuration in force
  config check FILE [--against FILE]
                            check a deployment configuration before it is sent, and
                            compare it with the one in force
  status                    show all processes
  adapters [PREFIX]         list adapters, their versions and serving rules
  allowances ADDRESS...     show the allowances of workspaces, from the metrics addresses of
                            entries and agents
  drain NODE                start a planned stop of a process
  timeline [--request ID] [--since 10m]
                            show the merged events of all processes
  check FILE                validate a settings file

Exit codes: 0 done, 1 refused or findings, 2 wrong command line, settings or configuration,
3 nothing reached, 4 unknown outcome";

impl Invocation {
    /// Parses the command line; prints the help text and returns `None` if that is requested.
    pub fn parse(arguments: &[String]) -> Result<Option<Self>, ClientError> {
        let options = options();
        let matches = options.parse(arguments).map_err(ClientError::usage)?;
        if matches.opt_present("help") || matches.free.is_empty() {
            let brief = "Usage: filbertcleat [options] COMMAND";
            println!("{}\n{COMMANDS}", options.usage(brief));
            return Ok(None);
        }

        let command = command(&matches)?;
        let needs_entry = !matches!(
            command,
            Command::Allowances { .. } | Command::Check { .. } | Command::ConfigCheck { .. }
        );
        let entry = option_or_variable(&matches, "entry", "FILBERTCLEAT_ENTRY");
        let operator = option_or_variable(&matches, "operator", "USER")
            .unwrap_or_else(|| "unnamed".to_owned());
        if needs_entry && entry.is_none() {
            return Err(ClientError::usage("no entry is named: use --entry or FILBERTCLEAT_ENTRY"));
        }
        Ok(Some(Self {
            entry: entry.unwrap_or_default(),
            token: if needs_entry { token(&matches)? } else { String::new() },
            operator: operator.into(),
            json: matches.opt_present("json"),
            command,
        }))
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "e",
        "entry",
        "operators' address of an entry (or FILBERTCLEAT_ENTRY)",
        "IP:PORT",
    );
    options.optopt("t", "token-file", "file with the token (or FILBERTCLEAT_TOKEN)", "FILE");
    options.optopt("o", "operator", "your name (default: USER)", "NAME");
    options.optopt(
        "b",
        "base",
        "version that a patch is meant for (default: the one in force)",
        "N",
    );
    options.optopt("a", "against", "the configuration in force, to compare with", "FILE");
    options.optopt("r", "request", "only the events of this request", "ID");
    options.optopt("s", "since", "only later events: a number with ms, s, m or h", "TIME");
    options.optflag("j", "json", "write JSON");
    options.optflag("h", "help", "show this text");
    options
}

fn command(matches: &Matches) -> Result<Command, ClientError> {
    let mut words = matches.free.iter().map(String::as_str);
    let name = words.next().unwrap_or_default();
    let mut argument = words.next();
    if name == "allowances" {
        let addresses: Vec<_> = matches.free[1..].to_vec();
        if addresses.is_empty() {
            return Err(ClientError::usage("allowances needs metrics addresses (IP:PORT)"));
        }
        return Ok(Command::Allowances { addresses });
    }
    let is_config_check = name == "config" && argument == Some("check");
    if is_config_check {
        argument = words.next();
    }
    let against = matches.opt_str("against").map(PathBuf::from);
    if against.is_some() && !is_config_check {
        return Err(ClientError::usage(format!("{name} does not take --against")));
    }
    if let Some(extra) = words.next() {
        return Err(ClientError::usage(format!("argument {extra:?} is not expected")));
    }
    let required =
        |what: &str| argument.ok_or_else(|| ClientError::usage(format!("{name} needs {what}")));
    match name {
        "patch" => {
            let base = matches.opt_str("base").map(|text| {
                text.parse().map_err(|error| ClientError::usage(format!("base {text:?}: {error}")))
            });
            Ok(Command::Patch { file: PathBuf::from(required("a FILE")?), base: base.transpose()? })
        }
        "config" if is_config_check => {
            Ok(Command::ConfigCheck { file: PathBuf::from(required("check and a FILE")?), against })
        }
        "config" => Ok(Command::Config),
        "status" => Ok(Command::Status),
        "adapters" => Ok(Command::Adapters { prefix: argument.unwrap_or_default().to_owned() }),
        "drain" => Ok(Command::Drain { node: NodeName::new(required("a NODE")?) }),
        "timeline" => Ok(Command::Timeline {
            request: matches.opt_str("request").unwrap_or_default(),
            max_age_ms: matches
                .opt_str("since")
                .map(|text| parse_duration_ms(&text))
                .transpose()?,
        }),
        "check" => Ok(Command::Check { file: PathBuf::from(required("a FILE")?) }),
        _ => Err(ClientError::usage(format!("command {name:?} does not exist"))),
    }
}

/// Reads the operators' token from the token file or the environment.
fn token(matches: &Matches) -> Result<String, ClientError> {
    if let Some(file) = matches.opt_str("token-file") {
        let text = std::fs::read_to_string(&file);
        let text =
            text.map_err(|error| ClientError::usage(format!("token file {file:?}: {error}")))?;
        return Ok(text.trim().to_owned());
    }
    let missing = |_| ClientError::usage("no token: use --token-file or FILBERTCLEAT_TOKEN");
    std::env::var("FILBERTCLEAT_TOKEN").map_err(missing)
}

/// Returns an option's value, or else that of an environment variable.
fn option_or_variable(matches: &Matches, option: &str, variable: &str) -> Option<String> {
    matches.opt_str(option).or_else(|| std::env::var(variable).ok())
}

/// Parses a duration such as `90s` to milliseconds.
fn parse_duration_ms(text: &str) -> Result<u64, ClientError> {
    let error = || ClientError::usage(format!("time {text:?}: write a number with ms, s, m or h"));
    let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let number: u64 = digits.parse().ok().ok_or_else(error)?;
    let unit_ms = match &text[digits.len()..] {
        "ms" => 1,
        "s" => 1000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(error()),
    };
    Ok(number.saturating_mul(unit_ms))
}
