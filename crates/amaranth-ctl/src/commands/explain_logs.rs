//! `explain --logs`: traces a call by its id through the logs of the processes, to the cause of its
//! outcome.

use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::output::CommandOutput;

/// Maximum number of lines about endpoints that are shown before the lines of the call.
const MAX_ENDPOINT_LINES: usize = 12;

/// A line of a log, with its `key=value` fields.
#[derive(Debug)]
struct LogLine<'a> {
    text: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> LogLine<'a> {
    fn parse(text: &'a str) -> Self {
        // A log collector may have written a prefix before the timestamp of the line.
        let text = text.find("ts=").map_or(text, |start| &text[start..]);
        let fields = text
            .split_ascii_whitespace()
            .filter_map(|word| word.split_once('='))
            .collect();
        Self { text, fields }
    }

    fn value(&self, key: &str) -> Option<&'a str> {
        self.fields
            .iter()
            .find(|(name, _)| *name == key)
            .map(|(_, value)| *value)
    }

    fn event(&self) -> &'a str {
        self.value("event").unwrap_or("")
    }
}

/// The log lines about one call, with the cause of its outcome.
#[derive(Debug, Serialize)]
struct CallTrace {
    id: String,
    /// The endpoints that the log lines of the call name.
    endpoints: Vec<String>,
    /// The lines about state changes of these endpoints up to the end of the call.
    #[serde(rename = "around")]
    endpoint_lines: Vec<String>,
    /// The lines that name the call.
    lines: Vec<String>,
    /// The cause of the outcome, in words.
    cause: String,
}

impl fmt::Display for CallTrace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.endpoint_lines.is_empty() {
            writeln!(formatter, "endpoints:")?;
        }
        for line in &self.endpoint_lines {
            writeln!(formatter, "  {line}")?;
        }
        writeln!(formatter, "call {}:", self.id)?;
        for line in &self.lines {
            writeln!(formatter, "  {line}")?;
        }
        write!(formatter, "cause: {}", self.cause)
    }
}

/// Traces a call through `logs`, and returns [`ExitStatus::Failure`] when no line names the call.
pub(super) fn run(
    id: &str,
    logs: &[PathBuf],
    output: &mut CommandOutput,
) -> Result<ExitStatus, CommandError> {
    let texts = logs
        .iter()
        .map(|path| read_log(path))
        .collect::<Result<Vec<String>, CommandError>>()?;
    let mut lines: Vec<LogLine<'_>> = texts
        .iter()
        .flat_map(|text| text.lines())
        .map(LogLine::parse)
        .collect();
    lines.sort_by_key(|line| line.value("ts"));
    let trace = trace_call(id, &lines);
    let is_found = !trace.lines.is_empty();
    output.print(&trace);
    Ok(if is_found {
        ExitStatus::Success
    } else {
        ExitStatus::Failure
    })
}

fn read_log(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| {
        CommandError::usage(format!("log {} can't be read: {error}", path.display()))
    })
}

fn trace_call(id: &str, lines: &[LogLine<'_>]) -> CallTrace {
    let call_lines: Vec<&LogLine<'_>> = lines
        .iter()
        .filter(|line| line.value("id") == Some(id))
        .collect();
    let endpoints: BTreeSet<&str> = call_lines
        .iter()
        .filter_map(|line| line.value("endpoint"))
        .filter(|endpoint| *endpoint != "-")
        .collect();
    let last = call_lines.last().and_then(|line| line.value("ts"));
    let mut endpoint_lines: Vec<String> = lines
        .iter()
        .filter(|line| line.value("id").is_none())
        .filter(|line| {
            matches!(
                line.event(),
                "endpoint" | "dependency_lost" | "dependency_regained" | "agent_silent"
            )
        })
        .filter(|line| {
            line.value("endpoint")
                .is_some_and(|endpoint| endpoints.contains(endpoint))
        })
        .filter(|line| line.value("ts") <= last)
        .map(|line| line.text.to_owned())
        .collect();
    let excess = endpoint_lines.len().saturating_sub(MAX_ENDPOINT_LINES);
    endpoint_lines.drain(..excess);
    CallTrace {
        id: id.to_owned(),
        endpoints: endpoints.into_iter().map(str::to_owned).collect(),
        endpoint_lines,
        lines: call_lines.iter().map(|line| line.text.to_owned()).collect(),
        cause: cause(&call_lines),
    }
}

/// Returns the cause of a call's outcome, in words.
fn cause(call_lines: &[&LogLine<'_>]) -> String {
    let end = call_lines
        .iter()
        .rev()
        .find(|line| matches!(line.event(), "call" | "call_refused"));
    let Some(end) = end else {
        return "no log line reports the end of the call".to_owned();
    };
    let outcome = end.value("outcome").or(end.value("cause")).unwrap_or("");
    let failures: Vec<&str> = call_lines
        .iter()
        .filter_map(|line| match line.event() {
            "send_failed" => line.value("failure"),
            "stream_broken" => Some("stream-broken"),
            "call_given_up" => Some(match line.value("engine") {
                Some("silent") => "engine-silent",
                _ => "no-event-in-time",
            }),
            _ => None,
        })
        .collect();
    let sent = if failures.is_empty() {
        "no send failed".to_owned()
    } else {
        format!("sends ended: {}", failures.join(", "))
    };
    format!("{}; {sent}", meaning(outcome))
}

/// Returns the meaning of an outcome in the log.
fn meaning(outcome: &str) -> &str {
    match outcome {
        "answered" => "the endpoint's answer was forwarded",
        "caller-left" => "the caller disconnected before the answer was complete",
        "broken" => "the engine's stream ended early and could not be continued on another engine",
        "adapter-wait" => "no engine could load the adapter in time; the call did not run",
        "overloaded" => "the endpoints would have answered too late; the call did not run",
        "quota-exceeded" => "the quota of the team was used up; the call did not run",
        "quota-unavailable" => {
            "the agents that grant the quota of the team did not answer; the call did not run"
        }
        "no-endpoint" => "no endpoint of the service was known; the call did not run",
        "endpoints-refused" => {
            "every endpoint that was tried refused the call; the call did not run"
        }
        "stopping" => "the entry was stopping; the call did not run",
        "no-config" => "the entry had no configuration yet; the call did not run",
        "no-route" => "no route of the configuration matches the call",
        "outcome-unknown" => {
            "the call was sent, no reliable answer was received, and the call may not be retried"
        }
        "timed-out" => "the call was sent and its deadline passed",
        "bad-request" => "the head of the call can't be parsed or is ambiguous",
        "body-too-large" => "the body is larger than the configuration allows",
        _ => "the log names an outcome that this version does not know",
    }
}
