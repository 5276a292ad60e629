//! The stop of an agent: what entries wait for is handed back, and the order in flight is ended.

use std::time::Duration;

use amaranth_wire::transport::ServerHandle;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::agent::AgentCore;

/// Time for which the order in flight may take to be answered.
const ORDER_GRACE: Duration = Duration::from_millis(300);

/// Time in which the last answers are written to the connections of entries.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Stops an agent. Entries that wait for loads and turns get their answers, no further order is sent,
/// and the one in flight is awaited. Returns whether the order loop ended by itself.
pub async fn stop(core: &AgentCore, mut orders: JoinHandle<()>, server: &ServerHandle) -> bool {
    core.begin_stop();
    let has_ended = timeout(ORDER_GRACE, &mut orders).await.is_ok();
    orders.abort();
    sleep(FLUSH_TIME).await;
    server.stop();
    has_ended
}
