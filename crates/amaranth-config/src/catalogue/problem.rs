//! What can be wrong with a set of entries.

use std::fmt;

use amaranth_core::ids::AdapterVersion;
use strum::{Display, IntoStaticStr};

use crate::entries::ConfigKey;

/// The field of an entry that a problem lies in.
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

/// One thing that is wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct CatalogueProblem {
    /// The entry.
    pub key: ConfigKey,
    /// The field.
    pub field: EntryField,
    /// What is wrong.
    pub kind: ProblemKind,
}

impl CatalogueProblem {
    /// Returns the other entry that takes part in the problem.
    pub const fn other(&self) -> Option<&ConfigKey> {
        match &self.kind {
            ProblemKind::StillUsed(other)
            | ProblemKind::NameTaken(other)
            | ProblemKind::PathTaken(other)
            | ProblemKind::SameOrder(other) => Some(other),
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

/// What is wrong with an entry.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProblemKind {
    /// The base model does not exist.
    #[error("names unknown base model {0:?}")]
    UnknownModel(String),
    /// The target is no adapter, base model or model of a rule.
    #[error("names unknown target {0:?}")]
    UnknownTarget(String),
    /// The adapter exists without that version.
    #[error("names version {version} of adapter {adapter:?}, which has no such version")]
    UnknownVersion {
        /// The adapter.
        adapter: String,
        /// The missing version.
        version: AdapterVersion,
    },
    /// A version is given for something that has none.
    #[error("gives a version to {0:?}, which is no adapter")]
    VersionOfModel(String),
    /// The list of versions is empty, unsorted, holds zero or is too long.
    #[error("must list 1 to {limit} versions in ascending order, counted from 1")]
    BadVersions {
        /// Most versions.
        limit: usize,
    },
    /// The current version is not listed.
    #[error("has current version {0}, which is not among its versions")]
    CurrentNotListed(AdapterVersion),
    /// The entry or version is removed while another entry uses it.
    #[error("is used by {0} and can't be removed")]
    StillUsed(ConfigKey),
    /// The model is removed while adapters are based on it.
    #[error("is the base of {0} adapters and can't be removed")]
    StillBase(usize),
    /// Another kind of entry has the same name, so that requests for it would be ambiguous.
    #[error("has a name that {0} answers to as well")]
    NameTaken(ConfigKey),
    /// Another service has the same path.
    #[error("has the same path as {0}")]
    PathTaken(ConfigKey),
    /// Another rule for the same model has the same order.
    #[error("has the same model and order as {0}")]
    SameOrder(ConfigKey),
    /// The rule leads back to itself.
    #[error("leads back to itself: {}", .0.join(" -> "))]
    Cycle(Vec<String>),
    /// Too many rules follow one another.
    #[error("is part of a chain of more than {limit} rules")]
    TooDeep {
        /// Most rules.
        limit: usize,
    },
    /// The list of targets is empty or too long, or all weights are zero.
    #[error("must have 1 to {limit} targets, at least one of which has a weight above 0")]
    BadTargets {
        /// Most targets.
        limit: usize,
    },
    /// The path can't be routed.
    #[error("has path {0:?}, which is not an absolute path without a closing slash")]
    BadPath(String),
    /// The path belongs to the completions API or to the system.
    #[error("has path {0:?}, which the system keeps for itself")]
    ReservedPath(String),
    /// A list is longer than allowed.
    #[error("has more than {limit} {what}")]
    TooMany {
        /// What there is too much of.
        what: &'static str,
        /// The limit.
        limit: usize,
    },
    /// All entries together are too many or too large.
    #[error("the configuration has more than {limit} {what}")]
    TotalExceeded {
        /// What there is too much of.
        what: &'static str,
        /// The limit.
        limit: usize,
    },
    /// The entry is too large.
    #[error("takes more than {0} bytes")]
    TooLarge(usize),
    /// A limit is outside of its range.
    #[error("sets {limit} to {value}, which is not between {least} and {most}")]
    LimitOutOfRange {
        /// The limit.
        limit: &'static str,
        /// The refused value.
        value: String,
        /// The least value.
        least: String,
        /// The largest value.
        most: String,
    },
    /// One change names the entry twice.
    #[error("is edited twice in one change")]
    EditedTwice,
    /// The entry to be removed does not exist.
    #[error("does not exist and can't be removed")]
    Absent,
}
