//! The error of a command.

use std::path::Path;

use amaranth_config::folder::FolderError;
use amaranth_ports::PortError;
use miette::{Diagnostic, Report};

use crate::exit::ExitStatus;

/// The failure of a command, with its exit status and message.
#[derive(Debug)]
pub struct CommandError {
    /// The exit status of the command.
    pub status: ExitStatus,
    /// The message, with locations in files if there are any.
    pub report: Report,
    /// The individual faults, one line each.
    pub faults: Vec<String>,
}

#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{0}")]
struct PlainMessage(String);

impl CommandError {
    /// Creates an error that consists of a message only.
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

    /// Creates an error for an action on the platform that failed.
    pub fn platform(action: &str, error: &PortError) -> Self {
        Self::new(ExitStatus::Failure, format!("{action} failed: {error}"))
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
