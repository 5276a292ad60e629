//! The state of an entry that its tasks share.

mod agents;
mod loads;
mod options;
mod state;
mod updates;

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::exchange_policy::SHORTAGE_TIME;
use amaranth_dispatch::routes::RouteTable;
use amaranth_dispatch::stop_policy::StopPolicy;
use tokio::sync::{Notify, watch};

pub use loads::LoadOptions;
pub use options::EntryOptions;
pub use state::EntryState;
pub use updates::ConfigRecord;

use crate::agent_link::AgentLinks;
use crate::call_codec::CallCodec;
use crate::caller_memory::MemoryGauge;
use crate::crash_watch::CrashWatch;
use crate::endpoint_pool::EndpointPool;
use crate::entry_stage::{EntryStage, StageCell};
use crate::origin_exchange::OriginExchange;
use crate::quota_exchange::QuotaExchange;
use crate::shared_loads::SharedLoads;
use crate::software_memory::SoftwareMemory;
use crate::suspend_clock::SuspendClock;

/// State of an entry that its tasks share.
pub struct EntryCore {
    /// The start options.
    pub options: EntryOptions,
    /// The codec for the platform's HTTP headers.
    pub codec: Box<dyn CallCodec>,
    /// The connection pool for endpoints.
    pub pool: EndpointPool,
    /// The memory that calls hold.
    pub memory: Arc<MemoryGauge>,
    /// The connections to agents.
    pub agents: AgentLinks,
    /// The loads in progress, which calls share.
    pub loads: SharedLoads,
    /// The calls that may have crashed their engines.
    pub crashes: CrashWatch,
    /// The origins of streams.
    pub origins: OriginExchange,
    /// The software versions that the store remembers.
    pub software_memory: SoftwareMemory,
    /// The leases of teams' quotas.
    pub quotas: QuotaExchange,
    /// Counts the changes of the findings of `quarantine`.
    pub findings_changed: watch::Sender<u64>,
    /// The stage of the process, which readiness checks report.
    pub stage: StageCell,
    /// The policy for accepting calls after a stop request.
    pub stop_policy: watch::Sender<Option<StopPolicy>>,
    clock: SuspendClock,
    state: Mutex<EntryState>,
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
        let clock = SuspendClock::start();
        Arc::new(Self {
            memory: MemoryGauge::new(clock, options.memory),
            codec: Box::new(codec),
            pool: EndpointPool::default(),
            agents: AgentLinks::default(),
            loads: SharedLoads::default(),
            crashes: CrashWatch::default(),
            origins: OriginExchange::default(),
            software_memory: SoftwareMemory::default(),
            quotas: QuotaExchange::default(),
            findings_changed: watch::Sender::new(0),
            stage: StageCell::default(),
            stop_policy: watch::Sender::new(None),
            clock,
            state: Mutex::new(EntryState::new(options.retries)),
            options,
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

    /// Begins to stop: readiness checks fail, and only calls that end within `grace` are accepted.
    pub fn begin_stop(&self, grace: Duration) {
        let now = self.now();
        self.stage.advance(EntryStage::Stopping);
        self.stop_policy
            .send_replace(Some(StopPolicy::new(now, grace)));
    }

    /// Lets the calls that wait for a place look for one, since some may have become free.
    pub fn notify_change(&self) {
        let now = self.now();
        self.state().admissions.begin_rounds(now);
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
}
