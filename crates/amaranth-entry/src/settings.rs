//! The settings of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_config::snapshot_schedule::SnapshotScheduleOptions;
use amaranth_core::ids::{DataCentreName, ProcessId, RegionName};
use amaranth_telemetry::settings::{CheckedSettings, SettingFault};
use log::LevelFilter;
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// The settings of an entry process.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The name of the process, which stays the same across restarts.
    pub process: ProcessId,
    /// The data centre in which the entry runs.
    pub data_centre: DataCentreName,
    /// The region of the data centre.
    pub region: RegionName,
    /// The address at which callers are served over HTTP.
    pub http_address: SocketAddr,
    /// The address at which agents and other entries are served over tarpc.
    pub peer_address: SocketAddr,
    /// The address at which `/metrics`, `/healthz` and `/readyz` are served.
    pub admin_address: SocketAddr,
    /// The address of the platform's log.
    pub log_address: SocketAddr,
    /// The address of the platform's list of VMs, if there is one.
    #[serde(default)]
    pub vm_list_address: Option<SocketAddr>,
    /// The addresses of the tarpc services of the other entries.
    #[serde(default)]
    pub entries: Vec<SocketAddr>,
    /// Number of threads that serve callers; zero means one per core.
    #[serde(default)]
    pub traffic_threads: usize,
    /// Maximum number of requests in flight; further requests are refused.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
    /// The lowest level of events that are logged.
    #[serde(default = "default_log_level")]
    #[serde_as(as = "DisplayFromStr")]
    pub log_level: LevelFilter,
    /// The OTLP collector to which spans are exported. Without one, spans are logged.
    #[serde(default)]
    pub collector: Option<String>,
    /// Timeouts of calls and announcements between this entry, agents and other entries.
    #[serde(default)]
    pub peers: PeerTimes,
    /// Settings for claims of non-idempotent calls.
    #[serde(default)]
    pub claims: ClaimSettings,
    /// Maximum age of the configuration's last snapshot in the log before one of the entries
    /// writes the next one. At most a third of the log's retention time.
    #[serde(default = "default_snapshot_interval", with = "humantime_serde")]
    pub snapshot_interval: Duration,
}

/// Timeouts of calls and announcements between this entry, agents and other entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerTimes {
    /// Maximum time to establish a connection.
    #[serde(with = "humantime_serde")]
    pub connect_timeout: Duration,
    /// Maximum time between two replies to an open read.
    #[serde(with = "humantime_serde")]
    pub heartbeat: Duration,
    /// Maximum delay of a reply past its heartbeat before the connection is abandoned.
    #[serde(with = "humantime_serde")]
    pub silence: Duration,
    /// Age of the last announcement at which its agent is suspected to have failed.
    #[serde(with = "humantime_serde")]
    pub announcement_timeout: Duration,
}

impl Default for PeerTimes {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            heartbeat: Duration::from_millis(500),
            silence: Duration::from_millis(500),
            announcement_timeout: Duration::from_millis(3_500),
        }
    }
}

/// Settings for claims of non-idempotent calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Whether idempotency keys without a date (any but UUIDv7) are refused.
    pub require_dated_keys: bool,
    /// Minimum time between two appends to the log's claims stream.
    #[serde(with = "humantime_serde")]
    pub append_interval: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            require_dated_keys: false,
            append_interval: Duration::from_millis(5),
        }
    }
}

const fn default_max_in_flight() -> u32 {
    10_000
}

fn default_snapshot_interval() -> Duration {
    SnapshotScheduleOptions::default().interval
}

const fn default_log_level() -> LevelFilter {
    LevelFilter::Info
}

impl EntrySettings {
    /// Returns settings that bind every address to a free loopback port.
    pub fn loopback(
        process: ProcessId,
        data_centre: DataCentreName,
        region: RegionName,
        log_address: SocketAddr,
    ) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            process,
            data_centre,
            region,
            http_address: any_port,
            peer_address: any_port,
            admin_address: any_port,
            log_address,
            vm_list_address: None,
            entries: Vec::new(),
            traffic_threads: 2,
            max_in_flight: default_max_in_flight(),
            log_level: default_log_level(),
            collector: None,
            peers: PeerTimes::default(),
            claims: ClaimSettings::default(),
            snapshot_interval: default_snapshot_interval(),
        }
    }
}

impl CheckedSettings for EntrySettings {
    fn faults(&self) -> Vec<SettingFault> {
        let mut faults = Vec::new();
        let times = [
            ("peers.connect_timeout", self.peers.connect_timeout),
            ("peers.heartbeat", self.peers.heartbeat),
            ("peers.silence", self.peers.silence),
            (
                "peers.announcement_timeout",
                self.peers.announcement_timeout,
            ),
        ];
        for (key, time) in times {
            if time.is_zero() {
                faults.push(SettingFault::new(key, "0s", "a time above zero"));
            }
        }
        if self.snapshot_interval.is_zero() {
            faults.push(SettingFault::new(
                "snapshot_interval",
                "0s",
                "a time above zero",
            ));
        }
        if self.max_in_flight == 0 {
            faults.push(SettingFault::new(
                "max_in_flight",
                0,
                "a whole number above zero",
            ));
        }
        faults
    }
}
