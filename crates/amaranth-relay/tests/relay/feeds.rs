//! Following a table: outages, lost positions, and how soon news are known afterwards.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_relay::feed::{FeedBatch, FeedError, FeedEvent, FeedOptions, FeedSource, follow};
use tokio::time::{Instant, sleep, timeout};

const OPTIONS: FeedOptions = FeedOptions {
    name: "test",
    wait: Duration::from_millis(1_500),
    interval: Duration::from_millis(250),
};

/// Time after which the fake's client gives a silent read up, beyond the wait.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_200);

/// A table with one record for each moment of a list; silent during an outage.
struct FakeTable {
    started: Instant,
    appended: Vec<Duration>,
    outage: (Duration, Duration),
}

impl FakeTable {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn is_out(&self) -> bool {
        let now = self.now();
        self.outage.0 <= now && now < self.outage.1
    }

    fn known(&self) -> Vec<u64> {
        let now = self.now();
        let count = self.appended.iter().filter(|at| **at <= now).count();
        (0..count as u64).collect()
    }

    /// A read that begins in the outage is lost; its caller waits for nothing.
    async fn lose(&self, wait: Duration) -> FeedError {
        sleep(wait + ANSWER_LIMIT).await;
        FeedError::Unavailable("silence".to_owned())
    }
}

impl FeedSource for FakeTable {
    type Item = u64;

    async fn read_all(&mut self) -> Result<FeedBatch<u64>, FeedError> {
        if self.is_out() {
            return Err(self.lose(Duration::ZERO).await);
        }
        let items = self.known();
        let position = items.len() as u64;
        Ok(FeedBatch { items, position })
    }

    async fn read_since(
        &mut self,
        position: u64,
        wait: Duration,
    ) -> Result<FeedBatch<u64>, FeedError> {
        if self.is_out() {
            return Err(self.lose(wait).await);
        }
        let until = self.now() + wait;
        loop {
            let items = self.known().split_off(position as usize);
            if !items.is_empty() || self.now() >= until {
                let position = position + items.len() as u64;
                return Ok(FeedBatch { items, position });
            }
            if self.is_out() {
                return Err(self.lose(until.saturating_sub(self.now())).await);
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
}

type Seen = Arc<Mutex<Vec<(Duration, u64)>>>;

/// Follows a table for `length` and returns when each record was seen.
async fn seen(table: FakeTable, length: Duration) -> Vec<(Duration, u64)> {
    let seen: Seen = Arc::default();
    let taken = Arc::clone(&seen);
    let started = table.started;
    let following = follow(table, OPTIONS, move |event| {
        let (FeedEvent::Whole(items) | FeedEvent::Changes(items)) = event;
        let at = started.elapsed();
        taken
            .lock()
            .expect("no panic")
            .extend(items.into_iter().map(|item| (at, item)));
    });
    // The feed is followed for ever.
    let _ = timeout(length, following).await;
    let seen = seen.lock().expect("no panic");
    seen.clone()
}

#[tokio::test(start_paused = true)]
async fn news_are_seen_at_once_on_a_calm_day() {
    let table = FakeTable {
        started: Instant::now(),
        appended: vec![Duration::ZERO, Duration::from_millis(2_000)],
        outage: (Duration::MAX, Duration::MAX),
    };
    let seen = seen(table, Duration::from_secs(5)).await;
    assert_eq!(seen.len(), 2);
    assert!(seen[1].0 < Duration::from_millis(2_300), "{seen:?}");
}

/// The configuration changes during an outage, whenever it ends: it is known within the users'
/// bound of two and a half seconds after the store is back.
#[tokio::test(start_paused = true)]
async fn news_are_seen_within_the_bound_after_an_outage() {
    for end in (6_000..14_000).step_by(137) {
        let table = FakeTable {
            started: Instant::now(),
            appended: vec![Duration::ZERO, Duration::from_millis(4_000)],
            outage: (Duration::from_millis(2_500), Duration::from_millis(end)),
        };
        let seen = seen(table, Duration::from_secs(20)).await;
        let delay = seen[1].0.saturating_sub(Duration::from_millis(end));
        assert!(
            delay <= Duration::from_millis(2_500),
            "outage to {end}: {delay:?}"
        );
    }
}

/// A table whose waiting reads are not ended by a change, as after the platform dropped a history.
struct DeafTable {
    started: Instant,
    appended: Duration,
}

impl FeedSource for DeafTable {
    type Item = u64;

    async fn read_all(&mut self) -> Result<FeedBatch<u64>, FeedError> {
        Ok(FeedBatch {
            items: Vec::new(),
            position: 0,
        })
    }

    async fn read_since(&mut self, _: u64, wait: Duration) -> Result<FeedBatch<u64>, FeedError> {
        sleep(wait).await;
        let items = if self.started.elapsed() >= self.appended {
            vec![8]
        } else {
            Vec::new()
        };
        Ok(FeedBatch { items, position: 0 })
    }
}

#[tokio::test(start_paused = true)]
async fn news_are_seen_within_the_bound_when_waiting_reads_are_deaf() {
    let started = Instant::now();
    let appended = Duration::from_millis(4_730);
    let table = DeafTable { started, appended };
    let seen = Arc::new(Mutex::new(None));
    let taken = Arc::clone(&seen);
    let following = follow(table, OPTIONS, move |event| {
        if event == FeedEvent::Changes(vec![8]) {
            taken
                .lock()
                .expect("no panic")
                .get_or_insert(started.elapsed());
        }
    });
    let _ = timeout(Duration::from_secs(10), following).await;
    let seen = seen.lock().expect("no panic").expect("seen");
    assert!(seen - appended <= Duration::from_millis(2_000), "{seen:?}");
}

/// A table whose position is lost once.
struct ForgetfulTable {
    answers: VecDeque<Result<FeedBatch<u64>, FeedError>>,
}

impl FeedSource for ForgetfulTable {
    type Item = u64;

    async fn read_all(&mut self) -> Result<FeedBatch<u64>, FeedError> {
        self.answers.pop_front().expect("an answer")
    }

    async fn read_since(&mut self, _: u64, _: Duration) -> Result<FeedBatch<u64>, FeedError> {
        match self.answers.pop_front() {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }
}

#[tokio::test(start_paused = true)]
async fn everything_is_read_again_when_the_position_is_lost() {
    let batch = |items: Vec<u64>| Ok(FeedBatch { items, position: 9 });
    let table = ForgetfulTable {
        answers: VecDeque::from([
            batch(vec![1]),
            Err(FeedError::PositionLost(9)),
            batch(vec![2, 3]),
            batch(vec![4]),
        ]),
    };
    let events = Arc::new(Mutex::new(Vec::new()));
    let taken = Arc::clone(&events);
    let following = follow(table, OPTIONS, move |event| {
        taken.lock().expect("no panic").push(event);
    });
    let _ = timeout(Duration::from_secs(5), following).await;
    let expected = vec![
        FeedEvent::Whole(vec![1]),
        FeedEvent::Whole(vec![2, 3]),
        FeedEvent::Changes(vec![4]),
    ];
    assert_eq!(*events.lock().expect("no panic"), expected);
}
