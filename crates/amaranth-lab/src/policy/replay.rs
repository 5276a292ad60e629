//! Replays the decisions of one policy over the fakes in virtual time.

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

/// Time until entries believe that an engine can't be reached.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// Time that an engine needs to restart.
const RESTART_TIME: Duration = Duration::from_secs(10);

/// The engine that restarts.
const RESTARTED_ENGINE: usize = 0;

/// Time that requests have to end after the last arrival.
const TAIL_TIME: Duration = Duration::from_secs(60);

/// Something that happens at a set time.
#[derive(Debug, Clone)]
enum ReplayEvent {
    Arrival(usize),
    AtAgent {
        request: usize,
        engine: usize,
    },
    Agent {
        engine: usize,
        event: PlannerEvent,
    },
    BatchChange {
        engine: usize,
        plan: u64,
    },
    EntryLearned {
        request: usize,
        engine: usize,
    },
    LoadEnd {
        engine: usize,
        adapter: AdapterRef,
        succeeded: bool,
        life: u32,
    },
    PermitAsk {
        engine: usize,
        adapter: AdapterRef,
        saved_wait_ms: u64,
    },
    Report {
        engine: usize,
        report: EndpointReport,
    },
    Tick,
    MakeReports,
    FaultBegins,
    FaultDetected,
    EngineBack,
    FaultEnds,
    CountingBegins,
}

/// One engine with its agent, as the replay keeps it.
struct ReplayEngine {
    batch: EngineFake,
    plan: u64,
    resident_since: BTreeMap<AdapterRef, Timestamp>,
    in_transit: usize,
    life: u32,
    up: bool,
    reachable: bool,
    lost: Vec<usize>,
}

/// One run.
pub struct FleetReplay<'run> {
    size: DeploymentSize,
    scenario: ReplayScenario,
    names: &'run FleetNames,
    workload: &'run ReplayWorkload,
    fleet: &'run mut dyn ReplayFleet,
    engines: Vec<ReplayEngine>,
    store: StoreFake,
    agenda: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: BTreeMap<u64, ReplayEvent>,
    next_number: u64,
    now: Timestamp,
    outcomes: Vec<RequestOutcome>,
    counts: RunCounts,
}

impl<'run> FleetReplay<'run> {
    /// Opens a run of `fleet` over the arrivals of `workload`.
    pub fn open(
        size: DeploymentSize,
        scenario: ReplayScenario,
        names: &'run FleetNames,
        workload: &'run ReplayWorkload,
        fleet: &'run mut dyn ReplayFleet,
    ) -> Self {
        let engine = |_| ReplayEngine {
            batch: EngineFake::open(size),
            plan: 0,
            resident_since: BTreeMap::new(),
            in_transit: 0,
            life: 0,
            up: true,
            reachable: true,
            lost: Vec::new(),
        };
        Self {
            size,
            scenario,
            names,
            workload,
            fleet,
            engines: (0..size.engines).map(engine).collect(),
            store: StoreFake::open(size.load_rate),
            agenda: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_number: 0,
            now: Timestamp::ZERO,
            outcomes: vec![RequestOutcome::default(); workload.requests.len()],
            counts: RunCounts::default(),
        }
    }

    /// Runs to the end and returns what happened to every request.
    ///
    /// # Panics
    ///
    /// Panics if a command breaks a rule: a dispatch whose adapter is not resident, an eviction of
    /// an adapter in use, or more adapters than slots.
    pub fn run(mut self) -> (Vec<RequestOutcome>, RunCounts) {
        self.schedule_start();
        let last = self
            .workload
            .requests
            .last()
            .map_or(Timestamp::ZERO, |request| request.at);
        let end = last + TAIL_TIME;
        while let Some(Reverse((at, number))) = self.agenda.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self
                .events
                .remove(&number)
                .expect("every entry has an event");
            self.apply(event);
        }
        for engine in &self.engines {
            let (filled, offered) = engine.batch.batch_seconds();
            self.counts.filled_seconds += filled;
            self.counts.offered_seconds += offered;
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
        self.schedule(Timestamp::ZERO, ReplayEvent::MakeReports);
        self.schedule(Timestamp::ZERO, ReplayEvent::Tick);
        self.schedule(self.workload.counted_from, ReplayEvent::CountingBegins);
        if self.scenario.fault != FaultKind::None {
            let from = Timestamp::ZERO + self.scenario.fault_from;
            let until = Timestamp::ZERO + self.scenario.fault_until;
            self.schedule(from, ReplayEvent::FaultBegins);
            self.schedule(from + DETECTION_TIME, ReplayEvent::FaultDetected);
            self.schedule(from + RESTART_TIME, ReplayEvent::EngineBack);
            self.schedule(until, ReplayEvent::FaultEnds);
        }
    }

    fn schedule(&mut self, at: Timestamp, event: ReplayEvent) {
        self.next_number += 1;
        self.agenda.push(Reverse((at, self.next_number)));
        self.events.insert(self.next_number, event);
    }

    fn apply(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Arrival(request) => self.route(request, &[]),
            ReplayEvent::AtAgent { request, engine } => self.arrive(request, engine),
            ReplayEvent::Agent { engine, event } => self.handle(engine, event),
            ReplayEvent::BatchChange { engine, plan } => self.end_batch_requests(engine, plan),
            ReplayEvent::EntryLearned { request, engine } => {
                self.fleet.finished(self.now, request, engine);
            }
            ReplayEvent::LoadEnd {
                engine,
                adapter,
                succeeded,
                life,
            } => {
                self.end_load(engine, adapter, succeeded, life);
            }
            ReplayEvent::PermitAsk {
                engine,
                adapter,
                saved_wait_ms,
            } => {
                self.ask_permit(engine, adapter, saved_wait_ms);
            }
            ReplayEvent::Report { engine, report } => {
                if self.engines[engine].reachable {
                    self.fleet.take_report(self.now, engine, report);
                }
            }
            ReplayEvent::Tick => self.tick(),
            ReplayEvent::MakeReports => self.make_reports(),
            ReplayEvent::FaultBegins => self.begin_fault(),
            ReplayEvent::FaultDetected => self.detect_fault(),
            ReplayEvent::EngineBack => self.engines[RESTARTED_ENGINE].up = true,
            ReplayEvent::FaultEnds => self.end_fault(),
            ReplayEvent::CountingBegins => self.begin_counting(),
        }
    }

    fn begin_counting(&mut self) {
        self.counts = RunCounts::default();
        for engine in &mut self.engines {
            engine.batch.reset_counts(self.now);
        }
    }

    fn route(&mut self, request: usize, excluded: &[usize]) {
        match self.fleet.route(self.now, request, excluded) {
            Some(engine) => {
                self.schedule(
                    self.now + HOP_TIME,
                    ReplayEvent::AtAgent { request, engine },
                );
            }
            None => self.outcomes[request].refuse(),
        }
    }

    fn arrive(&mut self, request: usize, engine: usize) {
        if !self.engines[engine].reachable {
            self.engines[engine].lost.push(request);
            return;
        }
        let planned = self
            .names
            .planned(request, &self.workload.requests[request]);
        self.outcomes[request].engine = Some(engine);
        self.handle(engine, PlannerEvent::Arrived(planned));
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
                let event = ReplayEvent::PermitAsk {
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
                self.outcomes[request].refuse();
                self.tell_entry(request, engine);
            }
        }
    }

    fn tell_entry(&mut self, request: usize, engine: usize) {
        self.schedule(
            self.now + HOP_TIME,
            ReplayEvent::EntryLearned { request, engine },
        );
    }

    fn dispatch(&mut self, engine: usize, request: usize) {
        let arrival = self.workload.requests[request];
        let adapter = self.names.adapter(arrival.adapter);
        let since = *self.engines[engine]
            .resident_since
            .get(adapter)
            .expect("a dispatched request's adapter is resident");
        self.outcomes[request].dispatch(arrival.at, since, self.now);
        let prompt_steps = f64::from(arrival.prompt_tokens) / PROMPT_TOKENS_PER_STEP;
        let steps = f64::from(arrival.output_tokens) + prompt_steps;
        self.engines[engine].batch.start(self.now, request, steps);
        assert!(
            self.engines[engine].batch.running() <= self.size.batch_slots,
            "the batch of engine {engine} has room"
        );
        self.plan_batch(engine);
    }

    fn plan_batch(&mut self, engine: usize) {
        self.engines[engine].plan += 1;
        let plan = self.engines[engine].plan;
        if let Some(at) = self.engines[engine].batch.next_end() {
            self.schedule(at, ReplayEvent::BatchChange { engine, plan });
        }
    }

    fn end_batch_requests(&mut self, engine: usize, plan: u64) {
        if self.engines[engine].plan != plan {
            return;
        }
        let ended = self.engines[engine].batch.take_ended(self.now);
        for &request in &ended {
            self.outcomes[request].complete(self.now);
            self.tell_entry(request, engine);
            let id = request_id(request);
            self.handle(engine, PlannerEvent::Finished(id));
        }
        self.plan_batch(engine);
    }

    fn start_load(&mut self, engine: usize, adapter: AdapterRef) {
        self.counts.loads += 1;
        self.engines[engine].in_transit += 1;
        let held = self.engines[engine].resident_since.len() + self.engines[engine].in_transit;
        assert!(
            held <= self.size.adapter_slots,
            "engine {engine} has a free adapter slot"
        );
        let end = self.store.start_load(self.now);
        let succeeded = end.succeeded;
        let life = self.engines[engine].life;
        self.schedule(
            end.at,
            ReplayEvent::LoadEnd {
                engine,
                adapter,
                succeeded,
                life,
            },
        );
    }

    fn end_load(&mut self, engine: usize, adapter: AdapterRef, succeeded: bool, life: u32) {
        self.store.end_load();
        self.fleet.release_permit(engine, &adapter);
        let state = &mut self.engines[engine];
        state.in_transit -= 1;
        if succeeded && state.up && state.life == life {
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
        self.schedule(self.now, ReplayEvent::Agent { engine, event });
    }

    fn ask_permit(&mut self, engine: usize, adapter: AdapterRef, saved_wait_ms: u64) {
        if !self.engines[engine].reachable {
            let until = self.now + DETECTION_TIME;
            let event = PlannerEvent::PermitDelayed(adapter, until);
            self.schedule(until, ReplayEvent::Agent { engine, event });
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
                self.schedule(until, ReplayEvent::Agent { engine, event });
                PlannerEvent::PermitDelayed(adapter, until)
            }
        };
        let at = self.now + HOP_TIME;
        self.schedule(at, ReplayEvent::Agent { engine, event });
    }

    fn tick(&mut self) {
        for engine in 0..self.engines.len() {
            self.handle(engine, PlannerEvent::Tick);
        }
        self.schedule(self.now + TICK_INTERVAL, ReplayEvent::Tick);
    }

    fn make_reports(&mut self) {
        for engine in 0..self.engines.len() {
            if !self.engines[engine].reachable {
                continue;
            }
            let report = self.fleet.report(self.now, engine, self.engines[engine].up);
            let event = ReplayEvent::Report { engine, report };
            self.schedule(self.now + REPORT_LAG, event);
        }
        self.schedule(self.now + REPORT_INTERVAL, ReplayEvent::MakeReports);
    }

    fn begin_fault(&mut self) {
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

    /// Empties an engine; entries send its running requests to others.
    fn restart_engine(&mut self, engine: usize) {
        let state = &mut self.engines[engine];
        state.up = false;
        state.life += 1;
        state.resident_since.clear();
        let dropped = state.batch.drop_all(self.now);
        state.plan += 1;
        for &request in &dropped {
            let id = request_id(request);
            self.fleet
                .handle(self.now, engine, PlannerEvent::Cancelled(id));
        }
        self.handle(engine, PlannerEvent::Inventory(Vec::new()));
        for request in dropped {
            let id = request_id(request);
            self.handle(engine, PlannerEvent::Finished(id));
            self.send_elsewhere(request, engine);
        }
    }

    fn send_elsewhere(&mut self, request: usize, failed: usize) {
        self.tell_entry(request, failed);
        self.outcomes[request].restart();
        self.route(request, &[failed]);
    }

    fn cut_engines(&self) -> Vec<usize> {
        let cut = self.size.regions - 1;
        (0..self.size.engines)
            .filter(|engine| engine % self.size.regions == cut)
            .collect()
    }

    /// Sends what was on the engines that can't be reached to others.
    fn detect_fault(&mut self) {
        if self.scenario.fault != FaultKind::RegionCut {
            return;
        }
        let cut = self.cut_engines();
        for &engine in &cut {
            self.fleet.remove(engine);
        }
        for engine in cut {
            let mut stranded = std::mem::take(&mut self.engines[engine].lost);
            let pending = (0..self.outcomes.len())
                .filter(|&request| self.outcomes[request].is_pending_on(engine));
            stranded.extend(pending);
            self.engines[engine].batch.drop_all(self.now);
            self.engines[engine].plan += 1;
            for request in stranded {
                let id = request_id(request);
                self.handle(engine, PlannerEvent::Cancelled(id));
                self.handle(engine, PlannerEvent::Finished(id));
                self.send_elsewhere(request, engine);
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
