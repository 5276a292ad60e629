//! Settings files: read, parsed and checked before anything starts.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;

/// A setting whose value is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault {
    /// The key, with the tables that lead to it: `endpoint.address`.
    pub key: String,
    /// The value that was given.
    pub value: String,
    /// What is allowed.
    pub allowed: String,
}

impl SettingFault {
    /// Creates a fault of `key`.
    pub fn new(key: impl Into<String>, value: impl ToString, allowed: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        }
    }
}

/// Settings that know which of their values make no sense.
pub trait CheckedSettings: DeserializeOwned {
    /// Returns every value that is not allowed.
    fn faults(&self) -> Vec<SettingFault>;
}

/// Settings that can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings {} can't be read: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not TOML, or a key is unknown, missing or of the wrong type.
    #[error("settings {path} are malformed: {reason}", path = path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
        /// The text.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The place.
        #[label("here")]
        place: Option<SourceSpan>,
    },
    /// A value is not allowed.
    #[error(
        "settings {path}: {key} = {value} is not allowed; allowed: {allowed}",
        path = path.display(),
        key = fault.key,
        value = fault.value,
        allowed = fault.allowed
    )]
    Refused {
        /// The file.
        path: PathBuf,
        /// The first fault.
        fault: SettingFault,
    },
}

/// Reads and checks the settings in the file at `path`.
///
/// # Errors
///
/// Returns an error that names the file and, where there is one, the key, its value and what is
/// allowed.
pub fn read<Settings: CheckedSettings>(path: &Path) -> Result<Settings, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(path, &text)
}

/// Parses and checks settings that were read from `path`.
///
/// # Errors
///
/// As for [`read`].
pub fn parse<Settings: CheckedSettings>(
    path: &Path,
    text: &str,
) -> Result<Settings, SettingsError> {
    let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::Malformed {
        path: path.to_owned(),
        reason: error.message().to_owned(),
        text: Arc::new(NamedSource::new(
            path.display().to_string(),
            text.to_owned(),
        )),
        place: error.span().map(SourceSpan::from),
    })?;
    match settings.faults().into_iter().next() {
        None => Ok(settings),
        Some(fault) => Err(SettingsError::Refused {
            path: path.to_owned(),
            fault,
        }),
    }
}
