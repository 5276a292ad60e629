//! A stand-in of the platform's list of VMs, which lags.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use amaranth_ports::vm_list::VmRecord;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use axum::{Json, Router};
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::control::{ControlledState, control_router};
use crate::faults::CommonFaults;
use crate::lagging::LaggingValue;
use crate::server::StandinServer;

/// Settings of the VM list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListOptions {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Faults from the start.
    pub faults: VmListFaults,
    /// The list at the start.
    pub vms: Vec<VmRecord>,
}

impl Default for VmListOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            faults: VmListFaults::default(),
            vms: Vec::new(),
        }
    }
}

/// Faults of the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFaults {
    /// Faults of any stand-in.
    pub common: CommonFaults,
    /// How old the shown list is, at most a minute.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
}

/// What the VM list did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmListCounters {
    /// Reads answered.
    pub reads: u64,
}

#[derive(Debug)]
struct VmListBook {
    vms: LaggingValue<Vec<VmRecord>>,
    faults: VmListFaults,
    counters: VmListCounters,
}

#[derive(Debug)]
struct VmListState {
    book: Mutex<VmListBook>,
}

impl VmListState {
    fn with_book<T>(&self, action: impl FnOnce(&mut VmListBook) -> T) -> T {
        action(&mut self.book.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ControlledState for VmListState {
    type Faults = VmListFaults;
    type Counters = VmListCounters;

    fn set_faults(&self, faults: VmListFaults) {
        self.with_book(|book| book.faults = faults);
    }

    fn faults(&self) -> VmListFaults {
        self.with_book(|book| book.faults)
    }

    fn counters(&self) -> VmListCounters {
        self.with_book(|book| book.counters)
    }
}

/// A running VM list.
#[derive(Debug)]
pub struct VmListStandin {
    server: StandinServer,
    state: Arc<VmListState>,
}

impl VmListStandin {
    /// Spawns the list.
    ///
    /// # Errors
    ///
    /// Returns an error when its address can't be bound.
    pub async fn spawn(options: VmListOptions) -> io::Result<Self> {
        let book = VmListBook {
            vms: LaggingValue::open(options.vms),
            faults: options.faults,
            counters: VmListCounters::default(),
        };
        let state = Arc::new(VmListState {
            book: Mutex::new(book),
        });
        let router = Router::new()
            .route("/vms", get(list))
            .route("/control/vms", put(replace))
            .with_state(Arc::clone(&state))
            .merge(control_router(Arc::clone(&state)));
        let server = StandinServer::bind(options.listen, router).await?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list; readers see it after the lag.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        self.state.with_book(|book| book.vms.set(vms));
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: VmListFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the present counters.
    pub fn counters(&self) -> VmListCounters {
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

async fn list(State(state): State<Arc<VmListState>>) -> Response {
    let faults = state.faults();
    if let Err(refusal) = faults.common.before_acting().await {
        return refusal;
    }
    let vms = state.with_book(|book| {
        book.counters.reads += 1;
        book.vms.get(faults.lag)
    });
    faults.common.before_answering().await;
    Json(vms).into_response()
}

async fn replace(
    State(state): State<Arc<VmListState>>,
    Json(vms): Json<Vec<VmRecord>>,
) -> StatusCode {
    state.with_book(|book| book.vms.set(vms));
    StatusCode::NO_CONTENT
}
