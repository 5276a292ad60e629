//! The time that recent calls of each route took, relative to their expected time.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;
use std::time::Duration;

/// Time per generated token at an engine with a full batch.
const TOKEN_TIME: Duration = Duration::from_millis(12);

/// Number of calls of a route that are remembered.
const MAX_SAMPLES: usize = 64;

/// Number of calls below which nothing is known of a route.
const MIN_SAMPLES: usize = 8;

/// Largest ratio that is remembered. It keeps estimates within the range of a duration.
const MAX_RATIO: f64 = 1e4;

/// Returns the expected time of a call, which is the unit of its pace: the objective, and the
/// generation of its tokens.
pub fn expected_time(objective: Duration, tokens: Option<u32>) -> Duration {
    objective + TOKEN_TIME * tokens.unwrap_or(0)
}

/// The time that a call took, in multiples of its expected time.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct PaceRatio(f64);

impl PaceRatio {
    /// Returns the ratio of the time that a call took to its expected time.
    pub fn of(took: Duration, expected: Duration) -> Self {
        let expected = expected.max(Duration::from_millis(1));
        Self((took.as_secs_f64() / expected.as_secs_f64()).min(MAX_RATIO))
    }

    /// Returns the time of a call of this pace.
    pub fn time_of(self, expected: Duration) -> Duration {
        expected.mul_f64(self.0)
    }
}

impl fmt::Display for PaceRatio {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.2}", self.0)
    }
}

impl FromStr for PaceRatio {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, ParseFloatError> {
        let ratio: f64 = text.parse()?;
        let ratio = if ratio.is_nan() { 0.0 } else { ratio };
        Ok(Self(ratio.clamp(0.0, MAX_RATIO)))
    }
}

/// The pace of a route's recent calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutePace {
    /// The pace that nine of ten calls did not exceed.
    pub usual: PaceRatio,
    /// The pace of the slowest call.
    pub slowest: PaceRatio,
}

/// The paces of the recent calls of each route.
#[derive(Debug, Default)]
pub struct PaceHistory {
    routes: HashMap<String, VecDeque<PaceRatio>>,
}

impl PaceHistory {
    /// Records a call that ended, or that was abandoned after having been sent.
    pub fn record(&mut self, route: &str, ratio: PaceRatio) {
        let samples = match self.routes.get_mut(route) {
            Some(samples) => samples,
            None => self.routes.entry(route.to_owned()).or_default(),
        };
        if samples.len() == MAX_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(ratio);
    }

    /// Returns the pace of a route's recent calls, if enough of them have ended.
    pub fn pace(&self, route: &str) -> Option<RoutePace> {
        let samples = self.routes.get(route)?;
        if samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<PaceRatio> = samples.iter().copied().collect();
        sorted.sort_unstable_by(|left, right| left.0.total_cmp(&right.0));
        Some(RoutePace {
            usual: sorted[sorted.len() * 9 / 10],
            slowest: *sorted.last()?,
        })
    }

    /// Forgets the routes for which `is_configured` does not hold.
    pub fn retain(&mut self, mut is_configured: impl FnMut(&str) -> bool) {
        self.routes.retain(|route, _| is_configured(route));
    }
}
