//! A stand-in of the platform's append-only log.

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
use crate::faults::{CommonFaults, lost_answer, take_one};
use crate::rate::RateLimiter;
use crate::server::StandinServer;

/// Largest record, in bytes.
const MAX_RECORD_BYTES: usize = 16 << 20;

/// Longest long poll.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// How long a record is kept.
    #[serde(with = "humantime_serde")]
    pub retention: Duration,
    /// Appends that it takes per second.
    pub append_rate: EventRate,
    /// Appends that it takes at once.
    pub append_burst: u32,
    /// Faults from the start.
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

/// Faults of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Faults of any stand-in.
    pub common: CommonFaults,
    /// Appends, from the next one on, whose answer is lost after the record was appended.
    pub lost_appends: u32,
    /// Appends, from the next one on, that are lost before they take effect, without an answer.
    pub dropped_appends: u32,
}

/// What the log did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LogCounters {
    /// Records appended.
    pub appends: u64,
    /// Reads answered.
    pub reads: u64,
    /// Appends refused by the limit.
    pub limited: u64,
    /// Appends that took effect and whose answer was lost.
    pub lost_answers: u64,
    /// Appends that were lost before they took effect.
    pub dropped: u64,
}

/// One kept record.
#[derive(Debug, Clone)]
struct KeptRecord {
    record: LogRecord,
    appended: Instant,
}

/// One stream of records.
#[derive(Debug)]
struct RecordStream {
    kept: VecDeque<KeptRecord>,
    end: watch::Sender<LogOffset>,
}

impl RecordStream {
    fn open() -> Self {
        Self {
            kept: VecDeque::new(),
            end: watch::Sender::new(LogOffset(0)),
        }
    }

    fn append(&mut self, data: Bytes) -> LogOffset {
        let offset = *self.end.borrow();
        self.kept.push_back(KeptRecord {
            record: LogRecord { offset, data },
            appended: Instant::now(),
        });
        self.end.send_replace(offset.next());
        offset
    }

    fn expire(&mut self, retention: Duration) {
        let now = Instant::now();
        while self
            .kept
            .front()
            .is_some_and(|kept| now.duration_since(kept.appended) > retention)
        {
            self.kept.pop_front();
        }
    }

    fn page(&self, from: LogOffset, limit: usize) -> LogPage {
        let end = *self.end.borrow();
        let first_kept = self.kept.front().map_or(end, |kept| kept.record.offset);
        let skipped = usize::try_from(from.0.saturating_sub(first_kept.0)).unwrap_or(usize::MAX);
        let records = self.kept.iter().skip(skipped).take(limit);
        LogPage {
            records: records.map(|kept| kept.record.clone()).collect(),
            first_kept,
            end,
        }
    }
}

/// What the log holds.
#[derive(Debug)]
struct LogBook {
    streams: BTreeMap<LogStream, RecordStream>,
    limiter: RateLimiter,
    faults: LogFaults,
    counters: LogCounters,
}

impl LogBook {
    fn stream(&mut self, stream: LogStream) -> &mut RecordStream {
        self.streams
            .entry(stream)
            .or_insert_with(RecordStream::open)
    }
}

#[derive(Debug)]
struct LogState {
    retention: Duration,
    book: Mutex<LogBook>,
}

impl LogState {
    fn with_book<T>(&self, action: impl FnOnce(&mut LogBook) -> T) -> T {
        action(&mut self.book.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ControlledState for LogState {
    type Faults = LogFaults;
    type Counters = LogCounters;

    fn set_faults(&self, faults: LogFaults) {
        self.with_book(|book| book.faults = faults);
    }

    fn faults(&self) -> LogFaults {
        self.with_book(|book| book.faults)
    }

    fn counters(&self) -> LogCounters {
        self.with_book(|book| book.counters)
    }
}

/// A running log.
#[derive(Debug)]
pub struct LogStandin {
    server: StandinServer,
    state: Arc<LogState>,
}

impl LogStandin {
    /// Spawns an empty log.
    ///
    /// # Errors
    ///
    /// Returns an error when its address can't be bound.
    pub async fn spawn(options: LogOptions) -> io::Result<Self> {
        let book = LogBook {
            streams: BTreeMap::new(),
            limiter: RateLimiter::open(options.append_rate, options.append_burst),
            faults: options.faults,
            counters: LogCounters::default(),
        };
        let state = Arc::new(LogState {
            retention: options.retention,
            book: Mutex::new(book),
        });
        let router = Router::new()
            .route("/streams/{stream}/records", post(append).get(read))
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

    /// Returns the present counters.
    pub fn counters(&self) -> LogCounters {
        self.state.counters()
    }

    /// Returns every kept record of `stream`.
    pub fn records(&self, stream: LogStream) -> Vec<LogRecord> {
        self.state.with_book(|book| {
            let page = book.stream(stream).page(LogOffset(0), usize::MAX);
            page.records
        })
    }

    /// Closes the listener and every connection at once.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Stops taking calls and returns when those in flight have ended.
    pub async fn drain(mut self) {
        self.server.drain().await;
    }
}

/// What becomes of one append.
enum AppendOutcome {
    Appended(LogOffset),
    Limited(Duration),
    Dropped,
    AnswerLost,
}

fn append_to(book: &mut LogBook, stream: LogStream, data: Bytes) -> AppendOutcome {
    if let Err(delay) = book.limiter.take() {
        book.counters.limited += 1;
        return AppendOutcome::Limited(delay);
    }
    if take_one(&mut book.faults.dropped_appends) {
        book.counters.dropped += 1;
        return AppendOutcome::Dropped;
    }
    let offset = book.stream(stream).append(data);
    book.counters.appends += 1;
    if take_one(&mut book.faults.lost_appends) {
        book.counters.lost_answers += 1;
        return AppendOutcome::AnswerLost;
    }
    AppendOutcome::Appended(offset)
}

async fn append(
    State(state): State<Arc<LogState>>,
    Path(stream): Path<LogStream>,
    data: Bytes,
) -> Response {
    let faults = state.faults().common;
    if let Err(refusal) = faults.before_acting().await {
        return refusal;
    }
    let outcome = state.with_book(|book| append_to(book, stream, data));
    faults.before_answering().await;
    match outcome {
        AppendOutcome::Appended(offset) => Json(AppendedOffset { offset }).into_response(),
        AppendOutcome::Limited(delay) => limited(delay),
        AppendOutcome::Dropped | AppendOutcome::AnswerLost => lost_answer(),
    }
}

/// Returns the answer of a limited call.
pub(crate) fn limited(delay: Duration) -> Response {
    let delay_ms = delay.as_millis() + 1;
    let headers = [(RETRY_AFTER_MS, delay_ms.to_string())];
    (StatusCode::TOO_MANY_REQUESTS, headers, "limited").into_response()
}

/// The query of a read.
#[derive(Debug, Clone, Copy, Deserialize)]
struct ReadQuery {
    from: LogOffset,
    limit: usize,
    #[serde(default)]
    wait_ms: u64,
}

async fn read(
    State(state): State<Arc<LogState>>,
    Path(stream): Path<LogStream>,
    Query(query): Query<ReadQuery>,
) -> Response {
    let faults = state.faults().common;
    if let Err(refusal) = faults.before_acting().await {
        return refusal;
    }
    let mut end = state.with_book(|book| book.stream(stream).end.subscribe());
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    let arrival = end.wait_for(|end| *end > query.from);
    // A poll that ends without a record still returns a page, with no records in it.
    let _arrived = tokio::time::timeout(wait, arrival).await.is_ok();
    // An outage that began during the poll holds for its answer as well.
    if let Err(refusal) = state.faults().common.before_acting().await {
        return refusal;
    }
    let page = state.with_book(|book| {
        book.counters.reads += 1;
        let stream = book.stream(stream);
        stream.expire(state.retention);
        stream.page(query.from, query.limit)
    });
    faults.before_answering().await;
    Json(EncodedPage::from(page)).into_response()
}
