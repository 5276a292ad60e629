//! Tests the generated heartbeats that failure detectors are compared on, and the scores.

use std::time::Duration;

use amaranth_control::detector::FixedDetector;
use amaranth_core::time::Timestamp;
use amaranth_lab::detect::arguments::DetectArguments;
use amaranth_lab::detect::heartbeats::{
    ArrivedHeartbeat, HeartbeatScenario, INTERVAL, LIFETIME, PeerTrace, draw_trace,
};
use amaranth_lab::detect::score::DetectorScore;
use strum::IntoEnumIterator;

fn trace_of(arrivals_ms: &[u64], crashed_at_ms: u64) -> PeerTrace {
    let heartbeats = (0..)
        .zip(arrivals_ms)
        .map(|(sequence, at)| ArrivedHeartbeat {
            at: Timestamp::from_millis(*at),
            sequence,
        });
    PeerTrace {
        heartbeats: heartbeats.collect(),
        crashed_at: Timestamp::from_millis(crashed_at_ms),
    }
}

#[test]
fn score_counts_false_suspicions_and_measures_the_detection_time() {
    let mut score = DetectorScore::default();
    let detector = FixedDetector::new(Duration::from_secs(2));
    // The peer is wrongly suspected for 3 s of a 5 s gap; the crash at 9.5 s is detected at 11 s.
    score.add_trace(
        detector,
        &trace_of(&[0, 1_000, 2_000, 7_000, 8_000, 9_000], 9_500),
    );
    assert_eq!(score.false_suspicions, 1);
    assert_eq!(score.false_suspicion_time, Duration::from_secs(3));
    assert_eq!(score.observed_time, Duration::from_millis(9_500));
    assert_eq!(score.detections, [Duration::from_millis(1_500)]);
}

#[test]
fn suspicion_after_the_crash_is_not_false() {
    let mut score = DetectorScore::default();
    let detector = FixedDetector::new(Duration::from_secs(2));
    // A heartbeat sent before the crash arrives long after it.
    score.add_trace(detector, &trace_of(&[0, 1_000, 6_000], 1_500));
    assert_eq!(score.false_suspicions, 0);
    assert_eq!(score.detections, [Duration::from_millis(6_500)]);
}

#[test]
fn same_seed_gives_same_heartbeats_in_order() {
    for scenario in HeartbeatScenario::iter() {
        let trace = draw_trace(scenario, 7);
        assert_eq!(trace, draw_trace(scenario, 7), "{scenario}");
        assert_ne!(trace, draw_trace(scenario, 8), "{scenario}");
        let in_order = |pair: &[ArrivedHeartbeat]| {
            pair[0].at <= pair[1].at && pair[0].sequence < pair[1].sequence
        };
        assert!(trace.heartbeats.windows(2).all(in_order), "{scenario}");
        let lifetime = Timestamp::ZERO + LIFETIME;
        assert!(lifetime.since(trace.crashed_at) <= INTERVAL, "{scenario}");
    }
}

#[test]
fn each_disturbance_changes_the_heartbeats() {
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
        let keeps_gaps = matches!(
            scenario,
            HeartbeatScenario::Quiet | HeartbeatScenario::Changes
        );
        let gap = longest_gap(scenario);
        assert!(
            keeps_gaps || gap > INTERVAL + Duration::from_millis(200),
            "{scenario} {gap:?}"
        );
    }
    let count = |scenario| draw_trace(scenario, 1).heartbeats.len();
    assert!(count(HeartbeatScenario::Changes) > count(HeartbeatScenario::Quiet));
    assert!(count(HeartbeatScenario::Loss) < count(HeartbeatScenario::Quiet));
}

#[test]
fn arguments_are_parsed_and_malformed_ones_are_refused() {
    let parse = |words: &[&str]| DetectArguments::parse(words.iter().map(Into::into));
    let parsed = parse(&["--seed", "9", "--days", "2", "--json"]);
    let expected = DetectArguments {
        seed: 9,
        days: 2,
        json: true,
    };
    assert_eq!(
        parsed.expect("the arguments are well formed"),
        Some(expected)
    );
    assert_eq!(
        parse(&["--help"]).expect("the arguments are well formed"),
        None
    );
    for malformed in [
        vec!["--days", "0"],
        vec!["--days", "x"],
        vec!["--hours", "1"],
    ] {
        assert!(parse(&malformed).is_err(), "{malformed:?}");
    }
}
