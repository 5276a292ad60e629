//! Requests that can't end before their deadline are refused on arrival.

mod support;

use amaranth_core::errors::ErrorKind;
use amaranth_core::ids::RequestId;
use amaranth_core::request::RequestPriority;
use amaranth_core::time::Timestamp;
use amaranth_placement::planner::{
    EnginePlanner, PlannedRequest, PlannerCommand, PlannerCommands, PlannerEvent, PlannerOptions,
};

use support::{adapter, request};

/// The time for which each request is in the batch, in milliseconds.
const SERVICE_MS: u64 = 1_000;

/// The number of requests after which the planner has an estimate of the service time.
const SAMPLE_REQUESTS: u64 = 16;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn arrival(number: u64, deadline: Timestamp) -> PlannerEvent {
    PlannerEvent::Arrived(PlannedRequest {
        deadline,
        ..request(u128::from(number), "a", RequestPriority::Normal)
    })
}

/// Returns a planner with one batch slot, one resident adapter and an estimated service time, and
/// the current time in milliseconds.
fn planner_with_estimate(refuse_early: bool) -> (EnginePlanner, u64) {
    let mut planner = EnginePlanner::new(PlannerOptions {
        batch_slots: 1,
        refuse_early,
        ..PlannerOptions::default()
    });
    planner.handle(at(0), PlannerEvent::Inventory(vec![adapter("a")]));
    let mut now = 0;
    for number in 0..SAMPLE_REQUESTS {
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
fn request_that_cannot_end_before_its_deadline_is_refused_on_arrival() {
    let (mut planner, now) = planner_with_estimate(true);
    let commands = planner.handle(at(now), arrival(100, at(now + SERVICE_MS / 2)));
    assert_eq!(refusal(&commands), Some(ErrorKind::Overloaded));
    let commands = planner.handle(at(now), arrival(101, at(now + 2 * SERVICE_MS)));
    assert!(commands.contains(&PlannerCommand::Dispatch(RequestId(101))));
}

#[test]
fn request_that_cannot_end_in_time_is_dispatched_without_early_refusal() {
    let (mut planner, now) = planner_with_estimate(false);
    let commands = planner.handle(at(now), arrival(100, at(now + SERVICE_MS / 2)));
    assert!(commands.contains(&PlannerCommand::Dispatch(RequestId(100))));
}

#[test]
fn request_that_can_end_in_time_is_dispatched_before_one_that_cannot() {
    let (mut planner, now) = planner_with_estimate(true);
    planner.handle(at(now), arrival(100, at(now + 60_000)));
    planner.handle(at(now + 1), arrival(101, at(now + SERVICE_MS * 5 / 2)));
    planner.handle(at(now + 2), arrival(102, at(now + 60_000)));
    // The first request takes twice the usual time, so the second one has half a second left.
    let later = at(now + 2 * SERVICE_MS);
    let commands = planner.handle(later, PlannerEvent::Finished(RequestId(100)));
    assert!(commands.contains(&PlannerCommand::Dispatch(RequestId(102))));
    // The late request is dispatched as well once no other request waits.
    let commands = planner.handle(later, PlannerEvent::Finished(RequestId(102)));
    assert!(commands.contains(&PlannerCommand::Dispatch(RequestId(101))));
}

#[test]
fn requests_that_end_at_their_deadline_do_not_lower_the_estimated_service_time() {
    let (mut planner, mut now) = planner_with_estimate(false);
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
