//! The tasks that keep an entry up to date: feeds, housekeeping, and exchanges with agents.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_dispatch::endpoint_table::{EndpointChange, EndpointState, RegistryEvent};
use amaranth_dispatch::engine_view::EngineView;
use tokio::task::JoinHandle;
use tokio::time::{interval, sleep};

use crate::entry::{ConfigRecord, EntryCore, LoadTerms};
use crate::feed::{self, FeedOptions, FeedSource};
use crate::load_waits::LoadKey;

/// Part of the bound on configurations for which a read waits for a change. A read whose wait the
/// store does not end when a change comes still brings it in time.
const CONFIG_PART: f64 = 0.6;

/// Least time between two reads of the configuration.
const CONFIG_INTERVAL: Duration = Duration::from_millis(250);

/// Part of the bound on sending to endpoints that leave that passes between two reads of the
/// registry.
const REGISTRY_PART: f64 = 0.5;

/// Time for which an agent waits for a change before it answers an exchange.
const EXCHANGE_WAIT: Duration = Duration::from_millis(400);

/// The same while loads wait for a place at the engine.
const PRESSED_EXCHANGE_WAIT: Duration = Duration::from_millis(60);

/// Least time between two exchanges with an agent.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(40);

/// The time for which an agent in another region waits before it answers an exchange.
const FAR_EXCHANGE_WAIT: Duration = Duration::from_millis(1_000);

/// Least time between two exchanges with an agent in another region: their bytes have a price.
const FAR_EXCHANGE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Pause after an agent gave no answer.
const AGENT_PAUSE: Duration = Duration::from_millis(700);

/// Time between two rounds of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);

/// How long an empty engine's agent may take to load a model.
const MODEL_PATIENCE: Duration = Duration::from_secs(12);

/// The tasks of a running entry. Dropping the handle ends them.
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

/// Spawns the tasks that keep an entry up to date.
pub fn spawn_tasks(
    core: &Arc<EntryCore>,
    config: impl FeedSource<Item = ConfigRecord>,
    registry: impl FeedSource<Item = RegistryEvent>,
) -> EntryTasks {
    let config_core = Arc::clone(core);
    let registry_core = Arc::clone(core);
    let config_options = FeedOptions {
        name: "configuration",
        wait: core.options.config_bound.mul_f64(CONFIG_PART),
        interval: CONFIG_INTERVAL,
    };
    let registry_options = FeedOptions {
        name: "registry",
        wait: Duration::ZERO,
        interval: core.options.leave_bound.mul_f64(REGISTRY_PART),
    };
    let tasks = vec![
        tokio::spawn(async move {
            feed::follow(config, config_options, |event| {
                config_core.take_config(event);
            })
            .await;
        }),
        tokio::spawn(async move {
            feed::follow(registry, registry_options, |event| {
                registry_core.take_registry(event);
            })
            .await;
        }),
        tokio::spawn(keep_house(Arc::clone(core))),
        tokio::spawn(watch_engines(Arc::clone(core))),
        tokio::spawn(announce_uses(Arc::clone(core))),
    ];
    EntryTasks { tasks }
}

/// Retires idle connections and endpoints whose removal is due.
async fn keep_house(core: Arc<EntryCore>) {
    let mut ticks = interval(HOUSEKEEPING_INTERVAL);
    loop {
        ticks.tick().await;
        core.pool.retire();
        let now = core.now();
        let expired = core.state().book.expire(now);
        for id in expired {
            log::info!(
                "event=endpoint endpoint={id} change={}",
                EndpointChange::Removed
            );
        }
    }
}

/// Keeps one exchange going with the agent of each engine.
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

/// Tells agents of adapters whose use began, so that they are not given up.
async fn announce_uses(core: Arc<EntryCore>) {
    loop {
        for id in core.begun_uses().await {
            let core = Arc::clone(&core);
            tokio::spawn(async move { announce_use(core, id).await });
        }
    }
}

async fn announce_use(core: Arc<EntryCore>, id: EndpointId) {
    if let Err(error) = core.hear_agent(&id).await {
        // The exchange that is always under way logs what is lost.
        log::debug!("event=use_not_announced endpoint={id} error={error}");
    }
}

fn is_near(core: &EntryCore, id: &EndpointId) -> bool {
    let state = core.state();
    state.book.get(id).is_some_and(|endpoint| {
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
        .book
        .iter()
        .filter(is_engine)
        .map(|endpoint| (endpoint.record.id.clone(), endpoint.record.address))
        .collect()
}

/// Exchanges use and contents with the agent of one engine until the engine is gone.
async fn watch_engine(core: Arc<EntryCore>, id: &EndpointId, address: SocketAddr) {
    let agent = core.agent_address(address);
    let near = is_near(&core, id);
    let interval = if near {
        EXCHANGE_INTERVAL
    } else {
        FAR_EXCHANGE_INTERVAL
    };
    let mut seen = 0;
    let mut silent = false;
    let mut wait = Duration::ZERO;
    loop {
        let usage = {
            let mut state = core.state();
            if state.book.get(id).is_none() {
                return;
            }
            state.book.take_usage(&core.options.name, id)
        };
        match core.agents.exchange(agent, usage, seen, wait).await {
            Ok(view) => {
                if std::mem::take(&mut silent) {
                    log::info!("event=dependency_regained agent={agent} endpoint={id}");
                }
                seen = view.revision;
                wait = exchange_wait(near, &view);
                let empty = view.contents.cache_total > 0
                    && view.contents.models.is_empty()
                    && !view.contents.busy;
                let now = core.now();
                core.state().book.record_view(now, id, view);
                core.note_change();
                if empty && near {
                    fill_engine(&core, id, address);
                }
                sleep(interval).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut silent, true) {
                    log::warn!("event=dependency_lost endpoint={id} error={error}");
                }
                core.state().book.clear_view(id, error.loss);
                seen = 0;
                wait = Duration::ZERO;
                sleep(AGENT_PAUSE).await;
            }
        }
    }
}

fn exchange_wait(near: bool, view: &EngineView) -> Duration {
    match (near, view.waiting_loads) {
        (false, _) => FAR_EXCHANGE_WAIT,
        (true, 0) => EXCHANGE_WAIT,
        (true, _) => PRESSED_EXCHANGE_WAIT,
    }
}

/// Asks the agent of an empty engine to load the service's first model.
fn fill_engine(core: &Arc<EntryCore>, id: &EndpointId, address: SocketAddr) {
    let state = core.state();
    let Some(endpoint) = state
        .book
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
        let terms = LoadTerms {
            patience: MODEL_PATIENCE,
            from_store: false,
            rank: 0,
        };
        core.load(key, address, &engine, terms).await;
    });
}
