//! Continuous batching, priorities, the load report and cache events, with a paused clock.

mod support;

use std::time::Duration;

use amaranth_core::request::RequestPriority;
use amaranth_ports::engine::{EngineCall, EnginePort, EngineRole};
use amaranth_ports::http_engine::HttpEngine;
use amaranth_standin::{EngineFaults, EngineOptions};
use bytes::Bytes;
use futures::StreamExt;
use futures::future::join_all;
use serde_json::json;
use support::{call, fast_engine, read_all, spawn_engine};
use tokio::time::Instant;

const BASE: &str = "tin-llm";
const STEP_TIME: Duration = Duration::from_millis(10);
const STEP_TIME_PER_REQUEST: Duration = Duration::from_millis(5);

/// Returns the options of an engine whose steps take time.
fn stepped_engine() -> EngineOptions {
    EngineOptions {
        step_time: STEP_TIME,
        step_time_per_request: STEP_TIME_PER_REQUEST,
        ..fast_engine()
    }
}

/// Completes a call and returns how long that took.
async fn complete_call(client: &HttpEngine, call: EngineCall) -> Duration {
    let started = Instant::now();
    let answer = client
        .complete(call)
        .await
        .expect("the engine accepts the call");
    assert!(read_all(answer).await.iter().all(Result::is_ok));
    started.elapsed()
}

#[tokio::test(start_paused = true)]
async fn generation_slows_down_for_each_request_as_the_batch_fills() {
    let (engine, client) = spawn_engine(stepped_engine()).await;
    let alone = complete_call(&client, call(1, BASE, 40)).await;
    let together = join_all((2..10).map(|id| complete_call(&client, call(id, BASE, 40)))).await;
    let slowest = together.into_iter().max().expect("there are eight answers");
    // 40 steps take 15 ms each for a single request, and 50 ms each for eight requests in a batch.
    assert!(alone >= Duration::from_millis(600));
    assert!(slowest >= Duration::from_millis(2_000));
    assert!(slowest < Duration::from_millis(2_000) + 10 * STEP_TIME);
    assert_eq!(engine.counters().tokens, 9 * 40);
    assert_eq!(engine.counters().step_requests, 9 * 40);
}

#[tokio::test(start_paused = true)]
async fn requests_beyond_the_batch_slots_are_queued_by_priority() {
    let (_engine, client) = spawn_engine(EngineOptions {
        batch_slots: 1,
        ..stepped_engine()
    })
    .await;
    let first = client
        .complete(call(1, BASE, 10))
        .await
        .expect("the engine accepts the call");
    let mut queued = Vec::new();
    for (id, priority) in [
        (2, RequestPriority::Low),
        (3, RequestPriority::Normal),
        (4, RequestPriority::High),
    ] {
        let call = EngineCall {
            priority,
            ..call(id, BASE, 10)
        };
        queued.push((
            id,
            client
                .complete(call)
                .await
                .expect("the engine accepts the call"),
        ));
    }
    let finishing = queued.into_iter().map(|(id, answer)| async move {
        read_all(answer).await;
        (Instant::now(), id)
    });
    let (_, mut finished) = tokio::join!(read_all(first), join_all(finishing));
    finished.sort();
    let order: Vec<_> = finished.into_iter().map(|(_, id)| id).collect();
    assert_eq!(order, [4, 3, 2]);
}

#[tokio::test(start_paused = true)]
async fn load_report_lags() {
    let (engine, client) = spawn_engine(stepped_engine()).await;
    engine.set_faults(EngineFaults {
        load_report_lag: Duration::from_millis(500),
        ..EngineFaults::default()
    });
    let mut answer = client
        .complete(call(1, BASE, 1_000))
        .await
        .expect("the engine accepts the call");
    answer
        .events
        .next()
        .await
        .expect("the answer has a first event")
        .expect("the first event arrives");
    assert_eq!(
        client
            .load_report()
            .await
            .expect("the engine reports its load")
            .running,
        0
    );
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(
        client
            .load_report()
            .await
            .expect("the engine reports its load")
            .running,
        1
    );
}

/// Returns a call for an answer of one token to `prompt`.
fn prompt_call(id: u128, prompt: &str) -> EngineCall {
    let body = json!({"model": BASE, "prompt": prompt, "max_tokens": 1, "stream": true});
    EngineCall {
        body: Bytes::from(body.to_string()),
        ..call(id, BASE, 1)
    }
}

#[tokio::test(start_paused = true)]
async fn cache_events_are_delayed_and_have_gaps() {
    let (engine, client) = spawn_engine(EngineOptions {
        cached_prefixes: 2,
        ..stepped_engine()
    })
    .await;
    engine.set_faults(EngineFaults {
        cache_event_lag: Duration::from_secs(5),
        cache_event_gap: 3,
        ..EngineFaults::default()
    });
    for (id, prompt) in [(1, "a"), (2, "b"), (3, "c"), (4, "c")] {
        complete_call(&client, prompt_call(id, prompt)).await;
    }
    assert!(
        client
            .cache_events(0)
            .await
            .expect("the engine reports cache events")
            .is_empty()
    );
    tokio::time::sleep(Duration::from_secs(6)).await;
    let events = client
        .cache_events(0)
        .await
        .expect("the engine reports cache events");
    let reported: Vec<_> = events
        .iter()
        .map(|event| (event.number, event.cached))
        .collect();
    // Event 3, the eviction of "a" to make room for "c", falls into the gap and is never published.
    assert_eq!(reported, [(1, true), (2, true), (4, true)]);
    assert_eq!(
        client
            .cache_events(2)
            .await
            .expect("the engine reports cache events")
            .len(),
        1
    );
}

#[tokio::test(start_paused = true)]
async fn cached_prefix_skips_prefill() {
    let (_engine, client) = spawn_engine(EngineOptions {
        prefill_time_per_token: Duration::from_millis(10),
        ..stepped_engine()
    })
    .await;
    let cold = complete_call(&client, prompt_call(1, &"x".repeat(400))).await;
    let warm = complete_call(&client, prompt_call(2, &"x".repeat(400))).await;
    assert!(cold >= warm + Duration::from_secs(1), "{cold:?} {warm:?}");
}

#[tokio::test]
async fn engine_with_the_prefill_role_refuses_to_decode() {
    let (_engine, client) = spawn_engine(EngineOptions {
        role: EngineRole::Prefill,
        ..fast_engine()
    })
    .await;
    assert!(client.complete(call(1, BASE, 2)).await.is_err());
    assert!(client.complete(call(2, BASE, 1)).await.is_ok());
}
