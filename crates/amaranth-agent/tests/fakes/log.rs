//! A fake of the platform's log, kept in memory.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_core::ids::LogOffset;
use amaranth_ports::log::{LogPage, LogPort, LogRecord, LogStream};
use amaranth_ports::{PortError, PortResult};
use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::Notify;

/// The streams that all clients of one log share.
#[derive(Debug, Default)]
struct LogStore {
    streams: Mutex<HashMap<LogStream, Vec<Bytes>>>,
    appended: Notify,
}

/// One client of a log in memory, with faults that tests switch on and off.
#[derive(Debug, Default)]
pub struct FakeLog {
    store: Arc<LogStore>,
    /// Whether the log can't be reached.
    pub down: AtomicBool,
    /// Whether appends take effect but their answers are lost.
    pub loses_answers: AtomicBool,
}

impl FakeLog {
    /// Returns another client of the same log, without faults.
    pub fn another_client(&self) -> Self {
        Self {
            store: self.store.clone(),
            ..Self::default()
        }
    }

    /// Returns the records of a stream.
    pub fn records(&self, stream: LogStream) -> Vec<Bytes> {
        let streams = self.store.streams.lock().unwrap();
        streams.get(&stream).cloned().unwrap_or_default()
    }

    /// Appends a record without regard to the client's faults.
    pub fn push(&self, stream: LogStream, record: Bytes) -> LogOffset {
        let mut streams = self.store.streams.lock().unwrap();
        let records = streams.entry(stream).or_default();
        records.push(record);
        self.store.appended.notify_waiters();
        LogOffset(records.len() as u64 - 1)
    }

    fn check(&self) -> PortResult<()> {
        if self.down.load(Ordering::SeqCst) {
            return Err(PortError::Unreachable("the log is down".to_owned()));
        }
        Ok(())
    }
}

#[async_trait]
impl LogPort for FakeLog {
    async fn append(&self, stream: LogStream, record: Bytes) -> PortResult<LogOffset> {
        self.check()?;
        let offset = self.push(stream, record);
        if self.loses_answers.load(Ordering::SeqCst) {
            return Err(PortError::Uncertain("the answer was lost".to_owned()));
        }
        Ok(offset)
    }

    async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        limit: usize,
        wait: Duration,
    ) -> PortResult<LogPage> {
        self.check()?;
        let kept = self.records(stream);
        if from.0 >= kept.len() as u64 {
            // Appends to other streams end the wait as well, as those of a real log may do.
            let _ = tokio::time::timeout(wait, self.store.appended.notified()).await;
            self.check()?;
        }
        let kept = self.records(stream);
        let numbered = kept.iter().cloned().enumerate();
        Ok(LogPage {
            records: numbered
                .skip(usize::try_from(from.0).unwrap())
                .take(limit)
                .map(|(offset, data)| LogRecord {
                    offset: LogOffset(offset as u64),
                    data,
                })
                .collect(),
            first_kept: LogOffset(0),
            end: LogOffset(kept.len() as u64),
        })
    }
}
