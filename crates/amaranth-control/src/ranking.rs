//! Which live process holds a duty, by a ranking that all compute alike.

use amaranth_core::digest::hash64;
use amaranth_core::ids::ProcessId;
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

/// A duty that one process of a scope holds at a time. Two holders for a while are safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SharedDuty {
    /// Granting permits for adapter loads.
    LoadBroker,
    /// Appending snapshots of the configuration before the log's retention expires.
    ConfigurationSnapshot,
    /// Telling other data centres what this one has room for.
    Summary,
}

/// The candidates for a duty, best first.
pub type RankedProcesses<'a> = SmallVec<[&'a ProcessId; 8]>;

/// Returns the score of `process` for `duty` in `scope`. The highest one holds the duty.
fn score(duty: SharedDuty, scope: &str, process: &ProcessId) -> u64 {
    let duty: &'static str = duty.into();
    let seed = hash64(hash64(0, duty.as_bytes()), scope.as_bytes());
    hash64(seed, process.as_str().as_bytes())
}

/// Returns the live processes in the order in which they hold `duty` in `scope`.
pub fn rank<'a>(
    duty: SharedDuty,
    scope: &str,
    live: impl IntoIterator<Item = &'a ProcessId>,
) -> RankedProcesses<'a> {
    let mut ranked: RankedProcesses<'a> = live.into_iter().collect();
    // Equal scores fall back to the names, so that the order never depends on the input's.
    ranked.sort_unstable_by(|left, right| {
        let key = |process: &ProcessId| score(duty, scope, process);
        key(right).cmp(&key(left)).then_with(|| left.cmp(right))
    });
    ranked.dedup();
    ranked
}

/// Returns the live process that holds `duty` in `scope`.
pub fn holder<'a>(
    duty: SharedDuty,
    scope: &str,
    live: impl IntoIterator<Item = &'a ProcessId>,
) -> Option<&'a ProcessId> {
    live.into_iter()
        .max_by_key(|process| (score(duty, scope, process), std::cmp::Reverse(*process)))
}
