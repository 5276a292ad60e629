//! A call that was read and routed.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::{EndpointId, ServiceName};
use amaranth_core::time::Timestamp;
use amaranth_dispatch::attempts::{AttemptHistory, NextStep, SendFailure};
use amaranth_dispatch::call::{CallHead, GenerationNeed};
use amaranth_dispatch::routes::{EngineRule, RouteRule};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::time::Instant;

use crate::entry::EntryCore;

/// Time before the caller leaves at which a call at a silent engine is ended: an answer's way to the
/// caller, and a quota's tenth of a second in which the process may not run.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(200);

/// What the caller has of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerPosition {
    /// The last event of the stream.
    pub last_event: Option<u64>,
    /// When the last event was passed on, or when the call arrived.
    pub heard_at: Instant,
}

/// A call that was read and routed.
#[derive(Debug)]
pub struct Call {
    /// Its head.
    pub head: CallHead,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// What the HTTP library keeps of it, such as the case of its headers.
    pub extensions: http::Extensions,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: Arc<RouteRule>,
    /// The service that answers it.
    pub service: ServiceName,
    /// The engines of the service, if it has engines.
    pub engine: Option<EngineRule>,
    /// The calls that the entry may have at one endpoint of the service.
    pub max_calls: u32,
    /// What it needs of an engine.
    pub need: Option<Arc<GenerationNeed>>,
    /// The version of the configuration under which it was routed.
    pub config_version: u64,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller has gone, or the route's timeout is over.
    pub expires: Instant,
    /// The same on the clock that also counts while the VM is suspended.
    pub expires_at: Timestamp,
}

impl Call {
    /// Returns the adapter that the call names, for the log.
    pub fn adapter_name(&self) -> &str {
        let adapter = self.need.as_ref().and_then(|need| need.adapter.as_ref());
        adapter.map_or("-", |adapter| adapter.as_str())
    }

    /// Returns what the caller has before anything was sent.
    pub const fn start(&self) -> AnswerPosition {
        AnswerPosition {
            last_event: self.head.resume_after,
            heard_at: self.arrived,
        }
    }

    /// Returns when the call is given up if its engine is silent: shortly before the caller leaves.
    pub fn gives_up_at(&self, position: AnswerPosition) -> Instant {
        let gap_over = self
            .route
            .max_event_gap()
            .map_or(self.expires, |gap| position.heard_at + gap);
        let leaves_at = self.expires.min(gap_over);
        leaves_at.checked_sub(GIVE_UP_MARGIN).unwrap_or(leaves_at)
    }

    /// Returns how long the caller still waits.
    pub fn time_left(&self, core: &EntryCore) -> Duration {
        self.expires_at.since(core.now())
    }

    /// Returns the retries of calls to the call's service that the entry may send now.
    pub fn retries_left(&self, core: &EntryCore) -> u32 {
        core.state().retries.remaining(core.now(), &self.service)
    }

    /// Returns whether the call may leave the endpoint that it was sent to.
    pub fn may_move(&self, core: &EntryCore, history: &AttemptHistory) -> bool {
        let now = core.now();
        let mut state = core.state();
        history.may_retry_elsewhere(&self.route, &state.retries.allowance(now, &self.service))
    }

    /// Notes a failed send and decides what follows.
    pub fn after_failure(
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
