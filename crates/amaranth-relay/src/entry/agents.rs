//! The agents of engines, as an entry reaches them.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_dispatch::endpoint_table::{AgentFailure, EndpointState};
use amaranth_dispatch::holder_ranking::{StateHolder, select_holders};
use tokio::time::timeout;

use super::EntryCore;
use crate::agent_link::AgentError;

/// A revision that no view has, so that the agent answers at once.
const UNSEEN_REVISION: u64 = u64::MAX;

/// Time within which a VM answers: a cross-region round trip, and 100 ms at each end for which a
/// CPU quota may pause the process.
const VM_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

impl EntryCore {
    /// Returns the agents of the fleet that hold what entries share.
    pub fn holders(&self) -> Vec<StateHolder> {
        let state = self.state();
        let Some(table) = state.config.current() else {
            return Vec::new();
        };
        let is_engine = |endpoint: &&EndpointState| {
            let rule = table.service(&endpoint.record.service);
            rule.is_some_and(|rule| rule.engine.is_some())
        };
        let engines = state.endpoints.iter().filter(is_engine);
        select_holders(engines.map(|endpoint| {
            let agent = self.agent_address(endpoint.record.address);
            (agent, endpoint.record.data_centre.as_str())
        }))
    }

    /// Returns the address of the agent of an engine: the VM of the engine, at the common agent
    /// port.
    pub const fn agent_address(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.options.agent_port)
    }

    /// Reports this entry's usage to an engine's agent and records the view that the agent returns
    /// at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent can't be reached in time.
    pub async fn refresh_view(&self, id: &EndpointId) -> Result<(), AgentError> {
        let (usage, address) = {
            let mut state = self.state();
            let Some(endpoint) = state.endpoints.get(id) else {
                return Ok(());
            };
            let address = endpoint.record.address;
            (state.endpoints.take_usage(&self.options.name, id), address)
        };
        let agent = self.agent_address(address);
        let view = self
            .agents
            .exchange(agent, usage, UNSEEN_REVISION, Duration::ZERO)
            .await?;
        self.record_view(id, view);
        Ok(())
    }

    /// Returns whether the VM of an engine responds now, even if its agent process has ended.
    pub async fn is_vm_responsive(&self, id: &EndpointId) -> bool {
        let failure = match timeout(VM_RESPONSE_TIMEOUT, self.refresh_view(id)).await {
            Ok(Ok(())) => return true,
            Ok(Err(error)) => error.failure,
            Err(_) => AgentFailure::VmSilent,
        };
        self.state().endpoints.clear_view(id, failure);
        log::info!("event=agent_lost endpoint={id} loss={failure}");
        failure == AgentFailure::ProcessEnded
    }
}
