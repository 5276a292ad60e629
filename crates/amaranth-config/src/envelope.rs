//! The envelope of a record: what it is, in which format, and a checksum.
//!
//! Bytes that are no record of this system are told apart from a record in a format that this
//! release does not know. The former are passed over by every reader alike; the latter stop a
//! reader, since newer readers may accept what it can't rule.

use amaranth_core::digest::hash64;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::change::ConfigChange;
use crate::snapshot::SnapshotRecord;

/// Largest record, in bytes.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

/// The first bytes of every configuration record.
const MAGIC: [u8; 4] = *b"AMCF";

/// The format that this release writes, and the only one that it reads.
const FORMAT: u8 = 1;

/// Length of the magic bytes, the format and the checksum.
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u8>() + size_of::<u64>();

/// What one record carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigRecord {
    /// A change.
    Change(ConfigChange),
    /// A part of a snapshot.
    Snapshot(SnapshotRecord),
}

/// Why bytes are no record, or none that this release can read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecordFault {
    /// The record is too large.
    #[error("record of {0} bytes exceeds {MAX_RECORD_BYTES}")]
    TooLarge(usize),
    /// The magic bytes are missing.
    #[error("the bytes are no configuration record")]
    NoRecord,
    /// The checksum does not fit.
    #[error("the checksum does not fit the record")]
    BadChecksum,
    /// The format is unknown.
    #[error("format {0} is unknown to this release")]
    UnknownFormat(u8),
    /// The content does not decode.
    #[error("the record does not decode: {0}")]
    Malformed(String),
}

impl ConfigRecord {
    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// Returns an error when the record exceeds [`MAX_RECORD_BYTES`].
    pub fn encode(&self) -> Result<Bytes, RecordFault> {
        let body =
            postcard::to_stdvec(self).map_err(|error| RecordFault::Malformed(error.to_string()))?;
        let length = HEADER_BYTES + body.len();
        if length > MAX_RECORD_BYTES {
            return Err(RecordFault::TooLarge(length));
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
    /// The memory that it takes is a small multiple of the record's length.
    ///
    /// # Errors
    ///
    /// Returns an error when `bytes` are no record that this release can read.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordFault> {
        if bytes.len() > MAX_RECORD_BYTES {
            return Err(RecordFault::TooLarge(bytes.len()));
        }
        let after_magic = bytes.strip_prefix(&MAGIC).ok_or(RecordFault::NoRecord)?;
        let (format, rest) = after_magic.split_first().ok_or(RecordFault::NoRecord)?;
        let (stated, body) = rest.split_first_chunk().ok_or(RecordFault::NoRecord)?;
        if u64::from_le_bytes(*stated) != checksum(*format, body) {
            return Err(RecordFault::BadChecksum);
        }
        if *format != FORMAT {
            return Err(RecordFault::UnknownFormat(*format));
        }
        let malformed = |error: postcard::Error| RecordFault::Malformed(error.to_string());
        let (record, rest) = postcard::take_from_bytes(body).map_err(malformed)?;
        if rest.is_empty() {
            Ok(record)
        } else {
            let surplus = format!("{} bytes follow it", rest.len());
            Err(RecordFault::Malformed(surplus))
        }
    }
}

fn checksum(format: u8, body: &[u8]) -> u64 {
    hash64(u64::from(format), body)
}
