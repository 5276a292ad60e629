//! An in-memory log that can fail like the platform's log.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_core::ids::LogOffset;
use amaranth_ports::log::{LogPage, LogPort, LogRecord, LogStream};
use amaranth_ports::{PortError, PortResult};
use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::Notify;

/// A fault of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFault {
    /// No fault.
    #[default]
    None,
    /// The log can't be reached.
    Unreachable,
    /// Appends take effect, but their answers are lost.
    LostAnswers,
}

/// The records and the current fault of the log.
#[derive(Default)]
struct LogState {
    streams: HashMap<LogStream, Vec<Bytes>>,
    fault: LogFault,
}

/// An in-memory log, shared by its clones.
#[derive(Clone, Default)]
pub struct MemoryLog {
    state: Arc<Mutex<LogState>>,
    changed: Arc<Notify>,
}

impl MemoryLog {
    /// Sets the fault of later reads and appends.
    pub fn set_fault(&self, fault: LogFault) {
        self.state.lock().expect("the lock is not poisoned").fault = fault;
        self.changed.notify_waiters();
    }

    /// Returns the records of a stream.
    pub fn records(&self, stream: LogStream) -> Vec<Bytes> {
        let state = self.state.lock().expect("the lock is not poisoned");
        state.streams.get(&stream).cloned().unwrap_or_default()
    }

    fn page(&self, stream: LogStream, from: LogOffset, limit: usize) -> PortResult<LogPage> {
        let state = self.state.lock().expect("the lock is not poisoned");
        if state.fault == LogFault::Unreachable {
            return Err(PortError::Unreachable("the log is unreachable".to_owned()));
        }
        let records = state.streams.get(&stream).map_or(&[][..], Vec::as_slice);
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
        let mut state = self.state.lock().expect("the lock is not poisoned");
        if state.fault == LogFault::Unreachable {
            return Err(PortError::Unreachable("the log is unreachable".to_owned()));
        }
        let records = state.streams.entry(stream).or_default();
        records.push(record);
        let offset = LogOffset(records.len() as u64 - 1);
        self.changed.notify_waiters();
        match state.fault {
            LogFault::LostAnswers => Err(PortError::Uncertain("answer lost".to_owned())),
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
        // A timeout is the normal end of a read without new records.
        let _ = tokio::time::timeout(wait, changed).await;
        self.page(stream, from, limit)
    }
}
