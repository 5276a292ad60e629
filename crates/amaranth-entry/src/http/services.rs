//! Handler of calls to plain services.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use amaranth_config::entries::LimitsEntry;
use amaranth_control::claim_event::ClaimCall;
use amaranth_control::key_window::KeyWindow;
use amaranth_core::digest::body_digest;
use amaranth_core::errors::{Error, ErrorKind, Result, RunState, not_found};
use amaranth_core::ids::EndpointId;
use amaranth_core::request::{ServiceAnswer, ServiceRequest};
use amaranth_telemetry::spans::HopSpan;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::uri::PathAndQuery;
use axum::http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use axum::response::IntoResponse;
use smallvec::SmallVec;

use super::api_errors::{AnswerLabels, ApiError};
use super::request_head::{RequestHead, new_request_id, read_body};
use crate::agent_link::LinkError;
use crate::directory::EndpointHandle;
use crate::entry_state::EntryState;

/// Maximum number of endpoints that are tried for one repeatable call.
const MAX_ENDPOINTS: usize = 3;

/// Answers a call whose path belongs to a plain service.
pub async fn call(State(state): State<Arc<EntryState>>, request: Request) -> Response<Body> {
    let mut labels = AnswerLabels {
        request: new_request_id(),
        revision: state.catalogue.load().revision(),
    };
    metrics::counter!("amaranth_entry_requests_total", "api" => "service").increment(1);
    match answer(&state, request, &mut labels).await {
        Ok(answer) => service_response(answer, labels),
        Err(error) => {
            log::info!(
                "event=request_refused request={} kind={}",
                labels.request,
                error.kind
            );
            metrics::counter!("amaranth_entry_refusals_total", "kind" => <&str>::from(error.kind))
                .increment(1);
            ApiError { labels, error }.into_response()
        }
    }
}

async fn answer(
    state: &Arc<EntryState>,
    request: Request,
    labels: &mut AnswerLabels,
) -> Result<ServiceAnswer> {
    let _admitted = state.limiter.admit(state.settings.max_in_flight)?;
    state.readiness.check_configuration()?;
    let catalogue = state.catalogue.load_full();
    labels.revision = catalogue.revision();
    let (parts, body) = request.into_parts();
    let head = RequestHead::read(&parts.headers, catalogue.limits())?;
    let mut span = HopSpan::start("entry", head.trace);
    span.set_attribute("request", labels.request);
    let full_path = parts.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    let resolved = catalogue
        .service_for_path(full_path)
        .ok_or_else(|| not_found(format!("path {:?} does not exist", parts.uri.path())))?;
    let method = parts.method.as_str();
    let repeatable = resolved.is_repeatable(method);
    let body = read_body(&parts.headers, body, catalogue.limits()).await?;
    let call = ServiceRequest {
        id: labels.request,
        service: resolved.service.name.clone(),
        endpoint: unrouted_endpoint()?,
        method: method.to_owned(),
        path: resolved.path.into_owned(),
        content_type: content_type(&parts.headers),
        body,
        claim: None,
        time_left: head.time_left(),
        trace: span.context(),
    };
    if repeatable {
        return call_repeatable(state, &head, call).await;
    }
    call_claimed(state, catalogue.limits(), &head, call).await
}

/// Returns the placeholder endpoint of a call before an instance is selected.
fn unrouted_endpoint() -> Result<EndpointId> {
    "unrouted".parse()
}

/// Calls one instance after another until one answers or no attempt, time or retry is left.
async fn call_repeatable(
    state: &Arc<EntryState>,
    head: &RequestHead,
    mut call: ServiceRequest,
) -> Result<ServiceAnswer> {
    let mut tried: SmallVec<[EndpointId; MAX_ENDPOINTS]> = SmallVec::new();
    state.retries.deposit();
    loop {
        let handle = state.directory.select_service(&call.service, &tried)?;
        call.endpoint = handle.endpoint.clone();
        call.time_left = head.time_left();
        let error = match call_once(state, &handle, call.clone()).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        tried.push(handle.endpoint);
        let exhausted = tried.len() >= MAX_ENDPOINTS || head.time_left().is_zero();
        if exhausted || !state.retries.withdraw() {
            return Err(error);
        }
        metrics::counter!("amaranth_entry_retries_total").increment(1);
    }
}

/// Calls one instance, and records the outcome for its circuit breaker.
async fn call_once(
    state: &EntryState,
    handle: &EndpointHandle,
    call: ServiceRequest,
) -> Result<ServiceAnswer> {
    let mut attempt = state
        .directory
        .start_service_attempt(handle)
        .ok_or_else(|| {
            Error::new(
                ErrorKind::NoEndpoint,
                format!(
                    "the circuit breaker of endpoint {} is open",
                    handle.endpoint
                ),
            )
        })?;
    let timeout = call.time_left;
    let reply = handle.link.call(timeout, |client, context| async move {
        client.call_service(context, call).await
    });
    let error = match reply.await {
        Ok(answer) => {
            attempt.record_answer();
            return Ok(answer);
        }
        Err(LinkError::Refused(error)) => error,
        Err(LinkError::NotSent(cause) | LinkError::Lost(cause)) => {
            Error::new(ErrorKind::EndpointUnreachable, cause)
        }
    };
    attempt.record_failure(error.kind);
    Err(error)
}

/// Runs a call at most once. A call without an idempotency key gets its request id as the key.
async fn call_claimed(
    state: &Arc<EntryState>,
    limits: &LimitsEntry,
    head: &RequestHead,
    call: ServiceRequest,
) -> Result<ServiceAnswer> {
    let key = match &head.key {
        Some(key) => key.clone(),
        None => call.id.to_string().parse()?,
    };
    let window = KeyWindow {
        window: limits.key_window,
        require_dated: state.settings.claims.require_dated_keys,
    };
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    window.check(&key, since_epoch.unwrap_or_default())?;
    let claim_call = ClaimCall {
        request: call.id,
        key,
        body_digest: call_digest(&call),
        deadline: state.clock.now() + head.time_left(),
    };
    state.claims.call(claim_call, call).await
}

/// Returns the digest of service, method, path and body of a call, each preceded by its length.
fn call_digest(call: &ServiceRequest) -> u128 {
    let mut text = Vec::with_capacity(call.body.len() + call.path.len() + 64);
    let service = call.service.as_str().as_bytes();
    for part in [
        service,
        call.method.as_bytes(),
        call.path.as_bytes(),
        &call.body,
    ] {
        text.extend_from_slice(&part.len().to_le_bytes());
        text.extend_from_slice(part);
    }
    body_digest(&text)
}

fn content_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::CONTENT_TYPE)?;
    value.to_str().ok().map(str::to_owned)
}

fn service_response(answer: ServiceAnswer, labels: AnswerLabels) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    let content_type = answer
        .content_type
        .and_then(|text| HeaderValue::try_from(text).ok());
    if let Some(content_type) = content_type {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    labels.write(RunState::Run, headers);
    response
}
