//! The daemon on a prepared machine.

use std::net::SocketAddr;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use filbertcleat_gateway::EntryListeners;
use filbertcleat_gateway::GatewayRole;
use filbertcleat_gateway::GatewaySettings;
use filbertcleat_gateway::Stop;
use filbertcleat_gateway::run_agent;
use filbertcleat_gateway::run_entry;
use filbertcleat_gateway::start_logs;
use filbertcleat_platform::HttpClient;
use filbertcleat_prepared::PreparedCatalogue;
use filbertcleat_prepared::PreparedDialect;
use filbertcleat_prepared::PreparedEngine;
use filbertcleat_prepared::parse_settings;
use filbertcleat_prepared::settings_file;
use log::LevelFilter;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;

/// The time for a call to the store, which is many times its usual answer: a slow store still
/// answers, and one that is away is found out.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// The time for a call to the engine on the own machine, which answers within a few milliseconds
/// unless the answer is lost.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(150);

/// Runs the daemon with the settings file that the machine names, and serves metrics at a port.
pub(crate) fn run(
    is_check: bool,
    metrics_port: Option<u16>,
    level: LevelFilter,
) -> Result<(), Fault> {
    let file = settings_file()?;
    let text = std::fs::read_to_string(&file)
        .map_err(|error| Fault::new(Step::Settings, file.display(), error))?;
    let settings = parse_settings(&text)?;
    if is_check {
        println!("{}: settings are good", file.display());
        return Ok(());
    }

    start_logs(level)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Fault::new(Step::Settings, "runtime", error))?;
    LocalSet::new().block_on(&runtime, serve(&settings, metrics_port))
}

async fn serve(settings: &GatewaySettings, metrics_port: Option<u16>) -> Result<(), Fault> {
    let metrics = metrics_port.map(|port| SocketAddr::new(settings.ip, port));
    let stop = Stop::default();
    watch_signals(&stop)?;
    match settings.role {
        GatewayRole::Entry { callers, readiness } => {
            let client = HttpClient::new(STORE_TIMEOUT);
            let catalogue = PreparedCatalogue::new(settings.catalogue, client);
            let listeners = EntryListeners::bind(callers, readiness, metrics).await?;
            run_entry(settings, listeners, catalogue, PreparedDialect, stop).await
        }
        GatewayRole::Agent { engine } => {
            let client = HttpClient::new(ENGINE_TIMEOUT);
            let engine = PreparedEngine::new(engine, settings.name.clone(), client);
            run_agent(settings, engine, metrics, stop).await
        }
    }
}

/// Turns the signal to end into a planned stop, and outlives the signal to reload.
fn watch_signals(stop: &Stop) -> Result<(), Fault> {
    let listen = |kind| signal(kind).map_err(|error| Fault::new(Step::Settings, "signals", error));
    let mut terminations = listen(SignalKind::terminate())?;
    let mut reloads = listen(SignalKind::hangup())?;
    let stop = stop.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::select! {
                Some(()) = terminations.recv() => stop.stop(),
                Some(()) = reloads.recv() => log::info!("event=reload-asked"),
                else => return,
            }
        }
    });
    Ok(())
}
