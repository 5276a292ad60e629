//! What a run leaves behind for the checker.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranth_core::errors::RunState;
use amaranth_core::ids::{ConfigRevision, EndpointId, IdempotencyKey, ProcessId};
use serde::Serialize;

/// What a caller asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum CallWish {
    /// A completion whose only right answer is known beforehand.
    Completion {
        /// The `name@version` or base model that must serve it.
        served_model: String,
        /// The whole right text.
        text: String,
    },
    /// A non-idempotent call under a key.
    Booking {
        /// The key.
        key: IdempotencyKey,
    },
}

/// What a caller got in the end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum CallResult {
    /// An answer that claims to be whole.
    Answered {
        /// The model that the answer names; empty for a booking.
        served_model: String,
        /// The text or body.
        text: String,
    },
    /// An explicit error.
    Refused {
        /// The HTTP status, or 200 for an error within a stream.
        status: u16,
        /// The error code.
        code: String,
        /// What the error says about the work.
        run: RunState,
    },
    /// The connection broke or the answer stopped without an end or an error.
    Broken {
        /// What the caller saw.
        reason: String,
        /// Whether the entry that served the call had been killed, which no entry can announce.
        entry_killed: bool,
    },
}

/// One call from beginning to end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CallRecord {
    /// The wish.
    pub wish: CallWish,
    /// The result.
    pub result: CallResult,
    /// When the call began, from the beginning of the run.
    pub started: Duration,
    /// When it ended.
    pub ended: Duration,
    /// The revision that the answer says it was routed by.
    pub revision: Option<ConfigRevision>,
    /// The entry that was asked.
    pub entry: ProcessId,
}

/// What a plain service counted, by key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ServiceBook {
    /// Executions for each key, over all instances of the service.
    pub executions: BTreeMap<IdempotencyKey, u64>,
}

/// What one engine saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EngineBook {
    /// The engine.
    pub endpoint: EndpointId,
    /// Unload orders that it carried out.
    pub unloads: u64,
    /// Unload orders that hit an adapter with a request in flight.
    pub unloads_in_flight: u64,
    /// When requests reached the engine, from the beginning of the run.
    pub arrivals: Vec<Duration>,
}

/// A planned stop of an endpoint's agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PlannedStop {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When it was told to leave.
    pub told: Duration,
    /// When it had ended.
    pub ended: Duration,
    /// Requests that its agent ended without finishing them.
    pub cut: u64,
}

/// A configuration change that was accepted during the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AcceptedChange {
    /// Its revision.
    pub revision: ConfigRevision,
    /// When it was accepted.
    pub accepted: Duration,
}

/// A reading of the revision in force at one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RevisionReading {
    /// The process and its life, as text.
    pub process: String,
    /// When it was read.
    pub at: Duration,
    /// The revision.
    pub revision: ConfigRevision,
}

/// Everything that a run leaves behind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RunEvidence {
    /// Calls in the order of their end.
    pub calls: Vec<CallRecord>,
    /// The services' own counters.
    pub services: ServiceBook,
    /// The engines' own records.
    pub engines: Vec<EngineBook>,
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Accepted changes.
    pub changes: Vec<AcceptedChange>,
    /// Readings of revisions, in the order of time.
    pub readings: Vec<RevisionReading>,
}
