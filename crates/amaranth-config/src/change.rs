//! Configuration changes: edits against a base revision.

use std::fmt;

use amaranth_core::digest::body_digest;
use amaranth_core::ids::{ConfigRevision, OperatorName};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::bounded;
use crate::catalogue::{Catalogue, ConfigEdit};
use crate::envelope::{ConfigRecord, RecordError};
use crate::folder::ConfigSet;

/// Maximum number of edits in one change.
pub const MAX_CHANGE_EDITS: usize = 100_000;

/// The identity of a change, derived from its content.
///
/// A change that is appended to the log twice has the same identity both times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(u128);

impl fmt::Display for ChangeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// The author and the time of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeOrigin {
    /// The operator who made the change.
    pub author: OperatorName,
    /// The time by the operator's clock, in milliseconds since the Unix epoch. Informational
    /// only: acceptance of a change does not depend on it.
    pub stated_at_ms: u64,
}

/// A set of edits against a base revision.
///
/// Readers accept a change only if none of the entries that it edits has changed since the base
/// revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The author and the time of the change.
    pub origin: ChangeOrigin,
    /// The revision that the change was made against.
    pub base: ConfigRevision,
    /// The edits, at most one for each entry.
    #[serde(deserialize_with = "bounded::list::<MAX_CHANGE_EDITS, _, _, _>")]
    pub edits: Vec<ConfigEdit>,
}

impl ConfigChange {
    /// Returns the change that turns `catalogue` into `set`.
    pub fn between(catalogue: &Catalogue, set: &ConfigSet, origin: ChangeOrigin) -> Self {
        Self {
            origin,
            base: catalogue.revision(),
            edits: set.edits_from(catalogue),
        }
    }

    /// Returns the identity of the change, which is a digest of all its content.
    ///
    /// # Panics
    ///
    /// Panics if the change can't be encoded, which does not happen for values of its types.
    pub fn id(&self) -> ChangeId {
        let encoded = postcard::to_stdvec(self).expect("every change encodes");
        ChangeId(body_digest(&encoded))
    }

    /// Encodes the change as a record of the log.
    ///
    /// # Errors
    ///
    /// Returns an error when the record exceeds the size limit.
    pub fn into_record(self) -> Result<Bytes, RecordError> {
        ConfigRecord::Change(self).encode()
    }
}
