//! Steps of a history, and the run that takes them.

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

/// Readers of one run.
const READERS: usize = 3;

/// Bytes of a part, so small that a snapshot of a few entries has several.
const PART_BYTES: usize = 24;

/// How often readers met each outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Changes that were accepted.
    pub accepted: u32,
    /// Changes that came after another one.
    pub conflicts: u32,
    /// Changes whose outcome would not be valid.
    pub invalid: u32,
    /// Appends that were duplicates of an accepted change.
    pub duplicates: u32,
    /// Snapshots that were taken over from the log.
    pub restored: u32,
    /// Records that could not be ruled, since older ones are missing.
    pub unruled: u32,
}

impl std::ops::AddAssign for OutcomeCounts {
    fn add_assign(&mut self, other: Self) {
        self.accepted += other.accepted;
        self.conflicts += other.conflicts;
        self.invalid += other.invalid;
        self.duplicates += other.duplicates;
        self.restored += other.restored;
        self.unruled += other.unruled;
    }
}

/// A reader as the run drives it.
pub trait FollowingReader {
    /// Opens a reader that knows nothing.
    fn open() -> Self;

    /// Reads the next record, if the log has one. `records` are all that were ever appended.
    fn read(&mut self, first_kept: u64, records: &[Bytes]);

    /// Returns the offset of the next record.
    fn next(&self) -> u64;

    /// Returns the entries that the reader would serve, or nothing while it would not serve.
    fn served(&self) -> Option<EntryStates>;

    /// Returns the history from which an operator or a writer of snapshots works.
    fn history(&self) -> Option<&ConfigHistory>;

    /// Starts from a peer's state.
    fn adopt_from(&mut self, peer: &Self);

    /// Returns what the reader met so far.
    fn outcomes(&self) -> OutcomeCounts {
        OutcomeCounts::default()
    }
}

/// One edit that an operator wishes for.
#[derive(Debug, Clone)]
pub enum Wish {
    /// An adapter with versions up to this one.
    Adapter(u8, u64),
    /// No such adapter.
    NoAdapter(u8),
    /// A rule that leads to an adapter's version.
    Rule(u8, u8, u64),
    /// A rule that leads to another rule.
    Chain(u8, u8),
    /// No such rule.
    NoRule(u8),
}

/// One step of a history.
#[derive(Debug, Clone)]
pub enum Step {
    /// A reader reads so many records.
    Read(usize, usize),
    /// An operator appends a change made from what a reader knows, so many times.
    Propose(usize, Vec<Wish>, usize),
    /// A record that was appended long ago is appended again.
    Repeat(prop::sample::Index),
    /// A reader begins to write a snapshot.
    BeginSnapshot(usize),
    /// The oldest or the newest unfinished snapshot goes on by so many parts.
    AppendParts(bool, usize),
    /// The log forgets what a whole snapshot makes up for.
    ExpireCovered,
    /// The log forgets some records, whatever was covered.
    Expire(prop::sample::Index),
    /// A reader restarts and knows nothing.
    Restart(usize),
    /// A reader restarts from a peer's state.
    Bootstrap(usize, usize),
    /// Something foreign is appended.
    Garbage(Vec<u8>),
}

fn wish() -> impl Strategy<Value = Wish> {
    prop_oneof![
        4 => (0..4_u8, 1..4_u64).prop_map(|(name, last)| Wish::Adapter(name, last)),
        3 => (0..4_u8).prop_map(Wish::NoAdapter),
        4 => (0..3_u8, 0..4_u8, 1..4_u64).prop_map(|(rule, name, version)| {
            Wish::Rule(rule, name, version)
        }),
        3 => (0..3_u8, 0..3_u8).prop_map(|(rule, other)| Wish::Chain(rule, other)),
        3 => (0..3_u8).prop_map(Wish::NoRule),
    ]
}

/// Returns steps of one history.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let reader = 0..READERS;
    let step = prop_oneof![
        10 => (reader.clone(), 1..12_usize).prop_map(|(reader, count)| Step::Read(reader, count)),
        8 => (reader.clone(), prop::collection::vec(wish(), 1..4), 1..3_usize)
            .prop_map(|(reader, wishes, times)| Step::Propose(reader, wishes, times)),
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

impl<R: FollowingReader> ScenarioRun<R> {
    /// Opens a run whose log holds a base model.
    pub fn open() -> Self {
        let mut run = Self {
            records: Vec::new(),
            first_kept: 0,
            readers: (0..READERS).map(|_| R::open()).collect(),
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

    /// Takes one step.
    pub fn take(&mut self, step: &Step) {
        match step {
            Step::Read(reader, count) => self.read(*reader, *count),
            Step::Propose(reader, wishes, times) => self.propose(*reader, wishes, *times),
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
            Step::Restart(reader) => self.replace(*reader, R::open()),
            Step::Bootstrap(reader, peer) => {
                let mut fresh = R::open();
                fresh.adopt_from(&self.readers[*peer]);
                self.replace(*reader, fresh);
            }
            Step::Garbage(bytes) => self.records.push(Bytes::from(bytes.clone())),
        }
    }

    /// Compares what each reader serves with what the whole log says at its offset.
    ///
    /// # Errors
    ///
    /// Returns what differs.
    pub fn check(&mut self) -> Result<(), String> {
        let after = RevisionOracle::rule_all(&self.records);
        for (index, reader) in self.readers.iter().enumerate() {
            let Some(served) = reader.served() else {
                continue;
            };
            let next = usize::try_from(reader.next()).unwrap_or(usize::MAX);
            if served != after[next] {
                let expected = &after[next];
                return Err(format!(
                    "reader {index} at {next} serves {served:?} in place of {expected:?}"
                ));
            }
            let reverted = self.served[index]
                .as_ref()
                .is_some_and(|earlier| newest(earlier) > newest(&served) && served.is_empty());
            if reverted {
                return Err(format!("reader {index} fell back to nothing"));
            }
            self.served[index] = Some(served);
        }
        Ok(())
    }

    /// Returns what all readers met.
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
        let first_kept = u64::try_from(self.first_kept).expect("offsets fit");
        for _ in 0..count {
            self.readers[reader].read(first_kept, &self.records);
        }
    }

    fn propose(&mut self, reader: usize, wishes: &[Wish], times: usize) {
        let Some(history) = self.readers[reader].history() else {
            return;
        };
        let catalogue = history.catalogue();
        let mut edits: Vec<ConfigEdit> = Vec::new();
        for wish in wishes {
            let edit = wish.edit();
            if edits.iter().all(|known| known.key() != edit.key()) {
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

    /// Expires what a fresh reader of the whole log would find covered by a snapshot.
    fn expire_covered(&mut self) {
        let mut history = ConfigHistory::open();
        for (offset, record) in (0..).zip(&self.records) {
            history.apply_record(amaranth_core::ids::LogOffset(offset), record);
        }
        if let Some(note) = history.last_snapshot() {
            let covers = usize::try_from(note.covers.0).expect("offsets fit");
            self.first_kept = self.first_kept.max(covers);
        }
    }
}

/// Returns the newest revision among entries.
fn newest(states: &EntryStates) -> u64 {
    let revisions = states.values().map(|(revision, _)| revision.0);
    revisions.max().unwrap_or_default()
}

fn name<T: std::str::FromStr<Err = amaranth_core::Error>>(text: &str) -> T {
    text.parse().expect("the name is valid")
}

impl Wish {
    fn edit(&self) -> ConfigEdit {
        match self {
            Self::Adapter(number, last) => ConfigEdit::Put(ConfigEntry::Adapter(AdapterEntry {
                name: name(&format!("a{number}")),
                base: name("m"),
                versions: (1..=*last).map(AdapterVersion).collect(),
                current: AdapterVersion(*last),
            })),
            Self::NoAdapter(number) => {
                ConfigEdit::Remove(ConfigKey::Adapter(name(&format!("a{number}"))))
            }
            Self::Rule(number, adapter, version) => rule(*number, &format!("a{adapter}@{version}")),
            Self::Chain(number, other) => rule(*number, &format!("x{other}")),
            Self::NoRule(number) => {
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
