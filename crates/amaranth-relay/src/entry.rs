//! The state of an entry that its tasks share, and the loads that the entry requests.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_core::ids::{AdapterName, EndpointId, ModelName};
use amaranth_core::time::Timestamp;
use amaranth_dispatch::call_quarantine::CallQuarantine;
use amaranth_dispatch::endpoint_table::{
    AgentFailure, EndpointChange, EndpointRecord, EndpointState, EndpointTable, RegistryEvent,
};
use amaranth_dispatch::engine_selector::Locality;
use amaranth_dispatch::engine_view::{EngineView, LoadOutcome, LoadRequest};
use amaranth_dispatch::exchange_policy::SHORTAGE_TIME;
use amaranth_dispatch::fleet_size::{COUNT_HOLD_TIME, FleetSize};
use amaranth_dispatch::holder_ranking::{StateHolder, select_holders};
use amaranth_dispatch::load_limiter::{LoadLimiter, LoadTicket};
use amaranth_dispatch::retry_quota::{RetryLimits, RetryQuota};
use amaranth_dispatch::routes::{
    ConfigOutcome, CurrentConfig, EngineRule, RouteTable, RoutingConfig,
};
use amaranth_dispatch::slot_queue::SlotQueue;
use amaranth_dispatch::stop_policy::StopPolicy;
use amaranth_dispatch::store_table::TableFreshness;
use amaranth_dispatch::stream_origins::SoftwareHistory;
use amaranth_dispatch::version_table::VersionTable;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::timeout;

use crate::agent_link::{AgentError, AgentLinks};
use crate::call_codec::CallCodec;
use crate::crash_watch::CrashWatch;
use crate::endpoint_pool::EndpointPool;
use crate::entry_stage::{EntryStage, StageCell};
use crate::feed::FeedEvent;
use crate::origin_exchange::OriginExchange;
use crate::shared_loads::{LoadKey, SharedLoads};
use crate::suspend_clock::SuspendClock;

/// A revision that no view has, so that the agent answers at once.
const UNSEEN_REVISION: u64 = u64::MAX;

/// Time within which a VM answers: a cross-region round trip, and 100 ms at each end for which a
/// CPU quota may pause the process.
const VM_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Start options of an entry.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    /// The name of the process.
    pub name: String,
    /// The data centre of the entry and the regions of all data centres.
    pub locality: Locality,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// The port at which every agent listens, on the VM of its engine.
    pub agent_port: u16,
    /// The retry budget of all entries together.
    pub retries: RetryLimits,
    /// The maximum delay until a published configuration is in force.
    pub config_bound: Duration,
    /// The maximum delay until a draining endpoint gets no new calls.
    pub drain_bound: Duration,
    /// The time that the process may take to stop.
    pub stop_grace: Duration,
}

/// A record of the operator's configuration.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigRecord {
    /// A complete configuration.
    Config(Box<RoutingConfig>),
    /// The newest version of an adapter.
    AdapterVersion {
        /// The model.
        model: ModelName,
        /// The adapter.
        adapter: AdapterName,
        /// The adapter's version.
        version: u64,
    },
}

/// The state on which the decisions of an entry are based.
#[derive(Debug)]
pub struct EntryState {
    /// The configuration in force.
    pub config: CurrentConfig,
    /// The newest versions of adapters.
    pub versions: VersionTable,
    /// The known endpoints and the reported state of their engines.
    pub endpoints: EndpointTable,
    /// The entry's share of the retry budget.
    pub retries: RetryQuota,
    /// The number of entries in the fleet.
    pub fleet_size: FleetSize,
    /// The time until which the entry's region counts as short of engines.
    pub region_short_until: Timestamp,
    /// The limiter of the loads from the weight store that the entry has in progress.
    pub load_limiter: LoadLimiter,
    /// The calls that wait for a slot at an engine.
    pub slot_queue: SlotQueue,
    /// The calls that crash endpoints.
    pub quarantine: CallQuarantine,
    /// The software versions of each service.
    pub software: SoftwareHistory,
    /// The policy for accepting calls after a stop request.
    pub stop_policy: Option<StopPolicy>,
    /// How recent the known configuration is.
    pub config_freshness: TableFreshness,
    /// How recent the known endpoints are.
    pub registry_freshness: TableFreshness,
    registry_known: bool,
    permits: HashMap<LoadTicket, oneshot::Sender<()>>,
}

impl EntryState {
    /// Records the software versions that are listed at `now`.
    fn record_software(&mut self, now: Timestamp) {
        let records = self.endpoints.iter().map(|endpoint| &endpoint.record);
        let listed = records.map(|record| (&record.service, &record.software));
        self.software.record(now, listed);
    }

    fn grant_permits(&mut self) {
        while let Some(ticket) = self.load_limiter.try_start() {
            if let Some(permit) = self.permits.remove(&ticket) {
                // The receiver lives until its ticket is cancelled.
                let _ = permit.send(());
            }
        }
    }
}

/// Options of a load request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadOptions {
    /// The time for which callers wait for the load.
    pub max_wait: Duration,
    /// Whether the load reads from the weight store.
    pub from_store: bool,
    /// The priority of the call that needs the load, 0 being the most urgent.
    pub priority: u8,
}

/// State of an entry that its tasks share.
pub struct EntryCore {
    /// The start options.
    pub options: EntryOptions,
    /// The codec for the platform's HTTP headers.
    pub codec: Box<dyn CallCodec>,
    /// The connection pool for endpoints.
    pub pool: EndpointPool,
    /// The connections to agents.
    pub agents: AgentLinks,
    /// The loads in progress, which calls share.
    pub loads: SharedLoads,
    /// The calls that may have crashed their engines.
    pub crashes: CrashWatch,
    /// The origins of streams.
    pub origins: OriginExchange,
    /// Counts the changes of the findings of `quarantine`.
    pub findings_changed: watch::Sender<u64>,
    /// The stage of the process, which readiness checks report.
    pub stage: StageCell,
    clock: SuspendClock,
    state: Mutex<EntryState>,
    changed: Notify,
    started_usages: Mutex<BTreeSet<EndpointId>>,
    usage_started: Notify,
    exchange_wakes: Mutex<HashMap<EndpointId, Arc<Notify>>>,
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
    /// Creates the state of an entry that knows no configuration and no endpoints.
    pub fn new(options: EntryOptions, codec: impl CallCodec) -> Arc<Self> {
        let retries = RetryQuota::new(options.retries);
        Arc::new(Self {
            options,
            codec: Box::new(codec),
            pool: EndpointPool::default(),
            agents: AgentLinks::default(),
            loads: SharedLoads::default(),
            crashes: CrashWatch::default(),
            origins: OriginExchange::default(),
            findings_changed: watch::Sender::new(0),
            stage: StageCell::default(),
            clock: SuspendClock::start(),
            state: Mutex::new(EntryState {
                config: CurrentConfig::default(),
                versions: VersionTable::default(),
                endpoints: EndpointTable::default(),
                retries,
                fleet_size: FleetSize::default(),
                region_short_until: Timestamp::ZERO,
                load_limiter: LoadLimiter::default(),
                slot_queue: SlotQueue::default(),
                quarantine: CallQuarantine::default(),
                software: SoftwareHistory::default(),
                stop_policy: None,
                config_freshness: TableFreshness::default(),
                registry_freshness: TableFreshness::default(),
                registry_known: false,
                permits: HashMap::new(),
            }),
            changed: Notify::new(),
            started_usages: Mutex::default(),
            usage_started: Notify::new(),
            exchange_wakes: Mutex::default(),
        })
    }

    /// Returns the process's monotonic clock.
    pub const fn clock(&self) -> SuspendClock {
        self.clock
    }

    /// Returns the time on the process's monotonic clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Locks the state on which decisions are based.
    pub fn state(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force, if one is known.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.state().config.current().cloned()
    }

    /// Waits until the known state of engines changes.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Begins to stop: readiness checks fail, and only calls that end within `grace` are accepted.
    pub fn begin_stop(&self, grace: Duration) {
        let now = self.now();
        self.state().stop_policy = Some(StopPolicy::new(now, grace));
        self.stage.advance(EntryStage::Stopping);
    }

    /// Wakes the calls that wait for a slot.
    pub fn notify_change(&self) {
        self.changed.notify_waiters();
    }

    /// Schedules an immediate report to the agent of an endpoint that an adapter there is in use.
    pub fn announce_usage(&self, id: &EndpointId) {
        let mut started = self
            .started_usages
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        started.insert(id.clone());
        drop(started);
        self.usage_started.notify_one();
    }

    /// Waits until the usage of some adapter starts, and returns the endpoints concerned.
    pub async fn started_usages(&self) -> BTreeSet<EndpointId> {
        self.usage_started.notified().await;
        let mut started = self
            .started_usages
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *started)
    }

    /// Returns the notification that ends an idle interval between exchanges with the agent of an
    /// endpoint.
    pub fn exchange_wake(&self, id: &EndpointId) -> Arc<Notify> {
        Arc::clone(self.lock_wakes().entry(id.clone()).or_default())
    }

    /// Removes the notification of an endpoint with which no more exchanges take place.
    pub fn remove_exchange_wake(&self, id: &EndpointId) {
        self.lock_wakes().remove(id);
    }

    /// Ends an idle interval between exchanges with the agent of an endpoint, which is used now.
    pub fn wake_exchange(&self, id: &EndpointId) {
        if let Some(wake) = self.lock_wakes().get(id) {
            wake.notify_one();
        }
    }

    fn lock_wakes(&self) -> MutexGuard<'_, HashMap<EndpointId, Arc<Notify>>> {
        self.exchange_wakes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the entry's region lacks an engine that serves a call in time. Exchanges with
    /// agents of other regions become frequent.
    pub fn record_shortage(&self) {
        let now = self.now();
        let mut state = self.state();
        let was_short = now < state.region_short_until;
        state.region_short_until = now + SHORTAGE_TIME;
        drop(state);
        if !was_short {
            log::info!(
                "event=region_short region_of={}",
                self.options.locality.data_centre
            );
            for wake in self.lock_wakes().values() {
                wake.notify_one();
            }
        }
    }

    /// Records a view that an agent published of its engine, and the fleet's size that it states.
    pub fn record_view(&self, id: &EndpointId, view: EngineView) {
        let now = self.now();
        let mut state = self.state();
        state.fleet_size.record(now, view.entries);
        if let Some(entries) = state.fleet_size.entries(now) {
            state.retries.set_entries(entries, now + COUNT_HOLD_TIME);
        }
        state.endpoints.record_view(now, id, view);
    }

    /// Applies records of the operator's configuration.
    pub fn apply_config(&self, event: FeedEvent<ConfigRecord>) {
        let (FeedEvent::Snapshot(records)
        | FeedEvent::Restored(records)
        | FeedEvent::Changes(records)) = event;
        let mut state = self.state();
        for record in records {
            match record {
                ConfigRecord::Config(config) => {
                    let (version, routes) = (config.version, config.routes.len());
                    let outcome = state.config.apply(*config);
                    if outcome != ConfigOutcome::Known {
                        log::info!("event=config version={version} routes={routes} step={outcome}");
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

    /// Applies changes of the registry.
    pub fn apply_registry(&self, event: FeedEvent<RegistryEvent>) {
        let now = self.now();
        let mut state = self.state();
        state.record_software(now);
        let changes = match event {
            FeedEvent::Snapshot(events) => {
                state.registry_known = true;
                state.endpoints.replace(now, announced(events))
            }
            FeedEvent::Restored(events) => state.endpoints.restore(now, announced(events)),
            FeedEvent::Changes(events) => apply_changes(&mut state.endpoints, now, events),
        };
        state.record_software(now);
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
            (true, true) if state.endpoints.is_empty() => EntryStage::Configured,
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

    /// Requests a load from the agent of an engine and waits for its outcome.
    ///
    /// Calls that need the same load share one request. A load from the weight store first waits
    /// for a permit of the load limiter.
    pub async fn load(
        self: &Arc<Self>,
        key: LoadKey,
        address: SocketAddr,
        engine: &EngineRule,
        options: LoadOptions,
    ) -> LoadOutcome {
        let request = load_request(&key, engine, options.max_wait);
        let core = Arc::clone(self);
        self.loads
            .wait(key.clone(), || async move {
                if options.from_store {
                    core.load_with_permit(key, address, request, options.priority)
                        .await
                } else {
                    core.request_load(key, address, request).await
                }
            })
            .await
    }

    async fn load_with_permit(
        &self,
        key: LoadKey,
        address: SocketAddr,
        request: LoadRequest,
        priority: u8,
    ) -> LoadOutcome {
        let (permit, granted) = oneshot::channel();
        let max_wait = request.max_wait;
        let ticket = {
            let mut state = self.state();
            let ticket = state.load_limiter.enqueue(priority);
            state.permits.insert(ticket, permit);
            state.grant_permits();
            ticket
        };
        if timeout(max_wait, granted).await.is_err() {
            let mut state = self.state();
            state.permits.remove(&ticket);
            if state.load_limiter.cancel(ticket) {
                return LoadOutcome::TimedOut;
            }
        }
        let started = self.now();
        let outcome = self.request_load(key, address, request).await;
        let now = self.now();
        let load_time = (outcome == LoadOutcome::Held).then(|| now.since(started));
        let mut state = self.state();
        state.load_limiter.finish(now, load_time);
        state.grant_permits();
        outcome
    }

    /// Returns the agents of the fleet that hold what entries share.
    pub fn holders(&self) -> Vec<StateHolder> {
        let state = self.state();
        let Some(table) = state.config.current() else {
            return Vec::new();
        };
        let is_engine = |endpoint: &&EndpointState| {
            let rule = table.service(&endpoint.record.service);
            rule.is_some_and(|rule| rule.engine.is_some())
        };
        let engines = state.endpoints.iter().filter(is_engine);
        select_holders(engines.map(|endpoint| {
            let agent = self.agent_address(endpoint.record.address);
            (agent, endpoint.record.data_centre.as_str())
        }))
    }

    /// Returns the address of the agent of an engine: the VM of the engine, at the common agent
    /// port.
    pub const fn agent_address(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.options.agent_port)
    }

    /// Reports this entry's usage to an engine's agent and records the view that the agent returns
    /// at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn refresh_view(&self, id: &EndpointId) -> Result<(), AgentError> {
        let (usage, address) = {
            let mut state = self.state();
            let Some(endpoint) = state.endpoints.get(id) else {
                return Ok(());
            };
            let address = endpoint.record.address;
            (state.endpoints.take_usage(&self.options.name, id), address)
        };
        let agent = self.agent_address(address);
        let view = self
            .agents
            .exchange(agent, usage, UNSEEN_REVISION, Duration::ZERO)
            .await?;
        self.record_view(id, view);
        Ok(())
    }

    /// Returns whether the VM of an engine responds now, even if its agent process has ended.
    pub async fn is_vm_responsive(&self, id: &EndpointId) -> bool {
        let failure = match timeout(VM_RESPONSE_TIMEOUT, self.refresh_view(id)).await {
            Ok(Ok(())) => return true,
            Ok(Err(error)) => error.failure,
            Err(_) => AgentFailure::VmSilent,
        };
        self.state().endpoints.clear_view(id, failure);
        log::info!("event=agent_lost endpoint={id} loss={failure}");
        failure == AgentFailure::ProcessEnded
    }

    async fn request_load(
        &self,
        key: LoadKey,
        address: SocketAddr,
        request: LoadRequest,
    ) -> LoadOutcome {
        let adapter = requested_adapter(&key);
        if let Some(adapter) = &adapter {
            self.state()
                .endpoints
                .begin_load(&key.endpoint, adapter.clone());
        }
        let usage = self
            .state()
            .endpoints
            .take_usage(&self.options.name, &key.endpoint);
        let agent = self.agent_address(address);
        let started = self.now();
        let answer = self.agents.prepare(agent, usage, request).await;
        let took = self.now().since(started);
        if let Some(adapter) = &adapter {
            self.state().endpoints.end_load(&key.endpoint, adapter);
        }
        metrics::histogram!("amaranth_load_wait_seconds").record(took.as_secs_f64());
        let outcome = answer.unwrap_or_else(|error| {
            log::warn!("event=agent_silent endpoint={} error={error}", key.endpoint);
            self.state()
                .endpoints
                .clear_view(&key.endpoint, error.failure);
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
            && let Some(adapter) = adapter
            && let Some(state) = self.state().endpoints.get_mut(&key.endpoint)
        {
            state.record_held(adapter);
        }
        self.changed.notify_waiters();
        outcome
    }
}

fn requested_adapter(key: &LoadKey) -> Option<amaranth_dispatch::engine_view::HeldAdapter> {
    Some(amaranth_dispatch::engine_view::HeldAdapter {
        model: key.model.clone(),
        name: key.adapter.clone()?,
        version: key.version.unwrap_or(0),
    })
}

fn load_request(key: &LoadKey, engine: &EngineRule, max_wait: Duration) -> LoadRequest {
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
        max_wait,
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

/// Applies the changes of one read. Endpoints that were removed and not announced again are removed
/// in one batch.
fn apply_changes(
    endpoints: &mut EndpointTable,
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
                changes.push((id, endpoints.apply(RegistryEvent::Announced(record))));
            }
        }
    }
    let removed: Vec<EndpointId> = removed.into_iter().collect();
    changes.extend(endpoints.remove_batch(now, &removed));
    changes
}
