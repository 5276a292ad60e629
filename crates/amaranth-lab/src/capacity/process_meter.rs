//! Processor time by role and memory of this process, from the operating system's accounting.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::time::Duration;

use strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr};

/// The role of a thread, which its name begins with.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ThreadRole {
    /// Serves callers in the entry.
    EntryTraffic,
    /// Owns the entry's control state.
    EntryControl,
    /// Serves entries and engines in the agent.
    AgentTraffic,
    /// Owns the agent's control state.
    AgentControl,
}

/// Bytes of one page of memory.
const PAGE_BYTES: u64 = 4_096;

/// Processor time of each role since its threads began.
pub type RoleTimes = BTreeMap<ThreadRole, Duration>;

/// Reads the processor time of every role.
///
/// # Errors
///
/// Returns an error when the accounting can't be read.
pub fn role_times() -> io::Result<RoleTimes> {
    let mut times: RoleTimes = ThreadRole::iter()
        .map(|role| (role, Duration::ZERO))
        .collect();
    for thread in fs::read_dir("/proc/self/task")? {
        let path = thread?.path();
        // A thread may end between the listing and the reading; its time is then not counted.
        let (Ok(name), Ok(times_text)) = (
            fs::read_to_string(path.join("comm")),
            fs::read_to_string(path.join("schedstat")),
        ) else {
            continue;
        };
        let Some(role) = role_of(name.trim()) else {
            continue;
        };
        let nanos = times_text.split_whitespace().next();
        let nanos = nanos.and_then(|text| text.parse().ok()).unwrap_or(0);
        *times.entry(role).or_default() += Duration::from_nanos(nanos);
    }
    Ok(times)
}

fn role_of(name: &str) -> Option<ThreadRole> {
    ThreadRole::iter().find(|role| name.starts_with(<&str>::from(role)))
}

/// Reads the resident memory of this process, in bytes.
///
/// # Errors
///
/// Returns an error when the accounting can't be read.
pub fn resident_bytes() -> io::Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok(pages * PAGE_BYTES)
}
