//! Name patterns with a range of numbers, such as `depot-{0001..2900}-manifest`.

use amaranth_core::errors::{Result, invalid_request};
use amaranth_core::ids::AdapterName;

use crate::catalogue::MAX_ADAPTERS;

/// Returns the names that `pattern` expands to.
///
/// The numbers are padded with zeros to the number of digits of the first one.
///
/// # Errors
///
/// Returns an error when the pattern has no range, or when its range is empty or too large.
pub(super) fn expand_names(pattern: &str) -> Result<Vec<AdapterName>> {
    let malformed = || {
        invalid_request(format!(
            "names {pattern:?} must contain one range such as {{0001..2900}} \
             of at most {MAX_ADAPTERS} numbers"
        ))
    };
    let (prefix, rest) = pattern.split_once('{').ok_or_else(malformed)?;
    let (range, suffix) = rest.split_once('}').ok_or_else(malformed)?;
    let (first, last) = range.split_once("..").ok_or_else(malformed)?;
    let width = first.len();
    let first: u32 = first.parse().map_err(|_| malformed())?;
    let last: u32 = last.parse().map_err(|_| malformed())?;
    let count = last.checked_sub(first).ok_or_else(malformed)?;
    if usize::try_from(count).is_ok_and(|count| count < MAX_ADAPTERS) {
        (first..=last)
            .map(|number| format!("{prefix}{number:0width$}{suffix}").parse())
            .collect()
    } else {
        Err(malformed())
    }
}
