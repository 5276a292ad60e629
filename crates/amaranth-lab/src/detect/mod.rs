//! Compares failure detectors on the same seeded heartbeats.
//!
//! Each detector is run over a range of its parameter. They are compared by how long a death
//! goes unnoticed at equal rates of false suspicion.

pub mod arguments;
pub mod contest;
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
use crate::detect::contest::{ContestResult, run_contest};
use crate::detect::heartbeats::HeartbeatScenario;
use crate::detect::report::DetectReport;

/// Scenarios that run at once at most.
const WORKER_LIMIT: usize = 4;

/// Runs the subcommand with its arguments and returns the exit code.
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

/// Runs every detector over every scenario.
pub fn compare(arguments: &DetectArguments) -> DetectReport {
    let scenarios: Vec<_> = HeartbeatScenario::iter().collect();
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, ContestResult)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..WORKER_LIMIT {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(scenario) = scenarios.get(index) else {
                        return;
                    };
                    let result = run_contest(*scenario, arguments.seed, arguments.days);
                    let mut results = results.lock().expect("no worker panics");
                    results.push((index, result));
                }
            });
        }
    });
    let mut results = results.into_inner().expect("no worker panics");
    results.sort_by_key(|(index, _)| *index);
    DetectReport {
        seed: arguments.seed,
        days: arguments.days,
        scenarios: results.into_iter().map(|(_, result)| result).collect(),
    }
}
