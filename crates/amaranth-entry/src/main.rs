//! The `amaranth-entry` program.

use std::process::ExitCode;

use amaranth_entry::{EntryPorts, EntryProcess, EntrySettings};
use amaranth_telemetry::arguments::ProgramInfo;
use amaranth_telemetry::shutdown::ShutdownSignal;
use amaranth_telemetry::{logs, metrics, program, spans};
use miette::IntoDiagnostic;

const INFO: ProgramInfo = ProgramInfo {
    name: "amaranth-entry",
    version: env!("CARGO_PKG_VERSION"),
    about: "Serves callers over HTTP and routes their requests to the agents of the endpoints.",
    example: include_str!("../../../examples/entry.toml"),
};

fn main() -> ExitCode {
    program::run(&INFO, run)
}

#[tokio::main(flavor = "current_thread")]
async fn run(settings: EntrySettings) -> miette::Result<()> {
    logs::install(settings.log_level).into_diagnostic()?;
    let export = spans::install(INFO.name, settings.collector.as_deref()).into_diagnostic()?;
    let metrics = metrics::install().into_diagnostic()?;
    let mut signal = ShutdownSignal::listen().into_diagnostic()?;
    let ports = EntryPorts::open(&settings, metrics);
    let mut process = EntryProcess::spawn_with(settings, ports)
        .await
        .into_diagnostic()?;
    let cause = tokio::select! {
        name = signal.wait() => name,
        () = process.drain_requested() => "operator",
    };
    log::info!("event=stop_requested cause={cause}");
    process.drain().await;
    export.close();
    Ok(())
}
