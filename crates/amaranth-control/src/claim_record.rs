//! Records of the claims stream.

use amaranth_core::ids::{ClaimId, EndpointId, IdempotencyKey, Incarnation, ProcessId, RequestId};
use amaranth_core::request::ServiceAnswer;
use serde::{Deserialize, Serialize};

/// A wish to run one non-idempotent call at one agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimWish {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The digest of method, path and body; another digest under the same key is refused.
    pub body_digest: u128,
    /// The request.
    pub request: RequestId,
    /// The only agent that may run it.
    pub agent: ProcessId,
    /// That agent's life: no other life may run it.
    pub agent_incarnation: Incarnation,
    /// The endpoint behind the agent.
    pub endpoint: EndpointId,
}

/// One record of the claims stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// Claims a key. It wins if the key is free when the log reaches it.
    Claim(ClaimWish),
    /// States that the claim ended with this answer.
    Done {
        /// The key.
        key: IdempotencyKey,
        /// The claim.
        claim: ClaimId,
        /// The whole answer.
        answer: ServiceAnswer,
    },
    /// States that the claim did not run and never will, which frees the key.
    Released {
        /// The key.
        key: IdempotencyKey,
        /// The claim.
        claim: ClaimId,
    },
}

/// What one append carries.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Records in order; a record's index completes its [`ClaimId`].
    pub records: Vec<ClaimRecord>,
}
