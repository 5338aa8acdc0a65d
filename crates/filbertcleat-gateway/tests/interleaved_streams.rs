//! Streams under drawn interleavings of silences, breaks, refusals, slow readers and callers that
//! come back.

mod support;

use std::rc::Rc;
use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::SoftwareVersion;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use tokio::task::spawn_local;

use self::support::Call;
use self::support::Framing;
use self::support::Script;
use self::support::ScriptedStream;
use self::support::Site;
use self::support::StreamStep;
use self::support::World;
use self::support::caller::Reply;
use self::support::route;
use self::support::site::LISTING_DELAY;
use self::support::world::listed;

const VERSIONS: [&str; 4] = ["v1", "v1", "v2", "v2"];
const CALLERS: usize = 4;
const TAKES_MAX: usize = 4;
const ENTRIES: usize = 2;

/// An event as its caller reads it.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Piece {
    number: u64,
    version: String,
    server: String,
}

/// How a caller reads its stream.
#[derive(Clone, Copy, Debug)]
struct Reading {
    pause: Duration,
    is_slow: bool,
    /// When the caller leaves its first response.
    leaves_after: Option<Duration>,
    /// Whether it keeps the connection of a response that it has left.
    keeps_connection: bool,
}

/// A drawn run: what the servers do with the requests that reach them, and how callers read.
#[derive(Debug)]
struct Draw {
    total: u64,
    pad_bytes: usize,
    scripts: Vec<Vec<Script>>,
    readings: Vec<Reading>,
}

impl Draw {
    fn new(random: &mut SmallRng) -> Self {
        let is_large = random.random_bool(0.15);
        let total = if is_large { 50 } else { random.random_range(1..=12) };
        let pad_bytes = if is_large { 12_000 } else { 0 };
        let scripts = VERSIONS.map(|version| {
            let stream = ScriptedStream {
                total,
                version,
                framing: Framing::Chunked,
                pad_bytes,
                steps: Vec::new(),
            };
            (0..CALLERS).map(|_| draw_script(random, stream.clone())).collect()
        });
        let readings = (0..CALLERS).map(|_| draw_reading(random, is_large)).collect();
        Self { total, pad_bytes, scripts: scripts.into(), readings }
    }
}

fn draw_reading(random: &mut SmallRng, is_large: bool) -> Reading {
    let is_slow = is_large && random.random_bool(0.5);
    Reading {
        pause: Duration::from_millis(if is_slow { 20 } else { 0 }),
        is_slow,
        leaves_after: random
            .random_bool(0.3)
            .then(|| Duration::from_millis(random.random_range(1..2_500))),
        keeps_connection: random.random_bool(0.5),
    }
}

fn draw_script(random: &mut SmallRng, mut stream: ScriptedStream) -> Script {
    let after = Duration::from_millis(random.random_range(0..1_000));
    match random.random_range(0..20) {
        0 => return Script::NotRun,
        1 => return Script::Respond { status: 500, body: "no", after },
        2 => return Script::Respond { status: 421, body: "no", after: Duration::ZERO },
        3 => return Script::Close,
        4 => return Script::Silent,
        _ => {}
    }
    stream.framing = match random.random_range(0..4) {
        0 => Framing::Length,
        1 => Framing::Unframed,
        _ => Framing::Chunked,
    };
    for _ in 0..random.random_range(0..8) {
        stream.steps.push(match random.random_range(0..10) {
            0..3 => StreamStep::Wait(Duration::from_millis(random.random_range(0..150))),
            // About the stall timeout, so that both servers go on at the same moment.
            3 => StreamStep::Wait(Duration::from_millis(random.random_range(1_400..2_200))),
            4 if stream.framing != Framing::Length => StreamStep::Comment,
            5 => StreamStep::SplitEvent(Duration::from_millis(random.random_range(0..150))),
            6 => StreamStep::SplitEvent(Duration::from_millis(random.random_range(1_400..1_700))),
            _ => StreamStep::Events(random.random_range(1..4)),
        });
    }
    match random.random_range(0..8) {
        0 => stream.steps.push(StreamStep::Reset),
        1 if stream.framing != Framing::Unframed => stream.steps.push(StreamStep::Close),
        // Without framing the end of a process looks like that of a stream.
        1 => {
            let down = Duration::from_millis(random.random_range(3_500..6_000));
            stream.steps.push(StreamStep::EndServer(down));
        }
        2 => stream.steps.extend([StreamStep::HalfEvent, StreamStep::Reset]),
        3 => stream.steps.extend([StreamStep::HalfEvent, StreamStep::Close]),
        4 => stream.steps.extend([StreamStep::HalfEvent, StreamStep::End]),
        5 if stream.framing != Framing::Unframed => stream.steps.push(StreamStep::EndTwice),
        6 => stream.steps.push(StreamStep::Wait(Duration::from_secs(60))),
        _ => {}
    }
    Script::Stream(stream)
}

fn pieces(body: &str) -> Vec<Piece> {
    let blocks = body.split_inclusive("\n\n").filter(|block| block.ends_with("\n\n"));
    blocks
        .filter_map(|block| block.lines().find_map(|line| line.strip_prefix("data: ")))
        .map(piece)
        .collect()
}

fn piece(data: &str) -> Piece {
    let mut words = data.split(' ');
    let mut word = || words.next().expect("the data has three words").to_owned();
    Piece { number: word().parse().expect("a number"), version: word(), server: word() }
}

/// What a caller got of its stream over its takes.
#[derive(Debug, Default)]
struct Taken {
    pieces: Vec<Piece>,
    /// The servers of each take.
    takes: Vec<Vec<String>>,
    is_complete: bool,
}

impl Taken {
    fn add(&mut self, reply: &Reply) {
        let pieces = pieces(&reply.body);
        let mut servers: Vec<_> = pieces.iter().map(|piece| piece.server.clone()).collect();
        servers.dedup();
        self.takes.push(servers);
        self.pieces.extend(pieces);
        self.is_complete = reply.status == 200 && reply.is_complete;
    }

    /// Checks that the pieces are those of one stream, in order and each once.
    fn check(&self, total: u64, is_resumable: bool, draw: &str) {
        let numbers: Vec<_> = self.pieces.iter().map(|piece| piece.number).collect();
        assert_eq!(numbers, (1..=numbers.len() as u64).collect::<Vec<_>>(), "{self:?}, {draw}");
        assert!(
            !self.is_complete || numbers.len() as u64 == total,
            "complete too early: {self:?}, {draw}"
        );
        let first = self.pieces.first();
        let is_joined = |piece: &Piece| first.is_some_and(|first| first.version != piece.version);
        assert!(!self.pieces.iter().any(is_joined), "two versions: {self:?}, {draw}");
        let is_one_run = self.takes.len() <= 1 && self.takes.iter().all(|take| take.len() <= 1);
        assert!(is_resumable || is_one_run, "two runs: {self:?}, {draw}");
    }
}

/// Sends a request, and takes its stream up again for as long as it has not ended.
async fn take(site: Rc<Site>, reading: Reading, name: String, is_resumable: bool) -> Taken {
    let mut taken = Taken::default();
    let mut connections = Vec::new();
    let mut first_take = 0;
    let path = format!("/{}/{name}", if is_resumable { "write" } else { "note" });
    let path: &str = path.leak();
    let takes_max = if is_resumable { TAKES_MAX } else { 1 };
    for number in 0..takes_max {
        let last = taken.pieces.last().map(|piece| piece.number);
        let after =
            last.map(|last| format!("x-after: {last}\r\nx-resumes: {name}-{first_take}\r\n"));
        let id = format!("{name}-{number}");
        let extra = after.unwrap_or_default();
        let call = Call { wait_ms: 8_000, extra: extra.leak(), ..Call::new(id.leak(), path) };
        let entry = site.entries[(name.len() + number) % ENTRIES].callers;
        let caller = if reading.is_slow {
            support::Caller::connect_slow(entry).await
        } else {
            support::Caller::connect(entry).await
        };
        let mut caller = caller.expect("the entry listens");
        caller.send(&call).await.expect("the entry reads the request");
        if taken.pieces.is_empty() {
            first_take = number;
        }
        let leaves_after = reading.leaves_after.filter(|_| number == 0);
        let limit = leaves_after.unwrap_or(Duration::from_secs(10));
        if let Some(reply) = caller.read_partly(limit, reading.pause).await {
            taken.add(&reply);
        }
        if reading.keeps_connection {
            connections.push(caller);
        }
        if taken.is_complete {
            break;
        }
    }
    taken
}

/// Starts a site with servers of two software versions.
async fn start_site() -> Site {
    let servers = (1..).zip(VERSIONS).map(|(number, _)| (format!("w{number}"), Script::Silent));
    let routes = vec![
        route("write", RetryPolicy::Stream { resumable: true }, 3),
        route("note", RetryPolicy::Stream { resumable: false }, 1),
    ];
    let site = Site::start(routes, servers.collect(), ENTRIES as u8).await;
    for (backend, version) in site.backends.iter().zip(VERSIONS) {
        let software_version = SoftwareVersion::new(version);
        let server = ListedServer { software_version, ..listed(backend) };
        site.catalogue.write(CatalogueEvent::Listing(ListingChange::Upserted(server)));
    }
    tokio::time::sleep(LISTING_DELAY).await;
    site
}

/// The streams whose events came from several servers, the takes after the first one that got
/// events, and the streams that were complete.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    moved: usize,
    taken_up: usize,
    complete: usize,
}

/// Guards against streams with pieces that are missing, doubled or of two runs.
#[rstest]
fn pieces_in_order(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64) {
    const SEEDS: u64 = 25;
    World::run(async move {
        let site = Rc::new(start_site().await);
        let mut seen = Seen::default();
        for seed in block * SEEDS..(block + 1) * SEEDS {
            let mut random = SmallRng::seed_from_u64(seed);
            let draw = Draw::new(&mut random);
            for ((backend, scripts), version) in
                site.backends.iter().zip(&draw.scripts).zip(VERSIONS)
            {
                backend.set_default(Script::Stream(ScriptedStream {
                    total: draw.total,
                    version,
                    framing: Framing::Chunked,
                    pad_bytes: draw.pad_bytes,
                    steps: Vec::new(),
                }));
                for script in scripts {
                    backend.script_next(script.clone());
                }
            }
            let callers: Vec<_> = (0..)
                .zip(&draw.readings)
                .map(|(number, reading)| {
                    let is_resumable = number % 4 != 3;
                    let name = format!("{seed}-{number}");
                    let taking = take(Rc::clone(&site), *reading, name, is_resumable);
                    (is_resumable, spawn_local(taking))
                })
                .collect();
            for (is_resumable, taking) in callers {
                let taken = taking.await.expect("no panic");
                taken.check(draw.total, is_resumable, &format!("seed {seed}, {draw:?}"));
                seen.moved += usize::from(taken.takes.iter().any(|servers| servers.len() > 1));
                seen.taken_up +=
                    taken.takes.iter().skip(1).filter(|servers| !servers.is_empty()).count();
                seen.complete += usize::from(taken.is_complete);
            }
            for backend in &site.backends {
                backend.drop_scripts();
            }
            // Requests of this run must not meet the scripts of the next one.
            tokio::time::sleep(Duration::from_secs(12)).await;
        }
        eprintln!("{seen:?}");
        assert!(seen.moved >= 5 && seen.taken_up >= 5 && seen.complete >= 20, "{seen:?}");
    });
}
