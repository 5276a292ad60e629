//! Histories of racing operators, faulty logs, late snapshots and restarting readers.
//!
//! Every reader is compared with a [`oracle::RevisionOracle`], which rules the whole log from
//! its beginning in the plainest way. A reader that takes the last write, and snapshots as they
//! come, is run through the same histories to show that they tell right from wrong.

mod naive;
mod oracle;
mod scenario;

use amaranth_config::history::{ConfigHistory, HistoryStanding, RecordVerdict, RefusalReason};
use amaranth_core::ids::LogOffset;
use bytes::Bytes;
use proptest::prelude::{ProptestConfig, Strategy, proptest};
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use naive::LastWriteReader;
use oracle::EntryStates;
use scenario::{FollowingReader, OutcomeCounts, ScenarioRun, Step, steps};

/// The history under test.
#[derive(Debug, Default)]
struct HistoryReader {
    history: ConfigHistory,
    outcomes: OutcomeCounts,
}

impl HistoryReader {
    fn count(&mut self, verdict: &RecordVerdict) {
        let outcomes = &mut self.outcomes;
        match verdict {
            RecordVerdict::Accepted(_) => outcomes.accepted += 1,
            RecordVerdict::Duplicate { .. } => outcomes.duplicates += 1,
            RecordVerdict::Restored(_) => outcomes.restored += 1,
            RecordVerdict::Unruled => outcomes.unruled += 1,
            RecordVerdict::Refused(refused) => match refused.reason {
                RefusalReason::Conflict(_) => outcomes.conflicts += 1,
                RefusalReason::Invalid(_) => outcomes.invalid += 1,
                _ => {}
            },
            _ => {}
        }
    }
}

impl FollowingReader for HistoryReader {
    fn open() -> Self {
        Self::default()
    }

    fn read(&mut self, first_kept: u64, records: &[Bytes]) {
        self.history.note_first_kept(LogOffset(first_kept));
        let next = self.history.next_offset();
        if let Some(record) = records.get(usize::try_from(next.0).unwrap_or(usize::MAX)) {
            let verdict = self.history.apply_record(next, record);
            self.count(&verdict);
        }
    }

    fn next(&self) -> u64 {
        self.history.next_offset().0
    }

    fn served(&self) -> Option<EntryStates> {
        (self.history.standing() == HistoryStanding::Complete).then(|| {
            let catalogue = self.history.catalogue();
            let entries = catalogue.entries();
            entries
                .map(|(revision, entry)| (entry.key(), (revision, entry)))
                .collect()
        })
    }

    fn history(&self) -> Option<&ConfigHistory> {
        Some(&self.history)
    }

    fn adopt_from(&mut self, peer: &Self) {
        if let Some(state) = peer.history.snapshot_state() {
            self.history.adopt(state);
        }
    }

    fn outcomes(&self) -> OutcomeCounts {
        self.outcomes
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_reader_serves_what_the_whole_log_says(steps in steps()) {
        let mut run = ScenarioRun::<HistoryReader>::open();
        for step in &steps {
            run.take(step);
            if let Err(difference) = run.check() {
                panic!("{difference}");
            }
        }
    }
}

/// Returns `count` histories, the same ones each time.
fn fixed_histories(count: usize) -> impl Iterator<Item = Vec<Step>> {
    let config = Config {
        rng_seed: RngSeed::Fixed(6),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    std::iter::repeat_with(move || {
        let tree = steps().new_tree(&mut runner);
        tree.expect("steps can be drawn").current()
    })
    .take(count)
}

#[test]
fn last_write_wins_fails_on_the_same_histories() {
    let fails = |steps: &Vec<Step>| {
        let mut run = ScenarioRun::<LastWriteReader>::open();
        steps.iter().any(|step| {
            run.take(step);
            run.check().is_err()
        })
    };
    let failed = fixed_histories(100).filter(fails).count();
    assert!(
        failed > 50,
        "{failed} of 100 histories broke the naive reader"
    );
}

#[test]
fn histories_meet_every_outcome() {
    let mut outcomes = OutcomeCounts::default();
    for steps in fixed_histories(400) {
        let mut run = ScenarioRun::<HistoryReader>::open();
        for step in &steps {
            run.take(step);
        }
        outcomes += run.outcomes();
    }
    let OutcomeCounts {
        accepted,
        conflicts,
        invalid,
        duplicates,
        restored,
        unruled,
    } = outcomes;
    for count in [accepted, conflicts, invalid, duplicates, restored, unruled] {
        assert!(count >= 50, "{outcomes:?}");
    }
}
