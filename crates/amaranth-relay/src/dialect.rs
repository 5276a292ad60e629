//! How a platform spells calls and answers.

use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_dispatch::call::CallHead;
use amaranth_dispatch::refusal::Refusal;
use http::HeaderMap;
use http::{request, response};

/// What is wrong with a call's head.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header {header}: {problem}")]
pub struct BadHead {
    /// The header at fault.
    pub header: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

/// What an entry adds to a call for the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct SendTerms<'a> {
    /// The endpoint that is meant. Another one at its address has to refuse the call.
    pub endpoint: &'a EndpointId,
    /// How long the caller still waits.
    pub time_left: Duration,
    /// The rank, 0 being the most urgent, where the endpoint heeds one.
    pub priority: Option<u8>,
    /// The adapter's version that the call needs.
    pub adapter_version: Option<u64>,
    /// The last event that the caller has of the stream.
    pub resume_after: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AnswerFacts {
    /// The endpoint states that it did not run the call.
    pub not_run: bool,
    /// The endpoint is another one, or lacks the adapter or version. It did not run the call.
    pub misdirected: bool,
    /// The answer bears the endpoint's authentication code.
    pub authenticated: bool,
    /// The id of the call that it answers, if it says so.
    pub call_id: Option<String>,
    /// The endpoint that answered, if it says so.
    pub answered_by: Option<String>,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    /// Whether the body is encoded, which no caller asks for.
    pub is_encoded: bool,
    /// How long the endpoint keeps the connection idle, if it says so.
    pub keep_alive: Option<Duration>,
}

/// Reads and writes the heads of calls and answers.
pub trait CallDialect: Send + Sync + 'static {
    /// Decodes the head of a caller's call.
    ///
    /// # Errors
    ///
    /// Returns the header that can't be decoded.
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, BadHead>;

    /// Returns the headers for the endpoint: the caller's, less those of its connection and those
    /// that are not its to set, and the terms.
    fn forward_headers(&self, caller: &HeaderMap, terms: SendTerms<'_>) -> HeaderMap;

    /// Decodes the head of an endpoint's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerFacts;

    /// Returns the headers for the caller: the endpoint's, less those of its connection.
    fn answer_headers(&self, endpoint: &HeaderMap) -> HeaderMap;

    /// Writes an answer of the layer's own.
    fn refusal_headers(&self, head: Option<&CallHead>, refusal: Refusal) -> HeaderMap;

    /// Returns whether a request to the readiness address asks for readiness.
    fn is_readiness_check(&self, method: &http::Method, path: &str) -> bool;
}
