//! What came through, as a table and as JSON.

use std::fmt::Write;
use std::ops::Range;
use std::time::Duration;

use serde::Serialize;

/// How one request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind {
    /// Whole, right and in time.
    Answered,
    /// Whole and right, after the deadline.
    Late,
    /// Refused because there was no room.
    Refused,
    /// Anything else.
    Broken,
}

/// One request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OfferedOutcome {
    /// How it ended.
    pub kind: OutcomeKind,
    /// How long that took.
    pub elapsed: Duration,
    /// When it ended, since its level began.
    pub ended: Duration,
}

/// What the fleet carries with more requests in flight than it batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CapacityFigures {
    /// Requests answered in time.
    pub answered: u32,
    /// How long it was measured.
    pub elapsed: Duration,
}

impl CapacityFigures {
    /// Returns the requests answered per second.
    pub fn per_second(&self) -> f64 {
        f64::from(self.answered) / self.elapsed.as_secs_f64()
    }
}

/// What became of one level of offered load.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LevelFigures {
    /// Offered load as a multiple of the capacity.
    pub level: f64,
    /// Requests offered.
    pub offered: usize,
    /// Requests answered in time.
    pub answered: usize,
    /// Requests answered after their deadline.
    pub late: usize,
    /// Requests refused.
    pub refused: usize,
    /// Requests that ended otherwise.
    pub broken: usize,
    /// Requests answered in time, per second, once the queues are as full as they get and while
    /// the load lasts.
    pub goodput: f64,
    /// The median time to a refusal, in milliseconds.
    pub refusal_p50_ms: Option<u128>,
    /// The 99th percentile of the time to a refusal, in milliseconds.
    pub refusal_p99_ms: Option<u128>,
}

impl LevelFigures {
    /// Counts the outcomes of a level, and its goodput by the answers that ended in `window`.
    pub fn of(level: f64, window: Range<Duration>, outcomes: &[OfferedOutcome]) -> Self {
        let count = |kind| {
            outcomes
                .iter()
                .filter(|outcome| outcome.kind == kind)
                .count()
        };
        let in_window = outcomes.iter().filter(|outcome| {
            outcome.kind == OutcomeKind::Answered && window.contains(&outcome.ended)
        });
        let seconds = (window.end - window.start).as_secs_f64();
        let mut refusals: Vec<_> = outcomes
            .iter()
            .filter(|outcome| outcome.kind == OutcomeKind::Refused)
            .map(|outcome| outcome.elapsed.as_millis())
            .collect();
        refusals.sort_unstable();
        Self {
            level,
            offered: outcomes.len(),
            answered: count(OutcomeKind::Answered),
            late: count(OutcomeKind::Late),
            refused: refusals.len(),
            broken: count(OutcomeKind::Broken),
            goodput: in_window.count() as f64 / seconds,
            refusal_p50_ms: percentile(&refusals, 50),
            refusal_p99_ms: percentile(&refusals, 99),
        }
    }
}

/// Returns the nearest-rank percentile of sorted values.
fn percentile(sorted: &[u128], percent: usize) -> Option<u128> {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.checked_sub(1)?).copied()
}

/// A whole measurement.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OverloadReport {
    /// The capacity.
    pub capacity: CapacityFigures,
    /// The deadline of each request.
    pub deadline: Duration,
    /// The levels.
    pub levels: Vec<LevelFigures>,
}

impl OverloadReport {
    /// Returns the report as JSON.
    ///
    /// # Panics
    ///
    /// Panics if a figure can't be written as JSON, which no figure here does.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("figures are finite")
    }

    /// Returns the report as a table.
    pub fn to_table(&self) -> String {
        let capacity = self.capacity.per_second();
        let mut table = format!(
            "capacity {capacity:.1} requests/s, deadline {} ms\n\n\
             | offered / capacity | goodput / capacity | offered | answered | late | refused \
             | broken | refusal p50 ms | p99 ms |\n\
             |---|---|---|---|---|---|---|---|---|\n",
            self.deadline.as_millis()
        );
        let shown = |figure: Option<u128>| figure.map_or("-".to_owned(), |ms| ms.to_string());
        for level in &self.levels {
            writeln!(
                table,
                "| {} | {:.2} | {} | {} | {} | {} | {} | {} | {} |",
                level.level,
                level.goodput / capacity,
                level.offered,
                level.answered,
                level.late,
                level.refused,
                level.broken,
                shown(level.refusal_p50_ms),
                shown(level.refusal_p99_ms)
            )
            .expect("a string takes every write");
        }
        table
    }
}
