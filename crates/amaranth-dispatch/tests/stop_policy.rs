//! Tests of the calls that a stopping entry accepts, alone and during a rolling restart.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::answer_pace::{PaceHistory, PaceRatio, RoutePace, expected_time};
use amaranth_dispatch::stop_policy::{ExpectedCall, StopPolicy};
use rstest::rstest;

const GRACE: Duration = Duration::from_millis(7_600);

/// A deadline of callers that no grace period reaches.
const LONG_WAIT: Duration = Duration::from_secs(30);

fn pace(usual: &str, slowest: &str) -> Option<RoutePace> {
    let ratio = |text: &str| text.parse().expect("the ratio is a number");
    Some(RoutePace {
        usual: ratio(usual),
        slowest: ratio(slowest),
    })
}

fn accepts(after_ms: u64, objective_ms: u64, tokens: Option<u32>) -> bool {
    let requested_at = Timestamp::from_millis(1_000);
    let policy = StopPolicy::new(requested_at, GRACE);
    let call = ExpectedCall {
        objective: Duration::from_millis(objective_ms),
        tokens,
        time_left: LONG_WAIT,
        pace: pace("0.5", "1"),
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
        time_left: Duration::from_secs(5),
        pace: pace("0.5", "2"),
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

/// Guards against calls that are accepted by their objective and outlast the process.
#[rstest]
#[case::unknown_pace(3_000, None, 12_000, None, false)]
#[case::unknown_pace_and_short_timeout(3_000, None, 4_000, None, true)]
#[case::slow_plain_call(3_000, None, 12_000, pace("13", "16"), false)]
#[case::slow_plain_call_in_time(200, None, 12_000, pace("11", "14"), true)]
#[case::generation_of_unknown_pace(0, Some(22), 12_000, None, false)]
#[case::slow_generation(2_000, Some(22), 12_000, pace("3", "3"), false)]
#[case::late_generation_with_a_short_timeout(4_000, Some(22), 3_000, pace("1", "1"), true)]
fn a_call_is_accepted_by_its_timeout_or_by_the_recent_calls_of_its_route(
    #[case] after_ms: u64,
    #[case] tokens: Option<u32>,
    #[case] time_left_ms: u64,
    #[case] pace: Option<RoutePace>,
    #[case] expected: bool,
) {
    let policy = StopPolicy::new(Timestamp::ZERO, GRACE);
    let call = ExpectedCall {
        objective: Duration::from_millis(if tokens.is_some() { 1_000 } else { 300 }),
        tokens,
        time_left: Duration::from_millis(time_left_ms),
        pace,
    };
    assert_eq!(
        policy.accepts(Timestamp::from_millis(after_ms), call),
        expected
    );
}

#[test]
fn the_pace_of_a_route_is_known_after_some_calls_and_follows_the_last_ones() {
    let mut history = PaceHistory::default();
    let objective = Duration::from_millis(300);
    let mut lines = Vec::new();
    for call in 1..=120_u64 {
        let took = Duration::from_millis(if call == 20 { 4_500 } else { 60 + call });
        history.record("book", PaceRatio::of(took, expected_time(objective, None)));
        if [7, 8, 20, 83, 84, 120].contains(&call) {
            let pace = history.pace("book");
            let text = pace.map_or("unknown".to_owned(), |pace| {
                format!("usual {}, slowest {}", pace.usual, pace.slowest)
            });
            lines.push(format!("{call}: {text}"));
        }
    }
    history.retain(|route| route != "book");
    assert_eq!(history.pace("book"), None);
    insta::assert_snapshot!(lines.join("\n"), @r"
    7: unknown
    8: usual 0.23, slowest 0.23
    20: usual 0.26, slowest 15.00
    83: usual 0.46, slowest 15.00
    84: usual 0.46, slowest 0.48
    120: usual 0.58, slowest 0.60
    ");
}
