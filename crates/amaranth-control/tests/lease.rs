//! Leases under loss, delay, pauses, restarts and log outages, against naive conduct.

mod lease_world;

use amaranth_control::lease::ledger::{LeaseLedger, LeaseStanding};
use amaranth_control::lease::record::{HeldLease, LeaseHolder, LeaseRecord, LeaseStatement};
use amaranth_core::ids::{FencingToken, Incarnation, LogOffset};
use lease_world::{Conduct, Step, TERM, TimedStep, World, endpoint};
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
    let member = 0..3_usize;
    prop_oneof![
        4 => member.clone().prop_map(Step::Tick),
        8 => member.clone().prop_map(Step::Read),
        4 => member.clone().prop_map(Step::WriteOrder),
        4 => (member.clone(), 0..1_000_u64).prop_map(|(index, delay)| Step::SendOrder(index, delay)),
        1 => member.clone().prop_map(Step::Pause),
        2 => member.clone().prop_map(Step::Wake),
        1 => (member.clone(), any::<bool>()).prop_map(|(index, same)| Step::Restart(index, same)),
        1 => member.prop_map(Step::Leave),
        1 => any::<bool>().prop_map(Step::Log),
    ]
}

/// Steps that together plan and send one order, which random single steps seldom do.
fn any_order() -> impl Strategy<Value = Vec<Step>> {
    (0..3_usize, 0..1_000_u64).prop_map(|(index, delay)| {
        vec![
            Step::Wake(index),
            Step::Read(index),
            Step::WriteOrder(index),
            Step::SendOrder(index, delay),
        ]
    })
}

fn any_schedule() -> impl Strategy<Value = Vec<TimedStep>> {
    let steps = prop_oneof![
        2 => any_step().prop_map(|step| vec![step]),
        1 => any_order(),
    ];
    let pause = prop_oneof![8 => 0..100_u64, 1 => 100..1_500_u64, 1 => 9_000..12_000_u64];
    let delay = prop_oneof![8 => 0..50_u64, 1 => 50..20_000_u64];
    let timed = (pause, steps, option::weighted(0.9, delay)).prop_map(|(pause, steps, delay)| {
        let timed = |(index, step)| TimedStep {
            pause: if index == 0 { pause } else { 0 },
            step,
            append_delay: delay,
        };
        steps.into_iter().enumerate().map(timed).collect::<Vec<_>>()
    });
    vec(timed, 10..80).prop_map(|groups| groups.concat())
}

fn run(conduct: Conduct, schedule: &[TimedStep]) -> World {
    let mut world = World::new(conduct);
    for step in schedule {
        world.run(step);
    }
    world.settle();
    world
}

proptest! {
    #![proptest_config(config(1_500))]

    /// An engine that ignores numbers never gets an order of a former holder after one of its
    /// successor, whatever is lost, delayed, paused or restarted.
    #[test]
    fn orders_never_cross(schedule in any_schedule()) {
        let world = run(Conduct::Sound, &schedule);
        prop_assert!(!world.was_crossed(), "orders landed as {:?}", world.landed);
    }

}

proptest! {
    #![proptest_config(config(200))]

    /// Whatever happened, a quiet time ends with exactly one holder.
    #[test]
    fn quiet_time_ends_with_one_holder(schedule in any_schedule()) {
        let mut world = World::new(Conduct::Sound);
        for step in &schedule {
            world.run(step);
        }
        for step in [Step::Log(true), Step::Restart(0, true), Step::Wake(1), Step::Wake(2)] {
            world.run(&TimedStep { pause: 0, step, append_delay: None });
        }
        for round in 0..300 {
            let index = round % 3;
            for step in [Step::Read(index), Step::Tick(index)] {
                world.run(&TimedStep { pause: 50, step, append_delay: Some(10) });
            }
        }
        prop_assert_eq!(world.holders().len(), 1);
    }
}

/// The same schedules break every naive conduct, so that the property above says something.
#[rstest]
#[case::sends_late(Conduct::SendsLate)]
#[case::takes_early(Conduct::TakesEarly)]
fn naive_conduct_lets_orders_cross(#[case] conduct: Conduct) {
    let mut runner = TestRunner::new(config(1));
    let crossed = (0..2_000).any(|_| {
        let schedule = any_schedule().new_tree(&mut runner).unwrap().current();
        run(conduct, &schedule).was_crossed()
    });
    assert!(crossed, "no schedule broke {conduct:?}");
}

fn step(pause: u64, step: Step) -> TimedStep {
    TimedStep {
        pause,
        step,
        append_delay: Some(5),
    }
}

/// A holder plans an order, is paused past its term, and wakes after another took the lease.
#[test]
fn woken_holder_does_not_send_the_order_in_its_hand() {
    let term = u64::try_from(TERM.as_millis()).unwrap();
    let schedule = [
        step(0, Step::Read(0)),
        step(10, Step::Read(0)),
        step(0, Step::WriteOrder(0)),
        step(0, Step::Pause(0)),
        step(0, Step::Read(1)),
        step(term + 2_000, Step::Tick(1)),
        step(10, Step::Read(1)),
        step(0, Step::WriteOrder(1)),
        step(0, Step::SendOrder(1, 0)),
        step(10, Step::Wake(0)),
        step(0, Step::SendOrder(0, 0)),
    ];
    assert_eq!(run(Conduct::Sound, &schedule).landed, [FencingToken(1)]);
    let naive = run(Conduct::SendsLate, &schedule);
    assert_eq!(naive.landed, [FencingToken(1), FencingToken(0)]);
}

fn holder(life: u64) -> LeaseHolder {
    LeaseHolder {
        process: format!("agent-{life}").parse().unwrap(),
        incarnation: Incarnation(life),
        address: ([10, 0, 0, 1], 7_000).into(),
    }
}

fn record(life: u64, attempt: u64, statement: LeaseStatement) -> LeaseRecord {
    LeaseRecord {
        holder: holder(life),
        attempt,
        term: TERM,
        statement,
    }
}

fn take(life: u64, attempt: u64, read_to: u64) -> LeaseRecord {
    let statement = LeaseStatement::Take {
        read_to: LogOffset(read_to),
        endpoints: vec![endpoint()],
    };
    record(life, attempt, statement)
}

fn renew(life: u64, attempt: u64, token: u64) -> LeaseRecord {
    let lease = HeldLease {
        endpoint: endpoint(),
        token: FencingToken(token),
    };
    record(
        life,
        attempt,
        LeaseStatement::Renew {
            leases: vec![lease],
        },
    )
}

/// Of two takers that knew nothing of each other, the first by offset wins.
#[test]
fn racing_takers_have_one_winner() {
    let mut ledger = LeaseLedger::open();
    ledger.apply(LogOffset(0), &take(1, 0, 0));
    ledger.apply(LogOffset(1), &take(2, 0, 0));
    ledger.apply(LogOffset(2), &renew(2, 1, 1));
    let row = ledger.row(&endpoint()).unwrap();
    assert_eq!(
        (row.holder.incarnation, row.token),
        (Incarnation(1), FencingToken(0))
    );
}

/// A take that the log took late, after a newer one of the same life, states nothing.
#[test]
fn late_take_does_not_replace_a_newer_one() {
    let mut ledger = LeaseLedger::open();
    ledger.apply(LogOffset(0), &take(1, 1, 0));
    ledger.apply(LogOffset(1), &take(1, 0, 0));
    assert_eq!(ledger.row(&endpoint()).unwrap().token, FencingToken(0));
}

/// A reader that began late agrees with one that read everything as soon as the holder renews.
#[test]
fn late_reader_agrees_after_a_renewal() {
    let records = [
        take(1, 0, 0),
        renew(1, 1, 0),
        take(2, 0, 2),
        renew(2, 1, 2),
        renew(1, 2, 0),
    ];
    let mut whole = LeaseLedger::open();
    let mut late = LeaseLedger::open();
    late.skip_to(LogOffset(2));
    for (offset, record) in records.iter().enumerate() {
        whole.apply(LogOffset(offset as u64), record);
        late.apply(LogOffset(offset as u64), record);
    }
    assert_eq!(late.row(&endpoint()), whole.row(&endpoint()));
    let row = late.row(&endpoint()).unwrap();
    assert_eq!(
        (row.token, row.standing),
        (FencingToken(2), LeaseStanding::Held)
    );
}

proptest! {
    #![proptest_config(config(500))]

    /// Decoding what was encoded gives the same record.
    #[test]
    fn records_survive_the_log(life in any::<u64>(), attempt in any::<u64>(), token in any::<u64>()) {
        for record in [take(life, attempt, token), renew(life, attempt, token)] {
            prop_assert_eq!(LeaseRecord::decode(&record.encode()), Ok(record));
        }
    }

    /// No bytes make the decoder panic.
    #[test]
    fn arbitrary_bytes_are_refused_or_decoded(data in vec(any::<u8>(), 0..64)) {
        let _ = LeaseRecord::decode(&data);
    }
}
