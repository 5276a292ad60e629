//! A stop of all entries in turn: who is served while they overlap.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::stop_policy::{ExpectedCall, StopPolicy};
use rstest::rstest;

const GRACE: Duration = Duration::from_millis(7_600);

fn takes(after_ms: u64, objective_ms: u64, tokens: Option<u32>) -> bool {
    let asked_at = Timestamp::from_millis(1_000);
    let policy = StopPolicy::open(asked_at, GRACE);
    let call = ExpectedCall {
        objective: Duration::from_millis(objective_ms),
        tokens,
    };
    policy.takes(asked_at + Duration::from_millis(after_ms), call)
}

#[rstest]
#[case::booking_at_once(0, 300, None, true)]
#[case::booking_late(6_000, 300, None, true)]
#[case::booking_near_the_end(7_000, 300, None, false)]
#[case::short_stream(2_000, 1_000, Some(22), true)]
#[case::long_stream(0, 1_000, Some(172), true)]
#[case::endless_stream(0, 1_000, Some(2_000), false)]
fn a_call_is_taken_if_it_ends_in_time(
    #[case] after_ms: u64,
    #[case] objective_ms: u64,
    #[case] tokens: Option<u32>,
    #[case] expected: bool,
) {
    assert_eq!(takes(after_ms, objective_ms, tokens), expected);
}

/// A report with a hint that was far too small, and a short reading at a slow engine, were cut off
/// at the end of a stop: 3.8 and 3.9 s after the signal.
#[rstest]
#[case::report(3_800, 40)]
#[case::reading_at_a_slow_engine(3_900, 22)]
#[case::the_smallest(2_600, 1)]
fn no_generation_is_taken_late(#[case] after_ms: u64, #[case] tokens: u32) {
    assert!(!takes(after_ms, 1_000, Some(tokens)));
}

/// Three entries stop two seconds apart and are away for a second each. Callers arrive all the
/// time; those that meet only stopping entries are counted.
#[test]
fn bookings_are_served_throughout_a_restart_in_turn() {
    let stops: Vec<StopPolicy> = (0..3)
        .map(|index| StopPolicy::open(Timestamp::from_millis(1_000 + index * 2_000), GRACE))
        .collect();
    let booking = ExpectedCall {
        objective: Duration::from_millis(300),
        tokens: None,
    };
    let (mut served, mut asked) = (0, 0);
    for millis in (1_000..13_600).step_by(50) {
        let now = Timestamp::from_millis(millis);
        let up = |policy: &&StopPolicy| {
            let since = now.since(policy.asked_at());
            let away = since >= GRACE && since < GRACE + Duration::from_secs(1);
            !away && (now < policy.asked_at() || since >= GRACE || policy.takes(now, booking))
        };
        asked += 1;
        served += u32::from(stops.iter().any(|policy| up(&policy)));
    }
    assert_eq!(served, asked);
}
