//! When an agent sends updates to which entries.

mod support;

use std::net::SocketAddr;

use filbertcleat_serve::EntryUpdate;
use filbertcleat_serve::UpdateRecipients;

use self::support::at;
use self::support::key;

fn address(entry: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, entry as u8], 7_000))
}

fn entry_update(entry: u64, in_use: &[&str]) -> EntryUpdate {
    EntryUpdate {
        entry,
        adapters_in_use: in_use.iter().map(|name| (key(name), 1)).collect(),
        ..EntryUpdate::default()
    }
}

fn recipients(entries: u64) -> UpdateRecipients {
    let mut recipients = UpdateRecipients::default();
    (1..=entries).for_each(|entry| {
        recipients.on_entry_update(at(0), address(entry), &entry_update(entry, &[]));
    });
    recipients
}

fn due(recipients: &mut UpdateRecipients, now: u64, has_changes: bool) -> Vec<u64> {
    recipients.due_recipients(at(now), has_changes).into_iter().map(|(_, entry)| entry).collect()
}

#[test]
fn few_get_prompt_updates() {
    let mut recipients = recipients(40);

    assert_eq!(due(&mut recipients, 1, true).len(), 40);
    assert_eq!(due(&mut recipients, 2, true).len(), 40);
    assert!(due(&mut recipients, 3, false).is_empty());
    assert_eq!(recipients.announcement_delay_ms(), 120);
}

#[test]
fn interested_get_prompt_updates() {
    let mut recipients = recipients(60);
    assert_eq!(due(&mut recipients, 500, true).len(), 60);

    recipients.on_entry_update(at(510), address(7), &entry_update(7, &["x"]));

    assert_eq!(due(&mut recipients, 520, true), [7]);
    assert!(due(&mut recipients, 530, false).is_empty());
    assert_eq!(recipients.announcement_delay_ms(), 620);
}

#[test]
fn others_get_slow_updates() {
    let mut recipients = recipients(60);
    due(&mut recipients, 500, true);

    assert!(due(&mut recipients, 999, true).is_empty());
    assert_eq!(due(&mut recipients, 1_000, false).len(), 60, "also without changes");
}

#[test]
fn sending_shows_interest() {
    let mut recipients = recipients(60);
    due(&mut recipients, 500, true);

    recipients.on_entry_update(
        at(510),
        address(3),
        &EntryUpdate { sent_prompt_tokens: 900, ..entry_update(3, &[]) },
    );

    assert_eq!(due(&mut recipients, 520, true), [3]);
    recipients.on_entry_update(
        at(2_400),
        address(3),
        &EntryUpdate { sent_prompt_tokens: 900, ..entry_update(3, &[]) },
    );
    due(&mut recipients, 2_450, true);
    assert!(due(&mut recipients, 2_520, true).is_empty(), "interest expires");
}

#[test]
fn silent_entries_expire() {
    let mut recipients = recipients(2);
    recipients.on_entry_update(at(3_000), address(2), &entry_update(2, &[]));

    assert_eq!(due(&mut recipients, 3_001, true), [2]);
}
