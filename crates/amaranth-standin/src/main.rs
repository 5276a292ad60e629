//! Runs stand-ins of the platform, an engine and a plain service.

use std::process::ExitCode;

use amaranth_standin::process::StandinProcess;
use amaranth_standin::settings::{EXAMPLE, StandinSettings};
use amaranth_telemetry::admin::{self, ReadyFlag};
use amaranth_telemetry::arguments::{ProgramArguments, ProgramInfo};
use amaranth_telemetry::shutdown::ShutdownSignal;
use amaranth_telemetry::{logs, metrics, settings, usage_exit};
use miette::{IntoDiagnostic, Report};

const INFO: ProgramInfo = ProgramInfo {
    name: "amaranth-standin",
    version: env!("CARGO_PKG_VERSION"),
    about: "Stands in for the platform, an engine or a plain service, in tests and demos.",
    example: EXAMPLE,
};

fn main() -> ExitCode {
    let arguments = match ProgramArguments::parse(&INFO, std::env::args_os().skip(1)) {
        Ok(arguments) => arguments,
        Err(error) => return bad_usage(&Report::msg(error.to_string())),
    };
    let (path, check) = match arguments {
        ProgramArguments::Print(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        ProgramArguments::Run { settings, check } => (settings, check),
    };
    let settings: StandinSettings = match settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => return bad_usage(&Report::new(error)),
    };
    if check {
        println!("{} is good", path.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:?}");
            ExitCode::FAILURE
        }
    }
}

fn bad_usage(error: &Report) -> ExitCode {
    eprintln!("{error:?}");
    usage_exit()
}

#[tokio::main]
async fn run(settings: StandinSettings) -> miette::Result<()> {
    logs::open(settings.log_level).into_diagnostic()?;
    let metrics = metrics::open().into_diagnostic()?;
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
