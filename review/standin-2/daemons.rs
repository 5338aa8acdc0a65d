//! The project's own programs as processes, and the addresses and settings of a small deployment.

use std::cell::Cell;
use std::fs;
use std::fs::OpenOptions;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::call;
use crate::http::wait_until;
use crate::record::Record;

pub const SIGKILL: i32 = 9;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// No case runs longer than this.
const LIMIT: Duration = Duration::from_secs(110);

/// The ports, which are the same on all machines.
const FRONT: u16 = 8149;
const READY: u16 = 8141;
const STORE: u16 = 8142;
pub const APP: u16 = 8080;

pub struct World {
    pub record: Record,
    pub has_trouble: bool,
    folder: PathBuf,
    daemon: String,
    net: (u8, u8),
    children: Arc<Mutex<Vec<Child>>>,
}

impl Drop for World {
    /// Ends all processes that the test started, also after a panic.
    fn drop(&mut self) {
        self.end_all();
    }
}

/// A daemon of the project.
pub struct Daemon {
    pub name: String,
    settings: PathBuf,
    pid: Cell<Option<u32>>,
}

impl World {
    pub fn new(record: &str, folder: &str, daemon: &str, has_trouble: bool) -> Self {
        let id = std::process::id();
        // A net of its own, so that cases can run one beside the other.
        let net = ((id % 200 + 20) as u8, (id / 200 % 250 + 1) as u8);
        let record = Record::create(record);
        record.line(if has_trouble { "with the disruption" } else { "without the disruption" });
        let children: Arc<Mutex<Vec<Child>>> = Arc::default();
        let watched = Arc::clone(&children);
        thread::spawn(move || {
            thread::sleep(LIMIT);
            end(&watched);
            eprintln!("the case took too long");
            std::process::exit(2);
        });
        Self {
            record,
            has_trouble,
            folder: PathBuf::from(folder),
            daemon: daemon.to_owned(),
            net,
            children,
        }
    }

    pub fn ip(&self, number: u8) -> String {
        format!("127.{}.{}.{number}", self.net.0, self.net.1)
    }

    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(number)).parse().expect("an address")
    }

    pub fn front(&self, number: u8) -> SocketAddr {
        self.address(number, FRONT)
    }

    pub fn store(&self, number: u8) -> SocketAddr {
        self.address(number, STORE)
    }

    /// Returns the settings of an entry, with the bounds of the site pbwl-router-grown.
    pub fn entry_settings(&self, name: &str, number: u8, store: SocketAddr) -> String {
        let ip = self.ip(number);
        format!(
            "nodeName={name}\nrole=entry\nmachineClass=edge\nserves=edge\nip={ip}\n\
             listen.front={ip}:{FRONT}\nlisten.ready={ip}:{READY}\n\
             limits.cpuShare=0.5\nlimits.cores=1\nlimits.memoryMb=512\nlimits.maxFds=8192\n\
             limits.linkMbps=200\n{}",
            self.shared_settings(store)
        )
    }

    fn shared_settings(&self, store: SocketAddr) -> String {
        format!(
            "zone=odessa\nregion=west-tx\nzones.odessa=west-tx\ninternalPorts=7380,7395\nseeds=\n\
             isBootstrap=false\nisCounted=false\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\n\
             heartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\n\
             faultTolerance.machines=2\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=4000\nbounds.ackMs=6000\n\
             bounds.catchUpS=6\nbounds.drainMs=3000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=3000\nbounds.rollbackSlackMs=250\nbounds.maxSkewMs=6000\n\
             bounds.retryBudgetRatio=0.2\nbounds.retryWindowS=10\nbounds.retrySlack=150\n\
             bounds.recoverS=15\nbounds.passMs=200\nbounds.againS=0\nbounds.fencingEnforced=false\n\
             bounds.leaseMs=3000\nbounds.thawMs=300\nbounds.originWindowS=5\n\
             bounds.originOverage=1.1\nbounds.version_ms=5000\nplatform.address={store}\n\
             platform.form=table\nplatform.writesPerS=1200\nplatform.readsPerS=6000\n\
             platform.txMs=5.0\nplatform.partWritesPerS=200\nplatform.rowBytes=65536\n\
             platform.across=false\nplatform.historyS=20\nplatform.blobBytes=8388608\n\
             platform.blobMs=25.0\nplatform.blobMbPerS=80.0\n"
        )
    }

    /// Starts a daemon with the command of the deploy file.
    pub fn start(&self, name: &str, settings: &str) -> Daemon {
        let path = self.folder.join(format!("{name}.conf"));
        let daemon = Daemon { name: name.to_owned(), settings: path, pid: Cell::new(None) };
        fs::write(&daemon.settings, settings).expect("the settings can be written");
        self.start_again(&daemon);
        daemon
    }

    fn start_again(&self, daemon: &Daemon) {
        let mut command = Command::new(&self.daemon);
        command.args(["--prepared", "--metrics", "9464"]);
        command.env_clear().env("FILBERTCLEAT_BOOT", &daemon.settings);
        daemon.pid.set(Some(self.spawn(command, &daemon.name)));
    }

    /// Starts a process of the test and returns its id.
    pub fn spawn(&self, mut command: Command, name: &str) -> u32 {
        let log = self.folder.join(format!("{name}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        let child = command.spawn().expect("the process starts");
        let pid = child.id();
        self.record.line(&format!("started {name} as process {pid}"));
        self.children.lock().unwrap().push(child);
        pid
    }

    /// Sends a signal to a process that the test started.
    pub fn signal(&self, pid: u32, signal: i32) {
        let children = self.children.lock().unwrap();
        if children.iter().any(|child| child.id() == pid) {
            // SAFETY: a plain system call; the process is a child that has not been waited for.
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Waits until a process has ended, and forgets it.
    pub fn reap(&self, pid: u32) {
        let mut children = self.children.lock().unwrap();
        if let Some(index) = children.iter().position(|child| child.id() == pid) {
            let mut child = children.remove(index);
            let _ = child.wait();
        }
    }

    pub fn kill(&self, daemon: &Daemon, signal: i32) {
        if let Some(pid) = daemon.pid.get() {
            self.signal(pid, signal);
        }
    }

    /// Waits until an entry says that it is ready.
    pub fn wait_ready(&self, number: u8) -> bool {
        let ready = self.address(number, READY);
        wait_until(Duration::from_secs(10), || {
            let answer = call(ready, "GET", "/api/readyz", &[], "", Duration::from_secs(1));
            answer.is_ok_and(|answer| answer.status == 200)
        })
    }

    pub fn end_all(&self) {
        end(&self.children);
    }
}

/// Ends all processes that the test started.
fn end(children: &Mutex<Vec<Child>>) {
    for child in children.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}
