//! Positions in a store that may come back from an older copy of itself.
//!
//! A store that is restored from a copy lacks the newest records and assigns their offsets again.
//! It counts these restorations in an era, so that a record is identified by era and offset.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{Era, FencingToken};

/// Number of low bits of a fencing token that hold the offset; the era is in the bits above.
const TOKEN_OFFSET_BITS: u32 = 40;

/// A position in one partition of a store: the offset is unique only within its era.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// The era in which the offset was assigned.
    pub era: Era,
    /// The offset of a record, or of the next record to read.
    pub offset: u64,
}

impl StorePosition {
    /// Creates a position.
    pub const fn new(era: Era, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns the position `records` further in the same era.
    #[must_use]
    pub const fn advanced_by(self, records: u64) -> Self {
        Self::new(self.era, self.offset + records)
    }

    /// Returns the fencing token of the process whose record is at this position. It is larger than
    /// the token of each record at a lower offset and of each record of an earlier era.
    ///
    /// Returns nothing if the era or the offset exceeds the range of tokens.
    pub fn fencing_token(self) -> Option<FencingToken> {
        let offset = self.offset.checked_add(1)?;
        let era = self.era.0;
        let in_range =
            offset >> TOKEN_OFFSET_BITS == 0 && era >> (u64::BITS - TOKEN_OFFSET_BITS) == 0;
        in_range.then_some(FencingToken(era << TOKEN_OFFSET_BITS | offset))
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.offset)
    }
}
