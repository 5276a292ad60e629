//! Generates the heartbeats of one peer until it crashes, with jitter, loss and pauses.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde::Serialize;
use strum::{Display, EnumIter};

/// The interval at which agents send their announcements, which serve as heartbeats.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// The time for which one peer runs; it crashes within the last interval.
pub const LIFETIME: Duration = Duration::from_secs(3_600);

/// The shortest retransmission timeout of TCP.
const MIN_RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);

/// The disturbance of the heartbeats in one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum HeartbeatScenario {
    /// A network delay of half a millisecond with little jitter.
    Quiet,
    /// Network delays of tens of milliseconds with a long tail.
    Jitter,
    /// One heartbeat in fifty is lost and not retransmitted.
    Loss,
    /// About every ten minutes, most packets are lost for some seconds and retransmitted by TCP.
    Bursts,
    /// The peer pauses about every ten minutes, mostly for less than two seconds.
    PeerPauses,
    /// The observing process pauses in the same way, and afterwards receives all heartbeats of the
    /// pause at once.
    OwnPauses,
    /// Bursts of announcements of changes come between the regular heartbeats.
    Changes,
    /// All of the disturbances together.
    Mixed,
}

/// The share of heartbeats that are lost and not retransmitted.
const LOSS_SHARE: f64 = 0.02;

/// The share of packets that are lost during a burst.
const BURST_LOSS_SHARE: f64 = 0.6;

/// The mean time between bursts or pauses, in seconds.
const MEAN_QUIET_SECONDS: f64 = 600.0;

/// The mean length of a burst of packet loss, in seconds.
const MEAN_BURST_SECONDS: f64 = 2.0;

/// The median length of a pause, in seconds, and the standard deviation of its logarithm.
const PAUSE_SECONDS: (f64, f64) = (0.8, 0.6);

/// The longest pause, in seconds.
const MAX_PAUSE_SECONDS: f64 = 5.0;

/// The mean time between announcements during a burst of changes, in seconds.
const MEAN_CHANGE_SECONDS: f64 = 0.15;

/// The mean length of a burst of changes, in seconds.
const MEAN_CHANGE_BURST_SECONDS: f64 = 30.0;

impl HeartbeatScenario {
    /// Returns whether this scenario is `disturbance` or contains it.
    const fn includes(self, disturbance: Self) -> bool {
        self as u8 == disturbance as u8 || matches!(self, Self::Mixed)
    }
}

/// A heartbeat that reached the observing process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArrivedHeartbeat {
    /// The time at which the observing process handled the heartbeat.
    pub at: Timestamp,
    /// The sequence number of the heartbeat.
    pub sequence: u64,
}

/// The heartbeats of one peer and the time of its crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerTrace {
    /// The heartbeats that arrived, in order of time.
    pub heartbeats: Vec<ArrivedHeartbeat>,
    /// The time at which the peer crashed.
    pub crashed_at: Timestamp,
}

/// A span of time, in seconds.
#[derive(Debug, Clone, Copy)]
struct TimeSpan {
    start: f64,
    end: f64,
}

impl TimeSpan {
    fn contains(self, at: f64) -> bool {
        (self.start..self.end).contains(&at)
    }
}

/// Draws spans of time, with exponentially distributed gaps between them; returns none unless
/// `enabled`.
fn draw_spans(
    rng: &mut StdRng,
    enabled: bool,
    mut length: impl FnMut(&mut StdRng) -> f64,
) -> Vec<TimeSpan> {
    let mut spans = Vec::new();
    let mut start = exponential(rng, MEAN_QUIET_SECONDS);
    while enabled && start < LIFETIME.as_secs_f64() {
        let end = start + length(rng);
        spans.push(TimeSpan { start, end });
        start = end + exponential(rng, MEAN_QUIET_SECONDS);
    }
    spans
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    Exp::new(1.0 / mean)
        .expect("the mean is positive")
        .sample(rng)
}

fn log_normal(rng: &mut StdRng, median: f64, spread: f64) -> f64 {
    LogNormal::new(median.ln(), spread)
        .expect("the spread is finite")
        .sample(rng)
}

fn pause_length(rng: &mut StdRng) -> f64 {
    let (median, spread) = PAUSE_SECONDS;
    log_normal(rng, median, spread).min(MAX_PAUSE_SECONDS)
}

/// Returns the end of the span that contains `at`, or `at` itself if none does.
fn end_of_span(spans: &[TimeSpan], at: f64) -> f64 {
    let containing = spans.iter().find(|span| span.contains(at));
    containing.map_or(at, |span| span.end)
}

/// Draws the times at which the peer sends heartbeats: at regular intervals and at changes, but
/// never during its own pauses.
fn sending_times(rng: &mut StdRng, scenario: HeartbeatScenario, crash: f64) -> Vec<f64> {
    let pauses = draw_spans(
        rng,
        scenario.includes(HeartbeatScenario::PeerPauses),
        pause_length,
    );
    let change_bursts = draw_spans(rng, scenario.includes(HeartbeatScenario::Changes), |rng| {
        exponential(rng, MEAN_CHANGE_BURST_SECONDS)
    });
    let mut times = Vec::new();
    // A heartbeat that is due in a pause is sent at the end of the pause, and the next interval
    // starts there.
    let mut tick = rng.random::<f64>() * INTERVAL.as_secs_f64();
    while tick < crash {
        tick = end_of_span(&pauses, tick);
        times.push(tick);
        tick += INTERVAL.as_secs_f64();
    }
    for burst in change_bursts {
        let mut change = burst.start;
        while change < burst.end {
            times.push(end_of_span(&pauses, change));
            change += exponential(rng, MEAN_CHANGE_SECONDS);
        }
    }
    times.retain(|time| *time < crash);
    times.sort_by(f64::total_cmp);
    times
}

/// The path of heartbeats from the peer to the observing process.
struct HeartbeatPath {
    scenario: HeartbeatScenario,
    bursts: Vec<TimeSpan>,
    own_pauses: Vec<TimeSpan>,
    /// The latest arrival time in seconds; one connection delivers heartbeats in order.
    latest_arrival: f64,
}

impl HeartbeatPath {
    fn new(rng: &mut StdRng, scenario: HeartbeatScenario) -> Self {
        let bursts = draw_spans(rng, scenario.includes(HeartbeatScenario::Bursts), |rng| {
            exponential(rng, MEAN_BURST_SECONDS)
        });
        let own_pauses = draw_spans(
            rng,
            scenario.includes(HeartbeatScenario::OwnPauses),
            pause_length,
        );
        Self {
            scenario,
            bursts,
            own_pauses,
            latest_arrival: 0.0,
        }
    }

    /// Returns the time at which a heartbeat sent at `sent` is received, or `None` if it is lost.
    fn deliver(&mut self, rng: &mut StdRng, sent: f64) -> Option<f64> {
        if self.scenario.includes(HeartbeatScenario::Loss) && rng.random::<f64>() < LOSS_SHARE {
            return None;
        }
        let delay = if self.scenario.includes(HeartbeatScenario::Jitter) {
            log_normal(rng, 0.030, 1.2)
        } else {
            log_normal(rng, 0.0005, 0.5)
        };
        let arrived = self.transmit(rng, sent) + delay;
        let received = end_of_span(&self.own_pauses, arrived.max(self.latest_arrival));
        self.latest_arrival = received;
        Some(received)
    }

    /// Returns the time of the first transmission that is not lost. The retransmission timeout
    /// doubles with each attempt.
    fn transmit(&self, rng: &mut StdRng, sent: f64) -> f64 {
        let mut attempt = sent;
        let mut timeout = MIN_RETRANSMISSION_TIMEOUT.as_secs_f64();
        while self.bursts.iter().any(|burst| burst.contains(attempt))
            && rng.random::<f64>() < BURST_LOSS_SHARE
        {
            attempt += timeout;
            timeout *= 2.0;
        }
        attempt
    }
}

fn timestamp(seconds: f64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs_f64(seconds)
}

/// Draws the heartbeats of one peer, which crashes within the last interval of its lifetime. The
/// same seed gives the same heartbeats.
pub fn draw_trace(scenario: HeartbeatScenario, seed: u64) -> PeerTrace {
    let mut rng = StdRng::seed_from_u64(seed);
    let rng = &mut rng;
    let crash = LIFETIME.as_secs_f64() - rng.random::<f64>() * INTERVAL.as_secs_f64();
    let times = sending_times(rng, scenario, crash);
    let mut path = HeartbeatPath::new(rng, scenario);
    let mut heartbeats = Vec::with_capacity(times.len());
    for (sequence, sent) in (0..).zip(times) {
        if let Some(received) = path.deliver(rng, sent) {
            let at = timestamp(received);
            heartbeats.push(ArrivedHeartbeat { at, sequence });
        }
    }
    PeerTrace {
        heartbeats,
        crashed_at: timestamp(crash),
    }
}
