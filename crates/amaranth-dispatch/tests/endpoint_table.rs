//! Tests of the endpoint table: announcements out of order, removals, ejection and usage reports.

mod support;

use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::endpoint_table::{
    EndpointChange, EndpointOutcome, EndpointRecord, EndpointTable, RegistryEvent,
};
use rstest::rstest;

use support::{announce, engine, name, view};

const NOW: Timestamp = Timestamp::from_millis(10_000);

fn apply_announcement(table: &mut EndpointTable, record: EndpointRecord) -> EndpointChange {
    table.apply(RegistryEvent::Announced(Box::new(record)))
}

fn table_of(count: usize) -> EndpointTable {
    let mut table = EndpointTable::default();
    for index in 0..count {
        announce(&mut table, engine(&format!("e{index}"), "a1", &[]));
    }
    table
}

fn ids(range: std::ops::Range<usize>) -> Vec<EndpointId> {
    range.map(|index| name(&format!("e{index}"))).collect()
}

#[test]
fn a_model_is_loading_while_no_engine_holds_it_and_an_agent_is_reachable() {
    let (service, model) = (name("llm"), name("m"));
    let mut table = EndpointTable::default();
    let mut empty = engine("e1", "a1", &[]);
    empty.contents.models.clear();
    announce(&mut table, empty);
    assert!(
        !table.is_loading_model(&service, &model),
        "no agent can have the model loaded"
    );
    let mut published = view(&[]);
    published.contents.models.clear();
    table.record_view(Timestamp::from_millis(1), &name("e1"), published);
    assert!(table.is_loading_model(&service, &model));
    announce(&mut table, engine("e2", "a1", &[]));
    assert!(
        !table.is_loading_model(&service, &model),
        "another engine holds the model"
    );
}

#[test]
fn an_older_announcement_of_the_same_incarnation_changes_nothing() {
    let mut table = EndpointTable::default();
    let mut newest = engine("e", "a1", &["a"]);
    newest.sequence = 5;
    newest.draining = true;
    assert_eq!(
        apply_announcement(&mut table, newest),
        EndpointChange::Draining
    );
    let older = engine("e", "a1", &[]);
    assert_eq!(
        apply_announcement(&mut table, older),
        EndpointChange::Unchanged
    );
    let state = table.get(&name("e")).expect("the endpoint is in the table");
    assert!(!state.is_accepting());
    assert_eq!(state.contents().adapters.len(), 1);
}

#[test]
fn a_draining_endpoint_accepts_no_calls_until_it_restarts() {
    let mut table = table_of(1);
    let mut draining = engine("e0", "a1", &[]);
    draining.draining = true;
    draining.sequence = 2;
    assert_eq!(
        apply_announcement(&mut table, draining),
        EndpointChange::Draining
    );
    let mut back = engine("e0", "a1", &[]);
    back.sequence = 3;
    apply_announcement(&mut table, back.clone());
    assert!(
        !table
            .get(&name("e0"))
            .expect("the endpoint is in the table")
            .is_accepting()
    );
    back.started_ms = Some(2);
    back.sequence = 1;
    assert_eq!(
        apply_announcement(&mut table, back),
        EndpointChange::Restarted
    );
    assert!(
        table
            .get(&name("e0"))
            .expect("the endpoint is in the table")
            .is_accepting()
    );
}

#[test]
fn an_announcement_of_an_earlier_incarnation_changes_nothing() {
    let mut table = EndpointTable::default();
    let mut second = engine("e", "a1", &[]);
    second.started_ms = Some(9);
    apply_announcement(&mut table, second);
    let mut first = engine("e", "a1", &["a"]);
    first.started_ms = Some(3);
    first.sequence = 99;
    assert_eq!(
        apply_announcement(&mut table, first),
        EndpointChange::Unchanged
    );
    assert!(
        table
            .get(&name("e"))
            .expect("the endpoint is in the table")
            .contents()
            .adapters
            .is_empty()
    );
}

#[test]
fn a_late_announcement_does_not_restore_a_removed_endpoint() {
    let mut table = EndpointTable::default();
    let mut last = engine("e", "a1", &[]);
    last.sequence = 8;
    apply_announcement(&mut table, last);
    assert_eq!(
        table.apply(RegistryEvent::Removed(name("e"))),
        EndpointChange::Removed
    );
    let mut late = engine("e", "a1", &[]);
    late.sequence = 7;
    assert_eq!(
        apply_announcement(&mut table, late),
        EndpointChange::Unchanged
    );
    assert!(table.is_empty());
}

#[test]
fn a_single_removal_is_applied_at_once() {
    let mut table = table_of(6);
    let changes = table.remove_batch(NOW, &ids(0..1));
    assert_eq!(changes, vec![(name("e0"), EndpointChange::Removed)]);
    assert_eq!(table.len(), 5);
}

#[test]
fn many_removals_at_once_are_delayed_until_endpoints_can_return() {
    let mut table = table_of(6);
    let changes = table.remove_batch(NOW, &ids(0..4));
    assert!(
        changes
            .iter()
            .all(|(_, change)| *change == EndpointChange::RemovalDelayed)
    );
    assert_eq!(table.len(), 6);
    let mut back = engine("e0", "a1", &[]);
    back.sequence = 2;
    apply_announcement(&mut table, back);
    let expired = table.expire(NOW + Duration::from_secs(2));
    assert_eq!(expired, ids(1..4));
    assert!(table.get(&name("e0")).is_some());
}

#[test]
fn a_delayed_removal_is_due_before_the_bound_on_calls_to_removed_endpoints() {
    // Calls may be sent to a removed endpoint for 2.5 s; a read of the registry takes up to 1 s of
    // them.
    let mut table = table_of(3);
    table.remove_batch(NOW, &ids(0..3));
    assert_eq!(table.expire(NOW + Duration::from_millis(1_400)).len(), 3);
}

#[test]
fn a_complete_list_replaces_the_known_endpoints() {
    let mut table = table_of(6);
    let kept: Vec<EndpointRecord> = (1..6)
        .map(|index| engine(&format!("e{index}"), "a1", &[]))
        .chain([engine("new", "a1", &[])])
        .collect();
    let changes = table.replace(NOW, kept);
    assert_eq!(
        changes,
        vec![
            (name("e0"), EndpointChange::Removed),
            (name("new"), EndpointChange::Joined)
        ]
    );
}

#[test]
fn a_usage_report_includes_adapters_whose_use_ended_since_the_last_report() {
    let mut table = table_of(1);
    let id = name("e0");
    let (model, adapter) = (name("m"), name("a"));
    assert!(table.begin_call(&id, Some((&model, &adapter))));
    assert!(!table.begin_call(&id, Some((&model, &adapter))));
    let usage = table.take_usage("entry", &id);
    assert_eq!((usage.calls, usage.adapters[0].calls), (2, 2));
    for _ in 0..2 {
        table.end_call(
            NOW,
            &id,
            Some((&model, &adapter)),
            EndpointOutcome::Succeeded,
        );
    }
    assert!(table.begin_call(&id, Some((&model, &adapter))));
    table.end_call(
        NOW,
        &id,
        Some((&model, &adapter)),
        EndpointOutcome::Succeeded,
    );
    let usage = table.take_usage("entry", &id);
    assert_eq!(
        (usage.calls, usage.adapters.len(), usage.adapters[0].calls),
        (0, 1, 0)
    );
    assert!(table.take_usage("entry", &id).adapters.is_empty());
}

#[rstest]
#[case::one_failure(1, false)]
#[case::two_failures(2, true)]
fn an_endpoint_is_ejected_after_consecutive_failures(#[case] failures: u32, #[case] ejected: bool) {
    let mut table = table_of(1);
    for _ in 0..failures {
        table.end_call(NOW, &name("e0"), None, EndpointOutcome::Failed);
    }
    let state = table
        .get(&name("e0"))
        .expect("the endpoint is in the table");
    assert_eq!(state.is_ejected(NOW), ejected);
    assert!(!state.is_ejected(NOW + Duration::from_secs(1)));
}

fn at_address(id: &str, port: u16, started_ms: u64) -> EndpointRecord {
    let mut record = engine(id, "a1", &[]);
    record.address.set_port(port);
    record.started_ms = Some(started_ms);
    record
}

/// After a power loss of all VMs, the registry lists each endpoint's previous incarnation beside
/// its new one.
#[test]
fn a_later_incarnation_at_an_address_removes_the_earlier_one() {
    let mut table = EndpointTable::default();
    apply_announcement(&mut table, at_address("old", 1, 100));
    apply_announcement(&mut table, at_address("other", 2, 100));
    apply_announcement(&mut table, at_address("new", 1, 200));
    assert!(table.get(&name("old")).is_none());
    assert_eq!(
        apply_announcement(&mut table, at_address("old", 1, 100)),
        EndpointChange::Unchanged
    );
    let late = EndpointRecord {
        sequence: 99,
        ..at_address("old", 1, 100)
    };
    assert_eq!(
        apply_announcement(&mut table, late),
        EndpointChange::Unchanged
    );
    assert_eq!(table.len(), 2);
}

#[test]
fn an_endpoint_at_whose_address_another_answers_is_removed() {
    let mut table = EndpointTable::default();
    apply_announcement(&mut table, at_address("old", 1, 100));
    assert_eq!(table.record_replaced(&name("old")), EndpointChange::Removed);
    assert_eq!(
        apply_announcement(&mut table, at_address("old", 1, 100)),
        EndpointChange::Unchanged
    );
    assert!(table.is_empty());
}

#[test]
fn endpoints_that_a_restored_registry_lacks_stay_until_they_could_have_announced_themselves() {
    let mut table = table_of(12);
    let listed: Vec<EndpointRecord> = (0..11)
        .map(|index| engine(&format!("e{index}"), "a1", &[]))
        .collect();
    let changes = table.restore(NOW, listed);
    let missing: EndpointId = name("e11");
    assert_eq!(
        changes,
        vec![(missing.clone(), EndpointChange::RemovalDelayed)],
        "one missing endpoint is not removed at once either"
    );
    assert!(table.expire(NOW + Duration::from_millis(1_900)).is_empty());
    assert!(
        table
            .get(&missing)
            .is_some_and(|state| state.may_get_calls(NOW))
    );
    assert_eq!(
        table.expire(NOW + Duration::from_millis(2_100)),
        vec![missing]
    );
}

#[test]
fn a_second_complete_list_after_a_restoration_does_not_hasten_the_removal() {
    let mut table = table_of(12);
    let listed: Vec<EndpointRecord> = (0..11)
        .map(|index| engine(&format!("e{index}"), "a1", &[]))
        .collect();
    table.restore(NOW, listed.clone());
    let changes = table.replace(NOW + Duration::from_millis(500), listed);
    assert_eq!(changes, vec![]);
    let missing: EndpointId = name("e11");
    assert!(table.get(&missing).is_some());
    assert_eq!(
        table.expire(NOW + Duration::from_millis(2_100)),
        vec![missing]
    );
}

#[test]
fn an_endpoint_that_announces_itself_again_after_a_restoration_stays() {
    let mut table = table_of(2);
    table.restore(NOW, vec![engine("e0", "a1", &[])]);
    let mut again = engine("e1", "a1", &[]);
    again.sequence = 9;
    apply_announcement(&mut table, again);
    assert!(table.expire(NOW + Duration::from_secs(9)).is_empty());
}

#[test]
fn an_endpoint_that_the_copy_calls_ready_stays_leaving() {
    let mut table = table_of(2);
    let mut draining = engine("e0", "a1", &[]);
    draining.draining = true;
    draining.sequence = 6;
    apply_announcement(&mut table, draining);
    table.record_leaving(&name("e1"));
    let changes = table.restore(NOW, vec![engine("e0", "a1", &[]), engine("e1", "a1", &[])]);
    assert_eq!(changes, vec![]);
    for id in ids(0..2) {
        let state = table.get(&id).expect("the endpoint is in the table");
        assert!(!state.is_accepting(), "{id}");
    }
}

#[test]
fn an_endpoint_that_was_removed_is_not_revived_by_an_older_copy() {
    let mut table = table_of(2);
    table.apply(RegistryEvent::Removed(name("e0")));
    let changes = table.restore(NOW, vec![engine("e0", "a1", &[]), engine("e1", "a1", &[])]);
    assert_eq!(changes, vec![]);
    assert!(table.get(&name("e0")).is_none());
}
