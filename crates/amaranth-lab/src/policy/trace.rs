//! Reads arrivals from a CSV file.

use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::time::Timestamp;
use miette::{IntoDiagnostic, WrapErr, miette};

use crate::policy::workload::{ReplayRequest, ReplayWorkload};

/// The header of a trace.
const HEADER: &str = "at_ms,adapter,prompt_tokens,output_tokens,deadline_ms";

/// Entries among which arrivals are dealt in turn.
const ENTRIES: usize = 3;

/// Reads the trace at `path`, whose rows need not be in order.
///
/// # Errors
///
/// Returns an error that names the line when the file can't be read or a row is malformed.
pub fn read(path: &Path) -> miette::Result<ReplayWorkload> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("trace {} can't be read", path.display()))?;
    parse(&text).wrap_err_with(|| format!("trace {} is malformed", path.display()))
}

/// Reads the trace in `text`.
///
/// # Errors
///
/// Returns an error that names the line when the header or a row is malformed.
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
                adapters.push(adapter_ref(row.adapter)?);
                indexes.insert(row.adapter.to_owned(), adapters.len() - 1);
                adapters.len() - 1
            }
        };
        requests.push(row.request(adapter, requests.len() % ENTRIES));
    }
    requests.sort_by_key(|request| request.at);
    Ok(ReplayWorkload {
        adapters,
        requests,
        counted_from: Timestamp::ZERO,
    })
}

/// Reads `name` or `name@version`.
fn adapter_ref(text: &str) -> miette::Result<AdapterRef> {
    let full = if text.contains('@') {
        text.to_owned()
    } else {
        format!("{text}@1")
    };
    full.parse()
        .map_err(|error| miette!("adapter {text:?}: {error}"))
}

/// One row.
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
            return Err(miette!("{} cells instead of 5", cells.len()));
        };
        Ok(Self {
            at_ms: number("at_ms", at)?,
            adapter,
            prompt_tokens: number("prompt_tokens", prompt)?,
            output_tokens: number("output_tokens", output)?,
            deadline_ms: number("deadline_ms", deadline)?,
        })
    }

    fn request(&self, adapter: usize, entry: usize) -> ReplayRequest {
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
