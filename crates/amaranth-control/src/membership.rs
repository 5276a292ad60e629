//! Which processes of a scope are alive, from their own announcements.
//!
//! Announcements are the only evidence of life. The VM list is a second opinion that lags or is
//! wrong: it adds addresses to try and confirms a suspicion, but alone it removes nobody.

mod heartbeat;
mod record;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::ids::{DataCentreName, ProcessId};
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use crate::detector::FailureDetector;

pub use heartbeat::{Heartbeat, ListedVm};
pub use record::{MemberRecord, MemberState};

/// What a directory is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent<Payload> {
    /// A process announced itself.
    Announced(Heartbeat<Payload>),
    /// The platform's list of VMs was read.
    Listed(Vec<ListedVm>),
    /// Time passed.
    Tick,
}

/// What changed for one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// It is alive and was not known.
    Joined(ProcessId),
    /// It announced something newer.
    Updated(ProcessId),
    /// Another life of it took over.
    Replaced(ProcessId),
    /// It takes no new work.
    Leaving(ProcessId),
    /// It has been silent for too long.
    Suspected(ProcessId),
    /// It was suspected or taken for dead, and is heard again.
    Restored(ProcessId),
    /// It is taken for dead.
    Gone(ProcessId),
}

/// The changes that one event causes.
pub type MemberChanges = SmallVec<[MemberChange; 2]>;

/// What a directory takes in and how long it remembers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryOptions {
    /// The data centre whose processes are taken in; all if none is named.
    pub data_centre: Option<DataCentreName>,
    /// How long a suspected process is kept before it is taken for dead.
    pub suspicion_time: Duration,
    /// How long a dead process is remembered, so that a late announcement does not revive it.
    pub memory_time: Duration,
}

impl DirectoryOptions {
    /// Returns options for the processes of all data centres that announce themselves.
    pub const fn unscoped() -> Self {
        Self {
            data_centre: None,
            suspicion_time: Duration::from_secs(10),
            memory_time: Duration::from_secs(60),
        }
    }

    /// Returns options for the processes of one data centre.
    pub fn of_data_centre(data_centre: DataCentreName) -> Self {
        Self {
            data_centre: Some(data_centre),
            ..Self::unscoped()
        }
    }
}

/// Knows the processes of a scope.
#[derive(Debug, Clone)]
pub struct MemberDirectory<Payload, Detector> {
    options: DirectoryOptions,
    /// Cloned for each process.
    detector: Detector,
    members: BTreeMap<ProcessId, MemberRecord<Payload, Detector>>,
    listed: Vec<ListedVm>,
}

impl<Payload, Detector: FailureDetector + Clone> MemberDirectory<Payload, Detector> {
    /// Opens a directory that knows nobody, with a detector that has heard nothing.
    pub const fn open(options: DirectoryOptions, detector: Detector) -> Self {
        Self {
            options,
            detector,
            members: BTreeMap::new(),
            listed: Vec::new(),
        }
    }

    /// Takes one event and returns what changed.
    pub fn handle(&mut self, now: Timestamp, event: MemberEvent<Payload>) -> MemberChanges {
        match event {
            MemberEvent::Announced(heartbeat) => self.announce(now, heartbeat),
            MemberEvent::Listed(vms) => {
                self.listed = vms;
                self.review(now)
            }
            MemberEvent::Tick => self.review(now),
        }
    }

    /// Returns a process that is known and not taken for dead.
    pub fn get(&self, process: &ProcessId) -> Option<&MemberRecord<Payload, Detector>> {
        self.members
            .get(process)
            .filter(|member| member.state() != MemberState::Gone)
    }

    /// Returns the processes that take new work, in the order of their names.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord<Payload, Detector>> {
        self.members
            .values()
            .filter(|member| member.state() == MemberState::Live)
    }

    /// Returns all processes that are not taken for dead, in the order of their names.
    pub fn known(&self) -> impl Iterator<Item = &MemberRecord<Payload, Detector>> {
        self.members
            .values()
            .filter(|member| member.state() != MemberState::Gone)
    }

    /// Returns listed addresses at which no live process is known, to be tried.
    pub fn addresses_to_try(&self) -> Vec<SocketAddr> {
        let live: BTreeSet<_> = self
            .live()
            .map(|member| member.identity().address)
            .collect();
        self.listed
            .iter()
            .filter(|vm| !vm.leaving && self.is_in_scope(&vm.data_centre))
            .map(|vm| vm.address)
            .filter(|address| !live.contains(address))
            .collect()
    }

    fn is_in_scope(&self, data_centre: &DataCentreName) -> bool {
        self.options
            .data_centre
            .as_ref()
            .is_none_or(|own| own == data_centre)
    }

    fn announce(&mut self, now: Timestamp, heartbeat: Heartbeat<Payload>) -> MemberChanges {
        if !self.is_in_scope(&heartbeat.identity.data_centre) {
            return MemberChanges::new();
        }
        let process = heartbeat.identity.process.clone();
        if let Some(member) = self.members.get_mut(&process) {
            return member.announce(now, heartbeat, &self.detector);
        }
        let leaving = heartbeat.leaving;
        let member = MemberRecord::open(now, heartbeat, &self.detector);
        self.members.insert(process.clone(), member);
        let mut changes = MemberChanges::from_iter([MemberChange::Joined(process.clone())]);
        changes.extend(leaving.then_some(MemberChange::Leaving(process)));
        changes
    }

    /// Looks for silences that lasted too long.
    fn review(&mut self, now: Timestamp) -> MemberChanges {
        let options = &self.options;
        let listed = &self.listed;
        let changes = self
            .members
            .values_mut()
            .filter_map(|member| {
                let address = member.identity().address;
                let confirmed = !listed.is_empty() && !is_listed_live(listed, address);
                member.review(now, confirmed, options)
            })
            .collect();
        self.members
            .retain(|_, member| !member.is_forgotten(now, options));
        changes
    }
}

/// Returns whether the list holds a VM at `address` that is not leaving.
fn is_listed_live(listed: &[ListedVm], address: SocketAddr) -> bool {
    listed.iter().any(|vm| vm.address == address && !vm.leaving)
}
