//! Completions through an agent end in a complete answer from the requested adapter or in an
//! explicit error.

mod fakes;

use amaranth_agent::settings::AgentLimits;
use amaranth_core::ErrorKind;
use amaranth_core::request::AnswerEnd;
use fakes::engine::{EngineFaults, EngineOptions, chunk};
use fakes::fleet::{AgentFixture, request};
use rstest::rstest;

#[tokio::test(start_paused = true)]
async fn answer_is_complete_and_from_the_requested_adapter() {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    let request = request(1, "manifest@3");
    let (chunks, end) = fixture.complete(request.clone()).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    let data: Vec<_> = chunks.into_iter().map(|chunk| chunk.data).collect();
    let expected: Vec<_> = (0..5)
        .map(|number| chunk("manifest@3", request.id, number))
        .collect();
    assert_eq!(data, expected);
}

#[rstest]
#[case::served_model(EngineFaults { serves_as: Some("manifest@2".to_owned()), ..EngineFaults::default() }, 0)]
#[case::first_chunk(EngineFaults { echoes_from: Some((0, "manifest@2".to_owned())), ..EngineFaults::default() }, 0)]
#[case::later_chunk(EngineFaults { echoes_from: Some((3, "other@1".to_owned())), ..EngineFaults::default() }, 3)]
#[tokio::test(start_paused = true)]
async fn wrong_model_name_fails_the_answer_before_the_chunk_is_forwarded(
    #[case] faults: EngineFaults,
    #[case] forwarded: usize,
) {
    let fixture = AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await;
    fixture.engine.set_faults(faults);
    let (chunks, end) = fixture.complete(request(1, "manifest@3")).await.unwrap();
    let AnswerEnd::Failed(error) = end else {
        panic!("the answer of a wrong adapter was forwarded: {chunks:?}");
    };
    assert_eq!(error.kind, ErrorKind::WrongAdapter);
    assert_eq!(chunks.len(), forwarded);
}
