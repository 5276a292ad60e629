//! Tests of the pin table against a model that counts requests, and of naive pins without counts.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use amaranth_control::lease::state::{Lease, OrderPermit};
use amaranth_control::pins::PinTable;
use amaranth_core::ids::{AdapterRef, AdapterVersion, FencingToken};
use amaranth_core::time::Timestamp;
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, Strategy, prop_oneof, proptest};
use proptest::prop_assert;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Pin(u64),
    Unpin(u64),
    Evict(u64),
    FinishUnload(u64),
}

fn any_steps() -> impl Strategy<Value = Vec<Step>> {
    let adapter = 0..3_u64;
    let step = prop_oneof![
        adapter.clone().prop_map(Step::Pin),
        adapter.clone().prop_map(Step::Unpin),
        adapter.clone().prop_map(Step::Evict),
        adapter.prop_map(Step::FinishUnload),
    ];
    vec(step, 0..60)
}

fn adapter(number: u64) -> AdapterRef {
    AdapterRef {
        name: "manifest".parse().unwrap(),
        version: AdapterVersion(number),
    }
}

fn permit() -> OrderPermit {
    Lease::new("engine-1".parse().unwrap())
        .acquire(0)
        .confirm(FencingToken(1), Timestamp::from_millis(1_000))
        .permit(true, Duration::from_millis(10))
}

trait Pins {
    fn pin(&mut self, adapter: &AdapterRef) -> bool;
    fn unpin(&mut self, adapter: &AdapterRef);
    fn evict(&mut self, adapter: &AdapterRef) -> bool;
    fn finish_unload(&mut self, adapter: &AdapterRef);
}

impl Pins for PinTable {
    fn pin(&mut self, adapter: &AdapterRef) -> bool {
        self.pin(adapter)
    }
    fn unpin(&mut self, adapter: &AdapterRef) {
        self.unpin(adapter);
    }
    fn evict(&mut self, adapter: &AdapterRef) -> bool {
        self.evict(adapter, permit()).is_some()
    }
    fn finish_unload(&mut self, adapter: &AdapterRef) {
        self.finish_unload(adapter);
    }
}

/// Records that an adapter is in use, but not by how many requests.
#[derive(Default)]
struct NaivePins(HashSet<AdapterRef>);

impl Pins for NaivePins {
    fn pin(&mut self, adapter: &AdapterRef) -> bool {
        self.0.insert(adapter.clone());
        true
    }
    fn unpin(&mut self, adapter: &AdapterRef) {
        self.0.remove(adapter);
    }
    fn evict(&mut self, adapter: &AdapterRef) -> bool {
        !self.0.contains(adapter)
    }
    fn finish_unload(&mut self, _adapter: &AdapterRef) {}
}

/// Returns whether an adapter in use was evicted, or an adapter was pinned while it was being
/// evicted.
fn evicts_adapter_in_use(pins: &mut impl Pins, steps: &[Step]) -> bool {
    let mut request_counts: HashMap<u64, u32> = HashMap::new();
    let mut evicting = HashSet::new();
    for step in steps {
        match *step {
            Step::Pin(number) => {
                if pins.pin(&adapter(number)) {
                    *request_counts.entry(number).or_default() += 1;
                }
            }
            Step::Unpin(number) => {
                if let Some(count) = request_counts.get_mut(&number).filter(|count| **count > 0) {
                    *count -= 1;
                    pins.unpin(&adapter(number));
                }
            }
            Step::Evict(number) => {
                if pins.evict(&adapter(number)) {
                    evicting.insert(number);
                }
            }
            Step::FinishUnload(number) => {
                if evicting.remove(&number) {
                    pins.finish_unload(&adapter(number));
                }
            }
        }
        let is_in_use = |number: &u64| request_counts.get(number).is_some_and(|count| *count > 0);
        if evicting.iter().any(is_in_use) {
            return true;
        }
    }
    false
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn no_interleaving_evicts_an_adapter_in_use(steps in any_steps()) {
        prop_assert!(!evicts_adapter_in_use(&mut PinTable::new(), &steps));
    }
}

#[test]
fn naive_pins_evict_an_adapter_in_use() {
    let mut runner = TestRunner::new(config(1));
    let evicted = (0..200).any(|_| {
        let steps = any_steps().new_tree(&mut runner).unwrap().current();
        evicts_adapter_in_use(&mut NaivePins::default(), &steps)
    });
    assert!(evicted);
}

/// An adapter without pins can be evicted, and pinned again once its unload has ended.
#[test]
fn idle_adapter_can_be_evicted_and_used_again() {
    let mut pins = PinTable::new();
    assert!(pins.pin(&adapter(1)));
    assert!(pins.evict(&adapter(1), permit()).is_none());
    pins.unpin(&adapter(1));
    assert!(pins.evict(&adapter(1), permit()).is_some());
    assert!(!pins.pin(&adapter(1)));
    pins.finish_unload(&adapter(1));
    assert!(pins.pin(&adapter(1)));
}
