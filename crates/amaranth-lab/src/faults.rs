//! Fault runs: a fleet under load with a seeded schedule of single faults and pairs of faults.

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

/// Mean number of calls per second for each engine.
const RATE_PER_ENGINE: f64 = 2.0;

/// Adapter slots of each engine in a fault run: few, so that adapters are evicted under load.
const ADAPTER_SLOTS: u16 = 2;

/// Number of adapter slots in the fleet for each excess adapter. The calls use as many adapters as
/// the fleet has slots, plus the excess ones, so that not all fit.
const SLOTS_PER_EXCESS_ADAPTER: u32 = 4;

/// Zipf exponent of the adapters' popularity.
const POPULARITY_EXPONENT: f64 = 1.0;

/// Time without faults at the end of a run, within which the fleet must recover.
pub const QUIET_TIME: Duration = Duration::from_secs(10);

/// Runs `amaranth-lab faults` with the arguments after `faults` and returns its exit status.
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

/// Runs a schedule of faults on a new fleet and returns the report.
///
/// # Errors
///
/// Returns an error if the fleet can't be started, a configuration change can't be made or a
/// process can't be restarted.
pub async fn run_faults(arguments: &FaultArguments) -> Result<FaultReport> {
    let shape = DeploymentShape {
        adapter_slots: ADAPTER_SLOTS,
        ..DeploymentShape::of(arguments.deployment)
    };
    let schedule = FaultSchedule::draw(arguments.seed, arguments.duration, &arguments.only);
    let fleet = DemoFleet::spawn(shape).await?;
    let slots = fleet.engines.len() as u32 * u32::from(ADAPTER_SLOTS);
    let adapters = slots + slots / SLOTS_PER_EXCESS_ADAPTER;
    let options = WorkloadOptions {
        seed: arguments.seed,
        rate: RATE_PER_ENGINE * fleet.engines.len() as f64,
        exponent: POPULARITY_EXPONENT,
        adapters,
    };
    let mut run = FleetRun::spawn(fleet, options);
    let mut injector = FaultInjector::new();
    for window in schedule.windows() {
        run.sample_until(window.begin).await;
        if !arguments.json {
            eprintln!("{:>5.1} s  {window}", run.elapsed().as_secs_f64());
        }
        for fault in &window.faults {
            injector.inject(&mut run, *fault).await?;
        }
        run.sample_until(window.end).await;
        for fault in &window.faults {
            injector.revert(&mut run, *fault).await?;
        }
    }
    let faults_ended_at = run.elapsed();
    run.sample_until(faults_ended_at + QUIET_TIME).await;
    let finished = run.finish().await;
    let report = FaultReport::collect(&finished, &schedule, faults_ended_at, arguments);
    finished.fleet.stop().await;
    Ok(report)
}
