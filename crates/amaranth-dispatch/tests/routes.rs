//! Tests of route look-ups, traffic splits and the order of configuration versions.

mod support;

use amaranth_dispatch::routes::{
    ConfigOutcome, CurrentConfig, RouteKind, RouteRule, RouteTable, WeightedService,
};
use proptest::prelude::{ProptestConfig, any, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;
use rstest::rstest;
use smallvec::smallvec;

use support::{config, name, route};

fn named(name: &str, host: &str, path_prefix: &str) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        ..route(RouteKind::Idempotent, false, 2)
    }
}

fn table() -> RouteTable {
    RouteTable::new(config(
        7,
        vec![
            named("short", "one.example", "/a/"),
            named("long", "one.example", "/a/b/"),
            named("other", "two.example", "/a/"),
        ],
    ))
}

#[rstest]
#[case::longest_prefix("one.example", "/a/b/c", Some("long"))]
#[case::shorter_prefix("one.example", "/a/c", Some("short"))]
#[case::whole_segments_only("one.example", "/a/bc", Some("short"))]
#[case::own_host("two.example", "/a/b/c", Some("other"))]
#[case::host_in_capitals("ONE.example", "/a/x", Some("short"))]
#[case::no_prefix("one.example", "/b/", None)]
#[case::prefix_without_slash("one.example", "/a", None)]
#[case::no_host("three.example", "/a/", None)]
fn a_call_matches_the_route_of_its_host_with_the_longest_path_prefix(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table();
    let found = table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found, expected);
}

#[test]
fn a_traffic_split_assigns_calls_by_id_in_proportion_to_the_weights() {
    let mut split = named("split", "one.example", "/a/");
    split.services = smallvec![
        WeightedService {
            service: name("big"),
            weight: 90,
        },
        WeightedService {
            service: name("small"),
            weight: 10,
        },
    ];
    let mut small = 0;
    for id in 0..10_000 {
        let id = format!("call-{id}");
        let first = split
            .service_for(&id)
            .expect("a route with weights has a service for every call");
        assert_eq!(split.service_for(&id), Some(first));
        small += u32::from(first.as_str() == "small");
    }
    assert!(
        (800..1_200).contains(&small),
        "{small} of 10000 calls went to the service with a tenth of the weight"
    );
}

#[test]
fn a_service_without_weight_gets_no_calls() {
    let mut split = named("split", "one.example", "/a/");
    split.services = smallvec![
        WeightedService {
            service: name("none"),
            weight: 0,
        },
        WeightedService {
            service: name("all"),
            weight: 3,
        },
    ];
    let chosen = (0..200).map(|id| split.service_for(&id.to_string()).map(|s| s.as_str()));
    assert!(chosen.into_iter().all(|service| service == Some("all")));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x726f_7574),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_older_configuration_never_replaces_a_newer_one(versions in proptest::collection::vec(any::<u8>(), 1..40)) {
        let mut current = CurrentConfig::default();
        let mut newest: Option<u64> = None;
        for version in versions.into_iter().map(u64::from) {
            let outcome = current.apply(config(version, Vec::new()));
            let expected = match newest {
                Some(known) if version < known => ConfigOutcome::Outdated,
                Some(known) if version == known => ConfigOutcome::Known,
                _ => ConfigOutcome::Adopted,
            };
            prop_assert_eq!(outcome, expected);
            newest = newest.max(Some(version));
            prop_assert_eq!(current.current().map(|table| table.version()), newest);
        }
    }
}
