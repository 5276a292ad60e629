//! `apply --wait`, `status`, `explain` and `drain` with running entries.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use amaranth_ctl::exit::ExitStatus;
use amaranth_entry::{EntryProcess, EntrySettings};
use amaranth_standin::log_standin::LogOptions;
use serde_json::Value;

use crate::support::{TestFolder, TestLog, ctl};

const ONE: &str = "[models.m]\n";

/// Generous time for everything that is waited for.
const PATIENCE: Duration = Duration::from_secs(30);

fn json(text: &str) -> Value {
    serde_json::from_str(text).expect("the report is JSON")
}

async fn spawn_entry(name: &str, log: &TestLog) -> EntryProcess {
    spawn_entry_beside(name, log, Vec::new()).await
}

/// Spawns an entry that knows others.
async fn spawn_entry_beside(name: &str, log: &TestLog, entries: Vec<SocketAddr>) -> EntryProcess {
    let mut settings = EntrySettings::loopback(
        name.parse().expect("the name is valid"),
        "buc-a".parse().expect("the name is valid"),
        "muntenia".parse().expect("the name is valid"),
        log.address(),
    );
    settings.entries = entries;
    EntryProcess::spawn(settings)
        .await
        .expect("the entry starts")
}

/// Returns an address at which nobody listens.
fn silent_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    listener.local_addr().expect("the listener is bound")
}

#[tokio::test]
async fn waits_until_every_daemon_reports_the_revision() {
    let log = TestLog::spawn().await;
    let first = spawn_entry("first", &log).await;
    let second = spawn_entry("second", &log).await;
    let folder = TestFolder::create(ONE);
    let ended = log
        .ctl(&[
            "apply",
            folder.path(),
            "--wait",
            "--timeout",
            "30s",
            "--entry",
            &first.peer_address().to_string(),
            "--entry",
            &second.peer_address().to_string(),
            "--json",
        ])
        .await;
    assert_eq!(ended.status, ExitStatus::Success, "{}", ended.errors);
    assert_eq!(json(&ended.report)["up_to_date"], 2);
    assert_eq!(first.revision().0, 1);
    assert_eq!(second.revision().0, 1);
}

#[tokio::test]
async fn names_the_daemons_that_lag() {
    let log = TestLog::spawn().await;
    let entry = spawn_entry("first", &log).await;
    let silent = silent_address().to_string();
    let folder = TestFolder::create(ONE);
    let ended = log
        .ctl(&[
            "apply",
            folder.path(),
            "--wait",
            "--timeout",
            "1s",
            "--entry",
            &entry.peer_address().to_string(),
            "--entry",
            &silent,
        ])
        .await;
    assert_eq!(ended.status, ExitStatus::Lagging, "{}", ended.errors);
    let expected = format!("lagging: {silent} (unreachable, revision none)");
    assert!(ended.report.contains(&expected), "{}", ended.report);
}

#[tokio::test]
async fn status_shows_daemons_and_those_that_are_silent() {
    let log = TestLog::spawn().await;
    let entry = spawn_entry("first", &log).await;
    let address = entry.peer_address().to_string();
    let silent = silent_address().to_string();
    let both = ["status", "--json", "--entry", &address, "--entry", &silent];
    let ended = ctl(&both).await;
    assert_eq!(ended.status, ExitStatus::Failure);
    let daemons = &json(&ended.report)["daemons"];
    assert_eq!(daemons.as_array().map(Vec::len), Some(2));
    assert!(
        ended.report.contains("\"process\":\"first\""),
        "{}",
        ended.report
    );
    assert!(ended.report.contains("unreachable"), "{}", ended.report);
}

#[tokio::test]
async fn explain_finds_nothing_about_an_unknown_request() {
    let log = TestLog::spawn().await;
    let entry = spawn_entry("first", &log).await;
    let address = entry.peer_address().to_string();
    let ended = ctl(&["explain", "unheard-of", "--entry", &address, "--json"]).await;
    assert_eq!(ended.status, ExitStatus::Failure);
    assert_eq!(json(&ended.report)["asked"], 1);
}

#[tokio::test]
async fn drain_stops_one_process() {
    let log = TestLog::spawn().await;
    let mut entry = spawn_entry("first", &log).await;
    let address = entry.peer_address().to_string();
    let unknown = ctl(&["drain", "second", "--entry", &address]).await;
    assert_eq!(unknown.status, ExitStatus::Failure);
    let ended = ctl(&["drain", "first", "--entry", &address]).await;
    assert_eq!(ended.status, ExitStatus::Success, "{}", ended.errors);
    tokio::time::timeout(PATIENCE, entry.drain_requested())
        .await
        .expect("the entry is asked to stop");
}

async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.expect(what);
}

#[tokio::test]
async fn a_running_entry_makes_up_for_a_log_that_forgot() {
    let log = TestLog::spawn_with(LogOptions {
        retention: Duration::from_secs(3),
        ..LogOptions::default()
    })
    .await;
    let first = spawn_entry("first", &log).await;
    log.apply(ONE).await;
    wait_until("the first entry follows", async || first.revision().0 == 1).await;
    let folder = TestFolder::create(ONE);
    let alone = ["diff", folder.path()];
    wait_until("the log forgets", async || {
        log.ctl(&alone).await.status == ExitStatus::Failure
    })
    .await;
    let address = first.peer_address();
    let second = spawn_entry_beside("second", &log, vec![address]).await;
    wait_until("the second entry starts", async || second.is_ready()).await;
    assert_eq!(second.revision(), first.revision());
    let with_entry = ["diff", folder.path(), "--entry", &address.to_string()];
    let ended = log.ctl(&with_entry).await;
    assert_eq!(ended.status, ExitStatus::Success, "{}", ended.errors);
}

#[tokio::test]
async fn an_entry_without_peers_is_not_ready_when_the_log_forgot() {
    let log = TestLog::spawn_with(LogOptions {
        retention: Duration::from_secs(1),
        ..LogOptions::default()
    })
    .await;
    log.apply(ONE).await;
    let folder = TestFolder::create(ONE);
    wait_until("the log forgets", async || {
        log.ctl(&["diff", folder.path()]).await.status == ExitStatus::Failure
    })
    .await;
    let entry = spawn_entry("alone", &log).await;
    let address = entry.peer_address().to_string();
    wait_until("the entry is asked", async || {
        let status = ctl(&["status", "--json", "--entry", &address]).await;
        status.report.contains("starting")
    })
    .await;
    assert!(!entry.is_ready());
}
