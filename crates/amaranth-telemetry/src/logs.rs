//! The process-wide logger, which writes one line of key=value pairs for each event.

use std::time::SystemTime;

use fern::{Dispatch, Output};
use log::{Level, LevelFilter, Metadata};

use crate::log_writer::{self, LineSender};

/// Installs a logger that writes to standard error.
///
/// # Errors
///
/// Returns an error if a logger is installed already.
pub fn install(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    line_dispatch(level).chain(std::io::stderr()).apply()
}

/// Installs a logger that writes to standard output from a background thread and never blocks the
/// logging thread.
///
/// # Errors
///
/// Returns an error if a logger is installed already.
pub fn install_nonblocking(level: LevelFilter) -> Result<LineSender, log::SetLoggerError> {
    let sender = log_writer::spawn(std::io::stdout());
    let line_sender = sender.clone();
    let output = Output::call(move |record| line_sender.send(record.args().to_string()));
    line_dispatch(level).chain(output).apply()?;
    Ok(sender)
}

/// Returns a dispatch that formats events as lines and filters them by level and target.
fn line_dispatch(level: LevelFilter) -> Dispatch {
    Dispatch::new()
        .format(|out, message, record| {
            out.finish(format_args!(
                "ts={} level={} target={} {}",
                humantime::format_rfc3339_millis(SystemTime::now()),
                record.level().as_str().to_ascii_lowercase(),
                record.target(),
                message
            ));
        })
        .level(level)
        .filter(|metadata| is_own(metadata) || metadata.level() <= Level::Warn)
}

/// Returns whether an event comes from a crate of amaranthfield rather than a library.
fn is_own(metadata: &Metadata<'_>) -> bool {
    metadata.target().starts_with("amaranth")
}
