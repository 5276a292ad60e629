//! Tests of the queue of calls that wait for an adapter slot.

use std::time::Duration;

use amaranth_dispatch::slot_queue::{SlotQueue, max_wait};

/// Simulates a loss of all VMs: a call arrives every 20 ms for two seconds, and engines hold their
/// model again after one second. Returns how many of 100 calls are refused.
fn refused_after_outage(max_wait: impl Fn(bool) -> Duration) -> usize {
    let loaded_at = Duration::from_secs(1);
    (0..100)
        .map(|call| Duration::from_millis(call * 20))
        .filter(|arrival| *arrival + max_wait(*arrival < loaded_at) < loaded_at)
        .count()
}

#[test]
fn calls_wait_longer_while_every_engine_loads_the_model() {
    let objective = Duration::from_secs(1);
    let refused = refused_after_outage(|loading_model| max_wait(objective, loading_model));
    let with_short_wait = refused_after_outage(|_| max_wait(objective, false));
    assert_eq!((refused, with_short_wait), (0, 20));
}

#[test]
fn the_most_urgent_and_oldest_calls_may_try_first() {
    let mut queue = SlotQueue::default();
    let lookups: Vec<_> = (0..8).map(|_| queue.insert(2)).collect();
    let report = queue.insert(0);
    assert!(queue.may_try(report));
    assert!(queue.may_try(lookups[0]));
    assert!(!queue.may_try(lookups[7]));
    queue.remove(report);
    queue.remove(lookups[0]);
    queue.remove(lookups[1]);
    assert!(queue.may_try(lookups[7]));
}

#[test]
fn a_new_call_overtakes_only_less_urgent_calls() {
    let mut queue = SlotQueue::default();
    for _ in 0..6 {
        queue.insert(1);
    }
    assert!(queue.must_wait(1));
    assert!(queue.must_wait(2));
    assert!(!queue.must_wait(0));
}

/// One slot becomes free at a time, and each call needs one: no call is overtaken by another that
/// is not more urgent.
#[test]
fn slots_are_granted_by_priority_and_then_by_age() {
    let mut queue = SlotQueue::default();
    let queued: Vec<_> = [2, 1, 2, 0, 1]
        .map(|priority| (priority, queue.insert(priority)))
        .into();
    let mut served = Vec::new();
    while !queue.is_empty() {
        let next = queued
            .iter()
            .filter(|(_, position)| !served.contains(position))
            .map(|(_, position)| *position)
            .min()
            .expect("a queue that is not empty has a waiting call");
        assert!(queue.may_try(next));
        queue.remove(next);
        served.push(next);
    }
    let priorities: Vec<u8> = served
        .iter()
        .filter_map(|position| queued.iter().find(|(_, queued)| queued == position))
        .map(|(priority, _)| *priority)
        .collect();
    assert_eq!(priorities, [0, 1, 1, 2, 2]);
}
