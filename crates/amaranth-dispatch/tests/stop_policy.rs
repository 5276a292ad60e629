//! Tests of the calls that a stopping entry accepts, alone and during a rolling restart.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::stop_policy::{ExpectedCall, StopPolicy};
use rstest::rstest;

const GRACE: Duration = Duration::from_millis(7_600);

fn accepts(after_ms: u64, objective_ms: u64, tokens: Option<u32>) -> bool {
    let requested_at = Timestamp::from_millis(1_000);
    let policy = StopPolicy::new(requested_at, GRACE);
    let call = ExpectedCall {
        objective: Duration::from_millis(objective_ms),
        tokens,
    };
    policy.accepts(requested_at + Duration::from_millis(after_ms), call)
}

#[rstest]
#[case::booking_at_once(0, 300, None, true)]
#[case::booking_late(6_000, 300, None, true)]
#[case::booking_near_the_end(7_000, 300, None, false)]
#[case::short_stream(2_000, 1_000, Some(22), true)]
#[case::long_stream(0, 1_000, Some(172), true)]
#[case::endless_stream(0, 1_000, Some(2_000), false)]
fn a_call_is_accepted_if_it_is_expected_to_end_before_the_process(
    #[case] after_ms: u64,
    #[case] objective_ms: u64,
    #[case] tokens: Option<u32>,
    #[case] expected: bool,
) {
    assert_eq!(accepts(after_ms, objective_ms, tokens), expected);
}

/// Guards against generations that are cut off when the process ends. A report whose hint was far
/// too small, and a short reading at a slow engine, were cut off that way; they had arrived 3.8 and
/// 3.9 s after the stop request.
#[rstest]
#[case::report(3_800, 40)]
#[case::reading_at_a_slow_engine(3_900, 22)]
#[case::the_smallest(2_600, 1)]
fn no_generation_is_accepted_late_in_a_stop(#[case] after_ms: u64, #[case] tokens: u32) {
    assert!(!accepts(after_ms, 1_000, Some(tokens)));
}

/// Three entries stop two seconds apart and are down for a second each. Callers arrive all the
/// time, and at least one entry has to accept each of them.
#[test]
fn some_entry_accepts_every_booking_during_a_rolling_restart() {
    let stops: Vec<StopPolicy> = (0..3)
        .map(|index| StopPolicy::new(Timestamp::from_millis(1_000 + index * 2_000), GRACE))
        .collect();
    let booking = ExpectedCall {
        objective: Duration::from_millis(300),
        tokens: None,
    };
    let (mut accepted, mut arrived) = (0, 0);
    for millis in (1_000..13_600).step_by(50) {
        let now = Timestamp::from_millis(millis);
        let accepts = |policy: &&StopPolicy| {
            let since = now.since(policy.requested_at());
            let down = since >= GRACE && since < GRACE + Duration::from_secs(1);
            !down && (now < policy.requested_at() || since >= GRACE || policy.accepts(now, booking))
        };
        arrived += 1;
        accepted += u32::from(stops.iter().any(|policy| accepts(&policy)));
    }
    assert_eq!(accepted, arrived);
}
