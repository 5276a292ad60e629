//! Scores a failure detector on the heartbeats of many peers.

use std::time::Duration;

use amaranth_control::detector::FailureDetector;
use serde::Serialize;

use crate::detect::heartbeats::PeerTrace;

/// The false suspicions and detection times of one detector over many peers.
#[derive(Debug, Clone, Default)]
pub struct DetectorScore {
    /// Number of suspicions of running peers.
    pub false_suspicions: u64,
    /// Total time for which running peers were suspected.
    pub false_suspicion_time: Duration,
    /// Total time for which running peers were observed.
    pub observed_time: Duration,
    /// Times from each crash until the peer was suspected.
    pub detections: Vec<Duration>,
}

/// The rates of false suspicion and the detection times of a [`DetectorScore`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ScoreFigures {
    /// Number of suspicions of a running peer per peer-day.
    pub false_per_day: f64,
    /// The share of the observed time for which a running peer was suspected.
    pub wrong_share: f64,
    /// The mean time to detect a crash, in seconds.
    pub mean_detection_s: f64,
    /// The 99th percentile of the time to detect a crash, in seconds.
    pub p99_detection_s: f64,
}

const SECONDS_PER_DAY: f64 = 86_400.0;

impl DetectorScore {
    /// Runs `detector` on the heartbeats of one peer and adds the outcome to the score.
    ///
    /// A peer without heartbeats is not counted.
    pub fn add_trace(&mut self, mut detector: impl FailureDetector, trace: &PeerTrace) {
        let mut suspect_at = None;
        for heartbeat in &trace.heartbeats {
            // A suspicion after the crash is correct, even if a late heartbeat ends it.
            if let Some(suspected) = suspect_at
                && suspected < heartbeat.at
                && suspected < trace.crashed_at
            {
                self.false_suspicions += 1;
                self.false_suspicion_time += heartbeat.at.min(trace.crashed_at).since(suspected);
            }
            detector.record_heartbeat(heartbeat.at, heartbeat.sequence);
            suspect_at = detector.suspect_at();
        }
        let Some(first) = trace.heartbeats.first() else {
            return;
        };
        self.observed_time += trace.crashed_at.since(first.at);
        let suspected = suspect_at.expect("a detector with a heartbeat has a suspicion time");
        self.detections.push(suspected.since(trace.crashed_at));
    }

    /// Returns the rates of false suspicion and the detection times.
    ///
    /// # Panics
    ///
    /// Panics if no peer was observed.
    pub fn figures(&self) -> ScoreFigures {
        let mut sorted = self.detections.clone();
        sorted.sort();
        let rank = (sorted.len() * 99).div_ceil(100);
        let total: Duration = sorted.iter().sum();
        let observed = self.observed_time.as_secs_f64();
        ScoreFigures {
            false_per_day: self.false_suspicions as f64 * SECONDS_PER_DAY / observed,
            wrong_share: self.false_suspicion_time.as_secs_f64() / observed,
            mean_detection_s: total.as_secs_f64() / sorted.len() as f64,
            p99_detection_s: sorted[rank - 1].as_secs_f64(),
        }
    }
}
