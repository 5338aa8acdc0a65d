//! Facts that outlast all processes in the catalogue.

mod support;

use std::time::Duration;

use filbertcleat_gateway::CatalogueEvent;
use filbertcleat_serve::KeptRow;

use self::support::CrashSite;
use self::support::TestCatalogue;
use self::support::World;
use self::support::crash_site::CONTACT;
use self::support::crash_site::CRASHING;
use self::support::crash_site::IDEMPOTENT;
use self::support::crash_site::INTERVAL;
use self::support::crash_site::RESPONSE;

/// Returns a catalogue that lacks all but the marks that a site keeps.
fn catalogue_after(site: &CrashSite) -> TestCatalogue {
    let catalogue = TestCatalogue::default();
    let marks = site.site.catalogue.kept();
    assert!(!marks.is_empty(), "nothing is kept");
    catalogue.write(CatalogueEvent::Kept(KeptRow { version: 1, marks }));
    catalogue
}

/// All VMs lose power. Only the catalogue remembers what crashes servers.
#[test]
fn outlast_loss_of_all() {
    World::run(async {
        let mut before = CrashSite::start(IDEMPOTENT, 1, 2).await;
        before.crash_three(0).await;
        tokio::time::sleep(CONTACT).await;

        let catalogue = catalogue_after(&before);
        let mut site = CrashSite::start_with_catalogue(catalogue, IDEMPOTENT, 1, 2, 2).await;
        for entry in [0, 1] {
            site.send_crashing(entry).await;
        }

        assert_eq!(site.arrivals(), 0, "the request reached servers again");
    });
}

/// Each of three entries sees one server end, and no agent passes on what they see.
#[test]
fn combined_without_agents() {
    World::run(async {
        let mut site = CrashSite::start_with_engines(IDEMPOTENT, 1, 4, 0).await;
        for entry in 0..3 {
            site.send_crashing(entry).await;
            tokio::time::sleep(INTERVAL).await;
        }
        tokio::time::sleep(CONTACT).await;

        for entry in 0..4 {
            site.send_crashing(entry).await;
        }

        assert_eq!(site.arrivals(), 3, "the request reached one more server");
    });
}

/// The agents that hold facts end, and with them the way from entry to entry.
#[test]
fn learned_without_agents() {
    World::run(async {
        let mut site = CrashSite::start(IDEMPOTENT, 1, 2).await;
        for agent in &site.site.agents {
            agent.trigger();
        }
        tokio::time::sleep(CONTACT).await;
        site.crash_three(0).await;
        tokio::time::sleep(CONTACT).await;

        let before = site.arrivals();
        site.send_crashing(1).await;

        assert_eq!(site.arrivals(), before, "the request reached one more server");
    });
}

/// The catalogue is away when the third server ends.
#[test]
fn kept_after_outage() {
    World::run(async {
        let mut site = CrashSite::start(IDEMPOTENT, 1, 2).await;
        site.site.catalogue.set_down(true);
        site.crash_three(0).await;
        tokio::time::sleep(CONTACT).await;
        assert!(site.site.catalogue.kept().is_empty());

        site.site.catalogue.set_down(false);
        tokio::time::sleep(CONTACT).await;

        catalogue_after(&site);
    });
}

/// The copy that the catalogue is restored from lacks the marks.
#[test]
fn kept_after_restore() {
    World::run(async {
        let catalogue = TestCatalogue::with_epoch(1);
        let mut site = CrashSite::start_with_catalogue(catalogue, IDEMPOTENT, 1, 2, 2).await;
        let version = site.site.catalogue.version();
        site.crash_three(0).await;
        tokio::time::sleep(CONTACT).await;
        catalogue_after(&site);

        site.site.catalogue.restore(version);
        assert!(site.site.catalogue.kept().is_empty());
        tokio::time::sleep(2 * CONTACT).await;

        catalogue_after(&site);
    });
}

/// An answer to a trial shows that the request is sound again.
#[test]
fn cleared_with_trial() {
    World::run(async {
        let mut site = CrashSite::start(IDEMPOTENT, 1, 2).await;
        site.crash_three(0).await;
        tokio::time::sleep(Duration::from_secs(40)).await;
        catalogue_after(&site);
        for backend in &site.site.backends {
            backend.set_default(RESPONSE);
        }

        let reply = site.send_crashing(1).await.expect("a response");
        tokio::time::sleep(CONTACT).await;

        assert_eq!(reply.status, 200);
        let kept = site.site.catalogue.kept();
        assert!(kept.iter().all(|mark| mark.is_cleared), "{kept:?}");
    });
}

/// Calls to the catalogue are priced.
#[test]
fn written_once() {
    World::run(async {
        let mut site = CrashSite::start(IDEMPOTENT, 1, 3).await;
        assert_eq!(site.site.catalogue.writes.get(), 0);
        site.crash_three(0).await;
        tokio::time::sleep(2 * CONTACT).await;
        assert_eq!(site.site.catalogue.writes.get(), 1);

        for entry in [0, 1, 2] {
            site.send(entry, CRASHING).await;
            tokio::time::sleep(INTERVAL).await;
        }
        tokio::time::sleep(2 * CONTACT).await;

        assert_eq!(site.site.catalogue.writes.get(), 1);
    });
}
