//! The port to the platform's append-only log.

use std::time::Duration;

use amaranth_core::ids::LogOffset;
use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::errors::PortResult;

/// A stream of the log.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    EnumIter,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum LogStream {
    /// Configuration changes and snapshots.
    Configuration,
    /// Claims and outcomes of non-idempotent calls.
    Claims,
    /// Leases on engines.
    Leases,
}

/// One record of a stream with its offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogRecord {
    /// The offset of the record.
    pub offset: LogOffset,
    /// The bytes that were appended.
    pub data: Bytes,
}

/// The records that one read returned, and the bounds of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LogPage {
    /// The records, in the order of their offsets.
    pub records: Vec<LogRecord>,
    /// The oldest offset that the log still retains.
    pub first_kept: LogOffset,
    /// The offset that the next append will get.
    pub end: LogOffset,
}

/// Appends to and reads from the log.
#[async_trait]
pub trait LogPort: Send + Sync {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// `Uncertain` when the record may be in the log although no offset was returned.
    async fn append(&self, stream: LogStream, record: Bytes) -> PortResult<LogOffset>;

    /// Reads at most `limit` records from `from` on, waiting up to `wait` for the first one.
    ///
    /// Records that the log no longer retains are skipped; `LogPage::first_kept` is then above
    /// `from`.
    ///
    /// # Errors
    ///
    /// Returns an error when the log can't be reached.
    async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        limit: usize,
        wait: Duration,
    ) -> PortResult<LogPage>;
}
