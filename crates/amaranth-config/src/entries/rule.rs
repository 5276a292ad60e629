//! Rules that choose the adapter of a request.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use amaranth_core::digest::hash64;
use amaranth_core::errors::{Error, Result, invalid_request};
use amaranth_core::ids::{AdapterName, AdapterVersion, CallerId, ModelName, RuleName};
use amaranth_core::request::RequestPriority;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use smallvec::SmallVec;

use crate::bounded;
use crate::entries::NamePattern;

/// Most patterns of callers in one rule.
pub const MAX_RULE_CALLERS: usize = 256;

/// Most targets of one rule.
pub const MAX_RULE_TARGETS: usize = 16;

/// The part of a target that is replaced by the caller's name.
pub const CALLER_PLACEHOLDER: &str = "{caller}";

/// A rule: requests for `model` by `callers` run on one of `targets`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleEntry {
    /// The name.
    pub name: RuleName,
    /// The model that the request asks for.
    pub model: ModelName,
    /// Who asks; empty means everybody.
    #[serde(deserialize_with = "bounded::list::<MAX_RULE_CALLERS, _, _, _>")]
    pub callers: Vec<NamePattern>,
    /// Rules of one model are tried in ascending order.
    pub order: u32,
    /// What the request runs on.
    #[serde(deserialize_with = "bounded::list::<MAX_RULE_TARGETS, _, _, _>")]
    pub targets: SmallVec<[RuleTarget; 1]>,
    /// How urgent such requests are.
    pub priority: RequestPriority,
}

/// One target of a rule with its share of the callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleTarget {
    /// An adapter, a version of one, a base model or the model of another rule.
    pub name: TargetName,
    /// The share relative to the other targets' weights.
    pub weight: u16,
}

impl RuleEntry {
    /// Returns whether the rule holds for `caller`.
    pub fn admits(&self, caller: &CallerId) -> bool {
        self.callers.is_empty()
            || self
                .callers
                .iter()
                .any(|pattern| pattern.matches(caller.as_str()))
    }

    /// Returns the target for `caller`: always the same one while the weights stand.
    pub fn target_for(&self, caller: &CallerId) -> Option<&RuleTarget> {
        let total: u64 = self.weights().sum();
        let seed = hash64(0, self.model.as_str().as_bytes());
        let mut point = hash64(seed, caller.as_str().as_bytes()).checked_rem(total)?;
        self.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let chosen = point < weight;
            point = point.saturating_sub(weight);
            chosen
        })
    }

    fn weights(&self) -> impl Iterator<Item = u64> {
        self.targets.iter().map(|target| u64::from(target.weight))
    }
}

/// The name of a target, perhaps with `@version`, perhaps with `{caller}` in it.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct TargetName(Arc<str>);

impl TargetName {
    /// Returns the name with the caller's name filled in.
    pub fn for_caller(&self, caller: &CallerId) -> Cow<'_, str> {
        if self.names_caller() {
            Cow::Owned(self.0.replacen(CALLER_PLACEHOLDER, caller.as_str(), 1))
        } else {
            Cow::Borrowed(&self.0)
        }
    }

    /// Returns whether the target depends on the caller's name.
    pub fn names_caller(&self) -> bool {
        self.0.contains(CALLER_PLACEHOLDER)
    }

    /// Returns the name and the version, if the target does not depend on the caller.
    pub fn fixed(&self) -> Option<(&str, Option<AdapterVersion>)> {
        if self.names_caller() {
            return None;
        }
        match self.0.split_once('@') {
            Some((name, version)) => Some((name, version.parse().ok())),
            None => Some((&self.0, None)),
        }
    }
}

impl fmt::Display for TargetName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for TargetName {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let (name, version) = match text.split_once('@') {
            Some((name, version)) => (name, Some(version)),
            None => (text, None),
        };
        // A caller's name has the same alphabet as an adapter's.
        name.replacen(CALLER_PLACEHOLDER, "c", 1)
            .parse::<AdapterName>()
            .map_err(|_| {
                invalid_request(format!(
                    "target {text:?} must be a name, with @version or {CALLER_PLACEHOLDER} at will"
                ))
            })?;
        if let Some(version) = version {
            version.parse::<AdapterVersion>()?;
        }
        Ok(Self(Arc::from(text)))
    }
}
