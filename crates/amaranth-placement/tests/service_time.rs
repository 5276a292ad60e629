//! Requests that can't end before their deadline are refused when they come.

mod support;

use amaranth_core::errors::ErrorKind;
use amaranth_core::ids::RequestId;
use amaranth_core::request::RequestPriority;
use amaranth_core::time::Timestamp;
use amaranth_placement::planner::{
    EnginePlanner, PlannedRequest, PlannerCommand, PlannerCommands, PlannerEvent, PlannerOptions,
};

use support::{adapter, request};

/// How long each request is in the batch.
const SERVICE_MS: u64 = 1_000;

/// Requests after which the planner knows the service time.
const LEARNED_FROM: u64 = 16;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn arrival(number: u64, deadline: Timestamp) -> PlannerEvent {
    PlannerEvent::Arrived(PlannedRequest {
        deadline,
        ..request(u128::from(number), "a", RequestPriority::Normal)
    })
}

/// Returns a planner with one place, one adapter and a known service time, and the time.
fn learned_planner(refuse_early: bool) -> (EnginePlanner, u64) {
    let mut planner = EnginePlanner::open(PlannerOptions {
        batch_slots: 1,
        refuse_early,
        ..PlannerOptions::default()
    });
    planner.handle(at(0), PlannerEvent::Inventory(vec![adapter("a")]));
    let mut now = 0;
    for number in 0..LEARNED_FROM {
        planner.handle(at(now), arrival(number, at(now + 60_000)));
        now += SERVICE_MS;
        let finished = PlannerEvent::Finished(RequestId(u128::from(number)));
        planner.handle(at(now), finished);
    }
    (planner, now)
}

fn refusal(commands: &PlannerCommands) -> Option<ErrorKind> {
    commands.iter().find_map(|command| match command {
        PlannerCommand::Refuse(_, error) => Some(error.kind),
        _ => None,
    })
}

#[test]
fn request_with_less_time_than_it_needs_is_refused_when_it_comes() {
    let (mut planner, now) = learned_planner(true);
    let commands = planner.handle(at(now), arrival(100, at(now + SERVICE_MS / 2)));
    assert_eq!(refusal(&commands), Some(ErrorKind::Overloaded));
    let commands = planner.handle(at(now), arrival(101, at(now + 2 * SERVICE_MS)));
    assert!(commands.contains(&PlannerCommand::Dispatch(RequestId(101))));
}

#[test]
fn planner_that_does_not_refuse_early_dispatches_it() {
    let (mut planner, now) = learned_planner(false);
    let commands = planner.handle(at(now), arrival(100, at(now + SERVICE_MS / 2)));
    assert!(commands.contains(&PlannerCommand::Dispatch(RequestId(100))));
}
