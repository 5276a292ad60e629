//! A stand-in for the weight store from which engines load adapters.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranth_core::ids::AdapterRef;
use amaranth_core::units::EventRate;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::control::{ControlledState, control_router};
use crate::faults::{CommonFaults, aborted_answer, consume_fault};
use crate::log_standin::rate_limited_answer;
use crate::rate_limiter::RateLimiter;
use crate::server::StandinServer;

/// Settings of a [`StoreStandin`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreOptions {
    /// Address on which the stand-in listens.
    pub listen: SocketAddr,
    /// Sustained rate at which loads may start.
    pub load_rate: EventRate,
    /// Number of loads that may start in one burst.
    pub load_burst: u32,
    /// Duration of a transfer at full speed.
    #[serde(with = "humantime_serde")]
    pub load_time: Duration,
    /// Number of concurrent transfers up to which each runs at full speed.
    pub full_speed_loads: u32,
    /// Faults when the stand-in starts.
    pub faults: StoreFaults,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            load_rate: EventRate(4.0),
            load_burst: 1,
            load_time: Duration::from_millis(250),
            full_speed_loads: 8,
            faults: StoreFaults::default(),
        }
    }
}

/// Faults of a [`StoreStandin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Faults that every HTTP stand-in supports.
    pub common: CommonFaults,
    /// Number of next loads that fail at the end of their transfer.
    pub failed_loads: u32,
    /// Number of next loads whose transfer completes but whose answer is lost.
    pub lost_answers: u32,
}

/// Counters of a [`StoreStandin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Number of started loads.
    pub started: u64,
    /// Number of loads whose transfer completed without a failure.
    pub finished: u64,
    /// Number of loads refused by the rate limit.
    pub limited: u64,
    /// Number of failed loads.
    pub failed: u64,
    /// Number of transfers in progress.
    pub in_transit: u32,
    /// Largest number of concurrent transfers so far.
    pub peak_in_transit: u32,
}

/// The mutable state of a weight store.
#[derive(Debug)]
struct StoreInner {
    limiter: RateLimiter,
    faults: StoreFaults,
    counters: StoreCounters,
}

/// The settings and state that the handlers of a weight store share.
#[derive(Debug)]
struct StoreState {
    load_time: Duration,
    full_speed_loads: u32,
    inner: Mutex<StoreInner>,
    in_transit: watch::Sender<u32>,
}

impl StoreState {
    fn with_inner<T>(&self, action: impl FnOnce(&mut StoreInner) -> T) -> T {
        action(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Acquires a token of the rate limit, or returns the time until the next one.
    fn start_load(&self) -> Result<(), Duration> {
        self.with_inner(|inner| match inner.limiter.acquire() {
            Ok(()) => {
                inner.counters.started += 1;
                Ok(())
            }
            Err(delay) => {
                inner.counters.limited += 1;
                Err(delay)
            }
        })
    }

    fn update_in_transit(&self, update: impl FnOnce(u32) -> u32) {
        self.with_inner(|inner| {
            let counters = &mut inner.counters;
            counters.in_transit = update(counters.in_transit);
            counters.peak_in_transit = counters.peak_in_transit.max(counters.in_transit);
            self.in_transit.send_replace(counters.in_transit);
        });
    }
}

impl ControlledState for StoreState {
    type Faults = StoreFaults;
    type Counters = StoreCounters;

    fn set_faults(&self, faults: StoreFaults) {
        self.with_inner(|inner| inner.faults = faults);
    }

    fn faults(&self) -> StoreFaults {
        self.with_inner(|inner| inner.faults)
    }

    fn counters(&self) -> StoreCounters {
        self.with_inner(|inner| inner.counters)
    }
}

/// A running stand-in for the weight store.
#[derive(Debug)]
pub struct StoreStandin {
    server: StandinServer,
    state: Arc<StoreState>,
}

impl StoreStandin {
    /// Spawns the store, which has the weights of every adapter.
    ///
    /// # Errors
    ///
    /// Returns an error when its address can't be bound.
    pub async fn spawn(options: StoreOptions) -> io::Result<Self> {
        let inner = StoreInner {
            limiter: RateLimiter::new(options.load_rate, options.load_burst),
            faults: options.faults,
            counters: StoreCounters::default(),
        };
        let state = Arc::new(StoreState {
            load_time: options.load_time,
            full_speed_loads: options.full_speed_loads,
            inner: Mutex::new(inner),
            in_transit: watch::Sender::new(0),
        });
        let router = Router::new()
            .route("/loads", post(handle_load))
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
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the current counters.
    pub fn counters(&self) -> StoreCounters {
        self.state.counters()
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

/// A guard that counts one transfer in progress until it is dropped.
struct TransitGuard<'a>(&'a StoreState);

impl<'a> TransitGuard<'a> {
    fn new(state: &'a StoreState) -> Self {
        state.update_in_transit(|loads| loads + 1);
        Self(state)
    }
}

impl Drop for TransitGuard<'_> {
    fn drop(&mut self) {
        self.0.update_in_transit(|loads| loads.saturating_sub(1));
    }
}

/// Waits for the transfer of one adapter, which slows down with the number of transfers.
///
/// All transfers share the bandwidth of `full_speed_loads` of them, so the remaining time is
/// rescaled whenever their number changes.
async fn transfer(state: &StoreState) {
    let _guard = TransitGuard::new(state);
    let mut changes = state.in_transit.subscribe();
    let mut remaining = state.load_time.as_secs_f64();
    loop {
        let in_transit = *changes.borrow_and_update();
        let slowdown = f64::from(in_transit) / f64::from(state.full_speed_loads.max(1));
        let slowdown = slowdown.max(1.0);
        let started = Instant::now();
        let completion = tokio::time::sleep(Duration::from_secs_f64(remaining * slowdown));
        tokio::select! {
            () = completion => return,
            _ = changes.changed() => remaining -= started.elapsed().as_secs_f64() / slowdown,
        }
        remaining = remaining.max(0.0);
    }
}

/// The JSON body of a request for the weights of one adapter.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadRequest {
    /// Adapter whose weights are loaded.
    pub adapter: AdapterRef,
}

/// Handles `POST /loads`.
async fn handle_load(
    State(state): State<Arc<StoreState>>,
    Json(request): Json<LoadRequest>,
) -> Response {
    let faults = state.faults().common;
    if let Err(refusal) = faults.inject_before_call().await {
        return refusal;
    }
    if let Err(delay) = state.start_load() {
        return rate_limited_answer(delay);
    }
    transfer(&state).await;
    faults.inject_before_answer().await;
    if state.with_inner(|inner| consume_fault(&mut inner.faults.failed_loads)) {
        state.with_inner(|inner| inner.counters.failed += 1);
        let reason = format!("weights of adapter {} could not be read", request.adapter);
        return (StatusCode::UNPROCESSABLE_ENTITY, reason).into_response();
    }
    state.with_inner(|inner| inner.counters.finished += 1);
    if state.with_inner(|inner| consume_fault(&mut inner.faults.lost_answers)) {
        return aborted_answer();
    }
    Json(request).into_response()
}
