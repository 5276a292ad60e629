//! Sends claims to their agents and asks what became of them.

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

/// How long a call may go on after its caller's deadline, so that its outcome is recorded.
const OUTCOME_GRACE: Duration = Duration::from_secs(30);

/// Heartbeats that a call gets before its agent is asked about it, because asking seals a claim
/// that has not come.
const QUIET_HEARTBEATS: u32 = 2;

/// The way to the agent that a claim names.
enum ClaimWay {
    Open(Arc<AgentLink>),
    /// The agent was restarted: the life that the claim names is over.
    Gone,
    /// The agent is not known.
    Unknown,
}

fn way_to(state: &EntryState, proposal: &ClaimProposal) -> ClaimWay {
    match state.directory.agent(&proposal.agent) {
        Some(agent) if agent.identity.incarnation == proposal.agent_incarnation => {
            ClaimWay::Open(agent.link)
        }
        Some(_) => ClaimWay::Gone,
        None => ClaimWay::Unknown,
    }
}

/// Sends a call to the one agent that may run it, once.
pub async fn dispatch(
    state: &EntryState,
    proposal: &ClaimProposal,
    call: ServiceRequest,
) -> DispatchOutcome {
    let ClaimWay::Open(link) = way_to(state, proposal) else {
        return DispatchOutcome::NotRun(Error::new(
            ErrorKind::NoEndpoint,
            format!("agent {} left before the call was sent", proposal.agent),
        ));
    };
    let Some(claim) = call.claim.clone() else {
        return DispatchOutcome::NotRun(amaranth_core::errors::internal("the call has no claim"));
    };
    let handle = state.directory.endpoint(&proposal.endpoint);
    let mut visit = handle.and_then(|handle| state.directory.visit_service(&handle));
    let timeout = call.time_left + OUTCOME_GRACE;
    let calling = link.call(timeout, |client, context| async move {
        client.call_service(context, call).await
    });
    let outcome = tokio::select! {
        reply = calling => dispatch_outcome(reply),
        outcome = watch_over(state, &link, &claim) => outcome,
    };
    if let Some(visit) = &mut visit {
        match &outcome {
            DispatchOutcome::Answered(_) => visit.answered(),
            DispatchOutcome::NotRun(error) => visit.failed(error.kind),
            DispatchOutcome::Lost => visit.failed(ErrorKind::EndpointUnreachable),
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
        Err(LinkError::NotSent(what)) => {
            DispatchOutcome::NotRun(Error::new(ErrorKind::NoEndpoint, what))
        }
        Err(LinkError::Refused(_) | LinkError::Lost(_)) => DispatchOutcome::Lost,
    }
}

/// The heartbeat of an open call: asks the agent about it, so that a connection that went silent
/// is noticed and given up.
async fn watch_over(state: &EntryState, link: &AgentLink, claim: &ServiceClaim) -> DispatchOutcome {
    let heartbeat = state.settings.peers.heartbeat;
    tokio::time::sleep(heartbeat * QUIET_HEARTBEATS).await;
    loop {
        match ask(state, link, claim).await {
            SettleOutcome::Running => tokio::time::sleep(heartbeat).await,
            SettleOutcome::Done(answer) => return DispatchOutcome::Answered(answer),
            SettleOutcome::Sealed => {
                let error = Error::new(ErrorKind::Fenced, "the agent never got the call");
                return DispatchOutcome::NotRun(error);
            }
            SettleOutcome::Unknown | SettleOutcome::Unreachable => return DispatchOutcome::Lost,
        }
    }
}

/// Asks the agent that a claim names what became of it.
pub async fn settle(state: &EntryState, id: ClaimId, proposal: &ClaimProposal) -> SettleOutcome {
    let claim = ServiceClaim {
        key: proposal.key.clone(),
        id,
        agent_incarnation: proposal.agent_incarnation,
    };
    let outcome = match way_to(state, proposal) {
        ClaimWay::Open(link) => ask(state, &link, &claim).await,
        ClaimWay::Gone => SettleOutcome::Unknown,
        ClaimWay::Unknown => SettleOutcome::Unreachable,
    };
    state.decisions.record(format!(
        "event=claim_settled key={} claim={id} agent={} outcome={}",
        proposal.key,
        proposal.agent,
        outcome_name(&outcome)
    ));
    outcome
}

async fn ask(state: &EntryState, link: &AgentLink, claim: &ServiceClaim) -> SettleOutcome {
    let claim = claim.clone();
    let asking = link.call(state.settings.peers.silence, |client, context| async move {
        client.settle_claim(context, claim).await
    });
    match asking.await {
        Ok(ClaimStatus::Sealed) => SettleOutcome::Sealed,
        Ok(ClaimStatus::Running) => SettleOutcome::Running,
        Ok(ClaimStatus::Done(answer)) => SettleOutcome::Done(answer),
        Ok(ClaimStatus::Unknown) => SettleOutcome::Unknown,
        // The agent is of another life than the claim names.
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
