//! Group membership: which processes of a scope are alive, from their own announcements.
//!
//! Only announcements show that a process is alive. The VM list may lag or be wrong: it adds
//! addresses to try and confirms a suspicion, but alone it removes no process.

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

/// An event that a directory handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent<Payload> {
    /// A process announced itself.
    Announced(Heartbeat<Payload>),
    /// The platform's list of VMs was read.
    Listed(Vec<ListedVm>),
    /// Time passed.
    Tick,
}

/// A change of one process in a directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// The process announced itself for the first time.
    Joined(ProcessId),
    /// The process sent a newer announcement.
    Updated(ProcessId),
    /// Another incarnation of the process replaced the former one.
    Replaced(ProcessId),
    /// The process is draining and accepts no new work.
    Draining(ProcessId),
    /// The process has been silent for too long.
    Suspected(ProcessId),
    /// The process was suspected or removed, and announced itself again.
    Restored(ProcessId),
    /// The process is considered to have stopped.
    Removed(ProcessId),
}

/// The changes that one event causes.
pub type MemberChanges = SmallVec<[MemberChange; 2]>;

/// Scope and retention times of a [`MemberDirectory`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryOptions {
    /// The data centre whose processes the directory contains, or `None` for all data centres.
    pub data_centre: Option<DataCentreName>,
    /// Time after which a suspected process is removed.
    pub suspicion_timeout: Duration,
    /// Time for which the record of a removed process is kept, so that a late announcement does
    /// not restore the process.
    pub removed_retention: Duration,
}

impl DirectoryOptions {
    /// Returns options for the processes of all data centres.
    pub const fn unscoped() -> Self {
        Self {
            data_centre: None,
            suspicion_timeout: Duration::from_secs(10),
            removed_retention: Duration::from_secs(60),
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

/// Tracks the processes of a scope and their states.
#[derive(Debug, Clone)]
pub struct MemberDirectory<Payload, Detector> {
    options: DirectoryOptions,
    /// A detector without heartbeats, cloned for each process.
    detector: Detector,
    members: BTreeMap<ProcessId, MemberRecord<Payload, Detector>>,
    /// The VMs of the platform's list when it was last read.
    listed: Vec<ListedVm>,
}

impl<Payload, Detector: FailureDetector + Clone> MemberDirectory<Payload, Detector> {
    /// Creates an empty directory. `detector` must not have recorded a heartbeat.
    pub const fn new(options: DirectoryOptions, detector: Detector) -> Self {
        Self {
            options,
            detector,
            members: BTreeMap::new(),
            listed: Vec::new(),
        }
    }

    /// Handles one event and returns the changes that it caused.
    pub fn handle(&mut self, now: Timestamp, event: MemberEvent<Payload>) -> MemberChanges {
        match event {
            MemberEvent::Announced(heartbeat) => self.apply(now, heartbeat),
            MemberEvent::Listed(vms) => {
                self.listed = vms;
                self.check_silence(now)
            }
            MemberEvent::Tick => self.check_silence(now),
        }
    }

    /// Returns a process that is known and not removed.
    pub fn get(&self, process: &ProcessId) -> Option<&MemberRecord<Payload, Detector>> {
        self.members
            .get(process)
            .filter(|member| member.state() != MemberState::Removed)
    }

    /// Returns the processes that accept new work, ordered by name.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord<Payload, Detector>> {
        self.members
            .values()
            .filter(|member| member.state() == MemberState::Live)
    }

    /// Returns all processes that are not removed, ordered by name.
    pub fn known(&self) -> impl Iterator<Item = &MemberRecord<Payload, Detector>> {
        self.members
            .values()
            .filter(|member| member.state() != MemberState::Removed)
    }

    /// Returns the listed addresses to try because no live process is known there.
    pub fn addresses_to_try(&self) -> Vec<SocketAddr> {
        let live: BTreeSet<_> = self
            .live()
            .map(|member| member.identity().address)
            .collect();
        self.listed
            .iter()
            .filter(|vm| !vm.draining && self.is_in_scope(&vm.data_centre))
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

    fn apply(&mut self, now: Timestamp, heartbeat: Heartbeat<Payload>) -> MemberChanges {
        if !self.is_in_scope(&heartbeat.identity.data_centre) {
            return MemberChanges::new();
        }
        let process = heartbeat.identity.process.clone();
        if let Some(member) = self.members.get_mut(&process) {
            return member.apply(now, heartbeat, &self.detector);
        }
        let draining = heartbeat.draining;
        let member = MemberRecord::new(now, heartbeat, &self.detector);
        self.members.insert(process.clone(), member);
        let mut changes = MemberChanges::from_iter([MemberChange::Joined(process.clone())]);
        changes.extend(draining.then_some(MemberChange::Draining(process)));
        changes
    }

    /// Checks every process for a silence that lasted too long, and drops expired records.
    fn check_silence(&mut self, now: Timestamp) -> MemberChanges {
        let options = &self.options;
        let listed = &self.listed;
        let changes = self
            .members
            .values_mut()
            .filter_map(|member| {
                let address = member.identity().address;
                let confirmed = !listed.is_empty() && !is_listed_live(listed, address);
                member.check_silence(now, confirmed, options)
            })
            .collect();
        self.members
            .retain(|_, member| !member.is_expired(now, options));
        changes
    }
}

/// Returns whether the list contains a VM at `address` that is not draining.
fn is_listed_live(listed: &[ListedVm], address: SocketAddr) -> bool {
    listed
        .iter()
        .any(|vm| vm.address == address && !vm.draining)
}
