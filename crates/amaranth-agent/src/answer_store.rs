//! The answers of the agent, kept until their readers have them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_control::answer_buffer::AnswerBuffer;
use amaranth_core::errors::{Error, Result, not_found};
use amaranth_core::ids::{RequestId, Sequence};
use amaranth_core::request::{AnswerBatch, AnswerEnd};
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use crate::engine_control::{EngineEvent, EngineHandle};

/// Longest time that one read waits for a chunk.
const LONGEST_READ_WAIT: Duration = Duration::from_secs(5);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One answer between its engine and its reader.
#[derive(Debug)]
pub struct AnswerSlot {
    id: RequestId,
    engine: EngineHandle,
    buffer: Mutex<AnswerBuffer>,
    last_read: Mutex<Instant>,
    readable: Notify,
    writable: Notify,
    cancelled: CancellationToken,
    delivered: AtomicBool,
}

impl AnswerSlot {
    fn open(id: RequestId, limit_bytes: usize, engine: EngineHandle) -> Self {
        Self {
            id,
            engine,
            buffer: Mutex::new(AnswerBuffer::open(id, limit_bytes)),
            last_read: Mutex::new(Instant::now()),
            readable: Notify::new(),
            writable: Notify::new(),
            cancelled: CancellationToken::new(),
            delivered: AtomicBool::new(false),
        }
    }

    /// Returns the request.
    pub const fn id(&self) -> RequestId {
        self.id
    }

    /// Returns the token that is cancelled when nobody waits for the answer.
    pub const fn cancelled(&self) -> &CancellationToken {
        &self.cancelled
    }

    /// Returns whether the answer has ended.
    pub fn is_ended(&self) -> bool {
        lock(&self.buffer).is_ended()
    }

    /// Waits until the buffer has room and appends the next chunk.
    pub async fn push(&self, data: Bytes) {
        loop {
            let writable = self.writable.notified();
            {
                let mut buffer = lock(&self.buffer);
                if !buffer.is_full() {
                    buffer.push(data);
                    break;
                }
            }
            writable.await;
        }
        self.readable.notify_waiters();
    }

    /// Ends the answer. The first end stands.
    pub fn finish(&self, end: AnswerEnd) {
        lock(&self.buffer).finish(end);
        self.readable.notify_waiters();
    }

    /// Stops the work on an answer that nobody waits for.
    async fn cancel(&self) {
        self.cancelled.cancel();
        if !self.is_ended() {
            self.engine.send(EngineEvent::Cancelled(self.id)).await;
        }
    }

    /// Ends the answer with an error.
    pub fn fail(&self, error: Error) {
        self.finish(AnswerEnd::Failed(error));
    }

    /// Returns the chunks from `from` on, waiting up to `wait` for one; empty means still alive.
    pub async fn read(&self, from: Sequence, wait: Duration) -> AnswerBatch {
        let wait = wait.min(LONGEST_READ_WAIT);
        let empty = AnswerBatch {
            id: self.id,
            chunks: Vec::new(),
            end: None,
        };
        timeout(wait, self.next_batch(from)).await.unwrap_or(empty)
    }

    async fn next_batch(&self, from: Sequence) -> AnswerBatch {
        loop {
            let readable = self.readable.notified();
            tokio::pin!(readable);
            readable.as_mut().enable();
            if let Some(batch) = self.try_read(from) {
                return batch;
            }
            readable.await;
        }
    }

    fn try_read(&self, from: Sequence) -> Option<AnswerBatch> {
        *lock(&self.last_read) = Instant::now();
        let batch = lock(&self.buffer).read(from);
        self.writable.notify_one();
        if batch.as_ref().is_some_and(|batch| batch.end.is_some()) {
            self.delivered.store(true, Ordering::Release);
        }
        batch
    }

    fn unread_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(*lock(&self.last_read))
    }
}

/// All answers that are running or unread.
#[derive(Debug)]
pub struct AnswerStore {
    slots: Mutex<HashMap<RequestId, Arc<AnswerSlot>>>,
    limit_bytes: usize,
    unread_window: Duration,
}

impl AnswerStore {
    /// Opens an empty store.
    pub fn open(limit_bytes: usize, unread_window: Duration) -> Self {
        Self {
            slots: Mutex::new(HashMap::new()),
            limit_bytes,
            unread_window,
        }
    }

    /// Returns the slot of `id` and whether this call created it.
    pub fn open_slot(&self, id: RequestId, engine: &EngineHandle) -> (Arc<AnswerSlot>, bool) {
        let mut slots = lock(&self.slots);
        if let Some(slot) = slots.get(&id) {
            return (slot.clone(), false);
        }
        let slot = Arc::new(AnswerSlot::open(id, self.limit_bytes, engine.clone()));
        slots.insert(id, slot.clone());
        (slot, true)
    }

    /// Returns the slot of `id`.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` when the agent does not know the request.
    pub fn slot(&self, id: RequestId) -> Result<Arc<AnswerSlot>> {
        lock(&self.slots)
            .get(&id)
            .cloned()
            .ok_or_else(|| not_found(format!("request {id} has no answer at this agent")))
    }

    /// Cancels an answer and forgets it.
    pub async fn cancel(&self, id: RequestId) {
        let removed = lock(&self.slots).remove(&id);
        if let Some(slot) = removed {
            slot.cancel().await;
        }
    }

    /// Returns the number of answers that have not been read to their end.
    pub fn undelivered(&self) -> usize {
        let slots = lock(&self.slots);
        let delivered = |slot: &&Arc<AnswerSlot>| slot.delivered.load(Ordering::Acquire);
        slots.values().filter(|slot| !delivered(slot)).count()
    }

    /// Cancels and forgets the answers that nobody read for the window.
    pub async fn expire_unread(&self) {
        let now = Instant::now();
        let unread = |slot: &Arc<AnswerSlot>| slot.unread_for(now) >= self.unread_window;
        let expired: Vec<_> = lock(&self.slots)
            .extract_if(|_, slot| unread(slot))
            .map(|(_, slot)| slot)
            .collect();
        for slot in expired {
            log::info!("event=answer_forgotten request={}", slot.id);
            slot.cancel().await;
        }
    }
}
