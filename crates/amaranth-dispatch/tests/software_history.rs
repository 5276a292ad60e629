//! Tests of the history of software versions: when a service is known to have had one version only.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranth_core::ids::{ServiceName, SoftwareVersion};
use amaranth_core::time::{Timestamp, WallTime};
use amaranth_dispatch::software_history::{
    ListedVersion, RememberedVersion, SoftwareHistory, StoredVersions,
};
use amaranth_dispatch::stream_origins::ORIGIN_TIME;
use proptest::prelude::{Just, ProptestConfig, Strategy, prop_assert, prop_oneof, proptest};
use rstest::rstest;

const NOW: Timestamp = Timestamp::from_millis(10_000_000);
const WALL_NOW: WallTime = WallTime::from_millis(1_700_000_000_000);

fn service() -> ServiceName {
    "s".parse().expect("the name is valid")
}

fn version(text: &str) -> SoftwareVersion {
    text.parse().expect("any text is a version")
}

fn remembered(software: &str, removed_at: Option<WallTime>) -> RememberedVersion {
    RememberedVersion {
        service: service(),
        software: version(software),
        removed_at,
    }
}

/// Returns what a store shows that lists and remembers these versions.
fn stored(listed: &[&str], remembered: &[RememberedVersion]) -> StoredVersions {
    let listed = listed.iter().map(|software| ListedVersion {
        service: service(),
        software: version(software),
    });
    StoredVersions {
        listed: listed.collect(),
        remembered: remembered.to_vec(),
    }
}

fn listing(versions: &[&str]) -> SoftwareHistory {
    let mut history = SoftwareHistory::default();
    record(&mut history, NOW, versions);
    history
}

fn record(history: &mut SoftwareHistory, now: Timestamp, versions: &[&str]) -> bool {
    let service = service();
    let versions: Vec<SoftwareVersion> = versions.iter().map(|text| version(text)).collect();
    let listed = versions.iter().map(|software| (&service, software));
    history.record(now, WALL_NOW + now.since(NOW), listed)
}

#[rstest]
#[case::nothing_is_remembered(&["v1"], &[], None)]
#[case::the_same_version_is_remembered(&["v1"], &[("v1", None)], Some("v1"))]
#[case::another_version_is_listed(&["v1", "v2"], &[("v1", None)], None)]
#[case::another_version_is_remembered(&["v2"], &[("v1", None), ("v2", None)], None)]
#[case::only_another_version_is_remembered(&["v2"], &[("v1", None)], None)]
#[case::another_version_left_just_now(&["v2"], &[("v1", Some(1_000)), ("v2", None)], None)]
#[case::another_version_left_long_ago(&["v2"], &[("v1", Some(120_000)), ("v2", None)], Some("v2"))]
#[case::another_version_left_in_the_future(&["v2"], &[("v1", Some(-5_000)), ("v2", None)], None)]
#[case::no_endpoint_is_listed(&[], &[("v1", None)], Some("v1"))]
fn a_service_had_one_version_only_if_neither_entry_nor_store_knows_another(
    #[case] listed: &[&str],
    #[case] known: &[(&str, Option<i64>)],
    #[case] only: Option<&str>,
) {
    let history = listing(listed);
    let known: Vec<RememberedVersion> = known
        .iter()
        .map(|(software, age_ms)| {
            let removed_at = age_ms.map(|age| {
                let now = i64::try_from(WALL_NOW.as_millis()).expect("the time is in range");
                WallTime::from_millis(u64::try_from(now - age).expect("the time is in range"))
            });
            remembered(software, removed_at)
        })
        .collect();
    let found = history.only_version(WALL_NOW, &service(), &stored(&[], &known));
    assert_eq!(found, only.map(version));
}

#[test]
fn versions_of_other_services_do_not_count() {
    let history = listing(&["v1"]);
    let other = RememberedVersion {
        service: "t".parse().expect("the name is valid"),
        ..remembered("v2", None)
    };
    let known = [remembered("v1", None), other.clone()];
    let found = history.only_version(WALL_NOW, &service(), &stored(&[], &known));
    assert_eq!(found, Some(version("v1")));
    assert_eq!(
        history.only_version(WALL_NOW, &service(), &stored(&[], &[other])),
        None
    );
}

#[test]
fn a_version_is_published_when_it_comes_and_when_its_last_endpoint_leaves() {
    let mut history = listing(&["v1", "v1"]);
    assert_eq!(history.take_unpublished(), [remembered("v1", None)]);
    assert!(!record(&mut history, NOW, &["v1"]), "nothing changed");
    let later = NOW + Duration::from_secs(1);
    assert!(record(&mut history, later, &["v2"]));
    let removed_at = Some(WALL_NOW + Duration::from_secs(1));
    let published = history.take_unpublished();
    assert_eq!(
        published,
        [remembered("v1", removed_at), remembered("v2", None)]
    );
    history.restore_unpublished(published.clone());
    assert_eq!(
        history.take_unpublished(),
        published,
        "publication is tried again"
    );
    assert!(record(&mut history, later, &["v1", "v2"]));
    assert_eq!(history.take_unpublished(), [remembered("v1", None)]);
}

#[test]
fn a_version_that_left_while_all_entries_were_down_is_published_as_removed() {
    let mut history = listing(&["v2"]);
    history.take_unpublished();
    let known = [remembered("v1", None), remembered("v2", None)];
    history.adopt(WALL_NOW, &stored(&["v2"], &known));
    assert_eq!(
        history.take_unpublished(),
        [remembered("v1", Some(WALL_NOW))]
    );
}

#[test]
fn listed_versions_are_published_again_after_the_store_lost_records() {
    let mut history = listing(&["v1", "v2"]);
    record(&mut history, NOW, &["v2"]);
    history.take_unpublished();
    history.publish_again();
    assert_eq!(history.take_unpublished(), [remembered("v2", None)]);
}

#[test]
fn remembered_versions_have_this_text_form() {
    let listed = serde_json::to_string(&remembered("v1", None)).expect("a version is encoded");
    assert_eq!(listed, r#"{"service":"s","software":"v1"}"#);
    let removed = remembered("v1", Some(WallTime::from_millis(5)));
    let text = serde_json::to_string(&removed).expect("a version is encoded");
    assert_eq!(text, r#"{"service":"s","software":"v1","removed_at":5}"#);
    let decoded: RememberedVersion = serde_json::from_str(&text).expect("the text is valid");
    assert_eq!(decoded, removed);
}

/// Guards against a version that stays marked as removed: another entry saw it leave, and it came back
/// before this entry read the registry again.
#[test]
fn a_listed_version_that_the_store_takes_for_removed_is_published_again() {
    let mut history = listing(&["v1"]);
    history.take_unpublished();
    assert!(!record(
        &mut history,
        NOW + Duration::from_secs(11),
        &["v1"]
    ));
    let known = [remembered("v1", Some(WALL_NOW))];
    history.adopt(WALL_NOW, &stored(&["v1"], &known));
    assert_eq!(history.take_unpublished(), [remembered("v1", None)]);
}

/// Guards against an entry that is out of step and marks a version that has joined as removed.
#[test]
fn a_version_that_the_registry_lists_is_not_published_as_removed() {
    let mut history = listing(&["v1"]);
    history.take_unpublished();
    let known = [remembered("v1", None), remembered("v2", None)];
    history.adopt(WALL_NOW, &stored(&["v1", "v2"], &known));
    assert_eq!(history.take_unpublished(), []);
}

/// A step in the life of a fleet.
#[derive(Debug, Clone, Copy)]
enum FleetStep {
    /// Another version is in service beside the others.
    Add(u8),
    /// The last endpoint of a version leaves.
    Remove(u8),
    /// An entry reads the registry and publishes what it saw.
    Read(usize),
    /// An entry reads the registry, and its notes do not reach the store yet.
    ReadUnpublished(usize),
    /// All entries end and start again.
    RestartAll,
    /// Time passes, in seconds.
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<FleetStep>> {
    let step = prop_oneof![
        (0..4_u8).prop_map(FleetStep::Add),
        (0..4_u8).prop_map(FleetStep::Remove),
        (0..3_usize).prop_map(FleetStep::Read),
        (0..3_usize).prop_map(FleetStep::ReadUnpublished),
        Just(FleetStep::RestartAll),
        (1..90_u64).prop_map(FleetStep::Wait),
    ];
    proptest::collection::vec(step, 1..40)
}

/// Entries with their store, and when each version was last seen by any entry.
#[derive(Debug, Default)]
struct Fleet {
    entries: [SoftwareHistory; 3],
    store: BTreeMap<SoftwareVersion, RememberedVersion>,
    listed: Vec<u8>,
    seconds: u64,
    last_seen: BTreeMap<u8, u64>,
    last_noted: BTreeMap<u8, u64>,
}

impl Fleet {
    fn now(&self) -> (Timestamp, WallTime) {
        let elapsed = Duration::from_secs(self.seconds);
        (NOW + elapsed, WALL_NOW + elapsed)
    }

    fn step(&mut self, step: FleetStep) {
        match step {
            FleetStep::Add(number) if !self.listed.contains(&number) => self.listed.push(number),
            FleetStep::Add(_) => {}
            FleetStep::Remove(number) => self.listed.retain(|known| *known != number),
            FleetStep::RestartAll => self.entries = Default::default(),
            FleetStep::Wait(seconds) => self.seconds += seconds,
            FleetStep::Read(index) => self.read(index, true),
            FleetStep::ReadUnpublished(index) => self.read(index, false),
        }
    }

    /// Returns what the store shows.
    fn stored(&self) -> StoredVersions {
        let names: Vec<String> = self
            .listed
            .iter()
            .map(|number| format!("v{number}"))
            .collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let remembered: Vec<RememberedVersion> = self.store.values().cloned().collect();
        stored(&names, &remembered)
    }

    /// Lets an entry read the registry. Its calls may begin streams at all listed versions until then,
    /// and at those that it knew before.
    fn read(&mut self, index: usize, publishes: bool) {
        let (now, wall_now) = self.now();
        let stored = self.stored();
        let listed = stored
            .listed
            .iter()
            .map(|version| (&version.service, &version.software));
        let entry = &mut self.entries[index];
        entry.record(now, wall_now, listed);
        entry.adopt(wall_now, &stored);
        for number in &self.listed {
            self.last_seen.insert(*number, self.seconds);
        }
        if !publishes {
            return;
        }
        for published in entry.take_unpublished() {
            self.store.insert(published.software.clone(), published);
        }
        for number in &self.listed {
            self.last_noted.insert(*number, self.seconds);
        }
    }

    /// Returns the versions at which a stream that is taken up now may have begun. Those that left before
    /// any note of them reached the store are not known to anybody.
    fn possible_origins(&self) -> Vec<SoftwareVersion> {
        let seen = self.last_seen.keys();
        let known = seen.filter(|number| {
            let noted = self.last_noted.get(number);
            let is_noted = noted.is_some_and(|noted| self.seconds - noted < ORIGIN_TIME.as_secs());
            is_noted || self.listed.contains(number)
        });
        known.map(|number| version(&format!("v{number}"))).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a stream that goes on at another version than the one that began it.
    #[test]
    fn an_only_version_is_the_only_one_that_any_entry_saw_while_a_stream_may_have_begun(
        history in steps(),
        index in 0..3_usize,
    ) {
        let mut fleet = Fleet::default();
        for step in history {
            fleet.step(step);
        }
        let (_, wall_now) = fleet.now();
        let only = fleet.entries[index].only_version(wall_now, &service(), &fleet.stored());
        if let Some(only) = only {
            let origins = fleet.possible_origins();
            prop_assert!(origins.iter().all(|origin| *origin == only), "{only} of {origins:?}");
        }
    }
}
