//! A change of configuration: a delta against a revision.

use std::fmt;

use amaranth_core::digest::body_digest;
use amaranth_core::ids::{ConfigRevision, OperatorName};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::bounded;
use crate::catalogue::{Catalogue, ConfigEdit};
use crate::envelope::{ConfigRecord, RecordFault};
use crate::folder::ConfigSet;

/// Most edits of one change.
pub const MAX_CHANGE_EDITS: usize = 100_000;

/// The identity of a change. Appending it again yields the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(u128);

impl fmt::Display for ChangeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Who makes a change, and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeOrigin {
    /// The operator.
    pub author: OperatorName,
    /// The operator's clock, in milliseconds since the Unix epoch. Nothing is ruled by it.
    pub stated_at_ms: u64,
}

/// A delta against a revision.
///
/// Readers accept it only if no entry that it edits has changed since that revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Who makes it.
    pub origin: ChangeOrigin,
    /// The revision that it was made against.
    pub base: ConfigRevision,
    /// The edits, each of another entry.
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

    /// Returns the identity, which is a digest of the whole change.
    ///
    /// # Panics
    ///
    /// Panics if the change can't be encoded, which its types rule out.
    pub fn id(&self) -> ChangeId {
        let encoded = postcard::to_stdvec(self).expect("every change encodes");
        ChangeId(body_digest(&encoded))
    }

    /// Encodes the change as a record of the log.
    ///
    /// # Errors
    ///
    /// Returns an error when the record is too large.
    pub fn into_record(self) -> Result<Bytes, RecordFault> {
        ConfigRecord::Change(self).encode()
    }
}
