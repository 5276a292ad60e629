//! Plain HTTP services and patterns of their calls.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use amaranth_core::errors::{Error, Result, invalid_request};
use amaranth_core::ids::ServiceName;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::bounded;

/// Maximum number of call patterns in one list of a service.
pub const MAX_SERVICE_CALLS: usize = 256;

/// Maximum length of a call pattern, in bytes.
const MAX_CALL_BYTES: usize = 512;

/// Safe methods by RFC 9110, which are repeatable unless a pattern says otherwise.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// A plain HTTP service that is not an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The name of the service.
    pub name: ServiceName,
    /// The path prefix under which callers reach the service.
    pub path: Arc<str>,
    /// Patterns of calls that may be repeated.
    #[serde(deserialize_with = "bounded::list::<MAX_SERVICE_CALLS, _, _, _>")]
    pub repeatable: Vec<CallPattern>,
    /// Patterns of calls that may run at most once.
    #[serde(deserialize_with = "bounded::list::<MAX_SERVICE_CALLS, _, _, _>")]
    pub once: Vec<CallPattern>,
}

impl ServiceEntry {
    /// Returns whether a call may be repeated. `path` is relative to the service's path.
    ///
    /// The most specific matching pattern decides, and `once` wins a tie. If no pattern matches,
    /// safe methods may be repeated and all others may not.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let best_match = |patterns: &[CallPattern]| {
            patterns
                .iter()
                .filter(|pattern| pattern.matches(method, path))
                .map(CallPattern::specificity)
                .max()
        };
        match (best_match(&self.repeatable), best_match(&self.once)) {
            (None, None) => SAFE_METHODS.contains(&method),
            (repeatable, once) => repeatable > once,
        }
    }
}

/// A pattern of calls: a method or `*`, and a path that may end in `*`.
///
/// Examples are `POST /credit/check` and `GET /slots/*`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct CallPattern {
    method: Arc<str>,
    path: Arc<str>,
}

impl CallPattern {
    /// Returns whether the call matches the pattern. The query of `path` is ignored.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or_default();
        let method_matches = &*self.method == "*" || &*self.method == method;
        let path_matches = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => &*self.path == path,
        };
        method_matches && path_matches
    }

    /// Returns the specificity of the pattern, which is compared by path first and then by method.
    fn specificity(&self) -> (usize, bool) {
        let path = match self.path.strip_suffix('*') {
            Some(prefix) => prefix.len(),
            None => MAX_CALL_BYTES,
        };
        (path, &*self.method != "*")
    }
}

impl fmt::Display for CallPattern {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.method, self.path)
    }
}

impl FromStr for CallPattern {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || {
            invalid_request(format!(
                "call {text:?} must be a method or *, one space and a path, \
                 such as \"POST /credit/check\" or \"GET /slots/*\""
            ))
        };
        let (method, path) = text.split_once(' ').ok_or_else(malformed)?;
        let method_is_valid =
            method == "*" || (!method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase()));
        let prefix = path.strip_suffix('*').unwrap_or(path);
        let path_is_valid = path.starts_with('/')
            && prefix.bytes().all(|byte| byte.is_ascii_graphic())
            && !prefix.contains(['*', '?']);
        if !method_is_valid || !path_is_valid || text.len() > MAX_CALL_BYTES {
            return Err(malformed());
        }
        Ok(Self {
            method: Arc::from(method),
            path: Arc::from(path),
        })
    }
}
