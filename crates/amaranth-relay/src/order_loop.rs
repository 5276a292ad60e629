//! Giving an engine its orders, one after another.

use std::sync::Arc;
use std::time::Duration;

use amaranth_dispatch::adapter_manager::GuardedOrder;
use tokio::time::{Instant, sleep};

use crate::agent::AgentCore;
use crate::engine_port::{EnginePort, FencingToken, TokenSource};

/// Time between two reports of an engine that loads nothing.
const CALM_INTERVAL: Duration = Duration::from_millis(120);

/// Time between two reports while loads are on their way.
const LOADING_INTERVAL: Duration = Duration::from_millis(25);

/// Pause after a report that could not be had.
const SILENT_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a fencing token could not be had; doubled each time.
const SHORTEST_TOKEN_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a fencing token could not be had, at most.
const LONGEST_TOKEN_PAUSE: Duration = Duration::from_secs(1);

/// Gets the process's fencing token, however long it takes.
pub async fn get_token(tokens: &impl TokenSource) -> FencingToken {
    let mut pause = SHORTEST_TOKEN_PAUSE;
    let mut lost = false;
    loop {
        match tokens.next_token().await {
            Ok(token) => {
                log::info!("event=fencing_token token={}", token.0);
                return token;
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    log::warn!("event=dependency_lost what=fencing_token error={error:?}");
                }
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_TOKEN_PAUSE);
            }
        }
    }
}

/// Reads reports and gives orders for ever.
pub async fn run<Port: EnginePort>(
    core: Arc<AgentCore>,
    port: Arc<Port>,
    tokens: impl TokenSource,
) {
    let token = get_token(&tokens);
    tokio::pin!(token);
    let mut known_token = None;
    let mut silent = false;
    let mut report_due = Instant::now();
    loop {
        if core.needs_report() || Instant::now() >= report_due {
            let interval = match port.report().await {
                Ok(contents) => {
                    if std::mem::take(&mut silent) {
                        log::info!("event=dependency_regained what=engine");
                    }
                    core.observe(contents);
                    if core.is_loading() {
                        LOADING_INTERVAL
                    } else {
                        CALM_INTERVAL
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut silent, true) {
                        log::warn!("event=dependency_lost what=engine error={error:?}");
                    }
                    core.lose_engine();
                    SILENT_PAUSE
                }
            };
            report_due = Instant::now() + interval;
        }
        if let Some(token) = known_token
            && let Some(order) = core.next_order()
        {
            give(&core, &*port, &order, token).await;
            continue;
        }
        let wake = core.next_wake(report_due);
        tokio::select! {
            token = &mut token, if known_token.is_none() => known_token = Some(token),
            () = core.asked() => {}
            () = tokio::time::sleep_until(wake) => {}
        }
    }
}

async fn give(core: &AgentCore, port: &impl EnginePort, order: &GuardedOrder, token: FencingToken) {
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
    core.order_ended(answer);
}
