//! Orders to load and unload adapters and to change role.

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

use super::state::{EngineBook, EngineState};
use super::stream::StreamEnd;
use crate::control::ControlledState;
use crate::faults::{lost_answer, take_one};
use crate::log_standin::limited;
use crate::store_standin::LoadRequest;

/// Longest time that the engine waits for the weight store.
const STORE_TIMEOUT: Duration = Duration::from_secs(60);

/// Why an order was not executed.
enum OrderRefusal {
    Fenced(FencingToken),
    Limited(Duration),
    Refused(String),
}

impl IntoResponse for OrderRefusal {
    fn into_response(self) -> Response {
        match self {
            Self::Fenced(newest) => {
                let reason = format!("fencing number is older than {newest}");
                (StatusCode::PRECONDITION_FAILED, reason).into_response()
            }
            Self::Limited(delay) => limited(delay),
            Self::Refused(reason) => (StatusCode::UNPROCESSABLE_ENTITY, reason).into_response(),
        }
    }
}

type OrderResult = Result<(), OrderRefusal>;

/// Orders the load of an adapter.
pub async fn load(
    State(state): State<Arc<EngineState>>,
    Json(order): Json<AdapterOrder>,
) -> Response {
    let working = Arc::clone(&state);
    answer_order(state, async move {
        load_adapter(&working, order.lora_name, order.fencing_token).await
    })
    .await
}

/// Orders the unload of an adapter.
pub async fn unload(
    State(state): State<Arc<EngineState>>,
    Json(order): Json<AdapterOrder>,
) -> Response {
    let working = Arc::clone(&state);
    answer_order(state, async move {
        working.with_book(|book| {
            book.check_fencing(&working, order.fencing_token)?;
            book.unload_adapter(&order.lora_name);
            Ok(())
        })
    })
    .await
}

/// Orders a change of role.
pub async fn change_role(
    State(state): State<Arc<EngineState>>,
    Json(order): Json<RoleOrder>,
) -> Response {
    let working = Arc::clone(&state);
    answer_order(state, async move {
        working.with_book(|book| {
            book.check_fencing(&working, order.fencing_token)?;
            book.role = order.role;
            Ok(())
        })
    })
    .await
}

/// Executes an order in a task of its own, so that it lands even when its sender has gone.
async fn answer_order(
    state: Arc<EngineState>,
    execution: impl Future<Output = OrderResult> + Send + 'static,
) -> Response {
    let faults = state.faults();
    if let Err(refusal) = faults.common.before_acting().await {
        return refusal;
    }
    let landing = tokio::spawn(async move {
        tokio::time::sleep(faults.order_delay).await;
        execution.await
    });
    let outcome = landing.await;
    faults.common.before_answering().await;
    if state.with_book(|book| take_one(&mut book.faults.lost_order_answers)) {
        return lost_answer();
    }
    match outcome {
        Ok(Ok(())) => StatusCode::OK.into_response(),
        Ok(Err(refusal)) => refusal.into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

impl EngineBook {
    /// Refuses or counts an order whose number is older than one seen before.
    fn check_fencing(&mut self, state: &EngineState, token: FencingToken) -> OrderResult {
        if token >= self.fencing {
            self.fencing = token;
            return Ok(());
        }
        if state.options.checks_fencing {
            self.counters.fenced_orders += 1;
            return Err(OrderRefusal::Fenced(self.fencing));
        }
        self.counters.stale_orders += 1;
        Ok(())
    }

    /// Unloads an adapter; requests that run on it break off.
    fn unload_adapter(&mut self, adapter: &AdapterRef) {
        if !self.adapters.remove(adapter) {
            return;
        }
        self.counters.unloads += 1;
        let cut = self.batch.remove_adapter(adapter);
        self.counters.unloads_in_use += u64::from(!cut.is_empty());
        for stream in cut {
            stream.end(StreamEnd::BrokenOff);
            self.retire(stream.id());
        }
        self.report_load();
    }

    /// Takes a slot for a load and returns whether the adapter has to be fetched.
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

    /// Ends a load in the life of the engine in which it began.
    fn end_load(
        &mut self,
        life: Incarnation,
        adapter: AdapterRef,
        fetched: OrderResult,
    ) -> OrderResult {
        if self.incarnation != life {
            return Err(OrderRefusal::Refused("the engine restarted".to_owned()));
        }
        self.loading.remove(&adapter);
        if fetched.is_ok() && take_one(&mut self.faults.failed_loads) {
            self.counters.failed_loads += 1;
            return Err(OrderRefusal::Refused(format!("{adapter} is damaged")));
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

async fn load_adapter(
    state: &EngineState,
    adapter: AdapterRef,
    token: FencingToken,
) -> OrderResult {
    let slots = state.options.adapter_slots;
    let (life, missing) = state.with_book(|book| {
        book.check_fencing(state, token)?;
        let missing = book.reserve_slot(slots, &adapter)?;
        Ok((book.incarnation, missing))
    })?;
    if !missing {
        return Ok(());
    }
    let fetched = fetch_weights(state, &adapter).await;
    state.with_book(|book| book.end_load(life, adapter, fetched))
}

/// Fetches weights from the store.
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
