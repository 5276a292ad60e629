//! A stand-in for the platform's VM list, which readers see with a lag.

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
use crate::lagging_value::LaggingValue;
use crate::server::StandinServer;

/// Settings of a [`VmListStandin`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListOptions {
    /// Address on which the stand-in listens.
    pub listen: SocketAddr,
    /// Faults when the stand-in starts.
    pub faults: VmListFaults,
    /// Listed VMs when the stand-in starts.
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

/// Faults of a [`VmListStandin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct VmListFaults {
    /// Faults that every HTTP stand-in supports.
    pub common: CommonFaults,
    /// Age of the list that readers see, at most a minute.
    #[serde(with = "humantime_serde")]
    pub lag: Duration,
}

/// Counters of a [`VmListStandin`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VmListCounters {
    /// Number of answered reads.
    pub reads: u64,
}

/// The mutable state of a VM list.
#[derive(Debug)]
struct VmListInner {
    vms: LaggingValue<Vec<VmRecord>>,
    faults: VmListFaults,
    counters: VmListCounters,
}

/// The state that the handlers of a VM list share.
#[derive(Debug)]
struct VmListState {
    inner: Mutex<VmListInner>,
}

impl VmListState {
    fn with_inner<T>(&self, action: impl FnOnce(&mut VmListInner) -> T) -> T {
        action(&mut self.inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ControlledState for VmListState {
    type Faults = VmListFaults;
    type Counters = VmListCounters;

    fn set_faults(&self, faults: VmListFaults) {
        self.with_inner(|inner| inner.faults = faults);
    }

    fn faults(&self) -> VmListFaults {
        self.with_inner(|inner| inner.faults)
    }

    fn counters(&self) -> VmListCounters {
        self.with_inner(|inner| inner.counters)
    }
}

/// A running stand-in for the VM list.
#[derive(Debug)]
pub struct VmListStandin {
    server: StandinServer,
    state: Arc<VmListState>,
}

impl VmListStandin {
    /// Spawns the VM list.
    ///
    /// # Errors
    ///
    /// Returns an error when its address can't be bound.
    pub async fn spawn(options: VmListOptions) -> io::Result<Self> {
        let inner = VmListInner {
            vms: LaggingValue::new(options.vms),
            faults: options.faults,
            counters: VmListCounters::default(),
        };
        let state = Arc::new(VmListState {
            inner: Mutex::new(inner),
        });
        let router = Router::new()
            .route("/vms", get(read_list))
            .route("/control/vms", put(replace_list))
            .with_state(Arc::clone(&state))
            .merge(control_router(Arc::clone(&state)));
        let server = StandinServer::bind(options.listen, router).await?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list. Readers see the new list after the lag.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        self.state.with_inner(|inner| inner.vms.set(vms));
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: VmListFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the current counters.
    pub fn counters(&self) -> VmListCounters {
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

/// Handles `GET /vms`.
async fn read_list(State(state): State<Arc<VmListState>>) -> Response {
    let faults = state.faults();
    if let Err(refusal) = faults.common.inject_before_call().await {
        return refusal;
    }
    let vms = state.with_inner(|inner| {
        inner.counters.reads += 1;
        inner.vms.get(faults.lag)
    });
    faults.common.inject_before_answer().await;
    Json(vms).into_response()
}

/// Handles `PUT /control/vms`.
async fn replace_list(
    State(state): State<Arc<VmListState>>,
    Json(vms): Json<Vec<VmRecord>>,
) -> StatusCode {
    state.with_inner(|inner| inner.vms.set(vms));
    StatusCode::NO_CONTENT
}
