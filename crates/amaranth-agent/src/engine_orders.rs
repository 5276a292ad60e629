//! Orders to an engine, sent under a lease. After an order without an answer, reading the
//! engine's inventory shows the result.

use std::sync::Arc;
use std::time::Duration;

use amaranth_control::lease::state::OrderPermit;
use amaranth_control::pins::UnloadOrder;
use amaranth_core::ids::{AdapterRef, FencingToken};
use amaranth_ports::engine::EnginePort;
use amaranth_ports::{PortError, PortResult};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::clock::AgentClock;

/// Time between two attempts to read the inventory after an order without an answer.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay after an order that was refused or not sent, so that the planner does not repeat it at
/// once.
const REFUSAL_DELAY: Duration = Duration::from_millis(250);

/// Sends orders to one engine.
#[derive(Clone)]
pub struct EngineOrders {
    /// The client of the engine.
    pub port: Arc<dyn EnginePort>,
    /// The clock of the order permits.
    pub clock: AgentClock,
    /// The timeout of an order, after which it can no longer take effect.
    pub order_timeout: Duration,
}

impl EngineOrders {
    /// Loads an adapter and returns when it is certain whether the adapter is resident.
    ///
    /// # Errors
    ///
    /// Returns an error when the adapter is not resident.
    pub async fn load(&self, adapter: &AdapterRef, permit: Option<OrderPermit>) -> PortResult<()> {
        let limit = self.order_timeout;
        let deadline = Instant::now() + limit;
        let sent = match self.token(permit.as_ref()) {
            Ok(token) => timeout_at(deadline, self.port.load_adapter(adapter, token, limit))
                .await
                .unwrap_or_else(|_| Err(order_timed_out())),
            Err(error) => Err(error),
        };
        match sent {
            Err(PortError::Uncertain(what)) => {
                if self.read_back(adapter, deadline).await {
                    return Ok(());
                }
                Err(PortError::Refused(format!("not resident after {what}")))
            }
            Err(error) => {
                sleep(REFUSAL_DELAY).await;
                Err(error)
            }
            Ok(()) => Ok(()),
        }
    }

    /// Unloads an adapter and returns when it is certain whether the adapter is resident.
    ///
    /// # Errors
    ///
    /// Returns an error when the adapter is still resident.
    pub async fn unload(&self, order: UnloadOrder) -> PortResult<()> {
        let adapter = order.adapter();
        let limit = self.order_timeout;
        let deadline = Instant::now() + limit;
        let sent = match self.token(Some(order.permit())) {
            Ok(token) => timeout_at(deadline, self.port.unload_adapter(adapter, token, limit))
                .await
                .unwrap_or_else(|_| Err(order_timed_out())),
            Err(error) => Err(error),
        };
        match sent {
            Err(PortError::Uncertain(what)) => {
                if self.read_back(adapter, deadline).await {
                    return Err(PortError::Refused(format!("still resident after {what}")));
                }
                Ok(())
            }
            Err(error) => {
                sleep(REFUSAL_DELAY).await;
                Err(error)
            }
            Ok(()) => Ok(()),
        }
    }

    /// Refuses an order that must not be sent, after the delay before which the planner should
    /// not repeat it.
    ///
    /// # Errors
    ///
    /// Always returns `Refused` with `reason`.
    pub async fn refuse(&self, reason: &str) -> PortResult<()> {
        sleep(REFUSAL_DELAY).await;
        Err(PortError::Refused(reason.to_owned()))
    }

    /// Returns the fencing token of `permit` if it is valid now. Called directly before sending.
    fn token(&self, permit: Option<&OrderPermit>) -> PortResult<FencingToken> {
        permit
            .and_then(|permit| permit.token_at(self.clock.now()))
            .ok_or_else(|| PortError::Refused("the lease is not held".to_owned()))
    }

    /// Waits until `deadline`, after which the order can no longer take effect, and returns
    /// whether the adapter is then resident.
    async fn read_back(&self, adapter: &AdapterRef, deadline: Instant) -> bool {
        sleep_until(deadline).await;
        loop {
            match self.port.inventory().await {
                Ok(inventory) => return inventory.adapters.contains(adapter),
                Err(_) => sleep(READ_BACK_INTERVAL).await,
            }
        }
    }
}

fn order_timed_out() -> PortError {
    PortError::Uncertain("no answer within the order timeout".to_owned())
}
