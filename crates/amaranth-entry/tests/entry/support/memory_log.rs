//! A log in memory with the faults of the platform's.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_core::ids::LogOffset;
use amaranth_ports::log::{LogPage, LogPort, LogRecord, LogStream};
use amaranth_ports::{PortError, PortResult};
use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::Notify;

/// What goes wrong from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogTrouble {
    /// Nothing.
    #[default]
    None,
    /// The log can't be reached.
    Out,
    /// The answers to appends are lost after they took effect.
    LosesAnswers,
}

#[derive(Default)]
struct LogBooks {
    streams: HashMap<LogStream, Vec<Bytes>>,
    trouble: LogTrouble,
}

/// The log, shared by its clones.
#[derive(Clone, Default)]
pub struct MemoryLog {
    books: Arc<Mutex<LogBooks>>,
    changed: Arc<Notify>,
}

impl MemoryLog {
    /// Sets what goes wrong from now on.
    pub fn set_trouble(&self, trouble: LogTrouble) {
        self.books.lock().expect("not poisoned").trouble = trouble;
        self.changed.notify_waiters();
    }

    /// Returns the records of a stream.
    pub fn records(&self, stream: LogStream) -> Vec<Bytes> {
        let books = self.books.lock().expect("not poisoned");
        books.streams.get(&stream).cloned().unwrap_or_default()
    }

    fn page(&self, stream: LogStream, from: LogOffset, limit: usize) -> PortResult<LogPage> {
        let books = self.books.lock().expect("not poisoned");
        if books.trouble == LogTrouble::Out {
            return Err(PortError::Unreachable("the log is out".to_owned()));
        }
        let records = books.streams.get(&stream).map_or(&[][..], Vec::as_slice);
        let skipped = usize::try_from(from.0).expect("offsets are small");
        let page = records.iter().enumerate().skip(skipped).take(limit);
        Ok(LogPage {
            records: page
                .map(|(offset, data)| LogRecord {
                    offset: LogOffset(offset as u64),
                    data: data.clone(),
                })
                .collect(),
            first_kept: LogOffset(0),
            end: LogOffset(records.len() as u64),
        })
    }
}

#[async_trait]
impl LogPort for MemoryLog {
    async fn append(&self, stream: LogStream, record: Bytes) -> PortResult<LogOffset> {
        let mut books = self.books.lock().expect("not poisoned");
        if books.trouble == LogTrouble::Out {
            return Err(PortError::Unreachable("the log is out".to_owned()));
        }
        let records = books.streams.entry(stream).or_default();
        records.push(record);
        let offset = LogOffset(records.len() as u64 - 1);
        self.changed.notify_waiters();
        match books.trouble {
            LogTrouble::LosesAnswers => Err(PortError::Uncertain("answer lost".to_owned())),
            _ => Ok(offset),
        }
    }

    async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        limit: usize,
        wait: Duration,
    ) -> PortResult<LogPage> {
        let changed = self.changed.notified();
        let page = self.page(stream, from, limit)?;
        if !page.records.is_empty() || wait.is_zero() {
            return Ok(page);
        }
        // A timeout is the usual end of a read without new records.
        let _ = tokio::time::timeout(wait, changed).await;
        self.page(stream, from, limit)
    }
}
