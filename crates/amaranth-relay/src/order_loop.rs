//! The loop that reads an engine's reports and sends it orders, one at a time.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::FencingToken;
use amaranth_dispatch::adapter_manager::GuardedOrder;
use tokio::time::{Instant, sleep};

use crate::agent::AgentCore;
use crate::engine_port::{EnginePort, TokenSource};

/// Time between two reports of an engine without loads.
const IDLE_INTERVAL: Duration = Duration::from_millis(120);

/// Time between two reports while loads are in progress or queued.
const LOADING_INTERVAL: Duration = Duration::from_millis(25);

/// Delay after a failed report.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Retry delay after the first failed request for a fencing token. Each further failure doubles the
/// delay.
const MIN_TOKEN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum retry delay after a failed request for a fencing token.
const MAX_TOKEN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Acquires the fencing token of the process, with retries until one is available.
pub async fn acquire_token(tokens: &impl TokenSource) -> FencingToken {
    let mut retry_delay = MIN_TOKEN_RETRY_DELAY;
    let mut is_unavailable = false;
    loop {
        match tokens.next_token().await {
            Ok(token) => {
                log::info!("event=fencing_token token={}", token.0);
                return token;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unavailable, true) {
                    log::warn!("event=dependency_lost what=fencing_token error={error:?}");
                }
                sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_TOKEN_RETRY_DELAY);
            }
        }
    }
}

/// Reads reports and sends orders until the agent stops. No order is sent before the fencing token is
/// known.
pub async fn run<Port: EnginePort>(
    core: Arc<AgentCore>,
    port: Arc<Port>,
    tokens: impl TokenSource,
) {
    let token = acquire_token(&tokens);
    tokio::pin!(token);
    let mut known_token = None;
    let mut is_unreachable = false;
    let mut report_due = Instant::now();
    while !core.is_stopping() {
        if core.needs_report() || Instant::now() >= report_due {
            let interval = match port.report().await {
                Ok(contents) => {
                    if std::mem::take(&mut is_unreachable) {
                        log::info!("event=dependency_regained what=engine");
                    }
                    core.observe(contents);
                    if core.is_loading() {
                        LOADING_INTERVAL
                    } else {
                        IDLE_INTERVAL
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_unreachable, true) {
                        log::warn!("event=dependency_lost what=engine error={error:?}");
                    }
                    core.mark_unreachable();
                    REPORT_RETRY_DELAY
                }
            };
            report_due = Instant::now() + interval;
        }
        if let Some(token) = known_token
            && let Some(order) = core.next_order()
        {
            send_order(&core, &*port, &order, token).await;
            continue;
        }
        let wake = core.next_wake(report_due);
        tokio::select! {
            token = &mut token, if known_token.is_none() => known_token = Some(token),
            () = core.requested() => {}
            () = tokio::time::sleep_until(wake) => {}
        }
    }
}

async fn send_order(
    core: &AgentCore,
    port: &impl EnginePort,
    order: &GuardedOrder,
    token: FencingToken,
) {
    let answer = port.order(order, token).await;
    let answer_name = answer.to_string();
    metrics::counter!("amaranth_orders_total", "answer" => answer_name).increment(1);
    log::info!(
        "event=order endpoint={} order={:?} expected_count={} token={} answer={answer}",
        order.endpoint,
        order.order,
        order.expected_count,
        token.0
    );
    core.record_answer(answer);
}
