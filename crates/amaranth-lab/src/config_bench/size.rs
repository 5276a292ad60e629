//! Bytes, time and memory of a full catalogue.

use std::time::{Duration, Instant};

use amaranth_config::envelope::ConfigRecord;
use amaranth_config::folder::merge;
use amaranth_config::history::ConfigHistory;
use amaranth_config::snapshot::{SnapshotAssembly, SnapshotId, SnapshotState};
use amaranth_core::units::ByteSize;
use bytes::Bytes;

use super::memory;
use super::source::{full_record, written_folder};

/// Catalogues that are held at once, so that one's memory shows against the process's.
const HELD_CATALOGUES: u64 = 8;

/// What a catalogue of one size takes.
#[derive(Debug, Clone)]
pub(super) struct SizeMeasure {
    pub(super) adapters: usize,
    pub(super) folder_bytes: ByteSize,
    pub(super) merge_time: Duration,
    pub(super) record_bytes: ByteSize,
    pub(super) encode_time: Duration,
    pub(super) apply_time: Duration,
    pub(super) snapshot_bytes: ByteSize,
    pub(super) snapshot_parts: usize,
    pub(super) snapshot_time: Duration,
    pub(super) restore_time: Duration,
    pub(super) catalogue_memory: ByteSize,
}

impl SizeMeasure {
    /// Returns the memory of one adapter in bytes.
    pub(super) fn memory_per_adapter(&self) -> f64 {
        self.catalogue_memory.0 as f64 / self.adapters as f64
    }
}

/// Measures a catalogue of `adapters`.
pub(super) fn measure(adapters: usize) -> SizeMeasure {
    let snapshot = snapshot_of(adapters);
    // The restorations come before all else that takes memory is held.
    let (restore_time, catalogue_memory) = measure_restoration(&snapshot.records);
    let documents = written_folder(adapters);
    let folder_bytes: usize = documents.iter().map(|document| document.text.len()).sum();
    let (set, merge_time) = timed(|| merge(&documents).expect("the folder is valid"));
    let (record, encode_time) = timed(|| full_record(&set));
    let (_, apply_time) = timed(|| {
        let mut history = ConfigHistory::new();
        history.apply_record(history.next_offset(), &record)
    });
    SizeMeasure {
        adapters,
        folder_bytes: size_of_bytes(folder_bytes),
        merge_time,
        record_bytes: size_of_bytes(record.len()),
        encode_time,
        apply_time,
        snapshot_bytes: size_of_bytes(snapshot.records.iter().map(Bytes::len).sum()),
        snapshot_parts: snapshot.records.len(),
        snapshot_time: snapshot.time,
        restore_time,
        catalogue_memory,
    }
}

struct WrittenSnapshot {
    records: Vec<Bytes>,
    time: Duration,
}

fn snapshot_of(adapters: usize) -> WrittenSnapshot {
    let history = super::source::history_of(adapters);
    let state = history.snapshot_state().expect("the history is complete");
    let id = SnapshotId::derive("measurement");
    let (records, time) = timed(|| state.to_records(id).expect("the parts fit the log"));
    WrittenSnapshot { records, time }
}

/// Restores several catalogues, and returns the mean time and the mean memory.
fn measure_restoration(records: &[Bytes]) -> (Duration, ByteSize) {
    // What earlier steps freed is used up first, or it would hide what the catalogues take.
    let spare: Vec<_> = (0..HELD_CATALOGUES).map(|_| restore(records)).collect();
    let before = memory::resident();
    let (held, time) = timed(|| {
        (0..HELD_CATALOGUES)
            .map(|_| restore(records))
            .collect::<Vec<_>>()
    });
    let after = memory::resident();
    drop(held);
    drop(spare);
    let mean = after.0.saturating_sub(before.0) / HELD_CATALOGUES;
    let count = u32::try_from(HELD_CATALOGUES).unwrap_or(1);
    (time / count, ByteSize(mean))
}

fn restore(records: &[Bytes]) -> SnapshotState {
    let mut assembly: Option<SnapshotAssembly> = None;
    for record in records {
        let Ok(ConfigRecord::Snapshot(part)) = ConfigRecord::decode(record) else {
            panic!("the records are parts of a snapshot");
        };
        let assembly = assembly
            .get_or_insert_with(|| SnapshotAssembly::new(&part).expect("the part is sound"));
        assembly.add(&part).expect("the part is sound");
    }
    let assembly = assembly.expect("the snapshot has parts");
    assembly.finish().expect("the snapshot is whole")
}

/// Returns the outcome of `work` and the time that it took.
pub(super) fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let started = Instant::now();
    let outcome = work();
    (outcome, started.elapsed())
}

fn size_of_bytes(bytes: usize) -> ByteSize {
    ByteSize(u64::try_from(bytes).unwrap_or(u64::MAX))
}
