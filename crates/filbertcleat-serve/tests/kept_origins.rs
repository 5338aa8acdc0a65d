//! When an entry reads and writes rows of origins, and what it decides by them.

mod support;

use std::collections::BTreeMap;

use filbertcleat_base::MonoTime;
use filbertcleat_base::NodeName;
use filbertcleat_base::ServiceName;
use filbertcleat_serve::Fleet;
use filbertcleat_serve::KeptOrigins;
use filbertcleat_serve::KeptStream;
use filbertcleat_serve::ListedServer;
use filbertcleat_serve::ListingChange;
use filbertcleat_serve::OriginRow;
use filbertcleat_serve::OriginRowContent;
use filbertcleat_serve::OriginVerdict;
use filbertcleat_serve::OriginWriteStep;
use filbertcleat_serve::OutdatedRow;
use filbertcleat_serve::RequestHash;
use filbertcleat_serve::SeenVersion;
use filbertcleat_serve::SoftwareVersion;
use filbertcleat_serve::StreamOrigin;
use rstest::rstest;

use self::support::at;
use self::support::id;
use self::support::listed;

/// The longest time for which streams of the route run.
const STREAM_MAX_MS: u64 = 10_000;

fn writer() -> ServiceName {
    ServiceName::new("writer")
}

fn version(text: &str) -> SoftwareVersion {
    SoftwareVersion::new(text)
}

fn kept() -> KeptOrigins {
    KeptOrigins::new(NodeName::new("edge-1"))
}

/// Records that an entry has followed the list, which shows these versions.
fn follow(kept: &mut KeptOrigins, now: MonoTime, versions: &[&str]) {
    let versions = versions.iter().map(|text| (version(text), 0)).collect::<BTreeMap<_, _>>();
    kept.observe(now, &writer(), versions);
    kept.on_followed(now, now, false);
}

fn begin(kept: &mut KeptOrigins, now: MonoTime, request: u64, text: &str) {
    let origin = StreamOrigin {
        request: RequestHash::new(request),
        service: Some(writer()),
        software_version: version(text),
    };
    kept.on_begun(now, &writer(), &origin);
}

fn decide(kept: &KeptOrigins, now: MonoTime, request: u64) -> OriginVerdict {
    kept.decide(now, now, &writer(), Some(RequestHash::new(request)), true, STREAM_MAX_MS)
}

/// Returns a row with the versions `v1` and `v2`, both seen `age_ms` ago, and streams of the first.
fn row(node: &str, age_ms: u64, streams: &[(u64, u64)]) -> OriginRow {
    let versions = ["v1", "v2"].map(|text| SeenVersion {
        service: writer(),
        software_version: version(text),
        age_ms,
    });
    let streams = streams.iter().map(|(request, age_ms)| KeptStream {
        request: RequestHash::new(*request),
        version_index: 0,
        age_ms: *age_ms,
    });
    let content =
        OriginRowContent { age_ms, versions: versions.to_vec(), streams: streams.collect() };
    OriginRow { node: NodeName::new(node), version: 7, content: Some(content) }
}

fn read(kept: &mut KeptOrigins, now: MonoTime, rows: &[OriginRow]) -> Vec<OutdatedRow> {
    kept.want_read();
    assert!(kept.begin_read(now));
    kept.on_read(now, now, rows, 1, 0)
}

fn written(step: OriginWriteStep) -> OriginRowContent {
    let OriginWriteStep::Write(row) = step else { panic!("{step:?}") };
    row.content.expect("an entry writes its rows whole")
}

fn requests(content: &OriginRowContent) -> Vec<u64> {
    content.streams.iter().map(|stream| stream.request.get()).collect()
}

/// A deployment with one version must cause no calls.
#[test]
fn single_version_writes_nothing() {
    let mut kept = kept();
    for second in 0..200 {
        follow(&mut kept, at(second * 1_000), &["v1"]);
        begin(&mut kept, at(second * 1_000), second, "v1");
        let step = kept.write_step(at(second * 1_000));
        assert_eq!(step, OriginWriteStep::Wait { until: None });
    }
}

/// Streams that began before the second version came have to be kept too.
#[test]
fn second_version_writes_at_once() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v1"]);
    begin(&mut kept, at(100), 1, "v1");
    follow(&mut kept, at(1_000), &["v1", "v2"]);
    assert_eq!(kept.write_step(at(1_000)), OriginWriteStep::Read);
    read(&mut kept, at(1_000), &[]);

    let content = written(kept.write_step(at(1_010)));

    assert_eq!(requests(&content), [1]);
    assert_eq!(content.streams[0].age_ms, 910);
    assert_eq!(content.versions.len(), 2);
}

/// A release that is rolled back and begins again is as new as the first: streams of the time between
/// have to be kept too.
#[test]
fn returned_version_writes_at_once() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v1", "v2"]);
    read(&mut kept, at(0), &[]);
    let mut now_ms = 0;
    while now_ms <= KeptOrigins::WINDOW_MS {
        follow(&mut kept, at(now_ms), &["v1"]);
        if let OriginWriteStep::Write(_) = kept.write_step(at(now_ms)) {
            kept.on_written(1);
        }
        now_ms += 1_000;
    }
    follow(&mut kept, at(now_ms), &["v1"]);
    begin(&mut kept, at(now_ms), 1, "v1");
    assert_eq!(kept.write_step(at(now_ms)), OriginWriteStep::Wait { until: None });

    follow(&mut kept, at(now_ms + 100), &["v1", "v2"]);

    assert_eq!(requests(&written(kept.write_step(at(now_ms + 100)))), [1]);
}

/// Calls to the catalogue are priced: streams within 250 ms share a write.
#[test]
fn writes_coalesced() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v1", "v2"]);
    read(&mut kept, at(0), &[]);
    written(kept.write_step(at(0)));
    kept.on_written(1);
    begin(&mut kept, at(10), 1, "v1");
    begin(&mut kept, at(200), 2, "v2");
    assert_eq!(kept.write_step(at(200)), OriginWriteStep::Wait { until: Some(at(250)) });

    let content = written(kept.write_step(at(250)));

    kept.on_written(2);
    assert_eq!(requests(&content), [2, 1]);
    let refresh_at = at(250 + KeptOrigins::REFRESH_INTERVAL_MS);
    assert_eq!(kept.write_step(at(300)), OriginWriteStep::Wait { until: Some(refresh_at) });
}

/// A row that is not written again would no longer show the version that leaves later.
#[test]
fn idle_entry_refreshes_row() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v1", "v2"]);
    read(&mut kept, at(0), &[]);
    written(kept.write_step(at(0)));
    kept.on_written(1);
    follow(&mut kept, at(KeptOrigins::REFRESH_INTERVAL_MS), &["v1", "v2"]);

    let content = written(kept.write_step(at(KeptOrigins::REFRESH_INTERVAL_MS)));

    assert!(content.versions.iter().all(|seen| seen.age_ms == 0), "{content:?}");
}

/// The calls end with the release.
#[test]
fn writes_end_after_release() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v1", "v2"]);
    read(&mut kept, at(0), &[]);
    written(kept.write_step(at(0)));
    kept.on_written(1);
    let end = KeptOrigins::WINDOW_MS + 1;
    follow(&mut kept, at(end), &["v2"]);
    begin(&mut kept, at(end), 1, "v2");

    assert_eq!(kept.write_step(at(end)), OriginWriteStep::Wait { until: None });
}

/// The row of the node's process before must not be lost with the first write of the next.
#[test]
fn predecessor_merged() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v2"]);
    let rows = [row("edge-1", 20_000, &[(1, 20_000), (2, 61_000)]), row("edge-2", 0, &[(3, 0)])];
    read(&mut kept, at(0), &rows);

    let OriginWriteStep::Write(row) = kept.write_step(at(1_000)) else { panic!("no write") };

    assert_eq!(row.version, 7);
    let content = row.content.expect("a whole row");
    assert_eq!(requests(&content), [1]);
    assert_eq!(content.streams[0].age_ms, 21_000);
    let ages: Vec<_> =
        content.versions.iter().map(|seen| (seen.software_version.as_str(), seen.age_ms)).collect();
    assert!(ages.contains(&("v1", 1_000)), "{ages:?}");
}

/// Another process of the node, or a restored catalogue, has left another row.
#[test]
fn conflict_merges_and_repeats() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v1", "v2"]);
    read(&mut kept, at(0), &[]);
    written(kept.write_step(at(0)));

    kept.on_conflict(at(10), &row("edge-1", 500, &[(1, 700)]));

    let OriginWriteStep::Write(row) = kept.write_step(at(10)) else { panic!("no write") };
    assert_eq!((row.version, requests(&row.content.expect("a whole row"))), (7, vec![1]));
}

#[test]
fn failed_write_repeated() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v1", "v2"]);
    read(&mut kept, at(0), &[]);
    written(kept.write_step(at(0)));
    kept.on_write_failed(at(100));
    assert_eq!(kept.write_step(at(100)), OriginWriteStep::Wait { until: Some(at(350)) });

    written(kept.write_step(at(350)));
}

/// The version of a stream that still runs counts as seen, and its row is not written more often.
#[test]
fn running_stream_keeps_version() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v1", "v2"]);
    begin(&mut kept, at(0), 1, "v1");
    read(&mut kept, at(0), &[]);
    written(kept.write_step(at(0)));
    for ms in (15_000..=120_000).step_by(15_000) {
        follow(&mut kept, at(ms), &["v2"]);
        begin(&mut kept, at(ms), 1, "v1");
        assert_eq!(requests(&written(kept.write_step(at(ms)))), [1], "after {ms} ms");
        begin(&mut kept, at(ms + 1_000), 1, "v1");
        let refresh_at = at(ms + KeptOrigins::REFRESH_INTERVAL_MS);
        let wait = OriginWriteStep::Wait { until: Some(refresh_at) };
        assert_eq!(kept.write_step(at(ms + 1_000)), wait);
    }

    let mut other = KeptOrigins::new(NodeName::new("edge-3"));
    follow(&mut other, at(0), &["v2"]);
    let row = |age_ms| OriginRow { version: age_ms, ..row("edge-1", age_ms, &[(1, age_ms)]) };
    read(&mut other, at(0), &[row(50_000)]);
    read(&mut other, at(1_000), &[row(5_000)]);
    assert_eq!(decide(&other, at(50_000), 1), OriginVerdict::Kept(writer(), version("v1")));
    read(&mut other, at(50_000), &[]);
    assert_eq!(decide(&other, at(50_000), 1), OriginVerdict::Kept(writer(), version("v1")));
}

/// The copy that a catalogue is restored from lacks the newest rows.
#[test]
fn restore_writes_again() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v1", "v2"]);
    begin(&mut kept, at(0), 1, "v1");
    read(&mut kept, at(0), &[]);
    written(kept.write_step(at(0)));
    kept.on_written(1);

    kept.on_restored();

    assert_eq!(requests(&written(kept.write_step(at(1_000)))), [1]);
}

/// A row stays within 65,536 bytes in Base64, and the newest streams are in it.
#[test]
fn row_is_bounded() {
    let mut kept = kept();
    let versions: Vec<String> =
        (0..100).map(|number| format!("{number}{}", "x".repeat(40))).collect();
    let versions: Vec<&str> = versions.iter().map(String::as_str).collect();
    follow(&mut kept, at(0), &versions);
    read(&mut kept, at(0), &[]);
    for request in 0..5_000 {
        begin(&mut kept, at(request), request, versions[0]);
    }

    let content = written(kept.write_step(at(5_000)));

    let names: usize =
        content.versions.iter().map(|seen| seen.software_version.as_str().len()).sum();
    let bytes = names + content.versions.len() * 40 + content.streams.len() * 16;
    assert!(bytes * 4 / 3 <= 65_536, "{bytes} bytes");
    assert_eq!(content.versions.len(), KeptOrigins::VERSIONS_MAX);
    assert!(content.streams.len() > 500, "{} streams", content.streams.len());
    assert_eq!(content.streams[0].request, RequestHash::new(4_999));
}

/// An entry that has just started knows nothing of servers that left before.
#[test]
fn started_entry_reads_first() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v2"]);
    assert_eq!(decide(&kept, at(100), 1), OriginVerdict::Read);

    read(&mut kept, at(100), &[row("edge-2", 30_000, &[(1, 30_000)])]);

    assert_eq!(decide(&kept, at(110), 1), OriginVerdict::Kept(writer(), version("v1")));
    assert_eq!(decide(&kept, at(110), 2), OriginVerdict::Unknown);
}

/// The only version in service began the stream, and no further list is needed to tell that.
#[test]
fn single_version_goes_on() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v2"]);
    read(&mut kept, at(100), &[row("edge-2", 60_001, &[])]);
    for second in 1..200 {
        follow(&mut kept, at(second * 1_000), &["v2"]);
        let verdict = decide(&kept, at(second * 1_000), 1);
        assert_eq!(verdict, OriginVerdict::Single(version("v2")), "after {second} s");
    }
}

/// A server of another version may have been listed and have begun the stream since the list was read.
#[test]
fn outdated_list_proves_nothing() {
    let mut kept = kept();
    for second in 0..=61 {
        follow(&mut kept, at(second * 1_000), &["v1"]);
    }
    let (taken_up_at, request) = (at(61_500), Some(RequestHash::new(1)));
    let decide = |kept: &KeptOrigins, now| {
        kept.decide(now, taken_up_at, &writer(), request, true, STREAM_MAX_MS)
    };
    assert_eq!(decide(&kept, at(61_500)), OriginVerdict::Follow);

    // The response of a call that was open then.
    kept.on_followed(at(62_000), at(61_400), false);
    assert_eq!(decide(&kept, at(62_000)), OriginVerdict::Follow);

    kept.on_followed(at(63_000), at(62_500), false);
    assert_eq!(decide(&kept, at(63_000)), OriginVerdict::Single(version("v1")));
}

/// Without the catalogue only what the entry has followed itself for long enough can tell.
#[rstest]
#[case::just_started(59_000, 0, false)]
#[case::long_followed(61_000, 0, true)]
#[case::catalogue_lost(61_000, KeptOrigins::FOLLOW_GAP_MS + 1, false)]
fn failed_read_decided(#[case] followed_ms: u64, #[case] gap_ms: u64, #[case] goes_on: bool) {
    let mut kept = kept();
    for ms in (0..=followed_ms).step_by(1_000) {
        follow(&mut kept, at(ms), &["v1"]);
    }
    let now = at(followed_ms + gap_ms);
    if decide(&kept, now, 1) == OriginVerdict::Read {
        kept.want_read();
        assert!(kept.begin_read(now));
        kept.on_read_failed();
    }

    let expected =
        if goes_on { OriginVerdict::Single(version("v1")) } else { OriginVerdict::Unknown };
    assert_eq!(decide(&kept, now, 1), expected);
}

/// A version that came and left while the list was not followed stays unknown to the entry.
#[test]
fn gap_restarts_observation() {
    let mut kept = kept();
    for second in 0..70 {
        follow(&mut kept, at(second * 1_000), &["v1"]);
    }
    assert_eq!(decide(&kept, at(69_000), 1), OriginVerdict::Single(version("v1")));

    follow(&mut kept, at(100_000), &["v1"]);

    assert_eq!(decide(&kept, at(100_000), 1), OriginVerdict::Read);
}

/// A version that came and left between two responses stays unknown to the entry until it has read
/// what the others saw; from then on it needs no further list.
#[test]
fn unshown_servers_restart_observation() {
    let mut kept = kept();
    for second in 0..70 {
        follow(&mut kept, at(second * 1_000), &["v1"]);
    }

    kept.on_followed(at(70_000), at(70_000), true);

    assert_eq!(decide(&kept, at(70_000), 1), OriginVerdict::Read);
    read(&mut kept, at(70_000), &[row("edge-2", 1_000, &[])]);
    assert_eq!(decide(&kept, at(70_000), 1), OriginVerdict::Unknown);
    for second in 71..140 {
        follow(&mut kept, at(second * 1_000), &["v1"]);
    }
    assert_eq!(decide(&kept, at(139_000), 1), OriginVerdict::Single(version("v1")));
}

/// A stream that runs for long may be of a version that left the list more than a minute ago, so that
/// following the list proves nothing.
#[test]
fn long_streams_need_rows() {
    let mut kept = kept();
    for second in 0..=200 {
        follow(&mut kept, at(second * 1_000), &["v2"]);
    }
    let decide = |kept: &KeptOrigins, stream_max_ms| {
        kept.decide(at(200_000), at(200_000), &writer(), None, true, stream_max_ms)
    };
    assert_eq!(decide(&kept, 30_000), OriginVerdict::Single(version("v2")));
    assert_eq!(decide(&kept, 30_001), OriginVerdict::Read);

    read(&mut kept, at(200_000), &[]);
    assert_eq!(decide(&kept, 30_001), OriginVerdict::Single(version("v2")));
    read(&mut kept, at(201_000), &[row("edge-2", 10_000, &[])]);
    assert_eq!(decide(&kept, 30_001), OriginVerdict::Unknown);
}

/// Callers that come at once share one list, and lists are at least a second apart.
#[test]
fn lists_are_spaced() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v1", "v2"]);
    kept.want_read();
    assert!(kept.begin_read(at(0)));
    kept.want_read();
    assert_eq!(decide(&kept, at(10), 1), OriginVerdict::Read);
    assert!(!kept.begin_read(at(10)));
    kept.on_read(at(20), at(0), &[], 1, 0);
    assert!(!kept.begin_read(at(2_000)), "nobody wants another list");
    assert_eq!(decide(&kept, at(999), 1), OriginVerdict::Unknown);

    assert_eq!(decide(&kept, at(1_000), 1), OriginVerdict::Read);
}

/// A row that can't be read may hide a second version; what others tell is not lost.
#[test]
fn unreadable_row_proves_nothing() {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v1"]);
    let unreadable = OriginRow { node: NodeName::new("x"), version: 3, content: None };
    read(&mut kept, at(0), &[unreadable, row("edge-2", 61_000, &[(1, 50_000)])]);

    assert_eq!(decide(&kept, at(10), 1), OriginVerdict::Kept(writer(), version("v1")));
    assert_eq!(decide(&kept, at(10), 2), OriginVerdict::Unknown);
}

/// Two entries recorded different origins: one of them had only inferred its own.
#[rstest]
#[case::older_first([("edge-2", 0, 9_000), ("edge-3", 1, 8_000)], "v1")]
#[case::older_last([("edge-2", 0, 8_000), ("edge-3", 1, 9_000)], "v2")]
fn older_origin_holds(#[case] rows: [(&str, u8, u64); 2], #[case] expected: &str) {
    let mut kept = kept();
    follow(&mut kept, at(0), &["v1", "v2"]);
    let rows = rows.map(|(node, version_index, age_ms)| {
        let mut row = row(node, 0, &[(1, age_ms)]);
        row.content.as_mut().expect("a whole row").streams[0].version_index = version_index;
        row
    });

    read(&mut kept, at(0), &rows);

    assert_eq!(decide(&kept, at(10), 1), OriginVerdict::Kept(writer(), version(expected)));
}

/// Rows of nodes that are gone must not pile up, and few entries remove them.
#[test]
fn outdated_rows_removed() {
    let mut kept = kept();
    let mut rows: Vec<_> = (0..40).map(|number| row(&format!("x{number}"), 120_001, &[])).collect();
    rows.push(row("edge-1", 120_001, &[]));
    rows.insert(0, row("edge-2", 120_000, &[]));

    let outdated = read(&mut kept, at(0), &rows);
    assert_eq!(outdated.len(), 32);
    assert_eq!(outdated[0], OutdatedRow { node: NodeName::new("x0"), version: 7 });

    let removers = (0..410).filter(|draw| {
        kept.want_read();
        !kept.on_read(at(0), at(0), &rows, 410, *draw).is_empty()
    });
    assert_eq!(removers.count(), 3);
}

/// What may serve must not depend on which servers are listed at the moment.
#[test]
fn fleet_remembers_versions() {
    let mut fleet = Fleet::default();
    let with = |name: &str, text: &str| {
        ListingChange::Upserted(ListedServer { software_version: version(text), ..listed(name) })
    };
    fleet.apply_listing(at(0), with("w1", "v1"));
    fleet.apply_listing(at(0), with("w2", "v2"));
    fleet.apply_listing(at(1_000), ListingChange::Removed(id("w1")));
    fleet.apply_listing(at(2_000), with("w2", "v3"));

    let ages = |now| {
        let versions = fleet.software_versions(now, &writer());
        versions
            .into_iter()
            .map(|(version, age_ms)| (version.to_string(), age_ms))
            .collect::<Vec<_>>()
    };

    let seen = [("v1", 2_000), ("v2", 1_000), ("v3", 0)];
    assert_eq!(ages(at(3_000)), seen.map(|(version, age_ms)| (version.to_owned(), age_ms)));
    assert_eq!(ages(at(62_001)), [("v3".to_owned(), 0)]);
    assert!(fleet.lists_service(&writer()));
    assert!(fleet.software_versions(at(3_000), &ServiceName::new("desk")).is_empty());
}
