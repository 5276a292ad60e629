//! Logs: one line of key=value pairs for each event.

use std::time::SystemTime;

use fern::{Dispatch, Output};
use log::{Level, LevelFilter, Metadata};

use crate::log_writer::{self, LineSender};

/// Installs a logger that writes to standard error.
///
/// # Errors
///
/// Returns an error if a logger is installed already.
pub fn open(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    lines(level).chain(std::io::stderr()).apply()
}

/// Installs a logger that writes to standard output from a thread of its own and never blocks.
///
/// # Errors
///
/// Returns an error if a logger is installed already.
pub fn open_bounded(level: LevelFilter) -> Result<LineSender, log::SetLoggerError> {
    let sender = log_writer::spawn(std::io::stdout());
    let lines_to = sender.clone();
    let output = Output::call(move |record| lines_to.send(record.args().to_string()));
    lines(level).chain(output).apply()?;
    Ok(sender)
}

/// Writes events as lines.
fn lines(level: LevelFilter) -> Dispatch {
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

/// Returns whether a line comes from a crate of amaranthfield rather than a library.
fn is_own(metadata: &Metadata<'_>) -> bool {
    metadata.target().starts_with("amaranth")
}
