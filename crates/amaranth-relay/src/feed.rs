//! Following of a platform table: first a snapshot of the newest records, then the changes.

use std::future::Future;
use std::time::Duration;

use amaranth_core::ids::Era;
use amaranth_core::store::StorePosition;
use amaranth_core::time::Timestamp;
use tokio::time::{Instant, sleep};

use crate::suspend_clock::SuspendClock;

/// Records of one read, and the position of the next read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedBatch<Item> {
    /// The decoded records, oldest first.
    pub items: Vec<Item>,
    /// The position after the last record.
    pub position: StorePosition,
}

/// A failed read of a table.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// The records from the position on are no longer stored, or the store was restored from an
    /// older copy since and has assigned the offset again.
    #[error("records from position {0} on are not available")]
    PositionLost(StorePosition),
    /// The platform can't be reached or refuses the read.
    #[error("{0}")]
    Unavailable(String),
}

/// A platform table that can be followed.
pub trait FeedSource: Send + 'static {
    /// The type of a decoded record.
    type Item: Send + 'static;

    /// Reads the newest record of each key.
    fn read_all(&mut self)
    -> impl Future<Output = Result<FeedBatch<Self::Item>, FeedError>> + Send;

    /// Reads the records from `position` on. Returns as soon as there is one or after `wait`.
    fn read_since(
        &mut self,
        position: StorePosition,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedBatch<Self::Item>, FeedError>> + Send;
}

/// An update from a followed table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedEvent<Item> {
    /// All current records of the table.
    Snapshot(Vec<Item>),
    /// All current records after the store was restored from an older copy, which lacks the newest
    /// records until they are written again.
    Restored(Vec<Item>),
    /// The records that changed since the last update.
    Changes(Vec<Item>),
}

/// Options for following a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedOptions {
    /// The name of the dependency in the log.
    pub name: &'static str,
    /// The maximum time for which a read waits for a change.
    pub wait: Duration,
    /// The minimum time between two reads.
    pub interval: Duration,
}

/// Retry delay after the first failed read. Each further failure doubles the delay.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum retry delay after a failed read.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum retry delay while another process reads the table as well and hands it on.
const MAX_RELAYED_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// A receiver of what a follower of a table reads.
pub trait FeedObserver<Item>: Send {
    /// Receives the result of a read: the time before the read, the position after its last record and
    /// the update, if there is one.
    fn observe(&mut self, read_at: Timestamp, end: StorePosition, event: Option<FeedEvent<Item>>);

    /// Returns the newest era that is known from elsewhere.
    fn known_era(&self) -> Option<Era> {
        None
    }

    /// Returns for how long no read is needed, because the records came from elsewhere.
    fn relayed_for(&self) -> Option<Duration> {
        None
    }

    /// Returns whether a read that a change ended is followed by one that does not wait. The change shows
    /// the state of the table at the beginning of the wait only, the read after it the state now.
    fn confirms_changes(&self) -> bool {
        false
    }

    /// Returns whether the reads continue at their last position after a time in which none was needed,
    /// rather than with all records.
    fn keeps_position(&self) -> bool {
        false
    }

    /// Waits for `delay`, in which no read is needed, or until one is needed earlier.
    fn pause(&self, delay: Duration) -> impl Future<Output = ()> + Send {
        sleep(delay)
    }

    /// Returns whether records may come from elsewhere during an outage.
    fn has_relay(&self) -> bool {
        false
    }
}

/// An observer that passes updates to a function.
struct EventHandler<Handle>(Handle);

impl<Item, Handle: FnMut(FeedEvent<Item>) + Send> FeedObserver<Item> for EventHandler<Handle> {
    fn observe(&mut self, _: Timestamp, _: StorePosition, event: Option<FeedEvent<Item>>) {
        if let Some(event) = event {
            (self.0)(event);
        }
    }
}

/// Follows a table without end and passes each update to `handle`.
pub async fn follow<Source: FeedSource>(
    mut source: Source,
    options: FeedOptions,
    handle: impl FnMut(FeedEvent<Source::Item>) + Send,
) {
    let mut handler = EventHandler(handle);
    follow_with(&mut source, options, SuspendClock::start(), &mut handler).await;
}

/// Follows a table without end and passes the result of each read to `observer`, with times of
/// `clock`.
///
/// A read waits for a change only if the previous read succeeded and no pause followed it. Otherwise a
/// read that is lost in an outage would delay the first read after the outage by the whole wait, and
/// the records would not count as recent until the wait is over.
pub async fn follow_with<Source: FeedSource>(
    source: &mut Source,
    options: FeedOptions,
    clock: SuspendClock,
    observer: &mut impl FeedObserver<Source::Item>,
) {
    let mut position: Option<StorePosition> = None;
    let mut newest_era: Option<Era> = None;
    let mut outage = Outage::new(options.name);
    let mut must_not_wait = false;
    loop {
        if let Some(delay) = observer.relayed_for() {
            if !observer.keeps_position() {
                // The position falls behind meanwhile, so the next read is of all records.
                position = None;
            }
            must_not_wait = true;
            observer.pause(delay).await;
            continue;
        }
        let started = Instant::now();
        let asked_at = clock.now();
        let wait = match position {
            Some(_) if outage.is_over() && !must_not_wait => options.wait,
            _ => Duration::ZERO,
        };
        let read = match position {
            None => source.read_all().await,
            Some(position) => source.read_since(position, wait).await,
        };
        newest_era = newest_era.max(observer.known_era());
        match read {
            Ok(batch) if newest_era.is_some_and(|era| batch.position.era < era) => {
                // An answer from before the store was restored says nothing about its contents now.
                let retry_delay =
                    outage.record("the answer is of an earlier era", observer.has_relay());
                sleep(retry_delay).await;
            }
            Ok(batch) => {
                outage.end();
                let era = batch.position.era;
                let last_era = newest_era.replace(era);
                let is_snapshot = position.replace(batch.position).is_none();
                let is_restored = is_snapshot && last_era.is_some_and(|last| last < era);
                if is_restored {
                    log::warn!("event=store_restored feed={} era={era}", options.name);
                }
                let read_at = read_time(asked_at, clock.now(), wait, batch.items.is_empty());
                must_not_wait =
                    observer.confirms_changes() && !wait.is_zero() && read_at == asked_at;
                observer.observe(
                    read_at,
                    batch.position,
                    feed_event(batch.items, is_snapshot, is_restored),
                );
                sleep(options.interval.saturating_sub(started.elapsed())).await;
            }
            Err(FeedError::PositionLost(lost)) => {
                log::info!(
                    "event=feed_position_lost feed={} position={lost} action=read_all",
                    options.name
                );
                position = None;
            }
            Err(FeedError::Unavailable(reason)) => {
                let retry_delay = outage.record(&reason, observer.has_relay());
                sleep(retry_delay).await;
            }
        }
    }
}

fn feed_event<Item>(
    items: Vec<Item>,
    is_snapshot: bool,
    is_restored: bool,
) -> Option<FeedEvent<Item>> {
    if is_restored {
        Some(FeedEvent::Restored(items))
    } else if is_snapshot {
        Some(FeedEvent::Snapshot(items))
    } else if !items.is_empty() {
        Some(FeedEvent::Changes(items))
    } else {
        None
    }
}

/// Returns a time at which the store certainly held what a read returned. A read that waited in vain
/// shows that there was no record until its wait was over.
fn read_time(asked_at: Timestamp, now: Timestamp, wait: Duration, is_empty: bool) -> Timestamp {
    if is_empty && now.since(asked_at) >= wait {
        asked_at + wait
    } else {
        asked_at
    }
}

/// Logs the beginning and the end of an outage once each, and computes the retry delays within it.
#[derive(Debug)]
struct Outage {
    name: &'static str,
    since: Option<Instant>,
    retry_delay: Duration,
}

impl Outage {
    const fn new(name: &'static str) -> Self {
        Self {
            name,
            since: None,
            retry_delay: MIN_RETRY_DELAY,
        }
    }

    const fn is_over(&self) -> bool {
        self.since.is_none()
    }

    fn record(&mut self, reason: &str, has_relay: bool) -> Duration {
        if self.since.is_none() {
            self.since = Some(Instant::now());
            log::warn!("event=dependency_lost feed={} reason={reason:?}", self.name);
        }
        let retry_delay = self.retry_delay;
        let max_delay = if has_relay {
            MAX_RELAYED_RETRY_DELAY
        } else {
            MAX_RETRY_DELAY
        };
        self.retry_delay = (retry_delay * 2).min(max_delay);
        retry_delay
    }

    fn end(&mut self) {
        if let Some(since) = self.since.take() {
            log::info!(
                "event=dependency_regained feed={} after_ms={}",
                self.name,
                since.elapsed().as_millis()
            );
        }
        self.retry_delay = MIN_RETRY_DELAY;
    }
}
