//! The thread that owns the entry's control state.

use std::sync::Arc;
use std::time::Duration;

use amaranth_config::catalogue::Catalogue;
use amaranth_config::entries::PolicyPreset as ConfiguredPreset;
use amaranth_core::membership::AgentAnnouncement;
use amaranth_follow::PreparedFollower;
use amaranth_placement::presets::PolicyPreset;
use amaranth_placement::router::RouterOptions;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::claim_client::ClaimTaskEvent;
use crate::claim_task::ClaimTask;
use crate::config_tail;
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
    /// Someone wants the last announcement of each agent.
    ListAgents(oneshot::Sender<Vec<AgentAnnouncement>>),
}

/// What the control thread owns.
pub struct ControlParts {
    /// What it shares with traffic.
    pub state: Arc<EntryState>,
    /// The agents.
    pub directory: DirectoryOwner,
    /// What it is told.
    pub events: mpsc::Receiver<ControlEvent>,
    /// The claim desk.
    pub claims: ClaimTask,
    /// What the claim desk is told.
    pub claim_events: mpsc::Receiver<ClaimTaskEvent>,
    /// The follower of the configuration.
    pub follower: PreparedFollower,
    /// Cancelled when the process ends.
    pub ended: CancellationToken,
}

/// Runs control until the process ends.
pub async fn run(parts: ControlParts) {
    let ControlParts {
        state,
        directory,
        events,
        claims,
        claim_events,
        follower,
        ended,
    } = parts;
    let configuration = config_tail::run(Arc::clone(&state), follower);
    tokio::select! {
        () = keep_directory(state, directory, events) => {}
        () = configuration => {}
        () = claims.run(claim_events) => {}
        () = ended.cancelled() => {}
    }
}

async fn keep_directory(
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
                Some(ControlEvent::ListAgents(reply)) => {
                    // Whoever asked may have left.
                    let _ = reply.send(directory.announcements());
                }
                None => return,
            },
            _ = ticks.tick() => {
                let now = state.clock.now();
                directory.set_policy(now, policy_options(&state.catalogue.load()));
                directory.tick(now);
            }
        }
    }
}

/// Returns the router's options of the configured policy and store.
fn policy_options(catalogue: &Catalogue) -> RouterOptions {
    let preset = match catalogue.policy() {
        ConfiguredPreset::LoadStalls => PolicyPreset::LoadStalls,
        ConfiguredPreset::BatchEfficiency => PolicyPreset::BatchEfficiency,
    };
    RouterOptions {
        load_rate: catalogue.limits().store_loads.0,
        ..preset.router_options()
    }
}
