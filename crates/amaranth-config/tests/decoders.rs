//! Tests that the decoders of records and folders do not panic and allocate bounded memory for
//! arbitrary input from the log, from peers and from files.

use amaranth_config::change::{ChangeOrigin, ConfigChange, MAX_CHANGE_EDITS};
use amaranth_config::envelope::{ConfigRecord, MAX_RECORD_BYTES, RecordError};
use amaranth_config::folder::{SourceDocument, merge};
use amaranth_config::history::{ConfigHistory, RecordOutcome};
use amaranth_config::snapshot::{SnapshotAssembly, SnapshotId, SnapshotRecord};
use amaranth_core::digest::hash64;
use amaranth_core::ids::{ConfigRevision, LogOffset};
use bytes::Bytes;
use proptest::prelude::{ProptestConfig, Strategy, any, prop, prop_assert, proptest};
use proptest::sample::Index;
use proptest::test_runner::RngSeed;

const FOLDER: &str = r#"
[models.m]
[adapters.a]
base = "m"
versions = [1, 2]
current = 1
[adapter-sets.s]
names = "b-{01..20}"
base = "m"
versions = [1]
[rules.r]
model = "x"
callers = ["c*"]
use = [{ target = "a@2", weight = 3 }, { target = "{caller}", weight = 1 }]
[services.desk]
path = "/desk"
repeatable = ["POST /check"]
[endpoints.e]
endpoints = "e-*"
checks-orders = true
[limits]
max-body = "2 MiB"
[policy]
preset = "load-stalls"
"#;

/// Returns `body` in an envelope with a matching checksum.
fn enveloped(format: u8, body: &[u8]) -> Vec<u8> {
    let checksum = hash64(u64::from(format), body).to_le_bytes();
    [b"AMCF", &[format][..], &checksum, body].concat()
}

fn origin() -> ChangeOrigin {
    ChangeOrigin {
        author: "aiko".parse().expect("the author is valid"),
        stated_at_ms: 1,
    }
}

fn change_record() -> Bytes {
    let set = merge(&[SourceDocument::new("10.toml", FOLDER)]).expect("the folder is valid");
    let history = ConfigHistory::new();
    ConfigChange::between(&history.catalogue(), &set, origin())
        .into_record()
        .expect("the record is small")
}

fn snapshot_record() -> Bytes {
    let mut history = ConfigHistory::new();
    history.apply_record(LogOffset(0), &change_record());
    let state = history.snapshot_state().expect("the history is complete");
    let records = state.to_records(SnapshotId::derive("test"));
    records.expect("the part is small").remove(0)
}

/// Replaces some bytes after the header and updates the checksum.
fn damaged(record: &Bytes, damage: &[(Index, u8)]) -> Vec<u8> {
    const HEADER: usize = 13;
    let mut body = record[HEADER..].to_vec();
    for (index, byte) in damage {
        let position = index.index(body.len());
        body[position] = *byte;
    }
    enveloped(1, &body)
}

fn damage() -> impl Strategy<Value = Vec<(Index, u8)>> {
    prop::collection::vec((any::<Index>(), any::<u8>()), 1..8)
}

/// Passes `record` to every decoder of records.
fn decode_everywhere(record: &[u8]) {
    if let Ok(ConfigRecord::Snapshot(part)) = ConfigRecord::decode(record)
        && let Ok(mut assembly) = SnapshotAssembly::new(&part)
        && assembly.add(&part).is_ok()
        && assembly.is_complete()
    {
        let _ = assembly.finish();
    }
    let mut complete = ConfigHistory::new();
    complete.apply_record(LogOffset(0), record);
    let mut awaiting_snapshot = ConfigHistory::new();
    awaiting_snapshot.update_first_kept(LogOffset(1));
    awaiting_snapshot.apply_record(LogOffset(1), record);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(67),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_are_not_a_record(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(ConfigRecord::decode(&bytes).is_err());
    }

    #[test]
    fn arbitrary_bodies_do_not_panic(body in prop::collection::vec(any::<u8>(), 0..400)) {
        decode_everywhere(&enveloped(1, &body));
    }

    #[test]
    fn damaged_changes_do_not_panic(damage in damage()) {
        decode_everywhere(&damaged(&change_record(), &damage));
    }

    #[test]
    fn damaged_snapshots_do_not_panic(damage in damage()) {
        decode_everywhere(&damaged(&snapshot_record(), &damage));
    }

    #[test]
    fn arbitrary_texts_do_not_panic(text in "[\\[\\]a-z0-9=\"{}.,\n -]{0,200}") {
        let _ = merge(&[SourceDocument::new("10.toml", text)]);
    }

    #[test]
    fn damaged_folders_do_not_panic(damage in damage(), cut in any::<Index>()) {
        let mut text = FOLDER.as_bytes().to_vec();
        for (index, byte) in &damage {
            let position = index.index(text.len());
            text[position] = *byte;
        }
        text.truncate(cut.index(text.len() + 1));
        let text = String::from_utf8_lossy(&text).into_owned();
        let _ = merge(&[
            SourceDocument::new("10.toml", FOLDER),
            SourceDocument::new("20.toml", text),
        ]);
    }
}

#[test]
fn a_record_is_unchanged_after_decoding_and_encoding() {
    for record in [change_record(), snapshot_record()] {
        let decoded = ConfigRecord::decode(&record).expect("the record decodes");
        assert_eq!(decoded.encode().expect("the record encodes"), record);
    }
}

#[test]
fn one_flipped_bit_is_detected() {
    let record = change_record();
    for index in 0..record.len() {
        let mut flipped = record.to_vec();
        flipped[index] ^= 1;
        assert!(ConfigRecord::decode(&flipped).is_err(), "byte {index}");
    }
}

#[test]
fn a_foreign_record_is_skipped_and_a_newer_format_stops_the_reader() {
    let mut history = ConfigHistory::new();
    let foreign = history.apply_record(LogOffset(0), b"something else");
    assert_eq!(foreign, RecordOutcome::Malformed(RecordError::NotARecord));
    assert_eq!(history.next_offset(), LogOffset(1));
    let newer = history.apply_record(LogOffset(1), &enveloped(9, b"unknown"));
    assert_eq!(newer, RecordOutcome::Blocked(9));
    assert_eq!(history.next_offset(), LogOffset(1));
    assert!(history.snapshot_state().is_none());
}

#[test]
fn an_excessive_length_is_refused_without_allocation() {
    // A change by "a", made at 0 against revision 0, that claims to have 2^62 edits.
    let mut body = vec![0, 1, b'a', 0, 0];
    body.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x3f]);
    let error = ConfigRecord::decode(&enveloped(1, &body)).expect_err("the record is refused");
    assert!(matches!(error, RecordError::Malformed(_)), "{error}");
}

#[test]
fn more_edits_than_allowed_are_refused() {
    // The smallest possible edit is the removal of the limits.
    let edits = MAX_CHANGE_EDITS + 1;
    let mut body = vec![0, 1, b'a', 0, 0];
    body.extend(postcard::to_stdvec(&edits).expect("a number encodes"));
    body.extend([1, 5].repeat(edits));
    assert!(body.len() < MAX_RECORD_BYTES);
    let error = ConfigRecord::decode(&enveloped(1, &body)).expect_err("the record is refused");
    assert!(error.to_string().contains("does not decode"), "{error}");
}

#[test]
fn a_record_that_is_too_large_is_refused() {
    let large = vec![0; MAX_RECORD_BYTES + 1];
    let error = ConfigRecord::decode(&large).expect_err("the record is refused");
    assert_eq!(error, RecordError::TooLarge(large.len()));
}

#[test]
fn a_snapshot_with_too_many_parts_is_refused() {
    let part = SnapshotRecord {
        id: SnapshotId::derive("oversized"),
        revision: ConfigRevision(1),
        covers: LogOffset(1),
        index: 0,
        count: u32::MAX,
        rows: Bytes::new(),
    };
    assert!(SnapshotAssembly::new(&part).is_err());
    let record = ConfigRecord::Snapshot(part)
        .encode()
        .expect("the record encodes");
    decode_everywhere(&record);
}
