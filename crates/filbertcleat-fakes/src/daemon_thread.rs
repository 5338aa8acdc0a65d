//! Runs a daemon on its own thread, in place of a process.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use filbertcleat_config::Settings;
use filbertcleat_daemon::Daemon;
use filbertcleat_daemon::StartError;
use tokio::sync::oneshot;

/// A daemon on its own thread and runtime, so that tests can kill and freeze it like a process.
#[derive(Debug)]
pub struct DaemonThread {
    /// The settings of the daemon.
    pub settings: Settings,
    /// The address that the daemon listens on for peers.
    pub peer_address: SocketAddr,
    /// The address that an entry listens on for callers; `None` for an agent.
    pub caller_address: Option<SocketAddr>,
    /// The address that an entry listens on for operators; `None` for an agent.
    pub operator_address: Option<SocketAddr>,
    handle: tokio::runtime::Handle,
    shutdown: Option<oneshot::Sender<()>>,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    /// The directory of the thread in `/proc`, relative to `/proc`.
    thread_path: String,
}

impl DaemonThread {
    /// Starts a daemon and waits until it listens.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let (started, start_result) = oneshot::channel();
        let (shutdown, shutdown_requested) = oneshot::channel();
        let (kill, killed) = oneshot::channel();
        let thread_settings = settings.clone();
        let thread =
            std::thread::spawn(move || run(thread_settings, started, shutdown_requested, killed));
        let started_daemon = start_result.await.expect("the daemon thread sends its start result");
        let started_daemon = started_daemon?;
        Ok(Self {
            settings,
            peer_address: started_daemon.peer_address,
            caller_address: started_daemon.caller_address,
            operator_address: started_daemon.operator_address,
            handle: started_daemon.handle,
            shutdown: Some(shutdown),
            kill: Some(kill),
            thread: Some(thread),
            thread_path: started_daemon.thread_path,
        })
    }

    /// Requests a graceful shutdown.
    pub fn shut_down(&mut self) {
        if let Some(shutdown) = self.shutdown.take() {
            // A daemon that has already exited has dropped the receiver.
            let _ = shutdown.send(());
        }
    }

    /// Terminates the daemon without a graceful shutdown and waits until its thread has exited.
    pub fn kill(&mut self) {
        if let Some(kill) = self.kill.take() {
            let _ = kill.send(());
        }
        self.join();
    }

    /// Blocks the thread of the daemon for `duration`, so that all its tasks stall.
    pub fn freeze(&self, duration: Duration) {
        self.handle.spawn(async move { std::thread::sleep(duration) });
    }

    /// Returns the CPU time that the thread of the daemon has used, or zero if it is unknown.
    pub fn cpu_time(&self) -> Duration {
        let path = format!("/proc/{}/schedstat", self.thread_path);
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let nanos = text.split(' ').next().and_then(|text| text.parse().ok());
        Duration::from_nanos(nanos.unwrap_or(0))
    }

    /// Returns whether the daemon has exited.
    pub fn has_exited(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits until the daemon has exited.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for DaemonThread {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The addresses and handles that the thread of a daemon sends once the daemon listens.
#[derive(Debug)]
struct StartedDaemon {
    peer_address: SocketAddr,
    caller_address: Option<SocketAddr>,
    operator_address: Option<SocketAddr>,
    handle: tokio::runtime::Handle,
    thread_path: String,
}

/// Starts the daemon, sends the result, and runs the daemon until it exits or is killed.
fn run(
    settings: Settings,
    started: oneshot::Sender<Result<StartedDaemon, StartError>>,
    shutdown_requested: oneshot::Receiver<()>,
    killed: oneshot::Receiver<()>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be built");
    let run_daemon = async {
        let daemon = match Daemon::start(settings).await {
            Ok(daemon) => daemon,
            Err(error) => {
                let _ = started.send(Err(error));
                return;
            }
        };
        let started_daemon = StartedDaemon {
            peer_address: daemon.peer_address(),
            caller_address: daemon.caller_address(),
            operator_address: daemon.operator_address(),
            handle: tokio::runtime::Handle::current(),
            thread_path: thread_path(),
        };
        let trigger_shutdown = daemon.shutdown_trigger();
        tokio::spawn(async move {
            if shutdown_requested.await.is_ok() {
                trigger_shutdown();
            }
        });
        if started.send(Ok(started_daemon)).is_ok() {
            daemon.run().await;
        }
    };
    runtime.block_on(async {
        tokio::select! {
            () = run_daemon => {}
            _ = killed => {}
        }
    });
    runtime.shutdown_background();
}

/// Returns the directory of the current thread in `/proc`, relative to `/proc`.
fn thread_path() -> String {
    let link = std::fs::read_link("/proc/thread-self").unwrap_or_default();
    link.display().to_string()
}
