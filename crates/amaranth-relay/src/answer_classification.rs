//! Classification of an endpoint's answer by its head: a success, a failure of the endpoint, or evidence
//! that the call did not run.

use amaranth_core::ids::EndpointId;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::attempts::SendFailure;
use amaranth_dispatch::endpoint_table::{EndpointChange, EndpointOutcome};
use amaranth_dispatch::not_run_proof::{
    AnswerFacts, CallSend, Handed, NamedCall, NotRunDoubt, NotRunReason,
};
use amaranth_dispatch::refusal::is_not_run_status;
use bytes::Bytes;
use http::Response;

use crate::call_codec::AnswerMetadata;
use crate::endpoint_body::EndpointBody;
use crate::endpoint_pool::EndpointConnection;
use crate::endpoint_send::{FailedSend, OpenAnswer, read_full_answer};
use crate::entry::EntryCore;
use crate::routed_call::RoutedCall;
use crate::send_guard::SendGuard;

/// A send whose answer begins to arrive.
#[derive(Debug)]
pub struct AnsweredSend {
    /// The send, which the answer may prove not to have run.
    pub sent: CallSend<Handed>,
    /// The time of the send.
    pub sent_at: Timestamp,
    /// The connection that carries the answer.
    pub connection: EndpointConnection,
    /// The guard that counts the call at the endpoint.
    pub guard: SendGuard,
}

impl AnsweredSend {
    /// Classifies the answer.
    ///
    /// # Errors
    ///
    /// Returns the failed send unless the answer is a success of this call.
    pub async fn classify(
        mut self,
        core: &EntryCore,
        call: &RoutedCall,
        response: Response<EndpointBody>,
    ) -> Result<OpenAnswer, FailedSend> {
        let (parts, body) = response.into_parts();
        let metadata = core.codec.read_answer(&parts);
        self.connection.record_keep_alive(metadata.keep_alive);
        record_leaving(core, self.guard.endpoint(), &metadata);
        let mut facts = AnswerFacts {
            status: parts.status.as_u16(),
            states_not_run: metadata.not_run,
            is_authenticated: metadata.authenticated,
            named_call: named_call(call, &metadata),
            is_complete: false,
        };
        if !self.may_belong_to(facts.named_call) || metadata.is_encoded {
            log::warn!(
                "event=foreign_answer id={} endpoint={} status={} names_call={} connection={} connection_sends={}",
                call.head.id,
                self.guard.endpoint(),
                facts.status,
                facts.named_call,
                self.connection.number(),
                self.connection.carried().sends()
            );
            self.guard.set_outcome(EndpointOutcome::Failed);
            return Err(FailedSend::without_answer(SendFailure::Ambiguous));
        }
        record_limit(core, self.guard.endpoint(), &metadata, self.sent_at);
        let response = Response::from_parts(parts, body);
        if !response.status().is_success() {
            let full_answer = read_full_answer(call, response).await.ok();
            facts.is_complete = full_answer.is_some();
            return Err(self.fail(core, call, &metadata, facts, full_answer));
        }
        if !metadata.authenticated || metadata.not_run {
            return Err(self.fail(core, call, &metadata, facts, None));
        }
        Ok(OpenAnswer {
            response,
            metadata,
            connection: self.connection,
            guard: self.guard,
            origin: None,
        })
    }

    /// Returns whether an answer that names this call, or none, may be the answer to this send.
    const fn may_belong_to(&self, named_call: NamedCall) -> bool {
        match named_call {
            NamedCall::Sent => true,
            NamedCall::Missing => self.connection.carried().sends() == 1,
            NamedCall::Other => false,
        }
    }

    /// Decides what an answer says that is not a success.
    fn fail(
        mut self,
        core: &EntryCore,
        call: &RoutedCall,
        metadata: &AnswerMetadata,
        facts: AnswerFacts,
        full_answer: Option<Response<Bytes>>,
    ) -> FailedSend {
        let verified = self.sent.verify(&facts);
        log_failure(call, &self.connection, &self.guard, facts, verified.err());
        if full_answer.is_some() {
            core.pool.release(self.connection);
        }
        let proof = match verified {
            Ok(proof) => proof,
            Err(_) => {
                self.guard.set_outcome(EndpointOutcome::Failed);
                // A status that promises callers that nothing ran is not passed on without a proof.
                let answer = full_answer
                    .filter(|_| facts.is_authenticated && !is_not_run_status(facts.status));
                let failure = if answer.is_some() {
                    SendFailure::Failed
                } else {
                    SendFailure::Ambiguous
                };
                return FailedSend { failure, answer };
            }
        };
        match proof.reason() {
            NotRunReason::Misdirected => {
                record_misdirected(core, call, self.guard.endpoint(), metadata);
            }
            NotRunReason::Refused | NotRunReason::NotSent => {
                record_pause(core, self.guard.endpoint(), metadata);
            }
        }
        FailedSend::without_answer(SendFailure::NotRun(proof))
    }
}

/// Returns the call that the head of an answer names.
fn named_call(call: &RoutedCall, metadata: &AnswerMetadata) -> NamedCall {
    match metadata.call_id.as_deref() {
        None => NamedCall::Missing,
        Some(id) if id == call.head.id.as_str() => NamedCall::Sent,
        Some(_) => NamedCall::Other,
    }
}

/// Logs an answer that is not a success, with what ties it to the call.
fn log_failure(
    call: &RoutedCall,
    connection: &EndpointConnection,
    guard: &SendGuard,
    facts: AnswerFacts,
    doubt: Option<NotRunDoubt>,
) {
    let event = if facts.claims_not_run() {
        "endpoint_refusal"
    } else {
        "endpoint_failure"
    };
    let doubt = doubt.map_or_else(|| "none".to_owned(), |doubt| doubt.to_string());
    log::info!(
        "event={event} id={} endpoint={} status={} stated_not_run={} authenticated={} names_call={} complete={} connection={} connection_sends={} call_sends={} doubt={doubt}",
        call.head.id,
        guard.endpoint(),
        facts.status,
        facts.states_not_run,
        facts.is_authenticated,
        facts.named_call,
        facts.is_complete,
        connection.number(),
        connection.carried().sends(),
        connection.carried().sends_of(&call.head.id)
    );
    if facts.claims_not_run() {
        metrics::counter!("amaranth_endpoint_refusals_total", "doubt" => doubt).increment(1);
    }
}

/// Returns whether the head of an answer names another endpoint than the one that was addressed.
fn is_of_other_endpoint(endpoint: &EndpointId, metadata: &AnswerMetadata) -> bool {
    let answered_by = metadata.answered_by.as_deref();
    answered_by.is_some_and(|other| other != endpoint.as_str())
}

/// Records the statement of an endpoint, in the head of any answer, that it is leaving.
fn record_leaving(core: &EntryCore, endpoint: &EndpointId, metadata: &AnswerMetadata) {
    if !metadata.is_leaving || is_of_other_endpoint(endpoint, metadata) {
        return;
    }
    let change = core.state().endpoints.record_leaving(endpoint);
    if change == EndpointChange::Draining {
        log::info!("event=endpoint endpoint={endpoint} change={change} source=answer");
    }
}

/// Records the pause that an endpoint wants when it refuses a call.
fn record_pause(core: &EntryCore, endpoint: &EndpointId, metadata: &AnswerMetadata) {
    let Some(pause) = metadata
        .pause
        .filter(|_| !is_of_other_endpoint(endpoint, metadata))
    else {
        return;
    };
    let now = core.now();
    core.state().endpoints.record_pause(now, endpoint, pause);
    log::info!(
        "event=endpoint_paused endpoint={endpoint} pause_ms={}",
        pause.as_millis()
    );
}

/// Records the limit that an endpoint states in the head of an answer, or that it states none any
/// more, which only an authenticated answer shows.
fn record_limit(
    core: &EntryCore,
    endpoint: &EndpointId,
    metadata: &AnswerMetadata,
    sent_at: Timestamp,
) {
    if metadata.misdirected || (metadata.limit.is_none() && !metadata.authenticated) {
        return;
    }
    let now = core.now();
    let mut state = core.state();
    let has_changed = state
        .endpoints
        .record_limit(now, endpoint, sent_at, metadata.limit);
    drop(state);
    if has_changed {
        let limit = metadata.limit.map(|limit| limit.to_string());
        log::info!(
            "event=endpoint_limit endpoint={endpoint} limit={}",
            limit.as_deref().unwrap_or("none")
        );
    }
}

/// Corrects the table after an endpoint refused a call as misdirected: another endpoint has its
/// address, or the endpoint lacks the adapter.
fn record_misdirected(
    core: &EntryCore,
    call: &RoutedCall,
    endpoint: &EndpointId,
    metadata: &AnswerMetadata,
) {
    let other = metadata.answered_by.as_deref();
    if let Some(other) = other.filter(|other| *other != endpoint.as_str()) {
        let change = core.state().endpoints.record_replaced(endpoint);
        log::info!("event=endpoint endpoint={endpoint} change={change} replaced_by={other}");
        return;
    }
    let Some(need) = &call.need else {
        return;
    };
    let Some(adapter) = &need.adapter else {
        return;
    };
    if let Some(state) = core.state().endpoints.get_mut(endpoint) {
        state.record_missing(&need.model, adapter);
    }
}
