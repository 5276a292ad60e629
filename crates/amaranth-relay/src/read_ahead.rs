//! Reading of a stream ahead of its caller, up to a bound.
//!
//! An engine ends an answer that stays unread for some seconds. Events are therefore read from the
//! engine while the caller takes none, until the bound of its connection or the process's memory is
//! reached. From then on the engine is not read, and the call ends unless the caller takes an event
//! soon: one slow caller holds neither the engine nor the memory of the others.

use std::collections::VecDeque;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_dispatch::memory_budget::HoldDecision;
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, yield_now};
use tokio::time::{Instant, timeout_at};

use crate::answer_body::AnswerBroken;
use crate::caller_memory::MemoryLease;

/// Time for which the engine is not read because the caller takes nothing, before the call is ended.
/// Engines end answers that stay unread for longer, which would look like a failure of the engine.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(2);

/// Largest number of bytes that are passed to the HTTP library at once. The library holds them, in
/// addition to its write buffer, until the caller has taken them.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// Interval at which memory is asked for that other connections may have released.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Granularity of the lease. Usual callers take events as they arrive and need one step.
const LEASE_STEP: usize = 4 << 10;

/// A stream that is read ahead.
pub trait AheadSource: Send + 'static {
    /// Returns the next bytes of the stream, or nothing at its end.
    fn next(&mut self) -> impl Future<Output = Option<Result<Bytes, AnswerBroken>>> + Send;

    /// Records that the caller does not read the stream any more.
    fn record_unread(&mut self);
}

/// The events that were read ahead, for the caller's connection.
#[derive(Debug)]
pub struct ReadAhead {
    queue: Arc<AheadQueue>,
    task: JoinHandle<()>,
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ReadAhead {
    /// Starts to read `source`, and ends it at `expires_at` if the caller has not read it by then.
    /// The bytes of `first` are sent before those of the source.
    pub fn spawn(
        source: impl AheadSource,
        first: Option<Bytes>,
        lease: MemoryLease,
        expires_at: Instant,
    ) -> Self {
        let queue = Arc::new(AheadQueue::new(lease));
        let filled = Arc::clone(&queue);
        let task = tokio::spawn(fill(source, first, filled, expires_at));
        Self { queue, task }
    }

    /// Returns the next bytes for the caller.
    pub async fn next(&self) -> Option<Result<Bytes, AnswerBroken>> {
        loop {
            if let Some(item) = self.queue.pop() {
                if matches!(item, Some(Err(_))) {
                    // An error closes the connection at once: the library first has to write the events
                    // that it took before.
                    yield_now().await;
                }
                return item;
            }
            self.queue.filled.notified().await;
        }
    }
}

async fn fill(
    mut source: impl AheadSource,
    first: Option<Bytes>,
    queue: Arc<AheadQueue>,
    expires_at: Instant,
) {
    let mut pending = first;
    let end = loop {
        if let Some(bytes) = pending.take()
            && !queue.push(bytes, expires_at).await
        {
            source.record_unread();
            queue.discard();
            break Err(unread());
        }
        match source.next().await {
            Some(Ok(bytes)) => pending = Some(bytes),
            Some(Err(broken)) => break Err(broken),
            None => break Ok(()),
        }
    };
    // The engine's connection and place are free from here on.
    drop(source);
    queue.finish(end);
    queue.expire(expires_at).await;
}

fn unread() -> AnswerBroken {
    AnswerBroken("the caller had stopped reading".to_owned())
}

/// Bytes that the caller has not taken yet.
#[derive(Debug)]
struct AheadQueue {
    state: Mutex<QueueState>,
    filled: Notify,
    taken: Notify,
}

#[derive(Debug)]
struct QueueState {
    items: VecDeque<Bytes>,
    /// The length of the first item before parts of it were taken.
    first_length: usize,
    bytes: usize,
    lease: Option<MemoryLease>,
    end: Option<Result<(), AnswerBroken>>,
}

impl AheadQueue {
    fn new(lease: MemoryLease) -> Self {
        Self {
            state: Mutex::new(QueueState {
                items: VecDeque::new(),
                first_length: 0,
                bytes: 0,
                lease: Some(lease),
                end: None,
            }),
            filled: Notify::new(),
            taken: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds bytes once they may be held. Returns whether they were added: the caller has to take
    /// bytes in time.
    async fn push(&self, bytes: Bytes, expires_at: Instant) -> bool {
        let mut unread_until = None;
        while !self.try_push(&bytes) {
            let until = *unread_until.get_or_insert_with(|| Instant::now() + MAX_UNREAD_TIME);
            if Instant::now() >= until.min(expires_at) {
                return false;
            }
            // Memory may also become free at other connections.
            let poll_at = Instant::now() + MEMORY_POLL_INTERVAL;
            if timeout_at(poll_at.min(until), self.taken.notified())
                .await
                .is_ok()
            {
                unread_until = None;
            }
        }
        self.filled.notify_one();
        true
    }

    fn try_push(&self, bytes: &Bytes) -> bool {
        let mut state = self.lock();
        let needed = state.bytes + bytes.len();
        let Some(lease) = &mut state.lease else {
            return false;
        };
        let missing = needed.saturating_sub(lease.bytes());
        if missing > 0 && lease.grow(missing.next_multiple_of(LEASE_STEP)) != HoldDecision::Granted
        {
            return false;
        }
        if state.items.is_empty() {
            state.first_length = bytes.len();
        }
        state.bytes = needed;
        state.items.push_back(bytes.clone());
        true
    }

    /// Returns the next item of the stream, or nothing if none has arrived.
    fn pop(&self) -> Option<Option<Result<Bytes, AnswerBroken>>> {
        let mut state = self.lock();
        let Some(first) = state.items.front_mut() else {
            return match state.end.take()? {
                Ok(()) => Some(None),
                Err(broken) => Some(Some(Err(broken))),
            };
        };
        let part = if first.len() > MAX_FRAME_BYTES {
            // A copy, since a reference would keep the whole item in memory.
            Bytes::copy_from_slice(&first.split_to(MAX_FRAME_BYTES))
        } else {
            let last_part = state.items.pop_front()?;
            state.release_first();
            last_part
        };
        drop(state);
        self.taken.notify_one();
        Some(Some(Ok(part)))
    }

    fn finish(&self, end: Result<(), AnswerBroken>) {
        self.lock().end = Some(end);
        self.filled.notify_one();
    }

    /// Discards what the caller has not taken.
    fn discard(&self) {
        let mut state = self.lock();
        state.items.clear();
        state.bytes = 0;
        state.lease = None;
    }

    /// Waits until the caller has taken everything, and discards what it has not taken at
    /// `expires_at`.
    async fn expire(&self, expires_at: Instant) {
        while !self.lock().items.is_empty() {
            if timeout_at(expires_at, self.taken.notified()).await.is_err() {
                self.discard();
                self.finish(Err(unread()));
                return;
            }
        }
    }
}

impl QueueState {
    /// Counts the first item as taken.
    fn release_first(&mut self) {
        self.bytes -= self.first_length;
        self.first_length = self.items.front().map_or(0, Bytes::len);
        let rest = self.bytes.next_multiple_of(LEASE_STEP).max(LEASE_STEP);
        if let Some(lease) = &mut self.lease {
            lease.shrink_to(rest);
        }
    }
}
