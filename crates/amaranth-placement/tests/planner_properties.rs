//! Property test of the planner with events in any order.
//!
//! Pinned adapters are never evicted, the slots are never exceeded, each request is dispatched or
//! refused once, and no request starves.

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

/// A step of a test: a kind of event, with numbers that select its request or adapter.
#[derive(Debug, Clone)]
enum TestStep {
    Arrive(u8, u8),
    Cancel(u8),
    Finish(u8),
    Grant(u8),
    Delay(u8, u16),
    EndLoad(u8, bool),
    EndUnload(u8, bool),
    Unexpected(u8, u8),
    Restart,
    Reread,
    Wait(u16),
}

fn steps() -> impl Strategy<Value = Vec<TestStep>> {
    let step = prop_oneof![
        8 => (any::<u8>(), any::<u8>()).prop_map(|(name, level)| TestStep::Arrive(name, level)),
        1 => any::<u8>().prop_map(TestStep::Cancel),
        6 => any::<u8>().prop_map(TestStep::Finish),
        6 => any::<u8>().prop_map(TestStep::Grant),
        2 => (any::<u8>(), 0..1_000_u16).prop_map(|(permit, wait)| TestStep::Delay(permit, wait)),
        6 => (any::<u8>(), any::<bool>()).prop_map(|(load, ok)| TestStep::EndLoad(load, ok)),
        6 => (any::<u8>(), any::<bool>()).prop_map(|(unload, ok)| TestStep::EndUnload(unload, ok)),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(kind, name)| TestStep::Unexpected(kind, name)),
        1 => proptest::strategy::Just(TestStep::Restart),
        1 => proptest::strategy::Just(TestStep::Reread),
        4 => any::<u16>().prop_map(TestStep::Wait),
    ];
    proptest::collection::vec(step, 1..120)
}

/// A model of an engine that executes the commands of a planner and checks each one.
struct ModelEngine {
    planner: EnginePlanner,
    now: Timestamp,
    next_id: u128,
    waiting: BTreeSet<RequestId>,
    targets: BTreeMap<RequestId, AdapterRef>,
    deadlines: BTreeMap<RequestId, Timestamp>,
    /// The requests whose deadlines leave time for all settle rounds.
    must_run: BTreeSet<RequestId>,
    running: BTreeMap<RequestId, AdapterRef>,
    requested_permits: BTreeSet<AdapterRef>,
    loading: BTreeSet<AdapterRef>,
    unloading: BTreeSet<AdapterRef>,
    resident: BTreeSet<AdapterRef>,
}

impl ModelEngine {
    fn new() -> Self {
        Self {
            planner: EnginePlanner::new(PlannerOptions {
                adapter_slots: ADAPTER_SLOTS,
                batch_slots: BATCH_SLOTS,
                ..PlannerOptions::default()
            }),
            now: Timestamp::from_millis(1),
            next_id: 0,
            waiting: BTreeSet::new(),
            targets: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            must_run: BTreeSet::new(),
            running: BTreeMap::new(),
            requested_permits: BTreeSet::new(),
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
            "the running requests fit into the batch"
        );
    }

    fn execute(&mut self, command: PlannerCommand) {
        match command {
            PlannerCommand::Dispatch(id) => {
                assert!(
                    self.waiting.remove(&id),
                    "the dispatched request {id} was waiting"
                );
                let adapter = self.targets[&id].clone();
                assert!(
                    self.resident.contains(&adapter),
                    "the adapter {adapter} of a dispatched request is resident"
                );
                assert!(
                    !self.unloading.contains(&adapter),
                    "the adapter {adapter} of a dispatched request is not being unloaded"
                );
                self.running.insert(id, adapter);
            }
            PlannerCommand::Refuse(id, _) => {
                assert!(
                    self.waiting.remove(&id),
                    "the refused request {id} was waiting"
                );
                assert!(
                    !self.must_run.contains(&id),
                    "request {id} is not refused while its deadline leaves enough time"
                );
            }
            PlannerCommand::RequestPermit(adapter, _) => {
                assert!(
                    !self.resident.contains(&adapter),
                    "no permit is requested for the resident adapter {adapter}"
                );
                assert!(
                    self.requested_permits.insert(adapter),
                    "one permit request for an adapter is outstanding at a time"
                );
            }
            PlannerCommand::ReturnPermit(_) => {}
            PlannerCommand::Load(adapter) => {
                assert!(
                    self.loading.insert(adapter),
                    "one load of an adapter is in progress at a time"
                );
                let held = self.resident.len() + self.loading.len();
                assert!(
                    held <= ADAPTER_SLOTS,
                    "{held} adapters fit into {ADAPTER_SLOTS} slots"
                );
            }
            PlannerCommand::Unload(adapter) => {
                let pinned = self.running.values().any(|pinned| *pinned == adapter);
                assert!(!pinned, "the evicted adapter {adapter} serves no request");
                assert!(
                    self.unloading.insert(adapter),
                    "one unload of an adapter is in progress at a time"
                );
            }
        }
    }

    fn apply(&mut self, step: &TestStep) {
        match *step {
            TestStep::Arrive(name, level) => self.arrive(name, level),
            TestStep::Cancel(pick) => {
                if let Some(id) = picked(&self.waiting, pick) {
                    self.waiting.remove(&id);
                    self.handle(PlannerEvent::Cancelled(id));
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
                if let Some(adapter) = picked(&self.requested_permits, pick) {
                    self.requested_permits.remove(&adapter);
                    self.handle(PlannerEvent::PermitGranted(adapter));
                }
            }
            TestStep::Delay(pick, wait) => {
                if let Some(adapter) = picked(&self.requested_permits, pick) {
                    self.requested_permits.remove(&adapter);
                    let until = self.now + Duration::from_millis(wait.into());
                    self.handle(PlannerEvent::PermitDelayed(adapter, until));
                }
            }
            TestStep::EndLoad(pick, ok) => self.end_load(pick, ok),
            TestStep::EndUnload(pick, ok) => self.end_unload(pick, ok),
            TestStep::Unexpected(kind, name) => self.send_unexpected(kind, name),
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
        let target = arriving
            .target
            .adapter()
            .expect("the request targets an adapter")
            .clone();
        self.targets.insert(arriving.id, target);
        self.deadlines.insert(arriving.id, arriving.deadline);
        self.waiting.insert(arriving.id);
        self.handle(PlannerEvent::Arrived(arriving));
    }

    fn end_load(&mut self, pick: u8, ok: bool) {
        let Some(adapter) = picked(&self.loading, pick) else {
            return;
        };
        self.loading.remove(&adapter);
        if ok {
            self.resident.insert(adapter.clone());
            self.handle(PlannerEvent::Loaded(adapter));
        } else {
            self.handle(PlannerEvent::LoadFailed(adapter));
        }
    }

    fn end_unload(&mut self, pick: u8, ok: bool) {
        let Some(adapter) = picked(&self.unloading, pick) else {
            return;
        };
        self.unloading.remove(&adapter);
        if ok || !self.resident.contains(&adapter) {
            self.resident.remove(&adapter);
            self.handle(PlannerEvent::Unloaded(adapter));
        } else {
            self.handle(PlannerEvent::UnloadFailed(adapter));
        }
    }

    /// Sends an event that answers no command, as a repeated or reordered message would.
    fn send_unexpected(&mut self, kind: u8, name: u8) {
        let adapter = adapter(&format!("a{}", name % ADAPTERS));
        let event = match kind % 4 {
            0 if !self.requested_permits.contains(&adapter) => PlannerEvent::PermitGranted(adapter),
            1 if !self.loading.contains(&adapter) => PlannerEvent::LoadFailed(adapter),
            2 => PlannerEvent::Finished(RequestId(u128::from(name) + 1_000_000)),
            _ => PlannerEvent::PermitDelayed(adapter, self.now),
        };
        if let PlannerEvent::PermitDelayed(adapter, _) = &event {
            self.requested_permits.remove(adapter);
        }
        self.handle(event);
    }

    /// Completes all operations in progress successfully until no request waits or runs.
    ///
    /// A request starves if it is refused although its deadline is after the last round.
    fn settle(&mut self) {
        let end = self.now + SETTLE_STEP * SETTLE_ROUNDS;
        self.must_run = self
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
        panic!(
            "requests still wait after the last round: {:?}",
            self.waiting
        );
    }
}

/// Returns the item that `pick` selects.
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
    fn invariants_hold_for_events_in_any_order_and_no_request_starves(steps in steps()) {
        let mut engine = ModelEngine::new();
        for step in &steps {
            engine.apply(step);
        }
        engine.settle();
    }
}
