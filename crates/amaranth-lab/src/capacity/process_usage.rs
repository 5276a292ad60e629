//! CPU time by role and resident memory of this process, from the operating system's accounting.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::time::Duration;

use strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr};

/// Role of a thread; the thread's name starts with the role's text form.
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

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// CPU time of each role since the start of its threads.
pub type RoleCpuTimes = BTreeMap<ThreadRole, Duration>;

/// Reads the CPU time of every role.
///
/// # Errors
///
/// Returns an error if `/proc/self/task` can't be listed.
pub fn read_role_cpu_times() -> io::Result<RoleCpuTimes> {
    let mut times: RoleCpuTimes = ThreadRole::iter()
        .map(|role| (role, Duration::ZERO))
        .collect();
    for thread in fs::read_dir("/proc/self/task")? {
        let path = thread?.path();
        // The time of a thread that ends between the listing and the read is not counted.
        let (Ok(name), Ok(schedstat)) = (
            fs::read_to_string(path.join("comm")),
            fs::read_to_string(path.join("schedstat")),
        ) else {
            continue;
        };
        let Some(role) = role_of(name.trim()) else {
            continue;
        };
        let nanos = schedstat.split_whitespace().next();
        let nanos = nanos.and_then(|text| text.parse().ok()).unwrap_or(0);
        *times.entry(role).or_default() += Duration::from_nanos(nanos);
    }
    Ok(times)
}

fn role_of(name: &str) -> Option<ThreadRole> {
    ThreadRole::iter().find(|role| name.starts_with(<&str>::from(role)))
}

/// Reads the size of this process's resident memory, in bytes.
///
/// # Errors
///
/// Returns an error if `/proc/self/statm` can't be read.
pub fn read_resident_bytes() -> io::Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok(pages * PAGE_BYTES)
}
