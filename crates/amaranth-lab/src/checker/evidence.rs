//! The records of a run that the checker reads.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranth_core::errors::RunState;
use amaranth_core::ids::{ConfigRevision, EndpointId, IdempotencyKey, ProcessId};
use serde::Serialize;

/// The request that a caller sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum CallRequest {
    /// A completion whose only correct answer is known beforehand.
    Completion {
        /// The `name@version` or base model that must serve the completion.
        served_model: String,
        /// The full text of the correct answer.
        text: String,
    },
    /// A non-idempotent call with an idempotency key.
    Booking {
        /// The idempotency key.
        key: IdempotencyKey,
    },
}

/// The result that a caller received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub enum CallResult {
    /// An answer that claims to be complete.
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
        /// The error's statement on whether the work ran.
        run: RunState,
    },
    /// The connection broke or the answer stopped without an end or an error.
    Broken {
        /// The failure as the caller saw it.
        reason: String,
        /// Whether the entry was killed during the call; a killed entry can't send an error.
        entry_killed: bool,
    },
}

/// The record of one call from start to end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CallRecord {
    /// The request that the caller sent.
    #[serde(rename = "wish")]
    pub request: CallRequest,
    /// The result that the caller received.
    pub result: CallResult,
    /// The start of the call, measured from the start of the run.
    pub started: Duration,
    /// The end of the call, measured from the start of the run.
    pub ended: Duration,
    /// The configuration revision that routed the call, as the answer states it.
    pub revision: Option<ConfigRevision>,
    /// The entry that received the call.
    pub entry: ProcessId,
}

/// The executions that a plain service counted, by idempotency key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct ServiceRecord {
    /// Number of executions for each key, over all instances of the service.
    pub executions: BTreeMap<IdempotencyKey, u64>,
}

/// The unloads and requests that one engine recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EngineRecord {
    /// The endpoint of the engine.
    pub endpoint: EndpointId,
    /// Number of unload orders that the engine carried out.
    pub unloads: u64,
    /// Number of unload orders for an adapter with a request in flight.
    pub unloads_in_flight: u64,
    /// The times at which requests reached the engine, measured from the start of the run.
    pub arrivals: Vec<Duration>,
}

/// The record of a planned stop of an endpoint's agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PlannedStop {
    /// The endpoint whose agent was stopped.
    pub endpoint: EndpointId,
    /// The time at which the drain was requested, measured from the start of the run.
    #[serde(rename = "told")]
    pub requested: Duration,
    /// The time at which the agent had ended, measured from the start of the run.
    pub ended: Duration,
    /// Number of requests that the agent ended before they were complete.
    #[serde(rename = "cut")]
    pub aborted: u64,
}

/// A configuration change that was accepted during the run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AcceptedChange {
    /// The revision that the change created.
    pub revision: ConfigRevision,
    /// The time of the acceptance, measured from the start of the run.
    pub accepted: Duration,
}

/// A reading of the configuration revision in force at one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RevisionReading {
    /// The process and its incarnation, as text.
    pub process: String,
    /// The time of the reading, measured from the start of the run.
    pub at: Duration,
    /// The revision in force.
    pub revision: ConfigRevision,
}

/// All records of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RunEvidence {
    /// Calls in the order of their ends.
    pub calls: Vec<CallRecord>,
    /// Executions that the services counted.
    pub services: ServiceRecord,
    /// Records of the engines.
    pub engines: Vec<EngineRecord>,
    /// Planned stops of agents.
    pub stops: Vec<PlannedStop>,
    /// Accepted configuration changes.
    pub changes: Vec<AcceptedChange>,
    /// Readings of revisions, in order of time.
    pub readings: Vec<RevisionReading>,
}
