//! Tests of the selection of plain services' endpoints: same region first, and never beyond the
//! limits.

mod support;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::endpoint_table::{EndpointOutcome, EndpointRecord, EndpointTable};
use amaranth_dispatch::service_selector::{self, ServiceQuery};

use support::{announce, engine, locality, name};

const NOW: Timestamp = Timestamp::from_millis(5_000);

fn plain_endpoint(id: &str, data_centre: &str) -> EndpointRecord {
    EndpointRecord {
        service: name("desk"),
        slots: 2,
        contents: Default::default(),
        ..engine(id, data_centre, &[])
    }
}

fn table() -> EndpointTable {
    let mut table = EndpointTable::default();
    for (id, data_centre) in [("near", "a1"), ("same", "a2"), ("far", "b1")] {
        announce(&mut table, plain_endpoint(id, data_centre));
    }
    table
}

fn select(table: &EndpointTable) -> Option<String> {
    select_with_limit(table, 100)
}

fn select_with_limit(table: &EndpointTable, max_calls: u32) -> Option<String> {
    let query = ServiceQuery {
        service: &name("desk"),
        excluded: &[],
        software: None,
        max_calls,
    };
    service_selector::select(NOW, table, &locality(), query).map(|id| id.to_string())
}

#[test]
fn the_region_of_the_entry_is_filled_before_calls_go_to_a_remote_region() {
    let mut table = table();
    let mut order = Vec::new();
    while let Some(id) = select(&table) {
        table.begin_call(&name(&id), None);
        order.push(id);
    }
    let first_remote = order
        .iter()
        .position(|id| id == "far")
        .expect("the remote endpoint is selected once the region is full");
    assert!(
        first_remote >= 2,
        "call {first_remote} went to the remote region: {order:?}"
    );
    assert_eq!(
        order.len(),
        12,
        "each of three endpoints accepts twice its slots"
    );
}

#[test]
fn an_endpoint_that_fails_is_not_selected_again() {
    let mut table = table();
    let first = select(&table).expect("an idle endpoint can be selected");
    for _ in 0..2 {
        table.end_call(NOW, &name(&first), None, EndpointOutcome::Failed);
    }
    assert_ne!(select(&table), Some(first));
}

#[test]
fn a_service_has_an_endpoint_even_if_it_is_full() {
    let mut table = EndpointTable::default();
    announce(&mut table, plain_endpoint("only", "a1"));
    for _ in 0..4 {
        table.begin_call(&name("only"), None);
    }
    assert_eq!(select(&table), None);
    assert!(service_selector::has_endpoint(&table, &name("desk"), None));
}

#[test]
fn an_entry_keeps_to_its_share_of_an_endpoints_connections() {
    let mut table = table();
    let mut calls = 0;
    while let Some(id) = select_with_limit(&table, 3) {
        table.begin_call(&name(&id), None);
        calls += 1;
    }
    assert_eq!(calls, 9, "three calls at each of three endpoints");
}

#[test]
fn a_call_that_goes_on_is_sent_to_its_software_version_although_others_are_nearer() {
    let mut table = table();
    let mut other = plain_endpoint("other", "b1");
    other.software = "v2".parse().expect("any text is a version");
    let software = other.software.clone();
    announce(&mut table, other);
    let select = |software| {
        let query = ServiceQuery {
            service: &name("desk"),
            excluded: &[],
            software: Some(software),
            max_calls: 100,
        };
        service_selector::select(NOW, &table, &locality(), query)
    };
    let selected = select(&software);
    assert_eq!(selected, Some(name("other")));
    let gone = "v3".parse().expect("any text is a version");
    assert!(!service_selector::has_endpoint(
        &table,
        &name("desk"),
        Some(&gone)
    ));
    let selected = select(&gone);
    assert_eq!(selected, None);
}
