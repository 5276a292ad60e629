//! Name patterns with an optional wildcard at the end.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use amaranth_core::errors::{Error, Result, invalid_request};
use amaranth_core::ids::MAX_NAME_BYTES;
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// The character that matches any rest of a name.
const WILDCARD: char = '*';

/// A pattern that matches an exact name or, with `*` at its end, all names with a prefix.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct NamePattern(Arc<str>);

impl NamePattern {
    /// Returns whether `name` matches the pattern.
    pub fn matches(&self, name: &str) -> bool {
        match self.0.strip_suffix(WILDCARD) {
            Some(prefix) => name.starts_with(prefix),
            None => *self.0 == *name,
        }
    }

    /// Returns the specificity of the pattern: an exact name is more specific than any prefix,
    /// and a longer prefix is more specific than a shorter one.
    pub fn specificity(&self) -> usize {
        match self.0.strip_suffix(WILDCARD) {
            Some(prefix) => prefix.len(),
            None => MAX_NAME_BYTES + 1,
        }
    }
}

impl fmt::Display for NamePattern {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for NamePattern {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let prefix = text.strip_suffix(WILDCARD).unwrap_or(text);
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
        if text.is_empty() || text.len() > MAX_NAME_BYTES || !prefix.bytes().all(allowed) {
            return Err(invalid_request(format!(
                "pattern {text:?} must be a name of at most {MAX_NAME_BYTES} bytes \
                 with * only at its end"
            )));
        }
        Ok(Self(Arc::from(text)))
    }
}
