//! The endpoints that an entry knows, as the registry lists them, with their health and load.

mod record;
mod selection_keys;
mod state;
mod traffic;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use amaranth_core::ids::{EndpointId, ModelName, ServiceName};
use amaranth_core::time::Timestamp;

use crate::engine_speed::SpeedEstimate;
use record::started_before;
pub use record::{AgentFailure, EndpointChange, EndpointRecord, RegistryEvent};
pub use state::EndpointState;
pub use traffic::EndpointOutcome;

/// Delay of a removal when many endpoints are removed at once. The platform gives registrations
/// that expired during an outage two seconds to return; the bound on sending to removed endpoints
/// is not much longer.
const MASS_REMOVAL_DELAY: Duration = Duration::from_millis(1_200);

/// Delay of the removal of an endpoint that is missing after the registry was restored from an older
/// copy: an endpoint that still runs announces itself again within this time.
const RESTORED_REMOVAL_DELAY: Duration = Duration::from_millis(2_000);

/// The last that was known of a removed endpoint.
#[derive(Debug, Clone, Copy)]
struct RemovedEndpoint {
    started_ms: Option<u64>,
    sequence: u64,
    leaving: bool,
}

/// The table of all endpoints that the entry knows.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, EndpointState>,
    removed: HashMap<EndpointId, RemovedEndpoint>,
    /// The mean speed of each service's engines, with the time of its last update.
    priors: HashMap<ServiceName, (Timestamp, SpeedEstimate)>,
}

/// Largest number of removed endpoints that are remembered, so that a late announcement does not add
/// them again.
const MAX_REMOVED_KEPT: usize = 512;

impl EndpointTable {
    /// Returns the state of an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointState> {
        self.endpoints.get(id)
    }

    /// Returns the mutable state of an endpoint.
    pub fn get_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointState> {
        self.endpoints.get_mut(id)
    }

    /// Returns whether no endpoint that accepts calls holds a model, while at least one has an
    /// agent that can have the model loaded.
    pub fn is_loading_model(&self, service: &ServiceName, model: &ModelName) -> bool {
        let mut accepting = self
            .of_service(service)
            .filter(|state| state.is_accepting());
        let mut has_agent = false;
        let is_held = accepting.any(|state| {
            has_agent |= state.view.is_some();
            state.contents().models.contains(model)
        });
        has_agent && !is_held
    }

    /// Iterates over the endpoints of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a EndpointState> {
        self.endpoints
            .values()
            .filter(move |state| state.record.service == *service)
    }

    /// Iterates over all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values()
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Applies a change of the registry.
    pub fn apply(&mut self, event: RegistryEvent) -> EndpointChange {
        match event {
            RegistryEvent::Announced(record) => self.announce(*record),
            RegistryEvent::Removed(id) => self.remove(&id),
        }
    }

    /// Replaces the table's endpoints by a complete list of the registry, and returns the changes.
    ///
    /// Endpoints that are missing from the list are removed by [`EndpointTable::remove_batch`], except
    /// those whose removal is delayed already.
    pub fn replace(
        &mut self,
        now: Timestamp,
        records: Vec<EndpointRecord>,
    ) -> Vec<(EndpointId, EndpointChange)> {
        let mut missing = self.missing_from(&records);
        missing.retain(|id| {
            let state = self.endpoints.get(id);
            state.is_some_and(|state| state.removal_at.is_none())
        });
        let mut changes = self.remove_batch(now, &missing);
        changes.extend(self.announce_all(records));
        changes
    }

    /// Applies a complete list of a registry that was restored from an older copy, and returns the
    /// changes.
    ///
    /// Endpoints that are missing from the list may have announced themselves after the copy was
    /// made. They are removed after a delay unless they announce themselves again.
    pub fn restore(
        &mut self,
        now: Timestamp,
        records: Vec<EndpointRecord>,
    ) -> Vec<(EndpointId, EndpointChange)> {
        let missing = self.missing_from(&records);
        let mut changes: Vec<_> = missing
            .into_iter()
            .map(|id| {
                let change = self.delay_removal(now + RESTORED_REMOVAL_DELAY, &id);
                (id, change)
            })
            .collect();
        changes.extend(self.announce_all(records));
        changes
    }

    fn missing_from(&self, records: &[EndpointRecord]) -> Vec<EndpointId> {
        let listed: HashSet<&EndpointId> = records.iter().map(|record| &record.id).collect();
        self.endpoints
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect()
    }

    fn announce_all(&mut self, records: Vec<EndpointRecord>) -> Vec<(EndpointId, EndpointChange)> {
        let mut changes = Vec::new();
        for record in records {
            let id = record.id.clone();
            let change = self.announce(record);
            if change != EndpointChange::Unchanged {
                changes.push((id, change));
            }
        }
        changes
    }

    /// Applies removals from one read of the registry.
    ///
    /// If they are more than a third of the endpoints, they are delayed until
    /// [`EndpointTable::expire`] finds them due.
    pub fn remove_batch(
        &mut self,
        now: Timestamp,
        ids: &[EndpointId],
    ) -> Vec<(EndpointId, EndpointChange)> {
        let known: Vec<EndpointId> = ids
            .iter()
            .filter(|id| self.endpoints.contains_key(*id))
            .cloned()
            .collect();
        let is_delayed = known.len() * 3 > self.endpoints.len();
        known
            .into_iter()
            .map(|id| {
                let change = if is_delayed {
                    self.delay_removal(now + MASS_REMOVAL_DELAY, &id)
                } else {
                    self.remove(&id)
                };
                (id, change)
            })
            .collect()
    }

    /// Removes the endpoints whose delayed removal is due, and returns their ids.
    pub fn expire(&mut self, now: Timestamp) -> Vec<EndpointId> {
        let due: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, state)| state.removal_at.is_some_and(|at| at <= now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.remove(id);
        }
        due
    }

    fn delay_removal(&mut self, until: Timestamp, id: &EndpointId) -> EndpointChange {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.removal_at.get_or_insert(until);
        }
        EndpointChange::RemovalDelayed
    }

    fn remove(&mut self, id: &EndpointId) -> EndpointChange {
        let Some(state) = self.endpoints.remove(id) else {
            return EndpointChange::Unchanged;
        };
        if self.removed.len() >= MAX_REMOVED_KEPT {
            self.removed.clear();
        }
        let removed = RemovedEndpoint {
            started_ms: state.record.started_ms,
            sequence: state.record.sequence,
            leaving: state.health.is_leaving(),
        };
        self.removed.insert(id.clone(), removed);
        EndpointChange::Removed
    }

    /// Applies an announcement. One that is older than the known one of the same incarnation is
    /// ignored.
    fn announce(&mut self, record: EndpointRecord) -> EndpointChange {
        let removed = self.removed.get(&record.id).copied();
        let removed = removed.filter(|removed| removed.started_ms == record.started_ms);
        if removed.is_some_and(|removed| record.sequence <= removed.sequence) {
            return EndpointChange::Unchanged;
        }
        if self.is_superseded(&record) {
            return EndpointChange::Unchanged;
        }
        self.remove_superseded(&record);
        let Some(state) = self.endpoints.get_mut(&record.id) else {
            let id = record.id.clone();
            self.removed.remove(&id);
            let mut state = self.new_state(record);
            if removed.is_some_and(|removed| removed.leaving) {
                state.health.record_leaving();
            }
            let is_leaving = state.health.is_leaving();
            self.endpoints.insert(id, state);
            return if is_leaving {
                EndpointChange::Draining
            } else {
                EndpointChange::Joined
            };
        };
        if record.started_ms == state.record.started_ms && record.sequence < state.record.sequence {
            return EndpointChange::Unchanged;
        }
        if record.started_ms < state.record.started_ms {
            return EndpointChange::Unchanged;
        }
        state.removal_at = None;
        if record.started_ms != state.record.started_ms {
            let id = record.id.clone();
            let restarted = self.new_state(record);
            self.endpoints.insert(id, restarted);
            return EndpointChange::Restarted;
        }
        // An endpoint that is leaving does not accept calls again in the same incarnation.
        let began_leaving = record.draining && state.health.record_leaving();
        state.set_record(record);
        if began_leaving {
            EndpointChange::Draining
        } else {
            EndpointChange::Unchanged
        }
    }

    fn new_state(&self, record: EndpointRecord) -> EndpointState {
        let mut state = EndpointState::new(record);
        if let Some((_, prior)) = self.priors.get(&state.record.service) {
            state.estimate.learner_mut().set_prior(*prior);
        }
        state
    }

    /// Removes an endpoint at whose address another endpoint answers.
    pub fn record_replaced(&mut self, id: &EndpointId) -> EndpointChange {
        self.remove(id)
    }

    /// Returns whether an endpoint that started later is known at a record's address. The registry
    /// lists an endpoint for some time after its process has ended.
    fn is_superseded(&self, record: &EndpointRecord) -> bool {
        self.endpoints
            .values()
            .any(|known| started_before(record, &known.record))
    }

    /// Removes the endpoints that started earlier at a record's address.
    fn remove_superseded(&mut self, record: &EndpointRecord) {
        let superseded: Vec<EndpointId> = self
            .endpoints
            .values()
            .filter(|known| started_before(&known.record, record))
            .map(|known| known.record.id.clone())
            .collect();
        for id in superseded {
            self.remove(&id);
        }
    }
}
