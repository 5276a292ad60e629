//! A command that did not succeed.

use std::path::Path;

use amaranth_config::folder::FolderError;
use amaranth_ports::PortError;
use miette::{Diagnostic, Report};

use crate::exit::ExitStatus;

/// What ended a command, and how it is told.
#[derive(Debug)]
pub struct CommandError {
    /// The exit status.
    pub status: ExitStatus,
    /// The message, with places in files where there are any.
    pub report: Report,
    /// The single faults, one line each.
    pub faults: Vec<String>,
}

#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{0}")]
struct PlainMessage(String);

impl CommandError {
    /// Creates an error that is a message alone.
    pub fn new(status: ExitStatus, message: impl Into<String>) -> Self {
        Self {
            status,
            report: Report::new(PlainMessage(message.into())),
            faults: Vec::new(),
        }
    }

    /// Creates an error for a wrong command line.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::new(ExitStatus::Usage, message)
    }

    /// Creates an error for a file or folder that can't be read.
    pub fn unreadable(path: &Path, error: &std::io::Error) -> Self {
        let path = path.display();
        Self::new(
            ExitStatus::Failure,
            format!("{path} can't be read: {error}"),
        )
    }

    /// Creates an error for a call to the platform that failed.
    pub fn platform(what: &str, error: &PortError) -> Self {
        Self::new(ExitStatus::Failure, format!("{what} failed: {error}"))
    }
}

impl From<FolderError> for CommandError {
    fn from(error: FolderError) -> Self {
        let faults = error.faults().iter().map(ToString::to_string).collect();
        Self {
            status: ExitStatus::FolderRefused,
            faults,
            report: Report::new(error),
        }
    }
}
