//! An entry: what it knows, and the tasks that keep it up to date.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_core::ids::{AdapterName, EndpointId, ModelName};
use amaranth_core::time::Timestamp;
use amaranth_dispatch::endpoint_table::{
    AgentFailure, EndpointChange, EndpointRecord, EndpointTable, RegistryEvent,
};
use amaranth_dispatch::engine_selector::Locality;
use amaranth_dispatch::engine_view::{LoadOutcome, LoadRequest};
use amaranth_dispatch::load_limiter::{LoadLimiter, LoadTicket};
use amaranth_dispatch::retry_quota::{RetryLimits, RetryQuota};
use amaranth_dispatch::routes::{
    ConfigOutcome, CurrentConfig, EngineRule, RouteTable, RoutingConfig,
};
use amaranth_dispatch::slot_queue::SlotQueue;
use amaranth_dispatch::stop_policy::StopPolicy;
use amaranth_dispatch::version_table::VersionTable;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

use crate::agent_link::{AgentLinks, AgentSilent};
use crate::dialect::CallDialect;
use crate::endpoint_pool::EndpointPool;
use crate::feed::FeedEvent;
use crate::load_waits::{LoadKey, LoadWaits};
use crate::readiness::{EntryStage, StageCell};
use crate::suspend_clock::SuspendClock;

/// A revision that no view has: the agent answers at once.
const UNSEEN_REVISION: u64 = u64::MAX;

/// Time within which a VM answers: the way abroad and back, and a quota's tenth of a second at
/// both ends.
const VM_ANSWER_TIME: Duration = Duration::from_millis(250);

/// What an entry is told at its start.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// The name of the process.
    pub name: String,
    /// Where it stands.
    pub locality: Locality,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness: SocketAddr,
    /// The port of the agents beside engines.
    pub agent_port: u16,
    /// The whole fleet's budget of retries.
    pub retries: RetryLimits,
    /// The time within which a configuration has to be in force.
    pub config_bound: Duration,
    /// The time within which an endpoint that leaves gets no new calls.
    pub leave_bound: Duration,
    /// How long the process may take to stop.
    pub stop_grace: Duration,
}

/// A record of the operator.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigRecord {
    /// A whole configuration.
    Config(Box<RoutingConfig>),
    /// The newest version of an adapter.
    AdapterVersion {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// Its version.
        version: u64,
    },
}

/// What decisions of an entry are made from.
#[derive(Debug)]
pub struct EntryState {
    /// The configuration in force.
    pub config: CurrentConfig,
    /// The adapters' versions.
    pub versions: VersionTable,
    /// The endpoints.
    pub book: EndpointTable,
    /// The entry's part of the retry budget.
    pub retries: RetryQuota,
    /// The loads from the weight store that the entry has under way.
    pub gate: LoadLimiter,
    /// The calls that wait for a place at an engine.
    pub line: SlotQueue,
    /// Which calls are still taken, once the process was asked to stop.
    pub stopping: Option<StopPolicy>,
    registry_known: bool,
    turns: HashMap<LoadTicket, oneshot::Sender<()>>,
}

impl EntryState {
    fn grant_turns(&mut self) {
        while let Some(ticket) = self.gate.try_start() {
            if let Some(turn) = self.turns.remove(&ticket) {
                // The receiver lives until its turn is withdrawn.
                let _ = turn.send(());
            }
        }
    }
}

/// How a load is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadTerms {
    /// How long callers wait for it.
    pub patience: Duration,
    /// Whether it needs the weight store.
    pub from_store: bool,
    /// The rank of the call that needs it, 0 being the most urgent.
    pub rank: u8,
}

/// What the tasks of an entry share.
pub struct EntryCore {
    /// What the entry was told at its start.
    pub options: EntryOptions,
    /// How the platform spells calls.
    pub dialect: Box<dyn CallDialect>,
    /// The connections to endpoints.
    pub pool: EndpointPool,
    /// The connections to agents.
    pub agents: AgentLinks,
    /// The loads that calls wait for.
    pub loads: LoadWaits,
    /// The stage of the process.
    pub stage: StageCell,
    clock: SuspendClock,
    state: Mutex<EntryState>,
    changed: Notify,
    begun_uses: Mutex<BTreeSet<EndpointId>>,
    use_begun: Notify,
}

impl std::fmt::Debug for EntryCore {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("EntryCore")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

impl EntryCore {
    /// Creates what an entry knows at its start: nothing.
    pub fn open(options: EntryOptions, dialect: impl CallDialect) -> Arc<Self> {
        let retries = RetryQuota::new(options.retries);
        Arc::new(Self {
            options,
            dialect: Box::new(dialect),
            pool: EndpointPool::default(),
            agents: AgentLinks::default(),
            loads: LoadWaits::default(),
            stage: StageCell::default(),
            clock: SuspendClock::start(),
            state: Mutex::new(EntryState {
                config: CurrentConfig::default(),
                versions: VersionTable::default(),
                book: EndpointTable::default(),
                retries,
                gate: LoadLimiter::default(),
                line: SlotQueue::default(),
                stopping: None,
                registry_known: false,
                turns: HashMap::new(),
            }),
            changed: Notify::new(),
            begun_uses: Mutex::default(),
            use_begun: Notify::new(),
        })
    }

    /// Returns the time on the process's steady clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Locks what decisions are made from.
    pub fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force, if one is known.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.state().config.current().cloned()
    }

    /// Waits until what is known of engines changes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Begins to stop: readiness ends, and only calls that end within `grace` are taken.
    pub fn begin_stop(&self, grace: Duration) {
        let now = self.now();
        self.state().stopping = Some(StopPolicy::new(now, grace));
        self.stage.advance(EntryStage::Stopping);
    }

    /// Wakes the calls that wait for a place.
    pub fn note_change(&self) {
        self.changed.notify_waiters();
    }

    /// Has the agent of an endpoint hear at once that an adapter there is in use.
    pub fn announce_use(&self, id: &EndpointId) {
        let mut begun = self
            .begun_uses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        begun.insert(id.clone());
        drop(begun);
        self.use_begun.notify_one();
    }

    /// Waits until the use of some adapter begins, and returns the endpoints.
    pub async fn begun_uses(&self) -> BTreeSet<EndpointId> {
        self.use_begun.notified().await;
        let mut begun = self
            .begun_uses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *begun)
    }

    /// Takes records of the operator.
    pub fn take_config(&self, event: FeedEvent<ConfigRecord>) {
        let (FeedEvent::Whole(records) | FeedEvent::Changes(records)) = event;
        let mut state = self.state();
        for record in records {
            match record {
                ConfigRecord::Config(config) => {
                    let (version, routes) = (config.version, config.routes.len());
                    let step = state.config.apply(*config);
                    if step != ConfigOutcome::Known {
                        log::info!("event=config version={version} routes={routes} step={step}");
                    }
                }
                ConfigRecord::AdapterVersion {
                    model,
                    adapter,
                    version,
                } => {
                    if state
                        .versions
                        .update(model.clone(), adapter.clone(), version)
                    {
                        log::info!(
                            "event=adapter_version model={model} adapter={adapter} version={version}"
                        );
                    }
                }
            }
        }
        drop(state);
        self.update_stage();
    }

    /// Takes changes of the registry.
    pub fn take_registry(&self, event: FeedEvent<RegistryEvent>) {
        let now = self.now();
        let mut state = self.state();
        let changes = match event {
            FeedEvent::Whole(events) => {
                state.registry_known = true;
                state.book.replace(now, announced(events))
            }
            FeedEvent::Changes(events) => apply_changes(&mut state.book, now, events),
        };
        drop(state);
        for (id, change) in changes {
            if change != EndpointChange::Unchanged {
                log::info!("event=endpoint endpoint={id} change={change}");
            }
        }
        self.changed.notify_waiters();
        self.update_stage();
    }

    fn update_stage(&self) {
        let state = self.state();
        let stage = match (state.config.current().is_some(), state.registry_known) {
            (false, _) => EntryStage::Starting,
            (true, false) => EntryStage::Configured,
            (true, true) if state.book.is_empty() => EntryStage::Configured,
            (true, true) => EntryStage::Ready,
        };
        drop(state);
        if self.stage.advance(stage) {
            log::info!(
                "event=stage stage={stage} at_ms={}",
                self.now().as_micros() / 1_000
            );
        }
    }

    /// Asks the agent of an engine that it hold something, and waits for it. Calls that need the
    /// same share one wish. One that needs the weight store waits for its turn.
    pub async fn load(
        self: &Arc<Self>,
        key: LoadKey,
        address: SocketAddr,
        engine: &EngineRule,
        terms: LoadTerms,
    ) -> LoadOutcome {
        let wish = load_wish(&key, engine, terms.patience);
        let core = Arc::clone(self);
        self.loads
            .wait(key.clone(), || async move {
                if terms.from_store {
                    core.load_in_turn(key, address, wish, terms.rank).await
                } else {
                    core.ask_agent(key, address, wish).await
                }
            })
            .await
    }

    async fn load_in_turn(
        &self,
        key: LoadKey,
        address: SocketAddr,
        wish: LoadRequest,
        rank: u8,
    ) -> LoadOutcome {
        let (turn, granted) = oneshot::channel();
        let patience = wish.max_wait;
        let ticket = {
            let mut state = self.state();
            let ticket = state.gate.enqueue(rank);
            state.turns.insert(ticket, turn);
            state.grant_turns();
            ticket
        };
        if timeout(patience, granted).await.is_err() {
            let mut state = self.state();
            state.turns.remove(&ticket);
            if state.gate.cancel(ticket) {
                return LoadOutcome::TimedOut;
            }
        }
        let started = self.now();
        let outcome = self.ask_agent(key, address, wish).await;
        let now = self.now();
        let took = (outcome == LoadOutcome::Held).then(|| now.since(started));
        let mut state = self.state();
        state.gate.finish(now, took);
        state.grant_turns();
        outcome
    }

    /// Returns where the agent of an engine listens: beside it, at the port of all agents.
    pub const fn agent_address(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.options.agent_port)
    }

    /// Tells an engine's agent of this entry's use and hears at once what it knows.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn hear_agent(&self, id: &EndpointId) -> Result<(), AgentSilent> {
        let (usage, address) = {
            let mut state = self.state();
            let Some(endpoint) = state.book.get(id) else {
                return Ok(());
            };
            let address = endpoint.record.address;
            (state.book.take_usage(&self.options.name, id), address)
        };
        let agent = self.agent_address(address);
        let view = self
            .agents
            .exchange(agent, usage, UNSEEN_REVISION, Duration::ZERO)
            .await?;
        let now = self.now();
        self.state().book.record_view(now, id, view);
        Ok(())
    }

    /// Returns whether the VM of an engine answers now, with or without an agent.
    pub async fn vm_answers(&self, id: &EndpointId) -> bool {
        let loss = match timeout(VM_ANSWER_TIME, self.hear_agent(id)).await {
            Ok(Ok(())) => return true,
            Ok(Err(error)) => error.loss,
            Err(_) => AgentFailure::VmSilent,
        };
        self.state().book.clear_view(id, loss);
        log::info!("event=agent_lost endpoint={id} loss={loss}");
        loss == AgentFailure::ProcessEnded
    }

    async fn ask_agent(&self, key: LoadKey, address: SocketAddr, wish: LoadRequest) -> LoadOutcome {
        let wished = wished_adapter(&key);
        if let Some(wished) = &wished {
            self.state().book.begin_load(&key.endpoint, wished.clone());
        }
        let usage = self
            .state()
            .book
            .take_usage(&self.options.name, &key.endpoint);
        let agent = self.agent_address(address);
        let started = self.now();
        let answer = self.agents.prepare(agent, usage, wish).await;
        let took = self.now().since(started);
        if let Some(wished) = &wished {
            self.state().book.end_load(&key.endpoint, wished);
        }
        metrics::histogram!("amaranth_load_wait_seconds").record(took.as_secs_f64());
        let outcome = answer.unwrap_or_else(|error| {
            log::warn!("event=agent_silent endpoint={} error={error}", key.endpoint);
            self.state().book.clear_view(&key.endpoint, error.loss);
            LoadOutcome::Unavailable
        });
        log::info!(
            "event=load endpoint={} adapter={} version={} outcome={outcome} took_ms={}",
            key.endpoint,
            key.adapter.as_ref().map_or("-", |adapter| adapter.as_str()),
            key.version.unwrap_or(0),
            took.as_millis()
        );
        if outcome == LoadOutcome::Held
            && let Some(wished) = wished
            && let Some(state) = self.state().book.get_mut(&key.endpoint)
        {
            state.record_held(wished);
        }
        self.changed.notify_waiters();
        outcome
    }
}

fn wished_adapter(key: &LoadKey) -> Option<amaranth_dispatch::engine_view::HeldAdapter> {
    Some(amaranth_dispatch::engine_view::HeldAdapter {
        model: key.model.clone(),
        name: key.adapter.clone()?,
        version: key.version.unwrap_or(0),
    })
}

fn load_wish(key: &LoadKey, engine: &EngineRule, patience: Duration) -> LoadRequest {
    let model = engine.models.iter().find(|model| model.name == key.model);
    let needed = model.map_or(f64::INFINITY, |model| {
        model.weights_mb + model.adapter_mb * f64::from(engine.adapter_slots)
    });
    LoadRequest {
        endpoint: key.endpoint.clone(),
        model: key.model.clone(),
        adapter: key.adapter.clone(),
        version: key.version,
        adapter_slots: engine.adapter_slots,
        fits_memory: needed <= engine.memory_mb,
        max_wait: patience,
    }
}

fn announced(events: Vec<RegistryEvent>) -> Vec<EndpointRecord> {
    events
        .into_iter()
        .filter_map(|event| match event {
            RegistryEvent::Announced(record) => Some(*record),
            RegistryEvent::Removed(_) => None,
        })
        .collect()
}

/// Applies the changes of one read, with what was removed and not announced again taken together.
fn apply_changes(
    book: &mut EndpointTable,
    now: Timestamp,
    events: Vec<RegistryEvent>,
) -> Vec<(EndpointId, EndpointChange)> {
    let mut removed: BTreeSet<EndpointId> = BTreeSet::new();
    let mut changes = Vec::new();
    for event in events {
        match event {
            RegistryEvent::Removed(id) => {
                removed.insert(id);
            }
            RegistryEvent::Announced(record) => {
                removed.remove(&record.id);
                let id = record.id.clone();
                changes.push((id, book.apply(RegistryEvent::Announced(record))));
            }
        }
    }
    let removed: Vec<EndpointId> = removed.into_iter().collect();
    changes.extend(book.remove_batch(now, &removed));
    changes
}
