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

/// Time after the last fault from which calls count for the recovery: leases of a killed holder
/// run out and breakers close meanwhile.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Least share of calls that are answered after the recovery time. Source: letter 1's "95 in 100".
const RECOVERED_SHARE: f64 = 0.95;

/// What became of the calls that began in a stretch of time.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct StretchCounts {
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls that broke off.
    pub broken: u64,
    /// Refusals by their code.
    pub codes: BTreeMap<String, u64>,
}

impl StretchCounts {
    fn count<'calls>(calls: impl Iterator<Item = &'calls CallRecord>) -> Self {
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

/// One window with the calls that began in it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct WindowReport {
    /// The window.
    pub window: FaultWindow,
    /// The calls.
    pub calls: StretchCounts,
}

/// The report of a fault run.
#[derive(Debug, Clone, Serialize)]
pub struct FaultReport {
    /// The deployment.
    pub deployment: Deployment,
    /// The seed.
    pub seed: u64,
    /// How long the run took, in seconds.
    pub elapsed_s: f64,
    /// The windows.
    pub windows: Vec<WindowReport>,
    /// Calls that began after the recovery time.
    pub recovered: StretchCounts,
    /// The promises.
    pub promises: Vec<PromiseResult>,
}

impl FaultReport {
    /// Collects the report of a finished run whose last fault was lifted at `quiet_from`.
    pub fn collect(
        finished: &FinishedRun,
        schedule: &FaultSchedule,
        quiet_from: Duration,
        arguments: &FaultArguments,
    ) -> Self {
        let calls = &finished.evidence.calls;
        let windows = schedule
            .windows()
            .iter()
            .map(|window| WindowReport {
                window: window.clone(),
                calls: StretchCounts::count(
                    calls
                        .iter()
                        .filter(|call| (window.begin..window.end).contains(&call.started)),
                ),
            })
            .collect();
        let settled = quiet_from + RECOVERY_TIME;
        Self {
            deployment: arguments.deployment,
            seed: arguments.seed,
            elapsed_s: finished.elapsed.as_secs_f64(),
            windows,
            recovered: StretchCounts::count(calls.iter().filter(|call| call.started >= settled)),
            promises: check_promises(&finished.evidence),
        }
    }

    /// Returns whether every promise held and the fleet recovered.
    pub fn is_clean(&self) -> bool {
        is_clean(&self.promises) && self.has_recovered()
    }

    fn has_recovered(&self) -> bool {
        let wanted = RECOVERED_SHARE * self.recovered.total() as f64;
        self.recovered.total() > 0 && self.recovered.answered as f64 >= wanted
    }

    /// Prints the report to standard output.
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

fn print_counts(name: &str, counts: &StretchCounts) {
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
