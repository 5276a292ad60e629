//! The state on which the decisions of an entry are based.

use std::collections::{HashMap, HashSet};

use amaranth_core::time::{Timestamp, WallTime};
use amaranth_dispatch::answer_pace::PaceHistory;
use amaranth_dispatch::call_quarantine::CallQuarantine;
use amaranth_dispatch::endpoint_table::EndpointTable;
use amaranth_dispatch::fleet_size::FleetSize;
use amaranth_dispatch::load_limiter::{LoadLimiter, LoadTicket};
use amaranth_dispatch::retry_quota::{RetryLimits, RetryQuota};
use amaranth_dispatch::routes::CurrentConfig;
use amaranth_dispatch::software_history::SoftwareHistory;
use amaranth_dispatch::store_table::TableFreshness;
use amaranth_dispatch::version_table::VersionTable;
use tokio::sync::oneshot;

use crate::admission::Admissions;

/// The state on which the decisions of an entry are based.
#[derive(Debug)]
pub struct EntryState {
    /// The configuration in force.
    pub config: CurrentConfig,
    /// The newest versions of adapters.
    pub versions: VersionTable,
    /// The known endpoints and the reported state of their engines.
    pub endpoints: EndpointTable,
    /// The entry's share of the retry budget.
    pub retries: RetryQuota,
    /// The number of entries in the fleet.
    pub fleet_size: FleetSize,
    /// The time until which the entry's region counts as short of engines.
    pub region_short_until: Timestamp,
    /// The limiter of the loads from the weight store that the entry has in progress.
    pub load_limiter: LoadLimiter,
    /// The calls that wait for a place at an endpoint.
    pub admissions: Admissions,
    /// The calls that crash endpoints.
    pub quarantine: CallQuarantine,
    /// The software versions of each service.
    pub software: SoftwareHistory,
    /// The time that recent calls of each route took.
    pub paces: PaceHistory,
    /// How recent the known configuration is.
    pub config_freshness: TableFreshness,
    /// How recent the known endpoints are.
    pub registry_freshness: TableFreshness,
    pub(super) registry_known: bool,
    pub(super) permits: HashMap<LoadTicket, oneshot::Sender<()>>,
}

impl EntryState {
    /// Creates the state of an entry that knows no configuration and no endpoints.
    pub(super) fn new(retries: RetryLimits) -> Self {
        Self {
            config: CurrentConfig::default(),
            versions: VersionTable::default(),
            endpoints: EndpointTable::default(),
            retries: RetryQuota::new(retries),
            fleet_size: FleetSize::default(),
            region_short_until: Timestamp::ZERO,
            load_limiter: LoadLimiter::default(),
            admissions: Admissions::default(),
            quarantine: CallQuarantine::default(),
            software: SoftwareHistory::default(),
            paces: PaceHistory::default(),
            config_freshness: TableFreshness::default(),
            registry_freshness: TableFreshness::default(),
            registry_known: false,
            permits: HashMap::new(),
        }
    }

    /// Records the software versions that are listed at `now`. Returns whether the store does not
    /// remember some change yet.
    pub(super) fn record_software(&mut self, now: Timestamp) -> bool {
        let records = self.endpoints.iter().map(|endpoint| &endpoint.record);
        let listed = records.map(|record| (&record.service, &record.software));
        self.software.record(now, WallTime::now(), listed)
    }

    /// Forgets the paces of routes that are not configured any more.
    pub(super) fn retain_paces(&mut self) {
        let Some(table) = self.config.current() else {
            return;
        };
        let names: HashSet<&str> = table.routes().map(|route| route.name.as_str()).collect();
        self.paces.retain(|route| names.contains(route));
    }

    pub(super) fn grant_permits(&mut self) {
        while let Some(ticket) = self.load_limiter.try_start() {
            if let Some(permit) = self.permits.remove(&ticket) {
                // The receiver lives until its ticket is cancelled.
                let _ = permit.send(());
            }
        }
    }
}
