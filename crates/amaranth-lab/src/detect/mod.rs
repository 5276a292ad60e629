//! `amaranth-lab detect`: compares failure detectors on the same heartbeats.
//!
//! Each detector runs over a range of its parameter. The detectors are compared by the time until
//! a crash is detected, at equal rates of false suspicion.

pub mod arguments;
pub mod comparison;
pub mod heartbeats;
pub mod report;
pub mod score;

use std::ffi::OsString;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use amaranth_telemetry::usage_exit;
use strum::IntoEnumIterator;

use crate::detect::arguments::{DetectArguments, HELP};
use crate::detect::comparison::{ScenarioComparison, compare_scenario};
use crate::detect::heartbeats::HeartbeatScenario;
use crate::detect::report::DetectReport;

/// Largest number of scenarios that run at the same time.
const MAX_WORKERS: usize = 4;

/// Runs `amaranth-lab detect` with the arguments after that word and returns the exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = match DetectArguments::parse(arguments) {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("amaranth-lab detect: {error}");
            return usage_exit();
        }
    };
    let report = compare(&arguments);
    if arguments.json {
        println!("{}", report.to_json());
    } else {
        print!("{}", report.to_table());
    }
    ExitCode::SUCCESS
}

/// Compares the detectors in every scenario.
pub fn compare(arguments: &DetectArguments) -> DetectReport {
    let scenarios: Vec<_> = HeartbeatScenario::iter().collect();
    let next = AtomicUsize::new(0);
    let comparisons: Mutex<Vec<(usize, ScenarioComparison)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..MAX_WORKERS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(scenario) = scenarios.get(index) else {
                        return;
                    };
                    let comparison = compare_scenario(*scenario, arguments.seed, arguments.days);
                    let mut comparisons = comparisons.lock().expect("no worker panics");
                    comparisons.push((index, comparison));
                }
            });
        }
    });
    let mut comparisons = comparisons.into_inner().expect("no worker panics");
    comparisons.sort_by_key(|(index, _)| *index);
    DetectReport {
        seed: arguments.seed,
        days: arguments.days,
        scenarios: comparisons
            .into_iter()
            .map(|(_, comparison)| comparison)
            .collect(),
    }
}
