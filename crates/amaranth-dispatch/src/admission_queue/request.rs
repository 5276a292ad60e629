//! What the admission decision knows of a call, and how it refuses one.

use std::fmt;
use std::time::Duration;

use amaranth_core::ids::TeamName;
use amaranth_core::time::Timestamp;
use strum::{Display, IntoStaticStr};

use crate::call::RequestDigest;

/// Work of a generated token, in prompt tokens. On the engines of the known deployments a decode
/// step of a batch takes about as long as this many prompt tokens for each of its requests.
const WORK_PER_OUTPUT_TOKEN: u64 = 10;

/// Work of the load of an adapter, in prompt tokens: a slot and a fetch are taken for about the
/// time in which an engine reads this many.
const LOAD_WORK: u64 = 1_000;

/// The work that a call causes at an endpoint, in prompt tokens. It decides shares of teams and
/// predicted waits, never which endpoint serves the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallWork(u64);

impl CallWork {
    /// The work of a call to a plain service.
    pub const PLAIN: Self = Self(1_000);

    /// Returns the work of a generation that has `prompt_tokens` to read.
    pub const fn of_generation(prompt_tokens: u32, expected_output: u32, needs_load: bool) -> Self {
        let load = if needs_load { LOAD_WORK } else { 0 };
        Self(prompt_tokens as u64 + expected_output as u64 * WORK_PER_OUTPUT_TOKEN + load + 1)
    }

    /// Returns the work in prompt tokens.
    pub const fn tokens(self) -> u64 {
        self.0
    }
}

impl fmt::Display for CallWork {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identifies what a call needs of an endpoint. Calls with the same need have the same obstacle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct CallNeed(pub u64);

/// A call that asks for a place at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The rank, 0 being the most urgent.
    pub rank: u8,
    /// The team, if the call has one.
    pub team: Option<TeamName>,
    /// The work that the call causes.
    pub work: CallWork,
    /// What the call needs of an endpoint.
    pub need: CallNeed,
    /// The digest by which further attempts of the caller are recognized.
    pub request: RequestDigest,
    /// The arrival of the call.
    pub arrived: Timestamp,
    /// The time after the arrival until which a first event is on time.
    pub objective: Duration,
    /// The time until which the caller waits.
    pub deadline: Timestamp,
    /// The time until which a first event is of use to the caller: its deadline, or the end of its
    /// patience without an event if that is earlier, less the time that the answer takes to it.
    pub useful_until: Timestamp,
    /// The predicted time from sending the call until its first event.
    pub first_event: Duration,
    /// Whether the call was sent before, so that its caller may have received a part of the answer.
    pub was_sent: bool,
}

/// The reason why a call gets no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AdmissionCause {
    /// By the prediction at its arrival, the call can be neither on time nor late.
    AtArrival,
    /// The queue is full of calls that are at least as urgent.
    QueueFull,
    /// The call was removed from the full queue in favour of a more urgent one or of another team.
    Displaced,
    /// The call waited, and by a newer prediction it is not served in time any more.
    GaveUp,
    /// The call waited for as long as an answer was of use.
    Expired,
}

/// The position of a call in the queue and the prediction of its wait.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct WaitForecast {
    /// The number of waiting calls that go before it.
    pub position: usize,
    /// The work that is served before it: that of more urgent ranks, of its own team, and of other
    /// teams within their share.
    pub work_ahead: u64,
    /// The work per second that leaves the queue for its rank, if that is known.
    pub rate: Option<f64>,
    /// The predicted wait, if the rate is known.
    pub wait: Option<Duration>,
    /// The part of the wait that is due to callers who were told to return before its turn.
    pub returns: Duration,
    /// The predicted wait of a call that can only be late: calls that arrive meanwhile go before it.
    pub late_wait: Option<Duration>,
}

/// The refusal of a call, with what explains it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRefusal {
    /// The reason.
    pub cause: AdmissionCause,
    /// The position and predicted wait on which the decision is based.
    pub forecast: WaitForecast,
    /// The time after which there is room for the call.
    pub retry_after: Duration,
}
