//! A stop of all entries in turn: who is served while they overlap.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::stop_policy::{ExpectedCall, StopPolicy};
use rstest::rstest;

const GRACE: Duration = Duration::from_millis(7_600);

fn takes(after_ms: u64, objective_ms: u64, tokens: u32) -> bool {
    let asked_at = Timestamp::from_millis(1_000);
    let policy = StopPolicy::open(asked_at, GRACE);
    let call = ExpectedCall {
        objective: Duration::from_millis(objective_ms),
        tokens,
        most_tokens: tokens,
    };
    policy.takes(asked_at + Duration::from_millis(after_ms), call)
}

#[rstest]
#[case::booking_at_once(0, 300, 0, true)]
#[case::booking_near_the_end(7_000, 300, 0, true)]
#[case::booking_at_the_end(7_400, 300, 0, false)]
#[case::short_stream(4_000, 1_000, 22, true)]
#[case::short_stream_late(6_500, 1_000, 22, false)]
#[case::long_stream(0, 1_000, 172, true)]
#[case::long_stream_later(4_000, 1_000, 172, false)]
#[case::endless_stream(0, 1_000, 2_000, false)]
fn a_call_is_taken_if_it_ends_in_time(
    #[case] after_ms: u64,
    #[case] objective_ms: u64,
    #[case] tokens: u32,
    #[case] expected: bool,
) {
    assert_eq!(takes(after_ms, objective_ms, tokens), expected);
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
        tokens: 0,
        most_tokens: 0,
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

/// A hint was far too small, and the report was cut off at the end of the stop.
#[test]
fn a_hint_counts_only_while_the_balancer_still_sends_callers() {
    let asked_at = Timestamp::from_millis(1_000);
    let policy = StopPolicy::open(asked_at, GRACE);
    let report = ExpectedCall {
        objective: Duration::from_secs(1),
        tokens: 40,
        most_tokens: 480,
    };
    assert!(policy.takes(asked_at + Duration::from_secs(2), report));
    assert!(!policy.takes(asked_at + Duration::from_millis(3_800), report));
}
