//! The commands of `amaranthctl`.

mod append;
mod apply;
mod check;
mod diff;
mod drain;
mod edit_list;
mod explain;
mod explain_logs;
mod history;
mod status;

use crate::arguments::Command;
use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::output::CommandOutput;
use crate::settings::CtlSettings;

/// Runs one command.
///
/// # Errors
///
/// Returns the failure of the command, with its exit status.
pub async fn run_command(
    command: Command,
    settings: &CtlSettings,
    output: &mut CommandOutput,
) -> Result<ExitStatus, CommandError> {
    match command {
        Command::Check(folder) => check::run(&folder, output),
        Command::Diff { folder, base } => diff::run(&folder, base, settings, output).await,
        Command::Apply(options) => apply::run(&options, settings, output).await,
        Command::Status => status::run(settings, output).await,
        Command::History { limit } => history::run(limit, settings, output).await,
        Command::Explain { word, logs } if logs.is_empty() => {
            explain::run(&word, settings, output).await
        }
        Command::Explain { word, logs } => explain_logs::run(&word, &logs, output),
        Command::Drain(options) => drain::run(&options, settings, output).await,
    }
}
