//! Waiting for a place at an endpoint, in the order that the admission queue of the service decides.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::ServiceName;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::admission_queue::{
    AdmissionCause, AdmissionQueue, AdmissionRefusal, AdmissionRequest, CallTicket,
};
use amaranth_dispatch::refusal::{Refusal, RefusalCause};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::entry::EntryCore;
use crate::routed_call::RoutedCall;

/// Time after which a waiting call is reviewed and looks for a place without a notification: estimates
/// also change with time.
const POLL_INTERVAL: Duration = Duration::from_millis(80);

/// Shortest time between two rounds of tries that no notification began.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(40);

/// Weight of the newest answer in the typical time of a service's answers.
const ANSWER_WEIGHT: f64 = 0.1;

/// The calls of one service that wait for a place.
#[derive(Debug, Default)]
pub struct ServiceAdmission {
    /// The order of the calls, and the decision who waits.
    pub queue: AdmissionQueue,
    answer_time: Option<Duration>,
    wakes: HashMap<CallTicket, Arc<Notify>>,
}

impl ServiceAdmission {
    /// Begins a round of tries.
    pub fn begin_round(&mut self, now: Timestamp) {
        if !self.queue.is_empty() {
            self.queue.begin_round(now);
            self.wake_next(now);
        }
    }

    /// Wakes the call whose turn it is.
    fn wake_next(&mut self, now: Timestamp) {
        if let Some(ticket) = self.queue.next_turn(now)
            && let Some(wake) = self.wakes.get(&ticket)
        {
            wake.notify_one();
        }
    }

    /// Records the time that an endpoint took for a complete answer.
    pub fn record_answer_time(&mut self, time: Duration) {
        let known = self.answer_time.map_or(time, |known| {
            known.mul_f64(1.0 - ANSWER_WEIGHT) + time.mul_f64(ANSWER_WEIGHT)
        });
        self.answer_time = Some(known);
    }

    /// Returns the typical time that endpoints take for a complete answer, if it is known.
    pub const fn answer_time(&self) -> Option<Duration> {
        self.answer_time
    }
}

/// The waiting calls of all services.
#[derive(Debug, Default)]
pub struct Admissions {
    services: HashMap<ServiceName, ServiceAdmission>,
}

impl Admissions {
    /// Returns the waiting calls of a service.
    pub fn service(&mut self, name: &ServiceName) -> &mut ServiceAdmission {
        self.services.entry(name.clone()).or_default()
    }

    /// Begins a round of tries for each service.
    pub fn begin_rounds(&mut self, now: Timestamp) {
        for service in self.services.values_mut() {
            service.begin_round(now);
        }
    }
}

/// What decides about a call while it waits.
pub trait PlaceSearch {
    /// A place for the call.
    type Place;

    /// Looks for a place, and takes it.
    fn find(&self) -> Option<Self::Place>;

    /// Returns the refusal of a call for which it is useless to wait.
    fn refusal(&self) -> Option<Refusal>;
}

/// Returns a place for a call, which waits for it as long as that is useful.
///
/// # Errors
///
/// Returns the refusal of a call that can't be served in time.
pub async fn admit<Search: PlaceSearch>(
    core: &EntryCore,
    call: &RoutedCall,
    request: AdmissionRequest,
    search: &Search,
) -> Result<Search::Place, Refusal> {
    if let Some(refusal) = search.refusal() {
        return Err(refusal);
    }
    let may_try = {
        let mut state = core.state();
        let queue = &mut state.admissions.service(&call.service).queue;
        queue.may_try_at_once(&request)
    };
    if may_try && let Some(place) = search.find() {
        let now = core.now();
        let mut state = core.state();
        let queue = &mut state.admissions.service(&call.service).queue;
        queue.record_sent_at_once(now, &request);
        return Ok(place);
    }
    let mut waiting = WaitingCall::join(core, call, request, may_try)?;
    loop {
        let has_turn = waiting.turn().await;
        if let Some(refusal) = search.refusal() {
            return Err(refusal);
        }
        if has_turn {
            if let Some(place) = search.find() {
                waiting.record_sent();
                return Ok(place);
            }
            waiting.record_blocked();
        }
        waiting.review()?;
    }
}

/// A call in the admission queue. Dropping the value removes the call.
struct WaitingCall<'a> {
    core: &'a EntryCore,
    call: &'a RoutedCall,
    ticket: CallTicket,
    joined_at: Timestamp,
    wake: Arc<Notify>,
}

impl<'a> WaitingCall<'a> {
    /// Adds a call to the queue.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call that would not be served in time.
    fn join(
        core: &'a EntryCore,
        call: &'a RoutedCall,
        request: AdmissionRequest,
        has_tried: bool,
    ) -> Result<Self, Refusal> {
        let now = core.now();
        let mut state = core.state();
        let admission = state.admissions.service(&call.service);
        let ticket = match admission.queue.join(now, request, has_tried) {
            Ok(ticket) => ticket,
            Err(refusal) => {
                let waiting = admission.queue.len();
                drop(state);
                return Err(record_refusal(call, refusal, waiting, Duration::ZERO));
            }
        };
        if let Some(predicted) = admission.queue.predicted_wait(now, ticket) {
            metrics::histogram!("amaranth_admission_predicted_seconds", "rank" => rank(call))
                .record(predicted.as_secs_f64());
        }
        let wake = Arc::new(Notify::new());
        admission.wakes.insert(ticket, Arc::clone(&wake));
        admission.wake_next(now);
        drop(state);
        waiting_gauge(call).increment(1.0);
        Ok(Self {
            core,
            call,
            ticket,
            joined_at: now,
            wake,
        })
    }

    /// Waits for the call's turn, or until it is reviewed. Returns whether it is its turn.
    async fn turn(&self) -> bool {
        let is_notified = timeout(POLL_INTERVAL, self.wake.notified()).await.is_ok();
        let now = self.core.now();
        let mut state = self.core.state();
        let admission = state.admissions.service(&self.call.service);
        if !is_notified && admission.queue.round_age(now) >= MIN_ROUND_INTERVAL {
            admission.begin_round(now);
        }
        admission.queue.has_turn(self.ticket)
    }

    fn record_sent(&mut self) {
        let now = self.core.now();
        let mut state = self.core.state();
        let admission = state.admissions.service(&self.call.service);
        admission.queue.record_sent(now, self.ticket);
        drop(state);
        let waited = now.since(self.joined_at);
        metrics::histogram!("amaranth_admission_wait_seconds", "rank" => rank(self.call))
            .record(waited.as_secs_f64());
        log::debug!(
            "event=admitted id={} rank={} waited_ms={}",
            self.call.head.id,
            self.call.priority,
            waited.as_millis()
        );
    }

    fn record_blocked(&mut self) {
        let now = self.core.now();
        let mut state = self.core.state();
        let admission = state.admissions.service(&self.call.service);
        admission.queue.record_blocked(now, self.ticket);
        admission.wake_next(now);
    }

    /// Decides whether the call goes on waiting.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a call that would not be served in time.
    fn review(&mut self) -> Result<(), Refusal> {
        let now = self.core.now();
        let mut state = self.core.state();
        let admission = state.admissions.service(&self.call.service);
        let Err(refusal) = admission.queue.review(now, self.ticket) else {
            return Ok(());
        };
        let waiting = admission.queue.len();
        drop(state);
        let waited = now.since(self.joined_at);
        Err(record_refusal(self.call, refusal, waiting, waited))
    }
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        let now = self.core.now();
        let mut state = self.core.state();
        let admission = state.admissions.service(&self.call.service);
        admission.queue.withdraw(now, self.ticket);
        admission.wakes.remove(&self.ticket);
        admission.wake_next(now);
        drop(state);
        waiting_gauge(self.call).decrement(1.0);
    }
}

fn rank(call: &RoutedCall) -> String {
    call.priority.to_string()
}

fn waiting_gauge(call: &RoutedCall) -> metrics::Gauge {
    metrics::gauge!("amaranth_admission_waiting", "rank" => rank(call))
}

/// Logs and counts a refusal by the queue, with what it is based on, and returns the refusal for the
/// caller.
fn record_refusal(
    call: &RoutedCall,
    refusal: AdmissionRefusal,
    waiting: usize,
    waited: Duration,
) -> Refusal {
    let AdmissionRefusal {
        cause,
        forecast,
        retry_after,
    } = refusal;
    let cause_name: &'static str = cause.into();
    metrics::counter!(
        "amaranth_admission_refusals_total",
        "cause" => cause_name,
        "rank" => rank(call)
    )
    .increment(1);
    let predicted = forecast.wait.map(|wait| wait.as_millis().to_string());
    log::info!(
        "event=no_place id={} reason={cause} service={} rank={} team={} waited_ms={} line={waiting} position={} work_ahead={} predicted_ms={} retry_after_ms={}",
        call.head.id,
        call.service,
        call.priority,
        call.team.as_ref().map_or("-", |team| team.as_str()),
        waited.as_millis(),
        forecast.position,
        forecast.work_ahead,
        predicted.as_deref().unwrap_or("-"),
        retry_after.as_millis()
    );
    let has_waited = matches!(cause, AdmissionCause::GaveUp | AdmissionCause::Expired);
    let cause = if has_waited && call.engine.is_some() {
        RefusalCause::AdapterWait
    } else {
        RefusalCause::Overloaded
    };
    Refusal::with_retry_after(cause, retry_after)
}
