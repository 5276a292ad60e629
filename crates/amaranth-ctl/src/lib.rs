//! The command line tool for operators.
//!
//! Every command ends with one [`exit::ExitStatus`] and prints one report, as text or, with
//! `--json`, as one JSON object.

pub mod arguments;
pub mod commands;
pub mod daemons;
pub mod error;
pub mod exit;
pub mod folder_reader;
pub mod log_history;
pub mod output;
pub mod settings;

use std::ffi::OsString;

use arguments::{Invocation, ParsedArguments};
use commands::run_command;
use exit::ExitStatus;
use output::CommandOutput;

/// Runs the command that `arguments` name and returns its exit status.
pub async fn run(
    arguments: impl IntoIterator<Item = OsString>,
    mut output: CommandOutput,
) -> ExitStatus {
    let invocation = match ParsedArguments::parse(arguments) {
        Ok(ParsedArguments::Run(invocation)) => invocation,
        Ok(ParsedArguments::Print(text)) => {
            output.print_text(&text);
            return ExitStatus::Success;
        }
        Err(error) => {
            output.print_error(&error);
            return error.status;
        }
    };
    let Invocation {
        command,
        settings,
        json,
    } = *invocation;
    output.set_json(json);
    match run_command(command, &settings, &mut output).await {
        Ok(status) => status,
        Err(error) => {
            output.print_error(&error);
            error.status
        }
    }
}
