//! Tests of the entry's settings files.

use std::path::Path;

use amaranth_entry::EntrySettings;
use amaranth_telemetry::settings::parse;
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../examples/entry.toml");

#[test]
fn the_example_settings_are_valid() {
    let settings: EntrySettings =
        parse(Path::new("entry.toml"), EXAMPLE).expect("the example is valid");
    assert_eq!(settings.process.as_str(), "entry-1");
}

#[rstest]
#[case::zero_limit("max_in_flight = 0", "max_in_flight = 0 is not allowed")]
#[case::zero_time("[peers]\nheartbeat = \"0s\"", "peers.heartbeat = 0s is not allowed")]
#[case::unknown_key("max_inflight = 3", "unknown field `max_inflight`")]
fn an_invalid_setting_is_reported_by_name(#[case] line: &str, #[case] message: &str) {
    let text = format!("{EXAMPLE}\n{line}\n");
    let refused = parse::<EntrySettings>(Path::new("entry.toml"), &text);
    let error = refused.expect_err("the settings are invalid").to_string();
    assert!(error.contains("entry.toml"), "{error}");
    assert!(error.contains(message), "{error}");
}
