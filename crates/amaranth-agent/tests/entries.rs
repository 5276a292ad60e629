//! An agent's announcements and permit requests to entries. These tests run over TCP and in real
//! time, and assert no durations.

mod fakes;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranth_agent::settings::AgentLimits;
use amaranth_core::ids::ConfigRevision;
use amaranth_core::request::AnswerEnd;
use amaranth_wire::agent::AgentRpc;
use amaranth_wire::entry::PermitReply;
use fakes::engine::{EngineOptions, FakeEngine};
use fakes::entry::FakeEntry;
use fakes::fleet::{AgentFixture, request, settings};
use fakes::log::FakeLog;
use tarpc::context;

async fn spawn_agent(entries: &[&FakeEntry], options: EngineOptions) -> AgentFixture {
    let limits = AgentLimits {
        announce_interval: Duration::from_millis(100),
        entry_timeout: Duration::from_millis(500),
        ..AgentLimits::default()
    };
    let mut settings = settings("agent-1", limits);
    settings.entries = entries.iter().map(|entry| entry.address()).collect();
    let engine = Arc::new(FakeEngine::new(options));
    let agent = AgentFixture::spawn_on(engine, Arc::new(FakeLog::default()), settings).await;
    agent.wait_ready().await;
    agent
}

/// Announcements contain the resident adapters and a sequence number, and the entries' replies
/// contain the configuration revision, which the agent reports.
#[tokio::test]
async fn resident_adapters_are_announced_to_entries() {
    let entry = FakeEntry::bind().await;
    let agent = spawn_agent(&[&entry], EngineOptions::default()).await;
    let (_, end) = agent.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    let manifest = "manifest@3".parse().unwrap();
    let has_manifest = |report: &amaranth_core::membership::EndpointReport| {
        report.ready && report.resident.contains(&manifest)
    };
    let announcement = entry
        .announced(|announcement| announcement.endpoints.iter().any(has_manifest))
        .await;
    assert_eq!(announcement.identity.address, agent.process.peer_address());
    let sequences: Vec<u64> = {
        let announcements = entry.records.announcements.lock().unwrap();
        announcements
            .iter()
            .map(|announcement| announcement.sequence)
            .collect()
    };
    assert!(sequences.is_sorted());
    let status = agent.server.clone().status(context::current()).await;
    assert_eq!(status.revision, ConfigRevision(7));
}

/// A connection that goes silent is replaced by a new one, and meanwhile the other entry receives
/// all announcements.
#[tokio::test]
async fn silent_connection_is_abandoned() {
    let (silent, other) = (FakeEntry::bind().await, FakeEntry::bind().await);
    let _agent = spawn_agent(&[&silent, &other], EngineOptions::default()).await;
    silent.announced(|_| true).await;
    silent.records.silent.store(true, Ordering::SeqCst);
    silent.records.announcements.lock().unwrap().clear();
    let seen = other.announced(|_| true).await.sequence;
    other
        .announced(|announcement| announcement.sequence > seen + 5)
        .await;
    silent.announced(|_| true).await;
    assert_eq!(silent.connections(), 2);
}

/// A drain is announced to every entry before the agent ends.
#[tokio::test]
async fn drain_is_announced_before_the_agent_ends() {
    let entries = [FakeEntry::bind().await, FakeEntry::bind().await];
    let agent = spawn_agent(&[&entries[0], &entries[1]], EngineOptions::default()).await;
    agent.process.drain().await;
    for entry in &entries {
        let announcements = entry.records.announcements.lock().unwrap();
        assert!(
            announcements
                .last()
                .is_some_and(|announcement| announcement.draining)
        );
    }
}

/// Each load waits for a permit from the broker, whichever entry that is, and the permit is
/// returned after the load.
#[tokio::test]
async fn loads_wait_for_a_permit_from_the_broker() {
    let (other, broker) = (FakeEntry::bind().await, FakeEntry::bind().await);
    *broker.records.reply.lock().unwrap() = Some(PermitReply::Wait(Duration::from_millis(50)));
    let agent = spawn_agent(&[&other, &broker], EngineOptions::default()).await;
    let grant = async {
        while broker.records.permits.lock().unwrap().len() < 3 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(agent.engine.orders(), []);
        *broker.records.reply.lock().unwrap() = Some(PermitReply::Granted(Duration::from_secs(10)));
    };
    let (answer, ()) = tokio::join!(agent.complete(request(1, "manifest@3")), grant);
    assert_eq!(answer.unwrap().1, AnswerEnd::Complete);
    while broker.records.returned.lock().unwrap().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Without a broker a load starts under the agent's local limit.
#[tokio::test]
async fn load_without_a_broker_uses_the_local_limit() {
    let entry = FakeEntry::bind().await;
    let agent = spawn_agent(&[&entry], EngineOptions::default()).await;
    let (_, end) = agent.complete(request(1, "manifest@3")).await.unwrap();
    assert_eq!(end, AnswerEnd::Complete);
    assert_eq!(entry.records.permits.lock().unwrap().len(), 1);
}
