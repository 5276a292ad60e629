//! The client through which requests reach the claim coordinator.

use amaranth_control::claim_event::{ClaimCall, ClaimEvent};
use amaranth_core::errors::{Error, ErrorKind, Result};
use amaranth_core::ids::RequestId;
use amaranth_core::request::{ServiceAnswer, ServiceRequest};
use tokio::sync::{mpsc, oneshot, watch};

/// Maximum number of queued events of the claim task.
pub const CLAIM_QUEUE: usize = 4_096;

/// An event for the claim task.
pub enum ClaimTaskEvent {
    /// A call arrived.
    Call(Box<ClaimedCall>),
    /// An event for the claim coordinator, about a call or the log.
    Coordinator(ClaimEvent),
}

/// A non-idempotent call and the channel to the caller that waits for its outcome.
pub struct ClaimedCall {
    /// The call as the claim coordinator handles it.
    pub call: ClaimCall,
    /// The request that is sent to the agent.
    pub request: ServiceRequest,
    /// The channel for the outcome.
    pub reply: oneshot::Sender<Result<ServiceAnswer>>,
}

/// Client that sends calls to the claim task and waits for their outcomes.
#[derive(Clone)]
pub struct ClaimClient {
    events: mpsc::Sender<ClaimTaskEvent>,
    idle: watch::Receiver<bool>,
}

impl ClaimClient {
    /// Creates a client of the claim task that receives `events` and reports through `idle` whether
    /// any call, claim or append is pending.
    pub const fn new(events: mpsc::Sender<ClaimTaskEvent>, idle: watch::Receiver<bool>) -> Self {
        Self { events, idle }
    }

    /// Runs a call at most once and returns its outcome.
    ///
    /// # Errors
    ///
    /// Returns an error whose kind says whether the call ran.
    pub async fn call(&self, call: ClaimCall, request: ServiceRequest) -> Result<ServiceAnswer> {
        let (reply, outcome) = oneshot::channel();
        let mut cancel_guard = CancelGuard {
            events: self.events.clone(),
            request: call.request,
            armed: true,
        };
        let claimed = ClaimedCall {
            call,
            request,
            reply,
        };
        self.events
            .try_send(ClaimTaskEvent::Call(Box::new(claimed)))
            .map_err(|_| Error::new(ErrorKind::Overloaded, "too many calls wait for a claim"))?;
        let outcome = outcome.await;
        cancel_guard.armed = false;
        outcome.unwrap_or_else(|_| {
            Err(Error::new(
                ErrorKind::OutcomeUnknown,
                "the entry stopped while the call was in flight",
            ))
        })
    }

    /// Waits until no call, claim or append is pending.
    pub async fn wait_until_idle(&self) {
        // An error means that the claim task has ended, and with it everything pending.
        let _ = self.idle.clone().wait_for(|idle| *idle).await;
    }
}

/// Guard that reports a call as cancelled when its caller disconnects before it was answered.
struct CancelGuard {
    events: mpsc::Sender<ClaimTaskEvent>,
    request: RequestId,
    armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.armed {
            // If the queue is full, the event is dropped and the call stays until its deadline.
            let cancelled = ClaimTaskEvent::Coordinator(ClaimEvent::Cancelled(self.request));
            let _ = self.events.try_send(cancelled);
        }
    }
}
