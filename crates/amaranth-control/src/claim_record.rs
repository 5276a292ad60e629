//! Records of the log's stream of claims.

use amaranth_core::ids::{ClaimId, EndpointId, IdempotencyKey, Incarnation, ProcessId, RequestId};
use amaranth_core::request::ServiceAnswer;
use serde::{Deserialize, Serialize};

/// Proposal to run one non-idempotent call at one agent incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimProposal {
    /// Idempotency key of the caller.
    pub key: IdempotencyKey,
    /// Digest of method, path and body. A call with the same key and another digest is refused.
    pub body_digest: u128,
    /// Id of the request.
    pub request: RequestId,
    /// Agent that may run the call; no other may.
    pub agent: ProcessId,
    /// Incarnation of that agent; no other incarnation may run the call.
    pub agent_incarnation: Incarnation,
    /// Endpoint behind the agent.
    pub endpoint: EndpointId,
}

/// Record of the log's stream of claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// Claims a key. The claim wins if the key is free at the record's position in the log.
    Claim(ClaimProposal),
    /// States that a claim ended with this answer.
    Done {
        /// Idempotency key of the claim.
        key: IdempotencyKey,
        /// Id of the claim.
        claim: ClaimId,
        /// Complete answer.
        answer: ServiceAnswer,
    },
    /// States that a claim did not run and never will, which frees its key.
    Released {
        /// Idempotency key of the claim.
        key: IdempotencyKey,
        /// Id of the claim.
        claim: ClaimId,
    },
}

/// Records of one append to the log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// Records in order. The index of a record is part of its [`ClaimId`].
    pub records: Vec<ClaimRecord>,
}
