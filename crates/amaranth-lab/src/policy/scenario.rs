//! The built-in scenarios: shifts of popularity and faults.

use std::time::Duration;

/// How popularity or rate changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShiftKind {
    /// Not at all.
    None,
    /// Every popular adapter trades places with an unpopular one at this time.
    HotSetReplaced(Duration),
    /// The rate rises to four times for a minute, again and again.
    ClassPeaks,
    /// One popular adapter after another trades places with an unpopular one.
    SlowDrift,
}

/// What fails during part of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Nothing.
    None,
    /// One engine restarts empty.
    EngineRestart,
    /// Loads take four times as long and the store allows half as many.
    SlowStore,
    /// No load ends well.
    StoreOut,
    /// The engines of the last region can't be reached.
    RegionCut,
}

/// One scenario.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplayScenario {
    /// Its name in reports.
    pub name: &'static str,
    /// The Zipf exponent of popularity.
    pub exponent: f64,
    /// How popularity shifts.
    pub shift: ShiftKind,
    /// What fails.
    pub fault: FaultKind,
    /// When the fault begins.
    pub fault_from: Duration,
    /// When it ends.
    pub fault_until: Duration,
    /// How long requests arrive.
    pub length: Duration,
    /// Arrivals before this time only warm the fleet.
    pub warm_up: Duration,
}

/// When the hot set is replaced.
const SHIFT_AT: Duration = Duration::from_secs(400);

impl ReplayScenario {
    const fn base(name: &'static str, exponent: f64) -> Self {
        Self {
            name,
            exponent,
            shift: ShiftKind::None,
            fault: FaultKind::None,
            fault_from: Duration::from_secs(400),
            fault_until: Duration::from_secs(580),
            length: Duration::from_secs(900),
            warm_up: Duration::from_secs(180),
        }
    }

    /// Returns the scenario of a trace: nothing shifts or fails beyond what the trace holds.
    pub const fn of_trace() -> Self {
        Self {
            warm_up: Duration::ZERO,
            ..Self::base("trace", 1.0)
        }
    }

    const fn with_shift(name: &'static str, exponent: f64, shift: ShiftKind) -> Self {
        Self {
            shift,
            ..Self::base(name, exponent)
        }
    }

    const fn with_fault(name: &'static str, fault: FaultKind) -> Self {
        Self {
            fault,
            ..Self::base(name, 1.0)
        }
    }
}

/// Returns the scenarios in the order of the report.
pub fn built_in() -> Vec<ReplayScenario> {
    let replaced = ShiftKind::HotSetReplaced(SHIFT_AT);
    vec![
        ReplayScenario::base("steady-0.7", 0.7),
        ReplayScenario::base("steady-1.0", 1.0),
        ReplayScenario::base("steady-1.3", 1.3),
        ReplayScenario::with_shift("hot-set-replaced-0.7", 0.7, replaced),
        ReplayScenario::with_shift("hot-set-replaced-1.0", 1.0, replaced),
        ReplayScenario::with_shift("hot-set-replaced-1.3", 1.3, replaced),
        ReplayScenario::with_shift("class-peaks-0.7", 0.7, ShiftKind::ClassPeaks),
        ReplayScenario::with_shift("class-peaks-1.0", 1.0, ShiftKind::ClassPeaks),
        ReplayScenario::with_shift("class-peaks-1.3", 1.3, ShiftKind::ClassPeaks),
        ReplayScenario::with_shift("slow-drift-0.7", 0.7, ShiftKind::SlowDrift),
        ReplayScenario::with_shift("slow-drift-1.0", 1.0, ShiftKind::SlowDrift),
        ReplayScenario::with_shift("slow-drift-1.3", 1.3, ShiftKind::SlowDrift),
        ReplayScenario::with_fault("engine-restart", FaultKind::EngineRestart),
        ReplayScenario::with_fault("slow-store", FaultKind::SlowStore),
        ReplayScenario::with_fault("store-out", FaultKind::StoreOut),
        ReplayScenario::with_fault("region-cut", FaultKind::RegionCut),
    ]
}
