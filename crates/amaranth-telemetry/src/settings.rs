//! Settings files, which are read, parsed and checked before anything starts.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;

/// A setting with a value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault {
    /// The key of the setting, with its tables, such as `endpoint.address`.
    pub key: String,
    /// The rejected value.
    pub value: String,
    /// A description of the allowed values.
    pub allowed: String,
}

impl SettingFault {
    /// Creates a fault of the setting `key`.
    pub fn new(key: impl Into<String>, value: impl ToString, allowed: impl Into<String>) -> Self {
        Self {
            key: key.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        }
    }
}

/// Settings that can check their own values.
pub trait CheckedSettings: DeserializeOwned {
    /// Returns every setting whose value is not allowed.
    fn faults(&self) -> Vec<SettingFault>;
}

/// The reason why a settings file can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings {} can't be read: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not TOML, or a key is unknown, missing or of the wrong type.
    #[error("settings {path} are malformed: {reason}", path = path.display())]
    Malformed {
        /// The path of the file.
        path: PathBuf,
        /// The message of the TOML parser.
        reason: String,
        /// The text of the file.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// The location of the error in the text.
        #[label("here")]
        location: Option<SourceSpan>,
    },
    /// A value is not allowed.
    #[error(
        "settings {path}: {key} = {value} is not allowed; allowed: {allowed}",
        path = path.display(),
        key = fault.key,
        value = fault.value,
        allowed = fault.allowed
    )]
    InvalidValue {
        /// The path of the file.
        path: PathBuf,
        /// The first fault.
        fault: SettingFault,
    },
}

/// Reads and checks the settings in the file at `path`.
///
/// # Errors
///
/// Returns an error that names the file and, for a value that is not allowed, the key, the value
/// and the allowed values.
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
        location: error.span().map(SourceSpan::from),
    })?;
    match settings.faults().into_iter().next() {
        None => Ok(settings),
        Some(fault) => Err(SettingsError::InvalidValue {
            path: path.to_owned(),
            fault,
        }),
    }
}
