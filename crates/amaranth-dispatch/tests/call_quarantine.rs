//! Tests of the quarantine of prompt parts: single assessments, and fleets of entries that exchange
//! findings while entries join, restart, freeze and are cut off.

use std::collections::BTreeSet;
use std::time::Duration;

use amaranth_core::time::WallTime;
use amaranth_dispatch::call::{CallProperty, PartId};
use amaranth_dispatch::call_quarantine::{CallQuarantine, CrashReport, EntryFindings};
use rstest::rstest;

use fleet::{Exchange, FleetPlan, FleetResult};

#[path = "call_quarantine/fleet.rs"]
mod fleet;

const BAD: CallProperty = part(0xbad);
const OTHER: CallProperty = part(2);

const fn part(id: u64) -> CallProperty {
    CallProperty::Part(PartId(id))
}

fn at(millis: u64) -> WallTime {
    WallTime::from_millis(1_700_000_000_000 + millis)
}

fn crash(engine: &str, seen_ms: u64, suspects: &[CallProperty]) -> CrashReport {
    CrashReport {
        engine: engine.parse().expect("the name is valid"),
        started_ms: Some(1),
        seen_at: at(seen_ms),
        suspects: suspects.iter().copied().collect(),
    }
}

/// Records crashes, 300 ms apart, each with the same suspects.
fn record_crashes(
    quarantine: &mut CallQuarantine,
    from_ms: u64,
    suspects: &[impl AsRef<[CallProperty]>],
) {
    for (index, suspects) in suspects.iter().enumerate() {
        let seen_ms = from_ms + 300 * index as u64;
        let crash = crash(&format!("e{seen_ms}"), seen_ms, suspects.as_ref());
        quarantine.record_crash(at(seen_ms), crash);
    }
}

fn is_quarantined(quarantine: &CallQuarantine, parts: &[CallProperty]) -> bool {
    quarantine
        .time_left(at(5_000), parts.iter().copied())
        .is_some()
}

#[test]
fn a_part_that_three_crashes_have_in_common_is_quarantined() {
    let mut quarantine = CallQuarantine::default();
    record_crashes(&mut quarantine, 0, &[&[BAD, part(3)][..], &[BAD, part(4)]]);
    assert!(!is_quarantined(&quarantine, &[BAD]));
    record_crashes(&mut quarantine, 600, &[&[BAD, part(5)]]);
    assert!(is_quarantined(&quarantine, &[part(7), BAD]));
    assert!(!is_quarantined(&quarantine, &[part(3), part(4)]));
}

#[test]
fn engines_that_fail_together_quarantine_nothing() {
    let mut quarantine = CallQuarantine::default();
    for index in 0..40 {
        let crash = crash(&format!("e{index}"), index, &[OTHER]);
        quarantine.record_crash(at(index), crash);
    }
    assert!(!is_quarantined(&quarantine, &[OTHER]));
}

#[test]
fn a_part_whose_prompts_survive_is_no_suspect() {
    let mut quarantine = CallQuarantine::default();
    quarantine.record_survival(at(0), [OTHER]);
    record_crashes(&mut quarantine, 100, &[&[BAD, OTHER]; 6]);
    assert!(is_quarantined(&quarantine, &[BAD]));
    assert!(!is_quarantined(&quarantine, &[OTHER]));
}

#[test]
fn parts_that_always_crash_together_are_quarantined_together_only() {
    let mut quarantine = CallQuarantine::default();
    record_crashes(&mut quarantine, 0, &[&[BAD, OTHER]; 5]);
    assert!(is_quarantined(&quarantine, &[BAD, OTHER]));
    assert!(!is_quarantined(&quarantine, &[OTHER]));
    record_crashes(&mut quarantine, 2_000, &[&[BAD, part(9)]]);
    assert!(is_quarantined(&quarantine, &[BAD]));
    assert!(!is_quarantined(&quarantine, &[OTHER]));
}

#[test]
fn a_survival_that_another_entry_reports_ends_a_quarantine() {
    let mut quarantine = CallQuarantine::default();
    record_crashes(&mut quarantine, 0, &[&[OTHER]; 4]);
    assert!(is_quarantined(&quarantine, &[OTHER]));
    let mut peer = CallQuarantine::default();
    peer.record_survival(at(1_500), [OTHER]);
    let change = peer.apply(at(1_600), [("a".to_owned(), quarantine.findings().clone())]);
    assert!(
        change.must_publish,
        "the survival is news to the other entries"
    );
    quarantine.apply(at(1_700), [("b".to_owned(), peer.findings().clone())]);
    assert!(!is_quarantined(&quarantine, &[OTHER]));
}

#[test]
fn a_survival_is_published_only_when_a_quarantine_depends_on_it() {
    let mut peer = CallQuarantine::default();
    peer.record_survival(at(10_000), [OTHER]);
    let mut quarantine = CallQuarantine::default();
    let mut apply = |seen_ms: u64| {
        let crash = crash(&format!("e{seen_ms}"), seen_ms, &[OTHER]);
        quarantine.record_crash(at(seen_ms), crash);
        let findings = quarantine.findings().clone();
        peer.apply(at(seen_ms), [("a".to_owned(), findings)])
    };
    assert!(!apply(0).must_publish);
    assert!(
        apply(100_000).must_publish,
        "the first crash does not count"
    );
    let change = apply(200_000);
    assert!(!change.must_publish);
    assert!(change.begun.is_empty(), "two crashes count");
    assert_eq!(apply(300_000).begun.len(), 1);
}

#[test]
fn two_parts_that_crash_engines_at_the_same_time_are_both_quarantined() {
    let mut quarantine = CallQuarantine::default();
    let first = [part(1), part(11)];
    let second = [part(2), part(12)];
    record_crashes(
        &mut quarantine,
        0,
        &[&first[..1], &second, &first, &second[..1]],
    );
    record_crashes(
        &mut quarantine,
        1_200,
        &[&first[..1], &second, &first, &second[..1]],
    );
    assert!(is_quarantined(&quarantine, &[part(1)]));
    assert!(is_quarantined(&quarantine, &[part(2)]));
    assert!(!is_quarantined(&quarantine, &[part(11), part(12)]));
}

#[test]
fn a_restarted_entry_adopts_what_it_had_published() {
    let mut before = CallQuarantine::default();
    record_crashes(&mut before, 0, &[&[BAD]; 4]);
    let published = before.findings().clone();
    let mut after = CallQuarantine::default();
    let change = after.adopt(at(2_000), published);
    assert!(is_quarantined(&after, &[BAD]));
    assert!(!change.must_publish, "the store has everything");
    let change = after.adopt(at(2_100), EntryFindings::default());
    assert!(change.must_publish, "the store lost what it had");
}

#[test]
fn a_quarantine_ends_with_its_evidence() {
    let mut quarantine = CallQuarantine::default();
    record_crashes(&mut quarantine, 0, &[&[BAD]; 3]);
    let hour = 3_600_000;
    assert!(quarantine.time_left(at(hour - 1), [BAD]).is_some());
    assert!(quarantine.time_left(at(hour), [BAD]).is_none());
    let change = quarantine.expire(at(hour));
    assert_eq!(change.ended, [BTreeSet::from([BAD])]);
}

#[test]
fn findings_stay_small() {
    let mut quarantine = CallQuarantine::default();
    for index in 0..500 {
        let suspects: Vec<CallProperty> = (0..200).map(|id| part(index * 1_000 + id)).collect();
        let crash = crash(&format!("e{index}"), index * 300, &suspects);
        quarantine.record_crash(at(index * 300), crash);
        quarantine.record_survival(at(index * 300), suspects);
    }
    let findings = quarantine.findings();
    assert!(findings.crashes.len() <= 64 && findings.survivals.len() <= 64);
    assert!(
        findings
            .crashes
            .iter()
            .all(|crash| crash.suspects.len() <= 64)
    );
}

fn assert_kept(result: &FleetResult, seed: u64) {
    assert!(
        result.crashes > 0 && result.sound_calls > 0,
        "seed {seed}: {result:?}"
    );
    assert!(result.late_sends <= 3, "seed {seed}: {result:?}");
    assert!(
        result.sound_refused * 2 <= result.sound_calls,
        "seed {seed}: {result:?}"
    );
}

#[rstest]
#[case::three_entries(3, 9, 12)]
#[case::sixty_eight_entries(68, 120, 8)]
#[case::four_hundred_entries(400, 300, 2)]
fn the_fleet_stops_calls_that_crash_engines(
    #[case] entries: usize,
    #[case] engines: usize,
    #[case] seeds: u64,
) {
    for seed in 0..seeds {
        let plan = FleetPlan {
            entries,
            engines,
            faults: true,
            cut_off: 0,
        };
        assert_kept(&fleet::play(plan, Exchange::Shared, seed), seed);
    }
}

#[rstest]
#[case::one_of_three(3, 9, 1)]
#[case::a_third_of_many(69, 120, 23)]
#[case::a_third_of_some(30, 60, 11)]
#[case::most(30, 60, 24)]
fn entries_that_reach_the_store_stop_such_calls_although_others_do_not(
    #[case] entries: usize,
    #[case] engines: usize,
    #[case] cut_off: usize,
) {
    for seed in 0..12 {
        let plan = FleetPlan {
            entries,
            engines,
            faults: true,
            cut_off,
        };
        assert_kept(&fleet::play(plan, Exchange::Shared, seed), seed);
    }
}

#[test]
fn entries_that_keep_their_findings_to_themselves_go_on_crashing_engines() {
    let plan = FleetPlan {
        entries: 68,
        engines: 120,
        faults: false,
        cut_off: 0,
    };
    let result = fleet::play(plan, Exchange::None, 1);
    assert!(result.late_sends > 3, "{result:?}");
}

/// The time that passes between two steps of a fleet.
pub const STEP: Duration = Duration::from_millis(100);
