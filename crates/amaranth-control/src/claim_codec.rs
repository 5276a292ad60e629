//! Binary codec of the claim batches in the log.

use crate::claim_record::ClaimBatch;
use bytes::Bytes;

/// Format version of the batches that this release writes.
const FORMAT_VERSION: u8 = 1;

/// Reason why bytes of the log can't be decoded as a claim batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchDecodeError {
    /// A later release wrote the batch in this format version; this release can't read its claims.
    UnknownFormat(u8),
    /// The bytes are not a batch. All readers skip them.
    Malformed,
}

/// Encodes a batch.
///
/// # Panics
///
/// Panics if the batch can't be serialized, which its types rule out.
pub fn encode(batch: &ClaimBatch) -> Bytes {
    let bytes = postcard::to_extend(batch, vec![FORMAT_VERSION])
        .expect("the length of every sequence in a batch is known");
    Bytes::from(bytes)
}

/// Decodes a batch.
///
/// # Errors
///
/// Returns a [`BatchDecodeError`] if the bytes have another format version or are malformed.
pub fn decode(bytes: &[u8]) -> Result<ClaimBatch, BatchDecodeError> {
    match bytes.split_first() {
        Some((&FORMAT_VERSION, rest)) => {
            postcard::from_bytes(rest).map_err(|_| BatchDecodeError::Malformed)
        }
        Some((&format, _)) => Err(BatchDecodeError::UnknownFormat(format)),
        None => Err(BatchDecodeError::Malformed),
    }
}
