//! The heartbeats that detectors are compared on, and their scores.

use std::time::Duration;

use amaranth_control::detector::FixedDetector;
use amaranth_core::time::Timestamp;
use amaranth_lab::detect::arguments::DetectArguments;
use amaranth_lab::detect::heartbeats::{
    ArrivedHeartbeat, HeartbeatScenario, INTERVAL, LIFETIME, PeerTrace, draw_trace,
};
use amaranth_lab::detect::score::DetectorScore;
use strum::IntoEnumIterator;

fn trace_of(arrivals_ms: &[u64], death_ms: u64) -> PeerTrace {
    let heartbeats = (0..)
        .zip(arrivals_ms)
        .map(|(sequence, at)| ArrivedHeartbeat {
            at: Timestamp::from_millis(*at),
            sequence,
        });
    PeerTrace {
        heartbeats: heartbeats.collect(),
        death: Timestamp::from_millis(death_ms),
    }
}

#[test]
fn score_counts_false_suspicions_and_times_the_detection() {
    let mut score = DetectorScore::default();
    let detector = FixedDetector::new(Duration::from_secs(2));
    // One gap of 5 s is wrongly suspected for 3 s; the death at 9.5 s is noticed at 11 s.
    score.watch(
        detector,
        &trace_of(&[0, 1_000, 2_000, 7_000, 8_000, 9_000], 9_500),
    );
    assert_eq!(score.false_suspicions, 1);
    assert_eq!(score.wrong_time, Duration::from_secs(3));
    assert_eq!(score.watched, Duration::from_millis(9_500));
    assert_eq!(score.detections, [Duration::from_millis(1_500)]);
}

#[test]
fn suspicion_after_the_death_is_not_false() {
    let mut score = DetectorScore::default();
    let detector = FixedDetector::new(Duration::from_secs(2));
    // A heartbeat that was under way arrives long after the death.
    score.watch(detector, &trace_of(&[0, 1_000, 6_000], 1_500));
    assert_eq!(score.false_suspicions, 0);
    assert_eq!(score.detections, [Duration::from_millis(6_500)]);
}

#[test]
fn heartbeats_are_drawn_alike_from_one_seed_and_in_order() {
    for scenario in HeartbeatScenario::iter() {
        let trace = draw_trace(scenario, 7);
        assert_eq!(trace, draw_trace(scenario, 7), "{scenario}");
        assert_ne!(trace, draw_trace(scenario, 8), "{scenario}");
        let in_order = |pair: &[ArrivedHeartbeat]| {
            pair[0].at <= pair[1].at && pair[0].sequence < pair[1].sequence
        };
        assert!(trace.heartbeats.windows(2).all(in_order), "{scenario}");
        let lifetime = Timestamp::ZERO + LIFETIME;
        assert!(lifetime.since(trace.death) <= INTERVAL, "{scenario}");
    }
}

#[test]
fn each_fault_leaves_its_mark() {
    let longest_gap = |scenario| {
        let gaps = (0..8).flat_map(|seed| {
            let trace = draw_trace(scenario, seed);
            let gap = |pair: &[ArrivedHeartbeat]| pair[1].at.since(pair[0].at);
            trace.heartbeats.windows(2).map(gap).collect::<Vec<_>>()
        });
        gaps.max().expect("heartbeats arrive")
    };
    let quiet = longest_gap(HeartbeatScenario::Quiet);
    assert!(quiet < INTERVAL + Duration::from_millis(50), "{quiet:?}");
    for scenario in HeartbeatScenario::iter() {
        let marked = matches!(
            scenario,
            HeartbeatScenario::Quiet | HeartbeatScenario::Changes
        );
        let gap = longest_gap(scenario);
        assert!(
            marked || gap > INTERVAL + Duration::from_millis(200),
            "{scenario} {gap:?}"
        );
    }
    let count = |scenario| draw_trace(scenario, 1).heartbeats.len();
    assert!(count(HeartbeatScenario::Changes) > count(HeartbeatScenario::Quiet));
    assert!(count(HeartbeatScenario::Loss) < count(HeartbeatScenario::Quiet));
}

#[test]
fn arguments_are_checked() {
    let parse = |words: &[&str]| DetectArguments::parse(words.iter().map(Into::into));
    let parsed = parse(&["--seed", "9", "--days", "2", "--json"]);
    let expected = DetectArguments {
        seed: 9,
        days: 2,
        json: true,
    };
    assert_eq!(parsed.expect("well formed"), Some(expected));
    assert_eq!(parse(&["--help"]).expect("well formed"), None);
    for wrong in [
        vec!["--days", "0"],
        vec!["--days", "x"],
        vec!["--hours", "1"],
    ] {
        assert!(parse(&wrong).is_err(), "{wrong:?}");
    }
}
