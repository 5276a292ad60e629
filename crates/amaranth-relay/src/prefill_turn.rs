//! The wait of a call for the turn of its prompt, which the agent of the engine gives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_dispatch::endpoint_table::AgentFailure;
use amaranth_dispatch::pause_forecast::PauseCurve;
use amaranth_dispatch::prefill_turns::{TurnGrant, TurnId, TurnRequest};
use tokio::time::timeout;

use crate::entry::EntryCore;
use crate::routed_call::RoutedCall;
use crate::send_guard::SendGuard;

/// Divisor of the time left until the objective of the first event: the longest wait for a turn.
const WAIT_DIVISOR: u32 = 2;

/// Time beyond the longest wait after which the VM of an agent counts as silent: a cross-region round
/// trip, and 100 ms at each end for which a CPU quota may pause the process.
const ANSWER_SLACK: Duration = Duration::from_millis(250);

/// Part of the pause objective below which a prompt is sent without a turn. Many prompts are
/// that short, and each turn needs two messages.
const SHORT_PREFILL: f64 = 0.05;

/// The turn of a prompt, which ends when the value is dropped.
#[derive(Debug)]
pub struct PromptTurn {
    core: Arc<EntryCore>,
    agent: SocketAddr,
    grant: TurnGrant,
}

impl PromptTurn {
    /// Returns the number of prompt tokens that were sent to the engine before.
    pub const fn tokens_ahead(&self) -> u32 {
        self.grant.tokens_ahead
    }
}

impl Drop for PromptTurn {
    fn drop(&mut self) {
        let (core, agent, turn) = (Arc::clone(&self.core), self.agent, self.grant.turn);
        // Without a runtime the process ends, and the turn ends by itself.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(end_turn(core, agent, turn));
        }
    }
}

async fn end_turn(core: Arc<EntryCore>, agent: SocketAddr, turn: TurnId) {
    if let Err(error) = core.agents.end_turn(agent, turn).await {
        log::debug!("event=turn_not_ended error={error}");
    }
}

/// Waits for the turn of a call's prompt at its engine, if its route has a pause objective. A call
/// whose agent has ended is sent without a turn. Returns `false` if the VM of the engine did not
/// answer, so that the call is better sent elsewhere.
pub async fn take_turn(core: &Arc<EntryCore>, call: &RoutedCall, guard: &mut SendGuard) -> bool {
    let Some((agent, request)) = turn_request(core, call, guard) else {
        return true;
    };
    guard.record_prompt_queued();
    let longest = request.max_wait + ANSWER_SLACK;
    let answer = timeout(longest, core.agents.take_turn(agent, request)).await;
    let reason = match answer {
        Ok(Ok(grant)) => {
            guard.set_turn(PromptTurn {
                core: Arc::clone(core),
                agent,
                grant,
            });
            return true;
        }
        Ok(Err(error)) if error.failure == AgentFailure::ProcessEnded => error.to_string(),
        Ok(Err(_)) | Err(_) => {
            let mut state = core.state();
            state
                .endpoints
                .clear_view(guard.endpoint(), AgentFailure::VmSilent);
            drop(state);
            log::info!(
                "event=agent_lost endpoint={} loss={}",
                guard.endpoint(),
                AgentFailure::VmSilent
            );
            return false;
        }
    };
    log::info!(
        "event=turn_unavailable id={} endpoint={} reason={reason:?}",
        call.head.id,
        guard.endpoint()
    );
    true
}

/// Returns the request for a turn and the agent that gives it, unless the prompt is short, the engine
/// prefills too few tokens at once to cause long pauses, or the agent is not reached.
fn turn_request(
    core: &EntryCore,
    call: &RoutedCall,
    guard: &SendGuard,
) -> Option<(SocketAddr, TurnRequest)> {
    let pause_objective = call.route.pause_objective?;
    let now = core.now();
    let state = core.state();
    let endpoint = state.endpoints.get(guard.endpoint())?;
    if !endpoint.has_recent_view(now) {
        return None;
    }
    let tokens = guard.prefill_tokens(endpoint)?;
    let curve = PauseCurve::new(endpoint.estimate.speed(), endpoint.batch_size(), 1.0);
    if !curve.may_exceed(pause_objective) {
        return None;
    }
    let prefill_ms = f64::from(tokens) * endpoint.estimate.speed().prefill.value;
    if prefill_ms < pause_objective.as_secs_f64() * 1_000.0 * SHORT_PREFILL {
        return None;
    }
    let left = call.route.objective.saturating_sub(call.arrived.elapsed());
    let request = TurnRequest {
        endpoint: guard.endpoint().clone(),
        tokens,
        pause_objective,
        priority: call.priority,
        max_wait: left / WAIT_DIVISOR,
    };
    Some((core.agent_address(endpoint.record.address), request))
}
