//! Properties that hold in every schedule.

use std::collections::HashSet;

use amaranth_control::claim_coordinator::ClaimCoordinator;
use amaranth_core::errors::RunState;
use proptest::collection::vec;
use proptest::prelude::{Just, ProptestConfig, Strategy, any};
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngAlgorithm, RngSeed, TestRng, TestRunner};
use proptest::{prop_oneof, proptest};

use crate::naive_coordinator::{Coordinator, NaiveCoordinator};
use crate::simulation::{AGENTS, ENTRIES, Simulation, Step};

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..ENTRIES, 0..3_u8, prop_oneof![9 => Just(0_u8), 1 => Just(1)])
            .prop_map(|(entry, key, body)| Step::Call { entry, key, body }),
        24 => any::<usize>().prop_map(Step::Deliver),
        2 => any::<usize>().prop_map(Step::Lose),
        3 => any::<usize>().prop_map(Step::Delay),
        5 => (any::<usize>(), prop_oneof![4 => Just(false), 1 => Just(true)])
            .prop_map(|(call, lost)| Step::Finish { call, lost }),
        1 => (0..ENTRIES).prop_map(Step::CrashEntry),
        1 => (0..AGENTS).prop_map(Step::CrashAgent),
        1 => any::<bool>().prop_map(Step::SetLogOutage),
        1 => any::<usize>().prop_map(Step::CancelCall),
        6 => prop_oneof![8 => 1..400_u16, 1 => 1_000..6_000_u16].prop_map(Step::Advance),
    ]
}

/// Returns a violated property of a simulation that has drained, if any.
fn violation<C: Coordinator>(simulation: &Simulation<C>) -> Option<String> {
    let repeated = simulation.executions.iter().find(|(_, count)| **count > 1);
    if let Some((key, count)) = repeated {
        return Some(format!("{key} ran {count} times"));
    }
    let executed: HashSet<_> = simulation.executed_requests.iter().collect();
    for (request, record) in &simulation.callers {
        match &record.outcome {
            Some(Err(error)) if error.kind.answer().run == RunState::NotRun => {
                if executed.contains(request) {
                    return Some(format!("{request} ran but was refused as not run: {error}"));
                }
            }
            Some(Ok(answer)) => {
                let ran = simulation.executions.contains_key(&record.key);
                if !ran || !answer.body.starts_with(record.key.as_str().as_bytes()) {
                    return Some(format!("{request} got the answer of another call"));
                }
            }
            Some(Err(_)) | None => {}
        }
    }
    None
}

/// Returns a caller that was never answered although its entry did not restart.
fn unanswered_call<C: Coordinator>(simulation: &Simulation<C>) -> Option<String> {
    let waiting = simulation.callers.iter().find(|(_, record)| {
        record.outcome.is_none()
            && !record.cancelled
            && simulation.incarnation_of(record.entry) == record.entry_incarnation
    });
    waiting.map(|(request, record)| format!("{request} with {} has no answer", record.key))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(22),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_key_runs_at_most_once_and_calls_refused_as_not_run_never_ran(steps in vec(step(), 1..250)) {
        let mut simulation = Simulation::<ClaimCoordinator>::new();
        simulation.run(&steps);
        simulation.drain();
        assert_eq!(violation(&simulation), None);
        assert_eq!(unanswered_call(&simulation), None);
    }
}

#[test]
fn the_naive_coordinator_violates_the_same_properties() {
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[22; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = vec(step(), 1..250);
    let broken = (0..200).filter(|_| {
        let schedule = steps
            .new_tree(&mut runner)
            .expect("the strategy generates a schedule")
            .current();
        let mut simulation = Simulation::<NaiveCoordinator>::new();
        simulation.run(&schedule);
        simulation.drain();
        violation(&simulation).is_some()
    });
    let broken = broken.count();
    assert!(
        broken > 20,
        "only {broken} of 200 schedules break the naive coordinator"
    );
}
