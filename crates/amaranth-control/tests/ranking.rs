//! Who holds a duty, against a choice by position.

use std::collections::BTreeMap;

use amaranth_control::ranking::{SharedDuty, holder, rank};
use amaranth_core::ids::ProcessId;
use proptest::collection::btree_set;
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use proptest::{prop_assert, prop_assert_eq};

const DUTY: SharedDuty = SharedDuty::LoadBroker;

fn processes(numbers: impl IntoIterator<Item = u16>) -> Vec<ProcessId> {
    let name = |number| format!("entry-{number}").parse().expect("process");
    numbers.into_iter().map(name).collect()
}

/// Picks by the position in the sorted list.
fn naive_holder(scope: &str, live: &[ProcessId]) -> ProcessId {
    let mut sorted = live.to_vec();
    sorted.sort();
    let position = amaranth_core::digest::hash64(0, scope.as_bytes()) as usize % sorted.len();
    sorted.swap_remove(position)
}

/// Counts the scopes whose holder changes although it lives on, when another process leaves.
fn needless_moves(pick: impl Fn(&str, &[ProcessId]) -> ProcessId) -> usize {
    let all = processes(0..10);
    let moves = |left: usize| {
        let mut rest = all.clone();
        let gone = rest.remove(left);
        let is_needless = |scope: &String| {
            let before = pick(scope, &all);
            before != gone && pick(scope, &rest) != before
        };
        let scopes = (0..100).map(|scope| format!("scope-{scope}"));
        scopes.filter(is_needless).count()
    };
    (0..all.len()).map(moves).sum()
}

fn pick_holder(scope: &str, live: &[ProcessId]) -> ProcessId {
    holder(DUTY, scope, live).expect("someone lives").clone()
}

#[test]
fn holder_stays_when_another_process_leaves() {
    assert_eq!(needless_moves(pick_holder), 0);
    assert!(needless_moves(naive_holder) > 0);
}

#[test]
fn duties_of_many_scopes_are_spread() {
    let all = processes(0..10);
    let mut counts: BTreeMap<ProcessId, u32> = BTreeMap::new();
    for scope in 0..1_000 {
        let holder = pick_holder(&format!("scope-{scope}"), &all);
        *counts.entry(holder).or_default() += 1;
    }
    // A fair share is 100 of 1,000 scopes.
    assert!(
        counts.values().all(|count| (50..200).contains(count)),
        "{counts:?}"
    );
    assert_eq!(counts.len(), all.len());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_agree_whatever_the_order_and_only_the_holder_s_loss_moves_a_duty(
        numbers in btree_set(any::<u16>(), 2..20),
        scope in "[a-z]{1,8}",
        leaving in any::<Index>(),
    ) {
        let live = processes(numbers.iter().copied());
        let reversed = processes(numbers.iter().rev().copied());
        let ranked = rank(DUTY, &scope, &live);
        prop_assert_eq!(&ranked, &rank(DUTY, &scope, &reversed));
        prop_assert_eq!(holder(DUTY, &scope, &live), Some(ranked[0]));
        let gone = leaving.get(&live);
        let rest: Vec<_> = live.iter().filter(|process| *process != gone).collect();
        let next = holder(DUTY, &scope, rest.iter().copied());
        let expected = if gone == ranked[0] { ranked[1] } else { ranked[0] };
        prop_assert_eq!(next, Some(expected));
        prop_assert!(holder(DUTY, &scope, []).is_none());
    }
}
