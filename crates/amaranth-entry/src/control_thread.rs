//! The thread that owns the entry's control state.

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::membership::AgentAnnouncement;
use tokio::sync::mpsc;

use crate::directory::DirectoryOwner;
use crate::entry_state::EntryState;

/// How often control looks at the time.
const TICK: Duration = Duration::from_millis(100);

/// Events that wait for control at once.
pub const CONTROL_QUEUE: usize = 4_096;

/// What control is told.
#[derive(Debug)]
pub enum ControlEvent {
    /// An agent announced itself.
    Announced(AgentAnnouncement),
}

/// Runs control until every sender of events is gone.
pub async fn run(
    state: Arc<EntryState>,
    mut directory: DirectoryOwner,
    mut events: mpsc::Receiver<ControlEvent>,
) {
    let mut ticks = tokio::time::interval(TICK);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(ControlEvent::Announced(announcement)) => {
                    directory.announce(state.clock.now(), announcement);
                }
                None => return,
            },
            _ = ticks.tick() => directory.tick(state.clock.now()),
        }
    }
}
