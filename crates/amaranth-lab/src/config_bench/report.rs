//! The report of the measurements and their targets.

use std::fmt;
use std::time::Duration;

use amaranth_core::units::ByteSize;

use super::catalogue_size::SizeMeasurement;
use super::change_cost::{ChangeCost, DAILY_CHANGES};
use super::propagation::PropagationMeasurement;

/// Longest time from a change until it is in force at every reader, from the stated size of the
/// deployment.
const PROPAGATION_TARGET: Duration = Duration::from_secs(15);

/// Largest memory of the catalogue, a target of the project.
const CATALOGUE_MEMORY_TARGET: ByteSize = ByteSize(12_000_000);

/// Largest share of a core that a process may use for all of its control work, from the stated size
/// of the deployment.
const CONTROL_CORE_TARGET: f64 = 0.02;

/// The results of all measurements.
#[derive(Debug)]
pub(super) struct BenchReport {
    pub(super) size: SizeMeasurement,
    pub(super) costs: Vec<ChangeCost>,
    pub(super) propagation: Vec<PropagationMeasurement>,
}

impl BenchReport {
    /// Returns whether every target is met.
    pub(super) fn meets_targets(&self) -> bool {
        let memory_met = self.size.catalogue_memory <= CATALOGUE_MEMORY_TARGET;
        let propagation_met =
            |measurement: &PropagationMeasurement| measurement.longest <= PROPAGATION_TARGET;
        let cost_met = |cost: &ChangeCost| cost.core_share(DAILY_CHANGES) <= CONTROL_CORE_TARGET;
        memory_met
            && self.propagation.iter().all(propagation_met)
            && self.costs.iter().all(cost_met)
    }
}

impl fmt::Display for BenchReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_size(formatter, &self.size)?;
        write_costs(formatter, &self.costs)?;
        write_propagation(formatter, &self.propagation)?;
        let met = if self.meets_targets() {
            "met"
        } else {
            "missed"
        };
        write!(formatter, "targets: {met}")
    }
}

fn write_size(formatter: &mut fmt::Formatter<'_>, size: &SizeMeasurement) -> fmt::Result {
    writeln!(formatter, "| {} adapters | bytes | time |", size.adapters)?;
    writeln!(formatter, "|---|---|---|")?;
    writeln!(
        formatter,
        "| folder, merged and checked | {} | {:.0?} |",
        size.folder_bytes.0, size.merge_time
    )?;
    writeln!(
        formatter,
        "| one change record, encoded | {} | {:.0?} |",
        size.record_bytes.0, size.encode_time
    )?;
    writeln!(
        formatter,
        "| the same, applied by a reader | - | {:.0?} |",
        size.apply_time
    )?;
    writeln!(
        formatter,
        "| snapshot of {} parts, encoded | {} | {:.0?} |",
        size.snapshot_parts, size.snapshot_bytes.0, size.snapshot_time
    )?;
    writeln!(
        formatter,
        "| the same, restored | - | {:.0?} |",
        size.restore_time
    )?;
    writeln!(
        formatter,
        "| memory of the catalogue ({:.0} per adapter) | {} | - |",
        size.memory_per_adapter(),
        size.catalogue_memory.0
    )?;
    writeln!(formatter)
}

fn write_costs(formatter: &mut fmt::Formatter<'_>, costs: &[ChangeCost]) -> fmt::Result {
    writeln!(
        formatter,
        "| adapters | bytes of a change | time to apply it | core at 19,000 a day | at 20 times that |"
    )?;
    writeln!(formatter, "|---|---|---|---|---|")?;
    for cost in costs {
        writeln!(
            formatter,
            "| {} | {} | {:.1?} | {:.6}% | {:.6}% |",
            cost.adapters,
            cost.record_bytes,
            cost.apply_time,
            100.0 * cost.core_share(DAILY_CHANGES),
            100.0 * cost.core_share(20.0 * DAILY_CHANGES)
        )?;
    }
    writeln!(formatter)
}

fn write_propagation(
    formatter: &mut fmt::Formatter<'_>,
    measurements: &[PropagationMeasurement],
) -> fmt::Result {
    writeln!(
        formatter,
        "| changes a day | changes | readers | p50 | p99 | longest |"
    )?;
    writeln!(formatter, "|---|---|---|---|---|---|")?;
    for measurement in measurements {
        writeln!(
            formatter,
            "| {:.0} | {} | {} | {:.1?} | {:.1?} | {:.1?} |",
            measurement.daily_changes,
            measurement.changes,
            measurement.readers,
            measurement.p50,
            measurement.p99,
            measurement.longest
        )?;
    }
    writeln!(formatter)
}
