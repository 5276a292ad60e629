//! The control thread, which owns the entry's control state.

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
use crate::config_follower;
use crate::directory::DirectoryOwner;
use crate::entry_state::EntryState;

/// Interval at which the control thread checks the policy and the age of announcements.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of queued events of the control thread.
pub const CONTROL_QUEUE: usize = 4_096;

/// An event for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// An agent sent an announcement.
    Announced(AgentAnnouncement),
    /// A request for the last announcement of each agent.
    ListAgents(oneshot::Sender<Vec<AgentAnnouncement>>),
}

/// The parts that the control thread owns.
pub struct ControlParts {
    /// The state shared with the request handlers.
    pub state: Arc<EntryState>,
    /// The owner of the directory of agents.
    pub directory: DirectoryOwner,
    /// The events of the directory.
    pub events: mpsc::Receiver<ControlEvent>,
    /// The task of the claim coordinator.
    pub claims: ClaimTask,
    /// The events of the claim task.
    pub claim_events: mpsc::Receiver<ClaimTaskEvent>,
    /// The follower of the configuration.
    pub follower: PreparedFollower,
    /// The token that is cancelled when the process ends.
    pub ended: CancellationToken,
}

/// Runs the control thread until the process ends.
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
    let configuration = config_follower::run(Arc::clone(&state), follower);
    tokio::select! {
        () = run_directory(state, directory, events) => {}
        () = configuration => {}
        () = claims.run(claim_events) => {}
        () = ended.cancelled() => {}
    }
}

async fn run_directory(
    state: Arc<EntryState>,
    mut directory: DirectoryOwner,
    mut events: mpsc::Receiver<ControlEvent>,
) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(ControlEvent::Announced(announcement)) => {
                    directory.apply_announcement(state.clock.now(), announcement);
                }
                Some(ControlEvent::ListAgents(reply)) => {
                    // The receiver may have been dropped in the meantime.
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

/// Returns the router options for the configured policy and store limits.
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
