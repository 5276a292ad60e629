//! The store's tables at an entry: read from a reader of the data centre, or from the store itself
//! when what the reader hands on is too old.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{EndpointId, Era};
use amaranth_core::store::StorePosition;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::endpoint_table::{EndpointState, RegistryEvent};
use amaranth_dispatch::store_table::{
    MIN_ENTRIES_FOR_READERS, ReaderRanking, SharedUpdate, TableCursor, TableFreshness, TableRecord,
    TableUpdate,
};
use amaranth_wire::engine_agent::TableCursors;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::entry::{ConfigRecord, EntryCore, EntryState};
use crate::feed::{FeedEvent, FeedObserver};

/// Fraction of a table's bound beyond which records by a reader's hand are too old, so that the
/// entry reads the store itself.
pub const MAX_AGE_FRACTION: f64 = 0.55;

/// Fraction of a table's bound by which a reader's last read may be older than the entry's own: more
/// than the interval at which readers read, and less than the age at which entries do.
const MAX_LAG_FRACTION: f64 = 0.4;

/// Fraction of the smaller bound for which a reader waits for a change before it answers.
const READER_WAIT_FRACTION: f64 = 0.2;

/// Minimum time between two questions to a reader.
const MIN_QUESTION_INTERVAL: Duration = Duration::from_millis(50);

/// Fraction of a table's bound within which the entries of a data centre spread their reads of a
/// withheld record that changed. With the reader's interval of a quarter of the bound, most of the bound
/// is left for the read and its repetitions.
const READ_SPREAD_FRACTION: f64 = 0.05;

/// Time until the entry looks for a reader again when there is none.
const NO_READER_DELAY: Duration = Duration::from_millis(300);

/// Decoders of the records that readers hand on.
#[derive(Debug, Clone, Copy)]
pub struct TableDecoders {
    /// Decodes a record of the operator's configuration.
    pub config: fn(&TableRecord) -> Option<ConfigRecord>,
    /// Decodes a record of the registry.
    pub registry: fn(&TableRecord) -> Option<RegistryEvent>,
}

/// Applies what an entry reads of one table by itself, unless a reader's records are recent.
pub struct DirectObserver<Item> {
    /// The entry.
    pub core: Arc<EntryCore>,
    /// Returns the freshness of the table.
    pub freshness: fn(&mut EntryState) -> &mut TableFreshness,
    /// The age beyond which a reader's records are too old.
    pub max_age: Duration,
    /// The time within which entries spread reads of withheld records.
    pub max_spread: Duration,
    /// Notified when withheld records have changed.
    pub needed: Arc<Notify>,
    /// Applies an update.
    pub apply: fn(&EntryCore, FeedEvent<Item>),
}

impl<Item> DirectObserver<Item> {
    /// Creates the observer of a table whose changes are due within `bound`.
    pub fn new(
        core: &Arc<EntryCore>,
        bound: Duration,
        freshness: fn(&mut EntryState) -> &mut TableFreshness,
        apply: fn(&EntryCore, FeedEvent<Item>),
    ) -> Self {
        Self {
            core: Arc::clone(core),
            freshness,
            max_age: bound.mul_f64(MAX_AGE_FRACTION),
            max_spread: bound.mul_f64(READ_SPREAD_FRACTION),
            needed: Arc::default(),
            apply,
        }
    }

    /// Returns the delay of this entry's read of withheld records, which differs between entries.
    fn spread(&self) -> Duration {
        let position = (self.freshness)(&mut self.core.state()).missing_position();
        let seed = position.map_or(0, |position| position.offset);
        let share = hash64(seed, self.core.options.name.as_bytes()) as f64 / u64::MAX as f64;
        self.max_spread.mul_f64(share)
    }
}

impl<Item> FeedObserver<Item> for DirectObserver<Item> {
    fn observe(&mut self, read_at: Timestamp, end: StorePosition, event: Option<FeedEvent<Item>>) {
        let accepted = (self.freshness)(&mut self.core.state()).record_read(read_at, end);
        if let Some(event) = event.filter(|_| accepted) {
            (self.apply)(&self.core, event);
        }
    }

    fn known_era(&self) -> Option<Era> {
        (self.freshness)(&mut self.core.state()).era()
    }

    fn relayed_for(&self) -> Option<Duration> {
        let now = self.core.now();
        (self.freshness)(&mut self.core.state()).relayed_for(now, self.max_age)
    }

    fn keeps_position(&self) -> bool {
        // The entry reads each change of a withheld record, so its position stays near the end.
        (self.freshness)(&mut self.core.state()).is_withheld()
    }

    async fn pause(&self, delay: Duration) {
        if timeout(delay, self.needed.notified()).await.is_ok() {
            sleep(self.spread()).await;
        }
    }

    fn has_relay(&self) -> bool {
        if !uses_readers(&self.core) {
            return false;
        }
        let mut state = self.core.state();
        let freshness = (self.freshness)(&mut state);
        freshness.era().is_some() && freshness.missing_position().is_none()
    }
}

/// Returns whether the fleet is large enough for readers.
fn uses_readers(core: &EntryCore) -> bool {
    let now = core.now();
    let entries = core.state().fleet_size.entries(now);
    entries.is_some_and(|entries| entries >= MIN_ENTRIES_FOR_READERS)
}

/// Asks the reader of the data centre for the store's tables without end. `config_needed` is notified
/// when the entry has to read the configuration from the store.
pub async fn follow_readers(
    core: Arc<EntryCore>,
    decoders: TableDecoders,
    config_needed: Arc<Notify>,
) {
    let mut ranking = ReaderRanking::default();
    let mut cursors = TableCursors::default();
    let mut last_reader: Option<EndpointId> = None;
    let bound = core.options.config_bound.min(core.options.drain_bound);
    let wait = bound.mul_f64(READER_WAIT_FRACTION);
    loop {
        let Some((reader, address)) = select_reader(&core, &ranking) else {
            sleep(NO_READER_DELAY).await;
            continue;
        };
        if last_reader.as_ref() != Some(&reader) {
            log::info!("event=store_reader_selected reader={reader}");
            cursors = TableCursors::default();
            last_reader = Some(reader.clone());
        }
        let asked_at = core.now();
        match core.agents.read_shared_tables(address, cursors, wait).await {
            Ok(updates) => {
                if let Some(update) = updates.config {
                    cursors.config =
                        apply_config(&core, decoders, asked_at, update, cursors.config);
                    if core.state().config_freshness.missing_position().is_some() {
                        config_needed.notify_one();
                    }
                } else {
                    core.state().config_freshness.record_unread();
                }
                if let Some(update) = updates.registry {
                    cursors.registry =
                        apply_registry(&core, decoders, asked_at, update, cursors.registry);
                }
                if is_behind(&core) {
                    log::info!("event=store_reader_behind reader={reader}");
                    ranking.record_failure(core.now(), &reader);
                }
                sleep(MIN_QUESTION_INTERVAL).await;
            }
            Err(error) => {
                log::info!("event=store_reader_lost reader={reader} error={error}");
                ranking.record_failure(core.now(), &reader);
            }
        }
    }
}

/// Returns the reader to ask and the address of its agent, if the fleet is large enough for readers.
fn select_reader(core: &EntryCore, ranking: &ReaderRanking) -> Option<(EndpointId, SocketAddr)> {
    if !uses_readers(core) {
        return None;
    }
    let now = core.now();
    let state = core.state();
    let locality = &core.options.locality;
    let candidates = |is_near: &dyn Fn(&EndpointState) -> bool| {
        let agents = state
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.view.is_some() && is_near(endpoint))
            .map(|endpoint| &endpoint.record.id);
        ranking.select(now, &locality.data_centre, agents)
    };
    let in_data_centre =
        |endpoint: &EndpointState| endpoint.record.data_centre == locality.data_centre;
    let in_region =
        |endpoint: &EndpointState| locality.is_same_region(&endpoint.record.data_centre);
    let reader = candidates(&in_data_centre).or_else(|| candidates(&in_region))?;
    let address = state.endpoints.get(reader)?.record.address;
    Some((reader.clone(), core.agent_address(address)))
}

/// Returns whether a table by the reader's hand lags behind what the entry read itself.
fn is_behind(core: &EntryCore) -> bool {
    let state = core.state();
    let options = &core.options;
    let lags = |freshness: &TableFreshness, bound: Duration| {
        freshness.is_reader_behind(bound.mul_f64(MAX_LAG_FRACTION))
    };
    lags(&state.config_freshness, options.config_bound)
        || lags(&state.registry_freshness, options.drain_bound)
}

fn apply_config(
    core: &EntryCore,
    decoders: TableDecoders,
    asked_at: Timestamp,
    shared: SharedUpdate,
    cursor: TableCursor,
) -> TableCursor {
    let accepted = core
        .state()
        .config_freshness
        .accept_shared(asked_at, &shared);
    if !accepted {
        return cursor;
    }
    let update = shared.update;
    let new_cursor = update.cursor;
    let records: Vec<ConfigRecord> = update.records.iter().filter_map(decoders.config).collect();
    if !records.is_empty() {
        core.apply_config(FeedEvent::Changes(records));
    }
    new_cursor
}

fn apply_registry(
    core: &EntryCore,
    decoders: TableDecoders,
    asked_at: Timestamp,
    update: TableUpdate,
    cursor: TableCursor,
) -> TableCursor {
    let (accepted, is_restored) = {
        let mut state = core.state();
        let era = state.registry_freshness.era();
        let accepted = state.registry_freshness.accept(asked_at, &update);
        (accepted, era.is_some_and(|era| era < update.era))
    };
    if !accepted {
        return cursor;
    }
    let events: Vec<RegistryEvent> = update
        .records
        .iter()
        .filter_map(decoders.registry)
        .collect();
    if update.whole && is_restored {
        core.apply_registry(FeedEvent::Restored(events));
    } else if update.whole {
        core.apply_registry(FeedEvent::Snapshot(events));
    } else if !events.is_empty() {
        core.apply_registry(FeedEvent::Changes(events));
    }
    update.cursor
}
