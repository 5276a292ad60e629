//! When which faults happen: every kind once alone, then pairs, in an order drawn from the seed.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use smallvec::SmallVec;
use strum::IntoEnumIterator;

use crate::faults::fault_kind::FaultKind;

/// Time before the first fault.
const WARM_UP: Duration = Duration::from_secs(3);

/// How long a fault lasts.
const FAULT_TIME: Duration = Duration::from_secs(3);

/// Time between two windows.
const PAUSE: Duration = Duration::from_secs(1);

/// A time in which one or two faults are in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FaultWindow {
    /// The beginning, from the beginning of the run.
    pub begin: Duration,
    /// The end.
    pub end: Duration,
    /// The faults.
    pub faults: SmallVec<[FaultKind; 2]>,
}

impl fmt::Display for FaultWindow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<String> = self.faults.iter().map(FaultKind::to_string).collect();
        formatter.write_str(&names.join(" + "))
    }
}

/// All windows of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FaultSchedule {
    windows: Vec<FaultWindow>,
}

impl FaultSchedule {
    /// Draws the windows that fit into `duration`.
    ///
    /// Without `only`, every kind comes once alone before pairs begin. With it, every window
    /// holds exactly these faults.
    pub fn draw(seed: u64, duration: Duration, only: &[FaultKind]) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut singles: Vec<FaultKind> = FaultKind::iter().collect();
        singles.shuffle(&mut random);
        let mut windows = Vec::new();
        let mut begin = WARM_UP;
        while begin + FAULT_TIME <= duration {
            let faults = match (only, singles.pop()) {
                ([], Some(single)) => SmallVec::from_slice(&[single]),
                ([], None) => draw_pair(&mut random),
                (only, _) => SmallVec::from_slice(only),
            };
            let end = begin + FAULT_TIME;
            windows.push(FaultWindow { begin, end, faults });
            begin = end + PAUSE;
        }
        Self { windows }
    }

    /// Returns the windows in order.
    pub fn windows(&self) -> &[FaultWindow] {
        &self.windows
    }

    /// Returns the end of the last window.
    pub fn end(&self) -> Duration {
        self.windows.last().map_or(WARM_UP, |window| window.end)
    }
}

/// Draws two different kinds.
fn draw_pair(random: &mut StdRng) -> SmallVec<[FaultKind; 2]> {
    let kinds: Vec<FaultKind> = FaultKind::iter().collect();
    let first = random.random_range(0..kinds.len());
    let second = (first + random.random_range(1..kinds.len())) % kinds.len();
    SmallVec::from_slice(&[kinds[first], kinds[second]])
}
