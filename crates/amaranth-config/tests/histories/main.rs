//! Property tests with concurrent operators, a faulty log, delayed snapshots and restarts.
//!
//! Every reader is compared with a [`oracle::RevisionOracle`], a simple reference implementation
//! that applies the whole log from its beginning. A naive reader, in which the last write wins
//! and every snapshot is restored, runs through the same histories and must fail, which shows
//! that the histories detect a faulty reader.

mod naive;
mod oracle;
mod scenario;

use amaranth_config::history::{ConfigHistory, HistoryStatus, RecordOutcome, RefusalReason};
use amaranth_core::ids::LogOffset;
use bytes::Bytes;
use proptest::prelude::{ProptestConfig, Strategy, proptest};
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use naive::LastWriteReader;
use oracle::EntryStates;
use scenario::{LogReader, OutcomeCounts, ScenarioRun, Step, steps};

/// A reader with the history under test.
#[derive(Debug, Default)]
struct HistoryReader {
    history: ConfigHistory,
    outcomes: OutcomeCounts,
}

impl HistoryReader {
    fn count(&mut self, outcome: &RecordOutcome) {
        let outcomes = &mut self.outcomes;
        match outcome {
            RecordOutcome::Accepted(_) => outcomes.accepted += 1,
            RecordOutcome::Duplicate { .. } => outcomes.duplicates += 1,
            RecordOutcome::Restored(_) => outcomes.restored += 1,
            RecordOutcome::Undetermined => outcomes.undetermined += 1,
            RecordOutcome::Refused(refused) => match refused.reason {
                RefusalReason::Conflict(_) => outcomes.conflicts += 1,
                RefusalReason::Invalid(_) => outcomes.invalid += 1,
                _ => {}
            },
            _ => {}
        }
    }
}

impl LogReader for HistoryReader {
    fn new() -> Self {
        Self::default()
    }

    fn read(&mut self, first_kept: u64, records: &[Bytes]) {
        self.history.update_first_kept(LogOffset(first_kept));
        let next = self.history.next_offset();
        if let Some(record) = records.get(usize::try_from(next.0).unwrap_or(usize::MAX)) {
            let outcome = self.history.apply_record(next, record);
            self.count(&outcome);
        }
    }

    fn next(&self) -> u64 {
        self.history.next_offset().0
    }

    fn served(&self) -> Option<EntryStates> {
        (self.history.status() == HistoryStatus::Complete).then(|| {
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

    fn restore_from(&mut self, peer: &Self) {
        if let Some(state) = peer.history.snapshot_state() {
            self.history.restore(state);
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
    fn every_reader_serves_the_state_of_the_whole_log(steps in steps()) {
        let mut run = ScenarioRun::<HistoryReader>::new();
        for step in &steps {
            run.apply(step);
            if let Err(difference) = run.check() {
                panic!("{difference}");
            }
        }
    }
}

/// Returns `count` histories, which are the same in each run.
fn fixed_histories(count: usize) -> impl Iterator<Item = Vec<Step>> {
    let config = Config {
        rng_seed: RngSeed::Fixed(6),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    std::iter::repeat_with(move || {
        let tree = steps().new_tree(&mut runner);
        tree.expect("the strategy generates steps").current()
    })
    .take(count)
}

#[test]
fn a_last_write_wins_reader_fails_on_the_same_histories() {
    let fails = |steps: &Vec<Step>| {
        let mut run = ScenarioRun::<LastWriteReader>::new();
        steps.iter().any(|step| {
            run.apply(step);
            run.check().is_err()
        })
    };
    let failed = fixed_histories(100).filter(fails).count();
    assert!(
        failed > 50,
        "the naive reader failed on {failed} of 100 histories"
    );
}

#[test]
fn the_histories_produce_every_outcome() {
    let mut outcomes = OutcomeCounts::default();
    for steps in fixed_histories(400) {
        let mut run = ScenarioRun::<HistoryReader>::new();
        for step in &steps {
            run.apply(step);
        }
        outcomes += run.outcomes();
    }
    let OutcomeCounts {
        accepted,
        conflicts,
        invalid,
        duplicates,
        restored,
        undetermined,
    } = outcomes;
    for count in [
        accepted,
        conflicts,
        invalid,
        duplicates,
        restored,
        undetermined,
    ] {
        assert!(count >= 50, "{outcomes:?}");
    }
}
