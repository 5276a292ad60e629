//! The weight store from which an engine loads adapters, mostly with a paused clock.

mod support;

use std::time::Duration;

use amaranth_core::units::EventRate;
use amaranth_ports::PortError;
use amaranth_ports::http_engine::HttpEngine;
use amaranth_standin::{
    CommonFaults, EngineOptions, EngineStandin, OutageKind, StoreFaults, StoreOptions, StoreStandin,
};
use futures::future::join_all;
use support::{fast_engine, load, spawn_engine};
use tokio::time::Instant;

const LOAD_TIME: Duration = Duration::from_millis(250);

/// Returns the options of a store whose rate limit no test reaches.
fn unlimited_store() -> StoreOptions {
    StoreOptions {
        load_rate: EventRate(1_000.0),
        load_burst: 1_000,
        load_time: LOAD_TIME,
        ..StoreOptions::default()
    }
}

async fn spawn_with_store(options: StoreOptions) -> (StoreStandin, EngineStandin, HttpEngine) {
    let store = StoreStandin::spawn(options).await.expect("the store binds");
    let (engine, client) = spawn_engine(EngineOptions {
        store: Some(store.address()),
        adapter_slots: 64,
        ..fast_engine()
    })
    .await;
    (store, engine, client)
}

/// Loads `count` adapters concurrently and returns how long that took.
async fn load_together(client: &HttpEngine, count: u32) -> Duration {
    let started = Instant::now();
    let names: Vec<_> = (0..count)
        .map(|index| format!("adapter-{index}@1"))
        .collect();
    let loads = names.iter().map(|name| load(client, name, 1));
    for loaded in join_all(loads).await {
        loaded.expect("the adapter loads");
    }
    started.elapsed()
}

#[tokio::test(start_paused = true)]
async fn up_to_eight_concurrent_loads_run_at_full_speed() {
    let (store, _engine, client) = spawn_with_store(unlimited_store()).await;
    let elapsed = load_together(&client, 8).await;
    assert!(
        elapsed >= LOAD_TIME && elapsed < LOAD_TIME * 3 / 2,
        "{elapsed:?}"
    );
    assert_eq!(store.counters().peak_in_transit, 8);
    assert_eq!(store.counters().in_transit, 0);
}

#[tokio::test(start_paused = true)]
async fn further_concurrent_loads_take_proportionally_longer() {
    let (_store, _engine, client) = spawn_with_store(unlimited_store()).await;
    let elapsed = load_together(&client, 24).await;
    assert!(
        elapsed >= LOAD_TIME * 3 && elapsed < LOAD_TIME * 4,
        "{elapsed:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn loads_beyond_the_rate_limit_are_refused() {
    let (store, _engine, client) = spawn_with_store(StoreOptions::default()).await;
    let names = ["first@1", "second@1", "third@1"];
    let loads = join_all(names.map(|name| load(&client, name, 1))).await;
    let longest_delay = Duration::from_millis(260);
    let limited = loads
        .iter()
        .filter(|load| matches!(load, Err(PortError::Limited(delay)) if *delay <= longest_delay));
    assert_eq!(limited.count(), 2);
    assert_eq!(store.counters().limited, 2);
    tokio::time::sleep(Duration::from_secs(1)).await;
    load(&client, "fourth@1", 1)
        .await
        .expect("the rate limit allows another load");
}

#[tokio::test]
async fn failed_transfer_leaves_no_adapter_resident() {
    let (store, engine, client) = spawn_with_store(StoreOptions {
        load_time: Duration::from_millis(1),
        ..unlimited_store()
    })
    .await;
    let faults = [
        StoreFaults {
            failed_loads: 1,
            ..StoreFaults::default()
        },
        StoreFaults {
            lost_answers: 1,
            ..StoreFaults::default()
        },
        StoreFaults {
            common: CommonFaults {
                outage: OutageKind::Refusing,
                ..CommonFaults::default()
            },
            ..StoreFaults::default()
        },
    ];
    for fault in faults {
        store.set_faults(fault);
        let failed = load(&client, "manifest-reader@3", 1).await;
        assert!(matches!(failed, Err(PortError::Refused(_))), "{failed:?}");
        assert!(engine.inventory().adapters.is_empty());
    }
    store.set_faults(StoreFaults::default());
    load(&client, "manifest-reader@3", 1)
        .await
        .expect("the load succeeds without faults");
}
