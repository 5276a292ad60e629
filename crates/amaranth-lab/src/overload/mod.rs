//! Offers a small fleet more than it can carry and measures what still comes through.

pub mod arguments;
pub mod load;
pub mod report;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use amaranth_core::errors::{Result, internal};
use amaranth_telemetry::usage_exit;

use crate::fleet::demo_fleet::DemoFleet;
use crate::fleet::shape::{Deployment, DeploymentShape};
use crate::overload::arguments::{HELP, OverloadArguments};
use crate::overload::load::LoadGenerator;
use crate::overload::report::OverloadReport;

/// Offered load, as a multiple of the measured capacity.
const LEVELS: [f64; 4] = [0.5, 1.0, 2.0, 4.0];

/// Engines of the fleet.
const ENGINES: usize = 2;

/// Requests that each engine batches at once.
const BATCH_SLOTS: u16 = 8;

/// Adapters, which all engines hold after the warm-up.
const ADAPTERS: u32 = 4;

/// The deadline of requests while the capacity is measured, so that none is refused.
const CAPACITY_DEADLINE: Duration = Duration::from_secs(60);

/// Requests in flight for each batch slot while the capacity is measured, so that no slot idles.
const CAPACITY_FACTOR: usize = 3;

/// How long the fleet is warmed up before its capacity is measured.
const WARM_UP: Duration = Duration::from_secs(5);

/// Runs the subcommand with its arguments and returns the exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = match OverloadArguments::parse(arguments) {
        Ok(Some(arguments)) => arguments,
        Ok(None) => {
            print!("{HELP}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("amaranth-lab overload: {error}");
            return usage_exit();
        }
    };
    match measure(&arguments) {
        Ok(report) if arguments.json => println!("{}", report.to_json()),
        Ok(report) => print!("{}", report.to_table()),
        Err(error) => {
            eprintln!("amaranth-lab overload: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn shape() -> DeploymentShape {
    let whole = DeploymentShape::of(Deployment::Tokachi);
    DeploymentShape {
        data_centres: whole.data_centres[..1].to_vec(),
        engines: ENGINES,
        service_instances: 1,
        adapters: ADAPTERS,
        batch_slots: BATCH_SLOTS,
        ..whole
    }
}

/// Measures the capacity of a small fleet and what it does beyond.
///
/// # Errors
///
/// Returns an error when the fleet does not start.
#[tokio::main]
pub async fn measure(arguments: &OverloadArguments) -> Result<OverloadReport> {
    let fleet = DemoFleet::spawn(shape()).await?;
    let entry = first_entry(&fleet)?;
    let patient = LoadGenerator::open(entry, &fleet.shape, CAPACITY_DEADLINE);
    let workers = ENGINES * usize::from(BATCH_SLOTS) * CAPACITY_FACTOR;
    patient.saturate(workers, WARM_UP).await;
    let capacity = patient.saturate(workers, arguments.duration).await;
    let generator = LoadGenerator::open(entry, &fleet.shape, arguments.deadline);
    let mut levels = Vec::new();
    for level in LEVELS {
        let rate = capacity.per_second() * level;
        levels.push(generator.offer(level, rate, arguments.duration).await);
    }
    Ok(OverloadReport {
        capacity,
        deadline: arguments.deadline,
        levels,
    })
}

fn first_entry(fleet: &DemoFleet) -> Result<SocketAddr> {
    let addresses = fleet.entry_addresses();
    let first = addresses.first().copied();
    first.ok_or_else(|| internal("the fleet has no entry"))
}
