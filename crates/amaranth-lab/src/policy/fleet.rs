//! The interface between the replay and a policy, and the policy of the product.

use std::collections::HashMap;
use std::str::FromStr;

use amaranth_core::ids::{AdapterRef, EndpointId, ModelName, RequestId};
use amaranth_core::membership::{EndpointLoad, EndpointOffer, EndpointReport};
use amaranth_core::request::{ModelTarget, RequestPriority};
use amaranth_core::time::Timestamp;
use amaranth_core::units::TokenCount;
use amaranth_placement::broker::{BrokerOptions, BrokerReply, LoadBroker, LoadKey};
use amaranth_placement::planner::{
    EnginePlanner, PlannedRequest, PlannerCommands, PlannerEvent, PlannerOptions,
};
use amaranth_placement::presets::PolicyPreset;
use amaranth_placement::router::{EndpointRouter, RouteQuery, RouterOptions};
use smallvec::SmallVec;

use crate::policy::deployment::{DeploymentSize, TRANSIT_LIMIT};
use crate::policy::workload::{ReplayRequest, ReplayWorkload};

/// The name of the base model in both deployments.
const BASE_MODEL: &str = "base";

/// The decisions of a policy for all entries and engines of a deployment.
pub trait ReplayFleet {
    /// Selects the engine for a request that arrived at its entry, and counts the request as sent
    /// there; returns `None` if no engine is available.
    fn route(&mut self, now: Timestamp, request: usize, excluded: &[usize]) -> Option<usize>;

    /// Records that the entry of `request` was notified of its end on `engine`.
    fn record_finished(&mut self, now: Timestamp, request: usize, engine: usize);

    /// Applies a load report, which reaches the entries with a delay.
    fn apply_report(&mut self, now: Timestamp, engine: usize, report: EndpointReport);

    /// Removes an unreachable engine.
    fn remove(&mut self, engine: usize);

    /// Handles an event at the agent of an engine and returns the resulting commands.
    fn handle(&mut self, now: Timestamp, engine: usize, event: PlannerEvent) -> PlannerCommands;

    /// Returns the load report of an agent.
    fn report(&self, now: Timestamp, engine: usize, ready: bool) -> EndpointReport;

    /// Requests a load permit from the broker.
    fn request_permit(
        &mut self,
        now: Timestamp,
        engine: usize,
        adapter: &AdapterRef,
        saved_wait_ms: u64,
    ) -> BrokerReply;

    /// Releases a load permit to the broker.
    fn release_permit(&mut self, engine: usize, adapter: &AdapterRef);
}

/// The names of the engines and adapters of a replay.
#[derive(Debug, Clone)]
pub struct FleetNames {
    /// The endpoint ids of the engines, by index.
    pub engines: Vec<EndpointId>,
    /// The targets of requests, by index of the adapter.
    pub targets: Vec<ModelTarget>,
    /// The name of the base model.
    pub base: ModelName,
    indexes: HashMap<AdapterRef, usize>,
}

impl FleetNames {
    /// Names the engines of a deployment and the adapters of a workload.
    pub fn new(size: &DeploymentSize, workload: &ReplayWorkload) -> Self {
        let base = ModelName::from_str(BASE_MODEL).expect("the name is well formed");
        let engine = |index| {
            EndpointId::from_str(&format!("engine-{index:03}")).expect("the id is well formed")
        };
        let target = |adapter: &AdapterRef| ModelTarget::Adapter {
            base: base.clone(),
            adapter: adapter.clone(),
        };
        let indexed = |(index, adapter): (usize, &AdapterRef)| (adapter.clone(), index);
        Self {
            engines: (0..size.engines).map(engine).collect(),
            targets: workload.adapters.iter().map(target).collect(),
            indexes: workload.adapters.iter().enumerate().map(indexed).collect(),
            base,
        }
    }

    /// Returns the index of an adapter.
    pub fn adapter_index(&self, adapter: &AdapterRef) -> usize {
        self.indexes[adapter]
    }

    /// Returns the adapter at an index.
    pub fn adapter(&self, index: usize) -> &AdapterRef {
        self.targets[index]
            .adapter()
            .expect("every target has an adapter")
    }

    /// Returns a request in the form that planners accept.
    pub fn planned_request(&self, index: usize, request: &ReplayRequest) -> PlannedRequest {
        PlannedRequest {
            id: request_id(index),
            target: self.targets[request.adapter].clone(),
            deadline: request.at + request.deadline,
            priority: RequestPriority::Normal,
            prompt_tokens: TokenCount(request.prompt_tokens),
            max_tokens: TokenCount(request.output_tokens),
        }
    }

    /// Returns the offer that every engine of the deployment announces.
    pub fn offer(&self, size: &DeploymentSize) -> EndpointOffer {
        EndpointOffer::Engine {
            bases: SmallVec::from_elem(self.base.clone(), 1),
            adapter_slots: size.adapter_slots as u16,
            batch_slots: size.batch_slots as u16,
        }
    }
}

/// Returns the id of the request at `index`.
pub const fn request_id(index: usize) -> RequestId {
    RequestId(index as u128)
}

/// Returns the index of the request with `id`.
pub const fn request_index(id: RequestId) -> usize {
    id.0 as usize
}

/// Returns the limits of the broker, which are the same for every policy.
pub fn broker_options(size: &DeploymentSize) -> BrokerOptions {
    BrokerOptions {
        load_rate: size.load_rate,
        transit_limit: TRANSIT_LIMIT,
        ..BrokerOptions::default()
    }
}

/// The policy of the product: a router for each entry, a planner for each engine and one broker.
pub struct AmaranthFleet {
    size: DeploymentSize,
    names: FleetNames,
    requests: Vec<ReplayRequest>,
    routers: Vec<EndpointRouter>,
    planners: Vec<EnginePlanner>,
    broker: LoadBroker,
}

impl AmaranthFleet {
    /// Creates the policy for a deployment.
    pub fn new(
        size: DeploymentSize,
        names: FleetNames,
        workload: &ReplayWorkload,
        preset: PolicyPreset,
    ) -> Self {
        let router_options = RouterOptions {
            load_rate: size.load_rate.0,
            ..preset.router_options()
        };
        let planner_options = PlannerOptions {
            adapter_slots: size.adapter_slots,
            batch_slots: size.batch_slots,
            ..PlannerOptions::default()
        };
        Self {
            size,
            names,
            requests: workload.requests.clone(),
            routers: (0..size.entries)
                .map(|_| EndpointRouter::with_options(router_options))
                .collect(),
            planners: (0..size.engines)
                .map(|_| EnginePlanner::new(planner_options))
                .collect(),
            broker: LoadBroker::new(broker_options(&size)),
        }
    }

    fn load_key(&self, engine: usize, adapter: &AdapterRef) -> LoadKey {
        LoadKey {
            endpoint: self.names.engines[engine].clone(),
            adapter: adapter.clone(),
        }
    }
}

impl ReplayFleet for AmaranthFleet {
    fn route(&mut self, now: Timestamp, request: usize, excluded: &[usize]) -> Option<usize> {
        let arrival = &self.requests[request];
        let query = RouteQuery {
            target: self.names.targets[arrival.adapter].clone(),
            excluded: excluded
                .iter()
                .map(|&engine| self.names.engines[engine].clone())
                .collect(),
        };
        let router = &mut self.routers[arrival.entry];
        let choice = router.route(now, &query)?;
        router.record_started_for(now, &choice.endpoint, &query.target);
        self.names
            .engines
            .iter()
            .position(|engine| *engine == choice.endpoint)
    }

    fn record_finished(&mut self, _now: Timestamp, request: usize, engine: usize) {
        let entry = self.requests[request].entry;
        self.routers[entry].record_finished(&self.names.engines[engine]);
    }

    fn apply_report(&mut self, now: Timestamp, _engine: usize, report: EndpointReport) {
        for router in &mut self.routers {
            router.apply_report(now, report.clone());
        }
    }

    fn remove(&mut self, engine: usize) {
        for router in &mut self.routers {
            router.remove(&self.names.engines[engine]);
        }
    }

    fn handle(&mut self, now: Timestamp, engine: usize, event: PlannerEvent) -> PlannerCommands {
        self.planners[engine].handle(now, event)
    }

    fn report(&self, now: Timestamp, engine: usize, ready: bool) -> EndpointReport {
        let planner = &self.planners[engine];
        let loading: Vec<AdapterRef> = planner.loading().cloned().collect();
        EndpointReport {
            endpoint: self.names.engines[engine].clone(),
            offer: self.names.offer(&self.size),
            ready,
            load: EndpointLoad {
                in_flight: planner.in_flight() as u16,
                queued: planner.queued() as u16,
                loads_pending: loading.len() as u16,
                spare_slots: planner.spare_slots() as u16,
                eviction_cost: planner.reported_eviction_cost(now),
            },
            resident: planner.resident().cloned().collect(),
            loading,
        }
    }

    fn request_permit(
        &mut self,
        now: Timestamp,
        engine: usize,
        adapter: &AdapterRef,
        saved_wait_ms: u64,
    ) -> BrokerReply {
        let key = self.load_key(engine, adapter);
        self.broker.request(now, key, saved_wait_ms, false)
    }

    fn release_permit(&mut self, engine: usize, adapter: &AdapterRef) {
        let key = self.load_key(engine, adapter);
        self.broker.release(&key);
    }
}
