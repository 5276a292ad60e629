//! Tests of the quarantine of calls that crash endpoints: single assessments, and fleets of entries
//! that exchange findings while entries join, restart, freeze and are cut off.

use std::collections::BTreeSet;
use std::time::Duration;

use amaranth_core::time::WallTime;
use amaranth_dispatch::call::{CallProperty, PartId, RequestDigest};
use amaranth_dispatch::call_quarantine::{
    CallQuarantine, CrashReport, EntryFindings, SurvivalReport,
};
use rstest::rstest;

use fleet::{BadCalls, Exchange, FleetPlan, FleetResult};

#[path = "call_quarantine/fleet.rs"]
mod fleet;

const BAD: CallProperty = part(0xbad);
const OTHER: CallProperty = part(2);

const BAD_REQUEST: CallProperty = request(0xbad);

const fn request(digest: u64) -> CallProperty {
    CallProperty::Request(RequestDigest(digest))
}

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

#[test]
fn a_request_that_three_crashes_have_in_common_is_quarantined_alone() {
    let mut quarantine = CallQuarantine::default();
    let suspects = [
        &[BAD_REQUEST, OTHER, request(1)][..],
        &[BAD_REQUEST, OTHER, request(2)],
    ];
    record_crashes(&mut quarantine, 0, &suspects);
    assert!(!is_quarantined(&quarantine, &[BAD_REQUEST, OTHER]));
    record_crashes(&mut quarantine, 600, &[&[BAD_REQUEST, OTHER]]);
    assert!(is_quarantined(&quarantine, &[BAD_REQUEST]));
    assert!(!is_quarantined(&quarantine, &[OTHER, request(1)]));
}

#[test]
fn a_request_that_shares_three_crashes_with_another_is_not_quarantined_for_them() {
    let mut quarantine = CallQuarantine::default();
    record_crashes(&mut quarantine, 0, &[&[BAD_REQUEST, request(1)]; 3]);
    assert!(!is_quarantined(&quarantine, &[BAD_REQUEST]));
    assert!(!is_quarantined(&quarantine, &[request(1)]));
    record_crashes(&mut quarantine, 900, &[&[BAD_REQUEST]]);
    assert!(is_quarantined(&quarantine, &[BAD_REQUEST]));
    assert!(!is_quarantined(&quarantine, &[request(1)]));
}

#[test]
fn requests_that_always_crash_together_are_each_quarantined() {
    let mut quarantine = CallQuarantine::default();
    record_crashes(&mut quarantine, 0, &[&[BAD_REQUEST, request(1)]; 4]);
    assert!(is_quarantined(&quarantine, &[BAD_REQUEST]));
    assert!(is_quarantined(&quarantine, &[request(1)]));
}

#[test]
fn a_part_is_quarantined_although_one_of_its_requests_is_repeated() {
    let mut quarantine = CallQuarantine::default();
    record_crashes(&mut quarantine, 0, &[&[BAD, request(1)]; 3]);
    assert!(is_quarantined(&quarantine, &[BAD, request(1)]));
    assert!(!is_quarantined(&quarantine, &[BAD, request(2)]));
    record_crashes(&mut quarantine, 900, &[&[BAD, request(2)]]);
    assert!(is_quarantined(&quarantine, &[BAD, request(3)]));
}

#[test]
fn a_request_that_survived_is_no_suspect() {
    let mut quarantine = CallQuarantine::default();
    record_crashes(&mut quarantine, 0, &[&[request(1)]; 3]);
    assert!(is_quarantined(&quarantine, &[request(1)]));
    let change = quarantine.record_survival(at(1_000), [request(1)]);
    assert!(change.must_publish, "other entries hold it for bad");
    assert!(!is_quarantined(&quarantine, &[request(1)]));
}

#[test]
fn a_crash_names_the_suspects_of_earlier_ones_among_many() {
    let mut quarantine = CallQuarantine::default();
    let many = |base: u64| (0..200).map(move |id| request(base + id));
    for round in 0..3 {
        let mut suspects: Vec<CallProperty> = many(round * 1_000).collect();
        if round == 0 {
            suspects = vec![request(u64::MAX)];
        }
        suspects.push(request(u64::MAX));
        suspects.extend((0..200).map(|id| part(round * 1_000 + id)));
        let crash = crash(&format!("e{round}"), round * 300, &suspects);
        quarantine.record_crash(at(round * 300), crash);
    }
    assert!(is_quarantined(&quarantine, &[request(u64::MAX)]));
}

#[test]
fn findings_of_parts_keep_their_published_form() {
    let survival = SurvivalReport {
        property: OTHER,
        seen_at: at(0),
    };
    let findings = EntryFindings {
        as_of: at(7),
        crashes: vec![crash("e1", 0, &[BAD, BAD_REQUEST])],
        survivals: vec![survival],
    };
    let text = serde_json::to_string_pretty(&findings).expect("findings are JSON");
    insta::assert_snapshot!(text);
    let read: EntryFindings = serde_json::from_str(&text).expect("the text is findings");
    assert_eq!(read, findings);
}

#[test]
fn findings_that_arrive_late_do_not_replace_newer_ones() {
    let mut entry = CallQuarantine::default();
    record_crashes(&mut entry, 0, &[&[BAD]; 2]);
    let older = entry.findings().clone();
    // The wall clock of the entry is set back by two seconds before the third crash.
    let third = crash("e3", 900, &[BAD]);
    entry.record_crash(at(0), third);
    let newer = entry.findings().clone();
    assert!(older.as_of < newer.as_of);
    let mut peer = CallQuarantine::default();
    peer.apply(at(1_000), [("a".to_owned(), newer)]);
    assert!(is_quarantined(&peer, &[BAD]));
    peer.apply(at(1_100), [("a".to_owned(), older)]);
    assert!(is_quarantined(&peer, &[BAD]));
}

#[test]
fn a_restarted_entry_whose_clock_was_set_back_replaces_what_it_had_published() {
    let mut before = CallQuarantine::default();
    record_crashes(&mut before, 60_000, &[&[BAD]; 2]);
    let published = before.findings().clone();
    let mut after = CallQuarantine::default();
    after.adopt(at(1_000), published.clone());
    after.record_crash(at(2_000), crash("e9", 61_500, &[BAD]));
    assert!(published.as_of < after.findings().as_of);
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
#[case::three_entries(3, 9, 12, BadCalls::Part)]
#[case::sixty_eight_entries(68, 120, 8, BadCalls::Part)]
#[case::four_hundred_entries(400, 300, 2, BadCalls::Part)]
#[case::a_request_at_three_entries(3, 3, 40, BadCalls::Request)]
#[case::a_request_at_sixty_eight_entries(68, 6, 20, BadCalls::Request)]
#[case::a_request_at_four_hundred_entries(400, 300, 2, BadCalls::Request)]
fn the_fleet_stops_calls_that_crash_engines(
    #[case] entries: usize,
    #[case] engines: usize,
    #[case] seeds: u64,
    #[case] bad: BadCalls,
) {
    for seed in 0..seeds {
        let plan = FleetPlan {
            entries,
            engines,
            faults: true,
            cut_off: 0,
            bad,
        };
        assert_kept(&fleet::play(plan, Exchange::Store, seed), seed);
    }
}

#[rstest]
#[case::one_of_three(3, 9, 1, BadCalls::Part, Exchange::Store)]
#[case::a_third_of_many(69, 120, 23, BadCalls::Part, Exchange::Store)]
#[case::a_third_of_some(30, 60, 11, BadCalls::Part, Exchange::Store)]
#[case::most(30, 60, 24, BadCalls::Part, Exchange::StoreAndAgent)]
#[case::a_request_and_one_of_three(3, 3, 1, BadCalls::Request, Exchange::Store)]
#[case::a_request_and_a_third(30, 60, 11, BadCalls::Request, Exchange::Store)]
#[case::a_request_and_most(30, 60, 24, BadCalls::Request, Exchange::StoreAndAgent)]
#[case::a_request_and_all_but_two(68, 6, 66, BadCalls::Request, Exchange::StoreAndAgent)]
fn entries_that_reach_the_store_stop_such_calls_although_others_do_not(
    #[case] entries: usize,
    #[case] engines: usize,
    #[case] cut_off: usize,
    #[case] bad: BadCalls,
    #[case] exchange: Exchange,
) {
    for seed in 0..12 {
        let plan = FleetPlan {
            entries,
            engines,
            faults: true,
            cut_off,
            bad,
        };
        assert_kept(&fleet::play(plan, exchange, seed), seed);
    }
}

#[rstest]
#[case::a_part(BadCalls::Part)]
#[case::a_request(BadCalls::Request)]
fn entries_that_keep_their_findings_to_themselves_go_on_crashing_engines(#[case] bad: BadCalls) {
    let plan = FleetPlan {
        entries: 68,
        engines: 120,
        faults: false,
        cut_off: 0,
        bad,
    };
    let result = fleet::play(plan, Exchange::None, 1);
    assert!(result.late_sends > 3, "{result:?}");
}

/// The time that passes between two steps of a fleet.
pub const STEP: Duration = Duration::from_millis(100);
