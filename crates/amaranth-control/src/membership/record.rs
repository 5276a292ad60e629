//! One process as a directory knows it.

use amaranth_core::ids::{Incarnation, ProcessId};
use amaranth_core::membership::ProcessIdentity;
use amaranth_core::time::Timestamp;
use smallvec::SmallVec;

use super::{DirectoryOptions, Heartbeat, MemberChange, MemberChanges};
use crate::detector::FailureDetector;

/// Former lives of one process that are remembered.
const FORMER_LIVES: usize = 4;

/// How far a process is from taking work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It takes new work.
    Live,
    /// It ends what it has and takes no new work.
    Leaving,
    /// It has been silent for too long.
    Suspected,
    /// It is taken for dead.
    Gone,
}

/// What is known of one life of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LifeRecord {
    incarnation: Incarnation,
    /// The newest announcement.
    sequence: u64,
    /// Whether any announcement said that it leaves. Leaving is final, so order does not matter.
    leaving: bool,
}

/// How long a process has been silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silence {
    None,
    Suspected { since: Timestamp },
    Gone { since: Timestamp },
}

/// One process.
#[derive(Debug, Clone)]
pub struct MemberRecord<Payload, Detector> {
    identity: ProcessIdentity,
    payload: Payload,
    life: LifeRecord,
    former: SmallVec<[LifeRecord; FORMER_LIVES]>,
    silence: Silence,
    detector: Detector,
}

impl<Payload, Detector: FailureDetector + Clone> MemberRecord<Payload, Detector> {
    /// Opens a record with a first announcement.
    pub(super) fn open(now: Timestamp, heartbeat: Heartbeat<Payload>, detector: &Detector) -> Self {
        let life = LifeRecord {
            incarnation: heartbeat.identity.incarnation,
            sequence: heartbeat.sequence,
            leaving: heartbeat.leaving,
        };
        let mut detector = detector.clone();
        detector.heard(now, heartbeat.sequence);
        Self {
            identity: heartbeat.identity,
            payload: heartbeat.payload,
            life,
            former: SmallVec::new(),
            silence: Silence::None,
            detector,
        }
    }

    /// Returns who it is.
    pub const fn identity(&self) -> &ProcessIdentity {
        &self.identity
    }

    /// Returns the rest of its newest announcement.
    pub const fn payload(&self) -> &Payload {
        &self.payload
    }

    /// Returns the number of its newest announcement.
    pub const fn sequence(&self) -> u64 {
        self.life.sequence
    }

    /// Returns its state.
    pub const fn state(&self) -> MemberState {
        match self.silence {
            Silence::Gone { .. } => MemberState::Gone,
            Silence::Suspected { .. } => MemberState::Suspected,
            Silence::None if self.life.leaving => MemberState::Leaving,
            Silence::None => MemberState::Live,
        }
    }

    fn process(&self) -> ProcessId {
        self.identity.process.clone()
    }

    /// Takes an announcement of this process.
    pub(super) fn announce(
        &mut self,
        now: Timestamp,
        heartbeat: Heartbeat<Payload>,
        fresh: &Detector,
    ) -> MemberChanges {
        if heartbeat.identity.incarnation == self.life.incarnation {
            self.take_same_life(now, heartbeat)
        } else {
            self.take_other_life(now, heartbeat, fresh)
        }
    }

    fn take_same_life(&mut self, now: Timestamp, heartbeat: Heartbeat<Payload>) -> MemberChanges {
        let mut changes = MemberChanges::new();
        if heartbeat.leaving && !self.life.leaving {
            self.life.leaving = true;
            changes.push(MemberChange::Leaving(self.process()));
        }
        if heartbeat.sequence <= self.life.sequence {
            return changes;
        }
        self.life.sequence = heartbeat.sequence;
        self.payload = heartbeat.payload;
        self.identity = heartbeat.identity;
        self.detector.heard(now, heartbeat.sequence);
        let restored = std::mem::replace(&mut self.silence, Silence::None) != Silence::None;
        changes.push(if restored {
            MemberChange::Restored(self.process())
        } else {
            MemberChange::Updated(self.process())
        });
        changes
    }

    /// Lets the life that announces now take over from the present one.
    ///
    /// Incarnations have no order. A late announcement of a dead life is dropped if that life is
    /// known with a newer one; else it takes over until the living one announces again.
    fn take_other_life(
        &mut self,
        now: Timestamp,
        heartbeat: Heartbeat<Payload>,
        fresh: &Detector,
    ) -> MemberChanges {
        let incarnation = heartbeat.identity.incarnation;
        let position = self
            .former
            .iter()
            .position(|life| life.incarnation == incarnation);
        if let Some(life) = position.and_then(|index| self.former.get_mut(index)) {
            life.leaving |= heartbeat.leaving;
            if heartbeat.sequence <= life.sequence {
                return MemberChanges::new();
            }
        }
        let returned = position.map(|index| self.former.remove(index));
        let mut former = std::mem::take(&mut self.former);
        if former.len() >= FORMER_LIVES {
            former.remove(0);
        }
        former.push(self.life);
        *self = Self::open(now, heartbeat, fresh);
        self.former = former;
        self.life.leaving |= returned.is_some_and(|life| life.leaving);
        let mut changes = MemberChanges::from_iter([MemberChange::Replaced(self.process())]);
        if self.life.leaving {
            changes.push(MemberChange::Leaving(self.process()));
        }
        changes
    }

    /// Looks whether the process has been silent for too long, which the VM list may confirm.
    pub(super) fn review(
        &mut self,
        now: Timestamp,
        confirmed: bool,
        options: &DirectoryOptions,
    ) -> Option<MemberChange> {
        match self.silence {
            Silence::None if !self.detector.is_suspect(now) => None,
            Silence::None if self.life.leaving || confirmed => Some(self.give_up(now)),
            Silence::None => {
                self.silence = Silence::Suspected { since: now };
                Some(MemberChange::Suspected(self.process()))
            }
            Silence::Suspected { since }
                if confirmed || now.since(since) >= options.suspicion_time =>
            {
                Some(self.give_up(now))
            }
            Silence::Suspected { .. } | Silence::Gone { .. } => None,
        }
    }

    fn give_up(&mut self, now: Timestamp) -> MemberChange {
        self.silence = Silence::Gone { since: now };
        MemberChange::Gone(self.process())
    }

    /// Returns whether a dead process need not be remembered any longer.
    pub(super) fn is_forgotten(&self, now: Timestamp, options: &DirectoryOptions) -> bool {
        match self.silence {
            Silence::Gone { since } => now.since(since) >= options.memory_time,
            Silence::None | Silence::Suspected { .. } => false,
        }
    }
}
