//! The memory that an entry with a settings file of its own takes for the bodies of many callers.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

/// The largest body, and the memory for all bodies together.
const BODY_MAX_BYTES: usize = 1_024 * 1_024;
const BODIES_MAX_BYTES: usize = 8 * 1_024 * 1_024;
/// The memory of a machine that has room for the process and its bodies.
const MEMORY_BYTES: u64 = 64_000_000;
const CLIENTS: usize = 96;
/// Many times what a request takes on a busy machine.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(60);

struct Entry {
    child: Child,
    callers: SocketAddr,
}

impl Entry {
    /// Starts an entry whose platform is out of reach.
    fn start() -> Self {
        let free = |_| TcpListener::bind("127.0.0.1:0").expect("loopback has a port");
        let listeners: Vec<_> = (0..3).map(free).collect();
        let [peers, callers, operators] =
            [0, 1, 2].map(|at: usize| listeners[at].local_addr().expect("the listener is bound"));
        drop(listeners);
        let settings = format!(
            "role: entry\nname: entry-1\nregion: loopback\nplace: here\n\
             peers:\n  listen: {peers}\n  token: {{ env: BODY_TOKEN }}\n  seeds: []\n\
             platform:\n  table: http://127.0.0.1:1\n  objects: http://127.0.0.1:1\n\
             callers:\n  listen: {callers}\n  body_max_bytes: {BODY_MAX_BYTES}\n  \
             bodies_max_bytes: {BODIES_MAX_BYTES}\n  read_timeout_ms: 30000\n\
             operators:\n  listen: {operators}\n  token: {{ env: BODY_TOKEN }}\n\
             log:\n  level: error\n"
        );
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("body-memory.yaml");
        std::fs::write(&path, settings).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_filbertcleatd"))
            .arg("--settings")
            .arg(path)
            .env("BODY_TOKEN", "body-token")
            .stdin(Stdio::null())
            .spawn()
            .expect("the entry starts");
        let entry = Self { child, callers };
        entry.assert_answers();
        entry
    }

    /// Checks that the readiness check is answered, on a connection that a caller could use.
    fn assert_answers(&self) {
        let began_at = Instant::now();
        while !self.is_answered() {
            assert!(began_at.elapsed() < SERVICE_TIMEOUT, "no request is answered");
            sleep(Duration::from_millis(50));
        }
    }

    fn is_answered(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.callers) else { return false };
        let mut reply = String::new();
        stream
            .write_all(b"GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            .and_then(|()| stream.read_to_string(&mut reply))
            .is_ok_and(|_| reply.starts_with("HTTP/1.1 "))
    }

    fn peak_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the entry lives");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        peak.expect("the entry lives") * 1_024
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // Errors mean that the entry has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a body but for its last byte, as long as the entry takes it, and returns the connection.
fn send_short(callers: SocketAddr, body: &[u8]) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(callers).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(2))).ok()?;
    let head = format!(
        "POST /services/desk/1 HTTP/1.1\r\nhost: a\r\ncontent-length: {BODY_MAX_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    // The entry may close the connection of such a client at any time.
    let _ = stream.write_all(body);
    Some(stream)
}

#[test]
fn short_bodies_bounded() {
    let entry = Entry::start();
    let body = vec![b'x'; BODY_MAX_BYTES - 1];

    let crowd: Vec<_> = (0..CLIENTS).map(|_| send_short(entry.callers, &body)).collect();
    let peak = entry.peak_bytes();
    println!("peak: {peak}");
    assert!(peak <= MEMORY_BYTES, "{peak} bytes");
    drop(crowd);
    entry.assert_answers();
}
