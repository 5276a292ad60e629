//! Measures the cost of one change to a reader at several sizes of the catalogue.

use std::time::{Duration, Instant};

use amaranth_config::history::RecordOutcome;

use super::generated_config::{history_of, version_change};

/// Distance between the adapters of successive changes, which spreads them over the catalogue.
const ADAPTER_STEP: usize = 7_919;

/// Number of changes per day in the stated size of the deployment.
pub(super) const DAILY_CHANGES: f64 = 19_000.0;

/// Number of seconds in a day.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// The mean cost of one change at one size of the catalogue.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChangeCost {
    /// Number of adapters in the catalogue.
    pub(super) adapters: usize,
    /// Mean size of the record of a change, in bytes.
    pub(super) record_bytes: usize,
    /// Mean time to apply the record of a change.
    pub(super) apply_time: Duration,
}

impl ChangeCost {
    /// Returns the share of one core that a reader needs for `daily_changes` changes a day.
    pub(super) fn core_share(&self, daily_changes: f64) -> f64 {
        self.apply_time.as_secs_f64() * daily_changes / SECONDS_PER_DAY
    }
}

/// Measures the cost of `changes` changes at each of `sizes`.
pub(super) fn measure(sizes: &[usize], changes: usize) -> Vec<ChangeCost> {
    sizes
        .iter()
        .map(|adapters| measure_size(*adapters, changes))
        .collect()
}

fn measure_size(adapters: usize, changes: usize) -> ChangeCost {
    let mut history = history_of(adapters);
    let mut apply_time = Duration::ZERO;
    let mut record_bytes = 0;
    for number in 0..changes {
        // The catalogue stays referenced during the change, as by a traffic thread in a running
        // process.
        let catalogue = history.catalogue();
        let adapter = number * ADAPTER_STEP % adapters;
        let stated_at_ms = u64::try_from(number).unwrap_or(u64::MAX);
        let record = version_change(&catalogue, adapter, stated_at_ms);
        record_bytes += record.len();
        let started = Instant::now();
        let outcome = history.apply_record(history.next_offset(), &record);
        apply_time += started.elapsed();
        assert!(matches!(outcome, RecordOutcome::Accepted(_)), "{outcome:?}");
    }
    let count = u32::try_from(changes.max(1)).unwrap_or(u32::MAX);
    ChangeCost {
        adapters,
        record_bytes: record_bytes / changes.max(1),
        apply_time: apply_time / count,
    }
}
