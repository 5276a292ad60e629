//! Comparison of the shared map with the standard map.

use std::collections::BTreeMap;

use amaranth_config::shared_map::{KeyedValue, SharedMap};
use proptest::prelude::{ProptestConfig, Strategy, prop, prop_assert_eq, prop_oneof, proptest};
use proptest::test_runner::RngSeed;

#[derive(Debug, Clone, PartialEq, Eq)]
struct Numbered {
    name: String,
    number: u32,
}

impl KeyedValue for Numbered {
    fn key(&self) -> &str {
        &self.name
    }
}

#[derive(Debug, Clone)]
enum MapStep {
    Insert(u16, u32),
    Remove(u16),
    Clone,
}

fn steps() -> impl Strategy<Value = Vec<MapStep>> {
    let step = prop_oneof![
        6 => (0..600_u16, 0..4_u32).prop_map(|(name, number)| MapStep::Insert(name, number)),
        3 => (0..600_u16).prop_map(MapStep::Remove),
        1 => prop::strategy::Just(MapStep::Clone),
    ];
    prop::collection::vec(step, 0..1_500)
}

fn contents(map: &SharedMap<Numbered>) -> BTreeMap<String, u32> {
    map.iter()
        .map(|value| (value.name.clone(), value.number))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(61),
        ..ProptestConfig::default()
    })]

    #[test]
    fn equals_the_standard_map_and_does_not_change_clones(steps in steps()) {
        let mut shared = SharedMap::default();
        let mut standard = BTreeMap::new();
        let mut clones = Vec::new();
        for step in steps {
            match step {
                MapStep::Insert(name, number) => {
                    let name = format!("n{name}");
                    let replaced = shared.insert(Numbered { name: name.clone(), number });
                    let expected = standard.insert(name, number);
                    prop_assert_eq!(replaced.map(|value| value.number), expected);
                }
                MapStep::Remove(name) => {
                    let name = format!("n{name}");
                    let removed = shared.remove(&name);
                    prop_assert_eq!(removed.map(|value| value.number), standard.remove(&name));
                }
                MapStep::Clone => clones.push((shared.clone(), standard.clone())),
            }
            prop_assert_eq!(shared.len(), standard.len());
        }
        prop_assert_eq!(contents(&shared), standard);
        for (clone, expected) in clones {
            prop_assert_eq!(contents(&clone), expected);
        }
    }

    #[test]
    fn iterates_in_an_order_that_depends_only_on_the_keys(steps in steps()) {
        let mut edited = SharedMap::default();
        for step in steps {
            match step {
                MapStep::Insert(name, number) => {
                    edited.insert(Numbered { name: format!("n{name}"), number });
                }
                MapStep::Remove(name) => {
                    edited.remove(&format!("n{name}"));
                }
                MapStep::Clone => {}
            }
        }
        let mut fresh = SharedMap::default();
        for (name, number) in contents(&edited) {
            fresh.insert(Numbered { name, number });
        }
        prop_assert_eq!(
            edited.iter().collect::<Vec<_>>(),
            fresh.iter().collect::<Vec<_>>()
        );
    }
}
