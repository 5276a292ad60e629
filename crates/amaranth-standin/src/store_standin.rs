//! A stand-in of the weight store that engines load adapters from.

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
use crate::faults::{CommonFaults, lost_answer, take_one};
use crate::log_standin::limited;
use crate::rate::RateLimiter;
use crate::server::StandinServer;

/// Settings of the weight store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Loads that may start per second.
    pub load_rate: EventRate,
    /// Loads that may start at once.
    pub load_burst: u32,
    /// How long a load takes at full speed.
    #[serde(with = "humantime_serde")]
    pub load_time: Duration,
    /// Loads in transit up to which each has full speed.
    pub full_speed_loads: u32,
    /// Faults from the start.
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

/// Faults of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Faults of any stand-in.
    pub common: CommonFaults,
    /// Loads, from the next one on, that fail at their end.
    pub failed_loads: u32,
    /// Loads, from the next one on, whose transfer is whole but whose answer is lost.
    pub lost_answers: u32,
}

/// What the weight store did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Loads started.
    pub started: u64,
    /// Loads that ended whole.
    pub finished: u64,
    /// Loads refused by the limit.
    pub limited: u64,
    /// Loads that failed.
    pub failed: u64,
    /// Loads in transit now.
    pub in_transit: u32,
    /// Most loads in transit at once.
    pub peak_in_transit: u32,
}

#[derive(Debug)]
struct StoreBook {
    limiter: RateLimiter,
    faults: StoreFaults,
    counters: StoreCounters,
}

#[derive(Debug)]
struct StoreState {
    load_time: Duration,
    full_speed_loads: u32,
    book: Mutex<StoreBook>,
    in_transit: watch::Sender<u32>,
}

impl StoreState {
    fn with_book<T>(&self, action: impl FnOnce(&mut StoreBook) -> T) -> T {
        action(&mut self.book.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn start_load(&self) -> Result<(), Duration> {
        self.with_book(|book| match book.limiter.take() {
            Ok(()) => {
                book.counters.started += 1;
                Ok(())
            }
            Err(delay) => {
                book.counters.limited += 1;
                Err(delay)
            }
        })
    }

    fn change_transit(&self, change: impl FnOnce(u32) -> u32) {
        self.with_book(|book| {
            let counters = &mut book.counters;
            counters.in_transit = change(counters.in_transit);
            counters.peak_in_transit = counters.peak_in_transit.max(counters.in_transit);
            self.in_transit.send_replace(counters.in_transit);
        });
    }
}

impl ControlledState for StoreState {
    type Faults = StoreFaults;
    type Counters = StoreCounters;

    fn set_faults(&self, faults: StoreFaults) {
        self.with_book(|book| book.faults = faults);
    }

    fn faults(&self) -> StoreFaults {
        self.with_book(|book| book.faults)
    }

    fn counters(&self) -> StoreCounters {
        self.with_book(|book| book.counters)
    }
}

/// A running weight store.
#[derive(Debug)]
pub struct StoreStandin {
    server: StandinServer,
    state: Arc<StoreState>,
}

impl StoreStandin {
    /// Spawns the store, which holds every adapter.
    ///
    /// # Errors
    ///
    /// Returns an error when its address can't be bound.
    pub async fn spawn(options: StoreOptions) -> io::Result<Self> {
        let book = StoreBook {
            limiter: RateLimiter::open(options.load_rate, options.load_burst),
            faults: options.faults,
            counters: StoreCounters::default(),
        };
        let state = Arc::new(StoreState {
            load_time: options.load_time,
            full_speed_loads: options.full_speed_loads,
            book: Mutex::new(book),
            in_transit: watch::Sender::new(0),
        });
        let router = Router::new()
            .route("/loads", post(load))
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

    /// Returns the present counters.
    pub fn counters(&self) -> StoreCounters {
        self.state.counters()
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

/// Counts a load in transit until it is dropped.
struct TransitGuard<'a>(&'a StoreState);

impl<'a> TransitGuard<'a> {
    fn open(state: &'a StoreState) -> Self {
        state.change_transit(|loads| loads + 1);
        Self(state)
    }
}

impl Drop for TransitGuard<'_> {
    fn drop(&mut self) {
        self.0.change_transit(|loads| loads.saturating_sub(1));
    }
}

/// Moves one adapter at a speed that falls with the loads in transit.
///
/// All loads share the bandwidth of `full_speed_loads` of them, so the rest of a transfer is
/// scaled anew whenever their number changes.
async fn transfer(state: &StoreState) {
    let _guard = TransitGuard::open(state);
    let mut changes = state.in_transit.subscribe();
    let mut left = state.load_time.as_secs_f64();
    loop {
        let in_transit = *changes.borrow_and_update();
        let slowdown = f64::from(in_transit) / f64::from(state.full_speed_loads.max(1));
        let slowdown = slowdown.max(1.0);
        let started = Instant::now();
        let whole = tokio::time::sleep(Duration::from_secs_f64(left * slowdown));
        tokio::select! {
            () = whole => return,
            _ = changes.changed() => left -= started.elapsed().as_secs_f64() / slowdown,
        }
        left = left.max(0.0);
    }
}

/// Asks for the weights of one adapter.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadRequest {
    /// The adapter.
    pub adapter: AdapterRef,
}

async fn load(State(state): State<Arc<StoreState>>, Json(request): Json<LoadRequest>) -> Response {
    let faults = state.faults().common;
    if let Err(refusal) = faults.before_acting().await {
        return refusal;
    }
    if let Err(delay) = state.start_load() {
        return limited(delay);
    }
    transfer(&state).await;
    faults.before_answering().await;
    if state.with_book(|book| take_one(&mut book.faults.failed_loads)) {
        state.with_book(|book| book.counters.failed += 1);
        let reason = format!("adapter {} could not be read", request.adapter);
        return (StatusCode::UNPROCESSABLE_ENTITY, reason).into_response();
    }
    state.with_book(|book| book.counters.finished += 1);
    if state.with_book(|book| take_one(&mut book.faults.lost_answers)) {
        return lost_answer();
    }
    Json(request).into_response()
}
