//! Tests of the program: command line, settings and shutdown on SIGTERM.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_amaranth-entry");
const EXAMPLE: &str = include_str!("../../../examples/entry.toml");

fn run(arguments: &[&str]) -> Output {
    let output = Command::new(PROGRAM).args(arguments).output();
    output.expect("the program runs")
}

/// Writes a settings file under a name that no other test uses, and returns its path.
fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file is written");
    path
}

#[rstest]
#[case::help("--help", "Usage: amaranth-entry --settings FILE")]
#[case::version("--version", "amaranth-entry 0.")]
fn help_and_version_are_printed(#[case] argument: &str, #[case] expected: &str) {
    let output = run(&[argument]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the output is text");
    assert!(text.contains(expected), "{text}");
}

#[rstest]
#[case::unknown_argument(&["--sttings", "x"])]
#[case::missing_file(&["--settings", "no-such-file.toml"])]
fn an_invalid_command_line_exits_with_status_two(#[case] arguments: &[&str]) {
    assert_eq!(run(arguments).status.code(), Some(2));
}

/// SIGTERM drains the entry even if the log can't be reached.
#[test]
fn sigterm_shuts_the_entry_down_gracefully() {
    let mut text = EXAMPLE.to_owned();
    for port in ["8080", "7000", "9000"] {
        text = text.replace(&format!("127.0.0.1:{port}"), "127.0.0.1:0");
    }
    let path = settings_file("sigterm.toml", &text);
    let mut entry = Command::new(PROGRAM)
        .args(["--settings", path.to_str().expect("the path is text")])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let pid = entry.id().to_string();
    let stderr = entry.stderr.take().expect("stderr is piped");
    let mut lines = BufReader::new(stderr).lines();
    let mut wait_for = |event: &str| {
        let found = lines.find(|line| line.as_ref().is_ok_and(|line| line.contains(event)));
        assert!(found.is_some(), "the entry exited without logging {event}");
    };
    wait_for("event=entry_started");
    let signalled = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(signalled.expect("the signal is sent").success());
    wait_for("event=stop_requested cause=SIGTERM");
    wait_for("event=drain_ended");
    assert!(entry.wait().expect("the entry exits").success());
}
