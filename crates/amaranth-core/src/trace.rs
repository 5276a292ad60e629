//! The W3C trace context, which is propagated from the caller to the engine.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::errors::{Error, Result, invalid_request};

/// The position of one hop in a trace, as the `traceparent` header carries it.
///
/// The format is version 00 of W3C Trace Context.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TraceContext {
    /// The id of the trace, which is the same on every hop.
    pub trace_id: u128,
    /// The id of the sender's span.
    pub span_id: u64,
    /// Whether the trace is recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Returns the context that a hop with `span_id` propagates.
    #[must_use]
    pub const fn child(self, span_id: u64) -> Self {
        Self { span_id, ..self }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(
            formatter,
            "00-{:032x}-{:016x}-{flags:02x}",
            self.trace_id, self.span_id
        )
    }
}

impl FromStr for TraceContext {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || invalid_request(format!("traceparent {text:?} is malformed"));
        let mut fields = text.split('-');
        let (Some(version), Some(trace), Some(span), Some(flags)) =
            (fields.next(), fields.next(), fields.next(), fields.next())
        else {
            return Err(malformed());
        };
        if version.len() != 2 || trace.len() != 32 || span.len() != 16 || flags.len() != 2 {
            return Err(malformed());
        }
        let trace_id = u128::from_str_radix(trace, 16).map_err(|_| malformed())?;
        let span_id = u64::from_str_radix(span, 16).map_err(|_| malformed())?;
        let flags = u8::from_str_radix(flags, 16).map_err(|_| malformed())?;
        if trace_id == 0 || span_id == 0 {
            return Err(malformed());
        }
        Ok(Self {
            trace_id,
            span_id,
            sampled: flags & 1 == 1,
        })
    }
}
