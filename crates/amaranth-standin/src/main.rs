//! Runs stand-ins for the log, VM list, weight store, an engine and a plain service.

use std::process::ExitCode;

use amaranth_standin::process::StandinProcess;
use amaranth_standin::settings::{EXAMPLE, StandinSettings};
use amaranth_telemetry::admin::{self, ReadyFlag};
use amaranth_telemetry::arguments::ProgramInfo;
use amaranth_telemetry::shutdown::ShutdownSignal;
use amaranth_telemetry::{logs, metrics, program};
use miette::IntoDiagnostic;

const INFO: ProgramInfo = ProgramInfo {
    name: "amaranth-standin",
    version: env!("CARGO_PKG_VERSION"),
    about: "Runs stand-ins for the log, VM list, weight store, engines and services.",
    example: EXAMPLE,
};

fn main() -> ExitCode {
    program::run(&INFO, run)
}

#[tokio::main]
async fn run(settings: StandinSettings) -> miette::Result<()> {
    logs::install(settings.log_level).into_diagnostic()?;
    let metrics = metrics::install().into_diagnostic()?;
    let ready = ReadyFlag::default();
    let mut shutdown = ShutdownSignal::listen().into_diagnostic()?;
    let admin = admin::bind(settings.admin, metrics, ready.clone())
        .await
        .into_diagnostic()?;
    log::info!("event=listening page=admin address={}", admin.address());
    let process = StandinProcess::spawn(settings).await.into_diagnostic()?;
    ready.set(true);
    let signal = shutdown.wait().await;
    ready.set(false);
    log::info!("event=draining signal={signal}");
    process.drain().await;
    log::info!("event=stopped");
    Ok(())
}
