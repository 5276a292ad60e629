//! The agent program: its command line, its settings and its shutdown on SIGTERM.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use rstest::rstest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_amaranth-agent");
const EXAMPLE: &str = include_str!("../../../examples/agent.toml");

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().unwrap()
}

/// Writes `text` to a settings file named `name`, which must differ between tests.
fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[rstest]
#[case::help("--help", "Usage: amaranth-agent --settings FILE")]
#[case::version("--version", "amaranth-agent 0.")]
fn help_and_version_are_printed(#[case] argument: &str, #[case] expected: &str) {
    let output = run(&[argument]);
    assert!(output.status.success());
    assert!(String::from_utf8(output.stdout).unwrap().contains(expected));
}

#[test]
fn example_settings_are_valid() {
    let path = settings_file("good.toml", EXAMPLE);
    assert!(
        run(&["--settings", path.to_str().unwrap(), "--check"])
            .status
            .success()
    );
}

#[rstest]
#[case::zero("queue = 1024", "queue = 0", &["limits.queue", "= 0", "1 or more"])]
#[case::twice("member-desk-1", "tin-llm-1", &["endpoint.id", "tin-llm-1"])]
#[case::unknown_key("queue = 1024", "quue = 1024", &["quue"])]
#[case::no_service("service = \"member-desk\"\n", "", &["member-desk-1", "lacks the key"])]
#[case::engine_with_service("kind = \"engine\"", "kind = \"engine\"\nservice = \"x\"", &["tin-llm-1", "names service"])]
#[case::short_term("queue = 1024", "lease_term = \"1s\"", &["limits.lease_term", "1s"])]
fn bad_settings_name_file_key_and_value(
    #[case] from: &str,
    #[case] to: &str,
    #[case] named: &[&str],
) {
    let name = format!("bad-{}.toml", named.join("-").replace(' ', "-"));
    let path = settings_file(&name, &EXAMPLE.replace(from, to));
    let output = run(&["--settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2));
    // Long lines are wrapped for the terminal, at blanks and within a file's name, so the text is
    // compared without blanks.
    let without_blanks = |text: &str| text.split_whitespace().collect::<String>();
    let message = String::from_utf8(output.stderr).unwrap();
    let message = without_blanks(&message.replace("\n  │ ", ""));
    for part in named.iter().chain([&name.as_str()]) {
        let part = without_blanks(part);
        assert!(message.contains(&part), "{part:?} is not in {message}");
    }
}

#[test]
fn unknown_argument_is_refused() {
    assert_eq!(run(&["--sttings", "agent.toml"]).status.code(), Some(2));
}

/// SIGTERM drains the agent, which logs the drain and exits with status 0, although no address in
/// its settings can be reached.
#[test]
fn sigterm_drains_the_agent() {
    let text = EXAMPLE
        .replace("127.0.0.1:7201", "127.0.0.1:0")
        .replace("127.0.0.1:7202", "127.0.0.1:0");
    let path = settings_file("sigterm.toml", &text);
    let mut agent = Command::new(PROGRAM)
        .args(["--settings", path.to_str().unwrap()])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let pid = agent.id().to_string();
    let mut lines = BufReader::new(agent.stderr.take().unwrap()).lines();
    let mut wait_for = |event: &str| {
        let found = lines.find(|line| line.as_ref().is_ok_and(|line| line.contains(event)));
        assert!(found.is_some(), "the agent ended without logging {event}");
    };
    wait_for("event=agent_started");
    assert!(
        Command::new("kill")
            .args(["-TERM", &pid])
            .status()
            .unwrap()
            .success()
    );
    wait_for("event=shutdown_requested signal=SIGTERM");
    wait_for("event=leaving");
    wait_for("event=agent_drained");
    assert!(agent.wait().unwrap().success());
}
