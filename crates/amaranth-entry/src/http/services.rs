//! Calls of plain services.

use std::sync::Arc;

use amaranth_core::errors::{Error, ErrorKind, Result, RunState};
use amaranth_core::ids::EndpointId;
use amaranth_core::request::{ServiceAnswer, ServiceRequest};
use amaranth_telemetry::spans::HopSpan;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use axum::response::IntoResponse;
use smallvec::SmallVec;

use super::api_errors::{AnswerLabels, ApiError};
use super::request_head::{RequestHead, new_request_id, read_body};
use crate::agent_link::LinkError;
use crate::entry_state::EntryState;
use crate::request_catalogue::ServiceRule;

/// Endpoints that are tried for one repeatable call.
const MAX_ENDPOINTS: usize = 3;

/// Answers a call below the path of the services.
pub async fn call(State(state): State<Arc<EntryState>>, request: Request) -> Response<Body> {
    let mut labels = AnswerLabels {
        request: new_request_id(),
        revision: state.catalogue.load().revision,
    };
    match answer(&state, request, &mut labels).await {
        Ok(answer) => service_response(answer, labels),
        Err(error) => {
            log::info!(
                "event=request_refused request={} kind={}",
                labels.request,
                error.kind
            );
            ApiError { labels, error }.into_response()
        }
    }
}

async fn answer(
    state: &Arc<EntryState>,
    request: Request,
    labels: &mut AnswerLabels,
) -> Result<ServiceAnswer> {
    let _admitted = state.gate.enter(state.settings.limits.max_in_flight)?;
    let (parts, body) = request.into_parts();
    let head = RequestHead::read(&parts.headers, &state.settings.limits)?;
    let mut span = HopSpan::start("entry", head.trace);
    span.set("request", labels.request);
    let revised = state.catalogue.load_full();
    labels.revision = revised.revision;
    let below = parts
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .trim_start_matches(&state.settings.services_path)
        .trim_start_matches('/');
    let name_end = below.find(['/', '?']).unwrap_or(below.len());
    let (name, path) = below.split_at(name_end);
    let rule = revised
        .catalogue
        .service_rule(name, parts.method.as_str(), path)?;
    let body = read_body(&parts.headers, body, &state.settings.limits).await?;
    let call = ServiceRequest {
        id: labels.request,
        service: rule.service.clone(),
        endpoint: unrouted_endpoint()?,
        method: parts.method.to_string(),
        path: path.to_owned(),
        content_type: content_type(&parts.headers),
        body,
        claim: None,
        time_left: head.time_left(),
        trace: span.context(),
    };
    if rule.repeatable {
        return call_repeatable(state, &rule, &head, call).await;
    }
    Err(Error::new(
        ErrorKind::LogUnavailable,
        "the entry has no claims of non-idempotent calls yet",
    ))
}

fn unrouted_endpoint() -> Result<EndpointId> {
    "unrouted".parse()
}

/// Calls one instance after the other until one answers.
async fn call_repeatable(
    state: &Arc<EntryState>,
    rule: &ServiceRule,
    head: &RequestHead,
    mut call: ServiceRequest,
) -> Result<ServiceAnswer> {
    let mut tried: SmallVec<[EndpointId; MAX_ENDPOINTS]> = SmallVec::new();
    loop {
        let handle = state
            .directory
            .load()
            .route_service(&rule.service, &tried)?;
        let _in_flight = handle.enter();
        call.endpoint = handle.endpoint.clone();
        call.time_left = head.time_left();
        let (attempt, timeout) = (call.clone(), call.time_left);
        let reply = handle
            .link
            .call(timeout, |client, context| async move {
                client.call_service(context, attempt).await
            })
            .await;
        let error = match reply {
            Ok(answer) => return Ok(answer),
            Err(LinkError::Refused(error)) => error,
            Err(LinkError::NotSent(what) | LinkError::Lost(what)) => {
                Error::new(ErrorKind::EndpointUnreachable, what)
            }
        };
        tried.push(handle.endpoint.clone());
        if tried.len() >= MAX_ENDPOINTS || head.time_left().is_zero() {
            return Err(error);
        }
    }
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
