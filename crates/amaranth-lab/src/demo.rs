//! The demo: both deployments' shapes, driven by callers, judged by the checker.

pub mod arguments;
pub mod keep;
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

/// Runs `amaranth-lab demo`.
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
        eprintln!("amaranth-lab demo: no logs: {error}");
        return ExitCode::FAILURE;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("amaranth-lab demo: no runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    let outcome = runtime.block_on(async {
        if arguments.keep {
            keep::run(&arguments).await
        } else {
            run_all(&arguments).await
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

/// Runs each deployment in turn and returns whether every promise held.
async fn run_all(arguments: &DemoArguments) -> Result<bool> {
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
