//! Measurement of a small fleet's goodput when the offered load exceeds its capacity.

pub mod arguments;
pub mod load_generator;
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
use crate::overload::load_generator::LoadGenerator;
use crate::overload::report::OverloadReport;

/// Offered load levels, as multiples of the measured capacity.
const LEVELS: [f64; 4] = [0.5, 1.0, 2.0, 4.0];

/// Number of engines of the fleet.
const ENGINES: usize = 2;

/// Maximum number of requests in an engine's batch.
const BATCH_SLOTS: u16 = 8;

/// Number of adapters, all of which are resident on every engine after the warm-up.
const ADAPTERS: u32 = 4;

/// Deadline of requests while the capacity is measured, long so that none is refused.
const CAPACITY_DEADLINE: Duration = Duration::from_secs(60);

/// Requests in flight per batch slot while the capacity is measured, more than one so that no slot
/// idles.
const REQUESTS_PER_SLOT: usize = 3;

/// Duration of the warm-up before the capacity is measured.
const WARM_UP: Duration = Duration::from_secs(5);

/// Runs `amaranth-lab overload` and returns its exit code.
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

/// Returns the shape of a small fleet in one data centre.
fn fleet_shape() -> DeploymentShape {
    let full = DeploymentShape::of(Deployment::Tokachi);
    DeploymentShape {
        data_centres: full.data_centres[..1].to_vec(),
        engines: ENGINES,
        service_instances: 1,
        adapters: ADAPTERS,
        batch_slots: BATCH_SLOTS,
        ..full
    }
}

/// Measures the capacity of a small fleet and its goodput at each load level.
///
/// # Errors
///
/// Returns an error if the fleet can't be started or has no entry.
#[tokio::main]
pub async fn measure(arguments: &OverloadArguments) -> Result<OverloadReport> {
    let fleet = DemoFleet::spawn(fleet_shape()).await?;
    let entry = first_entry(&fleet)?;
    let capacity_generator = LoadGenerator::new(entry, &fleet.shape, CAPACITY_DEADLINE);
    let concurrency = ENGINES * usize::from(BATCH_SLOTS) * REQUESTS_PER_SLOT;
    capacity_generator.saturate(concurrency, WARM_UP).await;
    let capacity = capacity_generator
        .saturate(concurrency, arguments.duration)
        .await;
    let generator = LoadGenerator::new(entry, &fleet.shape, arguments.deadline);
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
