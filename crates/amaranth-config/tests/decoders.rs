//! Decoders of bytes from the log, from a peer and from files: no panic, bounded memory.

use amaranth_config::change::{ChangeOrigin, ConfigChange, MAX_CHANGE_EDITS};
use amaranth_config::envelope::{ConfigRecord, MAX_RECORD_BYTES, RecordFault};
use amaranth_config::folder::{SourceDocument, merge};
use amaranth_config::history::{ConfigHistory, RecordVerdict};
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

/// Puts `body` into an envelope whose checksum fits.
fn sealed(format: u8, body: &[u8]) -> Vec<u8> {
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
    let history = ConfigHistory::open();
    ConfigChange::between(&history.catalogue(), &set, origin())
        .into_record()
        .expect("the record is small")
}

fn snapshot_record() -> Bytes {
    let mut history = ConfigHistory::open();
    history.apply_record(LogOffset(0), &change_record());
    let state = history.snapshot_state().expect("the history is complete");
    let records = state.to_records(SnapshotId::derive("test"));
    records.expect("the part is small").remove(0)
}

/// Replaces some bytes behind the header and seals the record again.
fn damaged(record: &Bytes, damage: &[(Index, u8)]) -> Vec<u8> {
    const HEADER: usize = 13;
    let mut body = record[HEADER..].to_vec();
    for (index, byte) in damage {
        let place = index.index(body.len());
        body[place] = *byte;
    }
    sealed(1, &body)
}

fn damage() -> impl Strategy<Value = Vec<(Index, u8)>> {
    prop::collection::vec((any::<Index>(), any::<u8>()), 1..8)
}

/// Takes `record` through everything that reads records.
fn read_everywhere(record: &[u8]) {
    if let Ok(ConfigRecord::Snapshot(part)) = ConfigRecord::decode(record)
        && let Ok(mut assembly) = SnapshotAssembly::open(&part)
        && assembly.add(&part).is_ok()
        && assembly.is_complete()
    {
        let _ = assembly.finish();
    }
    let mut reader = ConfigHistory::open();
    reader.apply_record(LogOffset(0), record);
    let mut seeker = ConfigHistory::open();
    seeker.note_first_kept(LogOffset(1));
    seeker.apply_record(LogOffset(1), record);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(67),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_are_no_record(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(ConfigRecord::decode(&bytes).is_err());
    }

    #[test]
    fn arbitrary_bodies_do_not_panic(body in prop::collection::vec(any::<u8>(), 0..400)) {
        read_everywhere(&sealed(1, &body));
    }

    #[test]
    fn damaged_changes_do_not_panic(damage in damage()) {
        read_everywhere(&damaged(&change_record(), &damage));
    }

    #[test]
    fn damaged_snapshots_do_not_panic(damage in damage()) {
        read_everywhere(&damaged(&snapshot_record(), &damage));
    }

    #[test]
    fn arbitrary_texts_do_not_panic(text in "[\\[\\]a-z0-9=\"{}.,\n -]{0,200}") {
        let _ = merge(&[SourceDocument::new("10.toml", text)]);
    }

    #[test]
    fn damaged_folders_do_not_panic(damage in damage(), cut in any::<Index>()) {
        let mut text = FOLDER.as_bytes().to_vec();
        for (index, byte) in &damage {
            let place = index.index(text.len());
            text[place] = *byte;
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
fn a_record_survives_its_encoding() {
    for record in [change_record(), snapshot_record()] {
        let decoded = ConfigRecord::decode(&record).expect("it decodes");
        assert_eq!(decoded.encode().expect("it encodes"), record);
    }
}

#[test]
fn one_flipped_bit_is_found() {
    let record = change_record();
    for index in 0..record.len() {
        let mut flipped = record.to_vec();
        flipped[index] ^= 1;
        assert!(ConfigRecord::decode(&flipped).is_err(), "byte {index}");
    }
}

#[test]
fn a_foreign_record_is_passed_over_and_a_newer_format_stops_the_reader() {
    let mut history = ConfigHistory::open();
    let foreign = history.apply_record(LogOffset(0), b"something else");
    assert_eq!(foreign, RecordVerdict::Malformed(RecordFault::NoRecord));
    assert_eq!(history.next_offset(), LogOffset(1));
    let newer = history.apply_record(LogOffset(1), &sealed(9, b"unknown"));
    assert_eq!(newer, RecordVerdict::Blocked(9));
    assert_eq!(history.next_offset(), LogOffset(1));
    assert!(history.snapshot_state().is_none());
}

#[test]
fn an_absurd_length_takes_no_memory() {
    // A change by "a", made at 0 against revision 0, that claims 2^62 edits.
    let mut body = vec![0, 1, b'a', 0, 0];
    body.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x3f]);
    let fault = ConfigRecord::decode(&sealed(1, &body)).expect_err("it is refused");
    assert!(matches!(fault, RecordFault::Malformed(_)), "{fault}");
}

#[test]
fn more_edits_than_allowed_are_refused() {
    // The smallest edit there is: the removal of the limits.
    let edits = MAX_CHANGE_EDITS + 1;
    let mut body = vec![0, 1, b'a', 0, 0];
    body.extend(postcard::to_stdvec(&edits).expect("a number encodes"));
    body.extend([1, 5].repeat(edits));
    assert!(body.len() < MAX_RECORD_BYTES);
    let fault = ConfigRecord::decode(&sealed(1, &body)).expect_err("it is refused");
    assert!(fault.to_string().contains("does not decode"), "{fault}");
}

#[test]
fn a_record_that_is_too_large_is_refused() {
    let large = vec![0; MAX_RECORD_BYTES + 1];
    let fault = ConfigRecord::decode(&large).expect_err("it is refused");
    assert_eq!(fault, RecordFault::TooLarge(large.len()));
}

#[test]
fn a_snapshot_of_absurdly_many_parts_is_refused() {
    let part = SnapshotRecord {
        id: SnapshotId::derive("absurd"),
        revision: ConfigRevision(1),
        covers: LogOffset(1),
        index: 0,
        count: u32::MAX,
        rows: Bytes::new(),
    };
    assert!(SnapshotAssembly::open(&part).is_err());
    let record = ConfigRecord::Snapshot(part).encode().expect("it encodes");
    read_everywhere(&record);
}
