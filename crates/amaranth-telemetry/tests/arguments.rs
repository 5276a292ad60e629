//! The command line of the long-running programs.

use std::ffi::OsString;
use std::path::PathBuf;

use amaranth_telemetry::arguments::{ProgramArguments, ProgramInfo};
use rstest::rstest;

const INFO: ProgramInfo = ProgramInfo {
    name: "amaranth-sample",
    version: "1.2.3",
    about: "Does nothing.",
    example: "slots = 4\n",
};

fn parse(words: &[&str]) -> Result<ProgramArguments, lexopt::Error> {
    ProgramArguments::parse(&INFO, words.iter().map(OsString::from))
}

#[test]
fn reads_the_settings_path() {
    let expected = ProgramArguments::Run {
        settings: PathBuf::from("a.toml"),
        check: true,
    };
    assert_eq!(
        parse(&["--settings", "a.toml", "--check"]).unwrap(),
        expected
    );
}

#[test]
fn prints_the_version() {
    let printed = ProgramArguments::Print("amaranth-sample 1.2.3".to_owned());
    assert_eq!(parse(&["--version"]).unwrap(), printed);
}

#[rstest]
#[case::missing(&[], "--settings")]
#[case::unknown(&["--slots"], "--slots")]
#[case::incomplete(&["--settings"], "--settings")]
fn errors_name_the_wrong_argument(#[case] words: &[&str], #[case] expected: &str) {
    let message = parse(words).unwrap_err().to_string();
    assert!(
        message.contains(expected),
        "{message:?} does not contain {expected:?}"
    );
}
