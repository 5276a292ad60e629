//! Report of an overload measurement as a table and as JSON.

use std::fmt::Write;
use std::ops::Range;
use std::time::Duration;

use serde::Serialize;

/// Kind of outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutcomeKind {
    /// Complete and correct answer before the deadline.
    Answered,
    /// Complete and correct answer after the deadline.
    Late,
    /// Refusal for lack of capacity.
    Refused,
    /// Any other outcome, such as a wrong answer, an error or a timeout.
    Broken,
}

/// Outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestOutcome {
    /// Kind of the outcome.
    pub kind: OutcomeKind,
    /// Time from the start to the end of the request.
    pub elapsed: Duration,
    /// Time from the start of the load level to the end of the request.
    pub ended_at: Duration,
}

/// Capacity of the fleet, measured with more requests in flight than fit into the batches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CapacityMeasurement {
    /// Number of requests answered in time.
    pub answered: u32,
    /// Duration of the measurement.
    pub elapsed: Duration,
}

impl CapacityMeasurement {
    /// Returns the number of requests answered per second.
    pub fn per_second(&self) -> f64 {
        f64::from(self.answered) / self.elapsed.as_secs_f64()
    }
}

/// Statistics of the requests of one level of offered load.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LevelStatistics {
    /// Offered load as a multiple of the capacity.
    pub level: f64,
    /// Number of requests offered.
    pub offered: usize,
    /// Number of requests answered in time.
    pub answered: usize,
    /// Number of requests answered after their deadline.
    pub late: usize,
    /// Number of requests refused.
    pub refused: usize,
    /// Number of requests with any other outcome.
    pub broken: usize,
    /// Requests answered in time per second, from one deadline after the start of the load, when
    /// the queues have reached their full length, to its end.
    pub goodput: f64,
    /// Median time to a refusal, in milliseconds.
    pub refusal_p50_ms: Option<u128>,
    /// 99th percentile of the time to a refusal, in milliseconds.
    pub refusal_p99_ms: Option<u128>,
}

impl LevelStatistics {
    /// Counts the outcomes of a level and computes its goodput from the answers that ended within
    /// `window`.
    pub fn from_outcomes(level: f64, window: Range<Duration>, outcomes: &[RequestOutcome]) -> Self {
        let count = |kind| {
            outcomes
                .iter()
                .filter(|outcome| outcome.kind == kind)
                .count()
        };
        let answers_in_window = outcomes.iter().filter(|outcome| {
            outcome.kind == OutcomeKind::Answered && window.contains(&outcome.ended_at)
        });
        let window_seconds = (window.end - window.start).as_secs_f64();
        let mut refusal_times_ms: Vec<_> = outcomes
            .iter()
            .filter(|outcome| outcome.kind == OutcomeKind::Refused)
            .map(|outcome| outcome.elapsed.as_millis())
            .collect();
        refusal_times_ms.sort_unstable();
        Self {
            level,
            offered: outcomes.len(),
            answered: count(OutcomeKind::Answered),
            late: count(OutcomeKind::Late),
            refused: refusal_times_ms.len(),
            broken: count(OutcomeKind::Broken),
            goodput: answers_in_window.count() as f64 / window_seconds,
            refusal_p50_ms: percentile(&refusal_times_ms, 50),
            refusal_p99_ms: percentile(&refusal_times_ms, 99),
        }
    }
}

/// Returns the nearest-rank percentile of sorted values, or `None` if there are none.
fn percentile(sorted: &[u128], percent: usize) -> Option<u128> {
    let rank = (sorted.len() * percent).div_ceil(100);
    sorted.get(rank.checked_sub(1)?).copied()
}

/// Result of an overload measurement.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OverloadReport {
    /// Measured capacity.
    pub capacity: CapacityMeasurement,
    /// Time from the start of each request to its deadline.
    pub deadline: Duration,
    /// Statistics of each level of offered load.
    pub levels: Vec<LevelStatistics>,
}

impl OverloadReport {
    /// Returns the report as JSON.
    ///
    /// # Panics
    ///
    /// Panics if the report can't be encoded as JSON, which does not occur because its numbers are
    /// finite.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("the numbers of a report are finite")
    }

    /// Returns the report as a Markdown table.
    pub fn to_table(&self) -> String {
        let capacity = self.capacity.per_second();
        let mut table = format!(
            "capacity {capacity:.1} requests/s, deadline {} ms\n\n\
             | offered / capacity | goodput / capacity | offered | answered | late | refused \
             | broken | refusal p50 ms | p99 ms |\n\
             |---|---|---|---|---|---|---|---|---|\n",
            self.deadline.as_millis()
        );
        let format_ms = |time_ms: Option<u128>| time_ms.map_or("-".to_owned(), |ms| ms.to_string());
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
                format_ms(level.refusal_p50_ms),
                format_ms(level.refusal_p99_ms)
            )
            .expect("writing to a string does not fail");
        }
        table
    }
}
