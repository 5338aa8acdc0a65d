//! Demand for any number of adapters, which callers name.

mod support;

use filbertcleat_serve::AdapterScheduler;
use filbertcleat_serve::EngineReport;

use self::support::agent::ANNOUNCEMENT_DELAY_MS;
use self::support::agent::entry_update;
use self::support::at;
use self::support::engine::Engine;

/// Guards against an agent whose memory grows with each adapter that a caller has ever named.
#[test]
fn memory_bounded() {
    let mut scheduler = AdapterScheduler::new(1);
    let report = EngineReport { is_changing_model: true, ..Engine::new(&["base"]).report };
    let mut sizes = Vec::new();
    for number in 0..1_200 {
        let now = number * 100;
        let names: Vec<_> = (0..20).map(|name| format!("adapter-{number}-{name}")).collect();
        let demand: Vec<_> = names.iter().map(|name| (name.as_str(), 1)).collect();
        scheduler.apply_entry_update(at(now), entry_update(number + 1, &demand, &[]));
        scheduler.apply_report(at(now), report.clone());
        scheduler.next_order(at(now), ANNOUNCEMENT_DELAY_MS);
        if number == 300 || number == 1_199 {
            sizes.push(format!("{scheduler:?}").len());
        }
    }

    assert!(sizes[1] <= sizes[0] * 5 / 4, "{sizes:?} bytes of text after 30 s and 120 s");
}
