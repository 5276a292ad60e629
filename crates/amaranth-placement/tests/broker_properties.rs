//! The broker keeps the load rate and the transit limit for permit requests in any order, and
//! prefers the load that saves the most waiting time.

use std::collections::BTreeSet;
use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_core::units::EventRate;
use amaranth_placement::broker::{BrokerOptions, BrokerReply, LoadBroker, LoadKey};
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};
use proptest::test_runner::RngSeed;

const RATE: f64 = 4.0;
const TRANSIT_LIMIT: usize = 3;

fn broker() -> LoadBroker {
    LoadBroker::new(BrokerOptions {
        load_rate: EventRate(RATE),
        transit_limit: TRANSIT_LIMIT,
        ..BrokerOptions::default()
    })
}

fn key(number: u8) -> LoadKey {
    LoadKey {
        endpoint: "engine-0".parse().expect("the name is well formed"),
        adapter: format!("a{number}@1")
            .parse()
            .expect("the name is well formed"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn grants_keep_the_load_rate_and_the_transit_limit(
        requests in proptest::collection::vec((any::<u8>(), 0..400_u64, any::<u16>(), any::<bool>()), 1..200)
    ) {
        let mut broker = broker();
        let mut now = Timestamp::ZERO;
        let mut held = BTreeSet::new();
        let mut granted = 0_u32;
        for (number, wait, saved, release) in requests {
            now = now + Duration::from_millis(wait);
            let key = key(number % 16);
            if release {
                broker.release(&key);
                held.remove(&key);
                continue;
            }
            if held.contains(&key) {
                continue;
            }
            if let BrokerReply::Granted(_) = broker.request(now, key.clone(), saved.into(), false) {
                held.insert(key);
                granted += 1;
            }
            prop_assert!(broker.in_transit() <= TRANSIT_LIMIT);
            // The first load starts at once, and one unused start may be made up for.
            let allowed = now.as_micros() as f64 / 1e6 * RATE + 2.0;
            prop_assert!(f64::from(granted) <= allowed, "{granted} grants by {now}");
        }
    }
}

#[test]
fn permit_is_granted_to_the_load_that_saves_the_most_waiting() {
    let mut broker = broker();
    let start = Timestamp::from_millis(1_000);
    // The first start and the one unused start before it are granted at once.
    for number in [0, 4] {
        let reply = broker.request(start, key(number), 1, false);
        assert!(matches!(reply, BrokerReply::Granted(_)), "{reply:?}");
    }
    for (number, saved) in [(1, 10), (2, 90), (3, 50)] {
        let reply = broker.request(start, key(number), saved, false);
        assert!(matches!(reply, BrokerReply::Wait(_)), "{reply:?}");
    }
    let next = start + Duration::from_millis(250);
    assert!(matches!(
        broker.request(next, key(1), 10, false),
        BrokerReply::Wait(_)
    ));
    assert!(matches!(
        broker.request(next, key(2), 90, false),
        BrokerReply::Granted(_)
    ));
}

#[test]
fn new_broker_renews_the_permit_of_a_load_in_transit() {
    let mut broker = broker();
    let now = Timestamp::from_millis(5);
    assert!(matches!(
        broker.request(now, key(0), 0, true),
        BrokerReply::Granted(_)
    ));
    assert_eq!(broker.in_transit(), 1);
}

#[test]
fn two_brokers_at_once_grant_at_most_twice_the_transit_limit() {
    let mut brokers = [broker(), broker()];
    let mut now = Timestamp::ZERO;
    for number in 0..40 {
        now = now + Duration::from_millis(200);
        for broker in &mut brokers {
            broker.request(now, key(number), 1, false);
        }
    }
    let in_transit: usize = brokers.iter().map(LoadBroker::in_transit).sum();
    assert_eq!(in_transit, 2 * TRANSIT_LIMIT);
}
