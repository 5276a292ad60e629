//! The agent program.

use std::process::ExitCode;

use amaranth_agent::control_thread::ControlThread;
use amaranth_agent::{AgentParts, AgentPorts, AgentProcess, AgentSettings};
use amaranth_telemetry::arguments::ProgramInfo;
use amaranth_telemetry::shutdown::ShutdownSignal;
use amaranth_telemetry::{logs, metrics, program, spans};
use miette::{IntoDiagnostic, Result};

const PROGRAM: ProgramInfo = ProgramInfo {
    name: "amaranth-agent",
    version: env!("CARGO_PKG_VERSION"),
    about: "Gives its endpoints orders and work, and keeps their answers until they are read.",
    example: include_str!("../../../examples/agent.toml"),
};

fn main() -> ExitCode {
    program::run(&PROGRAM, run)
}

#[tokio::main]
async fn run(settings: AgentSettings) -> Result<()> {
    logs::install(settings.log_level).into_diagnostic()?;
    let export = spans::install(PROGRAM.name, settings.collector.as_deref()).into_diagnostic()?;
    let mut signal = ShutdownSignal::listen().into_diagnostic()?;
    let parts = AgentParts {
        ports: AgentPorts::open(&settings),
        metrics: metrics::install().into_diagnostic()?,
        control: ControlThread::spawn("agent-control").into_diagnostic()?,
    };
    let agent = AgentProcess::spawn_with(settings, parts)
        .await
        .into_diagnostic()?;
    tokio::select! {
        name = signal.wait() => log::info!("event=shutdown_requested signal={name}"),
        () = agent.drained() => log::info!("event=shutdown_requested signal=drain"),
    }
    agent.drain().await;
    export.close();
    Ok(())
}
