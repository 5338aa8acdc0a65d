//! The command line of the daemon filbertcleatd.

mod prepared;

use std::path::Path;
use std::process::ExitCode;

use filbertcleat_config::Settings;
use filbertcleat_daemon::Daemon;
use getopts::Options;
use log::LevelFilter;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code for a wrong command line or settings file.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("s", "settings", "the settings file", "FILE");
    options.optflag("p", "prepared", "run on a prepared machine, whose settings file it names");
    options.optopt("m", "metrics", "with --prepared: serve metrics at this port", "PORT");
    options.optopt("l", "log", "with --prepared: log this much (info)", "LEVEL");
    options.optflag("c", "check", "check the settings and exit");
    options.optflag("h", "help", "show this text");
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let usage = options.usage(
        "Usage: filbertcleatd --settings FILE [--check]\n       filbertcleatd --prepared [--metrics PORT] [--log LEVEL] [--check]",
    );
    if arguments.iter().any(|argument| argument == "-h" || argument == "--help") {
        println!("{usage}");
        return ExitCode::SUCCESS;
    }
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{usage}");
            return ExitCode::from(EXIT_USAGE);
        }
    };

    if matches.opt_present("prepared") {
        let port = match matches.opt_get("metrics") {
            Ok(port) => port,
            Err(error) => {
                eprintln!("--metrics takes a port from 1 to 65535: {error}\n{usage}");
                return ExitCode::from(EXIT_USAGE);
            }
        };
        let level = match matches.opt_get_default("log", LevelFilter::Info) {
            Ok(level) => level,
            Err(error) => {
                eprintln!("--log takes off, error, warn, info or debug: {error}\n{usage}");
                return ExitCode::from(EXIT_USAGE);
            }
        };
        return match prepared::run(matches.opt_present("check"), port, level) {
            Ok(()) => ExitCode::SUCCESS,
            Err(fault) => {
                eprintln!("{fault}");
                ExitCode::from(EXIT_USAGE)
            }
        };
    }
    let Some(file) = matches.opt_str("settings") else {
        eprintln!("a settings file or --prepared is needed\n{usage}");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match Settings::load(Path::new(&file)) {
        Ok(settings) => settings,
        Err(problems) => {
            eprintln!("{problems}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("check") {
        println!("{file}: settings are good");
        return ExitCode::SUCCESS;
    }
    run(settings)
}

fn run(settings: Settings) -> ExitCode {
    if let Err(error) = filbertcleat_daemon::init_logging(&settings.log) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("runtime can't start: {error}");
            return ExitCode::FAILURE;
        }
    };

    runtime.block_on(async {
        match Daemon::start(settings).await {
            Ok(daemon) => {
                watch_signals(&daemon);
                daemon.run().await;
                ExitCode::SUCCESS
            }
            Err(error) => {
                log::error!("event=start-failed reason=\"{error}\"");
                ExitCode::FAILURE
            }
        }
    })
}

/// Drains and stops the daemon on SIGTERM or SIGINT.
fn watch_signals(daemon: &Daemon) {
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let shutdown = daemon.shutdown_trigger();
        if let Ok(mut signals) = signal(kind) {
            tokio::spawn(async move {
                while signals.recv().await.is_some() {
                    shutdown();
                }
            });
        }
    }
}
