//! The exit statuses of commands.

use std::process::ExitCode;

use serde::Serialize;
use strum::{Display, EnumIter, IntoStaticStr};

/// The exit status of a command. The numbers are part of the interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// A process, service or file could not be reached or read.
    Failure = 1,
    /// The command line or the settings are invalid.
    Usage = 2,
    /// The folder is invalid. Nothing changed.
    FolderRefused = 3,
    /// The change conflicts with an earlier one. Nothing changed.
    Conflict = 4,
    /// The change was refused for another reason. Nothing changed.
    ChangeRefused = 5,
    /// The change may be in the log, and the log can't be read to find out.
    OutcomeUnknown = 6,
    /// Some daemons don't report the accepted change or the revision in force yet, or a drained
    /// process has not ended in time.
    Lagging = 7,
    /// The change deletes more than the allowed percentage of entries without confirmation. Nothing
    /// changed.
    Unconfirmed = 8,
    /// The folder differs from the configuration in force.
    Differs = 9,
}

impl ExitStatus {
    /// Returns the meaning of the status, for `--help`.
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Success => "the command succeeded",
            Self::Failure => "a process, service or file could not be reached or read",
            Self::Usage => "the command line or the settings are invalid",
            Self::FolderRefused => "the folder is invalid; nothing changed",
            Self::Conflict => "the change conflicts with an earlier one; nothing changed",
            Self::ChangeRefused => "the change was refused for another reason; nothing changed",
            Self::OutcomeUnknown => "the change may be in the log, which can't be read",
            Self::Lagging => {
                "some daemons don't report the revision yet, or a drained process still runs"
            }
            Self::Unconfirmed => "too many deletions without --yes; nothing changed",
            Self::Differs => "diff: the folder differs from the configuration in force",
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
