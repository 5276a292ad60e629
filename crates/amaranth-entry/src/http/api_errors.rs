//! Error answers in the format of the OpenAI API.

use amaranth_core::errors::{Error, ErrorKind, RetryAdvice, RunState};
use amaranth_core::ids::{ConfigRevision, RequestId};
use axum::body::Body;
use axum::http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use axum::response::IntoResponse;
use bytes::Bytes;
use serde::Serialize;

/// Header that carries the request id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header that states whether the work ran.
pub const RUN_STATE: HeaderName = HeaderName::from_static("x-amaranth-run");

/// Header that carries the configuration revision by which the request was routed.
pub const REVISION: HeaderName = HeaderName::from_static("x-amaranth-revision");

/// Delay in seconds after which a caller should retry if the error states none.
const DEFAULT_RETRY_AFTER_SECONDS: u64 = 1;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorObject<'a>,
}

#[derive(Serialize)]
struct ErrorObject<'a> {
    message: &'a str,
    r#type: &'a str,
    param: Option<&'a str>,
    code: &'a str,
}

/// Returns the JSON text of `error`.
pub fn error_json(error: &Error) -> Bytes {
    let answer = error.kind.answer();
    let body = ErrorBody {
        error: ErrorObject {
            message: &error.message,
            r#type: answer.error_type,
            param: None,
            code: error.kind.into(),
        },
    };
    serde_json::to_vec(&body)
        .map(Bytes::from)
        .expect("an error object has string keys only")
}

/// The request id and revision that every answer to one request carries in its headers.
#[derive(Debug, Clone, Copy)]
pub struct AnswerLabels {
    /// The id of the request.
    pub request: RequestId,
    /// The configuration revision by which the request was routed.
    pub revision: ConfigRevision,
}

impl AnswerLabels {
    /// Adds the labels and the run state to the headers of an answer.
    pub fn write(self, run: RunState, headers: &mut HeaderMap) {
        headers.insert(REQUEST_ID, text_value(self.request.to_string()));
        headers.insert(REVISION, text_value(self.revision.to_string()));
        headers.insert(RUN_STATE, HeaderValue::from_static(run.into()));
    }
}

/// An error answer to one request.
#[derive(Debug, Clone)]
pub struct ApiError {
    /// The labels of the request.
    pub labels: AnswerLabels,
    /// The error that the answer reports.
    pub error: Error,
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response<Body> {
        let answer = self.error.kind.answer();
        let mut response = Response::new(Body::from(error_json(&self.error)));
        *response.status_mut() =
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        self.labels.write(answer.run, headers);
        if self.error.kind == ErrorKind::Draining {
            // The caller's next request goes to another entry.
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        if let Some(seconds) = retry_after_seconds(&self.error) {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Returns the delay after which the caller should retry, rounded up to whole seconds, or `None` if
/// a retry can't succeed.
fn retry_after_seconds(error: &Error) -> Option<u64> {
    if let Some(delay) = error.retry_after {
        let whole = delay.as_secs() + u64::from(delay.subsec_nanos() > 0);
        return Some(whole.max(1));
    }
    let advised = error.kind.answer().retry != RetryAdvice::Never;
    advised.then_some(DEFAULT_RETRY_AFTER_SECONDS)
}

fn text_value(text: String) -> HeaderValue {
    HeaderValue::try_from(text).expect("ids are visible ASCII")
}
