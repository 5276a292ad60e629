//! Reads the arrivals of a workload from a CSV file.

use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;
use miette::{IntoDiagnostic, WrapErr, miette};

use crate::policy::workload::{ReplayRequest, ReplayWorkload};

/// The header line of a trace file.
const HEADER: &str = "at_ms,adapter,prompt_tokens,output_tokens,deadline_ms";

/// Number of entries, to which arrivals are assigned in turn.
const ENTRY_COUNT: usize = 3;

/// Reads the trace file at `path`; its rows may be in any order.
///
/// # Errors
///
/// Returns an error that names the file if it can't be read, and the line if it is malformed.
pub fn read(path: &Path) -> miette::Result<ReplayWorkload> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("trace {} can't be read", path.display()))?;
    parse(&text).wrap_err_with(|| format!("trace {} is malformed", path.display()))
}

/// Parses the text of a trace file.
///
/// # Errors
///
/// Returns an error that names the line if the header or a row is malformed.
pub fn parse(text: &str) -> miette::Result<ReplayWorkload> {
    let mut lines = text.lines().enumerate();
    if lines.next().map(|(_, line)| line.trim()) != Some(HEADER) {
        return Err(miette!("line 1 must be \"{HEADER}\""));
    }
    let mut adapters: Vec<AdapterRef> = Vec::new();
    let mut indexes: HashMap<String, usize> = HashMap::new();
    let mut requests = Vec::new();
    for (number, line) in lines.filter(|(_, line)| !line.trim().is_empty()) {
        let row = TraceRow::parse(line).wrap_err_with(|| format!("line {}", number + 1))?;
        let adapter = match indexes.get(row.adapter) {
            Some(&index) => index,
            None => {
                adapters.push(parse_adapter(row.adapter)?);
                indexes.insert(row.adapter.to_owned(), adapters.len() - 1);
                adapters.len() - 1
            }
        };
        requests.push(row.to_request(adapter, requests.len() % ENTRY_COUNT));
    }
    requests.sort_by_key(|request| request.at);
    Ok(ReplayWorkload {
        adapters,
        requests,
        measured_from: Timestamp::ZERO,
    })
}

/// Parses an adapter from `name@version`, or from `name` for version 1.
fn parse_adapter(text: &str) -> miette::Result<AdapterRef> {
    let versioned = if text.contains('@') {
        text.to_owned()
    } else {
        format!("{text}@1")
    };
    versioned
        .parse()
        .map_err(|error| miette!("adapter {text:?}: {error}"))
}

/// The values of one row of a trace file.
struct TraceRow<'line> {
    at_ms: u64,
    adapter: &'line str,
    prompt_tokens: u32,
    output_tokens: u32,
    deadline_ms: u64,
}

impl<'line> TraceRow<'line> {
    fn parse(line: &'line str) -> miette::Result<Self> {
        let cells: Vec<&str> = line.split(',').map(str::trim).collect();
        let &[at, adapter, prompt, output, deadline] = cells.as_slice() else {
            return Err(miette!("the row has {} columns instead of 5", cells.len()));
        };
        Ok(Self {
            at_ms: number("at_ms", at)?,
            adapter,
            prompt_tokens: number("prompt_tokens", prompt)?,
            output_tokens: number("output_tokens", output)?,
            deadline_ms: number("deadline_ms", deadline)?,
        })
    }

    fn to_request(&self, adapter: usize, entry: usize) -> ReplayRequest {
        ReplayRequest {
            at: Timestamp::from_millis(self.at_ms),
            adapter,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            deadline: Duration::from_millis(self.deadline_ms),
            entry,
        }
    }
}

fn number<N: std::str::FromStr>(column: &str, text: &str) -> miette::Result<N> {
    text.parse()
        .map_err(|_| miette!("{column} {text:?} is not a whole number"))
}
