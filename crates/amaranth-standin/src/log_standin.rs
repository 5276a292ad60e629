//! A stand-in for the platform's append-only log.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranth_core::ids::LogOffset;
use amaranth_core::units::EventRate;
use amaranth_ports::http_client::RETRY_AFTER_MS;
use amaranth_ports::http_log::{AppendedOffset, EncodedPage};
use amaranth_ports::log::{LogPage, LogRecord, LogStream};
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::control::{ControlledState, control_router};
use crate::faults::{CommonFaults, aborted_answer, consume_fault};
use crate::rate_limiter::RateLimiter;
use crate::server::StandinServer;

/// Largest accepted record, in bytes.
const MAX_RECORD_BYTES: usize = 16 << 20;

/// Longest time for which a read waits for a new record.
const MAX_POLL_WAIT: Duration = Duration::from_secs(30);

/// Settings of a [`LogStandin`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogOptions {
    /// Address on which the stand-in listens.
    pub listen: SocketAddr,
    /// Time for which a record is retained.
    #[serde(with = "humantime_serde")]
    pub retention: Duration,
    /// Sustained rate of accepted appends.
    pub append_rate: EventRate,
    /// Number of appends accepted in one burst.
    pub append_burst: u32,
    /// Faults when the stand-in starts.
    pub faults: LogFaults,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            retention: Duration::from_secs(3_600),
            append_rate: EventRate(300.0),
            append_burst: 300,
            faults: LogFaults::default(),
        }
    }
}

/// Faults of a [`LogStandin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Faults that every HTTP stand-in supports.
    pub common: CommonFaults,
    /// Number of next appends that take effect but whose answer is lost.
    pub lost_appends: u32,
    /// Number of next appends that are dropped without effect or answer.
    pub dropped_appends: u32,
}

/// Counters of a [`LogStandin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LogCounters {
    /// Number of appended records.
    pub appends: u64,
    /// Number of answered reads.
    pub reads: u64,
    /// Number of appends refused by the rate limit.
    pub limited: u64,
    /// Number of appends that took effect but whose answer was lost.
    pub lost_answers: u64,
    /// Number of appends dropped without effect.
    pub dropped: u64,
}

/// A record with the time of its append.
#[derive(Debug, Clone)]
struct RetainedRecord {
    record: LogRecord,
    appended_at: Instant,
}

/// The retained records and the end of one log stream.
#[derive(Debug)]
struct RecordStream {
    records: VecDeque<RetainedRecord>,
    end: watch::Sender<LogOffset>,
}

impl RecordStream {
    fn new() -> Self {
        Self {
            records: VecDeque::new(),
            end: watch::Sender::new(LogOffset(0)),
        }
    }

    fn append(&mut self, data: Bytes) -> LogOffset {
        let offset = *self.end.borrow();
        self.records.push_back(RetainedRecord {
            record: LogRecord { offset, data },
            appended_at: Instant::now(),
        });
        self.end.send_replace(offset.next());
        offset
    }

    /// Removes the records that are older than `retention`.
    fn remove_expired(&mut self, retention: Duration) {
        let now = Instant::now();
        while self
            .records
            .front()
            .is_some_and(|retained| now.duration_since(retained.appended_at) > retention)
        {
            self.records.pop_front();
        }
    }

    /// Returns up to `limit` retained records with offsets from `from` on.
    fn page(&self, from: LogOffset, limit: usize) -> LogPage {
        let end = *self.end.borrow();
        let first_kept = self
            .records
            .front()
            .map_or(end, |retained| retained.record.offset);
        let skipped = usize::try_from(from.0.saturating_sub(first_kept.0)).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skipped).take(limit);
        LogPage {
            records: records.map(|retained| retained.record.clone()).collect(),
            first_kept,
            end,
        }
    }
}

/// The mutable state of a log.
#[derive(Debug)]
struct LogInner {
    streams: BTreeMap<LogStream, RecordStream>,
    limiter: RateLimiter,
    faults: LogFaults,
    counters: LogCounters,
}

impl LogInner {
    fn stream(&mut self, stream: LogStream) -> &mut RecordStream {
        self.streams.entry(stream).or_insert_with(RecordStream::new)
    }
}

/// The settings and state that the handlers of a log share.
#[derive(Debug)]
struct LogState {
    retention: Duration,
    inner: Mutex<LogInner>,
}

impl LogState {
    fn with_inner<T>(&self, action: impl FnOnce(&mut LogInner) -> T) -> T {
        action(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ControlledState for LogState {
    type Faults = LogFaults;
    type Counters = LogCounters;

    fn set_faults(&self, faults: LogFaults) {
        self.with_inner(|inner| inner.faults = faults);
    }

    fn faults(&self) -> LogFaults {
        self.with_inner(|inner| inner.faults)
    }

    fn counters(&self) -> LogCounters {
        self.with_inner(|inner| inner.counters)
    }
}

/// A running stand-in for the log.
#[derive(Debug)]
pub struct LogStandin {
    server: StandinServer,
    state: Arc<LogState>,
}

impl LogStandin {
    /// Spawns a log without records.
    ///
    /// # Errors
    ///
    /// Returns an error when its address can't be bound.
    pub async fn spawn(options: LogOptions) -> io::Result<Self> {
        let inner = LogInner {
            streams: BTreeMap::new(),
            limiter: RateLimiter::new(options.append_rate, options.append_burst),
            faults: options.faults,
            counters: LogCounters::default(),
        };
        let state = Arc::new(LogState {
            retention: options.retention,
            inner: Mutex::new(inner),
        });
        let router = Router::new()
            .route(
                "/streams/{stream}/records",
                post(handle_append).get(handle_read),
            )
            .layer(DefaultBodyLimit::max(MAX_RECORD_BYTES))
            .with_state(Arc::clone(&state))
            .merge(control_router(Arc::clone(&state)));
        let server = StandinServer::bind(options.listen, router).await?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the current counters.
    pub fn counters(&self) -> LogCounters {
        self.state.counters()
    }

    /// Returns every retained record of `stream`.
    pub fn records(&self, stream: LogStream) -> Vec<LogRecord> {
        self.state.with_inner(|inner| {
            let page = inner.stream(stream).page(LogOffset(0), usize::MAX);
            page.records
        })
    }

    /// Closes the listener and every connection immediately.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Stops accepting calls and returns when those in flight have ended.
    pub async fn drain(mut self) {
        self.server.drain().await;
    }
}

/// The outcome of one append.
enum AppendOutcome {
    Appended(LogOffset),
    Limited(Duration),
    Dropped,
    AnswerLost,
}

/// Applies the rate limit, the faults and then the append.
fn apply_append(inner: &mut LogInner, stream: LogStream, data: Bytes) -> AppendOutcome {
    if let Err(delay) = inner.limiter.acquire() {
        inner.counters.limited += 1;
        return AppendOutcome::Limited(delay);
    }
    if consume_fault(&mut inner.faults.dropped_appends) {
        inner.counters.dropped += 1;
        return AppendOutcome::Dropped;
    }
    let offset = inner.stream(stream).append(data);
    inner.counters.appends += 1;
    if consume_fault(&mut inner.faults.lost_appends) {
        inner.counters.lost_answers += 1;
        return AppendOutcome::AnswerLost;
    }
    AppendOutcome::Appended(offset)
}

/// Handles `POST /streams/{stream}/records`.
async fn handle_append(
    State(state): State<Arc<LogState>>,
    Path(stream): Path<LogStream>,
    data: Bytes,
) -> Response {
    let faults = state.faults().common;
    if let Err(refusal) = faults.inject_before_call().await {
        return refusal;
    }
    let outcome = state.with_inner(|inner| apply_append(inner, stream, data));
    faults.inject_before_answer().await;
    match outcome {
        AppendOutcome::Appended(offset) => Json(AppendedOffset { offset }).into_response(),
        AppendOutcome::Limited(delay) => rate_limited_answer(delay),
        AppendOutcome::Dropped | AppendOutcome::AnswerLost => aborted_answer(),
    }
}

/// Returns the answer to a call that a rate limit refuses, to be retried after `delay`.
pub(crate) fn rate_limited_answer(delay: Duration) -> Response {
    let delay_ms = delay.as_millis() + 1;
    let headers = [(RETRY_AFTER_MS, delay_ms.to_string())];
    (StatusCode::TOO_MANY_REQUESTS, headers, "limited").into_response()
}

/// The query parameters of a read.
#[derive(Debug, Clone, Copy, Deserialize)]
struct ReadQuery {
    from: LogOffset,
    limit: usize,
    #[serde(default)]
    wait_ms: u64,
}

/// Handles `GET /streams/{stream}/records`.
async fn handle_read(
    State(state): State<Arc<LogState>>,
    Path(stream): Path<LogStream>,
    Query(query): Query<ReadQuery>,
) -> Response {
    let faults = state.faults().common;
    if let Err(refusal) = faults.inject_before_call().await {
        return refusal;
    }
    let mut end = state.with_inner(|inner| inner.stream(stream).end.subscribe());
    let wait = Duration::from_millis(query.wait_ms).min(MAX_POLL_WAIT);
    let new_record = end.wait_for(|end| *end > query.from);
    // A read that times out still returns a page, which then has no records.
    let _has_record = tokio::time::timeout(wait, new_record).await.is_ok();
    // An outage that started during the wait applies to this answer too.
    if let Err(refusal) = state.faults().common.inject_before_call().await {
        return refusal;
    }
    let page = state.with_inner(|inner| {
        inner.counters.reads += 1;
        let stream = inner.stream(stream);
        stream.remove_expired(state.retention);
        stream.page(query.from, query.limit)
    });
    faults.inject_before_answer().await;
    Json(EncodedPage::from(page)).into_response()
}
