//! The baselines and the bound.
//!
//! They see the true load of every engine at once, which the product does not, and share its
//! broker's limits. The LRU baselines get permits in the order in which they asked.

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

use crate::policy::baseline_engine::{BaselineEngine, VictimRule};
use crate::policy::deployment::DeploymentSize;
use crate::policy::fleet::{FleetNames, ReplayFleet, broker_options};
use crate::policy::future::FutureArrivals;
use crate::policy::workload::{ReplayRequest, ReplayWorkload};

/// How far ahead the bound looks when it ranks loads.
const LOOK_AHEAD: Duration = Duration::from_secs(10);

/// How a baseline chooses an engine.
enum EngineChooser {
    /// At random.
    Random(Box<StdRng>),
    /// The one with the fewest requests.
    LeastLoaded,
    /// The first in the adapter's own order that has room in its batch.
    Consistent,
    /// A copy with room, or the engine whose victim is asked for last.
    Clairvoyant(Rc<FutureArrivals>),
}

/// All engines of a deployment under a baseline.
pub struct BaselineFleet {
    size: DeploymentSize,
    names: FleetNames,
    requests: Vec<ReplayRequest>,
    chooser: EngineChooser,
    engines: Vec<BaselineEngine>,
    reachable: Vec<bool>,
    sent: Vec<usize>,
    broker: LoadBroker,
}

impl BaselineFleet {
    /// Opens random choice with LRU.
    pub fn random(
        size: DeploymentSize,
        names: FleetNames,
        load: &ReplayWorkload,
        seed: u64,
    ) -> Self {
        let generator = Box::new(StdRng::seed_from_u64(seed));
        let chooser = EngineChooser::Random(generator);
        Self::open(size, names, load, chooser, &VictimRule::LeastRecentlyUsed)
    }

    /// Opens the choice of the least loaded engine with LRU.
    pub fn least_loaded(size: DeploymentSize, names: FleetNames, load: &ReplayWorkload) -> Self {
        let chooser = EngineChooser::LeastLoaded;
        Self::open(size, names, load, chooser, &VictimRule::LeastRecentlyUsed)
    }

    /// Opens consistent hashing with LRU.
    pub fn consistent(size: DeploymentSize, names: FleetNames, load: &ReplayWorkload) -> Self {
        let chooser = EngineChooser::Consistent;
        Self::open(size, names, load, chooser, &VictimRule::LeastRecentlyUsed)
    }

    /// Opens the bound, which knows future arrivals.
    pub fn clairvoyant(size: DeploymentSize, names: FleetNames, load: &ReplayWorkload) -> Self {
        let future = Rc::new(FutureArrivals::collect(load));
        let rule = VictimRule::FurthestNextUse(Rc::clone(&future));
        Self::open(size, names, load, EngineChooser::Clairvoyant(future), &rule)
    }

    fn open(
        size: DeploymentSize,
        names: FleetNames,
        load: &ReplayWorkload,
        chooser: EngineChooser,
        rule: &VictimRule,
    ) -> Self {
        let options = PlannerOptions {
            adapter_slots: size.adapter_slots,
            batch_slots: size.batch_slots,
            ..PlannerOptions::default()
        };
        let engine = |_| BaselineEngine::open(options, rule.clone());
        Self {
            size,
            names,
            requests: load.requests.clone(),
            chooser,
            engines: (0..size.engines).map(engine).collect(),
            reachable: vec![true; size.engines],
            sent: vec![0; size.engines],
            broker: LoadBroker::new(broker_options(&size)),
        }
    }

    fn load_key(&self, engine: usize, adapter: &AdapterRef) -> LoadKey {
        LoadKey {
            endpoint: self.names.engines[engine].clone(),
            adapter: adapter.clone(),
        }
    }

    fn has_room(&self, engine: usize) -> bool {
        self.sent[engine] < self.size.batch_slots
    }

    fn consistent_order(&self, adapter: &AdapterRef, candidates: &[usize]) -> Vec<usize> {
        let mut order = candidates.to_vec();
        order.sort_by_key(|&engine| {
            hash64(
                0,
                format!("{adapter} {}", self.names.engines[engine]).as_bytes(),
            )
        });
        order
    }

    fn choose_clairvoyant(
        &self,
        now: Timestamp,
        adapter: &AdapterRef,
        future: &FutureArrivals,
        candidates: &[usize],
    ) -> Option<usize> {
        let with_room = || {
            candidates
                .iter()
                .copied()
                .filter(|&engine| self.has_room(engine))
        };
        let least =
            |found: &mut dyn Iterator<Item = usize>| found.min_by_key(|&engine| self.sent[engine]);
        if let Some(holder) =
            least(&mut with_room().filter(|&engine| self.engines[engine].holds(adapter)))
        {
            return Some(holder);
        }
        if let Some(fetcher) =
            least(&mut with_room().filter(|&engine| self.engines[engine].fetches(adapter)))
        {
            return Some(fetcher);
        }
        let victim_use = |engine: &usize| {
            let plan = &self.engines[*engine];
            if plan.has_free_slot() {
                return Timestamp::from_micros(u64::MAX);
            }
            plan.victim(now)
                .map_or(Timestamp::ZERO, |victim| future.next_use(victim, now))
        };
        let loader = with_room()
            .filter(|&engine| self.engines[engine].spare_slots() > 0)
            .max_by_key(victim_use);
        loader.or_else(|| least(&mut candidates.iter().copied()))
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
        let chosen = match &mut self.chooser {
            EngineChooser::Random(generator) => {
                Some(candidates[generator.random_range(0..candidates.len())])
            }
            EngineChooser::LeastLoaded => candidates
                .iter()
                .copied()
                .min_by_key(|&engine| self.sent[engine]),
            EngineChooser::Consistent => {
                let order = self.consistent_order(&adapter, &candidates);
                let open = order.iter().copied().find(|&engine| self.has_room(engine));
                open.or(order.first().copied())
            }
            EngineChooser::Clairvoyant(future) => {
                let future = Rc::clone(future);
                self.choose_clairvoyant(now, &adapter, &future, &candidates)
            }
        }?;
        self.sent[chosen] += 1;
        Some(chosen)
    }

    fn finished(&mut self, _now: Timestamp, _request: usize, engine: usize) {
        self.sent[engine] = self.sent[engine].saturating_sub(1);
    }

    fn take_report(&mut self, _now: Timestamp, engine: usize, report: EndpointReport) {
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
        let saved = match &self.chooser {
            EngineChooser::Clairvoyant(future) => {
                let waiting = self.engines[engine].waiting_for(adapter);
                let coming = future.uses_between(adapter, now, now + LOOK_AHEAD);
                (waiting + coming) as u64
            }
            _ => 0,
        };
        let key = self.load_key(engine, adapter);
        self.broker.request(now, key, saved, false)
    }

    fn release_permit(&mut self, engine: usize, adapter: &AdapterRef) {
        let key = self.load_key(engine, adapter);
        self.broker.release(&key);
    }
}
