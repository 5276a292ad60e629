//! The standing of every key, ruled from the claims stream alone.
//!
//! All readers rule alike, because they apply the same records in the order of their offsets.

use std::collections::HashMap;

use amaranth_core::ids::{ClaimId, IdempotencyKey, LogOffset};
use amaranth_core::request::ServiceAnswer;

use crate::claim_record::{ClaimBatch, ClaimRecord, ClaimWish};

/// What the ledger knows of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyStanding {
    /// A claim holds the key and no outcome is known.
    Claimed {
        /// The winning claim.
        claim: ClaimId,
        /// What it wished.
        wish: ClaimWish,
    },
    /// The call ran and ended.
    Done {
        /// The claim that ran.
        claim: ClaimId,
        /// What it wished.
        wish: ClaimWish,
        /// The whole answer.
        answer: ServiceAnswer,
    },
}

/// Rules which claim holds each key.
#[derive(Debug, Clone, Default)]
pub struct ClaimLedger {
    keys: HashMap<IdempotencyKey, KeyStanding>,
    next: LogOffset,
}

impl ClaimLedger {
    /// Opens an empty ledger that wants the record at offset zero next.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the offset of the next record that the ledger wants.
    pub const fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns the standing of `key`, or nothing if it is free.
    pub fn standing(&self, key: &IdempotencyKey) -> Option<&KeyStanding> {
        self.keys.get(key)
    }

    /// Applies the batch at `offset`. A batch that was applied before is ignored.
    pub fn apply(&mut self, offset: LogOffset, batch: ClaimBatch) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        for (index, record) in batch.records.into_iter().enumerate() {
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            self.apply_record(ClaimId { offset, index }, record);
        }
    }

    fn apply_record(&mut self, id: ClaimId, record: ClaimRecord) {
        match record {
            ClaimRecord::Claim(wish) => {
                let key = wish.key.clone();
                self.keys
                    .entry(key)
                    .or_insert(KeyStanding::Claimed { claim: id, wish });
            }
            ClaimRecord::Done { key, claim, answer } => self.settle(&key, claim, answer),
            ClaimRecord::Released { key, claim } => self.release(&key, claim),
        }
    }

    /// The first outcome of the holding claim stands.
    fn settle(&mut self, key: &IdempotencyKey, ended: ClaimId, answer: ServiceAnswer) {
        let Some(standing) = self.keys.get_mut(key) else {
            return;
        };
        if let KeyStanding::Claimed { claim, wish } = standing
            && *claim == ended
        {
            *standing = KeyStanding::Done {
                claim: ended,
                wish: wish.clone(),
                answer,
            };
        }
    }

    /// Only the holding claim can be released, and only while no outcome is known.
    fn release(&mut self, key: &IdempotencyKey, released: ClaimId) {
        let holds = matches!(
            self.keys.get(key),
            Some(KeyStanding::Claimed { claim, .. }) if *claim == released
        );
        if holds {
            self.keys.remove(key);
        }
    }
}
