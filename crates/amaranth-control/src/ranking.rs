//! Rendezvous hashing: every process computes alike which live process runs a shared task.

use amaranth_core::digest::hash64;
use amaranth_core::ids::ProcessId;
use smallvec::SmallVec;
use strum::{Display, IntoStaticStr};

/// A task that one process of a scope runs at a time. Two owners at the same time do no harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SharedTask {
    /// Granting permits for adapter loads.
    LoadBroker,
    /// Appending snapshots of the configuration before the log's retention expires.
    ConfigurationSnapshot,
    /// Publishing the free capacity of this data centre to the other ones.
    Summary,
}

/// The candidates for a task, best first.
pub type RankedProcesses<'a> = SmallVec<[&'a ProcessId; 8]>;

/// Returns the score of `process` for `task` in `scope`. The process with the highest score owns
/// the task.
fn score(task: SharedTask, scope: &str, process: &ProcessId) -> u64 {
    let task: &'static str = task.into();
    let seed = hash64(hash64(0, task.as_bytes()), scope.as_bytes());
    hash64(seed, process.as_str().as_bytes())
}

/// Returns the live processes in the order in which they own `task` in `scope`.
pub fn rank<'a>(
    task: SharedTask,
    scope: &str,
    live: impl IntoIterator<Item = &'a ProcessId>,
) -> RankedProcesses<'a> {
    let mut ranked: RankedProcesses<'a> = live.into_iter().collect();
    // Equal scores are ordered by name, so that the result does not depend on the input's order.
    ranked.sort_unstable_by(|left, right| {
        let key = |process: &ProcessId| score(task, scope, process);
        key(right).cmp(&key(left)).then_with(|| left.cmp(right))
    });
    ranked.dedup();
    ranked
}

/// Returns the live process that owns `task` in `scope`, or `None` if no process is live.
pub fn owner<'a>(
    task: SharedTask,
    scope: &str,
    live: impl IntoIterator<Item = &'a ProcessId>,
) -> Option<&'a ProcessId> {
    live.into_iter()
        .max_by_key(|process| (score(task, scope, process), std::cmp::Reverse(*process)))
}
