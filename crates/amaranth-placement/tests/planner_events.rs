//! The commands of the planner in answer to single events.

mod support;

use amaranth_core::errors::ErrorKind;
use amaranth_core::ids::RequestId;
use amaranth_core::request::RequestPriority;
use amaranth_core::time::Timestamp;
use amaranth_placement::planner::{EnginePlanner, PlannerCommand, PlannerEvent, PlannerOptions};

use support::{adapter, request};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn planner(adapter_slots: usize, batch_slots: usize) -> EnginePlanner {
    EnginePlanner::new(PlannerOptions {
        adapter_slots,
        batch_slots,
        ..PlannerOptions::default()
    })
}

fn load(planner: &mut EnginePlanner, now: Timestamp, name: &str) {
    planner.handle(now, PlannerEvent::PermitGranted(adapter(name)));
    planner.handle(now, PlannerEvent::Loaded(adapter(name)));
}

#[test]
fn inventory_without_a_pinned_adapter_stops_dispatches_for_it() {
    let mut planner = planner(2, 1);
    let normal = RequestPriority::Normal;
    planner.handle(at(0), PlannerEvent::Arrived(request(1, "a", normal)));
    load(&mut planner, at(1), "a");
    planner.handle(at(2), PlannerEvent::Arrived(request(2, "a", normal)));
    planner.handle(at(3), PlannerEvent::Inventory(Vec::new()));
    let commands = planner.handle(at(4), PlannerEvent::Finished(RequestId(1)));
    assert!(
        !commands.contains(&PlannerCommand::Dispatch(RequestId(2))),
        "{commands:?}"
    );
    assert_eq!(planner.resident().count(), 0);
}

#[test]
fn permit_is_returned_if_no_adapter_can_be_evicted() {
    let mut planner = planner(1, 4);
    let normal = RequestPriority::Normal;
    planner.handle(at(0), PlannerEvent::Arrived(request(1, "a", normal)));
    load(&mut planner, at(1), "a");
    planner.handle(at(2), PlannerEvent::Arrived(request(2, "b", normal)));
    let commands = planner.handle(at(3), PlannerEvent::PermitGranted(adapter("b")));
    assert!(commands.contains(&PlannerCommand::ReturnPermit(adapter("b"))));
    assert!(!commands.contains(&PlannerCommand::Unload(adapter("a"))));
}

#[test]
fn adapter_with_the_least_demand_is_evicted() {
    let mut planner = planner(2, 4);
    let normal = RequestPriority::Normal;
    for (id, name) in [(1, "often"), (2, "often"), (3, "often"), (4, "rare")] {
        let now = at(1_000 * id as u64);
        planner.handle(now, PlannerEvent::Arrived(request(id, name, normal)));
        load(&mut planner, now, name);
        planner.handle(now, PlannerEvent::Finished(RequestId(id)));
    }
    planner.handle(at(9_000), PlannerEvent::Arrived(request(5, "new", normal)));
    let commands = planner.handle(at(9_001), PlannerEvent::PermitGranted(adapter("new")));
    assert_eq!(commands.to_vec(), [PlannerCommand::Unload(adapter("rare"))]);
    let commands = planner.handle(at(9_002), PlannerEvent::Unloaded(adapter("rare")));
    assert_eq!(commands.to_vec(), [PlannerCommand::Load(adapter("new"))]);
    let decisions: Vec<String> = planner
        .decisions()
        .map(|(_, decision)| decision.to_string())
        .collect();
    insta::assert_json_snapshot!(decisions);
}

#[test]
fn high_priority_requests_overtake_only_until_the_due_time() {
    let mut planner = planner(1, 1);
    let requested = |id, priority| PlannerEvent::Arrived(request(id, "a", priority));
    planner.handle(at(0), requested(1, RequestPriority::Normal));
    load(&mut planner, at(1), "a");
    planner.handle(at(2), requested(2, RequestPriority::Low));
    planner.handle(at(3), requested(3, RequestPriority::High));
    let first = planner.handle(at(4), PlannerEvent::Finished(RequestId(1)));
    assert_eq!(first.to_vec(), [PlannerCommand::Dispatch(RequestId(3))]);
    planner.handle(at(25_000), requested(4, RequestPriority::High));
    let second = planner.handle(at(25_001), PlannerEvent::Finished(RequestId(3)));
    assert_eq!(second.to_vec(), [PlannerCommand::Dispatch(RequestId(2))]);
}

#[test]
fn request_past_its_deadline_is_refused_as_not_run() {
    let mut planner = planner(1, 1);
    let normal = RequestPriority::Normal;
    planner.handle(at(0), PlannerEvent::Arrived(request(1, "a", normal)));
    let commands = planner.handle(at(30_000), PlannerEvent::Tick);
    let refused = commands.iter().find_map(|command| match command {
        PlannerCommand::Refuse(id, error) => Some((*id, error.kind)),
        _ => None,
    });
    assert_eq!(
        refused,
        Some((RequestId(1), ErrorKind::DeadlineBeforeStart))
    );
}

#[test]
fn failed_load_is_retried_with_exponential_backoff() {
    let mut planner = planner(1, 1);
    let normal = RequestPriority::Normal;
    planner.handle(at(0), PlannerEvent::Arrived(request(1, "a", normal)));
    planner.handle(at(1), PlannerEvent::PermitGranted(adapter("a")));
    let requests_permit = |commands: &[PlannerCommand]| {
        commands
            .iter()
            .any(|command| matches!(command, PlannerCommand::RequestPermit(..)))
    };
    let failed = planner.handle(at(100), PlannerEvent::LoadFailed(adapter("a")));
    assert!(
        !requests_permit(&failed),
        "a failed load is not retried at once"
    );
    assert_eq!(planner.next_wake(), Some(at(350)));
    assert!(requests_permit(
        &planner.handle(at(350), PlannerEvent::Tick)
    ));
    planner.handle(at(351), PlannerEvent::PermitGranted(adapter("a")));
    planner.handle(at(400), PlannerEvent::LoadFailed(adapter("a")));
    assert_eq!(planner.next_wake(), Some(at(900)));
}

#[test]
fn expected_adapter_is_loaded_before_its_first_request() {
    let mut planner = planner(2, 1);
    let commands = planner.handle(at(0), PlannerEvent::Expected(adapter("next")));
    assert_eq!(
        commands.to_vec(),
        [PlannerCommand::RequestPermit(adapter("next"), 0)]
    );
}

#[test]
fn adapters_are_loaded_again_after_an_engine_restart() {
    let mut planner = planner(2, 1);
    let normal = RequestPriority::Normal;
    planner.handle(at(0), PlannerEvent::Arrived(request(1, "a", normal)));
    load(&mut planner, at(1), "a");
    planner.handle(at(2), PlannerEvent::Finished(RequestId(1)));
    let commands = planner.handle(at(3), PlannerEvent::Inventory(Vec::new()));
    assert!(matches!(
        commands.as_slice(),
        [PlannerCommand::RequestPermit(wanted, _)] if *wanted == adapter("a")
    ));
}
