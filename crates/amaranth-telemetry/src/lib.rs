//! Infrastructure shared by the programs of amaranthfield: command line, checked settings, logs,
//! metrics, spans, health pages and shutdown.
//!
//! Only a program's `main` installs process-wide state ([`logs::install`], [`metrics::install`],
//! [`spans::install`]); libraries record through the usual facades.

pub mod admin;
pub mod arguments;
pub mod decision_log;
pub mod log_writer;
pub mod logs;
pub mod metrics;
pub mod program;
pub mod settings;
pub mod shutdown;
pub mod spans;

use std::process::ExitCode;

/// The exit status for a bad command line or bad settings.
pub const EXIT_USAGE: u8 = 2;

/// Returns the exit code for a bad command line or bad settings.
pub fn usage_exit() -> ExitCode {
    ExitCode::from(EXIT_USAGE)
}
