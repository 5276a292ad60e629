//! `amaranth-lab config`: measures the size, memory and processing time of configuration, and the
//! time until a change is in force.

mod arguments;
mod catalogue_size;
mod change_cost;
mod generated_config;
mod memory;
mod propagation;
mod report;

use std::ffi::OsString;
use std::process::ExitCode;

use amaranth_telemetry::usage_exit;

use arguments::BenchArguments;
use report::BenchReport;

/// Runs `amaranth-lab config` with the arguments after that word, prints the report and returns the
/// exit code.
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
    // Memory is measured first, before the other measurements allocate any.
    let size = catalogue_size::measure(options.adapters);
    let costs = change_cost::measure(&options.sizes, options.changes);
    let propagation = runtime.block_on(propagation::measure(&options));
    let propagation = match propagation {
        Ok(propagation) => propagation,
        Err(error) => {
            eprintln!("amaranth-lab config: {error}");
            return ExitCode::FAILURE;
        }
    };
    let report = BenchReport {
        size,
        costs,
        propagation,
    };
    println!("{report}");
    if report.meets_targets() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
