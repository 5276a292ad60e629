//! Answers, buffered until their readers have read them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_control::answer_buffer::AnswerBuffer;
use amaranth_core::errors::{Error, ErrorKind, Result, not_found};
use amaranth_core::ids::{EndpointId, RequestId, Sequence};
use amaranth_core::request::{AnswerBatch, AnswerEnd};
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use crate::engine_control::{EngineEvent, EngineHandle};
use crate::settings::AgentLimits;

/// Maximum time that one read waits for a chunk.
const MAX_READ_WAIT: Duration = Duration::from_secs(5);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The buffer of one answer between its engine and its reader.
#[derive(Debug)]
pub struct AnswerSlot {
    id: RequestId,
    endpoint: EndpointId,
    engine: EngineHandle,
    buffer: Mutex<AnswerBuffer>,
    last_read: Mutex<Instant>,
    readable: Notify,
    writable: Notify,
    cancelled: CancellationToken,
    delivered: AtomicBool,
}

impl AnswerSlot {
    fn new(id: RequestId, endpoint: EndpointId, engine: EngineHandle, limit: usize) -> Self {
        Self {
            id,
            endpoint,
            engine,
            buffer: Mutex::new(AnswerBuffer::new(id, limit)),
            last_read: Mutex::new(Instant::now()),
            readable: Notify::new(),
            writable: Notify::new(),
            cancelled: CancellationToken::new(),
            delivered: AtomicBool::new(false),
        }
    }

    /// Returns the id of the request.
    pub const fn id(&self) -> RequestId {
        self.id
    }

    /// Returns the endpoint of the engine that generates the answer.
    pub const fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Returns the token that is cancelled when the answer is no longer wanted.
    pub const fn cancelled(&self) -> &CancellationToken {
        &self.cancelled
    }

    /// Returns whether the answer has ended.
    pub fn is_ended(&self) -> bool {
        lock(&self.buffer).is_ended()
    }

    /// Returns the sequence number of the next new chunk.
    pub fn next_sequence(&self) -> Sequence {
        lock(&self.buffer).next_sequence()
    }

    /// Waits until the buffer is no longer full and appends the next chunk.
    ///
    /// # Errors
    ///
    /// Returns an error when a chunk of another run differs from that of an earlier run.
    pub async fn push(&self, data: Bytes) -> Result<()> {
        loop {
            let writable = self.writable.notified();
            {
                let mut buffer = lock(&self.buffer);
                if !buffer.is_full() {
                    buffer.push(data)?;
                    break;
                }
            }
            writable.await;
        }
        self.readable.notify_waiters();
        Ok(())
    }

    /// Prepares the buffer for the chunks of another run.
    pub fn rerun(&self) {
        lock(&self.buffer).rerun();
    }

    /// Ends the answer as complete.
    ///
    /// # Errors
    ///
    /// Returns an error when another run ended before all chunks that a reader may have received.
    pub fn complete(&self) -> Result<()> {
        lock(&self.buffer).complete()?;
        self.readable.notify_waiters();
        Ok(())
    }

    /// Ends the answer with an error, unless it has ended already.
    pub fn fail(&self, error: Error) {
        lock(&self.buffer).finish(AnswerEnd::Failed(error));
        self.readable.notify_waiters();
    }

    /// Returns the chunks from `from` on, waiting up to `wait` for one, but no longer than
    /// `MAX_READ_WAIT`. An empty batch means that the answer is still running.
    ///
    /// # Errors
    ///
    /// Returns an error when the chunk at `from` was dropped or does not exist.
    pub async fn read(&self, from: Sequence, wait: Duration) -> Result<AnswerBatch> {
        let wait = wait.min(MAX_READ_WAIT);
        let empty = AnswerBatch {
            id: self.id,
            chunks: Vec::new(),
            end: None,
        };
        let read = timeout(wait, self.next_batch(from)).await;
        read.unwrap_or(Ok(empty))
    }

    async fn next_batch(&self, from: Sequence) -> Result<AnswerBatch> {
        loop {
            let readable = self.readable.notified();
            tokio::pin!(readable);
            readable.as_mut().enable();
            if let Some(batch) = self.try_read(from)? {
                return Ok(batch);
            }
            readable.await;
        }
    }

    fn try_read(&self, from: Sequence) -> Result<Option<AnswerBatch>> {
        *lock(&self.last_read) = Instant::now();
        let batch = lock(&self.buffer).read(from)?;
        self.writable.notify_one();
        if batch.as_ref().is_some_and(|batch| batch.end.is_some()) {
            self.delivered.store(true, Ordering::Release);
        }
        Ok(batch)
    }

    fn unread_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(*lock(&self.last_read))
    }

    /// Cancels the work on an answer that is no longer wanted.
    async fn cancel(&self) {
        self.cancelled.cancel();
        if !self.is_ended() {
            self.engine.send(EngineEvent::Cancelled(self.id)).await;
        }
    }
}

/// The answers that are running or unread, by their request ids.
#[derive(Debug)]
pub struct AnswerStore {
    slots: Mutex<HashMap<RequestId, Arc<AnswerSlot>>>,
    limit_bytes: usize,
    limit_answers: usize,
    unread_window: Duration,
}

impl AnswerStore {
    /// Creates an empty store.
    pub fn new(limits: &AgentLimits) -> Self {
        Self {
            slots: Mutex::new(HashMap::new()),
            limit_bytes: limits.answer_buffer.as_usize(),
            limit_answers: limits.answers,
            unread_window: limits.unread_window,
        }
    }

    /// Creates the slot of an answer from `endpoint`, or returns `None` when the slot exists
    /// already.
    ///
    /// An answer to the same request from another endpoint is replaced and cancelled, since its
    /// reader has switched to this one.
    ///
    /// # Errors
    ///
    /// Returns `Overloaded` when too many answers are running or unread.
    pub async fn open_slot(
        &self,
        id: RequestId,
        endpoint: &EndpointId,
        engine: &EngineHandle,
    ) -> Result<Option<Arc<AnswerSlot>>> {
        let slot = AnswerSlot::new(id, endpoint.clone(), engine.clone(), self.limit_bytes);
        let slot = Arc::new(slot);
        let replaced = {
            let mut slots = lock(&self.slots);
            if slots
                .get(&id)
                .is_some_and(|slot| slot.endpoint == *endpoint)
            {
                return Ok(None);
            }
            if slots.len() >= self.limit_answers {
                return Err(Error::new(
                    ErrorKind::Overloaded,
                    format!(
                        "the agent already has {} running or unread answers",
                        slots.len()
                    ),
                ));
            }
            slots.insert(id, slot.clone())
        };
        if let Some(replaced) = replaced {
            replaced.cancel().await;
        }
        Ok(Some(slot))
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

    /// Cancels and removes the answer to request `id` if it comes from `endpoint`.
    pub async fn cancel(&self, id: RequestId, endpoint: &EndpointId) {
        let removed = {
            let mut slots = lock(&self.slots);
            let matches = |slot: &Arc<AnswerSlot>| slot.endpoint == *endpoint;
            slots
                .get(&id)
                .is_some_and(matches)
                .then(|| slots.remove(&id))
        };
        if let Some(slot) = removed.flatten() {
            slot.cancel().await;
        }
    }

    /// Returns the number of answers that have not been read to their end.
    pub fn undelivered(&self) -> usize {
        let slots = lock(&self.slots);
        let delivered = |slot: &&Arc<AnswerSlot>| slot.delivered.load(Ordering::Acquire);
        slots.values().filter(|slot| !delivered(slot)).count()
    }

    /// Cancels and removes the answers that were not read within the unread window.
    pub async fn expire_unread(&self) {
        let now = Instant::now();
        let unread = |slot: &Arc<AnswerSlot>| slot.unread_for(now) >= self.unread_window;
        let expired: Vec<_> = lock(&self.slots)
            .extract_if(|_, slot| unread(slot))
            .map(|(_, slot)| slot)
            .collect();
        for slot in expired {
            if !slot.delivered.load(Ordering::Acquire) {
                metrics::counter!("amaranth_agent_answers_abandoned_total").increment(1);
                log::info!(
                    "event=answer_abandoned request={} endpoint={}",
                    slot.id,
                    slot.endpoint
                );
            }
            slot.cancel().await;
        }
    }
}
