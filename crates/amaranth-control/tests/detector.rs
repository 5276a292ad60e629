//! Tests of the failure detectors, with the published timer algorithm as the reference for the
//! averaged one.

use std::time::Duration;

use amaranth_control::detector::{
    ArrivalDetector, ArrivalOptions, AveragedDetector, AveragedOptions, FailureDetector,
    FixedDetector, QuantileDetector, QuantileOptions,
};
use amaranth_core::time::Timestamp;
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, proptest};
use proptest::test_runner::RngSeed;
use proptest::{prop_assert, prop_assert_eq};

const INTERVAL: Duration = Duration::from_secs(1);

/// The receiver of the paper, Algorithm 2, line by line, with a timer and a dirty bit. Times are in
/// microseconds.
struct TimerDetector {
    last: u64,
    expect: u64,
    dirty: bool,
    handover: Option<u64>,
}

impl TimerDetector {
    fn new(now: u64) -> Self {
        Self {
            last: now,
            expect: now + 1_000_000,
            dirty: false,
            handover: None,
        }
    }

    /// Fires the timer as often as it is due up to `now`.
    fn run_until(&mut self, now: u64) {
        while self.handover.is_none() && self.expect <= now {
            let current = self.expect;
            if self.dirty {
                self.handover = Some(current);
            } else {
                self.dirty = true;
                self.expect = current + (current - self.last);
            }
        }
    }

    fn record_heartbeat(&mut self, now: u64) {
        self.run_until(now);
        // A peer that was handed over and sends heartbeats again keeps its state.
        self.handover = None;
        self.expect = now + ((now - self.last) + (self.expect - self.last)) / 2;
        self.last = now;
        self.dirty = false;
    }
}

fn all_detectors() -> Vec<Box<dyn FailureDetector>> {
    vec![
        Box::new(FixedDetector::new(3 * INTERVAL)),
        Box::new(AveragedDetector::new(AveragedOptions::paper(INTERVAL))),
        Box::new(QuantileDetector::new(QuantileOptions {
            window: 16,
            quantile: 0.99,
            factor: 2.0,
            initial: 3 * INTERVAL,
        })),
        Box::new(ArrivalDetector::new(ArrivalOptions {
            interval: INTERVAL,
            window: 16,
            margin: 2 * INTERVAL,
        })),
    ]
}

/// Returns the timeout of a [`QuantileDetector`], computed by sorting the last gaps each time.
fn naive_timeout(gaps: &[Duration], options: QuantileOptions) -> Duration {
    if gaps.len() < options.window {
        return options.initial;
    }
    let mut window = gaps[gaps.len() - options.window..].to_vec();
    window.sort();
    let last = window.len() - 1;
    window[(last as f64 * options.quantile).round() as usize].mul_f64(options.factor)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn averaged_detector_suspects_a_peer_when_the_timers_of_the_paper_hand_over(
        gaps in vec(1_u64..5_000_000, 1..40),
    ) {
        let mut detector = AveragedDetector::new(AveragedOptions::paper(INTERVAL));
        let mut timers = TimerDetector::new(0);
        detector.record_heartbeat(Timestamp::ZERO, 0);
        let mut now = 0;
        for (index, gap) in gaps.iter().enumerate() {
            now += gap;
            timers.run_until(now - 1);
            let suspect = detector
                .suspect_at()
                .expect("a heartbeat was recorded")
                .as_micros();
            // The reference halves whole microseconds, the detector halves exact durations.
            let tolerance = 64;
            if let Some(handover) = timers.handover {
                prop_assert!(
                    suspect.abs_diff(handover) <= tolerance,
                    "suspect at {suspect}, handed over at {handover}"
                );
            } else {
                prop_assert!(
                    suspect + tolerance >= now,
                    "suspect at {suspect}, heartbeat at {now}"
                );
            }
            timers.record_heartbeat(now);
            detector.record_heartbeat(Timestamp::from_micros(now), index as u64 + 1);
        }
    }

    #[test]
    fn quantile_detector_agrees_with_a_full_sort(
        gaps in vec(1_u64..5_000_000, 1..80),
    ) {
        let options = QuantileOptions {
            window: 16,
            quantile: 0.9,
            factor: 2.0,
            initial: 3 * INTERVAL,
        };
        let mut detector = QuantileDetector::new(options);
        detector.record_heartbeat(Timestamp::ZERO, 0);
        let mut now = Timestamp::ZERO;
        let mut recorded_gaps = Vec::new();
        for (index, gap) in gaps.iter().enumerate() {
            let gap = Duration::from_micros(*gap);
            now = now + gap;
            recorded_gaps.push(gap);
            detector.record_heartbeat(now, index as u64 + 1);
            prop_assert_eq!(
                detector.suspect_at(),
                Some(now + naive_timeout(&recorded_gaps, options))
            );
        }
    }

    #[test]
    fn every_detector_suspects_a_peer_that_stays_silent(
        gaps in vec(1_u64..2_000_000, 1..60),
    ) {
        for mut detector in all_detectors() {
            prop_assert_eq!(detector.suspect_at(), None);
            let mut now = Timestamp::ZERO;
            for (index, gap) in gaps.iter().enumerate() {
                now = now + Duration::from_micros(*gap);
                detector.record_heartbeat(now, index as u64);
            }
            prop_assert!(detector.is_suspect(now + Duration::from_secs(3_600)));
        }
    }
}

#[test]
fn no_detector_suspects_a_peer_with_steady_heartbeats() {
    for mut detector in all_detectors() {
        for second in 0..1_000 {
            let now = Timestamp::from_millis(second * 1_000);
            assert!(!detector.is_suspect(now));
            detector.record_heartbeat(now, second);
        }
    }
}

#[test]
fn lost_heartbeats_do_not_change_the_expected_arrival() {
    let new_detector = || {
        ArrivalDetector::new(ArrivalOptions {
            interval: INTERVAL,
            window: 16,
            margin: 2 * INTERVAL,
        })
    };
    let (mut lossless, mut lossy) = (new_detector(), new_detector());
    for second in 0..100 {
        let now = Timestamp::from_millis(second * 1_000);
        lossless.record_heartbeat(now, second);
        if second % 3 != 1 {
            lossy.record_heartbeat(now, second);
        }
    }
    assert_eq!(lossless.suspect_at(), lossy.suspect_at());
}
