//! A daemon on a thread and a runtime of its own.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use filbertcleat_config::Settings;
use filbertcleat_daemon::Daemon;
use filbertcleat_daemon::StartError;
use tokio::sync::oneshot;

/// A daemon on a thread and a runtime of its own, so that it can be killed and frozen.
#[derive(Debug)]
pub struct DaemonThread {
    /// The settings that it was started with.
    pub settings: Settings,
    /// The address for peers.
    pub peer_address: SocketAddr,
    /// The address for callers, if it is an entry.
    pub caller_address: Option<SocketAddr>,
    /// The address for operators, if it is an entry.
    pub operator_address: Option<SocketAddr>,
    handle: tokio::runtime::Handle,
    stop: Option<oneshot::Sender<()>>,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    /// The thread's folder below `/proc`.
    thread_path: String,
}

impl DaemonThread {
    /// Starts a daemon.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let (started, ready) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        let (kill, killed) = oneshot::channel();
        let own = settings.clone();
        let thread = std::thread::spawn(move || run(own, started, stopped, killed));
        let beginning = ready.await.expect("the thread reports its start");
        let beginning = beginning?;
        Ok(Self {
            settings,
            peer_address: beginning.peer_address,
            caller_address: beginning.caller_address,
            operator_address: beginning.operator_address,
            handle: beginning.handle,
            stop: Some(stop),
            kill: Some(kill),
            thread: Some(thread),
            thread_path: beginning.thread_path,
        })
    }

    /// Asks for a planned stop.
    pub fn shut_down(&mut self) {
        if let Some(stop) = self.stop.take() {
            // A daemon that has ended needs no stop.
            let _ = stop.send(());
        }
    }

    /// Ends the daemon at once, with all that it was doing.
    pub fn kill(&mut self) {
        if let Some(kill) = self.kill.take() {
            let _ = kill.send(());
        }
        self.join();
    }

    /// Stops the daemon's thread for a while, in the middle of whatever it does.
    pub fn freeze(&self, time: Duration) {
        self.handle.spawn(async move { std::thread::sleep(time) });
    }

    /// Returns the processor time that the daemon's thread has taken.
    pub fn cpu_time(&self) -> Duration {
        let path = format!("/proc/{}/schedstat", self.thread_path);
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let nanos = text.split(' ').next().and_then(|text| text.parse().ok());
        Duration::from_nanos(nanos.unwrap_or(0))
    }

    /// Returns whether the daemon has ended.
    pub fn has_exited(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits until the daemon has ended.
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

/// What a daemon's thread reports once it listens.
#[derive(Debug)]
struct Beginning {
    peer_address: SocketAddr,
    caller_address: Option<SocketAddr>,
    operator_address: Option<SocketAddr>,
    handle: tokio::runtime::Handle,
    thread_path: String,
}

fn run(
    settings: Settings,
    started: oneshot::Sender<Result<Beginning, StartError>>,
    stopped: oneshot::Receiver<()>,
    killed: oneshot::Receiver<()>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be built");
    let whole = async {
        let daemon = match Daemon::start(settings).await {
            Ok(daemon) => daemon,
            Err(error) => {
                let _ = started.send(Err(error));
                return;
            }
        };
        let beginning = Beginning {
            peer_address: daemon.peer_address(),
            caller_address: daemon.caller_address(),
            operator_address: daemon.operator_address(),
            handle: tokio::runtime::Handle::current(),
            thread_path: thread_path(),
        };
        let stop = daemon.shutdown_trigger();
        tokio::spawn(async move {
            if stopped.await.is_ok() {
                stop();
            }
        });
        if started.send(Ok(beginning)).is_ok() {
            daemon.run().await;
        }
    };
    runtime.block_on(async {
        tokio::select! {
            () = whole => {}
            _ = killed => {}
        }
    });
    runtime.shutdown_background();
}

/// Returns the present thread's folder below `/proc`.
fn thread_path() -> String {
    let link = std::fs::read_link("/proc/thread-self").unwrap_or_default();
    link.display().to_string()
}
