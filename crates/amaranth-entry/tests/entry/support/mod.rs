//! Shared support of the entry tests: an in-memory log, a fake agent and a caller.

pub mod caller;
pub mod fake_agent;
pub mod memory_log;

use std::time::Duration;

use amaranth_config::catalogue::Catalogue;
use amaranth_config::change::{ChangeOrigin, ConfigChange};
use amaranth_config::folder::{SourceDocument, merge};
use amaranth_entry::{EntryPorts, EntryProcess, EntrySettings};
use amaranth_ports::log::{LogPort, LogStream};
use amaranth_telemetry::metrics;
use std::sync::Arc;

use memory_log::MemoryLog;

/// The configuration of the tests, with model `tin`, adapter `depot@3` and service `desk`.
const FOLDER: &str = r#"
[models.tin]

[adapters.depot]
base = "tin"
versions = [3]

[services.desk]
path = "/services/desk"

[limits]
max-body = "64 KiB"
"#;

/// Parses an id that is known to be valid.
pub fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the id is well formed")
}

/// Returns settings with timeouts for tests on loopback.
pub fn settings(name: &str) -> EntrySettings {
    let unused_address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let mut settings =
        EntrySettings::loopback(id(name), id("obihiro-a"), id("doto"), unused_address);
    settings.peers.heartbeat = Duration::from_millis(100);
    settings.peers.silence = Duration::from_millis(400);
    settings.peers.announcement_timeout = Duration::from_secs(60);
    settings
}

/// Returns a log that holds the configuration at revision 1.
pub async fn configured_log() -> MemoryLog {
    let log = MemoryLog::default();
    let set = merge(&[SourceDocument::new("10-all.toml", FOLDER)]).expect("the folder is valid");
    let origin = ChangeOrigin {
        author: id("tester"),
        stated_at_ms: 0,
    };
    let change = ConfigChange::between(&Catalogue::default(), &set, origin);
    let record = change.into_record().expect("the change is small");
    log.append(LogStream::Configuration, record)
        .await
        .expect("the log accepts the change");
    log
}

/// Starts an entry on `log` and waits until it is ready.
pub async fn spawn_entry(settings: EntrySettings, log: &MemoryLog) -> EntryProcess {
    let ports = EntryPorts {
        log: Arc::new(log.clone()),
        metrics: metrics::detached(),
    };
    let entry = EntryProcess::spawn_with(settings, ports)
        .await
        .expect("the entry starts");
    while !entry.is_ready() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    entry
}
