//! Updates of an entry's state: the operator's configuration, the registry and agents' views.

use std::collections::BTreeSet;

use amaranth_core::ids::{AdapterName, EndpointId, ModelName};
use amaranth_core::time::Timestamp;
use amaranth_dispatch::endpoint_table::{
    EndpointChange, EndpointRecord, EndpointTable, RegistryEvent,
};
use amaranth_dispatch::engine_view::EngineView;
use amaranth_dispatch::fleet_size::COUNT_HOLD_TIME;
use amaranth_dispatch::routes::{ConfigOutcome, RoutingConfig};
use amaranth_dispatch::team_table::TeamTable;

use super::EntryCore;
use crate::entry_stage::EntryStage;
use crate::feed::FeedEvent;

/// Largest number of conflicts between teams that are logged for one configuration.
const MAX_LOGGED_CONFLICTS: usize = 32;

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

impl EntryCore {
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
                    if outcome == ConfigOutcome::Adopted {
                        state.retain_paces();
                    }
                    if outcome == ConfigOutcome::Adopted
                        && let Some(teams) = state.config.current().and_then(|table| table.teams())
                    {
                        log_teams(version, teams);
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
            FeedEvent::Restored(events) => {
                state.software.publish_again();
                state.endpoints.restore(now, announced(events))
            }
            FeedEvent::Changes(events) => apply_changes(&mut state.endpoints, now, events),
        };
        let is_unpublished = state.record_software(now);
        drop(state);
        if is_unpublished {
            self.software_memory.notify_unpublished();
        }
        for (id, change) in changes {
            if change != EndpointChange::Unchanged {
                log::info!("event=endpoint endpoint={id} change={change}");
            }
        }
        self.notify_change();
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
}

/// Logs the size of a table of teams and the conflicts in it.
fn log_teams(version: u64, teams: &TeamTable) {
    log::info!(
        "event=teams version={version} teams={} keys={}",
        teams.team_count(),
        teams.key_count()
    );
    let conflicts = teams.conflicts();
    for conflict in conflicts.iter().take(MAX_LOGGED_CONFLICTS) {
        log::warn!("event=team_conflict version={version} fault=\"{conflict}\"");
    }
    if conflicts.len() > MAX_LOGGED_CONFLICTS {
        log::warn!(
            "event=team_conflicts version={version} total={} logged={MAX_LOGGED_CONFLICTS}",
            conflicts.len()
        );
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
