//! HTTP handlers of the orders to load and unload adapters and to change the role.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, FencingToken, Incarnation};
use amaranth_ports::PortError;
use amaranth_ports::http_client::check_status;
use amaranth_ports::http_engine::{AdapterOrder, RoleOrder};
use axum::Json;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use http::{Method, StatusCode, header};

use super::state::{EngineInner, EngineState};
use super::stream::StreamEnd;
use crate::control::ControlledState;
use crate::faults::{aborted_answer, consume_fault};
use crate::log_standin::rate_limited_answer;
use crate::store_standin::LoadRequest;

/// Longest wait for a transfer from the weight store.
const STORE_TIMEOUT: Duration = Duration::from_secs(60);

/// The reason why an order was not executed.
enum OrderRefusal {
    /// The fencing token is older than this one.
    Fenced(FencingToken),
    /// The weight store limits loads; a retry is possible after this delay.
    Limited(Duration),
    /// Any other reason, as text.
    Refused(String),
}

impl IntoResponse for OrderRefusal {
    fn into_response(self) -> Response {
        match self {
            Self::Fenced(latest) => {
                let reason = format!("fencing token is older than {latest}");
                (StatusCode::PRECONDITION_FAILED, reason).into_response()
            }
            Self::Limited(delay) => rate_limited_answer(delay),
            Self::Refused(reason) => (StatusCode::UNPROCESSABLE_ENTITY, reason).into_response(),
        }
    }
}

type OrderResult = Result<(), OrderRefusal>;

/// Handles `POST /v1/load_lora_adapter`.
pub async fn load(
    State(state): State<Arc<EngineState>>,
    Json(order): Json<AdapterOrder>,
) -> Response {
    let task_state = Arc::clone(&state);
    handle_order(state, async move {
        load_adapter(&task_state, order.lora_name, order.fencing_token).await
    })
    .await
}

/// Handles `POST /v1/unload_lora_adapter`.
pub async fn unload(
    State(state): State<Arc<EngineState>>,
    Json(order): Json<AdapterOrder>,
) -> Response {
    let task_state = Arc::clone(&state);
    handle_order(state, async move {
        task_state.with_inner(|inner| {
            inner.check_fencing(&task_state, order.fencing_token)?;
            inner.unload_adapter(&order.lora_name);
            Ok(())
        })
    })
    .await
}

/// Handles `POST /role`.
pub async fn change_role(
    State(state): State<Arc<EngineState>>,
    Json(order): Json<RoleOrder>,
) -> Response {
    let task_state = Arc::clone(&state);
    handle_order(state, async move {
        task_state.with_inner(|inner| {
            inner.check_fencing(&task_state, order.fencing_token)?;
            inner.role = order.role;
            Ok(())
        })
    })
    .await
}

/// Executes an order in its own task, so that it takes effect even if its sender disconnects.
async fn handle_order(
    state: Arc<EngineState>,
    execution: impl Future<Output = OrderResult> + Send + 'static,
) -> Response {
    let faults = state.faults();
    if let Err(refusal) = faults.common.inject_before_call().await {
        return refusal;
    }
    let execution_task = tokio::spawn(async move {
        tokio::time::sleep(faults.order_delay).await;
        execution.await
    });
    let outcome = execution_task.await;
    faults.common.inject_before_answer().await;
    if state.with_inner(|inner| consume_fault(&mut inner.faults.lost_order_answers)) {
        return aborted_answer();
    }
    match outcome {
        Ok(Ok(())) => StatusCode::OK.into_response(),
        Ok(Err(refusal)) => refusal.into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

impl EngineInner {
    /// Refuses an order whose fencing token is older than that of an earlier order, or only counts
    /// it if the engine does not check tokens.
    fn check_fencing(&mut self, state: &EngineState, token: FencingToken) -> OrderResult {
        if token >= self.fencing_token {
            self.fencing_token = token;
            return Ok(());
        }
        if state.options.checks_fencing {
            self.counters.fenced_orders += 1;
            return Err(OrderRefusal::Fenced(self.fencing_token));
        }
        self.counters.stale_orders += 1;
        Ok(())
    }

    /// Unloads an adapter and aborts the requests for it.
    fn unload_adapter(&mut self, adapter: &AdapterRef) {
        if !self.adapters.remove(adapter) {
            return;
        }
        self.counters.unloads += 1;
        let aborted = self.batch.remove_adapter(adapter);
        self.counters.unloads_in_use += u64::from(!aborted.is_empty());
        for stream in aborted {
            stream.finish(StreamEnd::Aborted);
            self.retain_ended(stream.id());
        }
        self.update_load_report();
    }

    /// Reserves a slot for a load and returns whether the weights must be fetched.
    fn reserve_slot(&mut self, slots: u16, adapter: &AdapterRef) -> Result<bool, OrderRefusal> {
        if self.adapters.contains(adapter) {
            return Ok(false);
        }
        if self.loading.contains(adapter) {
            return Err(OrderRefusal::Refused(format!("{adapter} is loading")));
        }
        if self.adapters.len() + self.loading.len() >= usize::from(slots) {
            return Err(OrderRefusal::Refused("no adapter slot is free".to_owned()));
        }
        self.loading.insert(adapter.clone());
        Ok(true)
    }

    /// Finishes a load, unless the engine has restarted since the load began.
    fn finish_load(
        &mut self,
        incarnation: Incarnation,
        adapter: AdapterRef,
        fetched: OrderResult,
    ) -> OrderResult {
        if self.incarnation != incarnation {
            return Err(OrderRefusal::Refused("the engine restarted".to_owned()));
        }
        self.loading.remove(&adapter);
        if fetched.is_ok() && consume_fault(&mut self.faults.failed_loads) {
            self.counters.failed_loads += 1;
            return Err(OrderRefusal::Refused(format!(
                "weights of {adapter} are damaged"
            )));
        }
        match fetched {
            Ok(()) => {
                self.counters.loads += 1;
                self.adapters.insert(adapter);
                Ok(())
            }
            Err(refusal) => {
                self.counters.failed_loads += 1;
                Err(refusal)
            }
        }
    }
}

/// Loads an adapter unless it is resident.
async fn load_adapter(
    state: &EngineState,
    adapter: AdapterRef,
    token: FencingToken,
) -> OrderResult {
    let slots = state.options.adapter_slots;
    let (incarnation, needs_fetch) = state.with_inner(|inner| {
        inner.check_fencing(state, token)?;
        let needs_fetch = inner.reserve_slot(slots, &adapter)?;
        Ok((inner.incarnation, needs_fetch))
    })?;
    if !needs_fetch {
        return Ok(());
    }
    let fetched = fetch_weights(state, &adapter).await;
    state.with_inner(|inner| inner.finish_load(incarnation, adapter, fetched))
}

/// Fetches weights from the weight store, or waits for `load_time` without one.
async fn fetch_weights(state: &EngineState, adapter: &AdapterRef) -> OrderResult {
    let Some(store) = &state.store else {
        tokio::time::sleep(state.options.load_time).await;
        return Ok(());
    };
    let request = LoadRequest {
        adapter: adapter.clone(),
    };
    let body = serde_json::to_vec(&request)
        .map_err(|error| OrderRefusal::Refused(format!("load can't be encoded: {error}")))?;
    let builder = store
        .request(Method::POST, "/loads")
        .header(header::CONTENT_TYPE, "application/json");
    let answer = store.fetch(builder, Bytes::from(body), STORE_TIMEOUT).await;
    match answer.and_then(check_status) {
        Ok(_) => Ok(()),
        Err(PortError::Limited(delay)) => Err(OrderRefusal::Limited(delay)),
        Err(error) => Err(OrderRefusal::Refused(format!("weight store: {error}"))),
    }
}
