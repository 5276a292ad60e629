//! Reads the memory usage of this process.

use std::fs;

use amaranth_core::units::ByteSize;

/// Returns the resident memory of the process, or zero if the kernel does not report it.
pub(super) fn resident() -> ByteSize {
    const KIBIBYTE: u64 = 1 << 10;
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    let kibibytes = number.and_then(|number| number.parse::<u64>().ok());
    ByteSize(kibibytes.unwrap_or_default() * KIBIBYTE)
}
