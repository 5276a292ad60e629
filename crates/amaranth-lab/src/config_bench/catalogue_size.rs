//! Measures the encoded size, the processing time and the memory of a full catalogue.

use std::time::{Duration, Instant};

use amaranth_config::envelope::ConfigRecord;
use amaranth_config::folder::merge;
use amaranth_config::history::ConfigHistory;
use amaranth_config::snapshot::{SnapshotAssembly, SnapshotId, SnapshotState};
use amaranth_core::units::ByteSize;
use bytes::Bytes;

use super::generated_config::{folder_documents, full_record};
use super::memory;

/// Number of catalogues that are restored for one measurement, so that their memory stands out from
/// the rest of the memory of the process.
const RESTORED_CATALOGUES: u64 = 8;

/// The encoded size, the processing times and the memory of a catalogue.
#[derive(Debug, Clone)]
pub(super) struct SizeMeasurement {
    /// Number of adapters in the catalogue.
    pub(super) adapters: usize,
    /// Size of the documents of the configuration folder.
    pub(super) folder_bytes: ByteSize,
    /// Time to merge and check the folder.
    pub(super) merge_time: Duration,
    /// Size of one change record with all entries.
    pub(super) record_bytes: ByteSize,
    /// Time to encode the change record.
    pub(super) encode_time: Duration,
    /// Time to apply the change record to an empty history.
    pub(super) apply_time: Duration,
    /// Size of all snapshot records.
    pub(super) snapshot_bytes: ByteSize,
    /// Number of snapshot records.
    pub(super) snapshot_parts: usize,
    /// Time to encode the snapshot.
    pub(super) snapshot_time: Duration,
    /// Mean time to restore the snapshot.
    pub(super) restore_time: Duration,
    /// Mean memory of one restored catalogue.
    pub(super) catalogue_memory: ByteSize,
}

impl SizeMeasurement {
    /// Returns the mean memory of one adapter, in bytes.
    pub(super) fn memory_per_adapter(&self) -> f64 {
        self.catalogue_memory.0 as f64 / self.adapters as f64
    }
}

/// Measures a catalogue of `adapters` adapters.
pub(super) fn measure(adapters: usize) -> SizeMeasurement {
    let snapshot = snapshot_of(adapters);
    // The restorations are measured before other large values are kept in memory.
    let (restore_time, catalogue_memory) = measure_restore(&snapshot.records);
    let documents = folder_documents(adapters);
    let folder_bytes: usize = documents.iter().map(|document| document.text.len()).sum();
    let (set, merge_time) = timed(|| merge(&documents).expect("the folder is valid"));
    let (record, encode_time) = timed(|| full_record(&set));
    let (_, apply_time) = timed(|| {
        let mut history = ConfigHistory::new();
        history.apply_record(history.next_offset(), &record)
    });
    SizeMeasurement {
        adapters,
        folder_bytes: size_of_bytes(folder_bytes),
        merge_time,
        record_bytes: size_of_bytes(record.len()),
        encode_time,
        apply_time,
        snapshot_bytes: size_of_bytes(snapshot.records.iter().map(Bytes::len).sum()),
        snapshot_parts: snapshot.records.len(),
        snapshot_time: snapshot.encode_time,
        restore_time,
        catalogue_memory,
    }
}

/// The records of a snapshot and the time to encode them.
struct EncodedSnapshot {
    records: Vec<Bytes>,
    encode_time: Duration,
}

fn snapshot_of(adapters: usize) -> EncodedSnapshot {
    let history = super::generated_config::history_of(adapters);
    let state = history.snapshot_state().expect("the history is complete");
    let id = SnapshotId::derive("measurement");
    let (records, encode_time) = timed(|| state.to_records(id).expect("the parts fit the log"));
    EncodedSnapshot {
        records,
        encode_time,
    }
}

/// Restores several catalogues and returns the mean time and the mean memory of one.
fn measure_restore(records: &[Bytes]) -> (Duration, ByteSize) {
    // These catalogues use up the memory that earlier steps freed; otherwise it would hide the
    // memory of the measured ones.
    let filler: Vec<_> = (0..RESTORED_CATALOGUES).map(|_| restore(records)).collect();
    let before = memory::resident();
    let (restored, time) = timed(|| {
        (0..RESTORED_CATALOGUES)
            .map(|_| restore(records))
            .collect::<Vec<_>>()
    });
    let after = memory::resident();
    drop(restored);
    drop(filler);
    let mean = after.0.saturating_sub(before.0) / RESTORED_CATALOGUES;
    let count = u32::try_from(RESTORED_CATALOGUES).unwrap_or(1);
    (time / count, ByteSize(mean))
}

fn restore(records: &[Bytes]) -> SnapshotState {
    let mut assembly: Option<SnapshotAssembly> = None;
    for record in records {
        let Ok(ConfigRecord::Snapshot(part)) = ConfigRecord::decode(record) else {
            panic!("the records are parts of a snapshot");
        };
        let assembly = assembly
            .get_or_insert_with(|| SnapshotAssembly::new(&part).expect("the part is valid"));
        assembly.add(&part).expect("the part is valid");
    }
    let assembly = assembly.expect("the snapshot has parts");
    assembly.finish().expect("the snapshot is complete")
}

/// Returns the result of `work` and the time that it took.
pub(super) fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let started = Instant::now();
    let result = work();
    (result, started.elapsed())
}

fn size_of_bytes(bytes: usize) -> ByteSize {
    ByteSize(u64::try_from(bytes).unwrap_or(u64::MAX))
}
