//! An agent's decisions: which adapter goes, which comes, and what orders without answers mean.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::adapter_shelf::{AdapterShelf, GuardedOrder, OrderAnswer, ShelfOrder};
use amaranth_dispatch::engine_view::{
    AdapterUse, EngineContents, HeldAdapter, LoadOutcome, LoadWish, UsageReport,
};
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_oneof, proptest};
use proptest::test_runner::RngSeed;

use support::{contents, held, name, wish};

fn usage(entry: &str, uses: &[(&str, u32)]) -> UsageReport {
    UsageReport {
        entry: entry.to_owned(),
        endpoint: name("e"),
        started_ms: None,
        uses: uses
            .iter()
            .map(|(adapter, calls)| AdapterUse {
                model: name("m"),
                name: name(adapter),
                calls: *calls,
            })
            .collect(),
        calls: uses.iter().map(|(_, calls)| calls).sum(),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn shelf(adapters: &[&str]) -> AdapterShelf {
    let mut shelf = AdapterShelf::default();
    shelf.take_usage(at(0), usage("entry", &[]));
    shelf.observe(at(0), contents(adapters));
    shelf
}

fn order(shelf: &mut AdapterShelf, now: u64) -> Option<ShelfOrder> {
    shelf.next_order(at(now)).map(|guarded| guarded.order)
}

fn drop_of(adapter: &str) -> Option<ShelfOrder> {
    Some(ShelfOrder::DropAdapter(name("m"), name(adapter)))
}

fn load_of(adapter: &str) -> Option<ShelfOrder> {
    Some(ShelfOrder::LoadAdapter(name("m"), name(adapter), None))
}

#[test]
fn a_free_place_is_filled_at_once() {
    let mut shelf = shelf(&["p", "q"]);
    shelf.ask(at(10), wish("x", None));
    assert_eq!(order(&mut shelf, 10), load_of("x"));
}

#[test]
fn the_adapter_that_was_idle_longest_makes_way() {
    let mut shelf = shelf(&["p", "q", "r"]);
    shelf.take_usage(at(1_000), usage("entry", &[("p", 0), ("r", 0)]));
    shelf.ask(at(3_000), wish("x", None));
    assert_eq!(order(&mut shelf, 3_000), drop_of("q"));
}

#[test]
fn an_adapter_that_any_entry_uses_stays() {
    let mut shelf = shelf(&["p", "q", "r"]);
    shelf.take_usage(at(3_000), usage("one", &[("p", 1), ("q", 1)]));
    shelf.take_usage(at(3_000), usage("two", &[("r", 2)]));
    shelf.ask(at(3_000), wish("x", None));
    assert_eq!(order(&mut shelf, 3_000), None);
    let settled = shelf.settle(at(5_000));
    assert!(matches!(settled[..], [(_, LoadOutcome::NoPlace)]));
}

#[test]
fn the_use_of_an_entry_that_fell_silent_counts_no_longer() {
    let mut shelf = shelf(&["p", "q", "r"]);
    shelf.take_usage(at(0), usage("lost", &[("p", 1), ("q", 1), ("r", 1)]));
    shelf.ask(at(4_000), wish("x", None));
    assert!(order(&mut shelf, 4_000).is_some());
}

#[test]
fn an_empty_engine_loads_its_model_first() {
    let mut shelf = AdapterShelf::default();
    shelf.take_usage(at(0), usage("entry", &[]));
    shelf.observe(at(0), EngineContents::default());
    shelf.ask(at(0), wish("x", None));
    assert_eq!(order(&mut shelf, 0), Some(ShelfOrder::LoadModel(name("m"))));
}

#[test]
fn what_does_not_fit_the_memory_is_not_ordered() {
    let mut shelf = shelf(&[]);
    let too_large = LoadWish {
        fits_memory: false,
        ..wish("x", None)
    };
    shelf.ask(at(0), too_large);
    assert_eq!(order(&mut shelf, 0), None);
}

#[test]
fn four_loads_at_most_are_under_way() {
    let mut shelf = AdapterShelf::default();
    shelf.take_usage(at(0), usage("entry", &[]));
    let mut full = contents(&[]);
    full.coming = (0..4).map(|index| held(&format!("c{index}"), 1)).collect();
    shelf.observe(at(0), full);
    let roomy = LoadWish {
        adapter_places: 9,
        ..wish("x", None)
    };
    shelf.ask(at(0), roomy);
    assert_eq!(order(&mut shelf, 0), None);
}

#[test]
fn no_order_follows_before_the_report_is_read_again() {
    let mut shelf = shelf(&[]);
    shelf.ask(at(0), wish("x", None));
    shelf.ask(at(0), wish("y", None));
    assert_eq!(order(&mut shelf, 0), load_of("x"));
    assert_eq!(order(&mut shelf, 0), None);
    shelf.order_ended(at(1), OrderAnswer::Accepted);
    assert_eq!(order(&mut shelf, 1), None);
    let mut after = contents(&[]);
    after.coming = vec![held("x", 1)];
    after.order_count = 1;
    shelf.observe(at(2), after);
    let next = shelf.next_order(at(2)).expect("the second load");
    assert_eq!((Some(next.order), next.expected_count), (load_of("y"), 1));
}

#[test]
fn an_order_without_an_answer_is_repeated_under_the_same_count() {
    let mut shelf = shelf(&[]);
    shelf.ask(at(0), wish("x", None));
    let first = shelf.next_order(at(0)).expect("an order");
    shelf.order_ended(at(120), OrderAnswer::Unanswered);
    shelf.observe(at(121), contents(&[]));
    let second = shelf.next_order(at(200)).expect("the order again");
    assert_eq!(first, second);
}

/// A run that no entry reports uses the adapter: ordering it to be dropped again would block the
/// engine's orders.
#[test]
fn an_adapter_that_was_not_dropped_is_not_ordered_to_go_again() {
    let mut shelf = shelf(&["p", "q", "r"]);
    shelf.take_usage(at(1_000), usage("entry", &[("q", 0), ("r", 0)]));
    shelf.ask(at(2_000), wish("x", None));
    assert_eq!(order(&mut shelf, 2_000), drop_of("p"));
    shelf.order_ended(at(2_001), OrderAnswer::Accepted);
    shelf.observe(at(2_002), contents(&["p", "q", "r"]));
    assert_eq!(order(&mut shelf, 2_002), drop_of("q"));
}

#[test]
fn what_an_engine_held_is_remembered_until_it_starts_again() {
    let mut shelf = shelf(&["p"]);
    shelf.observe(at(1), contents(&["q"]));
    assert_eq!(shelf.view(at(1)).remembered.len(), 2);
    let mut restarted = contents(&[]);
    restarted.started_ms = Some(99);
    shelf.observe(at(2), restarted);
    assert!(shelf.view(at(2)).remembered.is_empty());
}

#[test]
fn a_wish_for_another_start_of_the_engine_is_told_so() {
    let mut shelf = shelf(&[]);
    let other = LoadWish {
        endpoint: name("other"),
        ..wish("x", None)
    };
    shelf.ask(at(0), other);
    let settled = shelf.settle(at(1));
    assert!(matches!(settled[..], [(_, LoadOutcome::Unavailable)]));
}

/// An engine that loses answers, carries orders out late, and crashes if it is overfilled.
#[derive(Default)]
struct FakeEngine {
    contents: EngineContents,
    late: VecDeque<GuardedOrder>,
    overfilled: bool,
}

const PLACES: usize = 3;

impl FakeEngine {
    fn carry_out(&mut self, guarded: &GuardedOrder) -> OrderAnswer {
        if guarded.expected_count != self.contents.order_count {
            return OrderAnswer::Conflict;
        }
        self.contents.order_count += 1;
        match &guarded.order {
            ShelfOrder::LoadModel(model) => self.contents.models.push(model.clone()),
            ShelfOrder::LoadAdapter(model, name, version) => {
                self.contents.adapters.retain(|known| known.name != *name);
                self.contents.adapters.push(HeldAdapter {
                    model: model.clone(),
                    name: name.clone(),
                    version: version.unwrap_or(1),
                });
            }
            ShelfOrder::DropAdapter(_, name) => {
                self.contents.adapters.retain(|known| known.name != *name);
            }
        }
        self.overfilled |= self.contents.adapters.len() > PLACES;
        OrderAnswer::Accepted
    }
}

/// What happens to the next order or in between.
#[derive(Debug, Clone)]
enum EngineEvent {
    Ask(u8),
    Answer,
    LoseAnswer,
    LoseOrder,
    CarryOutLate,
    Use(u8),
}

fn engine_events() -> impl Strategy<Value = Vec<EngineEvent>> {
    let event = prop_oneof![
        4 => any::<u8>().prop_map(EngineEvent::Ask),
        4 => Just(EngineEvent::Answer),
        2 => Just(EngineEvent::LoseAnswer),
        2 => Just(EngineEvent::LoseOrder),
        2 => Just(EngineEvent::CarryOutLate),
        1 => any::<u8>().prop_map(EngineEvent::Use),
    ];
    proptest::collection::vec(event, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x7368_656c),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn lost_and_late_orders_never_overfill_an_engine_or_drop_a_used_adapter(
        events in engine_events(),
    ) {
        let mut engine = FakeEngine::default();
        let mut shelf = AdapterShelf::default();
        let mut now = 0;
        let mut used = String::from("none");
        shelf.take_usage(at(now), usage("entry", &[]));
        for event in events {
            now += 300;
            shelf.observe(at(now), engine.contents.clone());
            shelf.settle(at(now));
            match event {
                EngineEvent::Ask(adapter) => {
                    shelf.ask(at(now), wish(&format!("a{}", adapter % 9), None));
                }
                EngineEvent::Use(adapter) => {
                    used = format!("a{}", adapter % 9);
                    shelf.take_usage(at(now), usage("entry", &[(&used, 1)]));
                }
                EngineEvent::CarryOutLate => {
                    if let Some(order) = engine.late.pop_front() {
                        engine.carry_out(&order);
                    }
                }
                EngineEvent::Answer | EngineEvent::LoseAnswer | EngineEvent::LoseOrder => {
                    shelf.take_usage(at(now), usage("entry", &[(&used, 1)]));
                    let Some(order) = shelf.next_order(at(now)) else {
                        continue;
                    };
                    if let ShelfOrder::DropAdapter(_, name) = &order.order {
                        prop_assert!(name.as_str() != used, "dropped {used}, which is in use");
                    }
                    let answer = match event {
                        EngineEvent::Answer => engine.carry_out(&order),
                        EngineEvent::LoseAnswer => {
                            engine.carry_out(&order);
                            OrderAnswer::Unanswered
                        }
                        _ => {
                            engine.late.push_back(order);
                            OrderAnswer::Unanswered
                        }
                    };
                    shelf.order_ended(at(now), answer);
                }
            }
            prop_assert!(!engine.overfilled, "more than {PLACES} adapters: {:?}", engine.contents);
        }
    }
}

#[test]
fn a_wish_is_settled_when_the_engine_holds_it() {
    let mut shelf = shelf(&[]);
    let id = shelf.ask(at(0), wish("x", Some(3)));
    shelf.observe(at(10), contents(&["x"]));
    assert!(
        shelf.settle(at(10)).is_empty(),
        "version 1 is not version 3"
    );
    let mut newer = contents(&[]);
    newer.adapters = vec![held("x", 3)];
    shelf.observe(at(20), newer);
    assert_eq!(shelf.settle(at(20)), vec![(id, LoadOutcome::Held)]);
    assert_eq!(
        shelf.paused_until(at(20)).map(|until| until.since(at(20))),
        None::<Duration>
    );
}

/// After all VMs lost power the registry lists the engine's last start beside its new one. Entries
/// that mean the old one must not take the agent from the others.
#[test]
fn a_report_of_an_earlier_start_does_not_move_the_agent() {
    let mut shelf = AdapterShelf::default();
    let mut started = contents(&[]);
    started.started_ms = Some(9);
    shelf.observe(at(0), started);
    let current = UsageReport {
        started_ms: Some(9),
        ..usage("entry", &[])
    };
    shelf.take_usage(at(0), current);
    let ended = UsageReport {
        endpoint: name("old"),
        started_ms: Some(5),
        ..usage("other", &[("x", 1)])
    };
    shelf.take_usage(at(1), ended);
    assert_eq!(shelf.endpoint(), Some(&name("e")));
    assert!(shelf.view(at(1)).in_use.is_empty());
}
