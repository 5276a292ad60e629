//! Fault runs: the demo fleet under a seeded schedule of faults, singly and in pairs.

pub mod arguments;
pub mod fault_kind;
pub mod injector;
pub mod report;
pub mod schedule;

use std::ffi::OsString;
use std::process::ExitCode;
use std::time::Duration;

use amaranth_core::errors::Result;
use amaranth_telemetry::usage_exit;

use crate::faults::arguments::{FaultArguments, FaultCommand};
use crate::faults::injector::FaultInjector;
use crate::faults::report::FaultReport;
use crate::faults::schedule::FaultSchedule;
use crate::fleet::demo_fleet::DemoFleet;
use crate::fleet::fleet_run::FleetRun;
use crate::fleet::shape::DeploymentShape;
use crate::workload::runner::WorkloadOptions;

/// Calls per second and engine.
const RATE_PER_ENGINE: f64 = 2.0;

/// Adapters that an engine of a fault run holds: few, so that adapters are evicted under load.
const ADAPTER_SLOTS: u16 = 2;

/// One adapter in this many is called beyond those that all slots hold.
const EXCESS_SHARE: u32 = 4;

/// The exponent of the popularity law.
const POPULARITY_EXPONENT: f64 = 1.0;

/// Quiet time at the end, in which the fleet must have recovered.
pub const QUIET_TIME: Duration = Duration::from_secs(10);

/// Runs `amaranth-lab faults`.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = match FaultArguments::parse(arguments) {
        Ok(FaultCommand::Run(arguments)) => arguments,
        Ok(FaultCommand::Help) => {
            print!("{}", arguments::HELP);
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("amaranth-lab faults: {error}; see amaranth-lab faults --help");
            return usage_exit();
        }
    };
    let outcome = tokio::runtime::Runtime::new()
        .map_err(|error| amaranth_core::errors::internal(error.to_string()))
        .and_then(|runtime| runtime.block_on(run_faults(&arguments)));
    match outcome {
        Ok(report) => {
            report.print(arguments.json);
            if report.is_clean() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("amaranth-lab faults: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the schedule on a fresh fleet and returns the report.
///
/// # Errors
///
/// Returns an error when the fleet can't be started or a process can't be started again.
pub async fn run_faults(arguments: &FaultArguments) -> Result<FaultReport> {
    let shape = DeploymentShape {
        adapter_slots: ADAPTER_SLOTS,
        ..DeploymentShape::of(arguments.deployment)
    };
    let schedule = FaultSchedule::draw(arguments.seed, arguments.duration, &arguments.only);
    let fleet = DemoFleet::spawn(shape).await?;
    let slots = fleet.engines.len() as u32 * u32::from(ADAPTER_SLOTS);
    let adapters = slots + slots / EXCESS_SHARE;
    let options = WorkloadOptions {
        seed: arguments.seed,
        rate: RATE_PER_ENGINE * fleet.engines.len() as f64,
        exponent: POPULARITY_EXPONENT,
        adapters,
    };
    let mut run = FleetRun::spawn(fleet, options);
    let mut injector = FaultInjector::open();
    for window in schedule.windows() {
        run.serve_until(window.begin).await;
        if !arguments.json {
            eprintln!("{:>5.1} s  {window}", run.elapsed().as_secs_f64());
        }
        for fault in &window.faults {
            injector.inject(&mut run, *fault).await?;
        }
        run.serve_until(window.end).await;
        for fault in &window.faults {
            injector.lift(&mut run, *fault).await?;
        }
    }
    let quiet_from = run.elapsed();
    run.serve_until(quiet_from + QUIET_TIME).await;
    let finished = run.finish().await;
    let report = FaultReport::collect(&finished, &schedule, quiet_from, arguments);
    finished.fleet.stop().await;
    Ok(report)
}
