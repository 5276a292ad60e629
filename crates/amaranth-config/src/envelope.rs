//! The envelope of a log record: magic bytes, format number and checksum.
//!
//! Decoding distinguishes bytes that are not a record of this system from a record in a format
//! that this release does not know. Every reader skips the former. The latter stops a reader,
//! since newer readers may accept a record that this one can't evaluate.

use amaranth_core::digest::hash64;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::change::ConfigChange;
use crate::snapshot::SnapshotRecord;

/// Maximum size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

/// The first bytes of every configuration record.
const MAGIC: [u8; 4] = *b"AMCF";

/// The format that this release writes, and the only one that it reads.
const FORMAT: u8 = 1;

/// Length of the magic bytes, the format number and the checksum together.
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u8>() + size_of::<u64>();

/// The content of one record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigRecord {
    /// A change of the configuration.
    Change(ConfigChange),
    /// A part of a snapshot.
    Snapshot(SnapshotRecord),
}

/// The reason why bytes can't be encoded as or decoded into a record.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The record is too large.
    #[error("record of {0} bytes exceeds {MAX_RECORD_BYTES}")]
    TooLarge(usize),
    /// The magic bytes are missing or the header is incomplete.
    #[error("the bytes are not a configuration record")]
    NotARecord,
    /// The checksum does not match the content.
    #[error("the checksum does not match the record")]
    BadChecksum,
    /// This release does not know the format number.
    #[error("format {0} is unknown to this release")]
    UnknownFormat(u8),
    /// The content can't be decoded or encoded.
    #[error("the record does not decode: {0}")]
    Malformed(String),
}

impl ConfigRecord {
    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// Returns an error when the record exceeds [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Result<Bytes, RecordError> {
        let body =
            postcard::to_stdvec(self).map_err(|error| RecordError::Malformed(error.to_string()))?;
        let length = HEADER_BYTES + body.len();
        if length > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge(length));
        }
        let mut record = Vec::with_capacity(length);
        record.extend_from_slice(&MAGIC);
        record.push(FORMAT);
        record.extend_from_slice(&checksum(FORMAT, &body).to_le_bytes());
        record.extend_from_slice(&body);
        Ok(record.into())
    }

    /// Decodes a record.
    ///
    /// The memory that decoding allocates is a small multiple of the record's length.
    ///
    /// # Errors
    ///
    /// Returns an error when `bytes` are not a record that this release can read.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordError::TooLarge(bytes.len()));
        }
        let after_magic = bytes.strip_prefix(&MAGIC).ok_or(RecordError::NotARecord)?;
        let (format, rest) = after_magic.split_first().ok_or(RecordError::NotARecord)?;
        let (expected, body) = rest.split_first_chunk().ok_or(RecordError::NotARecord)?;
        if u64::from_le_bytes(*expected) != checksum(*format, body) {
            return Err(RecordError::BadChecksum);
        }
        if *format != FORMAT {
            return Err(RecordError::UnknownFormat(*format));
        }
        let malformed = |error: postcard::Error| RecordError::Malformed(error.to_string());
        let (record, rest) = postcard::take_from_bytes(body).map_err(malformed)?;
        if rest.is_empty() {
            Ok(record)
        } else {
            let message = format!("{} surplus bytes follow the content", rest.len());
            Err(RecordError::Malformed(message))
        }
    }
}

fn checksum(format: u8, body: &[u8]) -> u64 {
    hash64(u64::from(format), body)
}
