//! How records of the log are ruled.

use amaranth_config::change::{ChangeOrigin, ConfigChange};
use amaranth_config::folder::{ConfigSet, SourceDocument, merge};
use amaranth_config::history::{ConfigHistory, RecordVerdict, RefusalReason};
use amaranth_core::ids::{ConfigRevision, LogOffset};
use bytes::Bytes;
use rstest::rstest;

fn folder(text: &str) -> ConfigSet {
    merge(&[SourceDocument::new("10.toml", text)]).expect("the folder is valid")
}

fn origin(author: &str) -> ChangeOrigin {
    ChangeOrigin {
        author: author.parse().expect("the author is valid"),
        stated_at_ms: 0,
    }
}

fn record(history: &ConfigHistory, set: &ConfigSet, author: &str) -> Bytes {
    ConfigChange::between(&history.catalogue(), set, origin(author))
        .into_record()
        .expect("the record is small")
}

fn append(history: &mut ConfigHistory, record: &[u8]) -> RecordVerdict {
    let offset = history.next_offset();
    history.apply_record(offset, record)
}

const ONE: &str = "[models.m]\n[adapters.a]\nbase = \"m\"\nversions = [1]\n";
const TWO: &str = "[models.m]\n[adapters.a]\nbase = \"m\"\nversions = [1, 2]\n";
const NONE: &str = "[models.m]\n";

#[rstest]
fn accepts_a_change() {
    let mut history = ConfigHistory::open();
    let change = record(&history, &folder(ONE), "aiko");
    let verdict = append(&mut history, &change);
    assert!(matches!(verdict, RecordVerdict::Accepted(_)), "{verdict:?}");
    assert_eq!(history.revision(), ConfigRevision(1));
    assert_eq!(history.catalogue().adapter_count(), 1);
}

#[rstest]
fn racing_operators_get_one_winner_and_the_keys() {
    let mut history = ConfigHistory::open();
    let base = record(&history, &folder(ONE), "aiko");
    append(&mut history, &base);
    let winner = record(&history, &folder(TWO), "aiko");
    let loser = record(&history, &folder(NONE), "radu");
    assert!(matches!(
        append(&mut history, &winner),
        RecordVerdict::Accepted(_)
    ));
    let RecordVerdict::Refused(refused) = append(&mut history, &loser) else {
        panic!("the second change is refused");
    };
    let RefusalReason::Conflict(keys) = refused.reason else {
        panic!("it is a conflict");
    };
    assert_eq!(keys[0].to_string(), "adapters.a");
    assert_eq!(history.revision(), ConfigRevision(2));
}

#[rstest]
fn a_duplicate_does_not_bring_a_removed_adapter_back() {
    let mut history = ConfigHistory::open();
    let added = record(&history, &folder(ONE), "aiko");
    append(&mut history, &added);
    let removed = record(&history, &folder(NONE), "aiko");
    append(&mut history, &removed);
    let verdict = append(&mut history, &added);
    assert!(
        matches!(verdict, RecordVerdict::Duplicate { .. }),
        "{verdict:?}"
    );
    assert_eq!(history.catalogue().adapter_count(), 0);
}

#[rstest]
fn a_record_is_ruled_once() {
    let mut history = ConfigHistory::open();
    let change = record(&history, &folder(ONE), "aiko");
    append(&mut history, &change);
    assert_eq!(
        history.apply_record(LogOffset(0), &change),
        RecordVerdict::Passed
    );
}
