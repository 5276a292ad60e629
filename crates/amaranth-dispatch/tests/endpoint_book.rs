//! The book of endpoints: announcements out of order, removals, and what agents are told.

mod support;

use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_core::time::Timestamp;
use amaranth_dispatch::endpoint_book::{
    BookChange, EndpointBook, EndpointOutcome, EndpointRecord, RegistryEvent,
};
use rstest::rstest;

use support::{announce, engine, name, view};

const NOW: Timestamp = Timestamp::from_millis(10_000);

fn announced(book: &mut EndpointBook, record: EndpointRecord) -> BookChange {
    book.apply(RegistryEvent::Announced(Box::new(record)))
}

fn book_of(count: usize) -> EndpointBook {
    let mut book = EndpointBook::default();
    for index in 0..count {
        announce(&mut book, engine(&format!("e{index}"), "a1", &[]));
    }
    book
}

fn ids(range: std::ops::Range<usize>) -> Vec<EndpointId> {
    range.map(|index| name(&format!("e{index}"))).collect()
}

#[test]
fn a_model_is_coming_while_no_engine_holds_it_and_some_agent_is_there() {
    let (service, model) = (name("llm"), name("m"));
    let mut book = EndpointBook::default();
    let mut empty = engine("e1", "a1", &[]);
    empty.contents.models.clear();
    announce(&mut book, empty);
    assert!(
        !book.is_model_coming(&service, &model),
        "nobody can load it"
    );
    let mut told = view(&[]);
    told.contents.models.clear();
    book.take_view(Timestamp::from_millis(1), &name("e1"), told);
    assert!(book.is_model_coming(&service, &model));
    announce(&mut book, engine("e2", "a1", &[]));
    assert!(
        !book.is_model_coming(&service, &model),
        "another engine holds it"
    );
}

#[test]
fn an_older_announcement_of_the_same_start_changes_nothing() {
    let mut book = EndpointBook::default();
    let mut newest = engine("e", "a1", &["a"]);
    newest.sequence = 5;
    newest.leaving = true;
    assert_eq!(announced(&mut book, newest), BookChange::Leaving);
    let older = engine("e", "a1", &[]);
    assert_eq!(announced(&mut book, older), BookChange::Unchanged);
    let state = book.get(&name("e")).expect("known");
    assert!(!state.is_open());
    assert_eq!(state.contents().adapters.len(), 1);
}

#[test]
fn an_endpoint_that_began_to_leave_stays_closed_until_it_starts_again() {
    let mut book = book_of(1);
    let mut leaving = engine("e0", "a1", &[]);
    leaving.leaving = true;
    leaving.sequence = 2;
    assert_eq!(announced(&mut book, leaving), BookChange::Leaving);
    let mut back = engine("e0", "a1", &[]);
    back.sequence = 3;
    announced(&mut book, back.clone());
    assert!(!book.get(&name("e0")).expect("known").is_open());
    back.started_ms = Some(2);
    back.sequence = 1;
    assert_eq!(announced(&mut book, back), BookChange::Restarted);
    assert!(book.get(&name("e0")).expect("known").is_open());
}

#[test]
fn an_announcement_of_an_earlier_start_changes_nothing() {
    let mut book = EndpointBook::default();
    let mut second = engine("e", "a1", &[]);
    second.started_ms = Some(9);
    announced(&mut book, second);
    let mut first = engine("e", "a1", &["a"]);
    first.started_ms = Some(3);
    first.sequence = 99;
    assert_eq!(announced(&mut book, first), BookChange::Unchanged);
    assert!(
        book.get(&name("e"))
            .expect("known")
            .contents()
            .adapters
            .is_empty()
    );
}

#[test]
fn a_late_announcement_does_not_bring_an_endpoint_back() {
    let mut book = EndpointBook::default();
    let mut last = engine("e", "a1", &[]);
    last.sequence = 8;
    announced(&mut book, last);
    assert_eq!(
        book.apply(RegistryEvent::Removed(name("e"))),
        BookChange::Gone
    );
    let mut late = engine("e", "a1", &[]);
    late.sequence = 7;
    assert_eq!(announced(&mut book, late), BookChange::Unchanged);
    assert!(book.is_empty());
}

#[test]
fn a_removed_endpoint_is_gone_at_once() {
    let mut book = book_of(6);
    let changes = book.remove_together(NOW, &ids(0..1));
    assert_eq!(changes, vec![(name("e0"), BookChange::Gone)]);
    assert_eq!(book.len(), 5);
}

#[test]
fn many_removals_at_once_wait_for_the_endpoints_to_return() {
    let mut book = book_of(6);
    let changes = book.remove_together(NOW, &ids(0..4));
    assert!(
        changes
            .iter()
            .all(|(_, change)| *change == BookChange::RemovalHeld)
    );
    assert_eq!(book.len(), 6);
    let mut back = engine("e0", "a1", &[]);
    back.sequence = 2;
    announced(&mut book, back);
    let expired = book.expire(NOW + Duration::from_secs(2));
    assert_eq!(expired, ids(1..4));
    assert!(book.get(&name("e0")).is_some());
}

#[test]
fn a_held_removal_is_due_before_the_bound_on_leaving_endpoints() {
    // The users give two and a half seconds; a read of the registry takes up to one of them.
    let mut book = book_of(3);
    book.remove_together(NOW, &ids(0..3));
    assert_eq!(book.expire(NOW + Duration::from_millis(1_400)).len(), 3);
}

#[test]
fn a_whole_list_replaces_what_was_known() {
    let mut book = book_of(6);
    let kept: Vec<EndpointRecord> = (1..6)
        .map(|index| engine(&format!("e{index}"), "a1", &[]))
        .chain([engine("new", "a1", &[])])
        .collect();
    let changes = book.replace(NOW, kept);
    assert_eq!(
        changes,
        vec![
            (name("e0"), BookChange::Gone),
            (name("new"), BookChange::Joined)
        ]
    );
}

#[test]
fn an_agent_hears_of_uses_that_ended_since_the_last_report() {
    let mut book = book_of(1);
    let id = name("e0");
    let (model, adapter) = (name("m"), name("a"));
    assert!(book.begin_call(&id, Some((&model, &adapter))));
    assert!(!book.begin_call(&id, Some((&model, &adapter))));
    let usage = book.take_usage("entry", &id);
    assert_eq!((usage.calls, usage.uses[0].calls), (2, 2));
    for _ in 0..2 {
        book.end_call(
            NOW,
            &id,
            Some((&model, &adapter)),
            EndpointOutcome::Succeeded,
        );
    }
    assert!(book.begin_call(&id, Some((&model, &adapter))));
    book.end_call(
        NOW,
        &id,
        Some((&model, &adapter)),
        EndpointOutcome::Succeeded,
    );
    let usage = book.take_usage("entry", &id);
    assert_eq!(
        (usage.calls, usage.uses.len(), usage.uses[0].calls),
        (0, 1, 0)
    );
    assert!(book.take_usage("entry", &id).uses.is_empty());
}

#[rstest]
#[case::one_failure(1, false)]
#[case::two_failures(2, true)]
fn an_endpoint_is_passed_over_after_failures_in_a_row(
    #[case] failures: u32,
    #[case] shunned: bool,
) {
    let mut book = book_of(1);
    for _ in 0..failures {
        book.end_call(NOW, &name("e0"), None, EndpointOutcome::Failed);
    }
    let state = book.get(&name("e0")).expect("known");
    assert_eq!(state.is_shunned(NOW), shunned);
    assert!(!state.is_shunned(NOW + Duration::from_secs(1)));
}

fn at_address(id: &str, port: u16, started_ms: u64) -> EndpointRecord {
    let mut record = engine(id, "a1", &[]);
    record.address.set_port(port);
    record.started_ms = Some(started_ms);
    record
}

/// After all VMs lost power the registry lists each endpoint's last start beside its new one.
#[test]
fn a_later_start_at_an_address_ends_the_earlier_one() {
    let mut book = EndpointBook::default();
    announced(&mut book, at_address("old", 1, 100));
    announced(&mut book, at_address("other", 2, 100));
    announced(&mut book, at_address("new", 1, 200));
    assert!(book.get(&name("old")).is_none());
    assert_eq!(
        announced(&mut book, at_address("old", 1, 100)),
        BookChange::Unchanged
    );
    let late = EndpointRecord {
        sequence: 99,
        ..at_address("old", 1, 100)
    };
    assert_eq!(announced(&mut book, late), BookChange::Unchanged);
    assert_eq!(book.len(), 2);
}

#[test]
fn an_endpoint_at_whose_address_another_answers_is_gone() {
    let mut book = EndpointBook::default();
    announced(&mut book, at_address("old", 1, 100));
    assert_eq!(book.note_replaced(&name("old")), BookChange::Gone);
    assert_eq!(
        announced(&mut book, at_address("old", 1, 100)),
        BookChange::Unchanged
    );
    assert!(book.is_empty());
}
