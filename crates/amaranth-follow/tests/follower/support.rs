//! An in-memory log with injected faults, and folders of configuration to apply.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_config::catalogue::Catalogue;
use amaranth_config::change::{ChangeOrigin, ConfigChange};
use amaranth_config::folder::{ConfigSet, SourceDocument, merge};
use amaranth_core::ids::{ConfigRevision, LogOffset};
use amaranth_follow::{ConfigView, FollowerOptions};
use amaranth_ports::log::{LogPage, LogPort, LogRecord, LogStream};
use amaranth_ports::{PortError, PortResult};
use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::timeout;

/// The injected faults of a log.
#[derive(Debug, Clone, Copy, Default)]
pub struct FakeFaults {
    /// Whether every call fails without effect.
    pub unavailable: bool,
    /// The number of appends that still succeed before all further ones fail without effect.
    pub remaining_appends: Option<u32>,
    /// Whether appends take effect but their answers are lost.
    pub lose_answers: bool,
}

/// An in-memory log.
#[derive(Debug)]
pub struct FakeLog {
    records: Mutex<Vec<Bytes>>,
    first_kept: Mutex<usize>,
    faults: Mutex<FakeFaults>,
    changed: watch::Sender<u64>,
}

impl FakeLog {
    /// Creates an empty log.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            records: Mutex::default(),
            first_kept: Mutex::default(),
            faults: Mutex::default(),
            changed: watch::Sender::new(0),
        })
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: FakeFaults) {
        *self.faults.lock().unwrap() = faults;
        self.changed.send_modify(|count| *count += 1);
    }

    /// Drops every record before `first`.
    pub fn expire_before(&self, first: usize) {
        *self.first_kept.lock().unwrap() = first;
    }

    /// Removes every record from `end` on, as if the log had lost its newest records.
    pub fn rewind(&self, end: usize) {
        self.records.lock().unwrap().truncate(end);
    }

    /// Returns the offset after the newest record.
    pub fn end(&self) -> usize {
        self.records.lock().unwrap().len()
    }

    /// Appends a record without injected faults, and returns its offset.
    pub fn put(&self, record: Bytes) -> usize {
        let mut records = self.records.lock().unwrap();
        records.push(record);
        self.changed.send_modify(|count| *count += 1);
        records.len() - 1
    }

    fn page(&self, from: LogOffset, limit: usize) -> LogPage {
        let records = self.records.lock().unwrap();
        let first_kept = *self.first_kept.lock().unwrap();
        let start = usize::try_from(from.0).unwrap().max(first_kept);
        let found = records.iter().enumerate().skip(start).take(limit);
        LogPage {
            records: found
                .map(|(offset, data)| LogRecord {
                    offset: LogOffset(offset as u64),
                    data: data.clone(),
                })
                .collect(),
            first_kept: LogOffset(first_kept as u64),
            end: LogOffset(records.len() as u64),
        }
    }
}

#[async_trait]
impl LogPort for FakeLog {
    async fn append(&self, _stream: LogStream, record: Bytes) -> PortResult<LogOffset> {
        let faults = {
            let mut faults = self.faults.lock().unwrap();
            let current = *faults;
            faults.remaining_appends = current
                .remaining_appends
                .map(|count| count.saturating_sub(1));
            current
        };
        if faults.unavailable || faults.remaining_appends == Some(0) {
            return Err(PortError::Unreachable("the log is unavailable".to_owned()));
        }
        let offset = self.put(record);
        if faults.lose_answers {
            return Err(PortError::Uncertain("the answer was lost".to_owned()));
        }
        Ok(LogOffset(offset as u64))
    }

    async fn read(
        &self,
        _stream: LogStream,
        from: LogOffset,
        limit: usize,
        wait: Duration,
    ) -> PortResult<LogPage> {
        let mut changed = self.changed.subscribe();
        let until = tokio::time::Instant::now() + wait;
        loop {
            if self.faults.lock().unwrap().unavailable {
                return Err(PortError::Unreachable("the log is unavailable".to_owned()));
            }
            let page = self.page(from, limit);
            if !page.records.is_empty() {
                return Ok(page);
            }
            if tokio::time::timeout_at(until, changed.changed())
                .await
                .is_err()
            {
                return Ok(page);
            }
        }
    }
}

/// Returns the entries of a folder with one document.
pub fn folder(text: &str) -> ConfigSet {
    merge(&[SourceDocument::new("10.toml", text)]).expect("the folder is valid")
}

/// Returns the record of a change that turns `catalogue` into the folder with `text`.
pub fn change_record(catalogue: &Catalogue, text: &str) -> Bytes {
    let origin = ChangeOrigin {
        author: "aiko".parse().expect("the author is valid"),
        stated_at_ms: 0,
    };
    ConfigChange::between(catalogue, &folder(text), origin)
        .into_record()
        .expect("the record is small")
}

/// Returns the text of a folder with `count` numbered adapters.
pub fn adapters(count: usize) -> String {
    format!(
        "[models.m]\n[adapter-sets.a]\nnames = \"a-{{1..{count}}}\"\nbase = \"m\"\nversions = [1]\n"
    )
}

/// Returns options of a process named `writer` with short waits.
pub fn options(writer: &str) -> FollowerOptions {
    FollowerOptions {
        writer: writer.to_owned(),
        read_wait: Duration::from_secs(1),
        ..FollowerOptions::default()
    }
}

/// Virtual time within which an expected state must be reached.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until `view` has reached `revision`.
pub async fn wait_for_revision(view: &ConfigView, revision: u64) {
    let mut state = view.watch();
    let reached = state.wait_for(|state| state.revision >= ConfigRevision(revision));
    timeout(WAIT_TIMEOUT, reached)
        .await
        .expect("the revision is reached in time")
        .expect("the follower is running");
}

/// Appends `count` changes to `from`, each of which adds one adapter, and returns the result.
pub fn append_changes(log: &FakeLog, from: &Catalogue, count: usize) -> Catalogue {
    let mut catalogue = from.clone();
    for _ in 0..count {
        let text = adapters(catalogue.adapter_count() + 1);
        log.put(change_record(&catalogue, &text));
        let edits = folder(&text).edits_from(&catalogue);
        catalogue = catalogue
            .with_edits(catalogue.revision().next(), &edits)
            .expect("the change is valid");
    }
    catalogue
}
