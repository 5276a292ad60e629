//! How long a call waits: as long as its chance to be served is worth more than an early refusal.

use std::time::Duration;

use amaranth_core::time::Timestamp;

use super::request::{AdmissionRequest, WaitForecast};

/// Value of a late answer, as a fraction of one on time. The customers value it at 0.21 to 0.74.
const LATE_VALUE: f64 = 0.3;

/// Likelihood to be on time from which an arriving call waits.
const ARRIVAL_LIKELIHOOD: f64 = 0.7;

/// Fraction of the objective for which a call is held without cost.
const FREE_HOLD_FRACTION: f64 = 0.125;

/// Fraction of the time until the deadline after which a refusal costs as much as the call is worth.
const FULL_COST_FRACTION: f64 = 0.75;

/// Fraction of the objective that is left for pauses of processes and errors of predictions. A call
/// that would be sent later counts as late.
const SAFETY_FRACTION: f64 = 0.05;

/// Returns the probability that a wait predicted as `wait` ends within `left`. Actual waits are
/// taken to be between half and twice the predicted one.
pub(super) fn likelihood(wait: Duration, left: Duration) -> f64 {
    if left.is_zero() {
        return 0.0;
    }
    let ratio = wait.as_secs_f64() / left.as_secs_f64();
    (0.5 - 0.5 * ratio.max(f64::MIN_POSITIVE).log2()).clamp(0.0, 1.0)
}

/// Returns the time for which a call may still wait and be on time, with a first event after the
/// `typical` time.
///
/// The call's own time to a first event is not used: large prompts would be refused, and go last,
/// whenever calls wait.
pub(super) fn on_time_left(
    now: Timestamp,
    request: &AdmissionRequest,
    typical: Duration,
) -> Duration {
    let safety = request.objective.mul_f64(SAFETY_FRACTION);
    let first_event = typical.min(request.objective / 2) + safety;
    (request.arrived + request.objective).since(now + first_event)
}

/// Returns the time for which a call may still wait so that its answer is of use.
pub(super) fn late_left(now: Timestamp, request: &AdmissionRequest) -> Duration {
    request.useful_until.since(now + request.first_event)
}

/// Returns the cost of a refusal at `now`, as a fraction of the value of an answer on time: nothing
/// at first, everything shortly before the deadline.
pub(super) fn holding_cost(now: Timestamp, request: &AdmissionRequest) -> f64 {
    let free = request.objective.as_secs_f64() * FREE_HOLD_FRACTION;
    let limit = request.deadline.since(request.arrived).as_secs_f64() * FULL_COST_FRACTION;
    let held = now.since(request.arrived).as_secs_f64();
    ((held - free) / (limit - free).max(0.001)).clamp(0.0, 1.0)
}

/// Returns whether an arriving call waits. While no rate of departures is known, every call waits
/// whose answer would still be of use.
pub(super) fn is_admitted(
    now: Timestamp,
    request: &AdmissionRequest,
    forecast: &WaitForecast,
    typical: Duration,
) -> bool {
    let late_left = late_left(now, request);
    let (Some(wait), Some(late_wait)) = (forecast.wait, forecast.late_wait) else {
        return !late_left.is_zero();
    };
    likelihood(wait, on_time_left(now, request, typical)) >= ARRIVAL_LIKELIHOOD
        || likelihood(late_wait, late_left) >= 1.0 / (1.0 + LATE_VALUE)
}

/// Returns whether a waiting call goes on waiting: its expected value is higher than the cost of
/// holding it until now, which a refusal now would have.
pub(super) fn continues(
    now: Timestamp,
    request: &AdmissionRequest,
    forecast: &WaitForecast,
    typical: Duration,
) -> bool {
    let late_left = late_left(now, request);
    let (Some(wait), Some(late_wait)) = (forecast.wait, forecast.late_wait) else {
        return !late_left.is_zero();
    };
    let on_time = likelihood(wait, on_time_left(now, request, typical));
    let late = likelihood(late_wait, late_left);
    let refusal_value = 1.0 - holding_cost(now, request);
    2.0 * on_time >= refusal_value || (1.0 + LATE_VALUE) * late >= refusal_value
}
