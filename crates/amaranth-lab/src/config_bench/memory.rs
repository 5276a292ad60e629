//! The memory of this process, as the kernel counts it.

use std::fs;

use amaranth_core::units::ByteSize;

/// Returns the memory that the process holds, or zero where the kernel does not tell.
pub(super) fn resident() -> ByteSize {
    const KIBIBYTE: u64 = 1 << 10;
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    let kibibytes = number.and_then(|number| number.parse::<u64>().ok());
    ByteSize(kibibytes.unwrap_or_default() * KIBIBYTE)
}
