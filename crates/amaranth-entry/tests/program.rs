//! The program itself: its command line, its settings and its end on SIGTERM.

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

/// Writes settings that no other test uses.
fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the file is written");
    path
}

#[rstest]
#[case::help("--help", "Usage: amaranth-entry --settings FILE")]
#[case::version("--version", "amaranth-entry 0.")]
fn asked_for_text_it_prints_it(#[case] argument: &str, #[case] expected: &str) {
    let output = run(&[argument]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the output is text");
    assert!(text.contains(expected), "{text}");
}

#[rstest]
#[case::unknown_argument(&["--sttings", "x"])]
#[case::missing_file(&["--settings", "no-such-file.toml"])]
fn a_bad_command_line_exits_with_two(#[case] arguments: &[&str]) {
    assert_eq!(run(arguments).status.code(), Some(2));
}

/// SIGTERM stops the entry in order although its log can't be reached.
#[test]
fn sigterm_is_a_graceful_shutdown() {
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
    let errors = entry.stderr.take().expect("the errors are piped");
    let mut lines = BufReader::new(errors).lines();
    let mut wait_for = |event: &str| {
        let found = lines.find(|line| line.as_ref().is_ok_and(|line| line.contains(event)));
        assert!(found.is_some(), "the entry ended without {event}");
    };
    wait_for("event=entry_started");
    let killed = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(killed.expect("the signal is sent").success());
    wait_for("event=stop_requested cause=SIGTERM");
    wait_for("event=drain_ended");
    assert!(entry.wait().expect("the entry ends").success());
}
