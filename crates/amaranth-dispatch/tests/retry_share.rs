//! The retry budget that entries share without talking.

mod support;

use std::time::Duration;

use amaranth_control::retry_budget::{RetryBudget, RetryBudgetOptions};
use amaranth_core::ids::ServiceName;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::retry_share::{RetryLimits, RetryShare};
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

/// Something that allows one entry's retries.
trait RetryGuard {
    fn note_call(&mut self, now: Timestamp, service: &ServiceName);
    fn withdraw(&mut self, now: Timestamp, service: &ServiceName) -> bool;
}

impl RetryGuard for RetryShare {
    fn note_call(&mut self, now: Timestamp, service: &ServiceName) {
        Self::note_call(self, now, service);
    }

    fn withdraw(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        self.allowance(now, service).withdraw()
    }
}

/// A budget that knows neither other entries nor services.
struct LoneBudget(RetryBudget);

impl LoneBudget {
    fn open() -> Self {
        Self(RetryBudget::new(RetryBudgetOptions {
            retries_per_request: RATIO,
            max_saved_retries: SLACK,
        }))
    }
}

impl RetryGuard for LoneBudget {
    fn note_call(&mut self, _: Timestamp, _: &ServiceName) {
        self.0.deposit();
    }

    fn withdraw(&mut self, _: Timestamp, _: &ServiceName) -> bool {
        self.0.withdraw()
    }
}

/// One event of a fleet: calls arrive at an entry, it wants to retry, or it starts again.
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

/// Calls and retries of a service, each with its time.
#[derive(Debug, Default)]
struct Account {
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

impl Account {
    /// Returns by how many retries some window exceeds the fleet's budget.
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

/// Plays a fleet and returns the account of each of two services. Each entry starts again once.
fn play<Guard: RetryGuard>(
    events: &[FleetEvent],
    entries: usize,
    open: impl Fn() -> Guard,
) -> [Account; 2] {
    let services: [ServiceName; 2] = [name("first"), name("second")];
    let mut accounts = [Account::default(), Account::default()];
    let mut guards: Vec<Guard> = (0..entries).map(|_| open()).collect();
    for (index, event) in events.iter().enumerate() {
        let entry = event.entry % entries;
        if index % entries == entry && index / entries == entry % 3 {
            guards[entry] = open();
        }
        let service = usize::from(!event.to_first);
        let now = at(event.at_ms);
        for _ in 0..event.calls {
            guards[entry].note_call(now, &services[service]);
            accounts[service].calls.push(event.at_ms);
        }
        for _ in 0..event.retries {
            if guards[entry].withdraw(now, &services[service]) {
                accounts[service].retries.push(event.at_ms);
            }
        }
    }
    accounts
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x6275_6467),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn entries_that_start_again_keep_the_fleets_budget(
        events in fleet_events(),
        entries in 1..=ENTRIES,
    ) {
        for account in play(&events, entries, || RetryShare::open(limits())) {
            prop_assert!(account.excess() <= 0.0, "{} beyond", account.excess());
        }
    }
}

/// All entries want to retry whatever they sent, in one second.
fn storm() -> Vec<FleetEvent> {
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
fn a_budget_for_each_entry_alone_breaks_the_fleets() {
    let naive = play(&storm(), ENTRIES, LoneBudget::open);
    assert!(naive[0].excess() > 0.0);
    let shared = play(&storm(), ENTRIES, || RetryShare::open(limits()));
    assert!(shared[0].excess() <= 0.0);
}

/// The load: an entry serves 8 calls a second, and the engines of a sixth of its running calls
/// freeze at once. All of them are to leave within the same second.
#[test]
fn calls_of_engines_that_freeze_together_leave_together() {
    let service = name("s");
    let mut share = RetryShare::open(limits());
    for call in 0..160 {
        share.note_call(at(call * 125), &service);
    }
    let moved = (0..10).filter(|_| share.allowance(at(20_000), &service).withdraw());
    assert_eq!(moved.count(), 10);
}

#[test]
fn what_one_service_earned_is_not_spent_on_another() {
    let (busy, quiet) = (name("busy"), name("quiet"));
    let mut share = RetryShare::open(limits());
    for call in 0..160 {
        share.note_call(at(call * 50), &busy);
    }
    assert!(share.left(at(8_000), &busy) > 10);
    assert_eq!(share.left(at(8_000), &quiet), 1);
}

#[test]
fn a_retry_is_earned_anew_when_its_window_is_over() {
    let service = name("s");
    let mut share = RetryShare::open(limits());
    assert!(share.allowance(at(0), &service).withdraw());
    assert!(!share.allowance(at(10_000), &service).withdraw());
    assert!(share.allowance(at(10_500), &service).withdraw());
}
