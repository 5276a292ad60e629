//! The mapping between a platform's HTTP headers and the entry's view of calls and answers.

use std::time::Duration;

use amaranth_core::ids::{EndpointId, TeamName};
use amaranth_dispatch::call::CallHead;
use amaranth_dispatch::call_limiter::CallRate;
use amaranth_dispatch::refusal::Refusal;
use http::HeaderMap;
use http::{request, response};

/// A header of a call that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("header {header}: {problem}")]
pub struct HeadError {
    /// The name of the header.
    pub header: &'static str,
    /// The reason why the header's value is not accepted.
    pub problem: String,
}

/// Values that an entry adds to a forwarded call as headers for the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ForwardContext<'a> {
    /// The endpoint that is addressed. Another endpoint at the same address has to refuse the call.
    pub endpoint: &'a EndpointId,
    /// The time for which the caller still waits.
    pub time_left: Duration,
    /// The priority, 0 being the most urgent, if the endpoint supports priorities.
    pub priority: Option<u8>,
    /// The adapter's version that the call needs.
    pub adapter_version: Option<u64>,
    /// The id of the last event that the caller has received of an earlier stream.
    pub resume_after: Option<u64>,
    /// The team of the call, whose name the endpoint gets.
    pub team: Option<&'a TeamName>,
    /// Whether the caller's credentials and its statement of a team are removed, as they are
    /// wherever the configuration has teams.
    pub removes_credentials: bool,
}

/// Information from the head of an endpoint's answer.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AnswerMetadata {
    /// Whether the endpoint states that it did not run the call.
    pub not_run: bool,
    /// Whether the call reached another endpoint, or one without the adapter or version. The call
    /// did not run.
    pub misdirected: bool,
    /// Whether the answer carries the endpoint's authentication code.
    pub authenticated: bool,
    /// Whether the endpoint states that it is leaving.
    pub is_leaving: bool,
    /// The pause for which the endpoint asks, if it refused the call.
    pub pause: Option<Duration>,
    /// The limit on the rate of calls that the endpoint states for all entries together.
    pub limit: Option<CallRate>,
    /// The id of the answered call, if the head names it.
    pub call_id: Option<String>,
    /// The endpoint that answered, if the head names it.
    pub answered_by: Option<String>,
    /// Whether the body is a stream of events.
    pub is_event_stream: bool,
    /// Whether the body has a content encoding, which no caller requests.
    pub is_encoded: bool,
    /// The idle timeout of the connection at the endpoint, if the head names it.
    pub keep_alive: Option<Duration>,
}

/// Reads and writes the HTTP heads of calls and answers for one platform.
pub trait CallCodec: Send + Sync + 'static {
    /// Decodes the head of a call from a caller.
    ///
    /// # Errors
    ///
    /// Returns the header that can't be decoded.
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, HeadError>;

    /// Returns the API key that a call carries, unless it is missing or malformed.
    fn api_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Returns the headers for the endpoint: the caller's headers and those of `context`, without
    /// connection headers and without headers that a caller must not set.
    fn forward_headers(&self, caller: &HeaderMap, context: ForwardContext<'_>) -> HeaderMap;

    /// Decodes the head of an endpoint's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerMetadata;

    /// Returns the headers for the caller: the endpoint's headers without connection headers.
    fn answer_headers(&self, endpoint: &HeaderMap) -> HeaderMap;

    /// Returns the headers of a refusal that the entry makes itself.
    fn refusal_headers(&self, head: Option<&CallHead>, refusal: Refusal) -> HeaderMap;

    /// Returns whether a request is a readiness check.
    fn is_readiness_check(&self, method: &http::Method, path: &str) -> bool;
}
