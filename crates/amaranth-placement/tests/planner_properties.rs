//! The planner in any order of events: pins, slots, one answer for each request, no starvation.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, RequestId};
use amaranth_core::request::RequestPriority;
use amaranth_core::time::Timestamp;
use amaranth_placement::planner::{EnginePlanner, PlannerCommand, PlannerEvent, PlannerOptions};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::RngSeed;

use support::{adapter, request};

const ADAPTER_SLOTS: usize = 3;
const BATCH_SLOTS: usize = 4;
const ADAPTERS: u8 = 8;
const SETTLE_ROUNDS: u32 = 2_000;
const SETTLE_STEP: Duration = Duration::from_millis(10);

/// One step of a test: an event by its kind, with a number that selects what it is about.
#[derive(Debug, Clone)]
enum TestStep {
    Arrive(u8, u8),
    Withdraw(u8),
    Finish(u8),
    Grant(u8),
    Delay(u8, u16),
    EndLoad(u8, bool),
    EndUnload(u8, bool),
    Stray(u8, u8),
    Restart,
    Reread,
    Wait(u16),
}

fn steps() -> impl Strategy<Value = Vec<TestStep>> {
    let step = prop_oneof![
        8 => (any::<u8>(), any::<u8>()).prop_map(|(name, level)| TestStep::Arrive(name, level)),
        1 => any::<u8>().prop_map(TestStep::Withdraw),
        6 => any::<u8>().prop_map(TestStep::Finish),
        6 => any::<u8>().prop_map(TestStep::Grant),
        2 => (any::<u8>(), 0..1_000_u16).prop_map(|(ask, wait)| TestStep::Delay(ask, wait)),
        6 => (any::<u8>(), any::<bool>()).prop_map(|(load, good)| TestStep::EndLoad(load, good)),
        6 => (any::<u8>(), any::<bool>()).prop_map(|(one, good)| TestStep::EndUnload(one, good)),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(kind, name)| TestStep::Stray(kind, name)),
        1 => proptest::strategy::Just(TestStep::Restart),
        1 => proptest::strategy::Just(TestStep::Reread),
        4 => any::<u16>().prop_map(TestStep::Wait),
    ];
    proptest::collection::vec(step, 1..120)
}

/// An engine that obeys, and checks every command against what is really so.
struct CheckedEngine {
    planner: EnginePlanner,
    now: Timestamp,
    next_id: u128,
    waiting: BTreeSet<RequestId>,
    targets: BTreeMap<RequestId, AdapterRef>,
    deadlines: BTreeMap<RequestId, Timestamp>,
    patient: BTreeSet<RequestId>,
    running: BTreeMap<RequestId, AdapterRef>,
    asked: BTreeSet<AdapterRef>,
    loading: BTreeSet<AdapterRef>,
    unloading: BTreeSet<AdapterRef>,
    resident: BTreeSet<AdapterRef>,
}

impl CheckedEngine {
    fn open() -> Self {
        Self {
            planner: EnginePlanner::open(PlannerOptions {
                adapter_slots: ADAPTER_SLOTS,
                batch_slots: BATCH_SLOTS,
                ..PlannerOptions::default()
            }),
            now: Timestamp::from_millis(1),
            next_id: 0,
            waiting: BTreeSet::new(),
            targets: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            patient: BTreeSet::new(),
            running: BTreeMap::new(),
            asked: BTreeSet::new(),
            loading: BTreeSet::new(),
            unloading: BTreeSet::new(),
            resident: BTreeSet::new(),
        }
    }

    fn handle(&mut self, event: PlannerEvent) {
        for command in self.planner.handle(self.now, event) {
            self.execute(command);
        }
        assert_eq!(self.planner.queued(), self.waiting.len());
        assert_eq!(self.planner.in_flight(), self.running.len());
        assert!(
            self.running.len() <= BATCH_SLOTS,
            "the batch is not exceeded"
        );
    }

    fn execute(&mut self, command: PlannerCommand) {
        match command {
            PlannerCommand::Dispatch(id) => {
                assert!(self.waiting.remove(&id), "{id} waits when it is dispatched");
                let adapter = self.targets[&id].clone();
                assert!(self.resident.contains(&adapter), "{adapter} is resident");
                assert!(
                    !self.unloading.contains(&adapter),
                    "{adapter} stays resident"
                );
                self.running.insert(id, adapter);
            }
            PlannerCommand::Refuse(id, _) => {
                assert!(self.waiting.remove(&id), "{id} waits when it is refused");
                assert!(!self.patient.contains(&id), "{id} starves");
            }
            PlannerCommand::RequestPermit(adapter, _) => {
                assert!(
                    !self.resident.contains(&adapter),
                    "{adapter} is not resident"
                );
                assert!(
                    self.asked.insert(adapter),
                    "a permit is asked for once at a time"
                );
            }
            PlannerCommand::ReturnPermit(_) => {}
            PlannerCommand::Load(adapter) => {
                assert!(self.loading.insert(adapter), "a load is ordered once");
                let held = self.resident.len() + self.loading.len();
                assert!(held <= ADAPTER_SLOTS, "{held} adapters exceed the slots");
            }
            PlannerCommand::Unload(adapter) => {
                let pinned = self.running.values().any(|used| *used == adapter);
                assert!(!pinned, "{adapter} serves a request when it is evicted");
                assert!(self.unloading.insert(adapter), "an unload is ordered once");
            }
        }
    }

    fn apply(&mut self, step: &TestStep) {
        match *step {
            TestStep::Arrive(name, level) => self.arrive(name, level),
            TestStep::Withdraw(pick) => {
                if let Some(id) = picked(&self.waiting, pick) {
                    self.waiting.remove(&id);
                    self.handle(PlannerEvent::Withdrawn(id));
                }
            }
            TestStep::Finish(pick) => {
                let ids: BTreeSet<RequestId> = self.running.keys().copied().collect();
                if let Some(id) = picked(&ids, pick) {
                    self.running.remove(&id);
                    self.handle(PlannerEvent::Finished(id));
                }
            }
            TestStep::Grant(pick) => {
                if let Some(adapter) = picked(&self.asked, pick) {
                    self.asked.remove(&adapter);
                    self.handle(PlannerEvent::PermitGranted(adapter));
                }
            }
            TestStep::Delay(pick, wait) => {
                if let Some(adapter) = picked(&self.asked, pick) {
                    self.asked.remove(&adapter);
                    let until = self.now + Duration::from_millis(wait.into());
                    self.handle(PlannerEvent::PermitDelayed(adapter, until));
                }
            }
            TestStep::EndLoad(pick, good) => self.end_load(pick, good),
            TestStep::EndUnload(pick, good) => self.end_unload(pick, good),
            TestStep::Stray(kind, name) => self.stray(kind, name),
            TestStep::Restart => {
                self.resident.clear();
                self.handle(PlannerEvent::Inventory(Vec::new()));
            }
            TestStep::Reread => {
                let held = self.resident.iter().cloned().collect();
                self.handle(PlannerEvent::Inventory(held));
            }
            TestStep::Wait(millis) => {
                self.now = self.now + Duration::from_millis(millis.into());
                self.handle(PlannerEvent::Tick);
            }
        }
    }

    fn arrive(&mut self, name: u8, level: u8) {
        self.next_id += 1;
        let priority = match level % 3 {
            0 => RequestPriority::Low,
            1 => RequestPriority::Normal,
            _ => RequestPriority::High,
        };
        let mut arriving = request(self.next_id, &format!("a{}", name % ADAPTERS), priority);
        arriving.deadline = self.now + Duration::from_secs(u64::from(level) + 1);
        let target = arriving.target.adapter().expect("it has one").clone();
        self.targets.insert(arriving.id, target);
        self.deadlines.insert(arriving.id, arriving.deadline);
        self.waiting.insert(arriving.id);
        self.handle(PlannerEvent::Arrived(arriving));
    }

    fn end_load(&mut self, pick: u8, good: bool) {
        let Some(adapter) = picked(&self.loading, pick) else {
            return;
        };
        self.loading.remove(&adapter);
        if good {
            self.resident.insert(adapter.clone());
            self.handle(PlannerEvent::Loaded(adapter));
        } else {
            self.handle(PlannerEvent::LoadFailed(adapter));
        }
    }

    fn end_unload(&mut self, pick: u8, good: bool) {
        let Some(adapter) = picked(&self.unloading, pick) else {
            return;
        };
        self.unloading.remove(&adapter);
        if good || !self.resident.contains(&adapter) {
            self.resident.remove(&adapter);
            self.handle(PlannerEvent::Unloaded(adapter));
        } else {
            self.handle(PlannerEvent::UnloadFailed(adapter));
        }
    }

    /// Sends an event that answers nothing, as a repeated or crossed message would.
    fn stray(&mut self, kind: u8, name: u8) {
        let adapter = adapter(&format!("a{}", name % ADAPTERS));
        let event = match kind % 4 {
            0 if !self.asked.contains(&adapter) => PlannerEvent::PermitGranted(adapter),
            1 if !self.loading.contains(&adapter) => PlannerEvent::LoadFailed(adapter),
            2 => PlannerEvent::Finished(RequestId(u128::from(name) + 1_000_000)),
            _ => PlannerEvent::PermitDelayed(adapter, self.now),
        };
        if let PlannerEvent::PermitDelayed(adapter, _) = &event {
            self.asked.remove(adapter);
        }
        self.handle(event);
    }

    /// Lets everything under way end well, until nothing waits or runs.
    ///
    /// A request that is refused although its deadline leaves time for all the rounds starved.
    fn settle(&mut self) {
        let end = self.now + SETTLE_STEP * SETTLE_ROUNDS;
        self.patient = self
            .waiting
            .iter()
            .filter(|id| self.deadlines[*id] > end)
            .copied()
            .collect();
        for _ in 0..SETTLE_ROUNDS {
            if self.waiting.is_empty() && self.running.is_empty() {
                return;
            }
            for step in [
                TestStep::EndUnload(0, true),
                TestStep::Grant(0),
                TestStep::EndLoad(0, true),
                TestStep::Finish(0),
                TestStep::Wait(SETTLE_STEP.as_millis() as u16),
            ] {
                self.apply(&step);
            }
        }
        panic!("requests starve: {:?}", self.waiting);
    }
}

fn picked<T: Clone>(items: &BTreeSet<T>, pick: u8) -> Option<T> {
    let index = usize::from(pick) % items.len().max(1);
    items.iter().nth(index).cloned()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn rules_hold_in_any_order_and_nothing_starves(steps in steps()) {
        let mut engine = CheckedEngine::open();
        for step in &steps {
            engine.apply(step);
        }
        engine.settle();
    }
}
