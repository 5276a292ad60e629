//! `apply --wait`, `status`, `explain` and `drain` with running entries.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use amaranth_ctl::exit::ExitStatus;
use amaranth_entry::{EntryProcess, EntrySettings};
use amaranth_standin::log_standin::LogOptions;
use serde_json::Value;

use crate::support::{TestFolder, TestLog, ctl};

const ONE_MODEL: &str = "[models.m]\n";

/// Generous timeout of every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn json(text: &str) -> Value {
    serde_json::from_str(text).expect("the report is JSON")
}

async fn spawn_entry(name: &str, log: &TestLog) -> EntryProcess {
    spawn_entry_with_peers(name, log, Vec::new()).await
}

/// Spawns an entry with the addresses of other entries.
async fn spawn_entry_with_peers(name: &str, log: &TestLog, peers: Vec<SocketAddr>) -> EntryProcess {
    let mut settings = EntrySettings::loopback(
        name.parse().expect("the name is valid"),
        "buc-a".parse().expect("the name is valid"),
        "muntenia".parse().expect("the name is valid"),
        log.address(),
    );
    settings.entries = peers;
    EntryProcess::spawn(settings)
        .await
        .expect("the entry starts")
}

/// Returns an address without a listener.
fn unreachable_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    listener.local_addr().expect("the listener is bound")
}

#[tokio::test]
async fn apply_waits_until_every_daemon_reports_the_revision() {
    let log = TestLog::spawn().await;
    let first = spawn_entry("first", &log).await;
    let second = spawn_entry("second", &log).await;
    let folder = TestFolder::create(ONE_MODEL);
    let result = log
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
    assert_eq!(result.status, ExitStatus::Success, "{}", result.errors);
    assert_eq!(json(&result.report)["up_to_date"], 2);
    assert_eq!(first.revision().0, 1);
    assert_eq!(second.revision().0, 1);
}

#[tokio::test]
async fn apply_names_the_lagging_daemons() {
    let log = TestLog::spawn().await;
    let entry = spawn_entry("first", &log).await;
    let unreachable = unreachable_address().to_string();
    let folder = TestFolder::create(ONE_MODEL);
    let result = log
        .ctl(&[
            "apply",
            folder.path(),
            "--wait",
            "--timeout",
            "1s",
            "--entry",
            &entry.peer_address().to_string(),
            "--entry",
            &unreachable,
        ])
        .await;
    assert_eq!(result.status, ExitStatus::Lagging, "{}", result.errors);
    let expected = format!("lagging: {unreachable} (unreachable, revision none)");
    assert!(result.report.contains(&expected), "{}", result.report);
}

#[tokio::test]
async fn status_shows_reachable_and_unreachable_daemons() {
    let log = TestLog::spawn().await;
    let entry = spawn_entry("first", &log).await;
    let address = entry.peer_address().to_string();
    let unreachable = unreachable_address().to_string();
    let both = [
        "status",
        "--json",
        "--entry",
        &address,
        "--entry",
        &unreachable,
    ];
    let result = ctl(&both).await;
    assert_eq!(result.status, ExitStatus::Failure);
    let daemons = &json(&result.report)["daemons"];
    assert_eq!(daemons.as_array().map(Vec::len), Some(2));
    assert!(
        result.report.contains("\"process\":\"first\""),
        "{}",
        result.report
    );
    assert!(result.report.contains("unreachable"), "{}", result.report);
}

#[tokio::test]
async fn explain_finds_nothing_about_an_unknown_request() {
    let log = TestLog::spawn().await;
    let entry = spawn_entry("first", &log).await;
    let address = entry.peer_address().to_string();
    let result = ctl(&["explain", "unheard-of", "--entry", &address, "--json"]).await;
    assert_eq!(result.status, ExitStatus::Failure);
    assert_eq!(json(&result.report)["asked"], 1);
}

#[tokio::test]
async fn drain_stops_one_process() {
    let log = TestLog::spawn().await;
    let mut entry = spawn_entry("first", &log).await;
    let address = entry.peer_address().to_string();
    let unknown = ctl(&["drain", "second", "--entry", &address]).await;
    assert_eq!(unknown.status, ExitStatus::Failure);
    let result = ctl(&["drain", "first", "--entry", &address]).await;
    assert_eq!(result.status, ExitStatus::Success, "{}", result.errors);
    tokio::time::timeout(WAIT_TIMEOUT, entry.drain_requested())
        .await
        .expect("the entry is requested to drain");
}

async fn wait_until(invariant: &str, mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect(invariant);
}

#[tokio::test]
async fn a_running_entry_replaces_records_that_the_log_no_longer_retains() {
    let log = TestLog::spawn_with(LogOptions {
        retention: Duration::from_secs(3),
        ..LogOptions::default()
    })
    .await;
    let first = spawn_entry("first", &log).await;
    log.apply(ONE_MODEL).await;
    wait_until("the first entry applies the change", async || {
        first.revision().0 == 1
    })
    .await;
    let folder = TestFolder::create(ONE_MODEL);
    let without_entry = ["diff", folder.path()];
    wait_until("the log no longer retains the change", async || {
        log.ctl(&without_entry).await.status == ExitStatus::Failure
    })
    .await;
    let address = first.peer_address();
    let second = spawn_entry_with_peers("second", &log, vec![address]).await;
    wait_until("the second entry is ready", async || second.is_ready()).await;
    assert_eq!(second.revision(), first.revision());
    let with_entry = ["diff", folder.path(), "--entry", &address.to_string()];
    let result = log.ctl(&with_entry).await;
    assert_eq!(result.status, ExitStatus::Success, "{}", result.errors);
}

#[tokio::test]
async fn an_entry_without_peers_is_not_ready_if_the_log_lacks_records() {
    let log = TestLog::spawn_with(LogOptions {
        retention: Duration::from_secs(1),
        ..LogOptions::default()
    })
    .await;
    log.apply(ONE_MODEL).await;
    let folder = TestFolder::create(ONE_MODEL);
    wait_until("the log no longer retains the change", async || {
        log.ctl(&["diff", folder.path()]).await.status == ExitStatus::Failure
    })
    .await;
    let entry = spawn_entry("alone", &log).await;
    let address = entry.peer_address().to_string();
    wait_until("the entry reports that it starts", async || {
        let status = ctl(&["status", "--json", "--entry", &address]).await;
        status.report.contains("starting")
    })
    .await;
    assert!(!entry.is_ready());
}
