//! The fault schedule: each kind of fault once alone, then pairs, in an order drawn from a seed.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use smallvec::SmallVec;
use strum::IntoEnumIterator;

use crate::faults::fault_kind::FaultKind;

/// Time between the start of a run and its first fault.
const WARM_UP: Duration = Duration::from_secs(3);

/// Duration of a fault window.
const WINDOW_TIME: Duration = Duration::from_secs(3);

/// Time without faults between two windows.
const PAUSE: Duration = Duration::from_secs(1);

/// A period of a run in which one or several faults are active together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FaultWindow {
    /// The start of the window, since the start of the run.
    pub begin: Duration,
    /// The end of the window, since the start of the run.
    pub end: Duration,
    /// The faults that are active in the window.
    pub faults: SmallVec<[FaultKind; 2]>,
}

impl fmt::Display for FaultWindow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<String> = self.faults.iter().map(FaultKind::to_string).collect();
        formatter.write_str(&names.join(" + "))
    }
}

/// The fault windows of a run, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FaultSchedule {
    windows: Vec<FaultWindow>,
}

impl FaultSchedule {
    /// Draws as many windows as fit into `duration`.
    ///
    /// If `only` is empty, each kind of fault occurs once alone, then random pairs follow.
    /// Otherwise every window has exactly the faults of `only`.
    pub fn draw(seed: u64, duration: Duration, only: &[FaultKind]) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut singles: Vec<FaultKind> = FaultKind::iter().collect();
        singles.shuffle(&mut random);
        let mut windows = Vec::new();
        let mut begin = WARM_UP;
        while begin + WINDOW_TIME <= duration {
            let faults = match (only, singles.pop()) {
                ([], Some(single)) => SmallVec::from_slice(&[single]),
                ([], None) => draw_pair(&mut random),
                (only, _) => SmallVec::from_slice(only),
            };
            let end = begin + WINDOW_TIME;
            windows.push(FaultWindow { begin, end, faults });
            begin = end + PAUSE;
        }
        Self { windows }
    }

    /// Returns the windows in the order of their start.
    pub fn windows(&self) -> &[FaultWindow] {
        &self.windows
    }

    /// Returns the end of the last window, or the warm-up time if there is no window.
    pub fn end(&self) -> Duration {
        self.windows.last().map_or(WARM_UP, |window| window.end)
    }
}

/// Draws two different kinds of fault.
fn draw_pair(random: &mut StdRng) -> SmallVec<[FaultKind; 2]> {
    let kinds: Vec<FaultKind> = FaultKind::iter().collect();
    let first = random.random_range(0..kinds.len());
    let second = (first + random.random_range(1..kinds.len())) % kinds.len();
    SmallVec::from_slice(&[kinds[first], kinds[second]])
}
