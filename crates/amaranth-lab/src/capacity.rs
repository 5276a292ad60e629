//! Slopes of processor time and memory, measured on one path from caller to engine.
//!
//! Processor time is the operating system's accounting of each thread, grouped by the role that
//! the thread's name tells. Memory is the whole process's, so it bounds each role from above.

pub mod arguments;
pub mod line_fit;
pub mod plot;
pub mod process_meter;
pub mod report;
pub mod slopes;
pub mod state_cost;
pub mod test_path;

use std::ffi::OsString;
use std::process::ExitCode;

use amaranth_core::errors::Result;
use amaranth_telemetry::usage_exit;

use crate::capacity::arguments::{CapacityArguments, CapacityCommand};
use crate::capacity::report::CapacityReport;

/// Runs `amaranth-lab capacity`.
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
    let mut slopes = slopes::measure(arguments)?;
    slopes.extend(state_cost::measure());
    Ok(CapacityReport { slopes })
}
