//! Streams of silent and slow backend servers, and what ends them.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertcleat_base::FailureDomain;
use filbertcleat_base::ModelName;
use filbertcleat_base::ServiceName;
use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_gateway::RetryBudgetSettings;
use filbertcleat_serve::ListedModel;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::ServerId;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;

use self::support::Backend;
use self::support::Call;
use self::support::Script;
use self::support::World;
use self::support::backend::event;
use self::support::backend::header;
use self::support::route;
use self::support::world::deployment;
use self::support::world::listed;

const RESUMABLE: RetryPolicy = RetryPolicy::Stream { resumable: true };
/// Longer than the stall timeout with the overlap of a move, and shorter than any deadline.
const SILENCE: Duration = Duration::from_secs(2);
/// Longer than the stall timeout and shorter than the stall timeout with the overlap of a move.
const SHORT_SILENCE: Duration = Duration::from_millis(1_600);
/// Longer than any deadline in this file.
const FOREVER: Duration = Duration::from_secs(3_600);
/// A server in this domain is chosen only if those of the entry's own domain can't be.
const DISTANT: &str = "there";

/// One step of a response to a request.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Sends the head of a stream.
    Head,
    /// Sends the events up to this number, without those that the request has already seen.
    EventsTo(u64),
    /// Sends nothing for a while.
    Wait(Duration),
    /// Ends the stream properly.
    End,
    /// Sends a complete response with a status, which says that the request was not run if it is
    /// 503.
    Respond(u16),
    /// Closes the connection.
    Close,
}

/// A backend server that tells its start, and takes the same steps for every other request.
#[derive(Clone, Debug)]
struct SteppedServer {
    listed: ListedServer,
    arrivals: Rc<Cell<usize>>,
    /// The time at which a request was cancelled last.
    cancelled_at: Rc<Cell<Option<Instant>>>,
}

impl SteppedServer {
    async fn start(id: &str, domain: &str, steps: &'static [Step]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a port");
        let address = listener.local_addr().expect("bound");
        let server = Self {
            listed: listed_at(id, domain, address),
            arrivals: Rc::default(),
            cancelled_at: Rc::default(),
        };
        let acceptor = server.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(acceptor.clone().serve(stream, steps));
            }
        });
        server
    }

    async fn serve(self, mut stream: TcpStream, steps: &'static [Step]) {
        // Delayed acknowledgements would take real time, which paused time does not wait for.
        stream.set_nodelay(true).expect("the socket is open");
        let Some(mut head) = read_head(&mut stream).await else { return };
        while head.starts_with("GET /report ") {
            let report = format!("HTTP/1.1 200 X\r\nx-server: {}\r\n", self.listed.id);
            let report = format!("{report}content-length: 9\r\n\r\nstarted 1");
            if stream.write_all(report.as_bytes()).await.is_err() {
                return;
            }
            let Some(next) = read_head(&mut stream).await else { return };
            head = next;
        }
        self.arrivals.set(self.arrivals.get() + 1);
        let (mut reader, mut writer) = stream.into_split();
        let mut probe = [0];
        let is_cancelled = tokio::select! {
            is_cancelled = take_steps(&mut writer, &head, steps) => is_cancelled,
            _ = reader.read(&mut probe) => true,
        };
        if is_cancelled {
            self.cancelled_at.set(Some(Instant::now()));
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(head).expect("the head is UTF-8"))
}

/// Takes the steps and returns whether the entry has closed the connection before their end.
async fn take_steps(
    stream: &mut (impl AsyncWriteExt + Unpin),
    request: &str,
    steps: &[Step],
) -> bool {
    let id = header(request, "x-id").unwrap_or_default();
    let mut sent = header(request, "x-after").and_then(|text| text.parse().ok()).unwrap_or(0);
    for step in steps {
        let text = match *step {
            Step::Head => format!(
                "HTTP/1.1 200 X\r\nx-id: {id}\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n\r\n"
            ),
            Step::EventsTo(last) => {
                let text: String = (sent + 1..=last).map(|number| chunk(&event(number))).collect();
                sent = sent.max(last);
                text
            }
            Step::Wait(duration) => {
                tokio::time::sleep(duration).await;
                continue;
            }
            Step::End => "0\r\n\r\n".to_owned(),
            Step::Respond(status) => {
                let not_run = if status == 503 { "x-not-run: 1\r\n" } else { "" };
                format!(
                    "HTTP/1.1 {status} X\r\nx-id: {id}\r\nx-seal: s\r\n{not_run}\
                     content-length: 0\r\n\r\n"
                )
            }
            Step::Close => return false,
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return true;
        }
    }
    std::future::pending().await
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn listed_at(id: &str, domain: &str, address: SocketAddr) -> ListedServer {
    ListedServer {
        id: ServerId::new(id),
        service: ServiceName::new("writer"),
        address,
        domain: FailureDomain::new(domain),
        concurrency_limit: 6,
        software_version: filbertcleat_serve::SoftwareVersion::new("v1"),
        is_draining: false,
        models: vec![ListedModel { name: ModelName::new("base"), adapters: Vec::new() }],
        started_unix_ms: 1,
    }
}

/// Starts an entry whose route allows `attempts_max` attempts, with these servers.
async fn start_world(attempts_max: u32, servers: &[&SteppedServer]) -> World {
    let world = World::start(vec![route("write", RESUMABLE, attempts_max)], &[]).await;
    for server in servers {
        list(&world, server.listed.clone());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    world
}

fn list(world: &World, server: ListedServer) {
    world.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(server)));
}

/// Adds a distant server that turns all requests away.
async fn add_full_server(world: &World) {
    let full = Backend::start("w2", Script::NotRun).await;
    list(world, ListedServer { domain: FailureDomain::new(DISTANT), ..listed(&full) });
    tokio::time::sleep(Duration::from_secs(2)).await;
}

fn five_events() -> String {
    (1..=5).map(event).collect()
}

/// Sends a request and checks that its stream arrives whole.
async fn expect_whole_stream(world: &World) {
    let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;
    let reply = reply.expect("a response head");
    assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
    assert_eq!(reply.body, five_events());
}

const SILENT_MIDWAY: &[Step] =
    &[Step::Head, Step::EventsTo(3), Step::Wait(SILENCE), Step::EventsTo(5), Step::End];
const SILENT_BEFORE_EVENTS: &[Step] =
    &[Step::Head, Step::Wait(SILENCE), Step::EventsTo(5), Step::End];
const SILENT_BEFORE_HEAD: &[Step] =
    &[Step::Wait(SILENCE), Step::Head, Step::EventsTo(5), Step::End];
const SILENT_TWICE: &[Step] = &[
    Step::Head,
    Step::EventsTo(2),
    Step::Wait(SILENCE),
    Step::EventsTo(4),
    Step::Wait(SILENCE),
    Step::EventsTo(5),
    Step::End,
];
/// Longer than the overlap of a move.
const LATE: Duration = Duration::from_millis(300);
/// How long a request waits at a backend server with a few prompts ahead of it.
const SHORT_QUEUE: Duration = Duration::from_millis(150);
/// How long a request waits at a backend server to which many streams moved at once.
const LONG_QUEUE: Duration = Duration::from_millis(2_500);

/// A sound server that is silent for 2 s still completes its stream, so the caller must not lose it
/// to a second server that refuses or fails after the overlap of the move.
#[rstest]
#[case::refuses(&[Step::Wait(LATE), Step::Respond(503)])]
#[case::fails(&[Step::Wait(LATE), Step::Respond(500)])]
#[case::closes(&[Step::Wait(LATE), Step::Close])]
#[case::hangs(&[Step::Wait(FOREVER)])]
fn late_failure_elsewhere(#[case] second: &'static [Step]) {
    World::run(async move {
        let silent = SteppedServer::start("w1", "here", SILENT_MIDWAY).await;
        let second = SteppedServer::start("w2", DISTANT, second).await;
        let world = start_world(2, &[&silent, &second]).await;

        expect_whole_stream(&world).await;
    });
}

/// The caller leaves a stream after a gap of four times the objective, which is 2 s here, or 2 s.
#[test]
fn slow_move_gap() {
    World::run(async {
        let silent = SteppedServer::start("w1", "here", SILENT_MIDWAY).await;
        let slow: &[Step] = &[Step::Wait(LONG_QUEUE), Step::Head, Step::EventsTo(5), Step::End];
        let slow = SteppedServer::start("w2", DISTANT, slow).await;
        let world = start_world(2, &[&silent, &slow]).await;
        let started = Instant::now();

        expect_whole_stream(&world).await;

        let took = started.elapsed();
        assert!(took <= SILENCE + Duration::from_millis(100), "the stream took {took:?}");
    });
}

/// The second server is at work on the stream when the silent one breaks off, so the stream has a
/// server that can finish it.
#[test]
fn break_during_move() {
    World::run(async {
        let silent: &[Step] =
            &[Step::Head, Step::EventsTo(3), Step::Wait(SHORT_SILENCE), Step::Close];
        let silent = SteppedServer::start("w1", "here", silent).await;
        let second: &[Step] = &[Step::Wait(SHORT_QUEUE), Step::Head, Step::EventsTo(5), Step::End];
        let second = SteppedServer::start("w2", DISTANT, second).await;
        let world = start_world(2, &[&silent, &second]).await;

        expect_whole_stream(&world).await;
    });
}

/// A server that can't be reached was sent nothing, so that it takes none of the two attempts.
#[test]
fn unreachable_not_counted() {
    World::run(async {
        let silent: &[Step] =
            &[Step::Head, Step::EventsTo(3), Step::Wait(SILENCE), Step::EventsTo(4), Step::Close];
        let silent = SteppedServer::start("w1", "here", silent).await;
        let world = start_world(2, &[&silent]).await;
        let closed = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a port");
        let address = closed.local_addr().expect("bound");
        drop(closed);
        list(&world, listed_at("w2", DISTANT, address));
        tokio::time::sleep(Duration::from_secs(2)).await;
        let call = Call::new("a", "/write/1");
        let mut caller = world.caller().await;
        caller.send(&call).await.expect("the entry reads the request");
        // The move to the unreachable server has failed by now.
        tokio::time::sleep(Duration::from_millis(1_700)).await;
        let third: &[Step] = &[Step::Head, Step::EventsTo(5), Step::End];
        let third = SteppedServer::start("w3", "here", third).await;
        list(&world, third.listed.clone());

        let reply = caller.read_reply().await.expect("a response head");

        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert_eq!((silent.arrivals.get(), third.arrivals.get()), (1, 1));
    });
}

/// Guards against the cut of a stream right after another server took it up, because the resumption
/// took as long as callers wait for an event. This caller is still there.
#[test]
fn resumed_stream_has_time() {
    World::run(async {
        let broken: &[Step] = &[Step::Head, Step::EventsTo(3), Step::Close];
        let broken = SteppedServer::start("w1", "here", broken).await;
        let queued = Step::Wait(Duration::from_secs(2));
        let reads_prompt = Step::Wait(Duration::from_secs(1));
        let second = [queued, Step::Head, reads_prompt, Step::EventsTo(5), Step::End];
        let second = SteppedServer::start("w2", DISTANT, second.to_vec().leak()).await;
        let world = start_world(2, &[&broken, &second]).await;

        expect_whole_stream(&world).await;
    });
}

/// The silent server would end its stream in time, and the second one can't.
#[test]
fn late_move_deadline() {
    World::run(async {
        let silence = Step::Wait(Duration::from_millis(1_800));
        let silent = [Step::Head, Step::EventsTo(3), silence, Step::EventsTo(5), Step::End];
        let silent = SteppedServer::start("w1", "here", silent.to_vec().leak()).await;
        let second = [Step::Head, Step::EventsTo(4), Step::Wait(SHORT_SILENCE), Step::End];
        let second = SteppedServer::start("w2", DISTANT, second.to_vec().leak()).await;
        let world = start_world(2, &[&silent, &second]).await;

        let call = Call { wait_ms: 2_000, ..Call::new("a", "/write/1") };
        let reply = world.caller().await.call(&call).await.expect("a response head");

        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
    });
}

/// The route allows a third attempt, and a third server has room.
#[test]
fn refusal_while_resuming() {
    World::run(async {
        let broken: &[Step] = &[Step::Head, Step::EventsTo(3), Step::Close];
        let broken = SteppedServer::start("w1", "here", broken).await;
        let world = start_world(3, &[&broken]).await;
        let third: &[Step] = &[Step::Head, Step::EventsTo(5), Step::End];
        let third = SteppedServer::start("w3", DISTANT, third).await;
        list(&world, third.listed.clone());
        add_full_server(&world).await;

        let reply = world.caller().await.call(&Call::new("a", "/write/1")).await;
        let reply = reply.expect("a response head");

        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
    });
}

/// A caller that stops reading must not keep its server at work beyond the deadline.
#[rstest]
#[case::fits_buffers(3)]
#[case::exceeds_buffers(500_000)]
fn unread_stream_deadline(#[case] events: u64) {
    World::run(async move {
        let endless = [Step::Head, Step::EventsTo(events), Step::Wait(FOREVER)];
        let endless = SteppedServer::start("w1", "here", endless.to_vec().leak()).await;
        let world = start_world(1, &[&endless]).await;
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");
        let sent_at = Instant::now();

        tokio::time::sleep(Duration::from_secs(60)).await;

        let cancelled_at = endless.cancelled_at.get().expect("the server is cancelled");
        let after = cancelled_at.duration_since(sent_at);
        assert!(after <= Duration::from_millis(5_700), "cancelled after {after:?}");
    });
}

/// Why an entry has a stream sent to a second server.
#[derive(Clone, Copy, Debug)]
enum Cause {
    Silence,
    Break,
}

/// Half a second after the caller has left, no server may be at work for it.
#[rstest]
#[case::silence(Cause::Silence)]
#[case::break_off(Cause::Break)]
fn second_server_cancelled(#[case] cause: Cause) {
    World::run(async move {
        let first: &[Step] = match cause {
            Cause::Silence => &[Step::Head, Step::EventsTo(3), Step::Wait(FOREVER)],
            Cause::Break => &[Step::Head, Step::EventsTo(3), Step::Close],
        };
        let first = SteppedServer::start("w1", "here", first).await;
        let second = SteppedServer::start("w2", DISTANT, &[Step::Wait(FOREVER)]).await;
        let world = start_world(2, &[&first, &second]).await;
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        assert_eq!(second.arrivals.get(), 1);

        drop(caller);
        let left_at = Instant::now();
        tokio::time::sleep(Duration::from_secs(10)).await;

        let cancelled_at = second.cancelled_at.get().expect("cancelled at the deadline at last");
        let after = cancelled_at.duration_since(left_at);
        assert!(after <= Duration::from_millis(500), "cancelled {after:?} after the caller left");
    });
}

/// The caller leaves while the silent server is still kept beside the second one.
#[test]
fn caller_leaves_overlap() {
    World::run(async {
        let silent: &[Step] = &[Step::Head, Step::EventsTo(3), Step::Wait(FOREVER)];
        let silent = SteppedServer::start("w1", "here", silent).await;
        let second = SteppedServer::start("w2", DISTANT, &[Step::Wait(FOREVER)]).await;
        let world = start_world(2, &[&silent, &second]).await;
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(1_600)).await;
        assert_eq!(second.arrivals.get(), 1);

        drop(caller);
        let left_at = Instant::now();
        tokio::time::sleep(Duration::from_secs(10)).await;

        for server in [&silent, &second] {
            let cancelled_at = server.cancelled_at.get().expect("cancelled at the deadline");
            let after = cancelled_at.duration_since(left_at);
            let id = &server.listed.id;
            assert!(after <= Duration::from_millis(500), "{id} cancelled after {after:?}");
        }
    });
}

/// Two servers may go on with one stream for 400 ms at most. A server that still reads the prompt
/// has not gone on.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::after_queue(SHORT_QUEUE)]
#[case::after_long_queue(LONG_QUEUE)]
fn overlap_is_short(#[case] queue: Duration) {
    World::run(async move {
        let silent: &[Step] = &[Step::Head, Step::EventsTo(3), Step::Wait(FOREVER)];
        let silent = SteppedServer::start("w1", "here", silent).await;
        let second = [Step::Wait(queue), Step::Head, Step::EventsTo(4), Step::Wait(FOREVER)];
        let second = SteppedServer::start("w2", DISTANT, second.to_vec().leak()).await;
        let world = start_world(2, &[&silent, &second]).await;
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");

        while second.arrivals.get() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(queue + Duration::from_millis(400)).await;

        assert!(silent.cancelled_at.get().is_some(), "both servers are still at work");
    });
}

/// Without a retry budget no stream can move, so that silent streams must not take the capacity of
/// another server from new requests.
#[test]
fn unbudgeted_move_capacity() {
    const STREAMS: usize = 8;
    World::run(async {
        let silent: &[Step] = &[Step::Head, Step::EventsTo(3), Step::Wait(FOREVER)];
        let silent = SteppedServer::start("w1", "here", silent).await;
        let second: &[Step] = &[Step::Head, Step::EventsTo(5), Step::End];
        let second = SteppedServer::start("w2", DISTANT, second).await;
        let world = start_world(2, &[&silent]).await;
        let none = RetryBudgetSettings { ratio: 0.0, slack: 0.0, window_ms: 10_000 };
        world.retry_budget.send_replace(none);
        let call = Call { extra: "x-prompt: 1000\r\n", ..Call::new("a", "/write/1") };
        let mut callers = Vec::new();
        for _ in 0..STREAMS {
            let mut caller = world.caller().await;
            caller.send(&call).await.expect("the entry reads the request");
            callers.push(caller);
        }
        tokio::time::sleep(Duration::from_millis(1_400)).await;
        assert_eq!(silent.arrivals.get(), STREAMS);
        list(&world, second.listed.clone());
        tokio::time::sleep(Duration::from_millis(150)).await;
        let started = Instant::now();

        let reply = world.caller().await.call(&call).await.expect("a response head");

        let took = started.elapsed();
        assert_eq!((reply.status, second.arrivals.get()), (200, 1));
        assert!(took <= Duration::from_millis(50), "the new request waited {took:?}");
    });
}

/// Silences that no second server interferes with.
#[rstest]
#[case::midway(SILENT_MIDWAY)]
#[case::before_events(SILENT_BEFORE_EVENTS)]
#[case::before_head(SILENT_BEFORE_HEAD)]
#[case::twice(SILENT_TWICE)]
fn lone_silence_outlasted(
    #[case] steps: &'static [Step],
    #[values(1, 2, 3)] attempts_max: u32,
    #[values(false, true)] has_full_server: bool,
) {
    World::run(async move {
        let silent = SteppedServer::start("w1", "here", steps).await;
        let world = start_world(attempts_max, &[&silent]).await;
        if has_full_server {
            add_full_server(&world).await;
        }

        expect_whole_stream(&world).await;
        assert_eq!(silent.arrivals.get(), 1);
    });
}

/// What operators and the platform change while a server is silent.
#[derive(Clone, Copy, Debug)]
enum Change {
    RouteRemoved,
    ServiceRemoved,
    ServerDraining,
    ServerRemoved,
    Shutdown,
}

#[rstest]
fn change_beside_silence(
    #[values(
        Change::RouteRemoved,
        Change::ServiceRemoved,
        Change::ServerDraining,
        Change::ServerRemoved,
        Change::Shutdown
    )]
    change: Change,
    #[values(SILENT_MIDWAY, SILENT_BEFORE_EVENTS, SILENT_BEFORE_HEAD)] steps: &'static [Step],
    #[values(false, true)] has_full_server: bool,
) {
    World::run(async move {
        let silent = SteppedServer::start("w1", "here", steps).await;
        let world = start_world(2, &[&silent]).await;
        if has_full_server {
            add_full_server(&world).await;
        }
        let mut caller = world.caller().await;
        caller.send(&Call::new("a", "/write/1")).await.expect("the entry reads the request");
        tokio::time::sleep(Duration::from_millis(50)).await;
        match change {
            Change::RouteRemoved => {
                world.catalogue.write(CatalogueEvent::Deployment(deployment(2, Vec::new())));
            }
            Change::ServiceRemoved => {
                let mut without = deployment(2, Vec::new());
                without.services.clear();
                world.catalogue.write(CatalogueEvent::Deployment(without));
            }
            Change::ServerDraining => {
                list(&world, ListedServer { is_draining: true, ..silent.listed.clone() });
            }
            Change::ServerRemoved => world
                .catalogue
                .write(CatalogueEvent::Listing(ListingChange::Removed(silent.listed.id.clone()))),
            Change::Shutdown => world.shutdown.trigger(),
        }

        let reply = caller.read_reply().await.expect("a response head");

        assert!(reply.is_complete, "the stream was cut after {:?}", reply.body);
        assert_eq!(reply.body, five_events());
    });
}
