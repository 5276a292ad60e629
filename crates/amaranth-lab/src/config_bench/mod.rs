//! `amaranth-lab config`: what configuration costs in bytes, time and memory, and how long a
//! change takes until it is in force.

mod arguments;
mod change_cost;
mod in_force;
mod memory;
mod report;
mod size;
mod source;

use std::ffi::OsString;
use std::process::ExitCode;

use amaranth_telemetry::usage_exit;

use arguments::BenchArguments;
use report::BenchReport;

/// Runs the measurements that `arguments` ask for and prints their report.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let options = match BenchArguments::parse(arguments) {
        Ok(BenchArguments::Run(options)) => options,
        Ok(BenchArguments::Help) => {
            print!("{}", arguments::HELP);
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("amaranth-lab config: {error}; see --help");
            return usage_exit();
        }
    };
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("amaranth-lab config: {error}");
            return ExitCode::FAILURE;
        }
    };
    // Memory is measured first, while the process holds nothing else.
    let size = size::measure(options.adapters);
    let costs = change_cost::measure(&options.sizes, options.changes);
    let in_force = runtime.block_on(in_force::measure(&options));
    let in_force = match in_force {
        Ok(in_force) => in_force,
        Err(error) => {
            eprintln!("amaranth-lab config: {error}");
            return ExitCode::FAILURE;
        }
    };
    let report = BenchReport {
        size,
        costs,
        in_force,
    };
    println!("{report}");
    if report.meets_targets() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
