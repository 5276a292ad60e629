//! The startup of the long-running programs: the arguments and the settings are checked before
//! the program runs.

use std::path::Path;
use std::process::ExitCode;

use miette::Report;

use crate::arguments::{ProgramArguments, ProgramInfo};
use crate::settings::{self, CheckedSettings};
use crate::usage_exit;

/// Reads the command line and the settings file it names, and runs `work` with the settings.
///
/// Nothing starts before the settings are checked. `--help` lists the exit codes.
pub fn run<Settings, Work>(info: &ProgramInfo, work: Work) -> ExitCode
where
    Settings: CheckedSettings,
    Work: FnOnce(Settings) -> miette::Result<()>,
{
    let arguments = match ProgramArguments::parse(info, std::env::args_os().skip(1)) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{}: {error}", info.name);
            return usage_exit();
        }
    };
    let (path, check) = match arguments {
        ProgramArguments::Print(text) => {
            println!("{text}");
            return ExitCode::SUCCESS;
        }
        ProgramArguments::Run { settings, check } => (settings, check),
    };
    run_with(&path, check, work)
}

/// Reads and checks the settings in the file at `path`, and runs `work` with them.
///
/// With `check` set, reports that the settings are valid and returns.
///
/// Nothing starts before the settings are checked.
pub fn run_with<Settings, Work>(path: &Path, check: bool, work: Work) -> ExitCode
where
    Settings: CheckedSettings,
    Work: FnOnce(Settings) -> miette::Result<()>,
{
    let settings: Settings = match settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{:?}", Report::new(error));
            return usage_exit();
        }
    };
    if check {
        println!("{} is good", path.display());
        return ExitCode::SUCCESS;
    }
    match work(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
