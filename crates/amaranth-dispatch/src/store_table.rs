//! A table of the store as a reader hands it on to entries, and the choice of that reader.
//!
//! A reader follows the store's tables once for many entries. Each record that differs in what
//! entries need of it gets a new revision, and an entry receives the records beyond the revision
//! that it has. All that it receives bears the time of the read, the era of the store and the
//! incarnation of the reader, so that an entry can tell a reader that lags behind.
//!
//! Secret records are withheld: entries read them from the store. The reader states the position up
//! to which an entry must have read to have the newest ones, so that an entry that has need not read.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{EndpointId, Era};
use amaranth_core::store::StorePosition;
use amaranth_core::time::Timestamp;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Largest number of removed keys that a table remembers. Entries that lack one of the forgotten
/// removals receive the whole table.
const MAX_REMOVED_KEYS: usize = 1_024;

/// Smallest number of entries for which readers are used. With fewer, readers would save no reads.
pub const MIN_ENTRIES_FOR_READERS: u32 = 8;

/// Time for which a reader that failed or lags behind is not asked again.
const READER_AVOID_TIME: Duration = Duration::from_secs(4);

/// A record of a table.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRecord {
    /// The key of the record.
    pub key: String,
    /// The value, or nothing if the record removes the key.
    pub value: Option<Bytes>,
}

impl fmt::Debug for TableRecord {
    /// Formats the size in place of the value, which may contain API keys.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("TableRecord")
            .field("key", &self.key)
            .field("value_bytes", &self.value.as_ref().map(Bytes::len))
            .finish()
    }
}

/// A record with a digest of what entries need of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DigestedRecord {
    /// The record.
    pub record: TableRecord,
    /// The digest, which differs only if entries need to know the record.
    pub digest: u64,
    /// Whether the record holds secrets, so that it must not be handed on. Its value may be left out.
    pub is_secret: bool,
}

/// What an entry has of a reader's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TableCursor {
    /// The incarnation of the reader that the entry's records come from.
    pub reader: u64,
    /// The largest revision that the entry has.
    pub revision: u64,
}

/// Records that a reader hands on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// What the entry has once it applied the update.
    pub cursor: TableCursor,
    /// The era of the store at the last read.
    pub era: Era,
    /// The time from the arrival of the entry's question at the reader to the reader's last read of
    /// the store, in microseconds; negative if the read was earlier.
    pub read_offset_us: i64,
    /// Whether the records are the whole table rather than those that changed.
    pub whole: bool,
    /// The records, with removed keys unless the table is whole.
    pub records: Vec<TableRecord>,
}

/// Records that a reader hands on of a table whose secret records it withholds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedUpdate {
    /// The records that hold no secret.
    pub update: TableUpdate,
    /// The position up to which an entry must have read the store to have the newest of the withheld
    /// records; nothing if no record is withheld.
    pub withheld_until: Option<StorePosition>,
}

struct TableRow {
    value: Option<Bytes>,
    digest: u64,
    revision: u64,
    is_secret: bool,
}

/// A table of the store at a reader.
pub struct StoreTable {
    reader: u64,
    rows: BTreeMap<String, TableRow>,
    revision: u64,
    /// Entries with a smaller revision receive the whole table.
    complete_from: u64,
    era: Era,
    read_at: Option<Timestamp>,
    is_withheld: bool,
    /// The end of the table at the first read that held the newest secret records.
    withheld_until: StorePosition,
    /// Whether secret records were applied since the last confirmation.
    has_new_secrets: bool,
}

impl fmt::Debug for StoreTable {
    /// Formats the size of the table, whose values may contain API keys.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StoreTable")
            .field("reader", &self.reader)
            .field("rows", &self.rows.len())
            .field("revision", &self.revision)
            .finish_non_exhaustive()
    }
}

impl StoreTable {
    /// Creates the table of a reader whose incarnation is `reader`, which is not zero.
    pub const fn new(reader: u64) -> Self {
        Self {
            reader,
            rows: BTreeMap::new(),
            revision: 0,
            complete_from: 0,
            era: Era(0),
            read_at: None,
            is_withheld: false,
            withheld_until: StorePosition::new(Era(0), 0),
            has_new_secrets: false,
        }
    }

    /// Returns the newest revision.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether the store was read.
    pub const fn is_read(&self) -> bool {
        self.read_at.is_some()
    }

    /// Returns whether a record of the table holds secrets. An entry without that record must not count
    /// its records as recent.
    pub const fn is_withheld(&self) -> bool {
        self.is_withheld
    }

    /// Returns whether there are records that an entry with `cursor` lacks and may get, if the entry
    /// takes whole tables only.
    pub fn has_news(&self, cursor: TableCursor) -> bool {
        !self.is_withheld && self.has_shared_news(cursor)
    }

    /// Returns whether there are changes that an entry with `cursor` does not know, if the entry takes
    /// tables without their secret records.
    pub fn has_shared_news(&self, cursor: TableCursor) -> bool {
        self.is_read() && (cursor.reader != self.reader || cursor.revision < self.revision)
    }

    /// Records that the store was read at `now`, the time before the read, held no other records, and
    /// that the table ended at `end`.
    pub fn confirm(&mut self, now: Timestamp, end: StorePosition) {
        if end.era > self.era {
            self.era = end.era;
            self.complete_from = self.revision;
            self.has_new_secrets = true;
        }
        if std::mem::take(&mut self.has_new_secrets) {
            self.withheld_until = self.withheld_until.max(end);
        }
        self.read_at = self.read_at.max(Some(now));
    }

    /// Replaces the table by all records that the store held at `now`, when it ended at `end`.
    pub fn replace(&mut self, now: Timestamp, end: StorePosition, records: Vec<DigestedRecord>) {
        let listed: std::collections::HashSet<&str> = records
            .iter()
            .map(|known| known.record.key.as_str())
            .collect();
        let missing: Vec<DigestedRecord> = self
            .rows
            .iter()
            .filter(|(key, row)| row.value.is_some() && !listed.contains(key.as_str()))
            .map(|(key, _)| removal(key.clone()))
            .collect();
        self.apply(missing);
        self.apply(records);
        self.confirm(now, end);
    }

    /// Applies records that the store received since the last read, which [`Self::confirm`] then
    /// dates.
    pub fn apply(&mut self, records: Vec<DigestedRecord>) {
        for DigestedRecord {
            record,
            digest,
            is_secret,
        } in records
        {
            let TableRecord { key, value } = record;
            // An unchanged one counts too: it may have changed and changed back since the last read.
            self.has_new_secrets |= is_secret;
            let known = self.rows.get(&key);
            if known.is_none() && value.is_none() {
                continue;
            }
            let is_same = known
                .is_some_and(|row| row.digest == digest && row.value.is_some() == value.is_some());
            let revision = match known {
                Some(row) if is_same => row.revision,
                _ => {
                    self.revision += 1;
                    self.revision
                }
            };
            let row = TableRow {
                value,
                digest,
                revision,
                is_secret,
            };
            self.rows.insert(key, row);
        }
        self.forget_removals();
        let mut rows = self.rows.values();
        self.is_withheld = rows.any(|row| row.is_secret && row.value.is_some());
    }

    fn forget_removals(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none());
        if removed.count() > MAX_REMOVED_KEYS {
            self.rows.retain(|_, row| row.value.is_some());
            self.complete_from = self.revision;
        }
    }

    /// Returns what an entry with `cursor` lacks. `asked_at` is the time at which its question
    /// arrived. Returns nothing if the store was never read or a record is withheld, since an entry
    /// that does not know of withheld records would count its table as recent.
    pub fn update_for(&self, asked_at: Timestamp, cursor: TableCursor) -> Option<TableUpdate> {
        let shared = self.shared_update_for(asked_at, cursor)?;
        shared.withheld_until.is_none().then_some(shared.update)
    }

    /// Returns what an entry with `cursor` lacks, without secret records. `asked_at` is the time at
    /// which its question arrived. Returns nothing if the store was never read.
    pub fn shared_update_for(
        &self,
        asked_at: Timestamp,
        cursor: TableCursor,
    ) -> Option<SharedUpdate> {
        let read_at = self.read_at?;
        let whole = cursor.reader != self.reader || cursor.revision < self.complete_from;
        let is_wanted = |row: &TableRow| {
            if whole {
                row.value.is_some()
            } else {
                row.revision > cursor.revision
            }
        };
        let records = self
            .rows
            .iter()
            .filter(|(_, row)| is_wanted(row) && !row.is_secret)
            .map(|(key, row)| TableRecord {
                key: key.clone(),
                value: row.value.clone(),
            })
            .collect();
        let update = TableUpdate {
            cursor: TableCursor {
                reader: self.reader,
                revision: self.revision,
            },
            era: self.era,
            read_offset_us: signed_micros(read_at) - signed_micros(asked_at),
            whole,
            records,
        };
        Some(SharedUpdate {
            update,
            withheld_until: self.is_withheld.then_some(self.withheld_until),
        })
    }
}

fn removal(key: String) -> DigestedRecord {
    let record = TableRecord { key, value: None };
    DigestedRecord {
        record,
        digest: 0,
        is_secret: false,
    }
}

fn signed_micros(time: Timestamp) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

/// The source of the records that an entry has of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TableSource {
    Store,
    Reader(u64),
}

/// How recent an entry's records of a table are, and which records by another's hand it accepts.
#[derive(Debug, Clone, Default)]
pub struct TableFreshness {
    as_of: Option<Timestamp>,
    relayed_as_of: Option<Timestamp>,
    offered_as_of: Option<Timestamp>,
    era: Era,
    source: Option<TableSource>,
    /// The position up to which the entry itself read the store.
    own_position: Option<StorePosition>,
    /// The largest position that a reader stated for its withheld records.
    needed_position: Option<StorePosition>,
    is_withheld: bool,
}

impl TableFreshness {
    /// Records that the entry itself read the store up to `position`; `now` is the time before the
    /// read. Returns whether the records may be applied: those of an earlier era may not.
    pub fn record_read(&mut self, now: Timestamp, position: StorePosition) -> bool {
        if position.era < self.era {
            return false;
        }
        self.era = position.era;
        self.own_position = self.own_position.max(Some(position));
        self.as_of = self.as_of.max(Some(now));
        self.source = Some(TableSource::Store);
        true
    }

    /// Decides on an update of a reader that the entry asked at `asked_at`. Returns whether its
    /// records may be applied.
    ///
    /// An update of an earlier era, or one that is older than what the entry has from elsewhere, is
    /// not accepted. `asked_at` is the earliest time at which the question can have arrived, so a
    /// delayed answer never counts as more recent than it is.
    pub fn accept(&mut self, asked_at: Timestamp, update: &TableUpdate) -> bool {
        self.accept_until(asked_at, update, None)
    }

    /// Decides on an update without secret records, as [`Self::accept`] does.
    ///
    /// The entry's records count as recent as the reader's read only if the entry itself read the store
    /// up to the position of the withheld records, in the era of that read. Otherwise the entry has to
    /// read the store at once.
    pub fn accept_shared(&mut self, asked_at: Timestamp, shared: &SharedUpdate) -> bool {
        self.accept_until(asked_at, &shared.update, shared.withheld_until)
    }

    fn accept_until(
        &mut self,
        asked_at: Timestamp,
        update: &TableUpdate,
        withheld_until: Option<StorePosition>,
    ) -> bool {
        let read_at = signed_micros(asked_at).saturating_add(update.read_offset_us);
        let read_at = Timestamp::from_micros(u64::try_from(read_at).unwrap_or(0));
        self.offered_as_of = Some(read_at);
        if update.era < self.era {
            return false;
        }
        self.is_withheld = withheld_until.is_some();
        self.needed_position = self.needed_position.max(withheld_until);
        let has_secrets = withheld_until.is_none() || self.has_needed_position();
        // Whether the update is applied or older than what the entry has, the entry knows at least what
        // the reader had read, once it has read the withheld records.
        self.relayed_as_of = Some(read_at);
        let source = Some(TableSource::Reader(update.cursor.reader));
        let is_older = self.as_of.is_some_and(|known| read_at < known);
        if is_older && self.source != source {
            return false;
        }
        self.era = update.era;
        if has_secrets {
            self.as_of = self.as_of.max(Some(read_at));
        }
        self.source = source;
        true
    }

    /// Records that the reader that the entry asked has not read the table, so that the entry does not
    /// take the last answer of another reader for this one's.
    pub const fn record_unread(&mut self) {
        self.offered_as_of = None;
    }

    /// Returns whether the reader that the entry asked last withholds records of the table.
    pub const fn is_withheld(&self) -> bool {
        self.is_withheld
    }

    /// Returns the position up to which the entry has to read the store itself, if it has not yet.
    pub fn missing_position(&self) -> Option<StorePosition> {
        self.needed_position.filter(|_| !self.has_needed_position())
    }

    /// Returns whether the entry read the store up to the withheld records of which it knows. Positions
    /// are ordered by era first, so a read of an earlier era never suffices.
    fn has_needed_position(&self) -> bool {
        self.own_position >= self.needed_position
    }

    /// Returns the age of the records, if there are any.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }

    /// Returns whether the reader's last answer lags behind what the entry itself read: the reader is
    /// cut off from a store that answers. In an outage of the store all readers are alike.
    ///
    /// A reader that reads at its usual interval is up to `max_lag` older than the entry's own read.
    pub fn is_reader_behind(&self, max_lag: Duration) -> bool {
        let (Some(as_of), Some(offered)) = (self.as_of, self.offered_as_of) else {
            return false;
        };
        as_of.since(offered) > max_lag
    }

    /// Returns the newest era of which the entry has records, if it has any.
    pub fn era(&self) -> Option<Era> {
        self.as_of.map(|_| self.era)
    }

    /// Returns for how long the entry need not read the store itself: until the records that a
    /// reader handed on are older than `max_age`, unless it lacks withheld records.
    pub fn relayed_for(&self, now: Timestamp, max_age: Duration) -> Option<Duration> {
        if !self.has_needed_position() {
            return None;
        }
        let age = now.since(self.relayed_as_of?);
        (age < max_age).then(|| max_age - age)
    }
}

/// The order in which an entry asks the agents of its data centre for the store's tables.
///
/// All entries of a data centre rank alike without coordination, so that one reader serves them.
#[derive(Debug, Clone, Default)]
pub struct ReaderRanking {
    avoided_until: HashMap<EndpointId, Timestamp>,
}

impl ReaderRanking {
    /// Returns the endpoint whose agent to ask, out of those with an agent in the data centre.
    pub fn select<'a>(
        &self,
        now: Timestamp,
        data_centre: &str,
        candidates: impl Iterator<Item = &'a EndpointId>,
    ) -> Option<&'a EndpointId> {
        let seed = hash64(0, data_centre.as_bytes());
        candidates
            .filter(|id| {
                self.avoided_until
                    .get(*id)
                    .is_none_or(|until| *until <= now)
            })
            .min_by_key(|id| hash64(seed, id.as_str().as_bytes()))
    }

    /// Records that a reader failed or lags behind.
    pub fn record_failure(&mut self, now: Timestamp, id: &EndpointId) {
        self.avoided_until.retain(|_, until| *until > now);
        self.avoided_until
            .insert(id.clone(), now + READER_AVOID_TIME);
    }
}
