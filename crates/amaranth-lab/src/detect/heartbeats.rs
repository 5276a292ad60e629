//! Heartbeats of one peer until its death, under jitter, loss and pauses.

use std::time::Duration;

use amaranth_core::time::Timestamp;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde::Serialize;
use strum::{Display, EnumIter};

/// The interval at which agents announce themselves.
pub const INTERVAL: Duration = Duration::from_secs(1);

/// How long one peer lives.
pub const LIFETIME: Duration = Duration::from_secs(3_600);

/// The shortest time after which TCP sends again.
const RETRANSMISSION: Duration = Duration::from_millis(200);

/// What befalls the heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum HeartbeatScenario {
    /// Half a millisecond between the ends, with little jitter.
    Quiet,
    /// Delays of tens of milliseconds with a long tail.
    Jitter,
    /// One heartbeat in fifty is lost for good.
    Loss,
    /// Every ten minutes or so most packets are lost for some seconds, and sent again by TCP.
    Bursts,
    /// The peer pauses every ten minutes or so, mostly for less than two seconds.
    PeerPauses,
    /// The watcher pauses in the same way and finds the heartbeats of the meantime at once.
    OwnPauses,
    /// Announcements of changes come between the regular ones, in bursts.
    Changes,
    /// All of it.
    Mixed,
}

/// The share of heartbeats that are lost for good.
const LOSS_SHARE: f64 = 0.02;

/// The share of packets that are lost during a burst.
const BURST_LOSS_SHARE: f64 = 0.6;

/// The mean time between bursts or pauses, in seconds.
const MEAN_QUIET_SECONDS: f64 = 600.0;

/// The mean length of a burst of loss, in seconds.
const MEAN_BURST_SECONDS: f64 = 2.0;

/// The median length of a pause, in seconds, and the spread of its logarithm.
const PAUSE_SECONDS: (f64, f64) = (0.8, 0.6);

/// The longest pause, in seconds.
const LONGEST_PAUSE_SECONDS: f64 = 5.0;

/// The mean time between announcements of changes while there are any, in seconds.
const MEAN_CHANGE_SECONDS: f64 = 0.15;

/// The mean length of a time with changes, in seconds.
const MEAN_BUSY_SECONDS: f64 = 30.0;

impl HeartbeatScenario {
    const fn has(self, part: Self) -> bool {
        self as u8 == part as u8 || matches!(self, Self::Mixed)
    }
}

/// One heartbeat that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ArrivedHeartbeat {
    /// When it was noticed.
    pub at: Timestamp,
    /// Its number.
    pub sequence: u64,
}

/// The heartbeats of one peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerTrace {
    /// Those that arrived, in order.
    pub heartbeats: Vec<ArrivedHeartbeat>,
    /// When the peer died.
    pub death: Timestamp,
}

/// A stretch of time, in seconds.
#[derive(Debug, Clone, Copy)]
struct Stretch {
    start: f64,
    end: f64,
}

impl Stretch {
    fn holds(self, at: f64) -> bool {
        (self.start..self.end).contains(&at)
    }
}

/// Draws stretches, each after an exponential quiet time.
fn stretches(
    rng: &mut StdRng,
    wanted: bool,
    mut length: impl FnMut(&mut StdRng) -> f64,
) -> Vec<Stretch> {
    let mut all = Vec::new();
    let mut start = exponential(rng, MEAN_QUIET_SECONDS);
    while wanted && start < LIFETIME.as_secs_f64() {
        let end = start + length(rng);
        all.push(Stretch { start, end });
        start = end + exponential(rng, MEAN_QUIET_SECONDS);
    }
    all
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    Exp::new(1.0 / mean).expect("mean is positive").sample(rng)
}

fn log_normal(rng: &mut StdRng, median: f64, spread: f64) -> f64 {
    LogNormal::new(median.ln(), spread)
        .expect("spread is finite")
        .sample(rng)
}

fn pause_length(rng: &mut StdRng) -> f64 {
    let (median, spread) = PAUSE_SECONDS;
    log_normal(rng, median, spread).min(LONGEST_PAUSE_SECONDS)
}

/// Returns the end of the stretch that holds `at`, or `at` itself.
fn after_stretch(stretches: &[Stretch], at: f64) -> f64 {
    let holding = stretches.iter().find(|stretch| stretch.holds(at));
    holding.map_or(at, |stretch| stretch.end)
}

/// Draws when the peer sends: regularly, at changes, and never during its pauses.
fn sending_times(rng: &mut StdRng, scenario: HeartbeatScenario, death: f64) -> Vec<f64> {
    let pauses = stretches(
        rng,
        scenario.has(HeartbeatScenario::PeerPauses),
        pause_length,
    );
    let busy = stretches(rng, scenario.has(HeartbeatScenario::Changes), |rng| {
        exponential(rng, MEAN_BUSY_SECONDS)
    });
    let mut times = Vec::new();
    // A tick that falls into a pause is sent at its end, and the next ones count from there.
    let mut tick = rng.random::<f64>() * INTERVAL.as_secs_f64();
    while tick < death {
        tick = after_stretch(&pauses, tick);
        times.push(tick);
        tick += INTERVAL.as_secs_f64();
    }
    for stretch in busy {
        let mut change = stretch.start;
        while change < stretch.end {
            times.push(after_stretch(&pauses, change));
            change += exponential(rng, MEAN_CHANGE_SECONDS);
        }
    }
    times.retain(|time| *time < death);
    times.sort_by(f64::total_cmp);
    times
}

/// What happens between sending and noticing.
struct HeartbeatPath {
    scenario: HeartbeatScenario,
    bursts: Vec<Stretch>,
    own_pauses: Vec<Stretch>,
    /// The newest arrival: one connection delivers in order.
    newest: f64,
}

impl HeartbeatPath {
    fn open(rng: &mut StdRng, scenario: HeartbeatScenario) -> Self {
        let bursts = stretches(rng, scenario.has(HeartbeatScenario::Bursts), |rng| {
            exponential(rng, MEAN_BURST_SECONDS)
        });
        let own_pauses = stretches(
            rng,
            scenario.has(HeartbeatScenario::OwnPauses),
            pause_length,
        );
        Self {
            scenario,
            bursts,
            own_pauses,
            newest: 0.0,
        }
    }

    /// Returns when a heartbeat sent at `sent` is noticed, or nothing if it is lost.
    fn carry(&mut self, rng: &mut StdRng, sent: f64) -> Option<f64> {
        if self.scenario.has(HeartbeatScenario::Loss) && rng.random::<f64>() < LOSS_SHARE {
            return None;
        }
        let delay = if self.scenario.has(HeartbeatScenario::Jitter) {
            log_normal(rng, 0.030, 1.2)
        } else {
            log_normal(rng, 0.0005, 0.5)
        };
        let arrived = self.retransmit(rng, sent) + delay;
        let noticed = after_stretch(&self.own_pauses, arrived.max(self.newest));
        self.newest = noticed;
        Some(noticed)
    }

    /// Returns when the try that gets through is sent; each wait is twice the last.
    fn retransmit(&self, rng: &mut StdRng, sent: f64) -> f64 {
        let mut tried = sent;
        let mut wait = RETRANSMISSION.as_secs_f64();
        while self.bursts.iter().any(|burst| burst.holds(tried))
            && rng.random::<f64>() < BURST_LOSS_SHARE
        {
            tried += wait;
            wait *= 2.0;
        }
        tried
    }
}

fn timestamp(seconds: f64) -> Timestamp {
    Timestamp::ZERO + Duration::from_secs_f64(seconds)
}

/// Draws the heartbeats of one peer, which dies within the last interval of its lifetime.
pub fn draw_trace(scenario: HeartbeatScenario, seed: u64) -> PeerTrace {
    let mut rng = StdRng::seed_from_u64(seed);
    let rng = &mut rng;
    let death = LIFETIME.as_secs_f64() - rng.random::<f64>() * INTERVAL.as_secs_f64();
    let times = sending_times(rng, scenario, death);
    let mut path = HeartbeatPath::open(rng, scenario);
    let mut heartbeats = Vec::with_capacity(times.len());
    for (sequence, sent) in (0..).zip(times) {
        if let Some(noticed) = path.carry(rng, sent) {
            let at = timestamp(noticed);
            heartbeats.push(ArrivedHeartbeat { at, sequence });
        }
    }
    PeerTrace {
        heartbeats,
        death: timestamp(death),
    }
}
