//! How records of the log are ruled.

use amaranth_config::catalogue::ConfigEdit;
use amaranth_config::change::{ChangeOrigin, ConfigChange};
use amaranth_config::deletions::MAX_DELETIONS;
use amaranth_config::entries::{ConfigEntry, ConfigKey};
use amaranth_config::folder::{ConfigSet, SourceDocument, merge};
use amaranth_config::history::{ConfigHistory, RecordVerdict, RefusalReason};
use amaranth_core::ids::{ConfigRevision, LogOffset};
use bytes::Bytes;
use rstest::rstest;

fn folder(text: &str) -> ConfigSet {
    merge(&[SourceDocument::new("10.toml", text)]).expect("the folder is valid")
}

fn origin(author: &str) -> ChangeOrigin {
    ChangeOrigin {
        author: author.parse().expect("the author is valid"),
        stated_at_ms: 0,
    }
}

fn record(history: &ConfigHistory, set: &ConfigSet, author: &str) -> Bytes {
    ConfigChange::between(&history.catalogue(), set, origin(author))
        .into_record()
        .expect("the record is small")
}

fn append(history: &mut ConfigHistory, record: &[u8]) -> RecordVerdict {
    let offset = history.next_offset();
    history.apply_record(offset, record)
}

const ONE: &str = "[models.m]\n[adapters.a]\nbase = \"m\"\nversions = [1]\n";
const TWO: &str = "[models.m]\n[adapters.a]\nbase = \"m\"\nversions = [1, 2]\n";
const NONE: &str = "[models.m]\n";

#[rstest]
fn accepts_a_change() {
    let mut history = ConfigHistory::open();
    let change = record(&history, &folder(ONE), "aiko");
    let verdict = append(&mut history, &change);
    assert!(matches!(verdict, RecordVerdict::Accepted(_)), "{verdict:?}");
    assert_eq!(history.revision(), ConfigRevision(1));
    assert_eq!(history.catalogue().adapter_count(), 1);
}

#[rstest]
fn racing_operators_get_one_winner_and_the_keys() {
    let mut history = ConfigHistory::open();
    let base = record(&history, &folder(ONE), "aiko");
    append(&mut history, &base);
    let winner = record(&history, &folder(TWO), "aiko");
    let loser = record(&history, &folder(NONE), "radu");
    assert!(matches!(
        append(&mut history, &winner),
        RecordVerdict::Accepted(_)
    ));
    let RecordVerdict::Refused(refused) = append(&mut history, &loser) else {
        panic!("the second change is refused");
    };
    let RefusalReason::Conflict(keys) = refused.reason else {
        panic!("it is a conflict");
    };
    assert_eq!(keys[0].to_string(), "adapters.a");
    assert_eq!(history.revision(), ConfigRevision(2));
}

#[rstest]
fn a_duplicate_does_not_bring_a_removed_adapter_back() {
    let mut history = ConfigHistory::open();
    let added = record(&history, &folder(ONE), "aiko");
    append(&mut history, &added);
    let removed = record(&history, &folder(NONE), "aiko");
    append(&mut history, &removed);
    let verdict = append(&mut history, &added);
    assert!(
        matches!(verdict, RecordVerdict::Duplicate { .. }),
        "{verdict:?}"
    );
    assert_eq!(history.catalogue().adapter_count(), 0);
}

#[rstest]
fn a_record_is_ruled_once() {
    let mut history = ConfigHistory::open();
    let change = record(&history, &folder(ONE), "aiko");
    append(&mut history, &change);
    assert_eq!(
        history.apply_record(LogOffset(0), &change),
        RecordVerdict::Passed
    );
}

const USED: &str = "[models.m]\n[models.n]\n\
    [adapters.a]\nbase = \"m\"\nversions = [1, 2]\n\
    [rules.pinned]\nmodel = \"x\"\nuse = \"a@1\"\n\
    [rules.chained]\nmodel = \"y\"\nuse = \"x\"\n";

fn put(text: &str) -> Vec<ConfigEdit> {
    let set = folder(text);
    let last = set.entries().last().expect("the folder holds an entry");
    vec![ConfigEdit::Put(last.clone())]
}

fn remove(key: ConfigKey) -> Vec<ConfigEdit> {
    vec![ConfigEdit::Remove(key)]
}

fn adapter_key(name: &str) -> ConfigKey {
    ConfigKey::Adapter(name.parse().expect("the name is valid"))
}

fn model_key(name: &str) -> ConfigKey {
    ConfigKey::Model(name.parse().expect("the name is valid"))
}

fn rule_key(name: &str) -> ConfigKey {
    ConfigKey::Rule(name.parse().expect("the name is valid"))
}

/// Applies `edits` made against `base` after [`USED`], and returns why they are refused.
fn refusal(edits: Vec<ConfigEdit>, base: u64) -> String {
    let mut history = ConfigHistory::open();
    let used = record(&history, &folder(USED), "aiko");
    append(&mut history, &used);
    let before: Vec<_> = history.catalogue().entries().collect();
    let change = ConfigChange {
        origin: origin("radu"),
        base: ConfigRevision(base),
        edits,
    };
    let record = change.into_record().expect("the record is small");
    let RecordVerdict::Refused(refused) = append(&mut history, &record) else {
        panic!("the change is refused");
    };
    assert_eq!(history.revision(), ConfigRevision(1));
    assert_eq!(history.catalogue().entries().collect::<Vec<_>>(), before);
    refused.reason.to_string()
}

#[rstest]
#[case::used_adapter(
    remove(adapter_key("a")),
    "adapters.a is used by rules.pinned and can't be removed"
)]
#[case::used_version(
    put("[models.m]\n[adapters.a]\nbase = \"m\"\nversions = [2]\n"),
    "adapters.a is used by rules.pinned and can't be removed"
)]
#[case::used_base(
    remove(model_key("m")),
    "models.m is the base of 1 adapters and can't be removed"
)]
#[case::used_rule(
    remove(rule_key("pinned")),
    "rules.pinned is used by rules.chained and can't be removed"
)]
#[case::absent(
    remove(adapter_key("b")),
    "adapters.b does not exist and can't be removed"
)]
#[case::name_of_rule(
    put("[models.y]\n"),
    "models.y has a name that rules.chained also uses"
)]
#[case::cycle(
    retargeted("[models.m]\n[rules.pinned]\nmodel = \"x\"\nuse = \"m\"\n", "y"),
    "rules.pinned is part of a cycle: x -> y -> x"
)]
#[case::twice(
    [remove(model_key("n")), remove(model_key("n"))].concat(),
    "models.n is edited twice in one change"
)]
#[case::empty(Vec::new(), "it edits nothing")]
fn refuses_and_changes_nothing(#[case] edits: Vec<ConfigEdit>, #[case] reason: &str) {
    assert_eq!(refusal(edits, 1), reason);
}

/// Puts the last rule of `text` with another target.
fn retargeted(text: &str, target: &str) -> Vec<ConfigEdit> {
    let mut edits = put(text);
    if let [ConfigEdit::Put(ConfigEntry::Rule(rule))] = &mut edits[..] {
        rule.targets[0].name = target.parse().expect("the target is valid");
    }
    edits
}

#[rstest]
#[case::old_base(0, "another change was first: models.n")]
#[case::future_base(2, "it was made against a revision that does not exist")]
fn refuses_by_base(#[case] base: u64, #[case] reason: &str) {
    assert_eq!(refusal(remove(model_key("n")), base), reason);
}

#[rstest]
fn a_change_from_before_forgotten_deletions_is_too_old() {
    let mut history = ConfigHistory::open();
    let count = MAX_DELETIONS + 1;
    let many = format!(
        "[models.m]\n[adapter-sets.s]\nnames = \"s-{{1..{count}}}\"\nbase = \"m\"\nversions = [1]\n"
    );
    let added = record(&history, &folder(&many), "aiko");
    append(&mut history, &added);
    let stale = record(&history, &folder(&format!("{many}[models.n]\n")), "radu");
    let removed = record(&history, &folder(NONE), "aiko");
    append(&mut history, &removed);
    let RecordVerdict::Refused(refused) = append(&mut history, &stale) else {
        panic!("the change is refused");
    };
    assert_eq!(refused.reason, RefusalReason::TooOld(ConfigRevision(2)));
}
