//! Routing rules, which select the adapter or base model of a request.

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

/// Maximum number of caller patterns in one rule.
pub const MAX_RULE_CALLERS: usize = 256;

/// Maximum number of targets of one rule.
pub const MAX_RULE_TARGETS: usize = 16;

/// The placeholder in a target that is replaced by the caller's name.
pub const CALLER_PLACEHOLDER: &str = "{caller}";

/// A routing rule: requests for `model` by `callers` run on one of `targets`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleEntry {
    /// The name of the rule.
    pub name: RuleName,
    /// The model that requests name.
    pub model: ModelName,
    /// The patterns of callers that the rule admits; an empty list admits every caller.
    #[serde(deserialize_with = "bounded::list::<MAX_RULE_CALLERS, _, _, _>")]
    pub callers: Vec<NamePattern>,
    /// The position among the rules for one model, which are tried in ascending order.
    pub order: u32,
    /// The targets, one of which is selected by the caller's name.
    #[serde(deserialize_with = "bounded::list::<MAX_RULE_TARGETS, _, _, _>")]
    pub targets: SmallVec<[RuleTarget; 1]>,
    /// The priority of the rule's requests.
    pub priority: RequestPriority,
}

/// One target of a rule with its share of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleTarget {
    /// The name of an adapter, a version of an adapter, a base model or another rule's model.
    pub name: TargetName,
    /// The share of callers, relative to the sum of the targets' weights.
    pub weight: u16,
}

impl RuleEntry {
    /// Returns whether the rule applies to requests of `caller`.
    pub fn admits(&self, caller: &CallerId) -> bool {
        self.callers.is_empty()
            || self
                .callers
                .iter()
                .any(|pattern| pattern.matches(caller.as_str()))
    }

    /// Returns the target for `caller`, which is the same as long as the weights do not change.
    pub fn target_for(&self, caller: &CallerId) -> Option<&RuleTarget> {
        let total: u64 = self.weights().sum();
        let seed = hash64(0, self.model.as_str().as_bytes());
        let mut point = hash64(seed, caller.as_str().as_bytes()).checked_rem(total)?;
        self.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let is_selected = point < weight;
            point = point.saturating_sub(weight);
            is_selected
        })
    }

    fn weights(&self) -> impl Iterator<Item = u64> {
        self.targets.iter().map(|target| u64::from(target.weight))
    }
}

/// The name of a target, optionally with `@version` or with the placeholder `{caller}`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct TargetName(Arc<str>);

impl TargetName {
    /// Returns the name with the placeholder replaced by the caller's name.
    pub fn for_caller(&self, caller: &CallerId) -> Cow<'_, str> {
        if self.has_placeholder() {
            Cow::Owned(self.0.replacen(CALLER_PLACEHOLDER, caller.as_str(), 1))
        } else {
            Cow::Borrowed(&self.0)
        }
    }

    /// Returns whether the target depends on the caller's name.
    pub fn has_placeholder(&self) -> bool {
        self.0.contains(CALLER_PLACEHOLDER)
    }

    /// Returns the name and the version, if the target does not depend on the caller.
    pub fn fixed(&self) -> Option<(&str, Option<AdapterVersion>)> {
        if self.has_placeholder() {
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
        // Names of callers have the same alphabet as names of adapters.
        name.replacen(CALLER_PLACEHOLDER, "c", 1)
            .parse::<AdapterName>()
            .map_err(|_| {
                invalid_request(format!(
                    "target {text:?} must be a name, optionally with @version or \
                     {CALLER_PLACEHOLDER}"
                ))
            })?;
        if let Some(version) = version {
            version.parse::<AdapterVersion>()?;
        }
        Ok(Self(Arc::from(text)))
    }
}
