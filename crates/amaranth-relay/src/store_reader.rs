//! The reader of the store's tables at an agent, which hands them on to the entries of its data
//! centre. It reads the store only while some entry asks.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_core::store::StorePosition;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::store_table::{DigestedRecord, StoreTable};
use amaranth_wire::engine_agent::{SharedUpdates, TableCursors, TableUpdates};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::feed::{self, FeedEvent, FeedObserver, FeedOptions, FeedSource};
use crate::suspend_clock::SuspendClock;

/// Time after the last question of an entry for which the reader continues to read.
const IDLE_TIME: Duration = Duration::from_secs(6);

/// Time between two checks whether entries still ask.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Fraction of a table's bound that passes between two reads of the table.
const READ_INTERVAL_FRACTION: f64 = 0.25;

/// Minimum time between two reads that wait for a change.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Options of a reader.
#[derive(Debug, Clone, Copy)]
pub struct ReaderOptions {
    /// The incarnation of the reader, which no other reader has.
    pub incarnation: u64,
    /// The maximum delay until a published configuration is in force.
    pub config_bound: Duration,
    /// The maximum delay until a draining endpoint gets no new calls.
    pub drain_bound: Duration,
}

/// The tables that a reader follows.
#[derive(Debug)]
struct ReaderTables {
    config: StoreTable,
    registry: StoreTable,
    last_asked_at: Timestamp,
}

impl ReaderTables {
    fn has_news(&self, cursors: TableCursors) -> bool {
        self.config.is_read()
            && self.registry.is_read()
            && (self.config.has_news(cursors.config) || self.registry.has_news(cursors.registry))
    }

    fn has_shared_news(&self, cursors: TableCursors) -> bool {
        self.config.is_read()
            && self.registry.is_read()
            && (self.config.has_shared_news(cursors.config)
                || self.registry.has_news(cursors.registry))
    }
}

/// A reader of the store's tables.
#[derive(Debug)]
pub struct StoreReader {
    options: ReaderOptions,
    clock: SuspendClock,
    tables: Mutex<ReaderTables>,
    changed: Notify,
    asked: Notify,
}

impl StoreReader {
    /// Creates a reader that has not read anything.
    pub fn new(options: ReaderOptions) -> Self {
        let incarnation = options.incarnation.max(1);
        Self {
            options,
            clock: SuspendClock::start(),
            tables: Mutex::new(ReaderTables {
                config: StoreTable::new(incarnation),
                registry: StoreTable::new(incarnation),
                last_asked_at: Timestamp::ZERO,
            }),
            changed: Notify::new(),
            asked: Notify::new(),
        }
    }

    /// Returns what an entry lacks of the tables, as soon as there is something or after `wait`. A table
    /// with secrets is missing.
    pub async fn updates(&self, cursors: TableCursors, wait: Duration) -> TableUpdates {
        let asked_at = self.record_question();
        // On a timeout the entry still learns how recent the tables are.
        let _ = timeout(wait, self.wait_until(|tables| tables.has_news(cursors))).await;
        let tables = self.tables();
        TableUpdates {
            config: tables.config.update_for(asked_at, cursors.config),
            registry: tables.registry.update_for(asked_at, cursors.registry),
        }
    }

    /// Returns what an entry lacks of the tables, without records that hold secrets, as soon as there
    /// is something or after `wait`.
    pub async fn shared_updates(&self, cursors: TableCursors, wait: Duration) -> SharedUpdates {
        let asked_at = self.record_question();
        let has_news = |tables: &ReaderTables| tables.has_shared_news(cursors);
        let _ = timeout(wait, self.wait_until(has_news)).await;
        let tables = self.tables();
        SharedUpdates {
            config: tables.config.shared_update_for(asked_at, cursors.config),
            registry: tables.registry.update_for(asked_at, cursors.registry),
        }
    }

    /// Records that an entry asks now, and returns the time.
    fn record_question(&self) -> Timestamp {
        let asked_at = self.clock.now();
        self.tables().last_asked_at = asked_at;
        self.asked.notify_one();
        asked_at
    }

    async fn wait_until(&self, is_met: impl Fn(&ReaderTables) -> bool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if is_met(&self.tables()) {
                return;
            }
            changed.await;
        }
    }

    /// Follows the tables without end while entries ask for them.
    pub async fn run(
        self: Arc<Self>,
        mut config: impl FeedSource<Item = DigestedRecord>,
        mut registry: impl FeedSource<Item = DigestedRecord>,
    ) {
        loop {
            self.asked.notified().await;
            if self.is_idle() {
                continue;
            }
            log::info!("event=store_reader state=reading");
            let config_wait = self.options.config_bound.mul_f64(READ_INTERVAL_FRACTION);
            let config_options = FeedOptions {
                name: "configuration",
                wait: config_wait,
                interval: MIN_READ_INTERVAL,
            };
            let registry_options = FeedOptions {
                name: "registry",
                wait: Duration::ZERO,
                interval: self.options.drain_bound.mul_f64(READ_INTERVAL_FRACTION),
            };
            let mut config_observer = TableObserver {
                reader: &self,
                table: |tables| &mut tables.config,
            };
            let mut registry_observer = TableObserver {
                reader: &self,
                table: |tables| &mut tables.registry,
            };
            tokio::select! {
                () = feed::follow_with(&mut config, config_options, self.clock, &mut config_observer) => {}
                () = feed::follow_with(&mut registry, registry_options, self.clock, &mut registry_observer) => {}
                () = self.become_idle() => {}
            }
            log::info!("event=store_reader state=idle");
        }
    }

    async fn become_idle(&self) {
        while !self.is_idle() {
            sleep(IDLE_CHECK_INTERVAL).await;
        }
    }

    fn is_idle(&self) -> bool {
        let now = self.clock.now();
        now.since(self.tables().last_asked_at) > IDLE_TIME
    }

    fn tables(&self) -> MutexGuard<'_, ReaderTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies what is read of one table.
struct TableObserver<'a> {
    reader: &'a StoreReader,
    table: fn(&mut ReaderTables) -> &mut StoreTable,
}

impl FeedObserver<DigestedRecord> for TableObserver<'_> {
    fn confirms_changes(&self) -> bool {
        // Otherwise entries would hear of a recent read only after their records are too old, and each
        // would read the store itself after some of the changes.
        true
    }

    fn observe(
        &mut self,
        read_at: Timestamp,
        end: StorePosition,
        event: Option<FeedEvent<DigestedRecord>>,
    ) {
        let mut tables = self.reader.tables();
        let table = (self.table)(&mut tables);
        let (before, was_read) = (table.revision(), table.is_read());
        match event {
            Some(FeedEvent::Snapshot(records) | FeedEvent::Restored(records)) => {
                table.replace(read_at, end, records);
            }
            Some(FeedEvent::Changes(records)) => {
                table.apply(records);
                table.confirm(read_at, end);
            }
            None => table.confirm(read_at, end),
        }
        let has_changed = table.revision() != before || !was_read;
        drop(tables);
        if has_changed {
            self.reader.changed.notify_waiters();
        }
    }
}
