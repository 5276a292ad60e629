//! The built-in scenarios, which combine shifts of popularity and faults.

use std::time::Duration;

/// The kind of change in the popularity of adapters or in the request rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShiftKind {
    /// Nothing changes.
    None,
    /// At this time, every popular adapter swaps its rank with an unpopular one.
    HotSetReplaced(Duration),
    /// At regular intervals, the rate rises for one minute to four times the rate between the
    /// peaks.
    ClassPeaks,
    /// At regular intervals, one popular adapter swaps its rank with an unpopular one.
    SlowDrift,
}

/// The kind of fault during part of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Nothing fails.
    None,
    /// One engine restarts without adapters.
    EngineRestart,
    /// Loads take four times as long and the store allows half the rate.
    SlowStore,
    /// All loads fail.
    StoreOut,
    /// The engines of the last region are unreachable.
    RegionCut,
}

/// A scenario of a replay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplayScenario {
    /// The name in arguments and reports.
    pub name: &'static str,
    /// The Zipf exponent of popularity.
    pub exponent: f64,
    /// The shift of popularity or rate.
    pub shift: ShiftKind,
    /// The fault.
    pub fault: FaultKind,
    /// The start of the fault, measured from the start of the run.
    pub fault_from: Duration,
    /// The end of the fault, measured from the start of the run.
    pub fault_until: Duration,
    /// The time during which requests arrive.
    pub length: Duration,
    /// The time at the start in which arrivals only fill the adapter slots and are not measured.
    pub warm_up: Duration,
}

/// The time at which the hot set is replaced.
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

    /// Returns the scenario of a trace, which adds no shift, fault or warm-up to the trace.
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

/// Returns the built-in scenarios in the order of the report.
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
