//! A fake backend server with scripted responses.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::AbortHandle;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::scripted_stream::COMMENT;
use super::scripted_stream::Framing;
use super::scripted_stream::ScriptedStream;
use super::stream_step::StreamStep;

/// What the backend server does with one request.
#[derive(Clone, Debug)]
pub enum Script {
    /// Responds with a status and a body after a delay.
    Respond { status: u16, body: &'static str, after: Duration },
    /// Sends `count` events with a pause before each, and ends the stream properly.
    Events { count: u64, pause: Duration },
    /// Sends `count` events of `bytes` data bytes each, and ends the stream properly.
    LargeEvents { count: u64, bytes: usize },
    /// Sends `count` events and then closes the connection without ending the stream.
    EventsThenCut { count: u64 },
    /// Sends `count` events, falls silent once after event `after`, and ends the stream properly.
    EventsWithSilence { count: u64, after: u64, silence: Duration },
    /// Sends `count` events, and then `piece` after each pause until the connection is closed.
    EventsThenPieces { count: u64, piece: &'static str, pause: Duration },
    /// Sends a stream step by step.
    Stream(ScriptedStream),
    /// Runs another script after a time.
    Delayed { after: Duration, script: Box<Script> },
    /// Sends a body without HTTP framing, and closes the connection.
    Unframed { body: &'static str },
    /// Sends a body without HTTP framing, and ends the server after a time, which closes all its
    /// connections in order.
    UnframedThenEnd { body: &'static str, after: Duration, down: Duration },
    /// Sends a body without HTTP framing, and closes the connection at the deadline that it was told.
    UnframedUntilDeadline { body: &'static str },
    /// Sends one event and half of the next, and ends the stream properly.
    FramedPartialEvent,
    /// Runs the request and closes the connection without a response.
    Close,
    /// Responds that it did not run the request.
    NotRun,
    /// Responds, and sends a second response to the same request after a delay.
    RespondTwice { after: Duration },
    /// Responds with the id of another request.
    ForeignId,
    /// Responds with a status as it is written and header lines, each with its line end.
    StatusText { status: &'static str, lines: &'static str },
    /// Responds without a response seal.
    Unsealed,
    /// Never responds.
    Silent,
    /// Sends `start`, in which `HEAD` stands for the head of a sealed success without its framing,
    /// and then `piece` again and again until the connection is closed.
    Endless { start: &'static str, piece: &'static str },
    /// Sends one event whose data has the given length, and ends the stream properly.
    LargeEvent { data_bytes: usize },
    /// Ends the server for a time when it begins to answer a prompt with this part, and runs another
    /// script for all other prompts.
    CrashOnPart { part: &'static str, down: Duration, otherwise: Box<Script> },
    /// Ends the server for a time when it has run a request with this target for `after`, and runs
    /// another script for all other requests.
    CrashOnTarget { target: &'static str, after: Duration, down: Duration, otherwise: Box<Script> },
    /// Runs another script and adds header lines, each with its line end, to its response.
    WithHeaders { lines: &'static str, script: Box<Script> },
}

impl Script {
    /// Adds header lines, each with its line end, to the response.
    pub fn with_headers(self, lines: &'static str) -> Self {
        Self::WithHeaders { lines, script: Box::new(self) }
    }

    /// Returns the script that runs after the delay, if there is one.
    async fn after_delay(self) -> Self {
        let Self::Delayed { after, script } = self else { return self };
        tokio::time::sleep(after).await;
        *script
    }

    /// Returns how a request with this head ends the server, if it does.
    fn crash(&self, head: &str) -> Option<Crash> {
        match *self {
            Self::CrashOnPart { part, down, .. } if has_part(head, part) => {
                // The entry reads the head before the connection ends.
                Some(Crash { sends_head: true, after: Duration::from_millis(50), down })
            }
            Self::CrashOnTarget { target, after, down, .. } if has_target(head, target) => {
                Some(Crash { sends_head: false, after, down })
            }
            _ => None,
        }
    }

    /// Returns the script that runs for requests that don't end the server.
    fn without_crash(self) -> Self {
        match self {
            Self::CrashOnPart { otherwise, .. } | Self::CrashOnTarget { otherwise, .. } => {
                *otherwise
            }
            script => script,
        }
    }
}

/// How a server answers when it is asked who it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Identity {
    /// As the server that it is.
    Own,
    /// As another server at the address.
    Other,
    /// As a later start of the same server.
    Restarted,
    /// As the server that it is, after some time.
    Late(Duration),
    /// As the server that it is, at once to the first question and after some time to later ones.
    LateAfterFirst(Duration),
    /// Without a name in a report.
    NamelessReport,
    /// As the start that it is, without a name.
    OnlyStart,
    /// As full, without a name.
    Full,
    /// As full, without a name, when its health is asked for. The report tells the start from the
    /// second question on.
    FullHealth,
    /// As the server that it is without its start, when its health is asked for. The report gives no
    /// answer.
    OnlyHealth,
    /// The same as a later start of the server, whose report answers from the second question on.
    RestartedHealth,
    /// Not at all, on an open connection.
    Silent,
    /// By closing the connection without an answer.
    Closed,
    /// As the server that it is, after it has closed so many connections.
    ClosedFirst(usize),
    /// Without a name in a report, and as the server that it is after a closed connection.
    NamelessThenClosed,
    /// By a refusal of a request without an id.
    BadRequest,
}

/// The paths at which a server says who it is.
pub const IDENTITY_PATHS: [&str; 2] = ["/health", "/report"];

/// How a request ends its server.
struct Crash {
    /// Whether the head of a response is sent before.
    sends_head: bool,
    /// The time from the request to the end of the server.
    after: Duration,
    /// The time for which the server is down.
    down: Duration,
}

/// The bytes after which a server that sends without end gives up and falls silent.
pub const ENDLESS_MAX_BYTES: usize = 40 * 1024 * 1024;

/// A fake backend server with scripted responses.
#[derive(Clone, Debug)]
pub struct Backend {
    pub id: String,
    pub address: SocketAddr,
    scripts: Rc<RefCell<VecDeque<Script>>>,
    default_script: Rc<RefCell<Script>>,
    /// How the server answers when it is asked who it is.
    identity: Rc<RefCell<Identity>>,
    /// When it was asked.
    pub asked_at: Rc<RefCell<Vec<Instant>>>,
    /// The heads of the requests that arrived.
    pub seen: Rc<RefCell<Vec<String>>>,
    /// When these requests arrived.
    pub arrived_at: Rc<RefCell<Vec<Instant>>>,
    /// The number of accepted connections.
    pub connections: Rc<Cell<usize>>,
    /// The number of connections on which a request arrived.
    pub used_connections: Rc<Cell<usize>>,
    /// The number of requests whose connection was closed while they ran.
    pub cancelled: Rc<Cell<usize>>,
    /// The number of those whose connection was reset.
    pub reset: Rc<Cell<usize>>,
    /// The bytes that scripts without end have written.
    pub endless_bytes: Rc<Cell<usize>>,
    /// How often the server has ended.
    pub crashes: Rc<Cell<usize>>,
    /// The tasks of this start of the server.
    tasks: Rc<RefCell<Vec<AbortHandle>>>,
}

impl Backend {
    /// Starts a backend server that runs `default_script` for each request without a script of its
    /// own.
    pub async fn start(id: &str, default_script: Script) -> Self {
        Self::start_at(id, Ipv4Addr::LOCALHOST, default_script).await
    }

    /// Starts a backend server at an address of loopback.
    pub async fn start_at(id: &str, ip: Ipv4Addr, default_script: Script) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("loopback has a port");
        let backend = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("bound"),
            scripts: Rc::default(),
            default_script: Rc::new(RefCell::new(default_script)),
            identity: Rc::new(RefCell::new(Identity::Own)),
            asked_at: Rc::default(),
            seen: Rc::default(),
            arrived_at: Rc::default(),
            connections: Rc::default(),
            used_connections: Rc::default(),
            cancelled: Rc::default(),
            reset: Rc::default(),
            endless_bytes: Rc::default(),
            crashes: Rc::default(),
            tasks: Rc::default(),
        };
        backend.serve(listener);
        backend
    }

    /// Ends the server, with all connections, and starts it again after `down`.
    pub fn crash(&self, down: Duration) {
        self.crashes.set(self.crashes.get() + 1);
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
        let backend = self.clone();
        spawn_local(async move {
            tokio::time::sleep(down).await;
            let listener = TcpListener::bind(backend.address).await.expect("the port is free");
            backend.serve(listener);
        });
    }

    fn serve(&self, listener: TcpListener) {
        let acceptor = self.clone();
        self.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                acceptor.connections.set(acceptor.connections.get() + 1);
                acceptor.spawn(acceptor.clone().serve_connection(stream));
            }
        });
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.borrow_mut().push(spawn_local(task).abort_handle());
    }

    /// Returns how many requests arrived whose prompt has this part.
    pub fn arrivals_with(&self, part: &str) -> usize {
        self.seen.borrow().iter().filter(|head| has_part(head, part)).count()
    }

    /// Returns how many requests with this target arrived.
    pub fn arrivals_at(&self, target: &str) -> usize {
        self.seen.borrow().iter().filter(|head| has_target(head, target)).count()
    }

    /// Replaces the script of requests without one of their own.
    pub fn set_default(&self, script: Script) {
        *self.default_script.borrow_mut() = script;
    }

    /// Sets how the server answers when it is asked who it is.
    pub fn identify_as(&self, identity: Identity) {
        *self.identity.borrow_mut() = identity;
    }

    /// Queues a script for the next request.
    pub fn script_next(&self, script: Script) {
        self.scripts.borrow_mut().push_back(script);
    }

    /// Drops the scripts of requests that have not arrived.
    pub fn drop_scripts(&self) {
        self.scripts.borrow_mut().clear();
    }

    /// Returns how many requests arrived.
    pub fn arrivals(&self) -> usize {
        self.seen.borrow().len()
    }

    async fn serve_connection(self, stream: TcpStream) {
        // Delayed acknowledgements would take real time, which paused time does not wait for.
        stream.set_nodelay(true).expect("the socket is open");
        let (mut reader, mut writer) = stream.into_split();
        let mut is_used = false;
        while let Some(head) = read_request(&mut reader).await {
            if IDENTITY_PATHS.iter().any(|path| has_target(&head, path)) {
                self.asked_at.borrow_mut().push(Instant::now());
                if self.identify(&mut writer, has_target(&head, "/report")).await {
                    continue;
                }
                return;
            }
            if !is_used {
                is_used = true;
                self.used_connections.set(self.used_connections.get() + 1);
            }
            let id = header(&head, "x-id").unwrap_or_default();
            self.seen.borrow_mut().push(head.clone());
            self.arrived_at.borrow_mut().push(Instant::now());
            let script = self.scripts.borrow_mut().pop_front();
            let script = script.unwrap_or_else(|| self.default_script.borrow().clone());
            let is_kept_alive = tokio::select! {
                is_kept_alive = self.respond(&mut writer, &id, &head, script) => is_kept_alive,
                is_reset = peer_closed(&reader) => {
                    self.cancelled.set(self.cancelled.get() + 1);
                    self.reset.set(self.reset.get() + usize::from(is_reset));
                    false
                }
            };
            if !is_kept_alive {
                let linger = SockRef::from(writer.as_ref()).linger();
                if matches!(linger, Ok(Some(Duration::ZERO))) {
                    // Dropping it would end the connection in order before the reset.
                    writer.forget();
                }
                return;
            }
        }
    }

    /// Says who the server is, and returns whether the connection stays open.
    async fn identify(&self, stream: &mut OwnedWriteHalf, is_report: bool) -> bool {
        let identity = self.identity.borrow().clone();
        let named = |server: &str, started: u64| {
            let head = format!("HTTP/1.1 200 X\r\nx-server: {server}\r\n");
            response_text(&head, &format!("started {started}"))
        };
        match identity {
            Identity::NamelessReport | Identity::NamelessThenClosed if is_report => {
                write(stream, &response_text("HTTP/1.1 200 X\r\n", "loaded")).await
            }
            Identity::FullHealth if !is_report => {
                write(stream, &response_text("HTTP/1.1 503 X\r\nx-not-run: 1\r\n", "full")).await
            }
            Identity::OnlyHealth | Identity::RestartedHealth if !is_report => {
                let head = format!("HTTP/1.1 200 X\r\nx-server: {}\r\n", self.id);
                write(stream, &response_text(&head, "")).await
            }
            Identity::FullHealth | Identity::RestartedHealth
                if self.asked_at.borrow().len() == 1 =>
            {
                false
            }
            Identity::OnlyStart => {
                write(stream, &response_text("HTTP/1.1 200 X\r\n", "started 1")).await
            }
            Identity::Own | Identity::NamelessReport => write(stream, &named(&self.id, 1)).await,
            Identity::Other => write(stream, &named("another", 1)).await,
            Identity::Restarted | Identity::RestartedHealth => {
                write(stream, &named(&self.id, 2)).await
            }
            Identity::Late(after) => {
                tokio::time::sleep(after).await;
                write(stream, &named(&self.id, 1)).await
            }
            Identity::LateAfterFirst(after) => {
                if self.asked_at.borrow().len() > 1 {
                    tokio::time::sleep(after).await;
                }
                write(stream, &named(&self.id, 1)).await
            }
            Identity::Full => {
                write(stream, &response_text("HTTP/1.1 503 X\r\nx-not-run: 1\r\n", "full")).await
            }
            Identity::Silent => std::future::pending().await,
            Identity::Closed | Identity::OnlyHealth => false,
            Identity::ClosedFirst(count) if self.asked_at.borrow().len() <= count => false,
            Identity::NamelessThenClosed if self.asked_at.borrow().len() <= 2 => false,
            Identity::ClosedFirst(_) | Identity::FullHealth | Identity::NamelessThenClosed => {
                write(stream, &named(&self.id, 1)).await
            }
            Identity::BadRequest => {
                write(stream, &response_text("HTTP/1.1 400 X\r\nx-not-run: 1\r\n", "no id")).await
            }
        }
    }

    /// Returns the head of a response with further header lines, without the empty line at its end.
    fn response_head(&self, id: &str, status: u16, lines: &str) -> String {
        format!(
            "HTTP/1.1 {status} X\r\nx-id: {id}\r\nx-seal: s\r\nx-server: {}\r\n{lines}",
            self.id
        )
    }

    /// Returns a response with a status as it is written and further header lines, but no seal.
    fn status_text(&self, id: &str, status: &str, lines: &str) -> String {
        let server = &self.id;
        let head = format!("HTTP/1.1 {status} X\r\nx-id: {id}\r\nx-server: {server}\r\n{lines}");
        response_text(&head, "not to be taken")
    }

    /// Runs a script and returns whether the connection stays open.
    async fn respond(
        &self,
        stream: &mut OwnedWriteHalf,
        id: &str,
        head: &str,
        script: Script,
    ) -> bool {
        let (lines, script) = match script.after_delay().await {
            Script::WithHeaders { lines, script } => (lines, *script),
            script => ("", script),
        };
        let response_head = |status| self.response_head(id, status, lines);
        let events_head = format!("{}transfer-encoding: chunked\r\n\r\n", response_head(200));
        if let Some(crash) = script.crash(head) {
            self.end_with(stream, &events_head, crash).await;
        }
        let last_event_id: u64 =
            header(head, "x-after").and_then(|text| text.parse().ok()).unwrap_or(0);
        match script.without_crash() {
            Script::Respond { status, body, after } => {
                tokio::time::sleep(after).await;
                write(stream, &response_text(&response_head(status), body)).await
            }
            Script::Events { count, pause } => {
                write(stream, &events_head).await;
                write_events(stream, last_event_id.saturating_add(1)..=count, pause).await;
                write(stream, "0\r\n\r\n").await
            }
            Script::LargeEvents { count, bytes } => {
                write(stream, &events_head).await;
                write_large_events(stream, count, bytes).await;
                write(stream, "0\r\n\r\n").await
            }
            Script::EventsThenCut { count } => {
                write(stream, &events_head).await;
                write_events(stream, last_event_id.saturating_add(1)..=count, Duration::ZERO).await;
                false
            }
            Script::EventsWithSilence { count, after, silence } => {
                write(stream, &events_head).await;
                let next = last_event_id.saturating_add(1);
                write_around_silence(stream, next..=count, after, silence).await;
                write(stream, "0\r\n\r\n").await
            }
            Script::EventsThenPieces { count, piece, pause } => {
                write(stream, &events_head).await;
                write_events(stream, last_event_id.saturating_add(1)..=count, Duration::ZERO).await;
                write_pieces(stream, piece, pause).await
            }
            Script::Stream(stream_script) => {
                self.write_stream(stream, &response_head(200), last_event_id, &stream_script).await
            }
            Script::FramedPartialEvent => {
                write(stream, &events_head).await;
                write(stream, &chunk(&format!("{}id: 2\nda", event(1)))).await;
                write(stream, "0\r\n\r\n").await
            }
            Script::Unframed { body } => {
                write(stream, &format!("{}\r\n{body}", response_head(200))).await;
                false
            }
            Script::UnframedUntilDeadline { body } => {
                let text = format!("{}\r\n{body}", response_head(200));
                write_until_deadline(stream, &text, head).await
            }
            Script::UnframedThenEnd { body, after, down } => {
                let text = format!("{}\r\n{body}", response_head(200));
                self.end_after(stream, &text, after, down).await
            }
            Script::Close => false,
            Script::NotRun => {
                let text = format!("{}x-not-run: 1\r\n", response_head(503));
                write(stream, &response_text(&text, "full")).await
            }
            Script::RespondTwice { after } => {
                write(stream, &response_text(&response_head(200), "first")).await;
                tokio::time::sleep(after).await;
                write(stream, &response_text(&response_head(200), "second")).await
            }
            Script::ForeignId => {
                let text = response_head(200).replace(id, "another-request");
                write(stream, &response_text(&text, "not yours")).await
            }
            Script::StatusText { status, lines } => {
                write(stream, &self.status_text(id, status, lines)).await
            }
            Script::Unsealed => write(stream, &self.status_text(id, "200", lines)).await,
            Script::Silent => std::future::pending().await,
            Script::Endless { start, piece } => {
                write(stream, &start.replace("HEAD", &response_head(200))).await;
                self.write_endlessly(stream, piece).await
            }
            Script::LargeEvent { data_bytes } => {
                write(stream, &events_head).await;
                write(stream, &chunk(&large_event(data_bytes))).await;
                write(stream, "0\r\n\r\n").await
            }
            Script::CrashOnPart { .. }
            | Script::CrashOnTarget { .. }
            | Script::Delayed { .. }
            | Script::WithHeaders { .. } => {
                panic!("only a plain script can be run by another")
            }
        }
    }

    /// Sends the part of a response, and ends the server after a time.
    async fn end_after(
        &self,
        stream: &mut OwnedWriteHalf,
        text: &str,
        after: Duration,
        down: Duration,
    ) -> ! {
        write(stream, text).await;
        tokio::time::sleep(after).await;
        self.crash(down);
        std::future::pending().await
    }

    /// Takes the steps of a stream and returns whether the connection stays open.
    async fn write_stream(
        &self,
        stream: &mut OwnedWriteHalf,
        head: &str,
        after: u64,
        script: &ScriptedStream,
    ) -> bool {
        let head = format!("{head}{}\r\n", script.framing_lines(&self.id, after));
        write(stream, &head).await;
        let mut next = after + 1;
        for step in &script.steps {
            if script.framing == Framing::Length && next > script.total {
                break;
            }
            match *step {
                StreamStep::Wait(duration) => tokio::time::sleep(duration).await,
                StreamStep::Events(count) => {
                    let end = next.saturating_add(count).min(script.total + 1);
                    let text = script.events(&self.id, next..end);
                    write(stream, &script.frame(&text)).await;
                    next = next.max(end);
                }
                StreamStep::SplitEvent(_) | StreamStep::HalfEvent if next > script.total => {}
                StreamStep::SplitEvent(pause) => {
                    let text = script.event(&self.id, next);
                    let (start, rest) = text.split_at(text.len() / 2);
                    write(stream, &script.frame(start)).await;
                    tokio::time::sleep(pause).await;
                    write(stream, &script.frame(rest)).await;
                    next += 1;
                }
                StreamStep::HalfEvent => {
                    let text = script.event(&self.id, next);
                    write(stream, &script.frame(&text[..text.len() / 2])).await;
                }
                StreamStep::Comment => {
                    write(stream, &script.frame(COMMENT)).await;
                }
                StreamStep::Skip(count) => next += count,
                StreamStep::Rewind => next = 1,
                StreamStep::Unnumbered => {
                    let text = format!("data: {next} {} {}\n\n", script.version, self.id);
                    write(stream, &script.frame(&text)).await;
                    next += 1;
                }
                StreamStep::IdOnly => {
                    write(stream, &script.frame(&format!("id: {next}\n\n"))).await;
                    next += 1;
                }
                StreamStep::End => {
                    write(stream, script.end()).await;
                    return script.framing == Framing::Chunked;
                }
                StreamStep::EndTwice => {
                    let rest = script.frame(&script.events(&self.id, next..=script.total));
                    let copy = script.frame(&script.events(&self.id, after + 1..=script.total));
                    let end = script.end();
                    write(stream, &format!("{rest}{end}{head}{copy}{end}")).await;
                    return script.framing != Framing::Unframed;
                }
                StreamStep::EndServer(down) => {
                    self.crash(down);
                    std::future::pending::<()>().await;
                }
                StreamStep::Close => return false,
                StreamStep::Reset => {
                    let socket = SockRef::from(stream.as_ref());
                    socket.set_linger(Some(Duration::ZERO)).expect("the socket is open");
                    return false;
                }
            }
        }
        let rest = script.frame(&script.events(&self.id, next..=script.total));
        write(stream, &format!("{rest}{}", script.end())).await;
        script.framing != Framing::Unframed
    }

    /// Ends the server, whether or not the caller is still there.
    async fn end_with(&self, stream: &mut OwnedWriteHalf, events_head: &str, crash: Crash) -> ! {
        if crash.sends_head {
            write(stream, events_head).await;
        }
        let backend = self.clone();
        spawn_local(async move {
            tokio::time::sleep(crash.after).await;
            backend.crash(crash.down);
        });
        std::future::pending().await
    }

    /// Writes `piece` until the connection breaks, and then waits for its end to be noticed.
    async fn write_endlessly(&self, stream: &mut OwnedWriteHalf, piece: &str) -> ! {
        const BLOCK_BYTES: usize = 16 * 1024;
        let block = piece.repeat(BLOCK_BYTES / piece.len());
        while self.endless_bytes.get() < ENDLESS_MAX_BYTES && write(stream, &block).await {
            self.endless_bytes.set(self.endless_bytes.get() + block.len());
            // Lets the reader keep up, so that few bytes wait in the sockets' buffers.
            tokio::task::yield_now().await;
        }
        std::future::pending().await
    }
}

fn has_part(head: &str, part: &str) -> bool {
    header(head, "x-parts").is_some_and(|parts| parts.split(',').any(|found| found == part))
}

fn has_target(head: &str, target: &str) -> bool {
    head.split(' ').nth(1) == Some(target)
}

/// Returns the text of an event.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece-{number}\n\n")
}

/// Returns the text of an event whose data has the given length.
pub fn large_event(data_bytes: usize) -> String {
    format!("id: 1\ndata: {}\n\n", "x".repeat(data_bytes))
}

/// Writes events with a pause before each.
async fn write_events(stream: &mut OwnedWriteHalf, numbers: RangeInclusive<u64>, pause: Duration) {
    for number in numbers {
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        write(stream, &chunk(&event(number))).await;
    }
}

/// Writes events and falls silent once after event `after`, if it is one of them.
async fn write_around_silence(
    stream: &mut OwnedWriteHalf,
    numbers: RangeInclusive<u64>,
    after: u64,
    silence: Duration,
) {
    let (next, count) = numbers.clone().into_inner();
    write_events(stream, next..=after.min(count), Duration::ZERO).await;
    if numbers.contains(&after) {
        tokio::time::sleep(silence).await;
    }
    write_events(stream, next.max(after + 1)..=count, Duration::ZERO).await;
}

/// Writes a text, waits for the deadline that the head of the request tells, and returns that the
/// connection does not stay open.
async fn write_until_deadline(stream: &mut OwnedWriteHalf, text: &str, head: &str) -> bool {
    let wait_ms = header(head, "x-wait-ms").and_then(|text| text.parse().ok());
    let deadline = Instant::now() + Duration::from_millis(wait_ms.expect("a deadline"));
    write(stream, text).await;
    tokio::time::sleep_until(deadline).await;
    false
}

/// Writes events of `bytes` data bytes each.
async fn write_large_events(stream: &mut OwnedWriteHalf, count: u64, bytes: usize) {
    let data = "x".repeat(bytes);
    for number in 1..=count {
        write(stream, &chunk(&format!("id: {number}\ndata: {data}\n\n"))).await;
    }
}

/// Writes a piece again and again with a pause before each.
async fn write_pieces(stream: &mut OwnedWriteHalf, piece: &str, pause: Duration) -> ! {
    loop {
        tokio::time::sleep(pause).await;
        write(stream, &chunk(piece)).await;
    }
}

async fn write(stream: &mut OwnedWriteHalf, text: &str) -> bool {
    stream.write_all(text.as_bytes()).await.is_ok()
}

fn response_text(head: &str, body: &str) -> String {
    format!("{head}content-length: {}\r\n\r\n{body}", body.len())
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
async fn peer_closed(stream: &OwnedReadHalf) -> bool {
    let mut probe = [0];
    loop {
        if stream.readable().await.is_err() {
            return true;
        }
        match stream.try_read(&mut probe) {
            Ok(0) => return false,
            Ok(_) => panic!("a request arrived before the response to the previous one"),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return true,
        }
    }
}
