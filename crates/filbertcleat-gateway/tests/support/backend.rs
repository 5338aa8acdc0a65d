//! A backend server that answers as a test says.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::spawn_local;

/// What a backend server does with one request.
#[derive(Clone, Debug)]
pub enum Script {
    /// Answers with a status and a body after a time.
    Answer { status: u16, body: &'static str, after: Duration },
    /// Sends so many events with a pause before each, and ends the stream in order.
    Events { count: u64, pause: Duration },
    /// Sends so many events and then closes without an end.
    EventsThenCut { count: u64 },
    /// Sends one event and half of the next without a length, and closes.
    TornUnframed,
    /// Runs the request and closes the connection without an answer.
    Close,
    /// Says that it did not run the request.
    NotRun,
    /// Answers, and sends a second answer of the same request after a time.
    AnswerTwice { after: Duration },
    /// Answers with the id of another request.
    Foreign,
    /// Answers without a seal.
    Unsealed,
    /// Never answers.
    Silent,
}

/// A backend server that answers as a test says.
#[derive(Clone, Debug)]
pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    scripts: Rc<RefCell<VecDeque<Script>>>,
    usual: Rc<RefCell<Script>>,
    /// The requests that arrived, as their heads.
    pub seen: Rc<RefCell<Vec<String>>>,
    /// The connections that were accepted.
    pub connections: Rc<Cell<usize>>,
    /// The requests whose connection was closed while they ran.
    pub cancelled: Rc<Cell<usize>>,
    /// Those of them whose connection was reset.
    pub reset: Rc<Cell<usize>>,
}

impl Backend {
    /// Starts a backend server that does the same with each request, but for those scripted.
    pub async fn start(id: &str, usual: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a port");
        let backend = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("bound"),
            scripts: Rc::default(),
            usual: Rc::new(RefCell::new(usual)),
            seen: Rc::default(),
            connections: Rc::default(),
            cancelled: Rc::default(),
            reset: Rc::default(),
        };
        let accepting = backend.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepting.connections.set(accepting.connections.get() + 1);
                spawn_local(accepting.clone().talk(stream));
            }
        });
        backend
    }

    /// Scripts the next request.
    pub fn next(&self, script: Script) {
        self.scripts.borrow_mut().push_back(script);
    }

    /// Returns how many requests arrived.
    pub fn arrivals(&self) -> usize {
        self.seen.borrow().len()
    }

    async fn talk(self, stream: TcpStream) {
        let (mut reader, mut writer) = stream.into_split();
        while let Some(head) = read_request(&mut reader).await {
            let id = header(&head, "x-id").unwrap_or_default();
            self.seen.borrow_mut().push(head.clone());
            let script = self.scripts.borrow_mut().pop_front();
            let script = script.unwrap_or_else(|| self.usual.borrow().clone());
            let is_kept = tokio::select! {
                is_kept = self.answer(&mut writer, &id, &head, script) => is_kept,
                is_reset = closed(&reader) => {
                    self.cancelled.set(self.cancelled.get() + 1);
                    self.reset.set(self.reset.get() + usize::from(is_reset));
                    false
                }
            };
            if !is_kept {
                return;
            }
        }
    }

    /// Plays a script and returns whether the connection goes on.
    async fn answer(
        &self,
        stream: &mut OwnedWriteHalf,
        id: &str,
        head: &str,
        script: Script,
    ) -> bool {
        let top = |status: u16| {
            format!("HTTP/1.1 {status} X\r\nx-id: {id}\r\nx-seal: s\r\nx-server: {}\r\n", self.id)
        };
        let events_top = format!("{}transfer-encoding: chunked\r\n\r\n", top(200));
        let after = header(head, "x-after").and_then(|text| text.parse().ok()).unwrap_or(0);
        match script {
            Script::Answer { status, body, after } => {
                tokio::time::sleep(after).await;
                write(stream, &whole(&top(status), body)).await
            }
            Script::Events { count, pause } => {
                write(stream, &events_top).await;
                for number in after + 1..=count {
                    tokio::time::sleep(pause).await;
                    write(stream, &chunk(&event(number))).await;
                }
                write(stream, "0\r\n\r\n").await
            }
            Script::EventsThenCut { count } => {
                write(stream, &events_top).await;
                for number in after + 1..=count {
                    write(stream, &chunk(&event(number))).await;
                }
                false
            }
            Script::TornUnframed => {
                write(stream, &format!("{}\r\n{}id: 2\nda", top(200), event(1))).await;
                false
            }
            Script::Close => false,
            Script::NotRun => {
                let text = format!("{}x-not-run: 1\r\n", top(503));
                write(stream, &whole(&text, "full")).await
            }
            Script::AnswerTwice { after } => {
                write(stream, &whole(&top(200), "first")).await;
                tokio::time::sleep(after).await;
                write(stream, &whole(&top(200), "second")).await
            }
            Script::Foreign => {
                let text = top(200).replace(id, "another-request");
                write(stream, &whole(&text, "not yours")).await
            }
            Script::Unsealed => {
                let text = top(200).replace("x-seal: s\r\n", "");
                write(stream, &whole(&text, "no seal")).await
            }
            Script::Silent => std::future::pending().await,
        }
    }
}

/// Returns the text of an event.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece-{number}\n\n")
}

async fn write(stream: &mut OwnedWriteHalf, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

fn whole(top: &str, body: &str) -> String {
    format!("{top}content-length: {}\r\n\r\n{body}", body.len())
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Reads one request and returns its head.
async fn read_request(stream: &mut OwnedReadHalf) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let length: usize = header(&head, "content-length").map_or(0, |text| text.parse().unwrap_or(0));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}

/// Returns the value of a header in a head.
pub fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    lines
        .filter(|(found, _)| found.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_owned())
        .next()
}

/// Waits until the peer has closed the connection and returns whether it was reset.
async fn closed(stream: &OwnedReadHalf) -> bool {
    let mut probe = [0];
    loop {
        if stream.readable().await.is_err() {
            return true;
        }
        match stream.try_read(&mut probe) {
            Ok(0) => return false,
            Ok(_) => panic!("a request came before the answer to the one before"),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return true,
        }
    }
}
