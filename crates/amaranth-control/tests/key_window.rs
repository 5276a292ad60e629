//! Idempotency keys are accepted or refused by their age.

use std::time::Duration;

use amaranth_control::key_window::{KeyWindow, key_date};
use amaranth_core::errors::ErrorKind;
use amaranth_core::ids::IdempotencyKey;
use rstest::rstest;

/// 2025-01-01T00:00:00Z, in seconds since the Unix epoch.
const DATE: u64 = 1_735_689_600;

/// UUID of version 7 with the date [`DATE`].
const DATED: &str = "01941f29-7c00-7abc-8def-0123456789ab";

fn key(text: &str) -> IdempotencyKey {
    text.parse().expect("the key is well formed")
}

#[rstest]
#[case::with_dashes(DATED, Some(DATE))]
#[case::without_dashes("01941f297c007abc8def0123456789ab", Some(DATE))]
#[case::random_uuid("9f1c2d3e-4a5b-4c6d-8e7f-0123456789ab", None)]
#[case::other_variant("01941f29-7c00-7abc-0def-0123456789ab", None)]
#[case::text("booking-17", None)]
fn reads_the_date_of_a_key(#[case] text: &str, #[case] seconds: Option<u64>) {
    assert_eq!(key_date(&key(text)), seconds.map(Duration::from_secs));
}

#[rstest]
#[case::recent(DATED, DATE + 3_600, false, None)]
#[case::old(DATED, DATE + 86_401, false, Some(ErrorKind::KeyExpired))]
#[case::beyond_the_clock_skew(DATED, DATE - 301, false, Some(ErrorKind::InvalidRequest))]
#[case::within_the_clock_skew(DATED, DATE - 299, false, None)]
#[case::undated("booking-17", DATE, false, None)]
#[case::undated_refused("booking-17", DATE, true, Some(ErrorKind::InvalidRequest))]
fn checks_the_age_of_a_key(
    #[case] text: &str,
    #[case] now: u64,
    #[case] require_dated: bool,
    #[case] refusal: Option<ErrorKind>,
) {
    let window = KeyWindow {
        window: Duration::from_secs(86_400),
        require_dated,
    };
    let checked = window.check(&key(text), Duration::from_secs(now));
    assert_eq!(checked.err().map(|error| error.kind), refusal);
}
