//! The answer to a call that is not a stream, and the log line of its end.

use std::sync::Arc;

use amaranth_core::ids::EndpointId;
use amaranth_dispatch::attempts::AttemptHistory;
use amaranth_dispatch::call::CallHead;
use amaranth_dispatch::refusal::{Refusal, RefusalCause};
use bytes::Bytes;
use http::{Response, StatusCode};

use crate::answer_body::{self, AnswerBody};
use crate::entry::EntryCore;
use crate::routed_call::Call;

/// Writes the log line of a call at its end, also when its caller leaves.
#[derive(Debug)]
pub struct CallRecord {
    core: Arc<EntryCore>,
    call: Arc<Call>,
    /// The endpoint that the call was sent to last.
    pub endpoint: Option<EndpointId>,
    ended: bool,
}

impl CallRecord {
    /// Opens the record of a call that was routed.
    pub fn open(core: &Arc<EntryCore>, call: &Arc<Call>) -> Self {
        Self {
            core: Arc::clone(core),
            call: Arc::clone(call),
            endpoint: None,
            ended: false,
        }
    }

    /// Notes that the answer is a stream.
    pub fn streams(&mut self) {
        // The stream writes the line at its own end.
        self.ended = true;
    }

    /// Passes an endpoint's whole answer on.
    pub fn pass(&mut self, response: Response<Bytes>) -> Response<AnswerBody> {
        let (parts, bytes) = response.into_parts();
        self.write("answered", parts.status.as_u16());
        let mut answer = Response::new(answer_body::whole(bytes));
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = self.core.dialect.answer_headers(&parts.headers);
        *answer.extensions_mut() = parts.extensions;
        answer
    }

    /// Answers for the endpoints. A failure of their own goes before a failure of the layer's.
    pub fn refuse(
        &mut self,
        refusal: Refusal,
        history: &AttemptHistory,
        own_failure: Option<Response<Bytes>>,
    ) -> Response<AnswerBody> {
        if history.may_have_run()
            && let Some(response) = own_failure
        {
            return self.pass(response);
        }
        let refusal = if history.may_have_run() && refusal.cause.promises_not_run() {
            Refusal::new(RefusalCause::OutcomeUnknown)
        } else {
            refusal
        };
        let cause: &'static str = refusal.cause.into();
        self.write(cause, refusal.cause.status());
        refuse(&self.core, Some(&self.call.head), refusal)
    }

    fn write(&mut self, outcome: &str, status: u16) {
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
            self.write("caller-left", 0);
        }
    }
}

/// Writes an answer of the layer's own.
pub fn refuse(core: &EntryCore, head: Option<&CallHead>, refusal: Refusal) -> Response<AnswerBody> {
    let cause: &'static str = refusal.cause.into();
    metrics::counter!("amaranth_refusals_total", "cause" => cause).increment(1);
    let mut response = Response::new(answer_body::empty());
    *response.status_mut() =
        StatusCode::from_u16(refusal.cause.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = core.dialect.refusal_headers(head, refusal);
    response
}
