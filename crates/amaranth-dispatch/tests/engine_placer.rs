//! Where generations go: held copies, loads, the way abroad, and engines that fail.

mod support;

use std::time::Duration;

use amaranth_core::time::Timestamp;
use amaranth_dispatch::call::GenerationNeed;
use amaranth_dispatch::endpoint_book::{AgentLoss, EndpointBook, EndpointOutcome};
use amaranth_dispatch::engine_placer::{EngineChoice, PlaceQuery, PlaceReason, need_key, place};
use amaranth_dispatch::engine_view::adapter_key;

use support::{OBJECTIVE, announce, engine, engine_rule, held, locality, name, need, view};

const NOW: Timestamp = Timestamp::from_millis(60_000);

/// Engines, each with its data centre and the adapters that it holds, all with an agent.
fn book(engines: &[(&str, &str, &[&str])]) -> EndpointBook {
    let mut book = EndpointBook::default();
    for (id, data_centre, adapters) in engines {
        announce(&mut book, engine(id, data_centre, adapters));
        book.take_view(NOW, &name(id), view(adapters));
    }
    book
}

fn place_need(
    book: &EndpointBook,
    need: &GenerationNeed,
    version: Option<u64>,
) -> Option<EngineChoice> {
    let rule = engine_rule();
    let query = PlaceQuery {
        service: &name("llm"),
        engine: &rule,
        need,
        version,
        excluded: &[],
        objective: OBJECTIVE,
        spent: Duration::ZERO,
        load_wait: Duration::ZERO,
        max_calls: 5,
    };
    place(NOW, book, &locality(), query)
}

fn placed(book: &EndpointBook, adapter: &str) -> (String, PlaceReason) {
    let choice = place_need(book, &need(adapter), None).expect("an engine");
    (choice.endpoint.to_string(), choice.reason)
}

/// Sends prompts to an engine whose first events have not come.
fn load_engine(book: &mut EndpointBook, id: &str, prompts: u32) {
    let need = need("busy");
    for _ in 0..prompts {
        let state = book.get_mut(&name(id)).expect("known");
        state.estimate.begin(NOW, &need, need_key(&need), 1, 0);
    }
}

#[test]
fn an_engine_that_holds_the_adapter_is_taken_while_it_is_in_time() {
    let mut book = book(&[("e1", "a1", &["x"]), ("e2", "a1", &[])]);
    load_engine(&mut book, "e1", 4);
    assert_eq!(placed(&book, "x"), ("e1".to_owned(), PlaceReason::Held));
}

#[test]
fn a_copy_is_made_when_the_engine_that_holds_it_would_be_late() {
    let mut book = book(&[("e1", "a1", &["x"]), ("e2", "a1", &[])]);
    load_engine(&mut book, "e1", 40);
    assert_eq!(
        placed(&book, "x"),
        ("e2".to_owned(), PlaceReason::FreePlace)
    );
}

#[test]
fn an_engine_that_keeps_the_adapter_at_hand_loads_it() {
    let mut book = book(&[("e1", "a1", &[]), ("e2", "a1", &[]), ("e3", "a1", &[])]);
    for id in ["e1", "e2", "e3"] {
        let mut remembering = view(&[]);
        remembering.remembered = vec![adapter_key(&name("m"), Some(&name("x")))];
        let mut probe = book_with_view(&mut book, id, remembering);
        assert_eq!(placed(&probe, "x"), (id.to_owned(), PlaceReason::AtHand));
        probe.take_view(NOW, &name(id), view(&[]));
        book = probe;
    }
}

fn book_with_view(
    book: &mut EndpointBook,
    id: &str,
    view: amaranth_dispatch::engine_view::EngineView,
) -> EndpointBook {
    let mut changed = std::mem::take(book);
    changed.take_view(NOW, &name(id), view);
    changed
}

#[test]
fn a_held_copy_abroad_goes_before_a_load_at_home() {
    let book = book(&[("home", "a1", &[]), ("far", "b1", &["x"])]);
    assert_eq!(placed(&book, "x"), ("far".to_owned(), PlaceReason::Held));
}

#[test]
fn a_copy_at_home_goes_before_one_abroad() {
    let book = book(&[("home", "a2", &["x"]), ("far", "b1", &["x"])]);
    assert_eq!(placed(&book, "x").0, "home");
}

/// The load of a region's peak: every place at home is used, and engines abroad are idle.
#[test]
fn a_call_goes_abroad_when_no_place_at_home_is_free() {
    let mut book = book(&[("home", "a1", &["p", "q", "r"]), ("far", "b1", &["s"])]);
    for adapter in ["p", "q", "r"] {
        book.begin_call(&name("home"), Some((&name("m"), &name(adapter))));
    }
    assert_eq!(
        placed(&book, "x"),
        ("far".to_owned(), PlaceReason::FreePlace)
    );
}

#[test]
fn an_adapter_in_use_is_no_place_for_another() {
    let mut book = book(&[("e", "a1", &["p", "q", "r"])]);
    for adapter in ["p", "q", "r"] {
        book.begin_call(&name("e"), Some((&name("m"), &name(adapter))));
    }
    assert_eq!(place_need(&book, &need("x"), None), None);
    book.end_call(
        NOW,
        &name("e"),
        Some((&name("m"), &name("q"))),
        EndpointOutcome::Succeeded,
    );
    assert_eq!(placed(&book, "x"), ("e".to_owned(), PlaceReason::FreePlace));
}

#[test]
fn loads_under_way_count_as_places() {
    let mut book = book(&[("e", "a1", &["p"])]);
    book.begin_wish(&name("e"), held("w1", 0));
    assert_eq!(placed(&book, "x").1, PlaceReason::FreePlace);
    book.begin_wish(&name("e"), held("w2", 0));
    book.begin_wish(&name("e"), held("w3", 0));
    assert_eq!(place_need(&book, &need("x"), None), None);
    assert_eq!(placed(&book, "w2").1, PlaceReason::Coming);
}

#[test]
fn an_older_version_does_not_serve() {
    let book = book(&[("old", "a1", &["x"]), ("new", "a1", &[])]);
    let choice = place_need(&book, &need("x"), Some(2)).expect("an engine");
    assert_ne!(choice.reason, PlaceReason::Held);
}

#[test]
fn an_older_version_in_use_is_not_replaced_under_its_calls() {
    let mut book = book(&[("old", "a1", &["x"]), ("new", "a1", &[])]);
    book.begin_call(&name("old"), Some((&name("m"), &name("x"))));
    let choice = place_need(&book, &need("x"), Some(2)).expect("an engine");
    assert_eq!(choice.endpoint, name("new"));
}

#[test]
fn an_engine_that_owes_first_events_is_passed_over() {
    let mut book = book(&[("dark", "a1", &["x"]), ("well", "a1", &["x"])]);
    book.forget_view(&name("dark"), AgentLoss::ProcessEnded);
    let need = need("x");
    let sent_at = Timestamp::from_millis(55_000);
    let state = book.get_mut(&name("dark")).expect("known");
    state.estimate.begin(sent_at, &need, need_key(&need), 1, 0);
    assert_eq!(placed(&book, "x").0, "well");
}

/// A busy engine is not a silent one: its agent says that it answers.
#[test]
fn an_engine_whose_agent_says_that_it_answers_is_only_busy() {
    let mut book = book(&[("busy", "a1", &["x"])]);
    let need = need("x");
    let sent_at = Timestamp::from_millis(55_000);
    let state = book.get_mut(&name("busy")).expect("known");
    state.estimate.begin(sent_at, &need, need_key(&need), 1, 0);
    assert!(!book.get(&name("busy")).expect("known").is_silent(NOW));
    let later = Timestamp::from_millis(62_000);
    assert!(book.get(&name("busy")).expect("known").is_silent(later));
}

/// The load of many entries: each sends little, and together they fill the engine that holds the
/// adapter. What its agent says of unread prompts makes a copy.
#[test]
fn prompts_of_other_entries_count() {
    let mut book = book(&[("e1", "a1", &["x"]), ("e2", "a1", &[])]);
    let mut crowded = view(&["x"]);
    crowded.contents.unread = 25;
    book.take_view(NOW, &name("e1"), crowded);
    assert_eq!(
        placed(&book, "x"),
        ("e2".to_owned(), PlaceReason::FreePlace)
    );
}

#[test]
fn an_engine_without_its_agent_serves_what_it_holds_and_loads_nothing() {
    let mut book = book(&[("e", "a1", &["x"])]);
    book.forget_view(&name("e"), AgentLoss::ProcessEnded);
    assert_eq!(placed(&book, "x").1, PlaceReason::Held);
    assert_eq!(place_need(&book, &need("y"), None), None);
}

/// The load: several VMs freeze. A call that left one frozen engine must not go to another of
/// which this entry has no calls, while a third can load its adapter.
#[test]
fn an_engine_on_a_silent_vm_is_passed_over_while_another_can_serve() {
    let mut book = book(&[("frozen", "a1", &["x"]), ("well", "a1", &[])]);
    book.forget_view(&name("frozen"), AgentLoss::VmSilent);
    assert_eq!(placed(&book, "x").0, "well");
    let state = book.get_mut(&name("frozen")).expect("known");
    state.estimate.heard(NOW);
    assert_eq!(placed(&book, "x").0, "frozen", "it sends events");
}

#[test]
fn calls_leave_an_engine_on_a_silent_vm_sooner() {
    let mut book = book(&[("frozen", "a1", &["x"])]);
    load_engine(&mut book, "frozen", 1);
    let soon = Timestamp::from_millis(60_800);
    assert!(!book.get(&name("frozen")).expect("known").is_silent(soon));
    book.forget_view(&name("frozen"), AgentLoss::VmSilent);
    assert!(book.get(&name("frozen")).expect("known").is_silent(soon));
}

#[test]
fn an_engine_whose_agent_ended_keeps_its_calls() {
    let mut book = book(&[("alone", "a1", &["x"]), ("well", "a1", &[])]);
    book.forget_view(&name("alone"), AgentLoss::ProcessEnded);
    assert_eq!(placed(&book, "x").0, "alone");
}

/// All agents are away, as when an entry wakes from a freeze: nothing is better than what holds
/// the adapter.
#[test]
fn a_silent_vm_is_tried_when_nothing_else_can_serve() {
    let mut book = book(&[("e1", "a1", &["x"]), ("e2", "a1", &["y"])]);
    for id in ["e1", "e2"] {
        book.forget_view(&name(id), AgentLoss::VmSilent);
    }
    assert_eq!(placed(&book, "x").0, "e1");
}

/// An engine resets connections beyond its bound, and with them calls that may have run.
#[test]
fn an_entry_keeps_to_its_share_of_an_engines_connections() {
    let mut book = book(&[("e", "a1", &["x"])]);
    for _ in 0..5 {
        assert!(place_need(&book, &need("x"), None).is_some());
        book.begin_call(&name("e"), Some((&name("m"), &name("x"))));
    }
    assert_eq!(place_need(&book, &need("x"), None), None);
}

#[test]
fn an_engine_that_leaves_takes_nothing() {
    let mut book = book(&[("e", "a1", &["x"])]);
    let mut leaving = engine("e", "a1", &["x"]);
    leaving.leaving = true;
    leaving.sequence = 2;
    announce(&mut book, leaving);
    assert_eq!(place_need(&book, &need("x"), None), None);
}

#[test]
fn entries_that_never_talk_agree_on_the_engine_of_a_cold_adapter() {
    let engines: Vec<String> = (0..6).map(|index| format!("e{index}")).collect();
    let forward: Vec<(&str, &str, &[&str])> = engines
        .iter()
        .map(|id| (id.as_str(), "a1", &[][..]))
        .collect();
    let backward: Vec<_> = forward.iter().rev().copied().collect();
    let (one, other) = (book(&forward), book(&backward));
    let mut chosen = std::collections::BTreeSet::new();
    for adapter in 0..40 {
        let adapter = format!("a{adapter}");
        assert_eq!(placed(&one, &adapter), placed(&other, &adapter));
        chosen.insert(placed(&one, &adapter).0);
    }
    assert!(chosen.len() >= 5, "40 adapters went to {chosen:?} only");
}

/// The load of a hot adapter: prompts come faster than one engine reads them. The placer is
/// compared with the one that always stays with the first copy.
#[test]
fn a_hot_adapter_gets_as_many_copies_as_keep_it_in_time() {
    let engines: Vec<String> = (0..4).map(|index| format!("e{index}")).collect();
    let list: Vec<(&str, &str, &[&str])> = engines
        .iter()
        .map(|id| {
            (
                id.as_str(),
                "a1",
                if id == "e0" { &["x"][..] } else { &[][..] },
            )
        })
        .collect();
    let mut book = book(&list);
    let need = GenerationNeed {
        parts: amaranth_dispatch::call::PromptParts::new(),
        prompt_tokens: 2_400,
        ..need("x")
    };
    let (mut late, mut late_at_one) = (0, 0);
    for index in 0..24_u32 {
        let choice = place_need(&book, &need, None).expect("an engine");
        late += u32::from(choice.first_event > OBJECTIVE);
        let alone = Duration::from_millis(u64::from(index + 1) * 125);
        late_at_one += u32::from(alone > OBJECTIVE);
        let state = book.get_mut(&choice.endpoint).expect("known");
        state.estimate.begin(NOW, &need, need_key(&need), 1, 0);
        if choice.reason == PlaceReason::FreePlace {
            state.note_held(held("x", 1));
        }
    }
    assert!(
        late * 4 <= late_at_one,
        "late {late}, at one engine {late_at_one}"
    );
}
