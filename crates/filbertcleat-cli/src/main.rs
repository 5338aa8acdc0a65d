//! The operators' command-line client filbertcleat.

mod allowances;
mod client;
mod command;
mod error;
mod options;
mod output;

use std::process::ExitCode;

use crate::command::Command;
use crate::error::ClientError;
use crate::options::Invocation;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let invocation = match Invocation::parse(&arguments) {
        Ok(Some(invocation)) => invocation,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => return print_error(&error),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let outcome = match runtime {
        Ok(runtime) => runtime.block_on(run(&invocation)),
        Err(error) => Err(ClientError::unreachable(error)),
    };
    match outcome {
        Ok(code) => code,
        Err(error) => print_error(&error),
    }
}

/// The exit code of a check with findings.
const FINDINGS: u8 = 1;

async fn run(invocation: &Invocation) -> Result<ExitCode, ClientError> {
    match &invocation.command {
        Command::Check { file } => command::check(file)?,
        Command::ConfigCheck { file, against } => {
            let is_clean = command::config_check(invocation, file, against.as_deref())?;
            return Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::from(FINDINGS) });
        }
        Command::Patch { file, base } => command::patch(invocation, file, *base).await?,
        Command::Config => command::config(invocation).await?,
        Command::Status => command::status(invocation).await?,
        Command::Allowances { addresses } => command::allowances(invocation, addresses).await?,
        Command::Adapters { prefix } => command::adapters(invocation, prefix).await?,
        Command::Drain { node } => command::drain(invocation, node).await?,
        Command::Timeline { request, max_age_ms } => {
            command::timeline(invocation, request, *max_age_ms).await?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn print_error(error: &ClientError) -> ExitCode {
    eprintln!("filbertcleat: {error}");
    ExitCode::from(error.exit_code())
}
