//! A stand-in for a plain service that counts its executions by idempotency key.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranth_core::digest::body_digest;
use amaranth_ports::http_service::IDEMPOTENCY_KEY;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use serde::{Deserialize, Serialize};

use crate::control::{ControlledState, control_router};
use crate::faults::{CommonFaults, aborted_answer, consume_fault};
use crate::server::StandinServer;

/// Settings of a [`ServiceStandin`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceOptions {
    /// Address on which the stand-in listens.
    pub listen: SocketAddr,
    /// Time that the execution of one call takes.
    #[serde(with = "humantime_serde")]
    pub work_time: Duration,
    /// Faults when the stand-in starts.
    pub faults: ServiceFaults,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            work_time: Duration::from_millis(5),
            faults: ServiceFaults::default(),
        }
    }
}

/// Faults of a [`ServiceStandin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Faults that every HTTP stand-in supports.
    pub common: CommonFaults,
    /// Number of next calls that are executed but whose answer is lost.
    pub lost_answers: u32,
    /// Number of next calls that are dropped without execution or answer.
    pub dropped_calls: u32,
}

/// Counters of a [`ServiceStandin`].
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceCounters {
    /// Number of executed calls, with or without an idempotency key.
    pub executions: u64,
    /// Number of executed calls by idempotency key.
    pub by_key: BTreeMap<String, u32>,
    /// Number of executed calls whose answer was lost.
    pub lost_answers: u64,
    /// Number of calls dropped before their execution.
    pub dropped: u64,
}

/// The answer to one executed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReceipt {
    /// Method and URI of the call.
    pub call: String,
    /// Idempotency key of the call, if it had one.
    pub key: Option<String>,
    /// Number of executions of the key including this one, and 1 for a call without a key.
    pub execution: u32,
    /// Digest of the request body as 32 hexadecimal digits.
    pub digest: String,
}

/// The mutable state of a plain service.
#[derive(Debug, Default)]
struct ServiceInner {
    faults: ServiceFaults,
    counters: ServiceCounters,
}

/// The settings and state that the handlers of a plain service share.
#[derive(Debug)]
struct ServiceState {
    work_time: Duration,
    inner: Mutex<ServiceInner>,
}

impl ServiceState {
    fn with_inner<T>(&self, action: impl FnOnce(&mut ServiceInner) -> T) -> T {
        action(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ControlledState for ServiceState {
    type Faults = ServiceFaults;
    type Counters = ServiceCounters;

    fn set_faults(&self, faults: ServiceFaults) {
        self.with_inner(|inner| inner.faults = faults);
    }

    fn faults(&self) -> ServiceFaults {
        self.with_inner(|inner| inner.faults)
    }

    fn counters(&self) -> ServiceCounters {
        self.with_inner(|inner| inner.counters.clone())
    }
}

/// A running stand-in for a plain service.
#[derive(Debug)]
pub struct ServiceStandin {
    server: StandinServer,
    state: Arc<ServiceState>,
}

impl ServiceStandin {
    /// Spawns the service, which executes calls with any path.
    ///
    /// # Errors
    ///
    /// Returns an error when its address can't be bound.
    pub async fn spawn(options: ServiceOptions) -> io::Result<Self> {
        let inner = ServiceInner {
            faults: options.faults,
            counters: ServiceCounters::default(),
        };
        let state = Arc::new(ServiceState {
            work_time: options.work_time,
            inner: Mutex::new(inner),
        });
        let router = Router::new()
            .route("/healthz", get(check_health))
            .fallback(handle_call)
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
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the current counters.
    pub fn counters(&self) -> ServiceCounters {
        self.state.counters()
    }

    /// Closes the listener and every connection immediately.
    ///
    /// Executions that have started are counted.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Stops accepting calls and returns when those in flight have ended.
    pub async fn drain(mut self) {
        self.server.drain().await;
    }
}

/// Handles `GET /healthz`.
async fn check_health(State(state): State<Arc<ServiceState>>) -> Response {
    match state.faults().common.inject_before_call().await {
        Ok(()) => StatusCode::OK.into_response(),
        Err(refusal) => refusal,
    }
}

/// Counts an execution and returns the number of executions of `key`, or 1 without a key.
fn count_execution(inner: &mut ServiceInner, key: Option<&str>) -> u32 {
    inner.counters.executions += 1;
    let Some(key) = key else {
        return 1;
    };
    let count = inner.counters.by_key.entry(key.to_owned()).or_default();
    *count += 1;
    *count
}

/// Handles a call with any other path.
async fn handle_call(
    State(state): State<Arc<ServiceState>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let faults = state.faults().common;
    if let Err(refusal) = faults.inject_before_call().await {
        return refusal;
    }
    if state.with_inner(|inner| consume_fault(&mut inner.faults.dropped_calls)) {
        state.with_inner(|inner| inner.counters.dropped += 1);
        return aborted_answer();
    }
    let key = headers
        .get(IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    // An execution counts from its start, because a call whose connection closes meanwhile has run.
    let execution = state.with_inner(|inner| count_execution(inner, key.as_deref()));
    tokio::time::sleep(state.work_time).await;
    faults.inject_before_answer().await;
    if state.with_inner(|inner| consume_fault(&mut inner.faults.lost_answers)) {
        state.with_inner(|inner| inner.counters.lost_answers += 1);
        return aborted_answer();
    }
    let receipt = ServiceReceipt {
        call: format!("{method} {uri}"),
        key,
        execution,
        digest: format!("{:032x}", body_digest(&body)),
    };
    Json(receipt).into_response()
}
