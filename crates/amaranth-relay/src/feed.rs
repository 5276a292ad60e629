//! Following a table of the platform: all newest records first, then the changes.

use std::future::Future;
use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Records that were read, and where the next read goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedBatch<Item> {
    /// The decoded records, oldest first.
    pub items: Vec<Item>,
    /// The position after the last one.
    pub position: u64,
}

/// Why a table can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// The records from the position on are no longer kept.
    #[error("records from position {0} on are no longer kept")]
    PositionLost(u64),
    /// The platform can't be reached, or refuses.
    #[error("{0}")]
    Unavailable(String),
}

/// A table of the platform.
pub trait FeedSource: Send + 'static {
    /// A decoded record.
    type Item: Send + 'static;

    /// Reads the newest record of each key.
    fn read_all(&mut self)
    -> impl Future<Output = Result<FeedBatch<Self::Item>, FeedError>> + Send;

    /// Reads the records from `position` on, as soon as there is one or `wait` is over.
    fn read_since(
        &mut self,
        position: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedBatch<Self::Item>, FeedError>> + Send;
}

/// What a feed hands over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedEvent<Item> {
    /// Everything that the table holds.
    Whole(Vec<Item>),
    /// What changed since.
    Changes(Vec<Item>),
}

/// How a table is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FeedOptions {
    /// The name of the dependency in the log.
    pub name: &'static str,
    /// How long a read waits for a change.
    pub wait: Duration,
    /// The least time between two reads.
    pub interval: Duration,
}

/// Pause after the first failed read; doubled each time.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a failed read at most.
const LONGEST_PAUSE: Duration = Duration::from_millis(300);

/// Follows a table for ever and hands what it reads to `take`.
///
/// A read waits for a change only after one that was answered: a read that is lost in an outage
/// would otherwise delay the first one after it by the whole wait.
pub async fn follow<Source: FeedSource>(
    mut source: Source,
    options: FeedOptions,
    mut take: impl FnMut(FeedEvent<Source::Item>) + Send,
) {
    let mut position = None;
    let mut outage = Outage::new(options.name);
    loop {
        let started = Instant::now();
        let read = match position {
            None => source.read_all().await,
            Some(position) => {
                let wait = if outage.is_over() {
                    options.wait
                } else {
                    Duration::ZERO
                };
                source.read_since(position, wait).await
            }
        };
        match read {
            Ok(batch) => {
                outage.end();
                let whole = position.replace(batch.position).is_none();
                if whole {
                    take(FeedEvent::Whole(batch.items));
                } else if !batch.items.is_empty() {
                    take(FeedEvent::Changes(batch.items));
                }
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
                let pause = outage.note(&reason);
                sleep(pause).await;
            }
        }
    }
}

/// Logs the beginning and the end of an outage once each, and spaces the reads within it.
#[derive(Debug)]
struct Outage {
    name: &'static str,
    since: Option<Instant>,
    pause: Duration,
}

impl Outage {
    const fn new(name: &'static str) -> Self {
        Self {
            name,
            since: None,
            pause: SHORTEST_PAUSE,
        }
    }

    const fn is_over(&self) -> bool {
        self.since.is_none()
    }

    fn note(&mut self, reason: &str) -> Duration {
        if self.since.is_none() {
            self.since = Some(Instant::now());
            log::warn!("event=dependency_lost feed={} reason={reason:?}", self.name);
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(LONGEST_PAUSE);
        pause
    }

    fn end(&mut self) {
        if let Some(since) = self.since.take() {
            log::info!(
                "event=dependency_regained feed={} after_ms={}",
                self.name,
                since.elapsed().as_millis()
            );
        }
        self.pause = SHORTEST_PAUSE;
    }
}
