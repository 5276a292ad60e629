//! Failure detectors: the paper's algorithm against its timers, and what all promise.

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

/// The receiving side of the paper, Algorithm 2, line by line: with a timer and a dirty bit.
struct TimerDetector {
    last: u64,
    expect: u64,
    dirty: bool,
    handover: Option<u64>,
}

impl TimerDetector {
    fn init(now: u64) -> Self {
        Self {
            last: now,
            expect: now + 1_000_000,
            dirty: false,
            handover: None,
        }
    }

    /// Fires the timer as often as it is due before `now`.
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

    fn heard(&mut self, now: u64) {
        self.run_until(now);
        // A peer that was given up and comes back goes on with the same state.
        self.handover = None;
        self.expect = now + ((now - self.last) + (self.expect - self.last)) / 2;
        self.last = now;
        self.dirty = false;
    }
}

fn all_detectors() -> Vec<Box<dyn FailureDetector>> {
    vec![
        Box::new(FixedDetector::open(3 * INTERVAL)),
        Box::new(AveragedDetector::open(AveragedOptions::paper(INTERVAL))),
        Box::new(QuantileDetector::open(QuantileOptions {
            window: 16,
            quantile: 0.99,
            factor: 2.0,
            initial: 3 * INTERVAL,
        })),
        Box::new(ArrivalDetector::open(ArrivalOptions {
            interval: INTERVAL,
            window: 16,
            margin: 2 * INTERVAL,
        })),
    ]
}

/// Keeps all gaps and sorts them anew each time.
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
    fn averaged_detector_suspects_when_the_papers_timers_hand_over(
        gaps in vec(1_u64..5_000_000, 1..40),
    ) {
        let mut detector = AveragedDetector::open(AveragedOptions::paper(INTERVAL));
        let mut timers = TimerDetector::init(0);
        detector.heard(Timestamp::ZERO, 0);
        let mut now = 0;
        for (index, gap) in gaps.iter().enumerate() {
            now += gap;
            timers.run_until(now - 1);
            let suspect = detector.suspect_at().expect("heard").as_micros();
            // The algorithm halves whole microseconds, the detector exact durations.
            let tolerance = 64;
            if let Some(handover) = timers.handover {
                prop_assert!(suspect.abs_diff(handover) <= tolerance, "{suspect} {handover}");
            } else {
                prop_assert!(suspect + tolerance >= now, "{suspect} {now}");
            }
            timers.heard(now);
            detector.heard(Timestamp::from_micros(now), index as u64 + 1);
        }
    }

    #[test]
    fn quantile_detector_agrees_with_sorting_anew(
        gaps in vec(1_u64..5_000_000, 1..80),
    ) {
        let options = QuantileOptions {
            window: 16,
            quantile: 0.9,
            factor: 2.0,
            initial: 3 * INTERVAL,
        };
        let mut detector = QuantileDetector::open(options);
        detector.heard(Timestamp::ZERO, 0);
        let mut now = Timestamp::ZERO;
        let mut seen = Vec::new();
        for (index, gap) in gaps.iter().enumerate() {
            let gap = Duration::from_micros(*gap);
            now = now + gap;
            seen.push(gap);
            detector.heard(now, index as u64 + 1);
            prop_assert_eq!(detector.suspect_at(), Some(now + naive_timeout(&seen, options)));
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
                detector.heard(now, index as u64);
            }
            prop_assert!(detector.is_suspect(now + Duration::from_secs(3_600)));
        }
    }
}

#[test]
fn steady_heartbeats_raise_no_suspicion() {
    for mut detector in all_detectors() {
        for second in 0..1_000 {
            let now = Timestamp::from_millis(second * 1_000);
            assert!(!detector.is_suspect(now));
            detector.heard(now, second);
        }
    }
}

#[test]
fn lost_heartbeat_shows_in_its_number_and_not_in_the_expected_arrival() {
    let open = || {
        ArrivalDetector::open(ArrivalOptions {
            interval: INTERVAL,
            window: 16,
            margin: 2 * INTERVAL,
        })
    };
    let (mut whole, mut lossy) = (open(), open());
    for second in 0..100 {
        let now = Timestamp::from_millis(second * 1_000);
        whole.heard(now, second);
        if second % 3 != 1 {
            lossy.heard(now, second);
        }
    }
    assert_eq!(whole.suspect_at(), lossy.suspect_at());
}
