//! Parsing of the headers and the body of a request, and request ids.

use std::str::FromStr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use amaranth_config::entries::LimitsEntry;
use amaranth_core::errors::{Error, ErrorKind, Result, invalid_request};
use amaranth_core::ids::{CallerId, IdempotencyKey, RequestId};
use amaranth_core::request::RequestPriority;
use amaranth_core::trace::TraceContext;
use amaranth_telemetry::spans::new_trace;
use axum::body::Body;
use axum::http::{HeaderMap, HeaderName, header};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};

/// Header that names the caller.
const CALLER: HeaderName = HeaderName::from_static("x-amaranth-caller");

/// Header that states the priority of the request.
const PRIORITY: HeaderName = HeaderName::from_static("x-amaranth-priority");

/// Header that states how long the caller waits, in milliseconds.
const DEADLINE: HeaderName = HeaderName::from_static("x-amaranth-deadline-ms");

/// Header that carries the idempotency key of a call.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Header that carries the W3C trace context.
const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// The caller id of a request that names no caller.
const ANONYMOUS: &str = "anonymous";

/// The parsed headers of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The caller of the request.
    pub caller: CallerId,
    /// The priority, if the caller states one.
    pub priority: Option<RequestPriority>,
    /// The time at which the caller stops waiting.
    pub deadline: Instant,
    /// The idempotency key, if the caller states one.
    pub key: Option<IdempotencyKey>,
    /// The trace context of the caller, or of a new trace.
    pub trace: TraceContext,
}

impl RequestHead {
    /// Parses the headers. The time until the deadline is capped by `limits`.
    ///
    /// # Errors
    ///
    /// `InvalidRequest` with the name of the malformed header.
    pub fn read(headers: &HeaderMap, limits: &LimitsEntry) -> Result<Self> {
        let caller = match parse_header::<CallerId>(headers, &CALLER)? {
            Some(caller) => caller,
            None => ANONYMOUS.parse()?,
        };
        let time_left = parse_header::<u64>(headers, &DEADLINE)?
            .map_or(limits.default_deadline, Duration::from_millis)
            .min(limits.max_deadline);
        // A malformed trace context starts a new trace, as the W3C standard requires.
        let trace = parse_header(headers, &TRACEPARENT)
            .unwrap_or_default()
            .unwrap_or_else(new_trace);
        Ok(Self {
            caller,
            priority: parse_header(headers, &PRIORITY)?,
            deadline: Instant::now() + time_left,
            key: parse_header(headers, &IDEMPOTENCY_KEY)?,
            trace,
        })
    }

    /// Returns the time until the deadline, zero once it has passed.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

fn parse_header<T: FromStr<Err: std::fmt::Display>>(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<T>> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| invalid_request(format!("header {name} is not ASCII text")))?;
    match text.trim().parse() {
        Ok(parsed) => Ok(Some(parsed)),
        Err(error) => Err(invalid_request(format!("header {name}: {error}"))),
    }
}

/// Reads a whole request body.
///
/// # Errors
///
/// `BodyTooLarge` if the body exceeds the limit, `Cancelled` if the caller disconnected before the
/// end of the body.
pub async fn read_body(headers: &HeaderMap, body: Body, limits: &LimitsEntry) -> Result<Bytes> {
    let limit = limits.max_body.as_usize();
    let too_large = || {
        Error::new(
            ErrorKind::BodyTooLarge,
            format!("the body is larger than {}", limits.max_body),
        )
    };
    let stated_length = headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse::<usize>().ok());
    if stated_length.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(too_large()),
        Err(error) => Err(Error::new(
            ErrorKind::Cancelled,
            format!("reading the body failed: {error}"),
        )),
    }
}

/// Creates a request id in the layout of UUIDv7, whose first 48 bits are the time in milliseconds.
pub fn new_request_id() -> RequestId {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let random: u128 = rand::random();
    let version_and_variant = (0x7 << 76) | (0b10 << 62);
    let random_bits = random & !(0xf << 76) & !(0b11 << 62) & ((1 << 80) - 1);
    RequestId((since_epoch.as_millis() << 80) | version_and_variant | random_bits)
}
