//! A call after its body was read and its route found.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::{EndpointId, ServiceName, TeamName};
use amaranth_core::time::Timestamp;
use amaranth_dispatch::answer_pace::{PaceRatio, expected_time};
use amaranth_dispatch::attempts::{AttemptHistory, NextStep, SendFailure};
use amaranth_dispatch::call::{CallHead, CallProperty, GenerationNeed, RequestDigest};
use amaranth_dispatch::routes::{EngineRule, RouteRule};
use amaranth_dispatch::stop_policy::ExpectedCall;
use bytes::Bytes;
use http::header::{AUTHORIZATION, COOKIE};
use http::{HeaderMap, HeaderValue, Method, Uri, request};
use tokio::time::Instant;

use crate::caller_memory::CallerMemory;
use crate::crash_watch;
use crate::entry::EntryCore;
use crate::entry_stop;
use crate::team_access::CallAccess;

/// Time before the caller disconnects at which a call at a silent engine is abandoned: the network
/// delay of an answer, and 100 ms for which a CPU quota may pause the process.
const ABANDON_MARGIN: Duration = Duration::from_millis(200);

/// The part of an answer that the caller has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerPosition {
    /// The id of the last forwarded event of the stream.
    pub last_event: Option<u64>,
    /// The time at which the last event was forwarded, or the arrival of the call.
    pub last_event_at: Instant,
}

/// What tells the callers of equal requests apart in a digest.
#[derive(Debug, Clone, Copy)]
pub enum CallerIdentity<'a> {
    /// The credentials in the headers: the configuration has no teams.
    Credentials,
    /// The team, or nothing on a public route. Digests are logged and exchanged between entries, and
    /// an API key could be guessed from one.
    Team(Option<&'a TeamName>),
}

impl<'a> CallerIdentity<'a> {
    fn fields(self, headers: &'a HeaderMap) -> [&'a [u8]; 2] {
        let credential = |name| headers.get(name).map_or(&[][..], HeaderValue::as_bytes);
        match self {
            Self::Credentials => [credential(AUTHORIZATION), credential(COOKIE)],
            Self::Team(team) => [team.map_or(&[], |team| team.as_str().as_bytes()), &[]],
        }
    }
}

/// Returns the digest of a request: of what it asks for and of its caller. Headers that change with
/// each attempt are left out.
pub fn request_digest(
    host: &str,
    parts: &request::Parts,
    body: &[u8],
    identity: CallerIdentity<'_>,
) -> RequestDigest {
    let target = parts.uri.path_and_query();
    let target = target.map_or(parts.uri.path(), |target| target.as_str());
    let [first, second] = identity.fields(&parts.headers);
    RequestDigest::of([
        parts.method.as_str().as_bytes(),
        host.to_ascii_lowercase().as_bytes(),
        target.as_bytes(),
        first,
        second,
        body,
    ])
}

/// A call with its route, target service and deadlines.
#[derive(Debug)]
pub struct RoutedCall {
    /// The decoded head.
    pub head: CallHead,
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub target: Uri,
    /// The headers of the caller.
    pub headers: HeaderMap,
    /// Data of the HTTP library, such as the case of header names.
    pub extensions: http::Extensions,
    /// The body.
    pub body: Bytes,
    /// The memory of the caller's connection.
    pub memory: Arc<CallerMemory>,
    /// The route.
    pub route: Arc<RouteRule>,
    /// The digest of the request, which further attempts of the caller share.
    pub digest: RequestDigest,
    /// The properties by which crashes of endpoints are attributed to calls.
    pub properties: Arc<[CallProperty]>,
    /// The team whose API key the call carries, if its route needs one.
    pub team: Option<TeamName>,
    /// The result of the check of the call's API key.
    pub access: CallAccess,
    /// The rank of the call, 0 being the most urgent.
    pub priority: u8,
    /// The service to which the call is sent.
    pub service: ServiceName,
    /// The properties of the service's engines, if the service has engines.
    pub engine: Option<EngineRule>,
    /// The limit on concurrent calls of this entry at one endpoint of the service.
    pub max_calls: u32,
    /// The requirements on an engine, if the call is a generation.
    pub need: Option<Arc<GenerationNeed>>,
    /// The version of the configuration by which the call was routed.
    pub config_version: u64,
    /// The arrival time.
    pub arrived: Instant,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: Instant,
    /// The time of `deadline` on the clock that also counts while the VM is suspended.
    pub boottime_deadline: Timestamp,
}

impl RoutedCall {
    /// Returns the adapter that the call names, for the log.
    pub fn adapter_name(&self) -> &str {
        let adapter = self.need.as_ref().and_then(|need| need.adapter.as_ref());
        adapter.map_or("-", |adapter| adapter.as_str())
    }

    /// Returns the ids of the shared parts of the prompt, separated by commas, for the log.
    pub fn part_names(&self) -> String {
        let need = self.need.iter();
        let parts = need.flat_map(|need| need.shared_parts());
        let names: Vec<String> = parts.map(|part| part.to_string()).collect();
        if names.is_empty() {
            return "-".to_owned();
        }
        names.join(",")
    }

    /// Returns the remaining time of the quarantine of the call, if it is quarantined.
    pub fn quarantine_left(&self, core: &EntryCore) -> Option<Duration> {
        crash_watch::quarantine_left(core, &self.properties)
    }

    /// Returns the position before anything was forwarded.
    pub const fn start_position(&self) -> AnswerPosition {
        AnswerPosition {
            last_event: self.head.resume_after,
            last_event_at: self.arrived,
        }
    }

    /// Returns the time at which the call is abandoned if its engine is silent, shortly before the
    /// caller disconnects.
    pub fn abandon_at(&self, position: AnswerPosition) -> Instant {
        let gap_deadline = self
            .route
            .max_event_gap()
            .map_or(self.deadline, |gap| position.last_event_at + gap);
        let caller_deadline = self.deadline.min(gap_deadline);
        caller_deadline
            .checked_sub(ABANDON_MARGIN)
            .unwrap_or(caller_deadline)
    }

    /// Returns the time for which the caller still waits.
    pub fn time_left(&self, core: &EntryCore) -> Duration {
        self.boottime_deadline.since(core.now())
    }

    /// Returns the expected duration of the call.
    pub fn expected_call(&self, core: &EntryCore) -> ExpectedCall {
        entry_stop::expected_call(core, &self.head, &self.route, self.time_left(core))
    }

    /// Records the time that the call took, which ends now after having been sent.
    pub fn record_pace(&self, core: &EntryCore) {
        let tokens = self.need.as_ref().map(|need| need.expected_output());
        let expected = expected_time(self.route.objective, tokens);
        let ratio = PaceRatio::of(self.arrived.elapsed(), expected);
        core.state().paces.record(&self.route.name, ratio);
    }

    /// Returns the number of retries to the call's service that the entry may send now.
    pub fn retries_left(&self, core: &EntryCore) -> u32 {
        core.state().retries.remaining(core.now(), &self.service)
    }

    /// Returns whether the call may be retried at another endpoint.
    pub fn may_retry_elsewhere(&self, core: &EntryCore, history: &AttemptHistory) -> bool {
        let now = core.now();
        let mut state = core.state();
        history.may_retry_elsewhere(&self.route, &state.retries.allowance(now, &self.service))
    }

    /// Records a failed attempt and decides the next step.
    pub fn record_failure(
        &self,
        core: &EntryCore,
        history: &mut AttemptHistory,
        endpoint: &EndpointId,
        failure: SendFailure,
    ) -> NextStep {
        let now = core.now();
        let mut state = core.state();
        let mut allowance = state.retries.allowance(now, &self.service);
        history.record_failure(&self.route, endpoint, failure, &mut allowance)
    }
}
