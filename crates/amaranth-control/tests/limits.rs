//! Retry budgets, breakers and deadlines, against versions without them.

use std::time::Duration;

use amaranth_control::breaker::{BreakerOptions, BreakerPass, CallOutcome, CircuitBreaker};
use amaranth_control::deadline::RequestDeadline;
use amaranth_control::retry_budget::{RetryBudget, RetryBudgetOptions};
use amaranth_core::time::Timestamp;
use proptest::collection::vec;
use proptest::prelude::{Just, ProptestConfig, any, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use proptest::{prop_assert, prop_assert_eq};

/// Tries that an endpoint sees when `requests` all fail and each may be tried thrice.
fn offered(requests: u32, mut may_retry: impl FnMut(u32) -> bool) -> u32 {
    let mut retries = |request| (0..2).filter(|_| may_retry(request)).count() as u32;
    (0..requests).map(|request| 1 + retries(request)).sum()
}

#[test]
fn budget_bounds_the_storm_that_fixed_retries_cause() {
    const REQUESTS: u32 = 10_000;
    let options = RetryBudgetOptions::default();
    let mut budget = RetryBudget::open(options);
    let mut last = None;
    let bounded = offered(REQUESTS, |request| {
        if last.replace(request) != Some(request) {
            budget.deposit();
        }
        budget.withdraw()
    });
    let earned = (f64::from(REQUESTS) * options.retries_per_request) as u32;
    assert!(bounded <= REQUESTS + earned + options.saved_retries);
    assert_eq!(offered(REQUESTS, |_| true), 3 * REQUESTS);
}

#[test]
fn quiet_hours_save_up_no_storm() {
    let options = RetryBudgetOptions::default();
    let mut budget = RetryBudget::open(options);
    (0..100_000).for_each(|_| budget.deposit());
    let spent = (0..1_000).filter(|_| budget.withdraw()).count();
    assert_eq!(spent, options.saved_retries as usize);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn budget_never_spends_more_than_was_earned(requests in vec(any::<bool>(), 0..400)) {
        let options = RetryBudgetOptions {
            retries_per_request: 0.25,
            saved_retries: 4,
        };
        let mut budget = RetryBudget::open(options);
        let (mut first_tries, mut retries) = (0_u32, 0_u32);
        for is_request in requests {
            if is_request {
                budget.deposit();
                first_tries += 1;
            } else {
                retries += u32::from(budget.withdraw());
            }
            let earned = f64::from(first_tries) * options.retries_per_request;
            prop_assert!(f64::from(retries) <= earned + f64::from(options.saved_retries));
        }
    }

    #[test]
    fn deadline_shrinks_from_hop_to_hop(
        left_ms in 0_u64..10_000,
        hops in vec((0_u64..2_000, 0_u64..50), 1..6),
    ) {
        let mut left = Duration::from_millis(left_ms);
        for (work_ms, margin_ms) in hops {
            let arrived = Timestamp::from_millis(500);
            let deadline = RequestDeadline::open(arrived, left);
            let sent = arrived + Duration::from_millis(work_ms);
            let margin = Duration::from_millis(margin_ms);
            let Some(next) = deadline.for_next_hop(sent, margin) else {
                prop_assert!(deadline.time_left(sent) <= margin);
                return Ok(());
            };
            prop_assert!(!deadline.is_past(sent));
            prop_assert_eq!(next + margin + Duration::from_millis(work_ms), left);
            left = next;
        }
    }

    #[test]
    fn breaker_lets_one_probe_through_at_a_time(
        steps in vec(
            (0_u64..400, prop_oneof![
                Just(CallOutcome::Answered),
                Just(CallOutcome::Failed),
                Just(CallOutcome::Inconclusive),
            ], any::<bool>()),
            1..200,
        ),
    ) {
        let options = BreakerOptions {
            failures: 3,
            probe_timeout: Duration::from_secs(3_600),
            ..BreakerOptions::default()
        };
        let mut breaker = CircuitBreaker::open(options);
        let mut now = Timestamp::ZERO;
        let mut calls: Vec<BreakerPass> = Vec::new();
        let mut failures = 0;
        let mut probes = 0;
        for (elapsed, outcome, starts) in steps {
            now = now + Duration::from_millis(elapsed);
            if starts {
                let pass = breaker.pass(now);
                if failures >= options.failures {
                    probes += u32::from(pass.is_some());
                    prop_assert!(probes <= 1);
                } else {
                    prop_assert!(pass.is_some(), "a closed breaker lets every call pass");
                }
                // Only calls of the present opening count; older ones are left to end unseen.
                if pass.is_some() && probes == 1 {
                    calls.clear();
                }
                calls.extend(pass);
            } else if let Some(pass) = calls.pop() {
                breaker.settle(now, pass, outcome);
                match outcome {
                    CallOutcome::Answered => failures = 0,
                    CallOutcome::Failed => failures += 1,
                    CallOutcome::Inconclusive => {}
                }
                if probes == 1 {
                    probes = 0;
                } else if failures >= options.failures {
                    calls.clear();
                }
            }
        }
    }
}

fn failing_breaker() -> (CircuitBreaker, Timestamp) {
    let mut breaker = CircuitBreaker::open(BreakerOptions::default());
    for _ in 0..BreakerOptions::default().failures {
        let pass = breaker.pass(Timestamp::ZERO).expect("closed");
        breaker.settle(Timestamp::ZERO, pass, CallOutcome::Failed);
    }
    (breaker, Timestamp::ZERO)
}

#[test]
fn pause_doubles_with_each_failed_probe_up_to_a_limit() {
    let (mut breaker, mut now) = failing_breaker();
    let mut pauses = Vec::new();
    for _ in 0..7 {
        let opened = now;
        while !breaker.would_pass(now) {
            now = now + Duration::from_millis(100);
        }
        pauses.push(now.since(opened).as_millis());
        let probe = breaker.pass(now).expect("a probe");
        breaker.settle(now, probe, CallOutcome::Failed);
    }
    insta::assert_debug_snapshot!(pauses, @r"
    [
        500,
        1000,
        2000,
        4000,
        8000,
        10000,
        10000,
    ]
    ");
}

#[test]
fn answer_of_a_call_from_before_the_breaker_opened_does_not_close_it() {
    let mut breaker = CircuitBreaker::open(BreakerOptions::default());
    let old = breaker.pass(Timestamp::ZERO).expect("closed");
    for _ in 0..BreakerOptions::default().failures {
        let pass = breaker.pass(Timestamp::ZERO).expect("closed");
        breaker.settle(Timestamp::ZERO, pass, CallOutcome::Failed);
    }
    let probing = Timestamp::ZERO + BreakerOptions::default().shortest_pause;
    let _probe = breaker.pass(probing).expect("a probe");
    breaker.settle(probing, old, CallOutcome::Answered);
    assert!(!breaker.would_pass(probing));
}

#[test]
fn probe_that_never_ends_gives_way_to_another() {
    let (mut breaker, opened) = failing_breaker();
    let options = BreakerOptions::default();
    let probing = opened + options.shortest_pause;
    let lost = breaker.pass(probing).expect("a probe");
    assert!(breaker.pass(probing).is_none());
    let later = probing + options.probe_timeout;
    let second = breaker.pass(later).expect("another probe");
    drop(lost);
    breaker.settle(later, second, CallOutcome::Answered);
    assert!(breaker.pass(later).is_some() && breaker.pass(later).is_some());
}
