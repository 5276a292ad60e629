//! Tests of limits on calls that hold for all entries together: fleets of any size, whose entries join,
//! are lost, freeze or are cut off, and agents that restart or hand an endpoint on.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::call_limiter::{CallLimiter, CallPermit, CallRate, permit_grantor};
use amaranth_dispatch::endpoint_health::EndpointHealth;
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, proptest};
use proptest::test_runner::RngSeed;
use rstest::rstest;

use support::name;

const WINDOW_MS: u64 = 4_000;
const END_MS: u64 = 20_000;
const CUT_MS: u64 = 3_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn rate(calls: f64) -> CallRate {
    CallRate::per_second(calls).expect("the rate is valid")
}

/// The number of calls that the users allow in a window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

/// Returns the largest number of calls within any window.
fn most_in_window(sent: &[u64]) -> usize {
    let within = |from: &u64| {
        let window = *from..*from + WINDOW_MS;
        sent.iter().filter(|at| window.contains(at)).count()
    };
    sent.iter().map(within).max().unwrap_or(0)
}

/// A trouble of a fleet.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// The agent restarts and forgets what it granted.
    AgentRestart,
    /// Another agent becomes responsible; each entry learns of it within this time.
    NewGrantor(u64),
    /// An entry reaches no agent for a while, or is frozen.
    EntryCut(usize),
    /// An entry starts anew and asks at once.
    EntryStart(usize),
}

/// How entries decide whether to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// Agents grant permits.
    Permits,
    /// Each entry keeps to the limit by itself.
    OwnLimit,
}

fn troubles() -> impl Strategy<Value = Vec<(u64, Trouble)>> {
    let trouble =
        (0..4_u8, any::<usize>(), 0_u64..1_250).prop_map(|(kind, entry, spread)| match kind {
            0 => Trouble::AgentRestart,
            1 => Trouble::NewGrantor(spread),
            2 => Trouble::EntryCut(entry),
            _ => Trouble::EntryStart(entry),
        });
    // Grantors change when an engine joins or leaves, seldom twice within a window.
    proptest::collection::vec(trouble, 0..4).prop_map(|troubles| {
        let troubles = troubles.into_iter().enumerate();
        troubles
            .map(|(index, trouble)| (2_000 + 4_500 * index as u64, trouble))
            .collect()
    })
}

/// Plays entries that always want to send, and returns when they sent.
fn play(entries: usize, limit: f64, troubles: &[(u64, Trouble)], policy: Policy) -> Vec<u64> {
    let endpoint: EndpointId = name("e0");
    let mut agents: Vec<CallLimiter> = vec![CallLimiter::default()];
    let mut own: Vec<CallLimiter> = (0..entries).map(|_| CallLimiter::default()).collect();
    let mut closed_until = vec![0_u64; entries];
    let mut switch: HashMap<usize, u64> = HashMap::new();
    let mut sent = Vec::new();
    for now in (0..END_MS).step_by(10) {
        for (_, trouble) in troubles.iter().filter(|(at, _)| *at == now) {
            match trouble {
                Trouble::AgentRestart => {
                    let newest = agents.len() - 1;
                    agents[newest] = CallLimiter::default();
                }
                Trouble::NewGrantor(spread) => {
                    agents.push(CallLimiter::default());
                    for entry in 0..entries {
                        let learned_at = now + spread * (entry as u64 % 7) / 6;
                        switch.insert(entry, learned_at);
                    }
                }
                Trouble::EntryCut(entry) => closed_until[entry % entries] = now + CUT_MS,
                Trouble::EntryStart(entry) => closed_until[entry % entries] = now,
            }
        }
        for entry in 0..entries {
            if closed_until[entry] > now {
                continue;
            }
            let knows_newest = switch.get(&entry).is_none_or(|learned| *learned <= now);
            let agent = agents.len() - 1 - usize::from(!knows_newest);
            let limiter = match policy {
                Policy::Permits => &mut agents[agent],
                Policy::OwnLimit => &mut own[entry],
            };
            match limiter.acquire(at(now), &endpoint, rate(limit)) {
                CallPermit::Granted => sent.push(now),
                CallPermit::Denied(wait) => {
                    closed_until[entry] = now + wait.as_millis() as u64;
                }
            }
        }
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: RngSeed::Fixed(25),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_limit_holds_in_every_window(
        entries in 1_usize..=400,
        limit in 0.2_f64..40.0,
        troubles in troubles(),
    ) {
        let sent = play(entries, limit, &troubles, Policy::Permits);
        let most = most_in_window(&sent);
        prop_assert!(most <= allowed(limit), "{most} calls, allowed are {}", allowed(limit));
    }
}

#[rstest]
#[case::one_entry(1, 2.0)]
#[case::many_entries(68, 2.1)]
#[case::more_entries_than_calls(400, 1.0)]
#[case::a_high_limit(30, 40.0)]
fn a_limit_is_used_up_while_there_is_demand(#[case] entries: usize, #[case] limit: f64) {
    let sent = play(entries, limit, &[], Policy::Permits);
    let possible = limit * END_MS as f64 / 1_000.0;
    assert!(
        sent.len() as f64 >= 0.75 * possible,
        "{} of {possible}",
        sent.len()
    );
}

#[test]
fn entries_that_keep_to_the_limit_by_themselves_exceed_it_together() {
    let sent = play(3, 2.0, &[], Policy::OwnLimit);
    assert!(most_in_window(&sent) > allowed(2.0));
}

#[test]
fn an_agent_is_asked_about_as_often_as_it_can_grant() {
    let mut limiter = CallLimiter::default();
    let mut closed_until = vec![0_u64; 330];
    let mut questions = 0;
    for now in (0..END_MS).step_by(10) {
        for closed in closed_until.iter_mut().filter(|closed| **closed <= now) {
            questions += 1;
            if let CallPermit::Denied(wait) = limiter.acquire(at(now), &name("e0"), rate(10.0)) {
                *closed = now + wait.as_millis() as u64;
            }
        }
    }
    // Each entry asks about every two seconds, the longest wait.
    let bound = 330 * END_MS / 2_000 + 330 + 10 * END_MS / 1_000;
    assert!(
        questions <= 2 * bound,
        "{questions} questions, expected about {bound}"
    );
}

#[test]
fn the_lowest_rate_counts_until_all_entries_know_another() {
    let mut limiter = CallLimiter::default();
    let endpoint: EndpointId = name("e0");
    let mut granted = 0;
    for now in (0..4_000).step_by(10) {
        let stated = if now % 500 == 0 { 1.0 } else { 50.0 };
        let permit = limiter.acquire(at(now), &endpoint, rate(stated));
        granted += usize::from(permit == CallPermit::Granted);
    }
    assert!(granted <= allowed(1.0), "{granted}");
}

#[test]
fn a_limit_of_zero_lets_a_call_find_out_whether_it_has_ended() {
    let sent = play(50, 0.0, &[], Policy::Permits);
    assert!(!sent.is_empty());
    assert!(most_in_window(&sent) <= allowed(0.0), "{sent:?}");
}

#[test]
fn entries_that_know_the_same_engines_ask_the_same_agent() {
    let engines: Vec<EndpointId> = (0..20).map(|number| name(&format!("e{number}"))).collect();
    let chosen = permit_grantor(&name("p0"), engines.iter());
    assert!(chosen.is_some());
    assert_eq!(chosen, permit_grantor(&name("p0"), engines.iter().rev()));
    let others = engines.iter().filter(|engine| Some(*engine) != chosen);
    let without_another = engines
        .iter()
        .skip(1)
        .filter(|engine| Some(*engine) != chosen);
    assert!(permit_grantor(&name("p0"), others).is_some());
    assert_ne!(permit_grantor(&name("p0"), without_another), chosen);
}

#[rstest]
#[case::whole("2", Some(2.0))]
#[case::decimal("2.1", Some(2.1))]
#[case::none("0", Some(0.0))]
#[case::negative("-1", None)]
#[case::infinite("inf", None)]
#[case::not_a_number("NaN", None)]
#[case::text("many", None)]
fn rates_are_decimal_numbers(#[case] text: &str, #[case] calls: Option<f64>) {
    let parsed = text.parse::<CallRate>().ok();
    assert_eq!(parsed.map(CallRate::as_per_second), calls);
    if let Some(parsed) = parsed {
        assert_eq!(parsed.to_string().parse::<CallRate>().ok(), Some(parsed));
    }
}

#[test]
fn an_answer_without_a_limit_ends_one_that_its_call_knew() {
    let mut health = EndpointHealth::default();
    health.record_limit(at(1_000), at(900), Some(rate(2.0)));
    health.record_limit(at(1_100), at(950), None);
    assert_eq!(health.limit(), Some(rate(2.0)), "the call was sent before");
    health.record_limit(at(1_200), at(1_150), Some(rate(3.0)));
    assert_eq!(health.limit(), Some(rate(3.0)));
    health.record_denied(at(1_300), Duration::from_secs(1));
    assert_eq!(health.closed_until(at(1_400)), Some(at(2_300)));
    health.record_limit(at(1_500), at(1_450), None);
    assert_eq!(health.limit(), None);
    assert_eq!(health.closed_until(at(1_500)), None);
}
