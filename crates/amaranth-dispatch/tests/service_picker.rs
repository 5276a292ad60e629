//! Endpoints of plain services: near ones first, none overfilled.

mod support;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::endpoint_book::{EndpointBook, EndpointOutcome, EndpointRecord};
use amaranth_dispatch::service_picker::{self, PickQuery};

use support::{announce, engine, locality, name};

const NOW: Timestamp = Timestamp::from_millis(5_000);

fn desk(id: &str, data_centre: &str) -> EndpointRecord {
    EndpointRecord {
        service: name("desk"),
        slots: 2,
        contents: Default::default(),
        ..engine(id, data_centre, &[])
    }
}

fn book() -> EndpointBook {
    let mut book = EndpointBook::default();
    for (id, data_centre) in [("near", "a1"), ("same", "a2"), ("far", "b1")] {
        announce(&mut book, desk(id, data_centre));
    }
    book
}

fn pick(book: &EndpointBook) -> Option<String> {
    pick_within(book, 100)
}

fn pick_within(book: &EndpointBook, max_calls: u32) -> Option<String> {
    let query = PickQuery {
        service: &name("desk"),
        excluded: &[],
        max_calls,
    };
    service_picker::pick(NOW, book, &locality(), query).map(|id| id.to_string())
}

#[test]
fn the_region_is_filled_before_the_way_abroad_is_taken() {
    let mut book = book();
    let mut order = Vec::new();
    while let Some(id) = pick(&book) {
        book.begin_call(&name(&id), None);
        order.push(id);
    }
    let first_far = order
        .iter()
        .position(|id| id == "far")
        .expect("far is used");
    assert!(
        first_far >= 2,
        "went abroad as number {first_far}: {order:?}"
    );
    assert_eq!(
        order.len(),
        12,
        "each of three endpoints takes twice its slots"
    );
}

#[test]
fn an_endpoint_that_fails_is_passed_over() {
    let mut book = book();
    let first = pick(&book).expect("an endpoint");
    for _ in 0..2 {
        book.end_call(NOW, &name(&first), None, EndpointOutcome::Failed);
    }
    assert_ne!(pick(&book), Some(first));
}

#[test]
fn an_endpoint_is_known_even_if_it_is_full() {
    let mut book = EndpointBook::default();
    announce(&mut book, desk("only", "a1"));
    for _ in 0..4 {
        book.begin_call(&name("only"), None);
    }
    assert_eq!(pick(&book), None);
    assert!(service_picker::has_endpoint(&book, &name("desk")));
}

#[test]
fn an_entry_keeps_to_its_share_of_an_endpoints_connections() {
    let mut book = book();
    let mut calls = 0;
    while let Some(id) = pick_within(&book, 3) {
        book.begin_call(&name(&id), None);
        calls += 1;
    }
    assert_eq!(calls, 9, "three calls at each of three endpoints");
}
