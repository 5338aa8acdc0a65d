//! How the epochs that responses name are compared.

use filbertcleat_serve::CatalogueEpoch;
use filbertcleat_serve::EpochChange;
use rstest::rstest;

#[rstest]
#[case::unnumbered(&[None, None], EpochChange::Unchanged)]
#[case::first(&[Some(4)], EpochChange::Unchanged)]
#[case::same(&[Some(4), Some(4)], EpochChange::Unchanged)]
#[case::next(&[Some(4), Some(5)], EpochChange::Restored)]
#[case::several_missed(&[Some(4), Some(9)], EpochChange::Restored)]
#[case::earlier(&[Some(4), Some(5), Some(4)], EpochChange::Outdated)]
#[case::numbering_begins(&[None, Some(1)], EpochChange::Restored)]
#[case::unnamed_between(&[Some(4), None], EpochChange::Unchanged)]
#[case::known_after_unnamed(&[Some(4), None, Some(4)], EpochChange::Unchanged)]
fn epochs_compared(#[case] named: &[Option<u64>], #[case] expected: EpochChange) {
    let mut epoch = CatalogueEpoch::default();

    let changes: Vec<_> = named.iter().map(|named| epoch.observe(*named)).collect();

    assert_eq!(changes.last(), Some(&expected));
}
