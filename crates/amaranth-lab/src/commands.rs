//! Selection of the subcommand of `amaranth-lab`.

use std::ffi::OsString;
use std::process::ExitCode;

use amaranth_telemetry::usage_exit;

use crate::bench;
use crate::capacity;
use crate::config_bench;
use crate::demo;
use crate::detect;
use crate::faults;
use crate::overload;
use crate::policy;

const HELP: &str = "\
amaranth-lab: demo, load tests and experiments of amaranthfield on loopback

Usage: amaranth-lab COMMAND [OPTIONS]

Commands:
  config    Measures the time and memory that configuration takes
  bench     Measures the latency that entry and agent add
  capacity  Measures the CPU time and memory that load and state cost
  demo      Runs small fleets of both deployments and checks every promise
  detect    Compares failure detectors on generated heartbeats
  faults    Runs a fleet with injected faults and checks every promise
  overload  Offers a small fleet more load than its capacity
  policy    Replays a workload to compare placement policies with baselines
  help      Prints this help

Each command has its own --help.
Exit status: 0 on success, 1 when a promise was violated or a run failed, 2 for a bad command line.
";

/// Runs the subcommand that the first argument names and returns its exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let mut remaining = arguments.into_iter();
    let Some(command) = remaining.next() else {
        eprint!("{HELP}");
        return usage_exit();
    };
    match command.to_str() {
        Some("help" | "--help" | "-h") => {
            print!("{HELP}");
            ExitCode::SUCCESS
        }
        Some("--version" | "-V") => {
            println!("amaranth-lab {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Some("config") => config_bench::run(remaining),
        Some("bench") => bench::run(remaining),
        Some("capacity") => capacity::run(remaining),
        Some("demo") => demo::run(remaining),
        Some("detect") => detect::run(remaining),
        Some("faults") => faults::run(remaining),
        Some("overload") => overload::run(remaining),
        Some("policy") => policy::run(remaining),
        _ => {
            eprintln!("amaranth-lab: unknown command {command:?}; see amaranth-lab help");
            usage_exit()
        }
    }
}
