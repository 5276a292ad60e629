//! The baselines and the clairvoyant bound.
//!
//! Unlike the product, they see the current load of every engine without delay. The limits of the
//! load broker are the same for all. The LRU baselines get permits in the order of their requests.

use std::rc::Rc;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::AdapterRef;
use amaranth_core::membership::{EndpointLoad, EndpointReport};
use amaranth_core::time::Timestamp;
use amaranth_placement::broker::{BrokerReply, LoadBroker, LoadKey};
use amaranth_placement::planner::{PlannerCommands, PlannerEvent, PlannerOptions};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::policy::baseline_engine::{BaselineEngine, EvictionPolicy};
use crate::policy::deployment::DeploymentSize;
use crate::policy::fleet::{FleetNames, ReplayFleet, broker_options};
use crate::policy::future_arrivals::FutureArrivals;
use crate::policy::workload::{ReplayRequest, ReplayWorkload};

/// Time into the future for which the clairvoyant bound counts arrivals to rank its loads.
const LOOK_AHEAD: Duration = Duration::from_secs(10);

/// The rule by which a baseline selects an engine.
enum EngineSelector {
    /// Selects a random engine.
    Random(Box<StdRng>),
    /// Selects the engine with the fewest outstanding requests.
    LeastLoaded,
    /// Selects the first engine with a free batch slot in the order of rendezvous hashing, or the
    /// first engine if all batches are full.
    Consistent,
    /// Selects an engine with a free batch slot on which the adapter is resident or loading, or
    /// else the engine whose victim is needed furthest in the future.
    Clairvoyant(Rc<FutureArrivals>),
}

/// All engines of a deployment under a baseline.
pub struct BaselineFleet {
    size: DeploymentSize,
    names: FleetNames,
    requests: Vec<ReplayRequest>,
    selector: EngineSelector,
    engines: Vec<BaselineEngine>,
    reachable: Vec<bool>,
    outstanding: Vec<usize>,
    broker: LoadBroker,
}

impl BaselineFleet {
    /// Creates a fleet that selects engines at random and evicts by LRU.
    pub fn random(
        size: DeploymentSize,
        names: FleetNames,
        workload: &ReplayWorkload,
        seed: u64,
    ) -> Self {
        let generator = Box::new(StdRng::seed_from_u64(seed));
        let selector = EngineSelector::Random(generator);
        Self::new(
            size,
            names,
            workload,
            selector,
            &EvictionPolicy::LeastRecentlyUsed,
        )
    }

    /// Creates a fleet that selects the least loaded engine and evicts by LRU.
    pub fn least_loaded(
        size: DeploymentSize,
        names: FleetNames,
        workload: &ReplayWorkload,
    ) -> Self {
        let selector = EngineSelector::LeastLoaded;
        Self::new(
            size,
            names,
            workload,
            selector,
            &EvictionPolicy::LeastRecentlyUsed,
        )
    }

    /// Creates a fleet that selects engines by consistent hashing and evicts by LRU.
    pub fn consistent(size: DeploymentSize, names: FleetNames, workload: &ReplayWorkload) -> Self {
        let selector = EngineSelector::Consistent;
        Self::new(
            size,
            names,
            workload,
            selector,
            &EvictionPolicy::LeastRecentlyUsed,
        )
    }

    /// Creates the clairvoyant bound, which knows future arrivals.
    pub fn clairvoyant(size: DeploymentSize, names: FleetNames, workload: &ReplayWorkload) -> Self {
        let future = Rc::new(FutureArrivals::collect(workload));
        let eviction_policy = EvictionPolicy::FurthestNextUse(Rc::clone(&future));
        Self::new(
            size,
            names,
            workload,
            EngineSelector::Clairvoyant(future),
            &eviction_policy,
        )
    }

    fn new(
        size: DeploymentSize,
        names: FleetNames,
        workload: &ReplayWorkload,
        selector: EngineSelector,
        eviction_policy: &EvictionPolicy,
    ) -> Self {
        let options = PlannerOptions {
            adapter_slots: size.adapter_slots,
            batch_slots: size.batch_slots,
            ..PlannerOptions::default()
        };
        let engine = |_| BaselineEngine::new(options, eviction_policy.clone());
        Self {
            size,
            names,
            requests: workload.requests.clone(),
            selector,
            engines: (0..size.engines).map(engine).collect(),
            reachable: vec![true; size.engines],
            outstanding: vec![0; size.engines],
            broker: LoadBroker::new(broker_options(&size)),
        }
    }

    fn load_key(&self, engine: usize, adapter: &AdapterRef) -> LoadKey {
        LoadKey {
            endpoint: self.names.engines[engine].clone(),
            adapter: adapter.clone(),
        }
    }

    fn has_free_batch_slot(&self, engine: usize) -> bool {
        self.outstanding[engine] < self.size.batch_slots
    }

    fn hash_order(&self, adapter: &AdapterRef, candidates: &[usize]) -> Vec<usize> {
        let mut order = candidates.to_vec();
        order.sort_by_key(|&engine| {
            hash64(
                0,
                format!("{adapter} {}", self.names.engines[engine]).as_bytes(),
            )
        });
        order
    }

    fn select_clairvoyant(
        &self,
        now: Timestamp,
        adapter: &AdapterRef,
        future: &FutureArrivals,
        candidates: &[usize],
    ) -> Option<usize> {
        let with_free_batch_slot = || {
            candidates
                .iter()
                .copied()
                .filter(|&engine| self.has_free_batch_slot(engine))
        };
        let least_loaded = |engines: &mut dyn Iterator<Item = usize>| {
            engines.min_by_key(|&engine| self.outstanding[engine])
        };
        if let Some(resident) = least_loaded(
            &mut with_free_batch_slot().filter(|&engine| self.engines[engine].is_resident(adapter)),
        ) {
            return Some(resident);
        }
        if let Some(loading) = least_loaded(
            &mut with_free_batch_slot()
                .filter(|&engine| self.engines[engine].has_pending_load(adapter)),
        ) {
            return Some(loading);
        }
        let victim_next_use = |engine: &usize| {
            let planner = &self.engines[*engine];
            if planner.has_free_slot() {
                return Timestamp::from_micros(u64::MAX);
            }
            planner
                .victim(now)
                .map_or(Timestamp::ZERO, |victim| future.next_use(victim, now))
        };
        let replacing = with_free_batch_slot()
            .filter(|&engine| self.engines[engine].spare_slots() > 0)
            .max_by_key(victim_next_use);
        replacing.or_else(|| least_loaded(&mut candidates.iter().copied()))
    }
}

impl ReplayFleet for BaselineFleet {
    fn route(&mut self, now: Timestamp, request: usize, excluded: &[usize]) -> Option<usize> {
        let adapter = self.names.adapter(self.requests[request].adapter).clone();
        let candidates: Vec<usize> = (0..self.size.engines)
            .filter(|&engine| self.reachable[engine] && !excluded.contains(&engine))
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let selected = match &mut self.selector {
            EngineSelector::Random(generator) => {
                Some(candidates[generator.random_range(0..candidates.len())])
            }
            EngineSelector::LeastLoaded => candidates
                .iter()
                .copied()
                .min_by_key(|&engine| self.outstanding[engine]),
            EngineSelector::Consistent => {
                let order = self.hash_order(&adapter, &candidates);
                let free = order
                    .iter()
                    .copied()
                    .find(|&engine| self.has_free_batch_slot(engine));
                free.or(order.first().copied())
            }
            EngineSelector::Clairvoyant(future) => {
                let future = Rc::clone(future);
                self.select_clairvoyant(now, &adapter, &future, &candidates)
            }
        }?;
        self.outstanding[selected] += 1;
        Some(selected)
    }

    fn record_finished(&mut self, _now: Timestamp, _request: usize, engine: usize) {
        self.outstanding[engine] = self.outstanding[engine].saturating_sub(1);
    }

    fn apply_report(&mut self, _now: Timestamp, engine: usize, report: EndpointReport) {
        self.reachable[engine] = report.ready;
    }

    fn remove(&mut self, engine: usize) {
        self.reachable[engine] = false;
    }

    fn handle(&mut self, now: Timestamp, engine: usize, event: PlannerEvent) -> PlannerCommands {
        self.engines[engine].handle(now, event)
    }

    fn report(&self, _now: Timestamp, engine: usize, ready: bool) -> EndpointReport {
        EndpointReport {
            endpoint: self.names.engines[engine].clone(),
            offer: self.names.offer(&self.size),
            ready,
            load: EndpointLoad::default(),
            resident: Vec::new(),
            loading: Vec::new(),
        }
    }

    fn request_permit(
        &mut self,
        now: Timestamp,
        engine: usize,
        adapter: &AdapterRef,
        _saved_wait_ms: u64,
    ) -> BrokerReply {
        let saved_wait = match &self.selector {
            EngineSelector::Clairvoyant(future) => {
                let waiting = self.engines[engine].waiting_for(adapter);
                let expected = future.uses_between(adapter, now, now + LOOK_AHEAD);
                (waiting + expected) as u64
            }
            _ => 0,
        };
        let key = self.load_key(engine, adapter);
        self.broker.request(now, key, saved_wait, false)
    }

    fn release_permit(&mut self, engine: usize, adapter: &AdapterRef) {
        let key = self.load_key(engine, adapter);
        self.broker.release(&key);
    }
}
