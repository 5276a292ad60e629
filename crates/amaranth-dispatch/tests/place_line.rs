//! The line of calls that wait for a place.

use std::time::Duration;

use amaranth_dispatch::place_line::{PlaceLine, patience};

/// Plays a loss of all VMs: a call arrives each 20 ms for two seconds, and engines hold their model
/// again after one second. Returns how many of 100 calls are refused.
fn refused_after_a_loss(patience: impl Fn(bool) -> Duration) -> usize {
    let model_comes = Duration::from_secs(1);
    (0..100)
        .map(|call| Duration::from_millis(call * 20))
        .filter(|arrival| *arrival + patience(*arrival < model_comes) < model_comes)
        .count()
}

#[test]
fn calls_wait_for_a_model_that_all_engines_load() {
    let objective = Duration::from_secs(1);
    let refused = refused_after_a_loss(|coming| patience(objective, coming));
    let naive = refused_after_a_loss(|_| patience(objective, false));
    assert_eq!((refused, naive), (0, 20));
}

#[test]
fn the_most_urgent_and_oldest_try_first() {
    let mut line = PlaceLine::default();
    let lookups: Vec<_> = (0..8).map(|_| line.join(2)).collect();
    let report = line.join(0);
    assert!(line.may_try(report));
    assert!(line.may_try(lookups[0]));
    assert!(!line.may_try(lookups[7]));
    line.leave(report);
    line.leave(lookups[0]);
    line.leave(lookups[1]);
    assert!(line.may_try(lookups[7]));
}

#[test]
fn a_newcomer_passes_only_those_that_are_less_urgent() {
    let mut line = PlaceLine::default();
    for _ in 0..6 {
        line.join(1);
    }
    assert!(line.is_taken(1));
    assert!(line.is_taken(2));
    assert!(!line.is_taken(0));
}

/// One place becomes free at a time, and each call needs one: nobody is passed by a call that is
/// not more urgent.
#[test]
fn places_go_out_in_order() {
    let mut line = PlaceLine::default();
    let joined: Vec<_> = [2, 1, 2, 0, 1].map(|rank| (rank, line.join(rank))).into();
    let mut served = Vec::new();
    while !line.is_empty() {
        let next = joined
            .iter()
            .filter(|(_, position)| !served.contains(position))
            .map(|(_, position)| *position)
            .min()
            .expect("somebody waits");
        assert!(line.may_try(next));
        line.leave(next);
        served.push(next);
    }
    let ranks: Vec<u8> = served
        .iter()
        .filter_map(|position| joined.iter().find(|(_, joined)| joined == position))
        .map(|(rank, _)| *rank)
        .collect();
    assert_eq!(ranks, [0, 1, 1, 2, 2]);
}
