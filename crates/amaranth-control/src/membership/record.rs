//! One process in a member directory.

use amaranth_core::ids::{Incarnation, ProcessId};
use amaranth_core::membership::ProcessIdentity;
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use super::{DirectoryOptions, Heartbeat, MemberChange, MemberChanges};
use crate::detector::FailureDetector;

/// Number of former incarnations of one process that are kept.
const FORMER_INCARNATIONS: usize = 4;

/// The state of a process in a member directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The process accepts new work.
    Live,
    /// The process finishes its work and accepts no new work.
    Draining,
    /// The process has been silent for too long.
    Suspected,
    /// The process is considered to have stopped.
    Removed,
}

/// The state of one incarnation of a process, as its announcements state it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct IncarnationRecord {
    incarnation: Incarnation,
    /// Number of the newest announcement.
    sequence: u64,
    /// Whether any announcement said that the process is draining. Draining is final, so the order
    /// of announcements does not matter.
    draining: bool,
}

/// Whether a process has been silent for too long, and since when it was suspected or removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silence {
    None,
    Suspected { since: Timestamp },
    Removed { since: Timestamp },
}

/// A process with its newest announcement and its failure detector.
#[derive(Debug, Clone)]
pub struct MemberRecord<Payload, Detector> {
    identity: ProcessIdentity,
    payload: Payload,
    current: IncarnationRecord,
    former: SmallVec<[IncarnationRecord; FORMER_INCARNATIONS]>,
    silence: Silence,
    detector: Detector,
}

impl<Payload, Detector: FailureDetector + Clone> MemberRecord<Payload, Detector> {
    /// Creates the record of a process from its first announcement.
    pub(super) fn new(now: Timestamp, heartbeat: Heartbeat<Payload>, detector: &Detector) -> Self {
        let current = IncarnationRecord {
            incarnation: heartbeat.identity.incarnation,
            sequence: heartbeat.sequence,
            draining: heartbeat.draining,
        };
        let mut detector = detector.clone();
        detector.record_heartbeat(now, heartbeat.sequence);
        Self {
            identity: heartbeat.identity,
            payload: heartbeat.payload,
            current,
            former: SmallVec::new(),
            silence: Silence::None,
            detector,
        }
    }

    /// Returns the identity of the process.
    pub const fn identity(&self) -> &ProcessIdentity {
        &self.identity
    }

    /// Returns the payload of the newest announcement.
    pub const fn payload(&self) -> &Payload {
        &self.payload
    }

    /// Returns the number of the newest announcement.
    pub const fn sequence(&self) -> u64 {
        self.current.sequence
    }

    /// Returns the state of the process.
    pub const fn state(&self) -> MemberState {
        match self.silence {
            Silence::Removed { .. } => MemberState::Removed,
            Silence::Suspected { .. } => MemberState::Suspected,
            Silence::None if self.current.draining => MemberState::Draining,
            Silence::None => MemberState::Live,
        }
    }

    fn process(&self) -> ProcessId {
        self.identity.process.clone()
    }

    /// Applies an announcement of this process.
    pub(super) fn apply(
        &mut self,
        now: Timestamp,
        heartbeat: Heartbeat<Payload>,
        new_detector: &Detector,
    ) -> MemberChanges {
        if heartbeat.identity.incarnation == self.current.incarnation {
            self.apply_current(now, heartbeat)
        } else {
            self.apply_other(now, heartbeat, new_detector)
        }
    }

    /// Applies an announcement of the current incarnation.
    fn apply_current(&mut self, now: Timestamp, heartbeat: Heartbeat<Payload>) -> MemberChanges {
        let mut changes = MemberChanges::new();
        if heartbeat.draining && !self.current.draining {
            self.current.draining = true;
            changes.push(MemberChange::Draining(self.process()));
        }
        if heartbeat.sequence <= self.current.sequence {
            return changes;
        }
        self.current.sequence = heartbeat.sequence;
        self.payload = heartbeat.payload;
        self.identity = heartbeat.identity;
        self.detector.record_heartbeat(now, heartbeat.sequence);
        let restored = std::mem::replace(&mut self.silence, Silence::None) != Silence::None;
        changes.push(if restored {
            MemberChange::Restored(self.process())
        } else {
            MemberChange::Updated(self.process())
        });
        changes
    }

    /// Replaces the current incarnation by another one that announces itself.
    ///
    /// Incarnations have no order. A late announcement of a former incarnation is dropped if a
    /// newer announcement of that incarnation is known. Otherwise the former incarnation replaces
    /// the live one until the live one announces itself again.
    fn apply_other(
        &mut self,
        now: Timestamp,
        heartbeat: Heartbeat<Payload>,
        new_detector: &Detector,
    ) -> MemberChanges {
        let incarnation = heartbeat.identity.incarnation;
        let position = self
            .former
            .iter()
            .position(|record| record.incarnation == incarnation);
        if let Some(record) = position.and_then(|index| self.former.get_mut(index)) {
            record.draining |= heartbeat.draining;
            if heartbeat.sequence <= record.sequence {
                return MemberChanges::new();
            }
        }
        let returned = position.map(|index| self.former.remove(index));
        let mut former = std::mem::take(&mut self.former);
        if former.len() >= FORMER_INCARNATIONS {
            former.remove(0);
        }
        former.push(self.current);
        *self = Self::new(now, heartbeat, new_detector);
        self.former = former;
        self.current.draining |= returned.is_some_and(|record| record.draining);
        let mut changes = MemberChanges::from_iter([MemberChange::Replaced(self.process())]);
        if self.current.draining {
            changes.push(MemberChange::Draining(self.process()));
        }
        changes
    }

    /// Checks whether the process has been silent for too long. `confirmed` is whether the VM
    /// list confirms a suspicion.
    pub(super) fn check_silence(
        &mut self,
        now: Timestamp,
        confirmed: bool,
        options: &DirectoryOptions,
    ) -> Option<MemberChange> {
        match self.silence {
            Silence::None if !self.detector.is_suspect(now) => None,
            Silence::None if self.current.draining || confirmed => Some(self.remove(now)),
            Silence::None => {
                self.silence = Silence::Suspected { since: now };
                Some(MemberChange::Suspected(self.process()))
            }
            Silence::Suspected { since }
                if confirmed || now.since(since) >= options.suspicion_timeout =>
            {
                Some(self.remove(now))
            }
            Silence::Suspected { .. } | Silence::Removed { .. } => None,
        }
    }

    fn remove(&mut self, now: Timestamp) -> MemberChange {
        self.silence = Silence::Removed { since: now };
        MemberChange::Removed(self.process())
    }

    /// Returns whether the record of a removed process need not be kept any longer.
    pub(super) fn is_expired(&self, now: Timestamp, options: &DirectoryOptions) -> bool {
        match self.silence {
            Silence::Removed { since } => now.since(since) >= options.removed_retention,
            Silence::None | Silence::Suspected { .. } => false,
        }
    }
}
