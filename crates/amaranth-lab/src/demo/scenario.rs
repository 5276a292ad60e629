//! Scenario of the demo: load, a configuration change and the planned stop of an agent.

use std::time::Duration;

use amaranth_core::errors::Result;
use indicatif::{ProgressBar, ProgressStyle};

use crate::demo::arguments::DemoArguments;
use crate::demo::report::DemoReport;
use crate::fleet::demo_fleet::DemoFleet;
use crate::fleet::fleet_run::FleetRun;
use crate::fleet::shape::DeploymentShape;
use crate::workload::runner::WorkloadOptions;

/// Calls per second for each engine.
const RATE_PER_ENGINE: f64 = 4.0;

/// Time that the weight store needs for the first load of every called adapter, in seconds.
const COLD_LOAD_SECONDS: f64 = 6.0;

/// Exponent of the Zipf distribution of calls over adapters.
const POPULARITY_EXPONENT: f64 = 1.0;

/// Adapter version that the configuration change makes current.
const SECOND_VERSION: u64 = 2;

/// Index of the engine whose agent is drained.
const DRAINED_ENGINE: usize = 0;

/// Runs the scenario on one deployment's fleet and returns its report.
///
/// # Errors
///
/// Returns an error if the fleet can't be started or its configuration can't be changed.
pub async fn run_scenario(shape: DeploymentShape, arguments: &DemoArguments) -> Result<DemoReport> {
    let progress = progress_bar(&shape);
    progress.set_message("starting the fleet");
    let fleet = DemoFleet::spawn(shape).await?;
    let adapters = (fleet.shape.store_rate.0 * COLD_LOAD_SECONDS) as u32;
    let options = WorkloadOptions {
        seed: arguments.seed,
        rate: RATE_PER_ENGINE * fleet.engines.len() as f64,
        exponent: POPULARITY_EXPONENT,
        adapters,
    };
    let mut run = FleetRun::spawn(fleet, options);
    run_steps(&mut run, arguments.duration, &progress).await?;
    progress.set_message("finishing");
    let finished = run.finish().await;
    progress.finish_and_clear();
    let report = DemoReport::collect(&finished);
    finished.fleet.stop().await;
    Ok(report)
}

/// Changes the configuration after a third of the duration and drains an agent after half of it.
async fn run_steps(run: &mut FleetRun, duration: Duration, progress: &ProgressBar) -> Result<()> {
    progress.set_message("serving");
    run.sample_until(duration / 3).await;
    progress.set_message("changing the configuration");
    run.change_configuration(SECOND_VERSION).await?;
    run.sample_until(duration / 2).await;
    progress.set_message("draining one agent");
    run.drain_agent(DRAINED_ENGINE).await;
    progress.set_message("serving without the drained agent");
    run.sample_until(duration).await;
    Ok(())
}

fn progress_bar(shape: &DeploymentShape) -> ProgressBar {
    let style = ProgressStyle::with_template("{spinner} {prefix} {elapsed} {msg}")
        .unwrap_or_else(|_| ProgressStyle::default_spinner());
    let bar = ProgressBar::new_spinner()
        .with_style(style)
        .with_prefix(shape.deployment.to_string());
    bar.enable_steady_tick(Duration::from_millis(100));
    bar
}
