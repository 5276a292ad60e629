//! Tests of the load limiter against a simulated weight store that slows down under concurrent
//! loads.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::load_limiter::{LoadLimiter, LoadTicket};

/// Number of concurrent loads that the store serves at full speed.
const FULL_SPEED_LOADS: usize = 8;

/// Time of one load at full speed, in milliseconds.
const LOAD_MS: f64 = 250.0;

/// Time that a caller waits for its load, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;

/// A store that shares its speed among the loads in progress.
#[derive(Default)]
struct SlowingStore {
    loads: BTreeMap<LoadTicket, (u64, f64)>,
}

impl SlowingStore {
    /// Advances by one millisecond and returns the loads that ended, with their start times.
    fn step(&mut self) -> Vec<(LoadTicket, u64)> {
        let speed = (FULL_SPEED_LOADS as f64 / self.loads.len() as f64).min(1.0);
        for (_, remaining_ms) in self.loads.values_mut() {
            *remaining_ms -= speed;
        }
        let ended: Vec<(LoadTicket, u64)> = self
            .loads
            .iter()
            .filter(|(_, (_, remaining_ms))| *remaining_ms <= 0.0)
            .map(|(ticket, (started, _))| (*ticket, *started))
            .collect();
        for (ticket, _) in &ended {
            self.loads.remove(ticket);
        }
        ended
    }
}

/// Numbers of calls by the outcome of their loads.
#[derive(Debug, Default)]
struct CallCounts {
    in_time: u32,
    late: u32,
}

/// Simulates `burst` cold calls at once and then one every `every_ms`, and counts those whose load
/// ends within their maximum wait.
fn simulate(limited: bool, burst: u32, every_ms: u64) -> CallCounts {
    let mut limiter = LoadLimiter::default();
    let mut store = SlowingStore::default();
    let mut requested: BTreeMap<LoadTicket, u64> = BTreeMap::new();
    let mut counts = CallCounts::default();
    for now in 0..20_000_u64 {
        let arrivals = match now {
            0 => burst,
            now if now < 10_000 && now % every_ms == 0 => 1,
            _ => 0,
        };
        for _ in 0..arrivals {
            requested.insert(limiter.enqueue(1), now);
        }
        let overdue: Vec<LoadTicket> = requested
            .iter()
            .filter(|(_, at)| now - **at > MAX_WAIT_MS)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in overdue {
            if limiter.cancel(ticket) {
                requested.remove(&ticket);
                counts.late += 1;
            }
        }
        while let Some(ticket) = limiter.try_start() {
            store.loads.insert(ticket, (now, LOAD_MS));
        }
        if !limited {
            // Without a limiter every load starts when it is requested.
            for (ticket, at) in &requested {
                if *at == now && limiter.cancel(*ticket) {
                    store.loads.insert(*ticket, (now, LOAD_MS));
                }
            }
        }
        for (ticket, started) in store.step() {
            let duration = Duration::from_millis(now - started);
            limiter.finish(Timestamp::from_millis(now), Some(duration));
            let Some(at) = requested.remove(&ticket) else {
                continue;
            };
            if now - at <= MAX_WAIT_MS {
                counts.in_time += 1;
            } else {
                counts.late += 1;
            }
        }
    }
    counts
}

#[test]
fn limited_loads_serve_more_calls_of_a_cold_burst_in_time_than_unlimited_loads() {
    let unlimited = simulate(false, 120, 40);
    let limited = simulate(true, 120, 40);
    assert!(
        limited.in_time > unlimited.in_time + 20,
        "limited {limited:?}, unlimited {unlimited:?}"
    );
}

#[test]
fn steady_calls_within_the_rate_of_the_store_are_served_in_time() {
    let limited = simulate(true, 1, 50);
    assert!(limited.late == 0, "{limited:?}");
}

#[test]
fn waiting_loads_start_by_priority_and_then_by_age() {
    let mut limiter = LoadLimiter::default();
    while limiter.limit().floor() > 0.0 && {
        limiter.enqueue(9);
        limiter.try_start().is_some()
    } {}
    let older = limiter.enqueue(2);
    let urgent = limiter.enqueue(0);
    let newer = limiter.enqueue(2);
    limiter.finish(Timestamp::ZERO, None);
    assert_eq!(limiter.try_start(), Some(urgent));
    limiter.finish(Timestamp::ZERO, None);
    assert_eq!(limiter.try_start(), Some(older));
    limiter.finish(Timestamp::ZERO, None);
    assert_eq!(limiter.try_start(), Some(newer));
}

#[test]
fn slow_loads_never_reduce_the_limit_below_one() {
    let mut limiter = LoadLimiter::default();
    for second in 0..200 {
        limiter.enqueue(0);
        assert!(limiter.try_start().is_some());
        limiter.finish(
            Timestamp::from_millis(second * 1_000),
            Some(Duration::from_secs(9)),
        );
    }
    assert!(limiter.limit() >= 1.0);
}

/// Some loads are served from the engine's cache and take a fraction of the time. They say nothing
/// about the store, and must not make typical loads look slow.
#[test]
fn cached_loads_do_not_reduce_the_limit() {
    let mut limiter = LoadLimiter::default();
    for index in 0..200_u64 {
        limiter.enqueue(0);
        assert!(limiter.try_start().is_some());
        let duration_ms = if index % 5 == 0 { 30 } else { 262 };
        let now = Timestamp::from_millis(index * 400);
        limiter.finish(now, Some(Duration::from_millis(duration_ms)));
    }
    assert!(limiter.limit() >= 8.0, "limit {}", limiter.limit());
}

/// Loads of a larger adapter take longer than the assumed time, however few are in progress.
#[test]
fn constantly_longer_loads_do_not_reduce_the_limit() {
    let mut limiter = LoadLimiter::default();
    for index in 0..120_u64 {
        limiter.enqueue(0);
        assert!(limiter.try_start().is_some());
        let now = Timestamp::from_millis(index * 1_000);
        limiter.finish(now, Some(Duration::from_millis(800)));
    }
    assert!(limiter.limit() >= 4.0, "limit {}", limiter.limit());
}

#[test]
fn the_expected_wait_follows_recent_load_times() {
    let mut limiter = LoadLimiter::default();
    for second in 0..20 {
        limiter.enqueue(0);
        limiter.try_start();
        limiter.finish(
            Timestamp::from_millis(second * 1_000),
            Some(Duration::from_secs(2)),
        );
    }
    for _ in 0..10 {
        limiter.enqueue(0);
    }
    assert!(
        limiter.expected_wait() > Duration::from_secs(2),
        "{:?}",
        limiter.expected_wait()
    );
}
