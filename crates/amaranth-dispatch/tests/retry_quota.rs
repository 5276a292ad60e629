//! Tests of the retry quotas of uncoordinated entries against the budget of the fleet.

mod support;

use std::time::Duration;

use amaranth_control::retry_budget::{RetryBudget, RetryBudgetOptions};
use amaranth_core::ids::ServiceName;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::retry_quota::{RetryLimits, RetryQuota};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, proptest};
use proptest::test_runner::RngSeed;

use support::name;

const RATIO: f64 = 0.2;
const SLACK: u32 = 100;
const WINDOW_MS: u64 = 10_000;
const ENTRIES: usize = 30;

fn limits() -> RetryLimits {
    RetryLimits {
        ratio: RATIO,
        slack: SLACK,
        window: Duration::from_millis(WINDOW_MS),
        entries: ENTRIES as u32,
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Limits one entry's retries.
trait RetryLimiter {
    fn record_call(&mut self, now: Timestamp, service: &ServiceName);
    fn acquire(&mut self, now: Timestamp, service: &ServiceName) -> bool;
}

impl RetryLimiter for RetryQuota {
    fn record_call(&mut self, now: Timestamp, service: &ServiceName) {
        Self::record_call(self, now, service);
    }

    fn acquire(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        self.allowance(now, service).acquire()
    }
}

/// A budget that ignores other entries and does not distinguish services.
struct EntryBudget(RetryBudget);

impl EntryBudget {
    fn new() -> Self {
        Self(RetryBudget::new(RetryBudgetOptions {
            retries_per_request: RATIO,
            max_saved_retries: SLACK,
        }))
    }
}

impl RetryLimiter for EntryBudget {
    fn record_call(&mut self, _: Timestamp, _: &ServiceName) {
        self.0.deposit();
    }

    fn acquire(&mut self, _: Timestamp, _: &ServiceName) -> bool {
        self.0.withdraw()
    }
}

/// One event of a fleet: calls arrive at an entry, and the entry wants to retry some.
#[derive(Debug, Clone, Copy)]
struct FleetEvent {
    at_ms: u64,
    entry: usize,
    calls: u32,
    retries: u32,
    to_first: bool,
}

fn fleet_events() -> impl Strategy<Value = Vec<FleetEvent>> {
    let event = (
        0_u64..40_000,
        any::<usize>(),
        0_u32..6,
        0_u32..12,
        any::<bool>(),
    )
        .prop_map(|(at_ms, entry, calls, retries, to_first)| FleetEvent {
            at_ms,
            entry,
            calls,
            retries,
            to_first,
        });
    proptest::collection::vec(event, 1..500).prop_map(|mut events| {
        events.sort_by_key(|event| event.at_ms);
        events
    })
}

/// The times of a service's calls and retries, in milliseconds.
#[derive(Debug, Default)]
struct ServiceLog {
    calls: Vec<u64>,
    retries: Vec<u64>,
}

fn within(times: &[u64], from: i64) -> usize {
    let window = from..from + WINDOW_MS as i64;
    times
        .iter()
        .filter(|at| window.contains(&(**at as i64)))
        .count()
}

impl ServiceLog {
    /// Returns the number of retries by which the worst window exceeds the fleet's budget.
    fn excess(&self) -> f64 {
        let window = WINDOW_MS as i64;
        let starts = self.retries.iter().map(|at| *at as i64);
        starts
            .map(|from| {
                let calls = [from, from - window / 2, from - window]
                    .map(|start| within(&self.calls, start));
                let most = calls.into_iter().max().unwrap_or(0) as f64;
                within(&self.retries, from) as f64 - RATIO * most - f64::from(SLACK)
            })
            .fold(0.0, f64::max)
    }
}

/// Simulates a fleet and returns the log of each of two services. Each entry restarts once.
fn simulate<Limiter: RetryLimiter>(
    events: &[FleetEvent],
    entries: usize,
    new_limiter: impl Fn() -> Limiter,
) -> [ServiceLog; 2] {
    let services: [ServiceName; 2] = [name("first"), name("second")];
    let mut logs = [ServiceLog::default(), ServiceLog::default()];
    let mut limiters: Vec<Limiter> = (0..entries).map(|_| new_limiter()).collect();
    for (index, event) in events.iter().enumerate() {
        let entry = event.entry % entries;
        if index % entries == entry && index / entries == entry % 3 {
            limiters[entry] = new_limiter();
        }
        let service = usize::from(!event.to_first);
        let now = at(event.at_ms);
        for _ in 0..event.calls {
            limiters[entry].record_call(now, &services[service]);
            logs[service].calls.push(event.at_ms);
        }
        for _ in 0..event.retries {
            if limiters[entry].acquire(now, &services[service]) {
                logs[service].retries.push(event.at_ms);
            }
        }
    }
    logs
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x6275_6467),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn entries_that_restart_stay_within_the_budget_of_the_fleet(
        events in fleet_events(),
        entries in 1..=ENTRIES,
    ) {
        for log in simulate(&events, entries, || RetryQuota::new(limits())) {
            prop_assert!(log.excess() <= 0.0, "{} retries beyond the budget", log.excess());
        }
    }
}

/// Returns events in which all entries want to retry all of their calls within one second.
fn retry_storm() -> Vec<FleetEvent> {
    let event = |index: usize| FleetEvent {
        at_ms: index as u64,
        entry: index,
        calls: 1,
        retries: 4,
        to_first: true,
    };
    (0..900).map(event).collect()
}

#[test]
fn independent_budgets_of_entries_exceed_the_budget_of_the_fleet() {
    let independent = simulate(&retry_storm(), ENTRIES, EntryBudget::new);
    assert!(independent[0].excess() > 0.0);
    let quotas = simulate(&retry_storm(), ENTRIES, || RetryQuota::new(limits()));
    assert!(quotas[0].excess() <= 0.0);
}

/// An entry serves 8 calls per second, and the engines of a sixth of its calls in flight freeze at
/// once. All of these calls have to be retried elsewhere within the same second.
#[test]
fn calls_of_engines_that_freeze_together_are_retried_together() {
    let service = name("s");
    let mut quota = RetryQuota::new(limits());
    for call in 0..160 {
        quota.record_call(at(call * 125), &service);
    }
    let retried = (0..10).filter(|_| quota.allowance(at(20_000), &service).acquire());
    assert_eq!(retried.count(), 10);
}

#[test]
fn retries_earned_by_one_service_are_not_spent_on_another() {
    let (busy, quiet) = (name("busy"), name("quiet"));
    let mut quota = RetryQuota::new(limits());
    for call in 0..160 {
        quota.record_call(at(call * 50), &busy);
    }
    assert!(quota.remaining(at(8_000), &busy) > 10);
    assert_eq!(quota.remaining(at(8_000), &quiet), 1);
}

#[test]
fn a_spent_retry_is_available_again_after_its_window() {
    let service = name("s");
    let mut quota = RetryQuota::new(limits());
    assert!(quota.allowance(at(0), &service).acquire());
    assert!(!quota.allowance(at(10_000), &service).acquire());
    assert!(quota.allowance(at(10_500), &service).acquire());
}

#[test]
fn a_changed_budget_holds_at_once_and_keeps_the_number_of_entries() {
    let service = name("s");
    let mut quota = RetryQuota::new(limits());
    quota.set_entries(5, at(60_000));
    assert_eq!(quota.remaining(at(0), &service), SLACK / 10);
    quota.set_limits(RetryLimits {
        slack: 20,
        ..limits()
    });
    assert_eq!(quota.remaining(at(0), &service), 2);
}
