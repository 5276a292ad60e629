//! The running processes: found by the VM list and by entries, and asked for their state.

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

/// Time that a daemon has to accept a connection and to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// What a daemon is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum DaemonRole {
    /// An entry.
    Entry,
    /// An agent.
    Agent,
}

/// How a daemon stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum DaemonState {
    /// It takes work.
    Ready,
    /// It runs and has not caught up.
    Starting,
    /// It takes no new work.
    Leaving,
    /// It does not answer.
    Unreachable,
}

/// One daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DaemonReport {
    /// Its name, unless it never told.
    pub process: Option<ProcessId>,
    /// What it is.
    pub role: DaemonRole,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Option<DataCentreName>,
    /// The revision in force at it.
    pub revision: Option<ConfigRevision>,
    /// How it stands.
    pub state: DaemonState,
    /// Requests in flight.
    pub in_flight: u32,
}

impl DaemonReport {
    /// Returns the name, or the address of a daemon that never told its name.
    pub fn name(&self) -> String {
        match &self.process {
            Some(process) => process.to_string(),
            None => self.address.to_string(),
        }
    }

    /// Returns whether a change of `revision` is in force at the daemon, or need not be.
    pub fn is_up_to(&self, revision: ConfigRevision) -> bool {
        self.state == DaemonState::Leaving || self.revision >= Some(revision)
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

    fn told(identity: &ProcessIdentity, role: DaemonRole, revision: ConfigRevision) -> Self {
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

    fn of_entry(address: SocketAddr, status: &EntryStatus) -> Self {
        let state = match (status.leaving, status.ready) {
            (true, _) => DaemonState::Leaving,
            (false, true) => DaemonState::Ready,
            (false, false) => DaemonState::Starting,
        };
        Self {
            address,
            state,
            in_flight: status.in_flight,
            ..Self::told(&status.identity, DaemonRole::Entry, status.revision)
        }
    }

    fn of_agent(address: SocketAddr, status: &AgentStatus) -> Self {
        let loads = status.endpoints.iter().map(|endpoint| endpoint.load);
        Self {
            address,
            state: agent_state(status.leaving),
            in_flight: loads.map(|load| u32::from(load.in_flight)).sum(),
            ..Self::told(&status.identity, DaemonRole::Agent, status.revision)
        }
    }

    fn of_announcement(announcement: &AgentAnnouncement) -> Self {
        let loads = announcement.endpoints.iter().map(|endpoint| endpoint.load);
        Self {
            state: agent_state(announcement.draining),
            in_flight: loads.map(|load| u32::from(load.in_flight)).sum(),
            ..Self::told(
                &announcement.identity,
                DaemonRole::Agent,
                announcement.revision,
            )
        }
    }
}

const fn agent_state(leaving: bool) -> DaemonState {
    if leaving {
        DaemonState::Leaving
    } else {
        DaemonState::Ready
    }
}

/// Decisions that one daemon remembers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DaemonDecisions {
    /// The daemon.
    pub process: ProcessId,
    /// The decisions, newest last.
    pub decisions: Vec<String>,
}

/// The ways to find daemons.
pub struct DaemonFleet {
    entries: Vec<SocketAddr>,
    vm_list: Option<HttpVmList>,
}

impl DaemonFleet {
    /// Opens a fleet that is found as `settings` say.
    ///
    /// # Errors
    ///
    /// Returns an error when the settings name neither a VM list nor an entry.
    pub fn open(settings: &CtlSettings) -> Result<Self, CommandError> {
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

    /// Returns every daemon that is known, in the order of role and name.
    ///
    /// Agents are known by what they announced to the entries; only those that no entry knows
    /// are asked themselves.
    ///
    /// # Errors
    ///
    /// Returns an error when the VM list can't be read.
    pub async fn survey(&self) -> Result<Vec<DaemonReport>, CommandError> {
        let listed = self.listed().await?;
        let mut known: BTreeMap<SocketAddr, DaemonReport> = BTreeMap::new();
        for (address, status) in ask_all(self.entry_addresses(&listed), ask_entry).await {
            let Some(status) = status else {
                known.insert(
                    address,
                    DaemonReport::unreachable(address, DaemonRole::Entry),
                );
                continue;
            };
            known.insert(address, DaemonReport::of_entry(address, &status));
            for announcement in &status.agents {
                note_agent(&mut known, DaemonReport::of_announcement(announcement));
            }
        }
        let silent: Vec<_> = listed
            .iter()
            .filter(|record| record.role == VmRole::Endpoint)
            .map(|record| record.address)
            .filter(|address| !known.contains_key(address))
            .collect();
        for (address, status) in ask_all(silent, ask_agent).await {
            let report = match status {
                Some(status) => DaemonReport::of_agent(address, &status),
                None => DaemonReport::unreachable(address, DaemonRole::Agent),
            };
            known.insert(address, report);
        }
        note_leaving(&mut known, &listed);
        let mut daemons: Vec<_> = known.into_values().collect();
        daemons.sort_by_cached_key(|daemon| (daemon.role, daemon.name()));
        Ok(daemons)
    }

    /// Returns the recent decisions of every daemon that answers.
    ///
    /// # Errors
    ///
    /// Returns an error when the VM list can't be read.
    pub async fn decisions(&self) -> Result<Vec<DaemonDecisions>, CommandError> {
        let daemons = self.survey().await?;
        let addresses = |role: DaemonRole| {
            let of_role = daemons.iter().filter(move |daemon| daemon.role == role);
            of_role.map(|daemon| daemon.address).collect::<Vec<_>>()
        };
        let entries = ask_all(addresses(DaemonRole::Entry), ask_entry).await;
        let agents = ask_all(addresses(DaemonRole::Agent), ask_agent).await;
        let entries = entries.into_iter().filter_map(|(_, status)| status);
        let agents = agents.into_iter().filter_map(|(_, status)| status);
        let mut told: Vec<_> = entries
            .map(|status| (status.identity.process, status.decisions))
            .chain(agents.map(|status| (status.identity.process, status.decisions)))
            .map(|(process, decisions)| DaemonDecisions { process, decisions })
            .collect();
        told.sort_by(|left, right| left.process.cmp(&right.process));
        Ok(told)
    }

    async fn listed(&self) -> Result<Vec<VmRecord>, CommandError> {
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

/// Keeps the lower revision when entries differ, so that none counts as up to date too early.
fn note_agent(known: &mut BTreeMap<SocketAddr, DaemonReport>, report: DaemonReport) {
    let newer = known
        .get(&report.address)
        .is_some_and(|earlier| earlier.revision < report.revision);
    if !newer {
        known.insert(report.address, report);
    }
}

/// A VM that the platform stops need not answer.
fn note_leaving(known: &mut BTreeMap<SocketAddr, DaemonReport>, listed: &[VmRecord]) {
    for record in listed {
        if let Some(daemon) = known.get_mut(&record.address)
            && record.state == VmState::Draining
        {
            daemon.state = DaemonState::Leaving;
        }
    }
}

/// Asks every address at once, and returns the answers of those that give one.
async fn ask_all<Status, Asking>(
    addresses: Vec<SocketAddr>,
    ask: impl Fn(SocketAddr) -> Asking,
) -> Vec<(SocketAddr, Option<Status>)>
where
    Status: Send + 'static,
    Asking: Future<Output = Option<Status>> + Send + 'static,
{
    let mut asking = JoinSet::new();
    for address in addresses {
        let answer = ask(address);
        asking.spawn(async move { (address, answer.await) });
    }
    asking.join_all().await
}

async fn ask_entry(address: SocketAddr) -> Option<EntryStatus> {
    let client = connect_entry(address).await?;
    let answer = client.status(Context::current());
    timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()
}

async fn ask_agent(address: SocketAddr) -> Option<AgentStatus> {
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

/// Asks `daemon` to stop admission, and returns why it did not.
///
/// # Errors
///
/// Returns the refusal, or that the daemon does not answer.
pub async fn drain_daemon(daemon: &DaemonReport) -> Result<(), String> {
    let silent = || "it does not answer".to_owned();
    let context = Context::current();
    let answer = match daemon.role {
        DaemonRole::Entry => {
            let client = connect_entry(daemon.address).await.ok_or_else(silent)?;
            timeout(ANSWER_TIMEOUT, client.drain(context)).await
        }
        DaemonRole::Agent => {
            let client = connect_agent(daemon.address).await.ok_or_else(silent)?;
            timeout(ANSWER_TIMEOUT, client.drain(context)).await
        }
    };
    let refused = answer
        .map_err(|_| silent())?
        .map_err(|error| error.to_string())?;
    refused.map_err(|error| error.to_string())
}
