//! The report of a fault run.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::checker::evidence::{CallRecord, CallResult};
use crate::checker::promise_result::{PromiseResult, check_promises, is_clean};
use crate::faults::arguments::FaultArguments;
use crate::faults::schedule::{FaultSchedule, FaultWindow};
use crate::fleet::fleet_run::FinishedRun;
use crate::fleet::shape::Deployment;

/// Time between the last fault and the first call that counts for recovery; meanwhile the leases of
/// a killed holder expire and circuit breakers close.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Minimum share of the calls after the recovery time that must be answered.
const MIN_RECOVERED_SHARE: f64 = 0.95;

/// The number of calls by outcome, of those that started within a period of a run.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct CallCounts {
    /// The number of calls that were answered.
    pub answered: u64,
    /// The number of calls that were refused.
    pub refused: u64,
    /// The number of calls that broke off without an answer or an error.
    pub broken: u64,
    /// The number of refused calls by error code.
    pub codes: BTreeMap<String, u64>,
}

impl CallCounts {
    fn from_calls<'calls>(calls: impl Iterator<Item = &'calls CallRecord>) -> Self {
        let mut counts = Self::default();
        for call in calls {
            match &call.result {
                CallResult::Answered { .. } => counts.answered += 1,
                CallResult::Refused { code, .. } => {
                    counts.refused += 1;
                    *counts.codes.entry(code.clone()).or_default() += 1;
                }
                CallResult::Broken { .. } => counts.broken += 1,
            }
        }
        counts
    }

    const fn total(&self) -> u64 {
        self.answered + self.refused + self.broken
    }
}

/// A fault window with the outcomes of the calls that started in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct WindowReport {
    /// The fault window.
    pub window: FaultWindow,
    /// The calls that started in the window.
    pub calls: CallCounts,
}

/// The report of a fault run: the outcomes of calls and the results of the checks.
#[derive(Debug, Clone, Serialize)]
pub struct FaultReport {
    /// The deployment that was run.
    pub deployment: Deployment,
    /// The seed of the run.
    pub seed: u64,
    /// The duration of the run, in seconds.
    pub elapsed_s: f64,
    /// The fault windows, in order.
    pub windows: Vec<WindowReport>,
    /// The calls that started after the recovery time.
    pub recovered: CallCounts,
    /// The result of the check of each promise.
    pub promises: Vec<PromiseResult>,
}

impl FaultReport {
    /// Creates the report of a finished run whose last fault was reverted at `faults_ended_at`.
    pub fn collect(
        finished: &FinishedRun,
        schedule: &FaultSchedule,
        faults_ended_at: Duration,
        arguments: &FaultArguments,
    ) -> Self {
        let calls = &finished.evidence.calls;
        let windows = schedule
            .windows()
            .iter()
            .map(|window| WindowReport {
                window: window.clone(),
                calls: CallCounts::from_calls(
                    calls
                        .iter()
                        .filter(|call| (window.begin..window.end).contains(&call.started)),
                ),
            })
            .collect();
        let recovered_from = faults_ended_at + RECOVERY_TIME;
        Self {
            deployment: arguments.deployment,
            seed: arguments.seed,
            elapsed_s: finished.elapsed.as_secs_f64(),
            windows,
            recovered: CallCounts::from_calls(
                calls.iter().filter(|call| call.started >= recovered_from),
            ),
            promises: check_promises(&finished.evidence),
        }
    }

    /// Returns whether every promise held and the fleet recovered.
    pub fn is_clean(&self) -> bool {
        is_clean(&self.promises) && self.has_recovered()
    }

    fn has_recovered(&self) -> bool {
        let required = MIN_RECOVERED_SHARE * self.recovered.total() as f64;
        self.recovered.total() > 0 && self.recovered.answered as f64 >= required
    }

    /// Prints the report to standard output, as JSON or as a table.
    pub fn print(&self, json: bool) {
        if json {
            match serde_json::to_string_pretty(self) {
                Ok(text) => println!("{text}"),
                Err(error) => {
                    eprintln!("amaranth-lab faults: the report can't be encoded: {error}");
                }
            }
            return;
        }
        self.print_table();
    }

    fn print_table(&self) {
        println!(
            "{} seed {} ({:.1} s)",
            self.deployment, self.seed, self.elapsed_s
        );
        println!(
            "  {:<46} {:>8} {:>8} {:>8}",
            "calls that began under", "answered", "refused", "broken"
        );
        for report in &self.windows {
            print_counts(&report.window.to_string(), &report.calls);
        }
        print_counts("no fault, after recovery", &self.recovered);
        for result in &self.promises {
            println!(
                "  {:<22} {:>7} checks {:>4} violations",
                result.promise.to_string(),
                result.checks,
                result.violations
            );
            for example in &result.examples {
                println!("    broke: {example}");
            }
        }
        if !self.has_recovered() {
            println!("  The fleet did not recover.");
        }
    }
}

fn print_counts(name: &str, counts: &CallCounts) {
    let codes: Vec<String> = counts
        .codes
        .iter()
        .map(|(code, count)| format!("{code} {count}"))
        .collect();
    println!(
        "  {name:<46} {:>8} {:>8} {:>8}  {}",
        counts.answered,
        counts.refused,
        counts.broken,
        codes.join(", ")
    );
}
