//! Ledger of idempotency keys that is replayed from the log's stream of claims.
//!
//! All readers reach the same state, because they apply the same records in the order of their
//! offsets and use no other input.

use std::collections::{BTreeMap, HashMap};

use amaranth_core::ids::{ClaimId, IdempotencyKey, LogOffset, RequestId};
use amaranth_core::request::ServiceAnswer;
use smallvec::SmallVec;

use crate::claim_record::{ClaimBatch, ClaimProposal, ClaimRecord};

/// Status of an idempotency key that is not free.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyStatus {
    /// A claim holds the key and has no recorded outcome.
    Claimed {
        /// Claim that won the key.
        claim: ClaimId,
        /// Proposal of that claim.
        proposal: ClaimProposal,
    },
    /// The call under the key ended with a recorded answer.
    Done {
        /// Claim that ran.
        claim: ClaimId,
        /// Proposal of that claim.
        proposal: ClaimProposal,
        /// Complete answer.
        answer: ServiceAnswer,
    },
}

/// Effect of one record of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRecord {
    /// Key of the record.
    pub key: IdempotencyKey,
    /// Result of the claim if the record is a claim, `None` for other records.
    pub claim: Option<AppliedClaim>,
}

/// Result of applying a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppliedClaim {
    /// Request for which the claim was made.
    pub request: RequestId,
    /// Id of the claim if it won its key.
    pub won: Option<ClaimId>,
}

/// Effects of the records of one batch, in order.
pub type AppliedRecords = SmallVec<[AppliedRecord; 4]>;

/// Tracks which claim holds each idempotency key, and the recorded outcomes.
#[derive(Debug, Clone, Default)]
pub struct ClaimLedger {
    keys: HashMap<IdempotencyKey, KeyStatus>,
    /// Keys that are not free, by the claims that hold them.
    holders: BTreeMap<ClaimId, IdempotencyKey>,
    /// Offset of the next batch to apply.
    next: LogOffset,
}

impl ClaimLedger {
    /// Creates an empty ledger that expects the batch at offset zero next.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the next batch that the ledger expects.
    pub const fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns the status of `key`, or `None` if the key is free.
    pub fn status(&self, key: &IdempotencyKey) -> Option<&KeyStatus> {
        self.keys.get(key)
    }

    /// Returns the number of keys that are not free.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether every key is free.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Applies the batch at `offset` and returns the effects of its records.
    ///
    /// A batch that was applied before is ignored.
    pub fn apply(&mut self, offset: LogOffset, batch: ClaimBatch) -> AppliedRecords {
        if offset < self.next {
            return AppliedRecords::new();
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

    /// Removes the claims before `first_kept`, which the log no longer retains.
    ///
    /// All readers then have the same keys, whenever they started to read.
    pub fn remove_before(&mut self, first_kept: LogOffset) {
        self.next = self.next.max(first_kept);
        while let Some(entry) = self.holders.first_entry()
            && entry.key().offset < first_kept
        {
            let key = entry.remove();
            self.keys.remove(&key);
        }
    }

    fn apply_record(&mut self, id: ClaimId, record: ClaimRecord) -> AppliedRecord {
        let (key, claim) = match record {
            ClaimRecord::Claim(proposal) => {
                let (key, request) = (proposal.key.clone(), proposal.request);
                let won = self.claim(id, proposal).then_some(id);
                (key, Some(AppliedClaim { request, won }))
            }
            ClaimRecord::Done { key, claim, answer } => {
                self.complete(&key, claim, answer);
                (key, None)
            }
            ClaimRecord::Released { key, claim } => {
                self.release(&key, claim);
                (key, None)
            }
        };
        AppliedRecord { key, claim }
    }

    /// Applies a claim and returns whether it won its key.
    fn claim(&mut self, id: ClaimId, proposal: ClaimProposal) -> bool {
        if self.keys.contains_key(&proposal.key) {
            return false;
        }
        self.holders.insert(id, proposal.key.clone());
        let key = proposal.key.clone();
        self.keys.insert(
            key,
            KeyStatus::Claimed {
                claim: id,
                proposal,
            },
        );
        true
    }

    /// Records the outcome of the claim that holds the key. Later outcomes are ignored.
    fn complete(&mut self, key: &IdempotencyKey, ended: ClaimId, answer: ServiceAnswer) {
        let Some(status) = self.keys.get_mut(key) else {
            return;
        };
        if let KeyStatus::Claimed { claim, proposal } = status
            && *claim == ended
        {
            *status = KeyStatus::Done {
                claim: ended,
                proposal: proposal.clone(),
                answer,
            };
        }
    }

    /// Frees the key if the released claim holds it and has no recorded outcome.
    fn release(&mut self, key: &IdempotencyKey, released: ClaimId) {
        let holds = matches!(
            self.keys.get(key),
            Some(KeyStatus::Claimed { claim, .. }) if *claim == released
        );
        if holds {
            self.keys.remove(key);
            self.holders.remove(&released);
        }
    }
}
