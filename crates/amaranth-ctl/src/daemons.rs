//! The daemons, discovered through the VM list and the entries, and their reported state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::ids::{ConfigRevision, DataCentreName, ProcessId};
use amaranth_core::membership::{AgentAnnouncement, ProcessIdentity};
use amaranth_ports::http_vm_list::HttpVmList;
use amaranth_ports::vm_list::{VmListPort, VmRecord, VmRole, VmState};
use amaranth_wire::agent::{self, AgentRpcClient, AgentStatus};
use amaranth_wire::entry::{self, EntryRpcClient, EntryStatus};
use serde::Serialize;
use strum::Display;
use tarpc::context::Context;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::error::CommandError;
use crate::settings::CtlSettings;

/// Timeout of connecting to a daemon, and of its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The role of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum DaemonRole {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

/// The state of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum DaemonState {
    /// The daemon accepts work.
    Ready,
    /// The daemon runs and is not ready yet.
    Starting,
    /// The daemon accepts no new work.
    #[strum(serialize = "leaving")]
    #[serde(rename = "leaving")]
    Draining,
    /// The daemon does not answer.
    Unreachable,
}

/// The identity, revision and state of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DaemonReport {
    /// The name of the daemon, unless it has never answered.
    pub process: Option<ProcessId>,
    /// The role of the daemon.
    pub role: DaemonRole,
    /// The address at which the daemon listens for peers.
    pub address: SocketAddr,
    /// The data centre of the daemon.
    pub data_centre: Option<DataCentreName>,
    /// The configuration revision in force at the daemon.
    pub revision: Option<ConfigRevision>,
    /// The state of the daemon.
    pub state: DaemonState,
    /// The number of requests in flight.
    pub in_flight: u32,
}

impl DaemonReport {
    /// Returns the name of the daemon, or its address if the name is unknown.
    pub fn name(&self) -> String {
        match &self.process {
            Some(process) => process.to_string(),
            None => self.address.to_string(),
        }
    }

    /// Returns whether `revision` is in force at the daemon, or need not be because the daemon is
    /// draining.
    pub fn has_reached(&self, revision: ConfigRevision) -> bool {
        self.state == DaemonState::Draining || self.revision >= Some(revision)
    }

    fn unreachable(address: SocketAddr, role: DaemonRole) -> Self {
        Self {
            process: None,
            role,
            address,
            data_centre: None,
            revision: None,
            state: DaemonState::Unreachable,
            in_flight: 0,
        }
    }

    fn from_identity(
        identity: &ProcessIdentity,
        role: DaemonRole,
        revision: ConfigRevision,
    ) -> Self {
        Self {
            process: Some(identity.process.clone()),
            role,
            address: identity.address,
            data_centre: Some(identity.data_centre.clone()),
            revision: Some(revision),
            state: DaemonState::Ready,
            in_flight: 0,
        }
    }

    fn from_entry(address: SocketAddr, status: &EntryStatus) -> Self {
        let state = match (status.draining, status.ready) {
            (true, _) => DaemonState::Draining,
            (false, true) => DaemonState::Ready,
            (false, false) => DaemonState::Starting,
        };
        Self {
            address,
            state,
            in_flight: status.in_flight,
            ..Self::from_identity(&status.identity, DaemonRole::Entry, status.revision)
        }
    }

    fn from_agent(address: SocketAddr, status: &AgentStatus) -> Self {
        let loads = status.endpoints.iter().map(|endpoint| endpoint.load);
        Self {
            address,
            state: agent_state(status.draining),
            in_flight: loads.map(|load| u32::from(load.in_flight)).sum(),
            ..Self::from_identity(&status.identity, DaemonRole::Agent, status.revision)
        }
    }

    fn from_announcement(announcement: &AgentAnnouncement) -> Self {
        let loads = announcement.endpoints.iter().map(|endpoint| endpoint.load);
        Self {
            state: agent_state(announcement.draining),
            in_flight: loads.map(|load| u32::from(load.in_flight)).sum(),
            ..Self::from_identity(
                &announcement.identity,
                DaemonRole::Agent,
                announcement.revision,
            )
        }
    }
}

const fn agent_state(draining: bool) -> DaemonState {
    if draining {
        DaemonState::Draining
    } else {
        DaemonState::Ready
    }
}

/// The recent decisions of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DaemonDecisions {
    /// The name of the daemon.
    pub process: ProcessId,
    /// The decisions, oldest first.
    pub decisions: Vec<String>,
}

/// A directory that discovers daemons through the VM list and the entries.
pub struct DaemonDirectory {
    entries: Vec<SocketAddr>,
    vm_list: Option<HttpVmList>,
}

impl DaemonDirectory {
    /// Creates a directory with the VM list and the entries in `settings`.
    ///
    /// # Errors
    ///
    /// Returns an error when the settings name neither a VM list nor an entry.
    pub fn new(settings: &CtlSettings) -> Result<Self, CommandError> {
        if settings.entries.is_empty() && settings.vm_list_address.is_none() {
            return Err(CommandError::usage(
                "no daemon can be found; give --vm-list or --entry",
            ));
        }
        Ok(Self {
            entries: settings.entries.clone(),
            vm_list: settings.vm_list_address.map(HttpVmList::new),
        })
    }

    /// Returns a report on every known daemon, in the order of role and name.
    ///
    /// The reports on agents come from their announcements to the entries; only agents without an
    /// announcement are queried directly.
    ///
    /// # Errors
    ///
    /// Returns an error when the VM list can't be read.
    pub async fn collect_reports(&self) -> Result<Vec<DaemonReport>, CommandError> {
        let listed = self.read_vm_list().await?;
        let mut reports: BTreeMap<SocketAddr, DaemonReport> = BTreeMap::new();
        for (address, status) in query_all(self.entry_addresses(&listed), query_entry).await {
            let Some(status) = status else {
                reports.insert(
                    address,
                    DaemonReport::unreachable(address, DaemonRole::Entry),
                );
                continue;
            };
            reports.insert(address, DaemonReport::from_entry(address, &status));
            for announcement in &status.agents {
                insert_agent(&mut reports, DaemonReport::from_announcement(announcement));
            }
        }
        let unannounced: Vec<_> = listed
            .iter()
            .filter(|record| record.role == VmRole::Endpoint)
            .map(|record| record.address)
            .filter(|address| !reports.contains_key(address))
            .collect();
        for (address, status) in query_all(unannounced, query_agent).await {
            let report = match status {
                Some(status) => DaemonReport::from_agent(address, &status),
                None => DaemonReport::unreachable(address, DaemonRole::Agent),
            };
            reports.insert(address, report);
        }
        mark_draining(&mut reports, &listed);
        let mut daemons: Vec<_> = reports.into_values().collect();
        daemons.sort_by_cached_key(|daemon| (daemon.role, daemon.name()));
        Ok(daemons)
    }

    /// Returns the recent decisions of every daemon that answers.
    ///
    /// # Errors
    ///
    /// Returns an error when the VM list can't be read.
    pub async fn collect_decisions(&self) -> Result<Vec<DaemonDecisions>, CommandError> {
        let daemons = self.collect_reports().await?;
        let addresses = |role: DaemonRole| {
            let of_role = daemons.iter().filter(move |daemon| daemon.role == role);
            of_role.map(|daemon| daemon.address).collect::<Vec<_>>()
        };
        let entries = query_all(addresses(DaemonRole::Entry), query_entry).await;
        let agents = query_all(addresses(DaemonRole::Agent), query_agent).await;
        let entries = entries.into_iter().filter_map(|(_, status)| status);
        let agents = agents.into_iter().filter_map(|(_, status)| status);
        let mut collected: Vec<_> = entries
            .map(|status| (status.identity.process, status.decisions))
            .chain(agents.map(|status| (status.identity.process, status.decisions)))
            .map(|(process, decisions)| DaemonDecisions { process, decisions })
            .collect();
        collected.sort_by(|left, right| left.process.cmp(&right.process));
        Ok(collected)
    }

    async fn read_vm_list(&self) -> Result<Vec<VmRecord>, CommandError> {
        match &self.vm_list {
            Some(list) => list
                .list()
                .await
                .map_err(|error| CommandError::platform("reading the VM list", &error)),
            None => Ok(Vec::new()),
        }
    }

    fn entry_addresses(&self, listed: &[VmRecord]) -> Vec<SocketAddr> {
        let of_list = listed
            .iter()
            .filter(|record| record.role == VmRole::Entry)
            .map(|record| record.address);
        let mut addresses: Vec<_> = self.entries.iter().copied().chain(of_list).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}

/// Inserts the report on an agent.
///
/// If entries report different revisions, the lowest one is kept, so that no agent counts as up to
/// date too early.
fn insert_agent(reports: &mut BTreeMap<SocketAddr, DaemonReport>, report: DaemonReport) {
    let is_newer = reports
        .get(&report.address)
        .is_some_and(|earlier| earlier.revision < report.revision);
    if !is_newer {
        reports.insert(report.address, report);
    }
}

/// Marks the daemons on draining VMs, since a VM that will be stopped need not answer.
fn mark_draining(reports: &mut BTreeMap<SocketAddr, DaemonReport>, listed: &[VmRecord]) {
    for record in listed {
        if let Some(daemon) = reports.get_mut(&record.address)
            && record.state == VmState::Draining
        {
            daemon.state = DaemonState::Draining;
        }
    }
}

/// Queries all addresses concurrently and returns their answers, or `None` for those without one.
async fn query_all<Status, Query>(
    addresses: Vec<SocketAddr>,
    query: impl Fn(SocketAddr) -> Query,
) -> Vec<(SocketAddr, Option<Status>)>
where
    Status: Send + 'static,
    Query: Future<Output = Option<Status>> + Send + 'static,
{
    let mut queries = JoinSet::new();
    for address in addresses {
        let answer = query(address);
        queries.spawn(async move { (address, answer.await) });
    }
    queries.join_all().await
}

async fn query_entry(address: SocketAddr) -> Option<EntryStatus> {
    let client = connect_entry(address).await?;
    let answer = client.status(Context::current());
    timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()
}

async fn query_agent(address: SocketAddr) -> Option<AgentStatus> {
    let client = connect_agent(address).await?;
    let answer = client.status(Context::current());
    timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()
}

async fn connect_entry(address: SocketAddr) -> Option<EntryRpcClient> {
    entry::connect(address, ANSWER_TIMEOUT).await.ok()
}

async fn connect_agent(address: SocketAddr) -> Option<AgentRpcClient> {
    agent::connect(address, ANSWER_TIMEOUT).await.ok()
}

/// Requests that `daemon` stop admission.
///
/// # Errors
///
/// Returns the text of the daemon's refusal, or that the daemon does not answer.
pub async fn drain_daemon(daemon: &DaemonReport) -> Result<(), String> {
    let unanswered = || "the daemon does not answer".to_owned();
    let context = Context::current();
    let answer = match daemon.role {
        DaemonRole::Entry => {
            let client = connect_entry(daemon.address).await.ok_or_else(unanswered)?;
            timeout(ANSWER_TIMEOUT, client.drain(context)).await
        }
        DaemonRole::Agent => {
            let client = connect_agent(daemon.address).await.ok_or_else(unanswered)?;
            timeout(ANSWER_TIMEOUT, client.drain(context)).await
        }
    };
    let reply = answer
        .map_err(|_| unanswered())?
        .map_err(|error| error.to_string())?;
    reply.map_err(|error| error.to_string())
}
