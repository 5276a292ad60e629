//! A stand-in of a plain service that counts its executions per key.

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
use crate::faults::{CommonFaults, lost_answer, take_one};
use crate::server::StandinServer;

/// Settings of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// How long one call takes.
    #[serde(with = "humantime_serde")]
    pub work_time: Duration,
    /// Faults from the start.
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

/// Faults of a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Faults of any stand-in.
    pub common: CommonFaults,
    /// Calls, from the next one on, whose answer is lost after they were executed.
    pub lost_answers: u32,
    /// Calls, from the next one on, that are lost before they are executed, without an answer.
    pub dropped_calls: u32,
}

/// What a plain service did.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceCounters {
    /// Calls executed, with a key or without.
    pub executions: u64,
    /// Calls executed for each key.
    pub by_key: BTreeMap<String, u32>,
    /// Calls executed whose answer was lost.
    pub lost_answers: u64,
    /// Calls lost before they were executed.
    pub dropped: u64,
}

/// What one call returns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReceipt {
    /// The method and path that were called.
    pub call: String,
    /// The key, if the call had one.
    pub key: Option<String>,
    /// How often the key was executed, this time included; 1 for calls without a key.
    pub execution: u32,
    /// The digest of the body, in hexadecimal.
    pub digest: String,
}

#[derive(Debug, Default)]
struct ServiceBook {
    faults: ServiceFaults,
    counters: ServiceCounters,
}

#[derive(Debug)]
struct ServiceState {
    work_time: Duration,
    book: Mutex<ServiceBook>,
}

impl ServiceState {
    fn with_book<T>(&self, action: impl FnOnce(&mut ServiceBook) -> T) -> T {
        action(&mut self.book.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ControlledState for ServiceState {
    type Faults = ServiceFaults;
    type Counters = ServiceCounters;

    fn set_faults(&self, faults: ServiceFaults) {
        self.with_book(|book| book.faults = faults);
    }

    fn faults(&self) -> ServiceFaults {
        self.with_book(|book| book.faults)
    }

    fn counters(&self) -> ServiceCounters {
        self.with_book(|book| book.counters.clone())
    }
}

/// A running plain service.
#[derive(Debug)]
pub struct ServiceStandin {
    server: StandinServer,
    state: Arc<ServiceState>,
}

impl ServiceStandin {
    /// Spawns the service, which answers calls of any path.
    ///
    /// # Errors
    ///
    /// Returns an error when its address can't be bound.
    pub async fn spawn(options: ServiceOptions) -> io::Result<Self> {
        let book = ServiceBook {
            faults: options.faults,
            counters: ServiceCounters::default(),
        };
        let state = Arc::new(ServiceState {
            work_time: options.work_time,
            book: Mutex::new(book),
        });
        let router = Router::new()
            .route("/healthz", get(health))
            .fallback(call)
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

    /// Returns the present counters.
    pub fn counters(&self) -> ServiceCounters {
        self.state.counters()
    }

    /// Closes the listener and every connection at once. Executions that began are counted.
    pub fn kill(&self) {
        self.server.kill();
    }

    /// Stops taking calls and returns when those in flight have ended.
    pub async fn drain(mut self) {
        self.server.drain().await;
    }
}

async fn health(State(state): State<Arc<ServiceState>>) -> Response {
    match state.faults().common.before_acting().await {
        Ok(()) => StatusCode::OK.into_response(),
        Err(refusal) => refusal,
    }
}

fn execute(book: &mut ServiceBook, key: Option<&str>) -> u32 {
    book.counters.executions += 1;
    let Some(key) = key else {
        return 1;
    };
    let count = book.counters.by_key.entry(key.to_owned()).or_default();
    *count += 1;
    *count
}

async fn call(
    State(state): State<Arc<ServiceState>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let faults = state.faults().common;
    if let Err(refusal) = faults.before_acting().await {
        return refusal;
    }
    if state.with_book(|book| take_one(&mut book.faults.dropped_calls)) {
        state.with_book(|book| book.counters.dropped += 1);
        return lost_answer();
    }
    let key = headers
        .get(IDEMPOTENCY_KEY)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    // The execution counts from its start: a call that is cut off while it works has run.
    let execution = state.with_book(|book| execute(book, key.as_deref()));
    tokio::time::sleep(state.work_time).await;
    faults.before_answering().await;
    if state.with_book(|book| take_one(&mut book.faults.lost_answers)) {
        state.with_book(|book| book.counters.lost_answers += 1);
        return lost_answer();
    }
    let receipt = ServiceReceipt {
        call: format!("{method} {uri}"),
        key,
        execution,
        digest: format!("{:032x}", body_digest(&body)),
    };
    Json(receipt).into_response()
}
