//! The steps of a scenario, and the run that applies them.

use std::collections::VecDeque;

use amaranth_config::catalogue::{Catalogue, ConfigEdit};
use amaranth_config::change::{ChangeOrigin, ConfigChange};
use amaranth_config::entries::{
    AdapterEntry, ConfigEntry, ConfigKey, ModelEntry, RuleEntry, RuleTarget,
};
use amaranth_config::history::ConfigHistory;
use amaranth_config::snapshot::SnapshotId;
use amaranth_core::ids::AdapterVersion;
use amaranth_core::request::RequestPriority;
use bytes::Bytes;
use proptest::prelude::{Strategy, any, prop, prop_oneof};

use crate::oracle::{EntryStates, RevisionOracle};

/// Number of readers in one run.
const READERS: usize = 3;

/// Size of a snapshot part in bytes, so small that a few entries need several parts.
const PART_BYTES: usize = 24;

/// The number of records with each outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Changes that were accepted.
    pub accepted: u32,
    /// Changes that were refused because of a conflict with another change.
    pub conflicts: u32,
    /// Changes that were refused because the result would not be valid.
    pub invalid: u32,
    /// Duplicate appends of an accepted change.
    pub duplicates: u32,
    /// Snapshots that were restored from the log.
    pub restored: u32,
    /// Records that could not be evaluated because older ones were missing.
    pub undetermined: u32,
}

impl std::ops::AddAssign for OutcomeCounts {
    fn add_assign(&mut self, other: Self) {
        self.accepted += other.accepted;
        self.conflicts += other.conflicts;
        self.invalid += other.invalid;
        self.duplicates += other.duplicates;
        self.restored += other.restored;
        self.undetermined += other.undetermined;
    }
}

/// A reader of the log that a run drives.
pub trait LogReader {
    /// Creates a reader that has read nothing.
    fn new() -> Self;

    /// Reads the next record, if there is one. `records` are all records ever appended.
    fn read(&mut self, first_kept: u64, records: &[Bytes]);

    /// Returns the offset of the next record.
    fn next(&self) -> u64;

    /// Returns the entries that the reader serves, or `None` while its state is incomplete.
    fn served(&self) -> Option<EntryStates>;

    /// Returns the history on which operators and snapshot writers base their records.
    fn history(&self) -> Option<&ConfigHistory>;

    /// Restores the state of a peer.
    fn restore_from(&mut self, peer: &Self);

    /// Returns the outcomes of the records read so far.
    fn outcomes(&self) -> OutcomeCounts {
        OutcomeCounts::default()
    }
}

/// One edit that an operator proposes.
#[derive(Debug, Clone)]
pub enum ProposedEdit {
    /// Puts an adapter with all versions up to the given one.
    PutAdapter(u8, u64),
    /// Removes an adapter.
    RemoveAdapter(u8),
    /// Puts a rule whose target is a version of an adapter.
    PutRule(u8, u8, u64),
    /// Puts a rule whose target is the model of another rule.
    PutChainedRule(u8, u8),
    /// Removes a rule.
    RemoveRule(u8),
}

/// One step of a scenario.
#[derive(Debug, Clone)]
pub enum Step {
    /// A reader reads the given number of records.
    Read(usize, usize),
    /// An operator appends a change, based on the state of a reader, the given number of times.
    Propose(usize, Vec<ProposedEdit>, usize),
    /// An earlier record is appended again.
    Repeat(prop::sample::Index),
    /// A reader starts to write a snapshot.
    BeginSnapshot(usize),
    /// The oldest or the newest unfinished snapshot is continued by the given number of parts.
    AppendParts(bool, usize),
    /// The log drops the records that a complete snapshot covers.
    ExpireCovered,
    /// The log drops some records, whether a snapshot covers them or not.
    Expire(prop::sample::Index),
    /// A reader restarts without any state.
    Restart(usize),
    /// A reader restarts from a peer's state.
    Bootstrap(usize, usize),
    /// Bytes that are not a record are appended.
    Garbage(Vec<u8>),
}

fn proposed_edit() -> impl Strategy<Value = ProposedEdit> {
    prop_oneof![
        4 => (0..4_u8, 1..4_u64).prop_map(|(name, last)| ProposedEdit::PutAdapter(name, last)),
        3 => (0..4_u8).prop_map(ProposedEdit::RemoveAdapter),
        4 => (0..3_u8, 0..4_u8, 1..4_u64).prop_map(|(rule, name, version)| {
            ProposedEdit::PutRule(rule, name, version)
        }),
        3 => (0..3_u8, 0..3_u8).prop_map(|(rule, other)| ProposedEdit::PutChainedRule(rule, other)),
        3 => (0..3_u8).prop_map(ProposedEdit::RemoveRule),
    ]
}

/// Returns the steps of one scenario.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let reader = 0..READERS;
    let step = prop_oneof![
        10 => (reader.clone(), 1..12_usize).prop_map(|(reader, count)| Step::Read(reader, count)),
        8 => (reader.clone(), prop::collection::vec(proposed_edit(), 1..4), 1..3_usize)
            .prop_map(|(reader, edits, times)| Step::Propose(reader, edits, times)),
        2 => any::<prop::sample::Index>().prop_map(Step::Repeat),
        2 => reader.clone().prop_map(Step::BeginSnapshot),
        8 => (any::<bool>(), 1..8_usize).prop_map(|(oldest, count)| {
            Step::AppendParts(oldest, count)
        }),
        2 => prop::strategy::Just(Step::ExpireCovered),
        1 => any::<prop::sample::Index>().prop_map(Step::Expire),
        1 => reader.clone().prop_map(Step::Restart),
        1 => (reader.clone(), reader).prop_map(|(fresh, peer)| Step::Bootstrap(fresh, peer)),
        1 => prop::collection::vec(any::<u8>(), 0..20).prop_map(Step::Garbage),
    ];
    prop::collection::vec(step, 1..60)
}

/// A log, its readers, and the snapshots that are being written.
pub struct ScenarioRun<R> {
    records: Vec<Bytes>,
    first_kept: usize,
    readers: Vec<R>,
    writing: VecDeque<VecDeque<Bytes>>,
    proposals: u64,
    served: Vec<Option<EntryStates>>,
    replaced: OutcomeCounts,
}

impl<R: LogReader> ScenarioRun<R> {
    /// Creates a run whose log contains one base model.
    pub fn new() -> Self {
        let mut run = Self {
            records: Vec::new(),
            first_kept: 0,
            readers: (0..READERS).map(|_| R::new()).collect(),
            writing: VecDeque::new(),
            proposals: 0,
            served: vec![None; READERS],
            replaced: OutcomeCounts::default(),
        };
        let model = ConfigEdit::Put(ConfigEntry::Model(ModelEntry { name: name("m") }));
        let record = run.change(&Catalogue::default(), vec![model]);
        run.records.push(record);
        run
    }

    /// Applies one step.
    pub fn apply(&mut self, step: &Step) {
        match step {
            Step::Read(reader, count) => self.read(*reader, *count),
            Step::Propose(reader, edits, times) => self.propose(*reader, edits, *times),
            Step::Repeat(index) => {
                let record = index.get(&self.records).clone();
                self.records.push(record);
            }
            Step::BeginSnapshot(reader) => self.begin_snapshot(*reader),
            Step::AppendParts(oldest, count) => self.append_parts(*oldest, *count),
            Step::ExpireCovered => self.expire_covered(),
            Step::Expire(index) => {
                self.first_kept = self.first_kept.max(index.index(self.records.len() + 1));
            }
            Step::Restart(reader) => self.replace(*reader, R::new()),
            Step::Bootstrap(reader, peer) => {
                let mut fresh = R::new();
                fresh.restore_from(&self.readers[*peer]);
                self.replace(*reader, fresh);
            }
            Step::Garbage(bytes) => self.records.push(Bytes::from(bytes.clone())),
        }
    }

    /// Compares the state that each reader serves with that of the whole log at its offset.
    ///
    /// # Errors
    ///
    /// Returns a description of the difference.
    pub fn check(&mut self) -> Result<(), String> {
        let history = RevisionOracle::apply_all(&self.records);
        for (index, reader) in self.readers.iter().enumerate() {
            let Some(served) = reader.served() else {
                continue;
            };
            let next = usize::try_from(reader.next()).unwrap_or(usize::MAX);
            if served != history[next] {
                let expected = &history[next];
                return Err(format!(
                    "reader {index} at {next} serves {served:?} instead of {expected:?}"
                ));
            }
            let reverted = self.served[index]
                .as_ref()
                .is_some_and(|earlier| newest(earlier) > newest(&served) && served.is_empty());
            if reverted {
                return Err(format!("reader {index} reverted to an empty state"));
            }
            self.served[index] = Some(served);
        }
        Ok(())
    }

    /// Returns the outcomes of all readers, including replaced ones.
    pub fn outcomes(&self) -> OutcomeCounts {
        let mut outcomes = self.replaced;
        for reader in &self.readers {
            outcomes += reader.outcomes();
        }
        outcomes
    }

    fn replace(&mut self, index: usize, reader: R) {
        self.replaced += self.readers[index].outcomes();
        self.readers[index] = reader;
        self.served[index] = None;
    }

    fn read(&mut self, reader: usize, count: usize) {
        let first_kept = u64::try_from(self.first_kept).expect("the offset fits");
        for _ in 0..count {
            self.readers[reader].read(first_kept, &self.records);
        }
    }

    fn propose(&mut self, reader: usize, proposed: &[ProposedEdit], times: usize) {
        let Some(history) = self.readers[reader].history() else {
            return;
        };
        let catalogue = history.catalogue();
        let mut edits: Vec<ConfigEdit> = Vec::new();
        for proposal in proposed {
            let edit = proposal.edit();
            if edits.iter().all(|earlier| earlier.key() != edit.key()) {
                edits.push(edit);
            }
        }
        let record = self.change(&catalogue, edits);
        // A lost answer makes an operator append the same record again.
        for _ in 0..times {
            self.records.push(record.clone());
        }
    }

    fn change(&mut self, catalogue: &Catalogue, edits: Vec<ConfigEdit>) -> Bytes {
        self.proposals += 1;
        let origin = ChangeOrigin {
            author: name("operator"),
            stated_at_ms: self.proposals,
        };
        let change = ConfigChange {
            origin,
            base: catalogue.revision(),
            edits,
        };
        change.into_record().expect("the record is small")
    }

    fn begin_snapshot(&mut self, reader: usize) {
        let state = self.readers[reader]
            .history()
            .and_then(ConfigHistory::snapshot_state);
        let Some(state) = state else {
            return;
        };
        self.proposals += 1;
        let id = SnapshotId::derive(&format!("writer {reader} {}", self.proposals));
        let parts = state
            .to_sized_records(id, PART_BYTES)
            .expect("the parts are small");
        self.writing.push_back(parts.into());
    }

    fn append_parts(&mut self, oldest: bool, count: usize) {
        let writing = if oldest {
            self.writing.front_mut()
        } else {
            self.writing.back_mut()
        };
        let Some(parts) = writing else {
            return;
        };
        let count = count.min(parts.len());
        self.records.extend(parts.drain(..count));
        self.writing.retain(|parts| !parts.is_empty());
    }

    /// Drops the records that are covered by a complete snapshot in the log.
    fn expire_covered(&mut self) {
        let mut history = ConfigHistory::new();
        for (offset, record) in (0..).zip(&self.records) {
            history.apply_record(amaranth_core::ids::LogOffset(offset), record);
        }
        if let Some(snapshot) = history.last_snapshot() {
            let covers = usize::try_from(snapshot.covers.0).expect("the offset fits");
            self.first_kept = self.first_kept.max(covers);
        }
    }
}

/// Returns the newest revision among `states`.
fn newest(states: &EntryStates) -> u64 {
    let revisions = states.values().map(|(revision, _)| revision.0);
    revisions.max().unwrap_or_default()
}

fn name<T: std::str::FromStr<Err = amaranth_core::Error>>(text: &str) -> T {
    text.parse().expect("the name is valid")
}

impl ProposedEdit {
    fn edit(&self) -> ConfigEdit {
        match self {
            Self::PutAdapter(number, last) => ConfigEdit::Put(ConfigEntry::Adapter(AdapterEntry {
                name: name(&format!("a{number}")),
                base: name("m"),
                versions: (1..=*last).map(AdapterVersion).collect(),
                current: AdapterVersion(*last),
            })),
            Self::RemoveAdapter(number) => {
                ConfigEdit::Remove(ConfigKey::Adapter(name(&format!("a{number}"))))
            }
            Self::PutRule(number, adapter, version) => {
                rule(*number, &format!("a{adapter}@{version}"))
            }
            Self::PutChainedRule(number, other) => rule(*number, &format!("x{other}")),
            Self::RemoveRule(number) => {
                ConfigEdit::Remove(ConfigKey::Rule(name(&format!("r{number}"))))
            }
        }
    }
}

fn rule(number: u8, target: &str) -> ConfigEdit {
    let target = RuleTarget {
        name: name(target),
        weight: 1,
    };
    ConfigEdit::Put(ConfigEntry::Rule(RuleEntry {
        name: name(&format!("r{number}")),
        model: name(&format!("x{number}")),
        callers: Vec::new(),
        order: 0,
        targets: std::iter::once(target).collect(),
        priority: RequestPriority::Normal,
    }))
}
