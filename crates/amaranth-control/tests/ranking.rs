//! Tests of the owners of shared tasks, compared with a selection by list position.

use std::collections::BTreeMap;

use amaranth_control::ranking::{SharedTask, owner, rank};
use amaranth_core::ids::ProcessId;
use proptest::collection::btree_set;
use proptest::prelude::{ProptestConfig, any, proptest};
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use proptest::{prop_assert, prop_assert_eq};

const TASK: SharedTask = SharedTask::LoadBroker;

fn processes(numbers: impl IntoIterator<Item = u16>) -> Vec<ProcessId> {
    let name = |number| {
        format!("entry-{number}")
            .parse()
            .expect("the process id is valid")
    };
    numbers.into_iter().map(name).collect()
}

/// Selects a process by its position in the sorted list.
fn naive_owner(scope: &str, live: &[ProcessId]) -> ProcessId {
    let mut sorted = live.to_vec();
    sorted.sort();
    let position = amaranth_core::digest::hash64(0, scope.as_bytes()) as usize % sorted.len();
    sorted.swap_remove(position)
}

/// Counts the scopes whose owner changes although only another process was removed, over each
/// removal of one process.
fn needless_moves(select: impl Fn(&str, &[ProcessId]) -> ProcessId) -> usize {
    let all = processes(0..10);
    let moves = |index: usize| {
        let mut rest = all.clone();
        let removed = rest.remove(index);
        let is_needless = |scope: &String| {
            let before = select(scope, &all);
            before != removed && select(scope, &rest) != before
        };
        let scopes = (0..100).map(|scope| format!("scope-{scope}"));
        scopes.filter(is_needless).count()
    };
    (0..all.len()).map(moves).sum()
}

fn select_owner(scope: &str, live: &[ProcessId]) -> ProcessId {
    owner(TASK, scope, live)
        .expect("at least one process is live")
        .clone()
}

#[test]
fn owner_stays_when_another_process_is_removed() {
    assert_eq!(needless_moves(select_owner), 0);
    assert!(needless_moves(naive_owner) > 0);
}

#[test]
fn tasks_of_many_scopes_are_spread_over_all_processes() {
    let all = processes(0..10);
    let mut counts: BTreeMap<ProcessId, u32> = BTreeMap::new();
    for scope in 0..1_000 {
        let owner = select_owner(&format!("scope-{scope}"), &all);
        *counts.entry(owner).or_default() += 1;
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
    fn owner_is_independent_of_the_input_order_and_changes_only_when_it_is_removed(
        numbers in btree_set(any::<u16>(), 2..20),
        scope in "[a-z]{1,8}",
        removed in any::<Index>(),
    ) {
        let live = processes(numbers.iter().copied());
        let reversed = processes(numbers.iter().rev().copied());
        let ranked = rank(TASK, &scope, &live);
        prop_assert_eq!(&ranked, &rank(TASK, &scope, &reversed));
        prop_assert_eq!(owner(TASK, &scope, &live), Some(ranked[0]));
        let removed = removed.get(&live);
        let rest: Vec<_> = live.iter().filter(|process| *process != removed).collect();
        let next = owner(TASK, &scope, rest.iter().copied());
        let expected = if removed == ranked[0] { ranked[1] } else { ranked[0] };
        prop_assert_eq!(next, Some(expected));
        prop_assert!(owner(TASK, &scope, []).is_none());
    }
}
