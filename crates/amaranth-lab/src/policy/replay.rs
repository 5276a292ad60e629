//! Replays the decisions of one policy over fakes in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::membership::EndpointReport;
use amaranth_core::time::Timestamp;
use amaranth_placement::broker::BrokerReply;
use amaranth_placement::planner::{PlannerCommand, PlannerEvent};

use crate::policy::deployment::{
    DeploymentSize, HOP_TIME, PROMPT_TOKENS_PER_STEP, REPORT_INTERVAL, REPORT_LAG,
};
use crate::policy::engine_fake::EngineFake;
use crate::policy::fleet::{FleetNames, ReplayFleet, request_id, request_index};
use crate::policy::outcome::{RequestOutcome, RunCounts};
use crate::policy::scenario::{FaultKind, ReplayScenario};
use crate::policy::store_fake::{StoreFake, StoreHealth};
use crate::policy::workload::ReplayWorkload;

/// Time between two ticks of an agent.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time until entries detect that an engine is unreachable.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// Time that an engine needs to restart.
const RESTART_TIME: Duration = Duration::from_secs(10);

/// The index of the engine that restarts.
const RESTARTED_ENGINE: usize = 0;

/// Time after the last arrival in which requests may still end.
const TAIL_TIME: Duration = Duration::from_secs(60);

/// An event that is scheduled for a point in virtual time.
#[derive(Debug, Clone)]
enum ReplayEvent {
    /// A request arrives at its entry.
    Arrival(usize),
    /// A request reaches the agent of an engine.
    ReachedAgent { request: usize, engine: usize },
    /// The planner of an engine receives an event.
    Planner { engine: usize, event: PlannerEvent },
    /// The next request of a batch ends, unless the batch has changed since.
    RequestEnd { engine: usize, batch_version: u64 },
    /// An entry is notified of the end of a request.
    EntryNotified { request: usize, engine: usize },
    /// A load ends.
    LoadEnd {
        engine: usize,
        adapter: AdapterRef,
        succeeded: bool,
        incarnation: u32,
    },
    /// A permit request reaches the broker.
    PermitRequest {
        engine: usize,
        adapter: AdapterRef,
        saved_wait_ms: u64,
    },
    /// A load report reaches the entries.
    Report {
        engine: usize,
        report: EndpointReport,
    },
    /// All planners receive their periodic tick.
    Tick,
    /// All reachable agents send their load reports.
    SendReports,
    /// The fault of the scenario starts.
    FaultStarted,
    /// The entries detect the fault.
    FaultDetected,
    /// The restarting engine is up again.
    EngineRestarted,
    /// The fault of the scenario ends.
    FaultEnded,
    /// The warm-up ends, and counts start at zero.
    MeasurementStarted,
}

/// The state of one engine and of its agent.
struct ReplayEngine {
    batch: EngineFake,
    /// The number of the last change of the batch; a scheduled end with an older number is stale.
    batch_version: u64,
    resident_since: BTreeMap<AdapterRef, Timestamp>,
    /// Number of loads in transit to the engine.
    in_transit: usize,
    incarnation: u32,
    up: bool,
    reachable: bool,
    /// Requests that were sent while the engine was unreachable.
    undelivered: Vec<usize>,
}

/// The replay of one policy over one workload.
pub struct FleetReplay<'run> {
    size: DeploymentSize,
    scenario: ReplayScenario,
    names: &'run FleetNames,
    workload: &'run ReplayWorkload,
    fleet: &'run mut dyn ReplayFleet,
    engines: Vec<ReplayEngine>,
    store: StoreFake,
    event_times: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: BTreeMap<u64, ReplayEvent>,
    next_number: u64,
    now: Timestamp,
    outcomes: Vec<RequestOutcome>,
    counts: RunCounts,
}

impl<'run> FleetReplay<'run> {
    /// Creates a replay of `fleet` over the arrivals of `workload`.
    pub fn new(
        size: DeploymentSize,
        scenario: ReplayScenario,
        names: &'run FleetNames,
        workload: &'run ReplayWorkload,
        fleet: &'run mut dyn ReplayFleet,
    ) -> Self {
        let engine = |_| ReplayEngine {
            batch: EngineFake::new(size),
            batch_version: 0,
            resident_since: BTreeMap::new(),
            in_transit: 0,
            incarnation: 0,
            up: true,
            reachable: true,
            undelivered: Vec::new(),
        };
        Self {
            size,
            scenario,
            names,
            workload,
            fleet,
            engines: (0..size.engines).map(engine).collect(),
            store: StoreFake::new(size.load_rate),
            event_times: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_number: 0,
            now: Timestamp::ZERO,
            outcomes: vec![RequestOutcome::default(); workload.requests.len()],
            counts: RunCounts::default(),
        }
    }

    /// Runs the replay to its end and returns the outcomes of all requests and the counts of the
    /// run.
    ///
    /// # Panics
    ///
    /// Panics if a command of the policy is invalid: a dispatch whose adapter is not resident, an
    /// eviction of an adapter in use, or more requests or adapters than slots.
    pub fn run(mut self) -> (Vec<RequestOutcome>, RunCounts) {
        self.schedule_start();
        let last = self
            .workload
            .requests
            .last()
            .map_or(Timestamp::ZERO, |request| request.at);
        let end = last + TAIL_TIME;
        while let Some(Reverse((at, number))) = self.event_times.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self
                .events
                .remove(&number)
                .expect("every scheduled time has an event");
            self.apply(event);
        }
        for engine in &self.engines {
            let (used, available) = engine.batch.slot_seconds();
            self.counts.used_slot_seconds += used;
            self.counts.available_slot_seconds += available;
        }
        (self.outcomes, self.counts)
    }

    fn schedule_start(&mut self) {
        for index in 0..self.workload.requests.len() {
            self.schedule(
                self.workload.requests[index].at,
                ReplayEvent::Arrival(index),
            );
        }
        self.schedule(Timestamp::ZERO, ReplayEvent::SendReports);
        self.schedule(Timestamp::ZERO, ReplayEvent::Tick);
        self.schedule(self.workload.measured_from, ReplayEvent::MeasurementStarted);
        if self.scenario.fault != FaultKind::None {
            let start = Timestamp::ZERO + self.scenario.fault_from;
            let end = Timestamp::ZERO + self.scenario.fault_until;
            self.schedule(start, ReplayEvent::FaultStarted);
            self.schedule(start + DETECTION_TIME, ReplayEvent::FaultDetected);
            self.schedule(start + RESTART_TIME, ReplayEvent::EngineRestarted);
            self.schedule(end, ReplayEvent::FaultEnded);
        }
    }

    fn schedule(&mut self, at: Timestamp, event: ReplayEvent) {
        self.next_number += 1;
        self.event_times.push(Reverse((at, self.next_number)));
        self.events.insert(self.next_number, event);
    }

    fn apply(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrival(request) => self.route(request, &[]),
            ReplayEvent::ReachedAgent { request, engine } => self.deliver(request, engine),
            ReplayEvent::Planner { engine, event } => self.handle(engine, event),
            ReplayEvent::RequestEnd {
                engine,
                batch_version,
            } => self.end_batch_requests(engine, batch_version),
            ReplayEvent::EntryNotified { request, engine } => {
                self.fleet.record_finished(self.now, request, engine);
            }
            ReplayEvent::LoadEnd {
                engine,
                adapter,
                succeeded,
                incarnation,
            } => {
                self.end_load(engine, adapter, succeeded, incarnation);
            }
            ReplayEvent::PermitRequest {
                engine,
                adapter,
                saved_wait_ms,
            } => {
                self.request_permit(engine, adapter, saved_wait_ms);
            }
            ReplayEvent::Report { engine, report } => {
                if self.engines[engine].reachable {
                    self.fleet.apply_report(self.now, engine, report);
                }
            }
            ReplayEvent::Tick => self.tick(),
            ReplayEvent::SendReports => self.send_reports(),
            ReplayEvent::FaultStarted => self.start_fault(),
            ReplayEvent::FaultDetected => self.detect_fault(),
            ReplayEvent::EngineRestarted => self.engines[RESTARTED_ENGINE].up = true,
            ReplayEvent::FaultEnded => self.end_fault(),
            ReplayEvent::MeasurementStarted => self.start_measurement(),
        }
    }

    fn start_measurement(&mut self) {
        self.counts = RunCounts::default();
        for engine in &mut self.engines {
            engine.batch.reset_usage(self.now);
        }
    }

    fn route(&mut self, request: usize, excluded: &[usize]) {
        match self.fleet.route(self.now, request, excluded) {
            Some(engine) => {
                self.schedule(
                    self.now + HOP_TIME,
                    ReplayEvent::ReachedAgent { request, engine },
                );
            }
            None => self.outcomes[request].record_refusal(),
        }
    }

    fn deliver(&mut self, request: usize, engine: usize) {
        if !self.engines[engine].reachable {
            self.engines[engine].undelivered.push(request);
            return;
        }
        let planned_request = self
            .names
            .planned_request(request, &self.workload.requests[request]);
        self.outcomes[request].engine = Some(engine);
        self.handle(engine, PlannerEvent::Arrived(planned_request));
    }

    fn handle(&mut self, engine: usize, event: PlannerEvent) {
        let commands = self.fleet.handle(self.now, engine, event);
        for command in commands {
            self.execute(engine, command);
        }
    }

    fn execute(&mut self, engine: usize, command: PlannerCommand) {
        match command {
            PlannerCommand::Dispatch(id) => self.dispatch(engine, request_index(id)),
            PlannerCommand::RequestPermit(adapter, saved_wait_ms) => {
                let event = ReplayEvent::PermitRequest {
                    engine,
                    adapter,
                    saved_wait_ms,
                };
                self.schedule(self.now + HOP_TIME, event);
            }
            PlannerCommand::ReturnPermit(adapter) => self.fleet.release_permit(engine, &adapter),
            PlannerCommand::Load(adapter) => self.start_load(engine, adapter),
            PlannerCommand::Unload(adapter) => self.unload(engine, adapter),
            PlannerCommand::Refuse(id, _) => {
                let request = request_index(id);
                self.outcomes[request].record_refusal();
                self.notify_entry(request, engine);
            }
        }
    }

    fn notify_entry(&mut self, request: usize, engine: usize) {
        self.schedule(
            self.now + HOP_TIME,
            ReplayEvent::EntryNotified { request, engine },
        );
    }

    fn dispatch(&mut self, engine: usize, request: usize) {
        let arrival = self.workload.requests[request];
        let adapter = self.names.adapter(arrival.adapter);
        let resident_since = *self.engines[engine]
            .resident_since
            .get(adapter)
            .expect("a dispatched request's adapter is resident");
        self.outcomes[request].record_dispatch(arrival.at, resident_since, self.now);
        let prompt_steps = f64::from(arrival.prompt_tokens) / PROMPT_TOKENS_PER_STEP;
        let steps = f64::from(arrival.output_tokens) + prompt_steps;
        self.engines[engine].batch.start(self.now, request, steps);
        assert!(
            self.engines[engine].batch.running() <= self.size.batch_slots,
            "the batch of engine {engine} has a free slot"
        );
        self.schedule_next_end(engine);
    }

    fn schedule_next_end(&mut self, engine: usize) {
        self.engines[engine].batch_version += 1;
        let batch_version = self.engines[engine].batch_version;
        if let Some(at) = self.engines[engine].batch.next_end() {
            self.schedule(
                at,
                ReplayEvent::RequestEnd {
                    engine,
                    batch_version,
                },
            );
        }
    }

    fn end_batch_requests(&mut self, engine: usize, batch_version: u64) {
        if self.engines[engine].batch_version != batch_version {
            return;
        }
        let ended = self.engines[engine].batch.take_ended(self.now);
        for &request in &ended {
            self.outcomes[request].record_completion(self.now);
            self.notify_entry(request, engine);
            let id = request_id(request);
            self.handle(engine, PlannerEvent::Finished(id));
        }
        self.schedule_next_end(engine);
    }

    fn start_load(&mut self, engine: usize, adapter: AdapterRef) {
        self.counts.loads += 1;
        self.engines[engine].in_transit += 1;
        let occupied = self.engines[engine].resident_since.len() + self.engines[engine].in_transit;
        assert!(
            occupied <= self.size.adapter_slots,
            "engine {engine} has a free adapter slot"
        );
        let end = self.store.start_load(self.now);
        let succeeded = end.succeeded;
        let incarnation = self.engines[engine].incarnation;
        self.schedule(
            end.at,
            ReplayEvent::LoadEnd {
                engine,
                adapter,
                succeeded,
                incarnation,
            },
        );
    }

    fn end_load(&mut self, engine: usize, adapter: AdapterRef, succeeded: bool, incarnation: u32) {
        self.store.record_load_end();
        self.fleet.release_permit(engine, &adapter);
        let state = &mut self.engines[engine];
        state.in_transit -= 1;
        if succeeded && state.up && state.incarnation == incarnation {
            state.resident_since.insert(adapter.clone(), self.now);
            self.handle(engine, PlannerEvent::Loaded(adapter));
        } else {
            self.handle(engine, PlannerEvent::LoadFailed(adapter));
        }
    }

    fn unload(&mut self, engine: usize, adapter: AdapterRef) {
        self.counts.evictions += 1;
        self.engines[engine].resident_since.remove(&adapter);
        let in_use = self.engines[engine]
            .batch
            .requests()
            .any(|request| self.names.adapter(self.workload.requests[request].adapter) == &adapter);
        assert!(
            !in_use,
            "the adapter {adapter} evicted from engine {engine} is not in use"
        );
        let event = PlannerEvent::Unloaded(adapter);
        self.schedule(self.now, ReplayEvent::Planner { engine, event });
    }

    fn request_permit(&mut self, engine: usize, adapter: AdapterRef, saved_wait_ms: u64) {
        if !self.engines[engine].reachable {
            let until = self.now + DETECTION_TIME;
            let event = PlannerEvent::PermitDelayed(adapter, until);
            self.schedule(until, ReplayEvent::Planner { engine, event });
            return;
        }
        let reply = self
            .fleet
            .request_permit(self.now, engine, &adapter, saved_wait_ms);
        let event = match reply {
            BrokerReply::Granted(_) => PlannerEvent::PermitGranted(adapter),
            BrokerReply::Wait(wait) => {
                let until = self.now + wait.max(HOP_TIME);
                let event = PlannerEvent::Tick;
                self.schedule(until, ReplayEvent::Planner { engine, event });
                PlannerEvent::PermitDelayed(adapter, until)
            }
        };
        let at = self.now + HOP_TIME;
        self.schedule(at, ReplayEvent::Planner { engine, event });
    }

    fn tick(&mut self) {
        for engine in 0..self.engines.len() {
            self.handle(engine, PlannerEvent::Tick);
        }
        self.schedule(self.now + TICK_INTERVAL, ReplayEvent::Tick);
    }

    fn send_reports(&mut self) {
        for engine in 0..self.engines.len() {
            if !self.engines[engine].reachable {
                continue;
            }
            let report = self.fleet.report(self.now, engine, self.engines[engine].up);
            let event = ReplayEvent::Report { engine, report };
            self.schedule(self.now + REPORT_LAG, event);
        }
        self.schedule(self.now + REPORT_INTERVAL, ReplayEvent::SendReports);
    }

    fn start_fault(&mut self) {
        match self.scenario.fault {
            FaultKind::None => {}
            FaultKind::SlowStore => self.store.set_health(StoreHealth::Slow),
            FaultKind::StoreOut => self.store.set_health(StoreHealth::Out),
            FaultKind::EngineRestart => self.restart_engine(RESTARTED_ENGINE),
            FaultKind::RegionCut => {
                for engine in self.cut_engines() {
                    self.engines[engine].reachable = false;
                }
            }
        }
    }

    /// Restarts an engine without adapters and requests; entries retry its running requests at
    /// other engines.
    fn restart_engine(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.up = false;
        state.incarnation += 1;
        state.resident_since.clear();
        let dropped = state.batch.drop_all(self.now);
        state.batch_version += 1;
        for &request in &dropped {
            let id = request_id(request);
            self.fleet
                .handle(self.now, engine, PlannerEvent::Cancelled(id));
        }
        self.handle(engine, PlannerEvent::Inventory(Vec::new()));
        for request in dropped {
            let id = request_id(request);
            self.handle(engine, PlannerEvent::Finished(id));
            self.retry_elsewhere(request, engine);
        }
    }

    fn retry_elsewhere(&mut self, request: usize, failed: usize) {
        self.notify_entry(request, failed);
        self.outcomes[request].record_retry();
        self.route(request, &[failed]);
    }

    fn cut_engines(&self) -> Vec<usize> {
        let cut_region = self.size.regions - 1;
        (0..self.size.engines)
            .filter(|engine| engine % self.size.regions == cut_region)
            .collect()
    }

    /// Removes the unreachable engines and retries their requests at others.
    fn detect_fault(&mut self) {
        if self.scenario.fault != FaultKind::RegionCut {
            return;
        }
        let cut = self.cut_engines();
        for &engine in &cut {
            self.fleet.remove(engine);
        }
        for engine in cut {
            let mut affected = std::mem::take(&mut self.engines[engine].undelivered);
            let unfinished = (0..self.outcomes.len())
                .filter(|&request| self.outcomes[request].is_unfinished_on(engine));
            affected.extend(unfinished);
            self.engines[engine].batch.drop_all(self.now);
            self.engines[engine].batch_version += 1;
            for request in affected {
                let id = request_id(request);
                self.handle(engine, PlannerEvent::Cancelled(id));
                self.handle(engine, PlannerEvent::Finished(id));
                self.retry_elsewhere(request, engine);
            }
        }
    }

    fn end_fault(&mut self) {
        self.store.set_health(StoreHealth::Good);
        for engine in &mut self.engines {
            engine.reachable = true;
        }
    }
}
