//! A link between two processes whose open channels can go silent for good.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A link that forwards channels to an address.
#[derive(Clone)]
pub struct Link {
    opened: Arc<AtomicU64>,
    /// The channels with lower numbers are silent.
    silent_below: Arc<AtomicU64>,
}

impl Link {
    /// Starts a link at a free port of an address.
    pub fn start(ip: &str, to: SocketAddr) -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let link = Self { opened: Arc::default(), silent_below: Arc::default() };
        let serving = link.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let number = serving.opened.fetch_add(1, Ordering::SeqCst);
                let Ok(server) = TcpStream::connect(to) else { continue };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let link = serving.clone();
                    std::thread::spawn(move || link.forward(number, from, to));
                }
            }
        });
        Ok((link, address))
    }

    /// Makes all open channels silent, without a reset. New ones work. Returns how many were opened
    /// so far.
    pub fn silence_open_channels(&self) -> u64 {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_below.store(opened, Ordering::SeqCst);
        opened
    }

    fn forward(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let _ = from.set_read_timeout(Some(Duration::from_millis(5)));
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let read = from.read(&mut buffer);
            if number < self.silent_below.load(Ordering::SeqCst) {
                // Nothing is delivered any more, and the ends are not told.
                loop {
                    std::thread::sleep(Duration::from_secs(60));
                }
            }
            match read {
                Ok(0) => break,
                Ok(length) => {
                    if to.write_all(&buffer[..length]).is_err() {
                        break;
                    }
                }
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => break,
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    }
}
