//! Orders to the engine: fencing, lost answers, delayed execution and failed loads.

mod support;

use std::time::Duration;

use amaranth_core::ids::FencingToken;
use amaranth_ports::PortError;
use amaranth_ports::engine::{EnginePort, EngineRole};
use amaranth_standin::{EngineFaults, EngineOptions};
use futures::StreamExt;
use rstest::rstest;
use support::{ORDER_TIMEOUT, adapter, call, fast_engine, load, read_all, spawn_engine, unload};

const MODEL: &str = "manifest-reader@3";
const OTHER_MODEL: &str = "label-reader@1";

#[rstest]
#[case::checked(true)]
#[case::ignored(false)]
#[tokio::test]
async fn outdated_fencing_token_is_refused_or_counted(#[case] checks_fencing: bool) {
    let (engine, client) = spawn_engine(EngineOptions {
        checks_fencing,
        ..fast_engine()
    })
    .await;
    load(&client, MODEL, 7).await.expect("the adapter loads");
    let stale = [
        load(&client, OTHER_MODEL, 6).await,
        unload(&client, MODEL, 6).await,
        client
            .set_role(EngineRole::Decode, FencingToken(6), ORDER_TIMEOUT)
            .await,
    ];
    let refused = |result: &Result<(), PortError>| matches!(result, Err(PortError::Fenced(_)));
    assert!(stale.iter().all(|result| refused(result) == checks_fencing));
    assert_eq!(engine.is_resident(&adapter(MODEL)), checks_fencing);
    assert_eq!(engine.is_resident(&adapter(OTHER_MODEL)), !checks_fencing);
    let counters = engine.counters();
    let counted = (counters.fenced_orders, counters.stale_orders);
    assert_eq!(counted, if checks_fencing { (3, 0) } else { (0, 3) });
}

#[tokio::test]
async fn order_with_a_lost_answer_takes_effect_and_its_outcome_is_uncertain() {
    let (engine, client) = spawn_engine(fast_engine()).await;
    engine.set_faults(EngineFaults {
        lost_order_answers: 1,
        ..EngineFaults::default()
    });
    let lost = load(&client, MODEL, 1)
        .await
        .expect_err("the answer is lost");
    assert!(lost.may_have_run(), "{lost}");
    assert!(engine.is_resident(&adapter(MODEL)));
}

#[tokio::test]
async fn order_takes_effect_after_its_sender_timed_out() {
    let (engine, client) = spawn_engine(fast_engine()).await;
    engine.set_faults(EngineFaults {
        order_delay: Duration::from_millis(100),
        ..EngineFaults::default()
    });
    let (model, timeout) = (adapter(MODEL), Duration::from_millis(10));
    let order = client.load_adapter(&model, FencingToken(1), timeout);
    let lost = order.await.expect_err("the sender times out");
    assert!(lost.may_have_run(), "{lost}");
    while !engine.is_resident(&adapter(MODEL)) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn failed_load_frees_its_slot() {
    let (engine, client) = spawn_engine(EngineOptions {
        adapter_slots: 1,
        ..fast_engine()
    })
    .await;
    engine.set_faults(EngineFaults {
        failed_loads: 1,
        ..EngineFaults::default()
    });
    let failed = load(&client, MODEL, 1).await;
    assert!(matches!(failed, Err(PortError::Refused(_))), "{failed:?}");
    load(&client, MODEL, 1)
        .await
        .expect("the next load succeeds");
    let full = load(&client, OTHER_MODEL, 1).await;
    assert!(matches!(full, Err(PortError::Refused(_))), "{full:?}");
}

#[tokio::test]
async fn unload_of_an_adapter_in_use_is_counted_and_aborts_its_answers() {
    let (engine, client) = spawn_engine(fast_engine()).await;
    load(&client, MODEL, 1).await.expect("the adapter loads");
    let mut answer = client
        .complete(call(1, MODEL, 1_000_000))
        .await
        .expect("the engine accepts the call");
    answer
        .events
        .next()
        .await
        .expect("the answer has a first event")
        .expect("the first event arrives");
    unload(&client, MODEL, 1)
        .await
        .expect("the adapter unloads");
    assert!(
        read_all(answer)
            .await
            .last()
            .expect("the answer has an end")
            .is_err()
    );
    assert_eq!(engine.counters().unloads_in_use, 1);
}
