//! Answers of the engine: complete, aborted, resumed and cancelled.

mod support;

use amaranth_ports::PortError;
use amaranth_ports::engine::EnginePort;
use amaranth_standin::engine::answer_text::answer_text;
use amaranth_standin::{EngineFaults, StreamFaults};
use futures::StreamExt;
use support::{PROMPT, call, event_value, fast_engine, joined_text, load, read_all, spawn_engine};

const MODEL: &str = "manifest-reader@3";

#[tokio::test]
async fn answer_has_the_expected_text_and_names_its_model_in_every_event() {
    let (_engine, client) = spawn_engine(fast_engine()).await;
    load(&client, MODEL, 1).await.expect("the adapter loads");
    let answer = client
        .complete(call(1, MODEL, 20))
        .await
        .expect("the engine accepts the call");
    assert_eq!(answer.served_model, MODEL);
    let events = read_all(answer).await;
    assert_eq!(joined_text(&events), answer_text(MODEL, PROMPT, 20));
    assert!(
        events
            .iter()
            .all(|event| event_value(event)["model"] == MODEL)
    );
    insta::assert_snapshot!(
        event_value(&events[19])["choices"],
        @r#"[{"finish_reason":"length","index":0,"logprobs":null,"text":"zazade "}]"#
    );
}

#[tokio::test]
async fn completion_for_an_adapter_that_is_not_resident_is_refused() {
    let (engine, client) = spawn_engine(fast_engine()).await;
    let refused = client.complete(call(1, MODEL, 2)).await.err();
    assert!(
        matches!(refused, Some(PortError::Refused(_))),
        "{refused:?}"
    );
    assert_eq!(engine.counters().not_resident, 1);
}

#[tokio::test]
async fn answer_with_an_aborted_connection_resumes_at_the_next_event() {
    let (engine, client) = spawn_engine(fast_engine()).await;
    load(&client, MODEL, 1).await.expect("the adapter loads");
    engine.set_faults(EngineFaults {
        streams: StreamFaults {
            broken: 1,
            after_events: 5,
            ..StreamFaults::default()
        },
        ..EngineFaults::default()
    });
    let call = call(1, MODEL, 12);
    let id = call.id;
    let mut events = read_all(
        client
            .complete(call)
            .await
            .expect("the engine accepts the call"),
    )
    .await;
    let last = events.pop().expect("the answer has an end");
    assert!(matches!(last, Err(PortError::Uncertain(_))), "{last:?}");
    assert_eq!(events.len(), 5);
    let rest = client
        .resume(id, 5)
        .await
        .expect("the engine resumes the answer");
    events.extend(read_all(rest).await);
    assert_eq!(joined_text(&events), answer_text(MODEL, PROMPT, 12));
}

#[tokio::test]
async fn answer_that_the_engine_aborts_ends_in_an_error_for_every_reader() {
    let (engine, client) = spawn_engine(fast_engine()).await;
    load(&client, MODEL, 1).await.expect("the adapter loads");
    engine.set_faults(EngineFaults {
        streams: StreamFaults {
            failed: 1,
            after_events: 3,
            ..StreamFaults::default()
        },
        ..EngineFaults::default()
    });
    let call = call(1, MODEL, 12);
    let id = call.id;
    for answer in [client.complete(call).await, client.resume(id, 0).await] {
        let events = read_all(answer.expect("the engine accepts the call")).await;
        assert_eq!(events.len(), 4);
        assert!(events[3].is_err());
    }
}

#[tokio::test]
async fn wrong_echoes_name_another_model() {
    let (engine, client) = spawn_engine(fast_engine()).await;
    load(&client, MODEL, 1).await.expect("the adapter loads");
    engine.set_faults(EngineFaults {
        streams: StreamFaults {
            wrong_echoes: 1,
            ..StreamFaults::default()
        },
        ..EngineFaults::default()
    });
    let answer = client
        .complete(call(1, MODEL, 2))
        .await
        .expect("the engine accepts the call");
    assert_eq!(answer.served_model, MODEL);
    let events = read_all(answer).await;
    assert_ne!(event_value(&events[0])["model"], MODEL);
}

#[tokio::test]
async fn cancelled_answer_stops_generating() {
    let (engine, client) = spawn_engine(fast_engine()).await;
    load(&client, MODEL, 1).await.expect("the adapter loads");
    let call = call(1, MODEL, 1_000_000);
    let id = call.id;
    let mut answer = client
        .complete(call)
        .await
        .expect("the engine accepts the call");
    answer
        .events
        .next()
        .await
        .expect("the answer has a first event")
        .expect("the first event arrives");
    client
        .cancel(id)
        .await
        .expect("the engine cancels the answer");
    let rest = read_all(answer).await;
    assert!(rest.last().expect("the answer has an end").is_err());
    assert_eq!(engine.counters().cancelled, 1);
    assert_eq!(
        client
            .load_report()
            .await
            .expect("the engine reports its load")
            .running,
        0
    );
}

#[tokio::test]
async fn restart_unloads_all_adapters_and_aborts_all_answers() {
    let (engine, client) = spawn_engine(fast_engine()).await;
    load(&client, MODEL, 1).await.expect("the adapter loads");
    let before = client
        .inventory()
        .await
        .expect("the engine reports its inventory");
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
    engine.restart();
    assert!(
        read_all(answer)
            .await
            .last()
            .expect("the answer has an end")
            .is_err()
    );
    let after = client
        .inventory()
        .await
        .expect("the engine reports its inventory");
    assert_ne!(after.incarnation, before.incarnation);
    assert!(after.adapters.is_empty());
}
