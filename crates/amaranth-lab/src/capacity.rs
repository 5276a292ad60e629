//! Measurement of CPU time and memory per unit of load and of state, on one entry, one agent and
//! one engine.
//!
//! CPU time is read from the operating system's accounting of each thread and grouped by the role
//! in the thread's name. Memory is that of the whole process, so it is an upper bound for each
//! role.

pub mod arguments;
pub mod line_fit;
pub mod load_cost;
pub mod plot;
pub mod process_usage;
pub mod report;
pub mod state_cost;
pub mod test_bed;

use std::ffi::OsString;
use std::process::ExitCode;

use amaranth_core::errors::Result;
use amaranth_telemetry::usage_exit;

use crate::capacity::arguments::{CapacityArguments, CapacityCommand};
use crate::capacity::report::CapacityReport;

/// Runs `amaranth-lab capacity` and returns its exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = match CapacityArguments::parse(arguments) {
        Ok(CapacityCommand::Run(arguments)) => arguments,
        Ok(CapacityCommand::Help) => {
            print!("{}", arguments::HELP);
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("amaranth-lab capacity: {error}; see amaranth-lab capacity --help");
            return usage_exit();
        }
    };
    match measure(&arguments).and_then(|report| report.publish(&arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("amaranth-lab capacity: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(arguments: &CapacityArguments) -> Result<CapacityReport> {
    let mut slopes = load_cost::measure(arguments)?;
    slopes.extend(state_cost::measure());
    Ok(CapacityReport { slopes })
}
