//! Plain services and their calls.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use amaranth_core::errors::{Error, Result, invalid_request};
use amaranth_core::ids::ServiceName;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::bounded;

/// Most patterns of calls in one list of a service.
pub const MAX_SERVICE_CALLS: usize = 256;

/// Longest accepted pattern of a call, in bytes.
const MAX_CALL_BYTES: usize = 512;

/// Methods that RFC 9110 calls safe: they are repeatable unless a pattern says otherwise.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// A plain service beside the engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// The name.
    pub name: ServiceName,
    /// The path below which callers reach it.
    pub path: Arc<str>,
    /// Calls that may be repeated.
    #[serde(deserialize_with = "bounded::list::<MAX_SERVICE_CALLS, _, _, _>")]
    pub repeatable: Vec<CallPattern>,
    /// Calls that may run at most once.
    #[serde(deserialize_with = "bounded::list::<MAX_SERVICE_CALLS, _, _, _>")]
    pub once: Vec<CallPattern>,
}

impl ServiceEntry {
    /// Returns whether a call may be repeated. `path` is the path below the service's own.
    ///
    /// The most specific pattern decides, and `once` wins a tie. Without a pattern, safe methods
    /// may be repeated and all others may not.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let best = |patterns: &[CallPattern]| {
            patterns
                .iter()
                .filter(|pattern| pattern.matches(method, path))
                .map(CallPattern::specificity)
                .max()
        };
        match (best(&self.repeatable), best(&self.once)) {
            (None, None) => SAFE_METHODS.contains(&method),
            (repeatable, once) => repeatable > once,
        }
    }
}

/// A method or `*`, and a path that may end in `*`: `POST /credit/check`, `GET /slots/*`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct CallPattern {
    method: Arc<str>,
    path: Arc<str>,
}

impl CallPattern {
    /// Returns whether the call fits the pattern.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or_default();
        let method_fits = &*self.method == "*" || &*self.method == method;
        let path_fits = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => &*self.path == path,
        };
        method_fits && path_fits
    }

    /// Returns the order among patterns that fit one call: path first, then method.
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
        let method_known =
            method == "*" || (!method.is_empty() && method.bytes().all(|b| b.is_ascii_uppercase()));
        let inner = path.strip_suffix('*').unwrap_or(path);
        let path_known = path.starts_with('/')
            && inner.bytes().all(|byte| byte.is_ascii_graphic())
            && !inner.contains(['*', '?']);
        if !method_known || !path_known || text.len() > MAX_CALL_BYTES {
            return Err(malformed());
        }
        Ok(Self {
            method: Arc::from(method),
            path: Arc::from(path),
        })
    }
}
