//! How well one detector did.

use std::time::Duration;

use amaranth_control::detector::FailureDetector;
use serde::Serialize;

use crate::detect::heartbeats::PeerTrace;

/// What one detector did over many peers.
#[derive(Debug, Clone, Default)]
pub struct DetectorScore {
    /// Suspicions of a living peer.
    pub false_suspicions: u64,
    /// Time for which living peers were suspected.
    pub wrong_time: Duration,
    /// Time that peers were watched while they lived.
    pub watched: Duration,
    /// From each death to its suspicion.
    pub detections: Vec<Duration>,
}

/// A score in figures.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ScoreFigures {
    /// Suspicions of a living peer, in a day of one peer.
    pub false_per_day: f64,
    /// The share of time for which a living peer was suspected.
    pub wrong_share: f64,
    /// The mean time to detect a death, in seconds.
    pub mean_detection_s: f64,
    /// The 99th percentile of the time to detect a death, in seconds.
    pub p99_detection_s: f64,
}

const SECONDS_PER_DAY: f64 = 86_400.0;

impl DetectorScore {
    /// Adds one peer.
    pub fn watch(&mut self, mut detector: impl FailureDetector, trace: &PeerTrace) {
        let mut suspect_at = None;
        for heartbeat in &trace.heartbeats {
            // A suspicion that begins after the death is no false one, even if a late heartbeat
            // ends it.
            if let Some(suspected) = suspect_at
                && suspected < heartbeat.at
                && suspected < trace.death
            {
                self.false_suspicions += 1;
                self.wrong_time += heartbeat.at.min(trace.death).since(suspected);
            }
            detector.record_heartbeat(heartbeat.at, heartbeat.sequence);
            suspect_at = detector.suspect_at();
        }
        let Some(first) = trace.heartbeats.first() else {
            return;
        };
        self.watched += trace.death.since(first.at);
        let suspected = suspect_at.expect("a peer was heard");
        self.detections.push(suspected.since(trace.death));
    }

    /// Returns the score in figures.
    ///
    /// # Panics
    ///
    /// Panics if no peer was watched.
    pub fn figures(&self) -> ScoreFigures {
        let mut sorted = self.detections.clone();
        sorted.sort();
        let rank = (sorted.len() * 99).div_ceil(100);
        let total: Duration = sorted.iter().sum();
        let watched = self.watched.as_secs_f64();
        ScoreFigures {
            false_per_day: self.false_suspicions as f64 * SECONDS_PER_DAY / watched,
            wrong_share: self.wrong_time.as_secs_f64() / watched,
            mean_detection_s: total.as_secs_f64() / sorted.len() as f64,
            p99_detection_s: sorted[rank - 1].as_secs_f64(),
        }
    }
}
