//! The answer to a call that is not a stream, and the log line that reports how the call ended.

use std::sync::Arc;

use amaranth_core::ids::EndpointId;
use amaranth_dispatch::attempts::AttemptHistory;
use amaranth_dispatch::call::CallHead;
use amaranth_dispatch::refusal::{Refusal, RefusalCause};
use bytes::Bytes;
use http::{Response, StatusCode};

use crate::answer_body::{self, AnswerBody};
use crate::entry::EntryCore;
use crate::routed_call::RoutedCall;

/// Logs the outcome of a call exactly once, also when the caller disconnects.
#[derive(Debug)]
pub struct CallRecord {
    core: Arc<EntryCore>,
    call: Arc<RoutedCall>,
    /// The endpoint that the call was sent to last.
    pub endpoint: Option<EndpointId>,
    ended: bool,
}

impl CallRecord {
    /// Creates the record of a routed call.
    pub fn new(core: &Arc<EntryCore>, call: &Arc<RoutedCall>) -> Self {
        Self {
            core: Arc::clone(core),
            call: Arc::clone(call),
            endpoint: None,
            ended: false,
        }
    }

    /// Defers the log line to the stream that answers the call.
    pub fn defer_to_stream(&mut self) {
        self.ended = true;
    }

    /// Logs success and returns an endpoint's complete answer for the caller.
    pub fn forward(&mut self, response: Response<Bytes>) -> Response<AnswerBody> {
        let (parts, bytes) = response.into_parts();
        self.call.record_pace(&self.core);
        self.log_end("answered", parts.status.as_u16());
        let mut answer = Response::new(answer_body::full(bytes));
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = self.core.codec.answer_headers(&parts.headers);
        *answer.extensions_mut() = parts.extensions;
        answer
    }

    /// Logs a refusal and returns it for the caller.
    ///
    /// If the call may have run, an endpoint's own failure is preferred to a refusal by the entry.
    pub fn refuse(
        &mut self,
        refusal: Refusal,
        history: &AttemptHistory,
        endpoint_failure: Option<Response<Bytes>>,
    ) -> Response<AnswerBody> {
        if history.may_have_run()
            && let Some(response) = endpoint_failure
        {
            return self.forward(response);
        }
        if history.may_have_run() {
            self.call.record_pace(&self.core);
        }
        let refusal = if history.may_have_run() && refusal.cause.promises_not_run() {
            Refusal::new(RefusalCause::OutcomeUnknown)
        } else {
            refusal
        };
        let cause: &'static str = refusal.cause.into();
        self.log_end(cause, refusal.cause.status());
        refuse(&self.core, Some(&self.call.head), refusal)
    }

    fn log_end(&mut self, outcome: &str, status: u16) {
        self.ended = true;
        let took = self.call.arrived.elapsed();
        metrics::histogram!("amaranth_call_seconds").record(took.as_secs_f64());
        log::info!(
            "event=call id={} route={} kind={} endpoint={} outcome={outcome} adapter={} status={status} took_ms={} config={}",
            self.call.head.id,
            self.call.route.name,
            self.call.route.kind,
            self.endpoint
                .as_ref()
                .map_or("-", |endpoint| endpoint.as_str()),
            self.call.adapter_name(),
            took.as_millis(),
            self.call.config_version,
        );
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        if !self.ended {
            self.log_end("caller-left", 0);
        }
    }
}

/// Returns a refusal that the entry makes itself, and counts it.
pub fn refuse(core: &EntryCore, head: Option<&CallHead>, refusal: Refusal) -> Response<AnswerBody> {
    let cause: &'static str = refusal.cause.into();
    metrics::counter!("amaranth_refusals_total", "cause" => cause).increment(1);
    let mut response = Response::new(answer_body::empty());
    *response.status_mut() =
        StatusCode::from_u16(refusal.cause.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = core.codec.refusal_headers(head, refusal);
    response
}
