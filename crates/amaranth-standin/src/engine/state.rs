//! The state of an engine.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, FencingToken, Incarnation, RequestId};
use amaranth_ports::engine::{EngineInventory, EngineLoadReport, EngineRole};
use amaranth_ports::http_client::HttpClient;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::batch::EngineBatch;
use super::cache::{PrefixCache, prefix_hash};
use super::options::{EngineCounters, EngineFaults, EngineOptions};
use super::stream::{EngineStream, RetainedStream, StreamEnd};
use crate::control::ControlledState;
use crate::lagging_value::LaggingValue;

/// Number of tokens in one block of KV cache.
const BLOCK_TOKENS: u32 = 16;

/// Number of KV cache blocks for each slot of the batch.
const BLOCKS_PER_SLOT: u32 = 64;

/// The mutable state of an engine.
#[derive(Debug)]
pub struct EngineInner {
    options: EngineOptions,
    /// Current incarnation.
    pub incarnation: Incarnation,
    /// Resident adapters.
    pub adapters: BTreeSet<AdapterRef>,
    /// Adapters that are being loaded.
    pub loading: BTreeSet<AdapterRef>,
    /// Current role.
    pub role: EngineRole,
    /// Largest fencing token of any order so far.
    pub fencing_token: FencingToken,
    /// Current faults.
    pub faults: EngineFaults,
    /// Current counters.
    pub counters: EngineCounters,
    /// Requests in the batch and waiting ones.
    pub batch: EngineBatch,
    /// Answers that wait, run or are retained for resumption, by request.
    pub streams: HashMap<RequestId, Arc<EngineStream>>,
    /// Ended answers that are retained for resumption, oldest first.
    ended_streams: VecDeque<RetainedStream>,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// Load report with its history.
    pub load_report: LaggingValue<EngineLoadReport>,
}

impl EngineInner {
    fn new(options: EngineOptions) -> Self {
        let cache = PrefixCache::new(options.cached_prefixes);
        let mut inner = Self {
            incarnation: Incarnation(rand::random()),
            adapters: BTreeSet::new(),
            loading: BTreeSet::new(),
            role: options.role,
            fencing_token: FencingToken(0),
            faults: options.faults,
            counters: EngineCounters::default(),
            batch: EngineBatch::default(),
            streams: HashMap::new(),
            ended_streams: VecDeque::new(),
            cache,
            load_report: LaggingValue::new(EngineLoadReport::default()),
            options,
        };
        inner.update_load_report();
        inner
    }

    /// Returns the models, adapters and capacity of the engine.
    pub fn inventory(&self) -> EngineInventory {
        EngineInventory {
            incarnation: self.incarnation,
            bases: self.options.bases.clone(),
            adapters: self.adapters.iter().cloned().collect(),
            adapter_slots: self.options.adapter_slots,
            batch_slots: self.options.batch_slots,
            role: self.role,
            checks_fencing: self.options.checks_fencing,
        }
    }

    /// Sets the load report to the present state of the batch and the prefix cache.
    pub fn update_load_report(&mut self) {
        let count = |length: usize| u16::try_from(length).unwrap_or(u16::MAX);
        let tokens: u32 = self
            .batch
            .running
            .iter()
            .map(|batched| batched.stream.request.prompt_tokens + batched.generated)
            .sum();
        self.load_report.set(EngineLoadReport {
            running: count(self.batch.running.len()),
            waiting: count(self.batch.waiting.len()),
            cache_blocks_used: tokens.div_ceil(BLOCK_TOKENS)
                + u32::try_from(self.cache.len()).unwrap_or(u32::MAX),
            cache_blocks: BLOCKS_PER_SLOT * u32::from(self.options.batch_slots),
        });
    }

    /// Retains an ended answer for resumption and removes those past the resume window.
    pub fn retain_ended(&mut self, id: RequestId) {
        self.ended_streams.push_back(RetainedStream {
            id,
            ended_at: Instant::now(),
        });
        let window = self.options.resume_window;
        while let Some(oldest) = self.ended_streams.front()
            && !oldest.is_retained(window)
        {
            let id = oldest.id;
            self.ended_streams.pop_front();
            self.streams.remove(&id);
        }
    }

    /// Admits waiting requests to the batch and returns the duration of the next step.
    ///
    /// Returns `None` if the batch is empty.
    fn begin_step(&mut self) -> Option<Duration> {
        let admitted = self.batch.admit(self.options.batch_slots);
        if self.batch.running.is_empty() {
            return None;
        }
        let mut prefill_tokens = 0;
        for stream in admitted {
            let request = &stream.request;
            if !self
                .cache
                .access(prefix_hash(&request.model, &request.prompt))
            {
                prefill_tokens += request.prompt_tokens;
            }
        }
        self.update_load_report();
        let prefill = self.options.prefill_time_per_token * prefill_tokens;
        Some(self.batch.step_time(&self.options) + prefill)
    }

    /// Generates a token for each request in the batch and removes those that end.
    fn finish_step(&mut self) {
        let running = std::mem::take(&mut self.batch.running);
        self.counters.steps += 1;
        self.counters.step_requests += running.len() as u64;
        for mut batched in running {
            let end = batched.stream.generate(batched.generated);
            match end {
                Some(StreamEnd::Aborted) => self.retain_ended(batched.stream.id()),
                Some(StreamEnd::Complete) => {
                    self.counters.tokens += 1;
                    self.counters.completed += 1;
                    self.retain_ended(batched.stream.id());
                }
                None => {
                    self.counters.tokens += 1;
                    batched.generated += 1;
                    self.batch.running.push(batched);
                }
            }
        }
        self.update_load_report();
    }

    /// Aborts every answer and replaces the state, except for the faults and counters.
    fn restart(&mut self) {
        let streams = std::mem::take(&mut self.streams);
        for stream in streams.values() {
            stream.finish(StreamEnd::Aborted);
        }
        let mut restarted = Self::new(self.options.clone());
        restarted.faults = self.faults;
        restarted.counters = self.counters;
        restarted.counters.restarts += 1;
        *self = restarted;
    }
}

/// The settings and state that the tasks and handlers of an engine share.
#[derive(Debug)]
pub struct EngineState {
    /// Settings of the engine.
    pub options: EngineOptions,
    /// Client of the weight store, if there is one.
    pub store: Option<HttpClient>,
    /// Signal that wakes the batch when a request arrives.
    pub request_arrived: Notify,
    inner: Mutex<EngineInner>,
}

impl EngineState {
    /// Creates the state of an engine without adapters and requests.
    pub fn new(options: EngineOptions) -> Self {
        Self {
            store: options.store.map(HttpClient::new),
            request_arrived: Notify::new(),
            inner: Mutex::new(EngineInner::new(options.clone())),
            options,
        }
    }

    /// Runs `action` on the locked mutable state.
    pub fn with_inner<T>(&self, action: impl FnOnce(&mut EngineInner) -> T) -> T {
        action(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Admits waiting requests to the batch and returns the duration of the next step.
    ///
    /// Returns `None` if the batch is empty.
    pub fn begin_step(&self) -> Option<Duration> {
        self.with_inner(EngineInner::begin_step)
    }

    /// Generates a token for each request in the batch.
    pub fn finish_step(&self) {
        self.with_inner(EngineInner::finish_step);
    }

    /// Restarts the engine without adapters and requests.
    pub fn restart(&self) {
        self.with_inner(EngineInner::restart);
    }
}

impl ControlledState for EngineState {
    type Faults = EngineFaults;
    type Counters = EngineCounters;

    fn set_faults(&self, faults: EngineFaults) {
        self.with_inner(|inner| inner.faults = faults);
    }

    fn faults(&self) -> EngineFaults {
        self.with_inner(|inner| inner.faults)
    }

    fn counters(&self) -> EngineCounters {
        self.with_inner(|inner| inner.counters)
    }
}
