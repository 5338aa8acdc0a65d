//! The daemon on a prepared machine, whose environment names the settings file.

use std::net::SocketAddr;
use std::time::Duration;

use filbertcleat_base::Fault;
use filbertcleat_base::Step;
use filbertcleat_gateway::AgentListeners;
use filbertcleat_gateway::EntryListeners;
use filbertcleat_gateway::GatewayRole;
use filbertcleat_gateway::GatewaySettings;
use filbertcleat_gateway::RetryBudgetSettings;
use filbertcleat_gateway::SettingsFile;
use filbertcleat_gateway::ShutdownSignal;
use filbertcleat_gateway::init_logging;
use filbertcleat_gateway::log_panics;
use filbertcleat_gateway::run_agent;
use filbertcleat_gateway::run_entry;
use filbertcleat_platform::HttpClient;
use filbertcleat_prepared::PreparedCatalogue;
use filbertcleat_prepared::PreparedDialect;
use filbertcleat_prepared::PreparedEngine;
use filbertcleat_prepared::parse_settings;
use filbertcleat_prepared::settings_path;
use log::LevelFilter;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// The timeout for calls to the store without data, and for whole writes; many times the usual
/// response time: calls to a slow store still succeed, and an unreachable store is detected.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout for calls to the engine on the same machine, which answers within a few milliseconds
/// unless the answer is lost.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(150);

/// The interval between checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the daemon with the settings file that the environment names, or only checks the file.
///
/// Metrics are served at `metrics_port`, if there is one.
pub(crate) fn run(
    is_check: bool,
    metrics_port: Option<u16>,
    level: LevelFilter,
) -> Result<(), Fault> {
    let path = settings_path()?;
    let (file, settings) = SettingsFile::open(path.clone(), parse_settings)?;
    if is_check {
        println!("{}: settings are good", path.display());
        return Ok(());
    }

    init_logging(level)?;
    log_panics();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Fault::new(Step::Settings, "runtime", error))?;
    LocalSet::new().block_on(&runtime, serve(&settings, file, metrics_port))
}

/// Runs the entry or agent that the settings describe until it has stopped.
async fn serve(
    settings: &GatewaySettings,
    file: SettingsFile,
    metrics_port: Option<u16>,
) -> Result<(), Fault> {
    let metrics = metrics_port.map(|port| SocketAddr::new(settings.ip, port));
    let shutdown = ShutdownSignal::default();
    let retry_budget = watch::Sender::new(settings.retry_budget);
    let retry_budget_updates = retry_budget.subscribe();
    watch_signals(&shutdown, file, settings.clone(), retry_budget)?;
    match settings.role {
        GatewayRole::Entry { callers, readiness } => {
            let client = HttpClient::new(STORE_TIMEOUT);
            let catalogue = PreparedCatalogue::new(settings.catalogue_address, client);
            let listeners = EntryListeners::bind(callers, readiness, metrics).await?;
            run_entry(
                settings,
                listeners,
                catalogue,
                PreparedDialect,
                retry_budget_updates,
                shutdown,
            )
            .await
        }
        GatewayRole::Agent { engine } => {
            let client = HttpClient::new(ENGINE_TIMEOUT);
            let engine = PreparedEngine::new(engine, settings.name.clone(), client);
            let peers = SocketAddr::new(settings.ip, settings.peer_port);
            let listeners = AgentListeners::bind(peers, metrics).await?;
            let GatewaySettings { allowance_bounds, clock_difference_ms, .. } = *settings;
            run_agent(
                &settings.name,
                allowance_bounds,
                clock_difference_ms,
                listeners,
                engine,
                shutdown,
            )
            .await;
            Ok(())
        }
    }
}

/// Drains and stops the process on SIGTERM, and reloads the settings file on SIGHUP or a change.
fn watch_signals(
    shutdown: &ShutdownSignal,
    mut file: SettingsFile,
    mut settings: GatewaySettings,
    retry_budget: watch::Sender<RetryBudgetSettings>,
) -> Result<(), Fault> {
    let listen = |kind| signal(kind).map_err(|error| Fault::new(Step::Settings, "signals", error));
    let mut terminations = listen(SignalKind::terminate())?;
    let mut reloads = listen(SignalKind::hangup())?;
    let shutdown = shutdown.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::select! {
                Some(()) = terminations.recv() => shutdown.trigger(),
                Some(()) = reloads.recv() => {
                    log::info!("event=settings-asked by=signal");
                    reload(&mut file, &mut settings, &retry_budget);
                }
                () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => {
                    reload(&mut file, &mut settings, &retry_budget);
                }
            }
        }
    });
    Ok(())
}

/// Applies the changed settings that take effect without a restart; an invalid file is ignored.
fn reload(
    file: &mut SettingsFile,
    settings: &mut GatewaySettings,
    retry_budget: &watch::Sender<RetryBudgetSettings>,
) {
    match file.reload_if_changed() {
        None => {}
        Some(Err(fault)) => log::warn!("event=settings-kept reason=\"{fault}\""),
        Some(Ok(new)) => {
            retry_budget.send_replace(new.retry_budget);
            let other_settings =
                GatewaySettings { retry_budget: settings.retry_budget, ..new.clone() };
            let is_restart_due = other_settings != *settings;
            log::info!("event=settings-reloaded restart_due={is_restart_due}");
            settings.retry_budget = new.retry_budget;
        }
    }
}
