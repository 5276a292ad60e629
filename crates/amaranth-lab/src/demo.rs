//! Demo that runs a small fleet of each deployment under load and checks the promises.

pub mod arguments;
pub mod interactive;
pub mod report;
pub mod scenario;

use std::ffi::OsString;
use std::process::ExitCode;

use amaranth_core::errors::Result;
use amaranth_telemetry::{logs, usage_exit};

use crate::demo::arguments::{DemoArguments, DemoCommand};
use crate::demo::report::DemoReport;
use crate::demo::scenario::run_scenario;
use crate::fleet::shape::DeploymentShape;

/// Runs `amaranth-lab demo` and returns its exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = match DemoArguments::parse(arguments) {
        Ok(DemoCommand::Run(arguments)) => arguments,
        Ok(DemoCommand::Help) => {
            print!("{}", arguments::HELP);
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("amaranth-lab demo: {error}; see amaranth-lab demo --help");
            return usage_exit();
        }
    };
    if let Err(error) = logs::install(arguments.log_level) {
        eprintln!("amaranth-lab demo: logging can't be set up: {error}");
        return ExitCode::FAILURE;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("amaranth-lab demo: the runtime can't be started: {error}");
            return ExitCode::FAILURE;
        }
    };
    let outcome = runtime.block_on(async {
        if arguments.keep {
            interactive::run_until_shutdown(&arguments).await
        } else {
            run_deployments(&arguments).await
        }
    });
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("amaranth-lab demo: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the scenario of each deployment in turn and returns whether every promise held.
async fn run_deployments(arguments: &DemoArguments) -> Result<bool> {
    let mut clean = true;
    for deployment in &arguments.deployments {
        let shape = DeploymentShape::of(*deployment);
        let report: DemoReport = run_scenario(shape, arguments).await?;
        println!("{report}");
        clean &= report.is_clean();
    }
    if clean {
        println!("Every promise held.");
    } else {
        println!("At least one promise broke.");
    }
    Ok(clean)
}
