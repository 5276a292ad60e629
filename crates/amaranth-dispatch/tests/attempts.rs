//! Tests of the retry decisions after failed sends.

mod support;

use std::time::Duration;

use amaranth_core::ids::ServiceName;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::attempts::{AttemptHistory, NextStep, SendFailure};
use amaranth_dispatch::refusal::RefusalCause;
use amaranth_dispatch::retry_quota::{RetryLimits, RetryQuota};
use amaranth_dispatch::routes::{RouteKind, RouteRule};
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use rstest::rstest;

use support::{name, not_sent, refused, route};

const NOW: Timestamp = Timestamp::from_millis(1_000);

/// A retry quota, and the service that the tests' calls go to.
struct TestBudget {
    quota: RetryQuota,
    service: ServiceName,
}

impl TestBudget {
    fn full() -> Self {
        let quota = RetryQuota::new(RetryLimits {
            ratio: 0.1,
            slack: 100,
            window: Duration::from_secs(10),
            entries: 1,
        });
        let service = name("s");
        Self { quota, service }
    }

    fn spent() -> Self {
        let mut budget = Self::full();
        while budget.quota.allowance(NOW, &budget.service).acquire() {}
        budget
    }

    fn record_failure(
        &mut self,
        history: &mut AttemptHistory,
        route: &RouteRule,
        endpoint: &str,
        failure: SendFailure,
    ) -> NextStep {
        let mut allowance = self.quota.allowance(NOW, &self.service);
        history.record_failure(route, &name(endpoint), failure, &mut allowance)
    }

    fn may_retry_elsewhere(&mut self, history: &AttemptHistory, route: &RouteRule) -> bool {
        history.may_retry_elsewhere(route, &self.quota.allowance(NOW, &self.service))
    }
}

#[rstest]
#[case::booking_not_sent(RouteKind::NonIdempotent, false, not_sent(), NextStep::SendAgain)]
#[case::booking_not_run(RouteKind::NonIdempotent, false, refused(503), NextStep::SendAgain)]
#[case::booking_misdirected(RouteKind::NonIdempotent, false, refused(421), NextStep::SendAgain)]
#[case::booking_failed(
    RouteKind::NonIdempotent,
    false,
    SendFailure::Failed,
    NextStep::Forward
)]
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
fn the_kinds_of_call_and_failure_decide_the_first_retry(
    #[case] kind: RouteKind,
    #[case] resumable: bool,
    #[case] failure: SendFailure,
    #[case] expected: NextStep,
) {
    let mut history = AttemptHistory::default();
    let route = route(kind, resumable, 2);
    let step = TestBudget::full().record_failure(&mut history, &route, "e", failure);
    assert_eq!(step, expected);
}

/// Engines freeze for longer than callers wait: a retry of an abandoned call could not end in the
/// remaining time.
#[rstest]
#[case(RouteKind::Idempotent, false)]
#[case(RouteKind::Stream, true)]
#[case(RouteKind::Stream, false)]
#[case(RouteKind::NonIdempotent, false)]
fn an_abandoned_call_is_not_sent_again(#[case] kind: RouteKind, #[case] resumable: bool) {
    let mut history = AttemptHistory::default();
    let route = route(kind, resumable, 3);
    let step = TestBudget::full().record_failure(&mut history, &route, "e", SendFailure::Abandoned);
    assert_eq!(step, NextStep::Refuse(RefusalCause::TimedOut));
}

#[rstest]
#[case::shed(refused(503), NextStep::Refuse(RefusalCause::EndpointsRefused))]
#[case::failed(SendFailure::Failed, NextStep::Forward)]
#[case::ambiguous(SendFailure::Ambiguous, NextStep::Refuse(RefusalCause::OutcomeUnknown))]
#[case::not_sent(not_sent(), NextStep::SendAgain)]
fn without_remaining_retries_only_unsent_calls_are_sent_again(
    #[case] failure: SendFailure,
    #[case] expected: NextStep,
) {
    let mut history = AttemptHistory::default();
    let route = route(RouteKind::Idempotent, false, 3);
    let step = TestBudget::spent().record_failure(&mut history, &route, "e", failure);
    assert_eq!(step, expected);
}

#[test]
fn a_call_runs_on_no_more_endpoints_than_its_route_allows() {
    let mut history = AttemptHistory::default();
    let route = route(RouteKind::Idempotent, false, 2);
    let mut budget = TestBudget::full();
    let first = budget.record_failure(&mut history, &route, "e1", SendFailure::Failed);
    let second = budget.record_failure(&mut history, &route, "e2", SendFailure::Failed);
    assert_eq!((first, second), (NextStep::SendAgain, NextStep::Forward));
}

fn failures() -> impl Strategy<Value = SendFailure> {
    prop_oneof![
        Just(not_sent()),
        Just(refused(503)),
        Just(refused(421)),
        Just(SendFailure::Failed),
        Just(SendFailure::Ambiguous),
        Just(SendFailure::Abandoned),
    ]
}

#[test]
fn a_call_may_be_retried_elsewhere_only_while_a_retry_remains() {
    let route = route(RouteKind::Stream, true, 2);
    let mut history = AttemptHistory::default();
    assert!(TestBudget::full().may_retry_elsewhere(&history, &route));
    assert!(!TestBudget::spent().may_retry_elsewhere(&history, &route));
    let mut budget = TestBudget::full();
    budget.record_failure(&mut history, &route, "e1", SendFailure::Ambiguous);
    assert!(
        !budget.may_retry_elsewhere(&history, &route),
        "the call ran on one of its two endpoints already"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x6275_6467),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_non_repeatable_call_is_never_sent_again_after_it_may_have_run(
        failures in proptest::collection::vec(failures(), 1..12),
        stream in any::<bool>(),
    ) {
        let kind = if stream { RouteKind::Stream } else { RouteKind::NonIdempotent };
        let route = route(kind, false, 5);
        let mut history = AttemptHistory::default();
        let mut budget = TestBudget::full();
        let mut may_have_run = false;
        for failure in failures {
            let step = budget.record_failure(&mut history, &route, "e", failure);
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
}
