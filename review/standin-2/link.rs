//! A link between the system and one replica that can be cut. While it is cut, it holds all bytes and
//! the ends of channels, and passes them on once it has healed, as a network does whose packets are
//! sent again.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;

#[derive(Clone, Default)]
pub struct Link {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    is_cut: Mutex<bool>,
    healed: Condvar,
    /// The bytes that came from the replica.
    from_replica: AtomicU64,
}

impl Link {
    /// Passes on what comes to `address` to the replica at `to`.
    pub fn open(address: SocketAddr, to: SocketAddr) -> Self {
        let link = Self::default();
        let listener = TcpListener::bind(address).expect("the link's address is free");
        let passing = link.clone();
        thread::spawn(move || {
            for near in listener.incoming() {
                let Ok(near) = near else { continue };
                let link = passing.clone();
                thread::spawn(move || link.connect(near, to));
            }
        });
        link
    }

    pub fn cut(&self) {
        *self.shared.is_cut.lock().unwrap() = true;
    }

    pub fn heal(&self) {
        *self.shared.is_cut.lock().unwrap() = false;
        self.shared.healed.notify_all();
    }

    pub fn from_replica(&self) -> u64 {
        self.shared.from_replica.load(Ordering::SeqCst)
    }

    fn wait_healed(&self) {
        let is_cut = self.shared.is_cut.lock().unwrap();
        drop(self.shared.healed.wait_while(is_cut, |is_cut| *is_cut).unwrap());
    }

    fn connect(&self, near: TcpStream, to: SocketAddr) {
        self.wait_healed();
        let Ok(far) = TcpStream::connect(to) else {
            // The replica's port has no listener: the channel is reset.
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_out), Ok(far_out)) = (near.try_clone(), far.try_clone()) else { return };
        let link = self.clone();
        thread::spawn(move || link.pass(near, far_out, false));
        self.pass(far, near_out, true);
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, is_answer: bool) {
        let mut piece = [0; 16 * 1024];
        loop {
            let read = from.read(&mut piece);
            let length = *read.as_ref().unwrap_or(&0);
            if is_answer {
                self.shared.from_replica.fetch_add(length as u64, Ordering::SeqCst);
            }
            self.wait_healed();
            if read.is_err() {
                // A reset is passed on as an abrupt end of both directions.
                let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
            if length == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if to.write_all(&piece[..length]).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
