//! Loads in turn, played against a weight store that slows down beyond some loads at once.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::load_gate::{LoadGate, LoadTicket};

/// Loads at once that the store carries at full speed.
const AT_FULL_SPEED: usize = 8;

/// Work of one load, in milliseconds at full speed.
const LOAD_MS: f64 = 250.0;

/// Time that a caller waits for its load, in milliseconds.
const PATIENCE_MS: u64 = 1_000;

/// A store that shares its speed among the loads under way.
#[derive(Default)]
struct SlowingStore {
    loads: BTreeMap<LoadTicket, (u64, f64)>,
}

impl SlowingStore {
    /// Lets a millisecond pass and returns the loads that ended, with when they began.
    fn step(&mut self) -> Vec<(LoadTicket, u64)> {
        let speed = (AT_FULL_SPEED as f64 / self.loads.len() as f64).min(1.0);
        for (_, left) in self.loads.values_mut() {
            *left -= speed;
        }
        let ended: Vec<(LoadTicket, u64)> = self
            .loads
            .iter()
            .filter(|(_, (_, left))| *left <= 0.0)
            .map(|(ticket, (began, _))| (*ticket, *began))
            .collect();
        for (ticket, _) in &ended {
            self.loads.remove(ticket);
        }
        ended
    }
}

/// What callers got.
#[derive(Debug, Default)]
struct CallersGot {
    in_time: u32,
    late: u32,
}

/// Plays a burst of `burst` cold calls and then one each `every_ms`, and counts who got a load
/// within their patience.
fn play(gated: bool, burst: u32, every_ms: u64) -> CallersGot {
    let mut gate = LoadGate::default();
    let mut store = SlowingStore::default();
    let mut asked: BTreeMap<LoadTicket, u64> = BTreeMap::new();
    let mut got = CallersGot::default();
    for now in 0..20_000_u64 {
        let arrivals = match now {
            0 => burst,
            now if now < 10_000 && now % every_ms == 0 => 1,
            _ => 0,
        };
        for _ in 0..arrivals {
            asked.insert(gate.ask(1), now);
        }
        let overdue: Vec<LoadTicket> = asked
            .iter()
            .filter(|(_, at)| now - **at > PATIENCE_MS)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in overdue {
            if gate.withdraw(ticket) {
                asked.remove(&ticket);
                got.late += 1;
            }
        }
        while let Some(ticket) = gate.grant() {
            store.loads.insert(ticket, (now, LOAD_MS));
        }
        if !gated {
            // Without a gate every load starts when it is asked for.
            for (ticket, at) in &asked {
                if *at == now && gate.withdraw(*ticket) {
                    store.loads.insert(*ticket, (now, LOAD_MS));
                }
            }
        }
        for (ticket, began) in store.step() {
            let took = Duration::from_millis(now - began);
            gate.ended(Timestamp::from_millis(now), Some(took));
            let Some(at) = asked.remove(&ticket) else {
                continue;
            };
            if now - at <= PATIENCE_MS {
                got.in_time += 1;
            } else {
                got.late += 1;
            }
        }
    }
    got
}

#[test]
fn a_burst_of_cold_calls_is_served_in_turn_rather_than_all_late() {
    let naive = play(false, 120, 40);
    let gated = play(true, 120, 40);
    assert!(
        gated.in_time > naive.in_time + 20,
        "gated {gated:?}, all at once {naive:?}"
    );
}

#[test]
fn a_steady_stream_within_the_stores_rate_is_served_in_time() {
    let gated = play(true, 1, 50);
    assert!(gated.late == 0, "{gated:?}");
}

#[test]
fn the_most_urgent_load_comes_first_and_equals_by_age() {
    let mut gate = LoadGate::default();
    while gate.limit().floor() > 0.0 && {
        gate.ask(9);
        gate.grant().is_some()
    } {}
    let late = gate.ask(2);
    let urgent = gate.ask(0);
    let early = gate.ask(2);
    gate.ended(Timestamp::ZERO, None);
    assert_eq!(gate.grant(), Some(urgent));
    gate.ended(Timestamp::ZERO, None);
    assert_eq!(gate.grant(), Some(late));
    gate.ended(Timestamp::ZERO, None);
    assert_eq!(gate.grant(), Some(early));
}

#[test]
fn one_load_is_always_allowed() {
    let mut gate = LoadGate::default();
    for second in 0..200 {
        gate.ask(0);
        assert!(gate.grant().is_some());
        gate.ended(
            Timestamp::from_millis(second * 1_000),
            Some(Duration::from_secs(9)),
        );
    }
    assert!(gate.limit() >= 1.0);
}

/// Some loads turn out to be at hand and take a fraction of the time. They say nothing of the
/// store, and usual loads must not look slow beside them.
#[test]
fn loads_that_were_at_hand_do_not_close_the_gate() {
    let mut gate = LoadGate::default();
    for index in 0..200_u64 {
        gate.ask(0);
        assert!(gate.grant().is_some());
        let took = if index % 5 == 0 { 30 } else { 262 };
        let now = Timestamp::from_millis(index * 400);
        gate.ended(now, Some(Duration::from_millis(took)));
    }
    assert!(gate.limit() >= 8.0, "limit {}", gate.limit());
}

/// Loads of a larger adapter take longer than was assumed, however few run at once.
#[test]
fn a_store_with_longer_loads_opens_the_gate_too() {
    let mut gate = LoadGate::default();
    for index in 0..120_u64 {
        gate.ask(0);
        assert!(gate.grant().is_some());
        let now = Timestamp::from_millis(index * 1_000);
        gate.ended(now, Some(Duration::from_millis(800)));
    }
    assert!(gate.limit() >= 4.0, "limit {}", gate.limit());
}

#[test]
fn the_expected_wait_follows_what_loads_take_now() {
    let mut gate = LoadGate::default();
    for second in 0..20 {
        gate.ask(0);
        gate.grant();
        gate.ended(
            Timestamp::from_millis(second * 1_000),
            Some(Duration::from_secs(2)),
        );
    }
    for _ in 0..10 {
        gate.ask(0);
    }
    assert!(
        gate.expected_wait() > Duration::from_secs(2),
        "{:?}",
        gate.expected_wait()
    );
}
