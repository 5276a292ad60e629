//! Dispatch of claimed calls to their agents, and queries for the status of claims.

use std::sync::Arc;
use std::time::Duration;

use amaranth_control::claim_event::{DispatchOutcome, SettleOutcome};
use amaranth_control::claim_record::ClaimProposal;
use amaranth_core::errors::{Error, ErrorKind, RunState};
use amaranth_core::ids::ClaimId;
use amaranth_core::request::{ServiceAnswer, ServiceClaim, ServiceRequest};
use amaranth_wire::agent::ClaimStatus;

use crate::agent_link::{AgentLink, LinkError};
use crate::entry_state::EntryState;

/// Time for which a call may run past its caller's deadline, so that its outcome is recorded.
const OUTCOME_GRACE: Duration = Duration::from_secs(30);

/// Number of heartbeats after which the agent of a call is first queried for the status of the
/// claim. An earlier query could seal a claim whose call has not arrived yet.
const HEARTBEATS_BEFORE_STATUS: u32 = 2;

/// The agent incarnation that a claim names, as the directory lists it.
enum ClaimAgent {
    /// The directory lists the agent incarnation.
    Known(Arc<AgentLink>),
    /// The agent was restarted, so the incarnation that the claim names has ended.
    Ended,
    /// The directory does not list the agent.
    Unknown,
}

fn claim_agent(state: &EntryState, proposal: &ClaimProposal) -> ClaimAgent {
    match state.directory.agent(&proposal.agent) {
        Some(agent) if agent.identity.incarnation == proposal.agent_incarnation => {
            ClaimAgent::Known(agent.link)
        }
        Some(_) => ClaimAgent::Ended,
        None => ClaimAgent::Unknown,
    }
}

/// Sends a call once, to the only agent that may run it, and returns the outcome.
pub async fn dispatch(
    state: &EntryState,
    proposal: &ClaimProposal,
    call: ServiceRequest,
) -> DispatchOutcome {
    let ClaimAgent::Known(link) = claim_agent(state, proposal) else {
        return DispatchOutcome::NotRun(Error::new(
            ErrorKind::NoEndpoint,
            format!(
                "agent {} was restarted or removed before the call was sent",
                proposal.agent
            ),
        ));
    };
    let Some(claim) = call.claim.clone() else {
        return DispatchOutcome::NotRun(amaranth_core::errors::internal("the call has no claim"));
    };
    let handle = state.directory.endpoint(&proposal.endpoint);
    let mut attempt = handle.and_then(|handle| state.directory.start_service_attempt(&handle));
    let timeout = call.time_left + OUTCOME_GRACE;
    let calling = link.call(timeout, |client, context| async move {
        client.call_service(context, call).await
    });
    let outcome = tokio::select! {
        reply = calling => dispatch_outcome(reply),
        outcome = poll_claim(state, &link, &claim) => outcome,
    };
    if let Some(attempt) = &mut attempt {
        match &outcome {
            DispatchOutcome::Answered(_) => attempt.record_answer(),
            DispatchOutcome::NotRun(error) => attempt.record_failure(error.kind),
            DispatchOutcome::Lost => attempt.record_failure(ErrorKind::EndpointUnreachable),
        }
    }
    outcome
}

fn dispatch_outcome(reply: Result<ServiceAnswer, LinkError>) -> DispatchOutcome {
    match reply {
        Ok(answer) => DispatchOutcome::Answered(answer),
        Err(LinkError::Refused(error)) if error.kind.answer().run == RunState::NotRun => {
            DispatchOutcome::NotRun(error)
        }
        Err(LinkError::NotSent(message)) => {
            DispatchOutcome::NotRun(Error::new(ErrorKind::NoEndpoint, message))
        }
        Err(LinkError::Refused(_) | LinkError::Lost(_)) => DispatchOutcome::Lost,
    }
}

/// Polls the agent for the status of a dispatched claim, as the heartbeat of the call: a connection
/// that has gone silent is detected and abandoned.
async fn poll_claim(state: &EntryState, link: &AgentLink, claim: &ServiceClaim) -> DispatchOutcome {
    let heartbeat = state.settings.peers.heartbeat;
    tokio::time::sleep(heartbeat * HEARTBEATS_BEFORE_STATUS).await;
    loop {
        match query_claim(state, link, claim).await {
            SettleOutcome::Running => tokio::time::sleep(heartbeat).await,
            SettleOutcome::Done(answer) => return DispatchOutcome::Answered(answer),
            SettleOutcome::Sealed => {
                let error = Error::new(ErrorKind::Fenced, "the agent never received the call");
                return DispatchOutcome::NotRun(error);
            }
            SettleOutcome::Unknown | SettleOutcome::Unreachable => return DispatchOutcome::Lost,
        }
    }
}

/// Queries the agent that a claim names for the status of the claim, and records the outcome.
pub async fn settle(state: &EntryState, id: ClaimId, proposal: &ClaimProposal) -> SettleOutcome {
    let claim = ServiceClaim {
        key: proposal.key.clone(),
        id,
        agent_incarnation: proposal.agent_incarnation,
    };
    let outcome = match claim_agent(state, proposal) {
        ClaimAgent::Known(link) => query_claim(state, &link, &claim).await,
        ClaimAgent::Ended => SettleOutcome::Unknown,
        ClaimAgent::Unknown => SettleOutcome::Unreachable,
    };
    state.decisions.record(format!(
        "event=claim_settled key={} claim={id} agent={} outcome={}",
        proposal.key,
        proposal.agent,
        outcome_name(&outcome)
    ));
    outcome
}

async fn query_claim(state: &EntryState, link: &AgentLink, claim: &ServiceClaim) -> SettleOutcome {
    let claim = claim.clone();
    let querying = link.call(state.settings.peers.silence, |client, context| async move {
        client.settle_claim(context, claim).await
    });
    match querying.await {
        Ok(ClaimStatus::Sealed) => SettleOutcome::Sealed,
        Ok(ClaimStatus::Running) => SettleOutcome::Running,
        Ok(ClaimStatus::Done(answer)) => SettleOutcome::Done(answer),
        Ok(ClaimStatus::Unknown) => SettleOutcome::Unknown,
        // The agent runs as another incarnation than the claim names.
        Err(LinkError::Refused(error)) if error.kind == ErrorKind::Fenced => SettleOutcome::Unknown,
        Err(LinkError::Refused(_) | LinkError::NotSent(_) | LinkError::Lost(_)) => {
            SettleOutcome::Unreachable
        }
    }
}

const fn outcome_name(outcome: &SettleOutcome) -> &'static str {
    match outcome {
        SettleOutcome::Sealed => "sealed",
        SettleOutcome::Running => "running",
        SettleOutcome::Done(_) => "done",
        SettleOutcome::Unknown => "unknown",
        SettleOutcome::Unreachable => "unreachable",
    }
}
