//! The standing of every key, ruled from the claims stream alone.
//!
//! All readers rule alike, because they apply the same records in the order of their offsets.

use std::collections::{BTreeMap, HashMap};

use amaranth_core::ids::{ClaimId, IdempotencyKey, LogOffset, RequestId};
use amaranth_core::request::ServiceAnswer;
use smallvec::SmallVec;

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

/// What one record of a batch did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordRuling {
    /// The key that the record is about.
    pub key: IdempotencyKey,
    /// The request of a claim, and whether it won the key; nothing for other records.
    pub claim: Option<ClaimRuling>,
}

/// How a claim was ruled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRuling {
    /// The request that claimed.
    pub request: RequestId,
    /// The claim, if it won.
    pub won: Option<ClaimId>,
}

/// The rulings of one batch in the order of its records.
pub type BatchRulings = SmallVec<[RecordRuling; 4]>;

/// Rules which claim holds each key.
#[derive(Debug, Clone, Default)]
pub struct ClaimLedger {
    keys: HashMap<IdempotencyKey, KeyStanding>,
    holders: BTreeMap<ClaimId, IdempotencyKey>,
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

    /// Returns the number of keys that are held or done.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether every key is free.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Applies the batch at `offset` and returns what its records did.
    ///
    /// A batch that was applied before is ignored.
    pub fn apply(&mut self, offset: LogOffset, batch: ClaimBatch) -> BatchRulings {
        if offset < self.next {
            return BatchRulings::new();
        }
        self.next = offset.next();
        batch
            .records
            .into_iter()
            .enumerate()
            .map(|(index, record)| {
                let index = u16::try_from(index).unwrap_or(u16::MAX);
                self.apply_record(ClaimId { offset, index }, record)
            })
            .collect()
    }

    /// Forgets the claims before `first_kept`, which the log no longer keeps.
    ///
    /// Every reader, whenever it started, then knows the same keys.
    pub fn forget_before(&mut self, first_kept: LogOffset) {
        self.next = self.next.max(first_kept);
        while let Some(entry) = self.holders.first_entry()
            && entry.key().offset < first_kept
        {
            let key = entry.remove();
            self.keys.remove(&key);
        }
    }

    fn apply_record(&mut self, id: ClaimId, record: ClaimRecord) -> RecordRuling {
        let (key, claim) = match record {
            ClaimRecord::Claim(wish) => {
                let (key, request) = (wish.key.clone(), wish.request);
                let won = self.claim(id, wish).then_some(id);
                (key, Some(ClaimRuling { request, won }))
            }
            ClaimRecord::Done { key, claim, answer } => {
                self.settle(&key, claim, answer);
                (key, None)
            }
            ClaimRecord::Released { key, claim } => {
                self.release(&key, claim);
                (key, None)
            }
        };
        RecordRuling { key, claim }
    }

    /// Returns whether the claim won its key.
    fn claim(&mut self, id: ClaimId, wish: ClaimWish) -> bool {
        if self.keys.contains_key(&wish.key) {
            return false;
        }
        self.holders.insert(id, wish.key.clone());
        let key = wish.key.clone();
        self.keys
            .insert(key, KeyStanding::Claimed { claim: id, wish });
        true
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
            self.holders.remove(&released);
        }
    }
}
