//! Which entries an agent speaks to, and when.

mod support;

use std::net::SocketAddr;

use filbertcleat_serve::EntryUpdate;
use filbertcleat_serve::UpdateRecipients;

use self::support::at;
use self::support::key;

fn address(entry: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, entry as u8], 7_000))
}

fn news(entry: u64, uses: &[&str]) -> EntryUpdate {
    EntryUpdate {
        entry,
        adapters_in_use: uses.iter().map(|name| (key(name), 1)).collect(),
        ..EntryUpdate::default()
    }
}

fn audience(entries: u64) -> UpdateRecipients {
    let mut audience = UpdateRecipients::default();
    (1..=entries)
        .for_each(|entry| audience.on_entry_update(at(0), address(entry), &news(entry, &[])));
    audience
}

fn told(audience: &mut UpdateRecipients, now: u64, is_news: bool) -> Vec<u64> {
    audience.due_recipients(at(now), is_news).into_iter().map(|(_, entry)| entry).collect()
}

#[test]
fn few_are_told_at_once() {
    let mut audience = audience(40);

    assert_eq!(told(&mut audience, 1, true).len(), 40);
    assert_eq!(told(&mut audience, 2, true).len(), 40);
    assert!(told(&mut audience, 3, false).is_empty());
    assert_eq!(audience.announcement_delay_ms(), 120);
}

#[test]
fn of_many_the_interested_are() {
    let mut audience = audience(60);
    assert_eq!(told(&mut audience, 500, true).len(), 60);

    audience.on_entry_update(at(510), address(7), &news(7, &["x"]));

    assert_eq!(told(&mut audience, 520, true), [7]);
    assert!(told(&mut audience, 530, false).is_empty());
    assert_eq!(audience.announcement_delay_ms(), 620);
}

#[test]
fn the_others_are_told_slowly() {
    let mut audience = audience(60);
    told(&mut audience, 500, true);

    assert!(told(&mut audience, 999, true).is_empty());
    assert_eq!(told(&mut audience, 1_000, false).len(), 60, "without news too");
}

#[test]
fn sending_is_interest() {
    let mut audience = audience(60);
    told(&mut audience, 500, true);

    audience.on_entry_update(
        at(510),
        address(3),
        &EntryUpdate { sent_prompt_tokens: 900, ..news(3, &[]) },
    );

    assert_eq!(told(&mut audience, 520, true), [3]);
    audience.on_entry_update(
        at(2_400),
        address(3),
        &EntryUpdate { sent_prompt_tokens: 900, ..news(3, &[]) },
    );
    told(&mut audience, 2_450, true);
    assert!(told(&mut audience, 2_520, true).is_empty(), "interest ends");
}

#[test]
fn silent_are_left_out() {
    let mut audience = audience(2);
    audience.on_entry_update(at(3_000), address(2), &news(2, &[]));

    assert_eq!(told(&mut audience, 3_001, true), [2]);
}
