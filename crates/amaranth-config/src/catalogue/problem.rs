//! Validation problems of a set of entries.

use std::fmt;

use amaranth_core::ids::AdapterVersion;
use strum::{Display, IntoStaticStr};

use crate::entries::ConfigKey;

/// The field of an entry in which a problem was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EntryField {
    /// The entry as a whole.
    Entry,
    /// The base model of an adapter.
    Base,
    /// The versions of an adapter.
    Versions,
    /// The current version of an adapter.
    Current,
    /// The model of a rule.
    Model,
    /// The order of a rule.
    Order,
    /// The targets of a rule.
    Use,
    /// The path of a service.
    Path,
    /// One of the limits.
    Limits,
}

/// A validation problem with the entry and field in which it was found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct CatalogueProblem {
    /// The key of the entry.
    pub key: ConfigKey,
    /// The field of the entry.
    pub field: EntryField,
    /// The kind of the problem.
    pub kind: ProblemKind,
}

impl CatalogueProblem {
    /// Returns the other entry that the problem involves, if any.
    pub const fn other(&self) -> Option<&ConfigKey> {
        match &self.kind {
            ProblemKind::InUse(other)
            | ProblemKind::NameTaken(other)
            | ProblemKind::PathTaken(other)
            | ProblemKind::DuplicateOrder(other) => Some(other),
            _ => None,
        }
    }
}

impl fmt::Display for CatalogueProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            total @ ProblemKind::TotalExceeded { .. } => total.fmt(formatter),
            kind => write!(formatter, "{} {kind}", self.key),
        }
    }
}

/// The kind of a validation problem.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProblemKind {
    /// The base model does not exist.
    #[error("names unknown base model {0:?}")]
    UnknownModel(String),
    /// The target is not an adapter, a base model or the model of a rule.
    #[error("names unknown target {0:?}")]
    UnknownTarget(String),
    /// The adapter exists without that version.
    #[error("names version {version} of adapter {adapter:?}, which has no such version")]
    UnknownVersion {
        /// The name of the adapter.
        adapter: String,
        /// The missing version.
        version: AdapterVersion,
    },
    /// A version is given for a target that is not an adapter.
    #[error("gives a version to {0:?}, which is not an adapter")]
    VersionOfModel(String),
    /// The list of versions is empty, unsorted or too long, or contains zero.
    #[error("must list 1 to {limit} versions in ascending order, counted from 1")]
    BadVersions {
        /// The maximum number of versions.
        limit: usize,
    },
    /// The current version is not listed.
    #[error("has current version {0}, which is not among its versions")]
    CurrentNotListed(AdapterVersion),
    /// The entry or version is removed while another entry refers to it.
    #[error("is used by {0} and can't be removed")]
    InUse(ConfigKey),
    /// The model is removed while adapters are based on it.
    #[error("is the base of {0} adapters and can't be removed")]
    BaseInUse(usize),
    /// Another kind of entry has the same name, so that requests for it would be ambiguous.
    #[error("has a name that {0} also uses")]
    NameTaken(ConfigKey),
    /// Another service has the same path.
    #[error("has the same path as {0}")]
    PathTaken(ConfigKey),
    /// Another rule for the same model has the same order.
    #[error("has the same model and order as {0}")]
    DuplicateOrder(ConfigKey),
    /// The rule refers back to itself.
    #[error("is part of a cycle: {}", .0.join(" -> "))]
    Cycle(Vec<String>),
    /// The chain of rules is too long.
    #[error("is part of a chain of more than {limit} rules")]
    TooDeep {
        /// The maximum number of rules in a chain.
        limit: usize,
    },
    /// The list of targets is empty or too long, or all weights are zero.
    #[error("must have 1 to {limit} targets, at least one of which has a weight above 0")]
    BadTargets {
        /// The maximum number of targets.
        limit: usize,
    },
    /// The path can't be routed.
    #[error("has path {0:?}, which is not an absolute path without a trailing slash")]
    BadPath(String),
    /// The path belongs to the completions API or to the system.
    #[error("has path {0:?}, which is reserved by the system")]
    ReservedPath(String),
    /// A list is longer than allowed.
    #[error("has more than {limit} {what}")]
    TooMany {
        /// The plural noun of the items that exceed the limit.
        what: &'static str,
        /// The maximum number of items.
        limit: usize,
    },
    /// All entries together exceed a limit on their number or size.
    #[error("the configuration has more than {limit} {what}")]
    TotalExceeded {
        /// The plural noun of the items that exceed the limit.
        what: &'static str,
        /// The maximum number of items.
        limit: usize,
    },
    /// The entry exceeds this encoded size, in bytes.
    #[error("takes more than {0} bytes")]
    TooLarge(usize),
    /// A limit is outside its allowed range.
    #[error("sets {limit} to {value}, which is not between {min} and {max}")]
    LimitOutOfRange {
        /// The name of the limit.
        limit: &'static str,
        /// The refused value.
        value: String,
        /// The smallest allowed value.
        min: String,
        /// The largest allowed value.
        max: String,
    },
    /// One change edits the entry more than once.
    #[error("is edited twice in one change")]
    EditedTwice,
    /// The entry to be removed does not exist.
    #[error("does not exist and can't be removed")]
    NotFound,
}
