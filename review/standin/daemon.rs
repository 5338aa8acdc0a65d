//! Starts the daemon as the deploy file does, and ends it.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

/// The port of the metrics in the deploy file.
const METRICS_PORT: u16 = 9464;

/// A running entry, which is killed when this is dropped.
pub struct Entry {
    child: Child,
    folder: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// The port for updates between processes, which is the same on all machines.
    pub peer_port: u16,
}

/// A running agent, which is killed when this is dropped.
pub struct Agent {
    child: Child,
    folder: PathBuf,
    program: String,
}

/// Returns a loopback address at which the fixed metrics port is free, with free ports for the rest.
fn free_address(seed: u32) -> std::io::Result<(String, u16, u16, u16)> {
    for step in 0..50 {
        let ip = format!("127.{}.{}.{}", 60 + step, (seed >> 8) & 0xff, 1 + (seed & 0x7f));
        if TcpListener::bind((ip.as_str(), METRICS_PORT)).is_err() {
            continue;
        }
        let front = TcpListener::bind((ip.as_str(), 0))?;
        let ready = TcpListener::bind((ip.as_str(), 0))?;
        let peers = UdpSocket::bind((ip.as_str(), 0))?;
        let port = |address: std::io::Result<SocketAddr>| address.map(|address| address.port());
        let ports =
            (port(front.local_addr())?, port(ready.local_addr())?, port(peers.local_addr())?);
        return Ok((ip, ports.0, ports.1, ports.2));
    }
    Err(std::io::Error::other("no address with a free port for metrics"))
}

impl Entry {
    /// Starts an entry that finds the store at an address.
    pub fn start(program: &str, store: SocketAddr) -> std::io::Result<Self> {
        let (ip, front, ready, peers) = free_address(std::process::id())?;
        let folder = std::env::temp_dir().join(format!("review-{}-{front}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let settings = folder.join("local.conf");
        std::fs::write(&settings, settings_text(&ip, front, ready, peers, store))?;
        let log = File::create(folder.join("entry.log"))?;
        let child = Command::new(program)
            .args(["--prepared", "--metrics", "9464"])
            .env("FILBERTCLEAT_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let address = |port: u16| -> std::io::Result<SocketAddr> {
            format!("{ip}:{port}").parse().map_err(std::io::Error::other)
        };
        Ok(Self { child, folder, front: address(front)?, ready: address(ready)?, peer_port: peers })
    }

    /// Returns the lines of the log that hold a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join("entry.log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Agent {
    /// Returns a loopback address at which an agent can use the ports of the deployment.
    pub fn free_address(peer_port: u16) -> std::io::Result<String> {
        let seed = std::process::id();
        for step in 0..50 {
            let ip = format!("127.{}.{}.{}", 120 + step, (seed >> 8) & 0xff, 1 + (seed & 0x7f));
            if TcpListener::bind((ip.as_str(), METRICS_PORT)).is_ok()
                && UdpSocket::bind((ip.as_str(), peer_port)).is_ok()
            {
                return Ok(ip);
            }
        }
        Err(std::io::Error::other("no address with free ports for an agent"))
    }

    /// Starts an agent beside an engine.
    pub fn start(
        program: &str,
        ip: &str,
        peer_port: u16,
        engine: SocketAddr,
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}-agent", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let text = settings_text(ip, 0, 0, peer_port, store);
        let lines = text.lines().filter(|line| !line.starts_with("listen."));
        let text: String = lines.map(|line| format!("{line}\n")).collect();
        let text = text.replace("nodeName=edge-north-1", "nodeName=side-north-1");
        let text = text.replace("role=entry", "role=agent").replace("=edge", "=side");
        std::fs::write(folder.join("local.conf"), format!("{text}app={engine}\nservice=writer\n"))?;
        let child = Self::spawn(program, &folder)?;
        Ok(Self { child, folder, program: program.to_owned() })
    }

    fn spawn(program: &str, folder: &std::path::Path) -> std::io::Result<Child> {
        let log = File::options().create(true).append(true).open(folder.join("agent.log"))?;
        Command::new(program)
            .args(["--prepared", "--metrics", "9464"])
            .env("FILBERTCLEAT_BOOT", folder.join("local.conf"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// Kills the process, and starts it again after a short delay.
    pub fn kill_and_restart(&mut self) -> std::io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        std::thread::sleep(std::time::Duration::from_millis(400));
        self.child = Self::spawn(&self.program, &self.folder)?;
        Ok(())
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the settings of an edge machine of the small deployments.
fn settings_text(ip: &str, front: u16, ready: u16, peers: u16, store: SocketAddr) -> String {
    let lines = [
        "nodeName=edge-north-1".to_owned(),
        "role=entry".to_owned(),
        "machineClass=edge".to_owned(),
        "serves=edge".to_owned(),
        format!("ip={ip}"),
        "zone=north".to_owned(),
        "region=home".to_owned(),
        "zones.north=home".to_owned(),
        format!("listen.front={ip}:{front}"),
        format!("listen.ready={ip}:{ready}"),
        format!("internalPorts={peers},{peers}"),
        "seeds=".to_owned(),
        "isBootstrap=true".to_owned(),
        "limits.cores=1".to_owned(),
        "limits.memoryMb=260".to_owned(),
        "limits.maxFds=4100".to_owned(),
        "heartbeatMs=1200".to_owned(),
        "bounds.contactMs=3000".to_owned(),
        "bounds.ackMs=4000".to_owned(),
        "bounds.catchUpS=4".to_owned(),
        "bounds.drainMs=2000".to_owned(),
        "bounds.graceS=8".to_owned(),
        "bounds.lossSlackMs=200".to_owned(),
        "bounds.configApplyMs=2000".to_owned(),
        "bounds.rollbackSlackMs=250".to_owned(),
        "bounds.maxSkewMs=5000".to_owned(),
        "bounds.retryBudgetRatio=0.2".to_owned(),
        "bounds.retryWindowS=10".to_owned(),
        "bounds.retrySlack=54".to_owned(),
        "bounds.recoverS=12".to_owned(),
        "bounds.version_ms=5000".to_owned(),
        format!("platform.address={store}"),
        "platform.form=table".to_owned(),
        "platform.writesPerS=400".to_owned(),
        "platform.readsPerS=2000".to_owned(),
        "platform.historyS=20".to_owned(),
    ];
    lines.join("\n") + "\n"
}
