//! Continuous batching: each step generates one token for every request in the batch.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, RequestId};
use tokio::time::Instant;

use super::options::EngineOptions;
use super::state::EngineState;
use super::stream::EngineStream;

/// One request in the batch.
#[derive(Debug)]
pub struct BatchedStream {
    /// Answer to the request.
    pub stream: Arc<EngineStream>,
    /// Number of tokens generated so far.
    pub generated: u32,
}

/// The requests in the batch and those that wait for a slot in it.
#[derive(Debug, Default)]
pub struct EngineBatch {
    /// Waiting requests, ordered by priority and then by arrival.
    pub waiting: VecDeque<Arc<EngineStream>>,
    /// Requests in the batch.
    pub running: Vec<BatchedStream>,
}

impl EngineBatch {
    /// Enqueues a request behind the waiting ones of the same or a higher priority.
    pub fn enqueue(&mut self, stream: Arc<EngineStream>) {
        let priority = stream.request.priority;
        let position = self
            .waiting
            .iter()
            .position(|other| other.request.priority < priority)
            .unwrap_or(self.waiting.len());
        self.waiting.insert(position, stream);
    }

    /// Moves waiting requests to free slots of the batch and returns them.
    pub fn admit(&mut self, batch_slots: u16) -> Vec<Arc<EngineStream>> {
        let free = usize::from(batch_slots).saturating_sub(self.running.len());
        let count = free.min(self.waiting.len());
        let admitted: Vec<_> = self.waiting.drain(..count).collect();
        let batched = admitted.iter().cloned().map(|stream| BatchedStream {
            stream,
            generated: 0,
        });
        self.running.extend(batched);
        admitted
    }

    /// Removes a request that waits or runs and returns it.
    pub fn remove(&mut self, id: RequestId) -> Option<Arc<EngineStream>> {
        if let Some(index) = self.waiting.iter().position(|stream| stream.id() == id) {
            return self.waiting.remove(index);
        }
        let index = self
            .running
            .iter()
            .position(|batched| batched.stream.id() == id)?;
        Some(self.running.remove(index).stream)
    }

    /// Removes every request for `adapter` and returns them.
    pub fn remove_adapter(&mut self, adapter: &AdapterRef) -> Vec<Arc<EngineStream>> {
        let ids: Vec<_> = self
            .all()
            .filter(|stream| stream.request.adapter.as_ref() == Some(adapter))
            .map(|stream| stream.id())
            .collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns the requests that wait or run.
    pub fn all(&self) -> impl Iterator<Item = &Arc<EngineStream>> {
        let running = self.running.iter().map(|batched| &batched.stream);
        self.waiting.iter().chain(running)
    }

    /// Returns the duration of a step with the current batch, without prefill.
    pub fn step_time(&self, options: &EngineOptions) -> Duration {
        let requests = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        options.step_time + options.step_time_per_request * requests
    }
}

/// Runs the steps of the batch of `state`, and waits for requests while there are none.
pub async fn run(state: Arc<EngineState>) {
    let mut due = Instant::now();
    loop {
        let Some(step) = state.begin_step() else {
            state.request_arrived.notified().await;
            due = Instant::now();
            continue;
        };
        // Steps are due at fixed intervals, so that late timers do not slow generation down.
        due = due.max(Instant::now() - step) + step;
        tokio::time::sleep_until(due).await;
        state.finish_step();
    }
}
