//! Invalid settings are rejected with the file, the key, the value and the allowed values.

use std::path::Path;

use amaranth_telemetry::settings::{CheckedSettings, SettingFault, parse};
use rstest::rstest;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SampleSettings {
    slots: u16,
}

impl CheckedSettings for SampleSettings {
    fn faults(&self) -> Vec<SettingFault> {
        if self.slots == 0 {
            return vec![SettingFault::new("slots", self.slots, "1 to 65535")];
        }
        Vec::new()
    }
}

#[rstest]
#[case::not_allowed("slots = 0", &["agent.toml", "slots = 0", "1 to 65535"])]
#[case::unknown_key("slots = 1\nsolts = 2", &["agent.toml", "solts"])]
#[case::wrong_type("slots = \"many\"", &["agent.toml", "invalid type"])]
#[case::missing("", &["agent.toml", "slots"])]
fn rejects_invalid_settings(#[case] text: &str, #[case] expected: &[&str]) {
    let error = parse::<SampleSettings>(Path::new("agent.toml"), text).unwrap_err();
    let message = error.to_string();
    for part in expected {
        assert!(
            message.contains(part),
            "{message:?} does not contain {part:?}"
        );
    }
}

#[test]
fn accepts_valid_settings() {
    let settings: SampleSettings = parse(Path::new("agent.toml"), "slots = 4").unwrap();
    assert_eq!(settings.slots, 4);
}
