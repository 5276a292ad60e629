//! Logs: one line of key=value pairs for each event, on standard error.

use std::time::SystemTime;

use log::{Level, LevelFilter, Metadata};

use crate::log_writer::{self, LineSender};

/// Installs the logger of the process.
///
/// # Errors
///
/// Returns an error if a logger is installed already.
pub fn open(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
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
        .chain(std::io::stderr())
        .apply()
}

/// Returns whether a line comes from a crate of amaranthfield rather than a library.
fn is_own(metadata: &Metadata<'_>) -> bool {
    metadata.target().starts_with("amaranth")
}

/// Installs a logger that writes to standard output from a thread of its own and never blocks.
///
/// # Errors
///
/// Returns an error if a logger is installed already.
pub fn open_bounded(level: LevelFilter) -> Result<LineSender, log::SetLoggerError> {
    let sender = log_writer::spawn(std::io::stdout());
    let lines = sender.clone();
    fern::Dispatch::new()
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
        .chain(fern::Output::call(move |record| {
            lines.send(record.args().to_string());
        }))
        .apply()?;
    Ok(sender)
}
