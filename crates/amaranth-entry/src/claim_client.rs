//! How requests reach the claim desk.

use amaranth_control::claim_event::{ClaimCall, ClaimEvent};
use amaranth_core::errors::{Error, ErrorKind, Result};
use amaranth_core::ids::RequestId;
use amaranth_core::request::{ServiceAnswer, ServiceRequest};
use tokio::sync::{mpsc, oneshot, watch};

/// Calls that wait for the desk at once.
pub const CLAIM_QUEUE: usize = 4_096;

/// What the desk's task is told.
pub enum ClaimTaskEvent {
    /// A call came.
    Call(Box<ClaimedCall>),
    /// Something happened to a call or to the log.
    Desk(ClaimEvent),
}

/// A non-idempotent call with the caller that waits for it.
pub struct ClaimedCall {
    /// What the desk needs to know.
    pub call: ClaimCall,
    /// What the agent is sent.
    pub request: ServiceRequest,
    /// Where the outcome goes.
    pub reply: oneshot::Sender<Result<ServiceAnswer>>,
}

/// Sends calls to the desk.
#[derive(Clone)]
pub struct ClaimClient {
    events: mpsc::Sender<ClaimTaskEvent>,
    settled: watch::Receiver<bool>,
}

impl ClaimClient {
    /// Opens a client of the task that receives `events`.
    pub const fn open(
        events: mpsc::Sender<ClaimTaskEvent>,
        settled: watch::Receiver<bool>,
    ) -> Self {
        Self { events, settled }
    }

    /// Runs a call at most once and returns its outcome.
    ///
    /// # Errors
    ///
    /// The kind says whether the call ran.
    pub async fn call(&self, call: ClaimCall, request: ServiceRequest) -> Result<ServiceAnswer> {
        let (reply, outcome) = oneshot::channel();
        let mut departure = CallerDeparture {
            events: self.events.clone(),
            request: call.request,
            left: true,
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
        departure.left = false;
        outcome.unwrap_or_else(|_| {
            Err(Error::new(
                ErrorKind::OutcomeUnknown,
                "the entry stopped while the call was under way",
            ))
        })
    }

    /// Returns when no claim runs and nothing waits to be appended.
    pub async fn settled(&self) {
        // An error means that the desk is gone, and nothing waits for it.
        let _ = self.settled.clone().wait_for(|settled| *settled).await;
    }
}

/// Tells the desk that a caller left, unless it was answered.
struct CallerDeparture {
    events: mpsc::Sender<ClaimTaskEvent>,
    request: RequestId,
    left: bool,
}

impl Drop for CallerDeparture {
    fn drop(&mut self) {
        if self.left {
            // A full queue keeps the call until its deadline.
            let left = ClaimTaskEvent::Desk(ClaimEvent::Cancelled(self.request));
            let _ = self.events.try_send(left);
        }
    }
}
