//! Claims at an agent run at most once, and their reported outcomes are true. The tests compare
//! them with the number of executions that the service counts.

mod fakes;

use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranth_agent::settings::AgentLimits;
use amaranth_control::claim_codec;
use amaranth_control::claim_record::ClaimRecord;
use amaranth_core::ErrorKind;
use amaranth_core::errors::RunState;
use amaranth_core::ids::{ClaimId, Incarnation, LogOffset};
use amaranth_core::request::ServiceClaim;
use amaranth_ports::log::LogStream;
use amaranth_wire::agent::{AgentRpc, ClaimStatus};
use fakes::engine::EngineOptions;
use fakes::fleet::{AgentFixture, booking};
use tarpc::context;
use tokio::time::sleep;

const KEY: &str = "wheel-1";

async fn fixture() -> AgentFixture {
    AgentFixture::spawn(EngineOptions::default(), AgentLimits::default()).await
}

async fn claim(fixture: &AgentFixture) -> ServiceClaim {
    let status = fixture.server.clone().status(context::current()).await;
    ServiceClaim {
        key: KEY.parse().unwrap(),
        id: ClaimId {
            offset: LogOffset(3),
            index: 1,
        },
        agent_incarnation: status.identity.incarnation,
    }
}

/// A claim that is sent three times at once and once afterwards is executed once, and every call
/// gets the same answer.
#[tokio::test(start_paused = true)]
async fn repeated_claim_runs_once() {
    let fixture = fixture().await;
    let claim = claim(&fixture).await;
    let call = || {
        fixture
            .server
            .clone()
            .call_service(context::current(), booking(Some(claim.clone())))
    };
    let (first, second, third) = tokio::join!(call(), call(), call());
    let answer = first.unwrap();
    assert_eq!(
        (second.unwrap(), third.unwrap()),
        (answer.clone(), answer.clone())
    );
    assert_eq!(call().await.unwrap(), answer);
    assert_eq!(fixture.service.executions(KEY), 1);
}

/// Settling a claim that was never received seals it: a later call with it is refused as not run.
#[tokio::test(start_paused = true)]
async fn sealed_claim_never_runs() {
    let fixture = fixture().await;
    let claim = claim(&fixture).await;
    let settled = fixture
        .server
        .clone()
        .settle_claim(context::current(), claim.clone())
        .await;
    assert_eq!(settled.unwrap(), ClaimStatus::Sealed);
    let called = fixture
        .server
        .clone()
        .call_service(context::current(), booking(Some(claim)));
    let error = called.await.unwrap_err();
    assert_eq!(error.kind.answer().run, RunState::NotRun);
    assert_eq!(fixture.service.executions(KEY), 0);
}

/// A claim on another incarnation is neither run nor sealed.
#[tokio::test(start_paused = true)]
async fn claim_on_another_incarnation_is_refused() {
    let fixture = fixture().await;
    let mut claim = claim(&fixture).await;
    claim.agent_incarnation = Incarnation(claim.agent_incarnation.0 ^ 1);
    let settled = fixture
        .server
        .clone()
        .settle_claim(context::current(), claim.clone())
        .await;
    assert_eq!(settled.unwrap_err().kind, ErrorKind::Fenced);
    let called = fixture
        .server
        .clone()
        .call_service(context::current(), booking(Some(claim)));
    assert_eq!(called.await.unwrap_err().kind, ErrorKind::Fenced);
    assert_eq!(fixture.service.executions(KEY), 0);
}

/// If the service ran the call and its answer was lost, the outcome is unknown, and the call is
/// not retried.
#[tokio::test(start_paused = true)]
async fn lost_answer_is_an_unknown_outcome() {
    let fixture = fixture().await;
    let claim = claim(&fixture).await;
    fixture.service.loses_answers.store(true, Ordering::SeqCst);
    let call = || {
        fixture
            .server
            .clone()
            .call_service(context::current(), booking(Some(claim.clone())))
    };
    assert_eq!(call().await.unwrap_err().kind, ErrorKind::OutcomeUnknown);
    fixture.service.loses_answers.store(false, Ordering::SeqCst);
    assert_eq!(call().await.unwrap_err().kind, ErrorKind::OutcomeUnknown);
    let settled = fixture
        .server
        .clone()
        .settle_claim(context::current(), claim.clone())
        .await;
    assert_eq!(settled.unwrap(), ClaimStatus::Unknown);
    assert_eq!(fixture.service.executions(KEY), 1);
}

/// A service that can't be reached did not run the call, and the claim stays refused as not run.
#[tokio::test(start_paused = true)]
async fn claim_on_an_unreachable_service_is_refused_as_not_run() {
    let fixture = fixture().await;
    let claim = claim(&fixture).await;
    fixture.service.down.store(true, Ordering::SeqCst);
    let call = || {
        fixture
            .server
            .clone()
            .call_service(context::current(), booking(Some(claim.clone())))
    };
    assert_eq!(
        call().await.unwrap_err().kind.answer().run,
        RunState::NotRun
    );
    fixture.service.down.store(false, Ordering::SeqCst);
    assert_eq!(
        call().await.unwrap_err().kind.answer().run,
        RunState::NotRun
    );
    assert_eq!(fixture.service.executions(KEY), 0);
}

/// A call with a claim runs on after its caller has disconnected: its outcome is known afterwards,
/// and is appended to the log after a log outage.
#[tokio::test(start_paused = true)]
async fn disconnected_call_completes_and_its_outcome_is_recorded() {
    let fixture = fixture().await;
    let claim = claim(&fixture).await;
    fixture.log.down.store(true, Ordering::SeqCst);
    let call = fixture
        .server
        .clone()
        .call_service(context::current(), booking(Some(claim.clone())));
    let disconnected = tokio::time::timeout(Duration::from_millis(10), call).await;
    assert!(disconnected.is_err());
    sleep(Duration::from_secs(1)).await;
    let settled = fixture
        .server
        .clone()
        .settle_claim(context::current(), claim.clone())
        .await;
    let Ok(ClaimStatus::Done(answer)) = settled else {
        panic!("expected a completed call, got {settled:?}");
    };
    assert!(fixture.log.records(LogStream::Claims).is_empty());

    fixture.log.down.store(false, Ordering::SeqCst);
    sleep(Duration::from_secs(5)).await;
    let batches = fixture.log.records(LogStream::Claims);
    let records: Vec<_> = batches
        .iter()
        .flat_map(|batch| claim_codec::decode(batch).unwrap().records)
        .collect();
    let done = ClaimRecord::Done {
        key: claim.key,
        claim: claim.id,
        answer,
    };
    assert_eq!(records, [done]);
}

/// A draining agent refuses a new claim without running it, and answers a running one.
#[tokio::test(start_paused = true)]
async fn draining_agent_answers_running_claims() {
    let fixture = fixture().await;
    let running = claim(&fixture).await;
    let mut late = running.clone();
    late.id.index += 1;
    late.key = "wheel-2".parse().unwrap();
    let server = fixture.server.clone();
    let call = |claim: &ServiceClaim| {
        server
            .clone()
            .call_service(context::current(), booking(Some(claim.clone())))
    };
    let first = tokio::spawn(call(&running));
    sleep(Duration::from_millis(10)).await;
    let drained = tokio::spawn(fixture.process.drain());
    sleep(Duration::from_millis(10)).await;
    assert_eq!(call(&late).await.unwrap_err().kind, ErrorKind::Draining);
    let again = call(&running).await.unwrap();
    assert_eq!(first.await.unwrap().unwrap(), again);
    drained.await.unwrap();
    assert_eq!(
        (
            fixture.service.executions(KEY),
            fixture.service.executions("wheel-2")
        ),
        (1, 0)
    );
}

/// Calls without a claim are not recorded, so that each repetition runs.
#[tokio::test(start_paused = true)]
async fn call_without_a_claim_runs_each_time() {
    let fixture = fixture().await;
    for _ in 0..2 {
        let called = fixture
            .server
            .clone()
            .call_service(context::current(), booking(None));
        assert_eq!(called.await.unwrap().status, 200);
    }
    assert_eq!(fixture.service.executions(""), 2);
}
