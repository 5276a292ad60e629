//! What entries hear of an agent, and what an agent asks of them. These tests run over TCP, in
//! real time and without bounds on it.

mod fakes;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranth_agent::settings::AgentLimits;
use amaranth_core::ids::ConfigRevision;
use amaranth_core::request::AnswerEnd;
use amaranth_wire::agent::AgentRpc;
use amaranth_wire::entry::PermitReply;
use fakes::engine::{EngineShape, FakeEngine};
use fakes::entry::FakeEntry;
use fakes::fleet::{AgentFixture, request, settings};
use fakes::log::FakeLog;
use tarpc::context;

async fn agent_before(entries: &[&FakeEntry], shape: EngineShape) -> AgentFixture {
    let limits = AgentLimits {
        announce_interval: Duration::from_millis(100),
        entry_timeout: Duration::from_millis(500),
        ..AgentLimits::default()
    };
    let mut settings = settings("agent-1", limits);
    settings.entries = entries.iter().map(|entry| entry.address()).collect();
    let engine = Arc::new(FakeEngine::new(shape));
    let agent = AgentFixture::spawn_on(engine, Arc::new(FakeLog::default()), settings).await;
    agent.wait_ready().await;
    agent
}

/// Entries learn what is resident, each announcement is numbered, and the agent hears of the
/// configuration revision.
#[tokio::test]
async fn entries_learn_what_is_resident() {
    let entry = FakeEntry::bind().await;
    let agent = agent_before(&[&entry], EngineShape::default()).await;
    let (_, end) = agent.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    let manifest = "manifest@3".parse().unwrap();
    let holds = |report: &amaranth_core::membership::EndpointReport| {
        report.ready && report.resident.contains(&manifest)
    };
    let heard = entry
        .announced(|known| known.endpoints.iter().any(holds))
        .await;
    assert_eq!(heard.identity.address, agent.process.peer_address());
    let sequences: Vec<u64> = {
        let announcements = entry.books.announcements.lock().unwrap();
        announcements.iter().map(|known| known.sequence).collect()
    };
    assert!(sequences.is_sorted());
    let status = agent.server.clone().status(context::current()).await;
    assert_eq!(status.revision, ConfigRevision(7));
}

/// A connection that goes silent is given up for a new one, and meanwhile the other entry hears
/// everything.
#[tokio::test]
async fn silent_connection_is_abandoned() {
    let (silent, other) = (FakeEntry::bind().await, FakeEntry::bind().await);
    let _agent = agent_before(&[&silent, &other], EngineShape::default()).await;
    silent.announced(|_| true).await;
    silent.books.silent.store(true, Ordering::SeqCst);
    silent.books.announcements.lock().unwrap().clear();
    let seen = other.announced(|_| true).await.sequence;
    other.announced(|known| known.sequence > seen + 5).await;
    silent.announced(|_| true).await;
    assert_eq!(silent.connections(), 2);
}

/// Leaving is announced to every entry before the agent ends.
#[tokio::test]
async fn leaving_is_announced_first() {
    let entries = [FakeEntry::bind().await, FakeEntry::bind().await];
    let agent = agent_before(&[&entries[0], &entries[1]], EngineShape::default()).await;
    agent.process.drain().await;
    for entry in &entries {
        let announcements = entry.books.announcements.lock().unwrap();
        assert!(announcements.last().is_some_and(|known| known.draining));
    }
}

/// The broker is asked for each load, wherever it is among the entries, and gets its permit back.
#[tokio::test]
async fn loads_wait_for_the_broker() {
    let (other, broker) = (FakeEntry::bind().await, FakeEntry::bind().await);
    *broker.books.reply.lock().unwrap() = Some(PermitReply::Wait(Duration::from_millis(50)));
    let agent = agent_before(&[&other, &broker], EngineShape::default()).await;
    let grant = async {
        while broker.books.permits.lock().unwrap().len() < 3 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(agent.engine.orders(), []);
        *broker.books.reply.lock().unwrap() = Some(PermitReply::Granted(Duration::from_secs(10)));
    };
    let (answer, ()) = tokio::join!(agent.complete(request(1, "manifest@3")), grant);
    assert_eq!(answer.unwrap().1, AnswerEnd::Complete);
    while broker.books.returned.lock().unwrap().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Without a broker a load goes ahead on the local share.
#[tokio::test]
async fn loads_go_on_without_a_broker() {
    let entry = FakeEntry::bind().await;
    let agent = agent_before(&[&entry], EngineShape::default()).await;
    let (_, end) = agent.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    assert_eq!(entry.books.permits.lock().unwrap().len(), 1);
}
