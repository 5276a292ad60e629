//! The subcommands of `amaranth-lab`.

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
amaranth-lab: the demo and the experiments of amaranthfield, on loopback

Usage: amaranth-lab COMMAND [OPTIONS]

Commands:
  config    Measures what configuration costs
  bench     Measures the latency that entry and agent add
  capacity  Measures what load and state cost each role
  demo      Runs both deployments' shapes and checks every promise
  detect    Compares failure detectors on seeded heartbeats
  faults    Runs a fleet under faults and checks every promise
  overload  Offers a small fleet more than it can carry
  policy    Replays placement decisions against baselines
  help      Prints this help

Each command has its own --help.
Exit status: 0 on success, 1 when a promise broke or a run failed, 2 for a bad command line.
";

/// Runs the subcommand that `arguments` name and returns the exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let mut rest = arguments.into_iter();
    let Some(command) = rest.next() else {
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
        Some("config") => config_bench::run(rest),
        Some("bench") => bench::run(rest),
        Some("capacity") => capacity::run(rest),
        Some("demo") => demo::run(rest),
        Some("detect") => detect::run(rest),
        Some("faults") => faults::run(rest),
        Some("overload") => overload::run(rest),
        Some("policy") => policy::run(rest),
        _ => {
            eprintln!("amaranth-lab: unknown command {command:?}; see amaranth-lab help");
            usage_exit()
        }
    }
}
