//! `explain --logs`: follows a call through the processes' logs, from its id to the cause.

use std::collections::BTreeSet;
use std::fmt;
use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::error::CommandError;
use crate::exit::ExitStatus;
use crate::output::CommandOutput;

/// Lines about an endpoint that are shown before a call's own, at most.
const MAX_ENDPOINT_LINES: usize = 12;

/// A line of a log, as far as it is made of keys and values.
#[derive(Debug)]
struct LogLine<'a> {
    text: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> LogLine<'a> {
    fn parse(text: &'a str) -> Self {
        // Whatever a collector wrote before the line's own time does not belong to it.
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
            .find(|(known, _)| *known == key)
            .map(|(_, value)| *value)
    }

    fn event(&self) -> &'a str {
        self.value("event").unwrap_or("")
    }
}

/// What the logs say of one call.
#[derive(Debug, Serialize)]
struct LogStory {
    id: String,
    /// The endpoints that the call was sent to, or that were tried.
    endpoints: Vec<String>,
    /// What the processes noted of these endpoints beside the call.
    around: Vec<String>,
    /// The call's own lines.
    lines: Vec<String>,
    /// The cause, in words.
    cause: String,
}

impl fmt::Display for LogStory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.around.is_empty() {
            writeln!(formatter, "endpoints:")?;
        }
        for line in &self.around {
            writeln!(formatter, "  {line}")?;
        }
        writeln!(formatter, "call {}:", self.id)?;
        for line in &self.lines {
            writeln!(formatter, "  {line}")?;
        }
        write!(formatter, "cause: {}", self.cause)
    }
}

/// Ends with a failure when no line names the call.
pub(super) fn run(
    id: &str,
    logs: &[PathBuf],
    output: &mut CommandOutput,
) -> Result<ExitStatus, CommandError> {
    let texts = logs
        .iter()
        .map(|path| read(path))
        .collect::<Result<Vec<String>, CommandError>>()?;
    let mut lines: Vec<LogLine<'_>> = texts
        .iter()
        .flat_map(|text| text.lines())
        .map(LogLine::parse)
        .collect();
    lines.sort_by_key(|line| line.value("ts"));
    let story = tell(id, &lines);
    let found = !story.lines.is_empty();
    output.print(&story);
    Ok(if found {
        ExitStatus::Success
    } else {
        ExitStatus::Failure
    })
}

fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| {
        CommandError::usage(format!("log {} can't be read: {error}", path.display()))
    })
}

fn tell(id: &str, lines: &[LogLine<'_>]) -> LogStory {
    let own: Vec<&LogLine<'_>> = lines
        .iter()
        .filter(|line| line.value("id") == Some(id))
        .collect();
    let endpoints: BTreeSet<&str> = own
        .iter()
        .filter_map(|line| line.value("endpoint"))
        .filter(|endpoint| *endpoint != "-")
        .collect();
    let last = own.last().and_then(|line| line.value("ts"));
    let mut around: Vec<String> = lines
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
    let surplus = around.len().saturating_sub(MAX_ENDPOINT_LINES);
    around.drain(..surplus);
    LogStory {
        id: id.to_owned(),
        endpoints: endpoints.into_iter().map(str::to_owned).collect(),
        around,
        lines: own.iter().map(|line| line.text.to_owned()).collect(),
        cause: cause(&own),
    }
}

/// Says in words why a call ended as it did.
fn cause(own: &[&LogLine<'_>]) -> String {
    let end = own
        .iter()
        .rev()
        .find(|line| matches!(line.event(), "call" | "call_refused"));
    let Some(end) = end else {
        return "no line tells the end of the call".to_owned();
    };
    let outcome = end.value("outcome").or(end.value("cause")).unwrap_or("");
    let failures: Vec<&str> = own
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

fn meaning(outcome: &str) -> &str {
    match outcome {
        "answered" => "the endpoint's own answer was passed on",
        "caller-left" => "the caller left before the answer was complete",
        "broken" => "the engine's stream broke off and could not go on elsewhere",
        "adapter-wait" => "no engine could hold the adapter in time; the call did not run",
        "overloaded" => "the endpoints would have answered too late; the call did not run",
        "no-endpoint" => "no endpoint of the service was known; the call did not run",
        "endpoints-refused" => "every endpoint that was asked refused; the call did not run",
        "stopping" => "the entry was stopping; the call did not run",
        "no-config" => "the entry knew no configuration yet; the call did not run",
        "no-route" => "no route of the configuration leads anywhere",
        "outcome-unknown" => {
            "the call was sent, no answer that can be trusted came back, and it may not be repeated"
        }
        "timed-out" => "the call was sent and its time ran out",
        "bad-request" => "the head of the call can't be read or is ambiguous",
        "body-too-large" => "the body is larger than the configuration allows",
        _ => "the log names an outcome that this version does not know",
    }
}
