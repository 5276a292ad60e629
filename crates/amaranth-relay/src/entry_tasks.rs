//! The background tasks of an entry: feeds, housekeeping, and exchanges with agents.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_dispatch::endpoint_table::{EndpointChange, EndpointState, RegistryEvent};
use amaranth_dispatch::exchange_policy::{ExchangeNeed, ExchangePace, RECENT_USE_TIME};
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep, timeout};

use crate::entry::{ConfigRecord, EntryCore, LoadOptions};
use crate::feed::{self, FeedOptions, FeedSource};
use crate::origin_exchange;
use crate::quota_exchange;
use crate::shared_loads::LoadKey;
use crate::table_relay::{self, DirectObserver, TableDecoders};

/// Fraction of the configuration bound for which a read waits for a change. If the store does not
/// end the wait when a change arrives, the read still returns the change in time.
const CONFIG_WAIT_FRACTION: f64 = 0.6;

/// Minimum time between two reads of the configuration.
const CONFIG_INTERVAL: Duration = Duration::from_millis(250);

/// Fraction of the drain bound that passes between two reads of the registry.
const REGISTRY_INTERVAL_FRACTION: f64 = 0.5;

/// Time between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for the load of a model on an empty engine.
const MODEL_LOAD_TIMEOUT: Duration = Duration::from_secs(12);

/// The background tasks of a running entry. Dropping the handle aborts them.
#[derive(Debug)]
pub struct EntryTasks {
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for EntryTasks {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// Spawns the background tasks of an entry.
pub fn spawn_tasks(
    core: &Arc<EntryCore>,
    mut config: impl FeedSource<Item = ConfigRecord>,
    mut registry: impl FeedSource<Item = RegistryEvent>,
    decoders: TableDecoders,
) -> EntryTasks {
    let clock = core.clock();
    let mut config_observer = DirectObserver::new(
        core,
        core.options.config_bound,
        |state| &mut state.config_freshness,
        EntryCore::apply_config,
    );
    let mut registry_observer = DirectObserver::new(
        core,
        core.options.drain_bound,
        |state| &mut state.registry_freshness,
        EntryCore::apply_registry,
    );
    let config_needed = Arc::clone(&config_observer.needed);
    let config_options = FeedOptions {
        name: "configuration",
        wait: core.options.config_bound.mul_f64(CONFIG_WAIT_FRACTION),
        interval: CONFIG_INTERVAL,
    };
    let registry_options = FeedOptions {
        name: "registry",
        wait: Duration::ZERO,
        interval: core.options.drain_bound.mul_f64(REGISTRY_INTERVAL_FRACTION),
    };
    let tasks = vec![
        tokio::spawn(async move {
            feed::follow_with(&mut config, config_options, clock, &mut config_observer).await;
        }),
        tokio::spawn(async move {
            feed::follow_with(
                &mut registry,
                registry_options,
                clock,
                &mut registry_observer,
            )
            .await;
        }),
        tokio::spawn(table_relay::follow_readers(
            Arc::clone(core),
            decoders,
            config_needed,
        )),
        tokio::spawn(run_housekeeping(Arc::clone(core))),
        tokio::spawn(watch_engines(Arc::clone(core))),
        tokio::spawn(announce_usages(Arc::clone(core))),
        tokio::spawn(origin_exchange::publish_origins(Arc::clone(core))),
    ];
    EntryTasks { tasks }
}

/// Closes expired idle connections and removes endpoints whose removal is due.
async fn run_housekeeping(core: Arc<EntryCore>) {
    let mut ticks = interval(HOUSEKEEPING_INTERVAL);
    loop {
        ticks.tick().await;
        core.pool.close_expired();
        quota_exchange::refresh(&core);
        metrics::gauge!("amaranth_call_memory_bytes").set(core.memory.held().0 as f64);
        let now = core.now();
        let expired = core.state().endpoints.expire(now);
        for id in expired {
            log::info!(
                "event=endpoint endpoint={id} change={}",
                EndpointChange::Removed
            );
        }
    }
}

/// Runs one exchange loop for the agent of each engine.
async fn watch_engines(core: Arc<EntryCore>) {
    let mut watched: HashSet<EndpointId> = HashSet::new();
    let (ended, mut endings) = tokio::sync::mpsc::unbounded_channel::<EndpointId>();
    let mut ticks = interval(HOUSEKEEPING_INTERVAL);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            Some(id) = endings.recv() => {
                watched.remove(&id);
                continue;
            }
        }
        for (id, address) in engines(&core) {
            if watched.insert(id.clone()) {
                let core = Arc::clone(&core);
                let ended = ended.clone();
                tokio::spawn(async move {
                    watch_engine(core, &id, address).await;
                    // The receiver lives as long as the process.
                    let _ = ended.send(id);
                });
            }
        }
    }
}

/// Reports newly used adapters to agents, so that the agents do not evict them.
async fn announce_usages(core: Arc<EntryCore>) {
    loop {
        for id in core.started_usages().await {
            let core = Arc::clone(&core);
            tokio::spawn(async move { announce_usage(core, id).await });
        }
    }
}

async fn announce_usage(core: Arc<EntryCore>, id: EndpointId) {
    if let Err(error) = core.refresh_view(&id).await {
        // The exchange loop of the engine logs the failure.
        log::debug!("event=use_not_announced endpoint={id} error={error}");
    }
}

fn is_same_region(core: &EntryCore, id: &EndpointId) -> bool {
    let state = core.state();
    state.endpoints.get(id).is_some_and(|endpoint| {
        core.options
            .locality
            .is_same_region(&endpoint.record.data_centre)
    })
}

fn engines(core: &EntryCore) -> Vec<(EndpointId, SocketAddr)> {
    let state = core.state();
    let Some(table) = state.config.current() else {
        return Vec::new();
    };
    let is_engine = |endpoint: &&EndpointState| {
        table
            .service(&endpoint.record.service)
            .is_some_and(|service| service.engine.is_some())
    };
    state
        .endpoints
        .iter()
        .filter(is_engine)
        .map(|endpoint| (endpoint.record.id.clone(), endpoint.record.address))
        .collect()
}

/// Exchanges usage and views with the agent of one engine until the engine is removed.
async fn watch_engine(core: Arc<EntryCore>, id: &EndpointId, address: SocketAddr) {
    let agent = core.agent_address(address);
    let same_region = is_same_region(&core, id);
    let wake = core.exchange_wake(id);
    let mut seen = 0;
    let mut is_unreachable = false;
    let mut wait = Duration::ZERO;
    loop {
        let usage = {
            let mut state = core.state();
            if state.endpoints.get(id).is_none() {
                break;
            }
            state.endpoints.take_usage(&core.options.name, id)
        };
        let delay = match core.agents.exchange(agent, usage, seen, wait).await {
            Ok(view) => {
                if std::mem::take(&mut is_unreachable) {
                    log::info!("event=dependency_regained agent={agent} endpoint={id}");
                }
                seen = view.revision;
                let empty = view.contents.cache_total > 0
                    && view.contents.models.is_empty()
                    && !view.contents.busy;
                core.record_view(id, view);
                core.notify_change();
                if empty && same_region {
                    request_first_model(&core, id, address);
                }
                let pace = exchange_pace(&core, id, same_region);
                wait = pace.wait();
                pace.interval()
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unreachable, true) {
                    log::warn!("event=dependency_lost endpoint={id} error={error}");
                }
                core.state().endpoints.clear_view(id, error.failure);
                seen = 0;
                wait = Duration::ZERO;
                exchange_pace(&core, id, same_region).retry_delay()
            }
        };
        if exchange_pace(&core, id, same_region).is_idle() {
            // Ends early when a call uses the engine.
            let _ = timeout(delay, wake.notified()).await;
        } else {
            sleep(delay).await;
        }
    }
    core.remove_exchange_wake(id);
}

/// Returns how often to exchange with the agent of an engine now.
fn exchange_pace(core: &EntryCore, id: &EndpointId, same_region: bool) -> ExchangePace {
    let now = core.now();
    let state = core.state();
    let endpoint = state.endpoints.get(id);
    let view = endpoint.and_then(|endpoint| endpoint.view.as_ref());
    ExchangePace::for_need(ExchangeNeed {
        same_region,
        is_used: endpoint.is_some_and(|endpoint| endpoint.was_used_within(now, RECENT_USE_TIME)),
        has_waiting_loads: view.is_some_and(|(_, view)| view.waiting_loads > 0),
        region_short: now < state.region_short_until,
    })
}

/// Requests the load of the service's first model from the agent of an empty engine.
fn request_first_model(core: &Arc<EntryCore>, id: &EndpointId, address: SocketAddr) {
    let state = core.state();
    let Some(endpoint) = state
        .endpoints
        .get(id)
        .filter(|endpoint| endpoint.is_accepting())
    else {
        return;
    };
    let service = endpoint.record.service.clone();
    let rule = state
        .config
        .current()
        .and_then(|table| table.service(&service).cloned());
    drop(state);
    let Some(rule) = rule else {
        return;
    };
    let Some(engine) = rule.engine.clone() else {
        return;
    };
    let Some(model) = engine.models.first() else {
        return;
    };
    let key = LoadKey {
        endpoint: id.clone(),
        model: model.name.clone(),
        adapter: None,
        version: None,
    };
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let options = LoadOptions {
            max_wait: MODEL_LOAD_TIMEOUT,
            from_store: false,
            priority: 0,
        };
        core.load(key, address, &engine, options).await;
    });
}
