//! The report of the measurements, with the targets that they are held against.

use std::fmt;
use std::time::Duration;

use amaranth_core::units::ByteSize;

use super::change_cost::{ChangeCost, DAILY_CHANGES};
use super::in_force::InForceMeasure;
use super::size::SizeMeasure;

/// Longest time from a change to its being in force everywhere, by the stated size.
const IN_FORCE_TARGET: Duration = Duration::from_secs(15);

/// Most memory of the catalogue, by the aim of the project.
const CATALOGUE_TARGET: ByteSize = ByteSize(12_000_000);

/// Share of a core that a daemon may spend on all of its control, by the stated size.
const CONTROL_CORE_SHARE: f64 = 0.02;

/// All measurements.
#[derive(Debug)]
pub(super) struct BenchReport {
    pub(super) size: SizeMeasure,
    pub(super) costs: Vec<ChangeCost>,
    pub(super) in_force: Vec<InForceMeasure>,
}

impl BenchReport {
    /// Returns whether every target is met.
    pub(super) fn meets_targets(&self) -> bool {
        let memory = self.size.catalogue_memory <= CATALOGUE_TARGET;
        let in_force = |measure: &InForceMeasure| measure.longest <= IN_FORCE_TARGET;
        let cost = |cost: &ChangeCost| cost.core_share(DAILY_CHANGES) <= CONTROL_CORE_SHARE;
        memory && self.in_force.iter().all(in_force) && self.costs.iter().all(cost)
    }
}

impl fmt::Display for BenchReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_size(formatter, &self.size)?;
        write_costs(formatter, &self.costs)?;
        write_in_force(formatter, &self.in_force)?;
        let met = if self.meets_targets() {
            "met"
        } else {
            "missed"
        };
        write!(formatter, "targets: {met}")
    }
}

fn write_size(formatter: &mut fmt::Formatter<'_>, size: &SizeMeasure) -> fmt::Result {
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
        "| the same, ruled by a reader | - | {:.0?} |",
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
        "| adapters | bytes of a change | time to rule it | core at 19,000 a day | at 20 times that |"
    )?;
    writeln!(formatter, "|---|---|---|---|---|")?;
    for cost in costs {
        writeln!(
            formatter,
            "| {} | {} | {:.1?} | {:.6}% | {:.6}% |",
            cost.adapters,
            cost.record_bytes,
            cost.rule_time,
            100.0 * cost.core_share(DAILY_CHANGES),
            100.0 * cost.core_share(20.0 * DAILY_CHANGES)
        )?;
    }
    writeln!(formatter)
}

fn write_in_force(formatter: &mut fmt::Formatter<'_>, measures: &[InForceMeasure]) -> fmt::Result {
    writeln!(
        formatter,
        "| changes a day | changes | readers | p50 | p99 | longest |"
    )?;
    writeln!(formatter, "|---|---|---|---|---|---|")?;
    for measure in measures {
        writeln!(
            formatter,
            "| {:.0} | {} | {} | {:.1?} | {:.1?} | {:.1?} |",
            measure.daily_changes,
            measure.changes,
            measure.readers,
            measure.p50,
            measure.p99,
            measure.longest
        )?;
    }
    writeln!(formatter)
}
