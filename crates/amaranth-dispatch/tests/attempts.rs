//! What follows a failed send, and the retry budget that entries share without talking.

mod support;

use amaranth_control::retry_budget::{RetryBudget, RetryBudgetOptions};
use amaranth_dispatch::attempts::{AttemptHistory, NextStep, SendFailure, open_retry_share};
use amaranth_dispatch::refusal::RefusalCause;
use amaranth_dispatch::routes::RouteKind;
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use rstest::rstest;

use support::{name, route};

fn full_budget() -> RetryBudget {
    RetryBudget::open(RetryBudgetOptions {
        retries_per_request: 0.1,
        saved_retries: 100,
    })
}

fn empty_budget() -> RetryBudget {
    let mut budget = RetryBudget::open(RetryBudgetOptions {
        retries_per_request: 0.0,
        saved_retries: 1,
    });
    assert!(budget.withdraw());
    budget
}

#[rstest]
#[case::booking_not_sent(
    RouteKind::NonIdempotent,
    false,
    SendFailure::NotSent,
    NextStep::SendAgain
)]
#[case::booking_shed(
    RouteKind::NonIdempotent,
    false,
    SendFailure::NotRun,
    NextStep::SendAgain
)]
#[case::booking_misdirected(
    RouteKind::NonIdempotent,
    false,
    SendFailure::Misdirected,
    NextStep::SendAgain
)]
#[case::booking_failed(RouteKind::NonIdempotent, false, SendFailure::Failed, NextStep::PassOn)]
#[case::booking_ambiguous(
    RouteKind::NonIdempotent,
    false,
    SendFailure::Ambiguous,
    NextStep::Refuse(RefusalCause::OutcomeUnknown)
)]
#[case::lookup_failed(RouteKind::Idempotent, false, SendFailure::Failed, NextStep::SendAgain)]
#[case::lookup_ambiguous(
    RouteKind::Idempotent,
    false,
    SendFailure::Ambiguous,
    NextStep::SendAgain
)]
#[case::stream_ambiguous(
    RouteKind::Stream,
    false,
    SendFailure::Ambiguous,
    NextStep::Refuse(RefusalCause::OutcomeUnknown)
)]
#[case::resumable_ambiguous(RouteKind::Stream, true, SendFailure::Ambiguous, NextStep::SendAgain)]
fn the_first_failure_decides_by_what_may_be_repeated(
    #[case] kind: RouteKind,
    #[case] resumable: bool,
    #[case] failure: SendFailure,
    #[case] expected: NextStep,
) {
    let mut history = AttemptHistory::default();
    let route = route(kind, resumable, 2);
    let step = history.after_failure(&route, &name("e"), failure, &mut full_budget());
    assert_eq!(step, expected);
}

#[rstest]
#[case::shed(SendFailure::NotRun, NextStep::Refuse(RefusalCause::EndpointsRefused))]
#[case::failed(SendFailure::Failed, NextStep::PassOn)]
#[case::ambiguous(SendFailure::Ambiguous, NextStep::Refuse(RefusalCause::OutcomeUnknown))]
#[case::not_sent(SendFailure::NotSent, NextStep::SendAgain)]
fn without_budget_only_what_no_endpoint_saw_is_sent_again(
    #[case] failure: SendFailure,
    #[case] expected: NextStep,
) {
    let mut history = AttemptHistory::default();
    let route = route(RouteKind::Idempotent, false, 3);
    let step = history.after_failure(&route, &name("e"), failure, &mut empty_budget());
    assert_eq!(step, expected);
}

#[test]
fn a_call_runs_on_no_more_endpoints_than_its_route_allows() {
    let mut history = AttemptHistory::default();
    let route = route(RouteKind::Idempotent, false, 2);
    let mut budget = full_budget();
    let first = history.after_failure(&route, &name("e1"), SendFailure::Failed, &mut budget);
    let second = history.after_failure(&route, &name("e2"), SendFailure::Failed, &mut budget);
    assert_eq!((first, second), (NextStep::SendAgain, NextStep::PassOn));
}

fn failures() -> impl Strategy<Value = SendFailure> {
    prop_oneof![
        Just(SendFailure::NotSent),
        Just(SendFailure::NotRun),
        Just(SendFailure::Misdirected),
        Just(SendFailure::Failed),
        Just(SendFailure::Ambiguous),
    ]
}

/// One event of a fleet of entries.
#[derive(Debug, Clone)]
enum FleetEvent {
    Call(usize),
    Retry(usize),
    Restart(usize),
}

fn fleet_events() -> impl Strategy<Value = Vec<FleetEvent>> {
    let event = prop_oneof![
        5 => any::<usize>().prop_map(FleetEvent::Call),
        5 => any::<usize>().prop_map(FleetEvent::Retry),
    ];
    proptest::collection::vec(event, 1..600)
}

const RATIO: f64 = 0.2;
const SLACK: u32 = 52;

/// Plays events of one window and returns calls and retries. Each entry starts again once, at the
/// event given for it.
fn play(events: &[FleetEvent], entries: usize, open: impl Fn() -> RetryBudget) -> (u32, u32) {
    let mut budgets: Vec<RetryBudget> = (0..entries).map(|_| open()).collect();
    let (mut calls, mut retries) = (0, 0);
    let restarts =
        (0..entries).map(|entry| (entry * 37 % events.len(), FleetEvent::Restart(entry)));
    let mut timeline: Vec<(usize, FleetEvent)> = events.iter().cloned().enumerate().collect();
    timeline.extend(restarts);
    timeline.sort_by_key(|(at, _)| *at);
    for (_, event) in timeline {
        match event {
            FleetEvent::Call(entry) => {
                budgets[entry % entries].deposit();
                calls += 1;
            }
            FleetEvent::Retry(entry) => retries += u32::from(budgets[entry % entries].withdraw()),
            FleetEvent::Restart(entry) => budgets[entry] = open(),
        }
    }
    (calls, retries)
}

fn allowed(calls: u32) -> f64 {
    RATIO * f64::from(calls) + f64::from(SLACK)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x6275_6467),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_call_that_may_not_be_repeated_is_never_sent_after_it_may_have_run(
        failures in proptest::collection::vec(failures(), 1..12),
        stream in any::<bool>(),
    ) {
        let kind = if stream { RouteKind::Stream } else { RouteKind::NonIdempotent };
        let route = route(kind, false, 5);
        let mut history = AttemptHistory::default();
        let mut budget = full_budget();
        let mut may_have_run = false;
        for failure in failures {
            let step = history.after_failure(&route, &name("e"), failure, &mut budget);
            may_have_run |= !failure.is_not_run();
            prop_assert!(!(may_have_run && step == NextStep::SendAgain));
            if let NextStep::Refuse(cause) = step {
                prop_assert!(!(may_have_run && cause.promises_not_run()));
            }
            if step != NextStep::SendAgain {
                break;
            }
        }
    }

    #[test]
    fn entries_that_start_again_keep_the_fleets_budget(
        events in fleet_events(),
        entries in 1_usize..9,
    ) {
        let share = || open_retry_share(RATIO, SLACK, 8);
        let (calls, retries) = play(&events, entries, share);
        prop_assert!(f64::from(retries) <= allowed(calls), "{retries} retries of {calls} calls");
    }
}

#[test]
fn a_budget_for_each_entry_alone_breaks_the_fleets() {
    let naive = || {
        RetryBudget::open(RetryBudgetOptions {
            retries_per_request: RATIO,
            saved_retries: SLACK,
        })
    };
    let events: Vec<FleetEvent> = (0..600).map(FleetEvent::Retry).collect();
    let (calls, retries) = play(&events, 4, naive);
    assert!(f64::from(retries) > allowed(calls));
    let (calls, retries) = play(&events, 4, || open_retry_share(RATIO, SLACK, 8));
    assert!(f64::from(retries) <= allowed(calls));
}
