//! The bytes of claim batches in the log.

use crate::claim_record::ClaimBatch;
use bytes::Bytes;

/// The format of the batches that this release writes.
const FORMAT: u8 = 1;

/// Bytes that can't be read as a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchFault {
    /// A later release wrote the batch; its claims are unknown here.
    UnknownFormat(u8),
    /// The bytes are no batch; every reader passes them over.
    Malformed,
}

/// Returns the bytes of a batch.
///
/// # Panics
///
/// Panics if the batch can't be serialised, which its types rule out.
pub fn encode(batch: &ClaimBatch) -> Bytes {
    let bytes = postcard::to_extend(batch, vec![FORMAT]).expect("a batch has no unsized parts");
    Bytes::from(bytes)
}

/// Reads a batch.
///
/// # Errors
///
/// As [`BatchFault`] tells them apart.
pub fn decode(bytes: &[u8]) -> Result<ClaimBatch, BatchFault> {
    match bytes.split_first() {
        Some((&FORMAT, rest)) => postcard::from_bytes(rest).map_err(|_| BatchFault::Malformed),
        Some((&format, _)) => Err(BatchFault::UnknownFormat(format)),
        None => Err(BatchFault::Malformed),
    }
}
