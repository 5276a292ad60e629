//! What one change costs a reader, at several sizes of the catalogue.

use std::time::{Duration, Instant};

use amaranth_config::history::RecordOutcome;

use super::source::{history_of, version_change};

/// Step between the adapters that successive changes touch, so that they are spread.
const ADAPTER_STEP: usize = 7_919;

/// Changes a day by the stated size of the deployment.
pub(super) const DAILY_CHANGES: f64 = 19_000.0;

/// Seconds of a day.
const DAY_SECONDS: f64 = 86_400.0;

/// The mean cost of one change.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChangeCost {
    pub(super) adapters: usize,
    pub(super) record_bytes: usize,
    pub(super) rule_time: Duration,
}

impl ChangeCost {
    /// Returns the share of one core that `daily` changes a day take at a reader.
    pub(super) fn core_share(&self, daily: f64) -> f64 {
        self.rule_time.as_secs_f64() * daily / DAY_SECONDS
    }
}

/// Measures `changes` changes at each of `sizes`.
pub(super) fn measure(sizes: &[usize], changes: usize) -> Vec<ChangeCost> {
    sizes
        .iter()
        .map(|adapters| measure_size(*adapters, changes))
        .collect()
}

fn measure_size(adapters: usize, changes: usize) -> ChangeCost {
    let mut history = history_of(adapters);
    let mut rule_time = Duration::ZERO;
    let mut record_bytes = 0;
    for number in 0..changes {
        // A traffic thread holds the catalogue of a request, as in a running process.
        let catalogue = history.catalogue();
        let adapter = number * ADAPTER_STEP % adapters;
        let stated = u64::try_from(number).unwrap_or(u64::MAX);
        let record = version_change(&catalogue, adapter, stated);
        record_bytes += record.len();
        let started = Instant::now();
        let verdict = history.apply_record(history.next_offset(), &record);
        rule_time += started.elapsed();
        assert!(matches!(verdict, RecordOutcome::Accepted(_)), "{verdict:?}");
    }
    let count = u32::try_from(changes.max(1)).unwrap_or(u32::MAX);
    ChangeCost {
        adapters,
        record_bytes: record_bytes / changes.max(1),
        rule_time: rule_time / count,
    }
}
