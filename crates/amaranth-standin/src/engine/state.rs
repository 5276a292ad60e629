//! What an engine holds and does.

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
use super::stream::{EndedStream, EngineStream, StreamEnd};
use crate::control::ControlledState;
use crate::lagging::LaggingValue;

/// Tokens in one block of KV cache.
const BLOCK_TOKENS: u32 = 16;

/// Blocks of KV cache for each place in the batch.
const BLOCKS_PER_SLOT: u32 = 64;

/// What changes while an engine runs.
#[derive(Debug)]
pub struct EngineBook {
    options: EngineOptions,
    /// The present life.
    pub incarnation: Incarnation,
    /// Resident adapters.
    pub adapters: BTreeSet<AdapterRef>,
    /// Adapters in transit.
    pub loading: BTreeSet<AdapterRef>,
    /// The role.
    pub role: EngineRole,
    /// The largest fencing number seen.
    pub fencing: FencingToken,
    /// The present faults.
    pub faults: EngineFaults,
    /// The present counters.
    pub counters: EngineCounters,
    /// The batch.
    pub batch: EngineBatch,
    /// Answers that run or ended lately.
    pub streams: HashMap<RequestId, Arc<EngineStream>>,
    /// Answers that ended, oldest first.
    ended: VecDeque<EndedStream>,
    /// The prefix cache.
    pub cache: PrefixCache,
    /// The load as it is shown.
    pub load: LaggingValue<EngineLoadReport>,
}

impl EngineBook {
    fn open(options: EngineOptions) -> Self {
        let cache = PrefixCache::open(options.cached_prefixes);
        let mut book = Self {
            incarnation: Incarnation(rand::random()),
            adapters: BTreeSet::new(),
            loading: BTreeSet::new(),
            role: options.role,
            fencing: FencingToken(0),
            faults: options.faults,
            counters: EngineCounters::default(),
            batch: EngineBatch::default(),
            streams: HashMap::new(),
            ended: VecDeque::new(),
            cache,
            load: LaggingValue::open(EngineLoadReport::default()),
            options,
        };
        book.report_load();
        book
    }

    /// Returns what the engine holds.
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

    /// Brings the load report up to date.
    pub fn report_load(&mut self) {
        let count = |length: usize| u16::try_from(length).unwrap_or(u16::MAX);
        let tokens: u32 = self
            .batch
            .running
            .iter()
            .map(|batched| batched.stream.request.prompt_tokens + batched.generated)
            .sum();
        self.load.set(EngineLoadReport {
            running: count(self.batch.running.len()),
            waiting: count(self.batch.waiting.len()),
            cache_blocks_used: tokens.div_ceil(BLOCK_TOKENS)
                + u32::try_from(self.cache.len()).unwrap_or(u32::MAX),
            cache_blocks: BLOCKS_PER_SLOT * u32::from(self.options.batch_slots),
        });
    }

    /// Keeps an ended answer for its readers and forgets those that are too old.
    pub fn retire(&mut self, id: RequestId) {
        self.ended.push_back(EndedStream {
            id,
            ended: Instant::now(),
        });
        let window = self.options.resume_window;
        while let Some(oldest) = self.ended.front()
            && !oldest.is_kept(window)
        {
            let id = oldest.id;
            self.ended.pop_front();
            self.streams.remove(&id);
        }
    }

    /// Admits waiting requests and returns how long the next step takes, if there is one.
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
                .touch(prefix_hash(&request.model, &request.prompt))
            {
                prefill_tokens += request.prompt_tokens;
            }
        }
        self.report_load();
        let prefill = self.options.prefill_time_per_token * prefill_tokens;
        Some(self.batch.step_time(&self.options) + prefill)
    }

    /// Gives each request in the batch its token and takes out those that end.
    fn finish_step(&mut self) {
        let running = std::mem::take(&mut self.batch.running);
        self.counters.steps += 1;
        self.counters.step_requests += running.len() as u64;
        for mut batched in running {
            let end = batched.stream.generate(batched.generated);
            match end {
                Some(StreamEnd::BrokenOff) => self.retire(batched.stream.id()),
                Some(StreamEnd::Whole) => {
                    self.counters.tokens += 1;
                    self.counters.completed += 1;
                    self.retire(batched.stream.id());
                }
                None => {
                    self.counters.tokens += 1;
                    batched.generated += 1;
                    self.batch.running.push(batched);
                }
            }
        }
        self.report_load();
    }

    fn restart(&mut self) {
        let streams = std::mem::take(&mut self.streams);
        for stream in streams.values() {
            stream.end(StreamEnd::BrokenOff);
        }
        let mut fresh = Self::open(self.options.clone());
        fresh.faults = self.faults;
        fresh.counters = self.counters;
        fresh.counters.restarts += 1;
        *self = fresh;
    }
}

/// An engine's settings, its book, and what its tasks share.
#[derive(Debug)]
pub struct EngineState {
    /// The settings.
    pub options: EngineOptions,
    /// The weight store.
    pub store: Option<HttpClient>,
    /// Wakes the batch when a request arrives.
    pub work: Notify,
    book: Mutex<EngineBook>,
}

impl EngineState {
    /// Opens an empty engine.
    pub fn open(options: EngineOptions) -> Self {
        Self {
            store: options.store.map(HttpClient::new),
            work: Notify::new(),
            book: Mutex::new(EngineBook::open(options.clone())),
            options,
        }
    }

    /// Runs `action` on the book.
    pub fn with_book<T>(&self, action: impl FnOnce(&mut EngineBook) -> T) -> T {
        action(&mut self.book.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Admits waiting requests and returns how long the next step takes, if there is one.
    pub fn begin_step(&self) -> Option<Duration> {
        self.with_book(EngineBook::begin_step)
    }

    /// Gives each request in the batch its token.
    pub fn finish_step(&self) {
        self.with_book(EngineBook::finish_step);
    }

    /// Restarts empty.
    pub fn restart(&self) {
        self.with_book(EngineBook::restart);
    }
}

impl ControlledState for EngineState {
    type Faults = EngineFaults;
    type Counters = EngineCounters;

    fn set_faults(&self, faults: EngineFaults) {
        self.with_book(|book| book.faults = faults);
    }

    fn faults(&self) -> EngineFaults {
        self.with_book(|book| book.faults)
    }

    fn counters(&self) -> EngineCounters {
        self.with_book(|book| book.counters)
    }
}
