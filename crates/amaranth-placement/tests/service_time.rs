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

#[test]
fn request_that_can_end_in_time_goes_before_one_that_cannot() {
    let (mut planner, now) = learned_planner(true);
    planner.handle(at(now), arrival(100, at(now + 60_000)));
    planner.handle(at(now + 1), arrival(101, at(now + SERVICE_MS * 5 / 2)));
    planner.handle(at(now + 2), arrival(102, at(now + 60_000)));
    // The first request takes twice as long as usual, which leaves the second half a second.
    let later = at(now + 2 * SERVICE_MS);
    let commands = planner.handle(later, PlannerEvent::Finished(RequestId(100)));
    assert!(commands.contains(&PlannerCommand::Dispatch(RequestId(102))));
    // With nothing else to do, the engine tries the late one as well.
    let commands = planner.handle(later, PlannerEvent::Finished(RequestId(102)));
    assert!(commands.contains(&PlannerCommand::Dispatch(RequestId(101))));
}

#[test]
fn requests_cut_off_by_their_deadline_do_not_shorten_the_expected_service() {
    let (mut planner, mut now) = learned_planner(false);
    for number in 200..216 {
        planner.handle(at(now), arrival(number, at(now + 10)));
        now += 10;
        let finished = PlannerEvent::Finished(RequestId(u128::from(number)));
        planner.handle(at(now), finished);
    }
    planner.handle(at(now), arrival(300, at(now + 60_000)));
    planner.handle(at(now + 1), arrival(301, at(now + SERVICE_MS * 3 / 2)));
    planner.handle(at(now + 2), arrival(302, at(now + 60_000)));
    let later = at(now + SERVICE_MS);
    let commands = planner.handle(later, PlannerEvent::Finished(RequestId(300)));
    assert!(commands.contains(&PlannerCommand::Dispatch(RequestId(302))));
}
