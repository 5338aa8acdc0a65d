//! What an entry that starts learns of the routes before, and when it writes that.

mod support;

use filbertcleat_base::MonoTime;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::KeptRoute;
use filbertcleat_serve::KeptRoutes;
use filbertcleat_serve::MovedRoutes;
use filbertcleat_serve::RetryPolicy;
use filbertcleat_serve::Route;
use filbertcleat_serve::RouteRow;
use filbertcleat_serve::RouteWriteStep;
use filbertcleat_serve::Target;
use rstest::rstest;

use self::support::at;

const WINDOW_MS: u64 = MovedRoutes::REMEMBERED_MS;
/// The time in which an entry writes a change.
const WRITE_MS: u64 = KeptRoutes::WRITE_DELAY_MS + KeptRoutes::WRITE_SPREAD_MS;

fn route_at(path_prefix: &str, service: &str) -> Route {
    Route {
        name: path_prefix.to_owned(),
        host: "Desk.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        retry_policy: RetryPolicy::Stream { resumable: true },
        timeout_ms: 10_000,
        latency_objective_ms: 500,
        gap_objective_ms: 300,
        priority: 1,
        targets: vec![Target { service: ServiceName::new(service), weight: 1 }],
        is_public: false,
        attempts_max: 2,
    }
}

fn route(service: &str) -> Route {
    route_at("/a/", service)
}

/// Returns an entry that starts with this route.
fn start(is_first_start: bool, service: &str) -> KeptRoutes {
    let mut kept = KeptRoutes::new(is_first_start, 7);
    kept.on_configured(at(0), None, &[route(service)]);
    kept
}

fn replace(kept: &mut KeptRoutes, now: MonoTime, before: &str, after: &str) {
    kept.on_configured(now, Some(&[route(before)]), &[route(after)]);
}

fn has_moved(kept: &KeptRoutes, now: MonoTime, service: &str) -> bool {
    kept.has_moved(now, &route(service), "/a/1")
}

fn row(version: u64, routes: Vec<KeptRoute>) -> RouteRow {
    RouteRow { version, routes: Some(routes) }
}

/// Returns the row that an entry writes which has followed this route, and no other, since the first
/// start of all.
fn kept_row(service: &str) -> RouteRow {
    let mut kept = start(true, service);
    kept.on_read(at(0), &RouteRow::default());
    RouteRow { version: 5, ..written(kept.write_step(at(WRITE_MS), 1)) }
}

/// Returns the row as it is read later.
fn aged(mut row: RouteRow, ms: u64) -> RouteRow {
    let routes = row.routes.iter_mut().flatten();
    routes.filter_map(|route| route.moved_age_ms.as_mut()).for_each(|age_ms| *age_ms += ms);
    row
}

fn written(step: RouteWriteStep) -> RouteRow {
    let RouteWriteStep::Write(row) = step else { panic!("{step:?}") };
    row
}

fn ages(row: &RouteRow) -> Vec<Option<u64>> {
    row.routes.iter().flatten().map(|route| route.moved_age_ms).collect()
}

/// Of entries that lose power at once, none knows the routes before. Streams that nobody knows have
/// to go on unless their route may have moved.
#[rstest]
#[case::same(kept_row("x"), false)]
#[case::other(kept_row("y"), true)]
#[case::new_route(row(5, Vec::new()), true)]
#[case::unreadable(RouteRow { version: 5, routes: None }, true)]
#[case::absent(RouteRow::default(), true)]
fn moves_before_start_found(#[case] row: RouteRow, #[case] expected: bool) {
    let mut kept = start(false, "x");

    kept.on_read(at(10), &row);

    assert_eq!(has_moved(&kept, at(10), "x"), expected);
    assert!(!has_moved(&kept, at(WINDOW_MS + 11), "x"));
}

/// Before the first start of all no stream began.
#[rstest]
#[case::absent(RouteRow::default(), false)]
#[case::other(kept_row("y"), true)]
#[case::unreadable(RouteRow { version: 5, routes: None }, true)]
fn first_start_has_no_past(#[case] row: RouteRow, #[case] expected: bool) {
    let mut kept = start(true, "x");

    kept.on_read(at(10), &row);

    assert_eq!(has_moved(&kept, at(10), "x"), expected);
}

/// The catalogue may be away when an entry starts.
#[test]
fn unread_row_proves_nothing() {
    let mut kept = start(true, "x");
    assert!(has_moved(&kept, at(WINDOW_MS), "x"));
    assert!(!has_moved(&kept, at(WINDOW_MS + 1), "x"));

    kept.on_read(at(WINDOW_MS + 10), &kept_row("y"));

    assert!(!has_moved(&kept, at(WINDOW_MS + 10), "x"), "the entry has seen all moves itself");
}

/// The row may be read before the configuration.
#[test]
fn early_row_compared() {
    let mut kept = KeptRoutes::new(false, 7);
    kept.on_read(at(0), &kept_row("y"));
    assert!(has_moved(&kept, at(1), "x"));

    kept.on_configured(at(10), None, &[route("x")]);

    assert!(has_moved(&kept, at(WINDOW_MS + 10), "x"));
    assert!(!has_moved(&kept, at(WINDOW_MS + 11), "x"));
}

/// A route that was dropped had a longer prefix.
#[test]
fn dropped_route_found() {
    let mut before = KeptRoutes::new(true, 7);
    before.on_configured(at(0), None, &[route("x"), route_at("/a/b/", "y")]);
    before.on_read(at(0), &RouteRow::default());
    let row = RouteRow { version: 5, ..written(before.write_step(at(WRITE_MS), 1)) };
    let mut kept = start(false, "x");

    kept.on_read(at(10), &row);

    assert!(kept.has_moved(at(10), &route("x"), "/a/b/1"));
    assert!(!kept.has_moved(at(10), &route("x"), "/a/c"));
}

/// What the row tells of a move counts for a minute from the move, not from the start.
#[rstest]
#[case::away("x", "y")]
#[case::there_and_back("y", "x")]
fn recent_move_told(#[case] first: &str, #[case] second: &str) {
    let mut before = start(true, first);
    before.on_read(at(0), &RouteRow::default());
    written(before.write_step(at(WRITE_MS), 1));
    before.on_written(at(WRITE_MS), &kept_row(first), 5);
    replace(&mut before, at(10_000), first, second);
    let row = written(before.write_step(at(10_000 + WRITE_MS), 1));
    assert_eq!((row.version, ages(&row)), (5, vec![Some(WRITE_MS)]));
    let mut kept = start(false, second);

    kept.on_read(at(0), &aged(row, 20_000));

    let left_ms = WINDOW_MS - WRITE_MS - 20_000;
    assert!(has_moved(&kept, at(left_ms), second));
    assert!(!has_moved(&kept, at(left_ms + 1), second));
}

/// A route that leads elsewhere for a moment has the targets of the row again.
#[test]
fn returned_route_written() {
    let mut kept = start(false, "x");
    kept.on_read(at(0), &kept_row("x"));
    replace(&mut kept, at(10_000), "x", "y");
    replace(&mut kept, at(10_100), "y", "x");

    let row = written(kept.write_step(at(10_000 + WRITE_MS), 1));

    assert_eq!(ages(&row), [Some(WRITE_MS - 100)]);
}

/// Calls to the catalogue are priced: routes that stay as they are cause none, nor do those whose
/// streams can't be resumed.
#[test]
fn same_routes_written_once() {
    let mut kept = start(false, "x");
    kept.on_read(at(0), &kept_row("x"));
    for second in 1..200 {
        let plain = Route { retry_policy: RetryPolicy::Idempotent, ..route_at("/b/", "z") };
        let routes = [route("x"), plain];
        let (before, after) =
            if second % 2 == 0 { (&routes[..], &routes[..1]) } else { (&routes[..1], &routes[..]) };
        kept.on_configured(at(second * 1_000), Some(before), after);
        let step = kept.write_step(at(second * 1_000 + 999), 1);
        assert!(!matches!(step, RouteWriteStep::Write(_)), "{step:?}");
    }
}

/// Another entry is first, and its row tells what this one would have written.
#[test]
fn conflict_ends_write() {
    let mut kept = start(true, "x");
    kept.on_read(at(0), &RouteRow::default());
    assert_eq!(written(kept.write_step(at(WRITE_MS), 1)).version, 0);

    kept.on_conflict(at(WRITE_MS), &kept_row("x"));

    let step = kept.write_step(at(WRITE_MS + 10_000), 1);
    assert_eq!(step, RouteWriteStep::Wait { until: None });
}

/// An entry whose configuration was behind has written it over that of the others.
#[test]
fn late_writer_corrects_row() {
    let mut kept = start(false, "x");
    kept.on_read(at(0), &kept_row("y"));
    let row = written(kept.write_step(at(WRITE_MS), 1));
    kept.on_written(at(WRITE_MS), &row, 6);
    replace(&mut kept, at(WRITE_MS + 100), "x", "y");

    let row = written(kept.write_step(at(2 * WRITE_MS + 100), 1_000_000));

    assert_eq!(row.version, 6);
}

#[test]
fn failed_write_repeated() {
    let mut kept = start(true, "x");
    kept.on_read(at(0), &RouteRow::default());
    let row = written(kept.write_step(at(WRITE_MS), 1));
    kept.on_write_failed(at(WRITE_MS));
    let until = Some(at(WRITE_MS + 250));
    assert_eq!(kept.write_step(at(WRITE_MS), 1), RouteWriteStep::Wait { until });

    assert_eq!(written(kept.write_step(at(WRITE_MS + 250), 1)), row);
}

/// The copy that a catalogue is restored from lacks the row.
#[test]
fn restored_row_written_again() {
    let mut kept = start(false, "x");
    kept.on_read(at(0), &kept_row("x"));
    assert!(!matches!(kept.write_step(at(WRITE_MS), 1), RouteWriteStep::Write(_)));

    kept.on_read(at(10_000), &RouteRow::default());

    assert!(!has_moved(&kept, at(10_000), "x"), "this entry has seen no move");
    assert_eq!(written(kept.write_step(at(10_000 + WRITE_MS), 1)).version, 0);
}

/// Of many entries some write, so that the end of one of them loses nothing.
#[test]
fn few_entries_write() {
    const ENTRIES: u32 = 400;
    let mut writers = 0;
    for seed in 0..u64::from(ENTRIES) {
        let mut kept = KeptRoutes::new(true, seed * 7_919 + 1);
        kept.on_configured(at(0), None, &[route("x")]);
        kept.on_read(at(0), &RouteRow::default());
        let step = kept.write_step(at(WRITE_MS), ENTRIES);
        writers += u32::from(matches!(step, RouteWriteStep::Write(_)));
    }
    assert!((3..=16).contains(&writers), "{writers} of {ENTRIES} write");
}

/// A row stays within 65,536 bytes in Base64. What it lacks counts as moved.
#[test]
fn row_is_bounded() {
    let routes: Vec<_> =
        (0..2_000).map(|number| route_at(&format!("/{number:04}/"), "x")).collect();
    let mut kept = KeptRoutes::new(true, 7);
    kept.on_configured(at(0), None, &routes);
    kept.on_read(at(0), &RouteRow::default());

    let row = written(kept.write_step(at(WRITE_MS), 1));

    let names = row.routes.iter().flatten().map(|route| route.host.len() + route.path_prefix.len());
    let bytes: usize = names.map(|name_bytes| name_bytes + 90).sum();
    assert!(bytes <= KeptRoutes::ROW_BYTES_MAX, "{bytes} bytes");
    assert!(row.routes.as_ref().is_some_and(|kept| kept.len() > 200), "{row:?}");
    let mut next = KeptRoutes::new(false, 8);
    next.on_configured(at(0), None, &routes);
    next.on_read(at(0), &RouteRow { version: 5, ..row });
    assert!(!next.has_moved(at(1), &routes[0], "/0000/1"));
    assert!(next.has_moved(at(1), &routes[1_999], "/1999/1"));
}
