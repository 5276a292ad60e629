//! The stop of an entry within its grace period.
//!
//! A call that is not sent yet is refused as soon as it can't end in time, also while its body is read
//! or while it waits for an endpoint. A call that was sent is answered before the process ends.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::call::{CallHead, GenerationNeed};
use amaranth_dispatch::refusal::{Refusal, RefusalCause};
use amaranth_dispatch::routes::RouteRule;
use amaranth_dispatch::stop_policy::{ExpectedCall, StopPolicy};
use tokio::time::sleep;

use crate::caller_server::CallerServer;
use crate::entry::EntryCore;

/// Time for which a stopping entry keeps idle connections open and accepts new ones. The load balancer
/// checks readiness each second and stops sending calls after two answers that the entry is not ready.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_600);

/// Interval between two checks for connections that are still open.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a waiting call is reviewed while the process stops.
const REVIEW_INTERVAL: Duration = Duration::from_millis(50);

/// The stage of a stop in which the balancer still sends calls.
#[derive(Debug, Clone, Copy)]
pub struct Announced;

/// The stage of a stop in which no connection is kept after its current answer.
#[derive(Debug, Clone, Copy)]
pub struct Draining;

/// An entry that is stopping.
#[derive(Debug)]
pub struct EntryStop<'a, Stage> {
    core: &'a Arc<EntryCore>,
    server: &'a CallerServer,
    requested_at: Timestamp,
    grace: Duration,
    _stage: Stage,
}

/// The end of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopOutcome {
    /// The time that the stop took.
    pub took: Duration,
    /// The number of connections that were cut.
    pub connections: usize,
}

impl<'a> EntryStop<'a, Announced> {
    /// Begins to stop an entry that is killed `grace` from now.
    pub fn begin(core: &'a Arc<EntryCore>, server: &'a CallerServer, grace: Duration) -> Self {
        core.begin_stop(grace);
        Self {
            core,
            server,
            requested_at: core.now(),
            grace,
            _stage: Announced,
        }
    }

    /// Waits until the balancer sends no more calls, and closes idle connections.
    pub async fn drain(self) -> EntryStop<'a, Draining> {
        sleep(BALANCER_DRAIN_TIME.min(self.grace / 2)).await;
        self.server.disable_keep_alive();
        EntryStop {
            core: self.core,
            server: self.server,
            requested_at: self.requested_at,
            grace: self.grace,
            _stage: Draining,
        }
    }
}

impl EntryStop<'_, Draining> {
    /// Waits until the connections have ended or the grace period is over, and closes the server.
    pub async fn finish(self) -> StopOutcome {
        let elapsed = || self.core.now().since(self.requested_at);
        while self.server.open_connections() > 0 && elapsed() < self.grace {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.server.close();
        StopOutcome {
            took: elapsed(),
            connections: self.server.open_connections(),
        }
    }
}

/// Returns the expected duration of a call that is answered within `time_left` in any case.
pub fn expected_call(
    core: &EntryCore,
    head: &CallHead,
    route: &RouteRule,
    time_left: Duration,
) -> ExpectedCall {
    let generation = head.generation.as_ref();
    ExpectedCall {
        objective: route.objective,
        tokens: generation.map(GenerationNeed::expected_output),
        time_left,
        pace: core.state().paces.pace(&route.name),
    }
}

/// Returns a refusal if the process is stopping and a call that is not sent yet would outlast it.
pub fn stop_refusal(core: &EntryCore, expected: impl FnOnce() -> ExpectedCall) -> Option<Refusal> {
    let policy = current_policy(core)?;
    let now = core.now();
    if policy.accepts(now, expected()) {
        return None;
    }
    let delay = policy.retry_after(now);
    Some(Refusal::with_retry_after(RefusalCause::Stopping, delay))
}

/// Waits for a step before a call is sent, and returns its output. The step is dropped when the call
/// would outlast the process.
///
/// # Errors
///
/// Returns the refusal of the step, or that of a call that would outlast the process.
pub async fn before_send<T>(
    core: &EntryCore,
    expected: impl Fn() -> ExpectedCall,
    step: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    // A step that is ready at once would otherwise be repeated without end.
    if let Some(refusal) = stop_refusal(core, &expected) {
        return Err(refusal);
    }
    tokio::select! {
        biased;
        outcome = step => outcome,
        refusal = refused(core, expected) => Err(refusal),
    }
}

/// Waits until a call that is not sent yet would outlast the process, and returns its refusal.
async fn refused(core: &EntryCore, expected: impl Fn() -> ExpectedCall) -> Refusal {
    loop {
        stop_requested(core).await;
        if let Some(refusal) = stop_refusal(core, &expected) {
            return refusal;
        }
        sleep(REVIEW_INTERVAL).await;
    }
}

/// Waits until the calls that were sent have to be answered because the process ends.
pub async fn answers_due(core: &EntryCore) {
    loop {
        stop_requested(core).await;
        let due_at = current_policy(core).map(|policy| policy.answers_due_at());
        let left = due_at.map_or(REVIEW_INTERVAL, |due_at| due_at.since(core.now()));
        if left.is_zero() {
            return;
        }
        sleep(left).await;
    }
}

fn current_policy(core: &EntryCore) -> Option<StopPolicy> {
    *core.stop_policy.borrow()
}

async fn stop_requested(core: &EntryCore) {
    let mut policy = core.stop_policy.subscribe();
    // The sender lives as long as `core`.
    let _ = policy.wait_for(Option::is_some).await.map(drop);
}
