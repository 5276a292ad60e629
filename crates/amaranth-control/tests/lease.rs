//! Tests of leases under loss, delay, pauses, restarts and log outages, against naive behaviour.

mod lease_simulation;

use amaranth_control::lease::ledger::{LeaseLedger, LeaseStatus};
use amaranth_control::lease::record::{HeldLease, LeaseHolder, LeaseOperation, LeaseRecord};
use amaranth_core::ids::{FencingToken, Incarnation, LogOffset};
use lease_simulation::{Behaviour, Simulation, Step, TERM, TimedStep, endpoint};
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, Strategy, any, prop_oneof, proptest};
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use proptest::{option, prop_assert, prop_assert_eq};
use rstest::rstest;

const SEED: u64 = 4;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

fn any_step() -> impl Strategy<Value = Step> {
    let process = 0..3_usize;
    prop_oneof![
        4 => process.clone().prop_map(Step::Tick),
        8 => process.clone().prop_map(Step::Read),
        4 => process.clone().prop_map(Step::PrepareOrder),
        4 => (process.clone(), 0..1_000_u64)
            .prop_map(|(index, delay)| Step::SendOrder(index, delay)),
        1 => process.clone().prop_map(Step::Pause),
        2 => process.clone().prop_map(Step::Resume),
        1 => (process.clone(), any::<bool>()).prop_map(|(index, same)| Step::Restart(index, same)),
        1 => process.prop_map(Step::Drain),
        1 => any::<bool>().prop_map(Step::Log),
    ]
}

/// Steps that together prepare and send one order, which random single steps rarely do.
fn any_order_steps() -> impl Strategy<Value = Vec<Step>> {
    (0..3_usize, 0..1_000_u64).prop_map(|(index, delay)| {
        vec![
            Step::Resume(index),
            Step::Read(index),
            Step::PrepareOrder(index),
            Step::SendOrder(index, delay),
        ]
    })
}

fn any_schedule() -> impl Strategy<Value = Vec<TimedStep>> {
    let steps = prop_oneof![
        2 => any_step().prop_map(|step| vec![step]),
        1 => any_order_steps(),
    ];
    let wait = prop_oneof![8 => 0..100_u64, 1 => 100..1_500_u64, 1 => 9_000..12_000_u64];
    let append_delay = prop_oneof![8 => 0..50_u64, 1 => 50..20_000_u64];
    let groups = (wait, steps, option::weighted(0.9, append_delay)).prop_map(
        |(wait, steps, append_delay)| {
            let timed = |(index, step)| TimedStep {
                wait: if index == 0 { wait } else { 0 },
                step,
                append_delay,
            };
            steps.into_iter().enumerate().map(timed).collect::<Vec<_>>()
        },
    );
    vec(groups, 10..80).prop_map(|groups| groups.concat())
}

fn run(behaviour: Behaviour, schedule: &[TimedStep]) -> Simulation {
    let mut simulation = Simulation::new(behaviour);
    for step in schedule {
        simulation.run(step);
    }
    simulation.deliver_all();
    simulation
}

proptest! {
    #![proptest_config(config(1_500))]

    /// An engine that does not check fencing tokens never receives an order of a former holder
    /// after one of its successor, whatever is lost, delayed, paused or restarted.
    #[test]
    fn orders_of_a_former_holder_never_arrive_after_those_of_its_successor(
        schedule in any_schedule(),
    ) {
        let simulation = run(Behaviour::Correct, &schedule);
        prop_assert!(
            !simulation.has_stale_order(),
            "orders arrived with the tokens {:?}",
            simulation.order_tokens
        );
    }

}

proptest! {
    #![proptest_config(config(200))]

    /// After any schedule, exactly one process holds the lease once no more faults occur.
    #[test]
    fn one_process_holds_the_lease_after_the_faults_end(schedule in any_schedule()) {
        let mut simulation = Simulation::new(Behaviour::Correct);
        for step in &schedule {
            simulation.run(step);
        }
        for step in [Step::Log(true), Step::Restart(0, true), Step::Resume(1), Step::Resume(2)] {
            simulation.run(&TimedStep { wait: 0, step, append_delay: None });
        }
        for round in 0..300 {
            let index = round % 3;
            for step in [Step::Read(index), Step::Tick(index)] {
                simulation.run(&TimedStep { wait: 50, step, append_delay: Some(10) });
            }
        }
        prop_assert_eq!(simulation.holders().len(), 1);
    }
}

/// The same generator produces schedules that make every naive behaviour fail, so that the property
/// above is a real check.
#[rstest]
#[case::sends_late(Behaviour::SendsLate)]
#[case::acquires_early(Behaviour::AcquiresEarly)]
fn naive_behaviour_delivers_stale_orders(#[case] behaviour: Behaviour) {
    let mut runner = TestRunner::new(config(1));
    let has_stale_order = (0..2_000).any(|_| {
        let schedule = any_schedule().new_tree(&mut runner).unwrap().current();
        run(behaviour, &schedule).has_stale_order()
    });
    assert!(
        has_stale_order,
        "no schedule delivered a stale order with {behaviour:?}"
    );
}

fn step(wait: u64, step: Step) -> TimedStep {
    TimedStep {
        wait,
        step,
        append_delay: Some(5),
    }
}

/// A holder prepares an order, is paused beyond its term, and resumes after another process
/// acquired the lease.
#[test]
fn resumed_holder_does_not_send_an_order_prepared_before_the_pause() {
    let term = u64::try_from(TERM.as_millis()).unwrap();
    let schedule = [
        step(0, Step::Read(0)),
        step(10, Step::Read(0)),
        step(0, Step::PrepareOrder(0)),
        step(0, Step::Pause(0)),
        step(0, Step::Read(1)),
        step(term + 2_000, Step::Tick(1)),
        step(10, Step::Read(1)),
        step(0, Step::PrepareOrder(1)),
        step(0, Step::SendOrder(1, 0)),
        step(10, Step::Resume(0)),
        step(0, Step::SendOrder(0, 0)),
    ];
    assert_eq!(
        run(Behaviour::Correct, &schedule).order_tokens,
        [FencingToken(1)]
    );
    let naive = run(Behaviour::SendsLate, &schedule);
    assert_eq!(naive.order_tokens, [FencingToken(1), FencingToken(0)]);
}

fn holder(incarnation: u64) -> LeaseHolder {
    LeaseHolder {
        process: format!("agent-{incarnation}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        address: ([10, 0, 0, 1], 7_000).into(),
    }
}

fn record(incarnation: u64, attempt: u64, operation: LeaseOperation) -> LeaseRecord {
    LeaseRecord {
        holder: holder(incarnation),
        attempt,
        term: TERM,
        operation,
    }
}

fn acquire(incarnation: u64, attempt: u64, read_to: u64) -> LeaseRecord {
    let operation = LeaseOperation::Acquire {
        read_to: LogOffset(read_to),
        endpoints: vec![endpoint()],
    };
    record(incarnation, attempt, operation)
}

fn renew(incarnation: u64, attempt: u64, token: u64) -> LeaseRecord {
    let lease = HeldLease {
        endpoint: endpoint(),
        token: FencingToken(token),
    };
    record(
        incarnation,
        attempt,
        LeaseOperation::Renew {
            leases: vec![lease],
        },
    )
}

/// Of two processes that acquire a lease without having read each other's record, the one with the
/// lower offset holds it.
#[test]
fn concurrent_acquisitions_have_one_holder() {
    let mut ledger = LeaseLedger::new();
    ledger.apply(LogOffset(0), &acquire(1, 0, 0));
    ledger.apply(LogOffset(1), &acquire(2, 0, 0));
    ledger.apply(LogOffset(2), &renew(2, 1, 1));
    let row = ledger.row(&endpoint()).unwrap();
    assert_eq!(
        (row.holder.incarnation, row.token),
        (Incarnation(1), FencingToken(0))
    );
}

/// An acquisition that the log appended late, after a newer one of the same incarnation, has no
/// effect.
#[test]
fn late_acquisition_does_not_replace_a_newer_one() {
    let mut ledger = LeaseLedger::new();
    ledger.apply(LogOffset(0), &acquire(1, 1, 0));
    ledger.apply(LogOffset(1), &acquire(1, 0, 0));
    assert_eq!(ledger.row(&endpoint()).unwrap().token, FencingToken(0));
}

/// A reader that started late agrees with one that read the whole stream as soon as the holder
/// renews.
#[test]
fn late_reader_agrees_after_a_renewal() {
    let records = [
        acquire(1, 0, 0),
        renew(1, 1, 0),
        acquire(2, 0, 2),
        renew(2, 1, 2),
        renew(1, 2, 0),
    ];
    let mut complete = LeaseLedger::new();
    let mut late = LeaseLedger::new();
    late.skip_to(LogOffset(2));
    for (offset, record) in records.iter().enumerate() {
        complete.apply(LogOffset(offset as u64), record);
        late.apply(LogOffset(offset as u64), record);
    }
    assert_eq!(late.row(&endpoint()), complete.row(&endpoint()));
    let row = late.row(&endpoint()).unwrap();
    assert_eq!(
        (row.token, row.status),
        (FencingToken(2), LeaseStatus::Held)
    );
}

proptest! {
    #![proptest_config(config(500))]

    #[test]
    fn decoding_an_encoded_record_returns_the_same_record(
        incarnation in any::<u64>(),
        attempt in any::<u64>(),
        token in any::<u64>(),
    ) {
        for record in [
            acquire(incarnation, attempt, token),
            renew(incarnation, attempt, token),
        ] {
            prop_assert_eq!(LeaseRecord::decode(&record.encode()), Ok(record));
        }
    }

    #[test]
    fn decoder_does_not_panic_on_arbitrary_bytes(data in vec(any::<u8>(), 0..64)) {
        let _ = LeaseRecord::decode(&data);
    }
}
