//! The exchange of findings about crashes between entries, through agents.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::time::WallTime;
use amaranth_dispatch::call_quarantine::EntryFindings;
use amaranth_dispatch::findings_hub::{FINDINGS_SEED, FindingsCursor, HubFindings, HubUpdate};
use amaranth_dispatch::holder_ranking::rank_holders;
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::crash_watch::apply_change;
use crate::entry::EntryCore;

/// Time for which an agent waits for findings that an entry lacks.
const EXCHANGE_WAIT: Duration = Duration::from_secs(8);

/// Time for which findings are collected before they are sent.
const COLLECT_TIME: Duration = Duration::from_millis(50);

/// Delay after an exchange that failed, or when no agent is known.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The state of the exchange with one agent.
#[derive(Debug, Default)]
struct HubLink {
    agent: Option<SocketAddr>,
    cursor: FindingsCursor,
    sent: EntryFindings,
}

/// Exchanges findings without end with the agent of this rank among those that hold them.
pub async fn exchange(core: Arc<EntryCore>, rank: usize) {
    let mut changes = core.findings_changed.subscribe();
    let mut link = HubLink::default();
    loop {
        let agents = rank_holders(FINDINGS_SEED, &core.holders());
        let Some(agent) = agents.get(rank).copied() else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        if link.agent != Some(agent) {
            link = HubLink {
                agent: Some(agent),
                ..HubLink::default()
            };
        }
        if let Err(error) = exchange_once(&core, agent, &mut link, &mut changes).await {
            log::debug!("event=findings_not_exchanged error={error}");
            link = HubLink::default();
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Sends what the agent lacks and waits for findings that the entry lacks. Returns early when the
/// entry's own findings change.
async fn exchange_once(
    core: &EntryCore,
    agent: SocketAddr,
    link: &mut HubLink,
    changes: &mut watch::Receiver<u64>,
) -> Result<(), crate::agent_link::AgentError> {
    changes.mark_unchanged();
    let findings = core.state().quarantine.findings().clone();
    // What an earlier process of this entry sent is read before it is replaced.
    let is_first = link.cursor == FindingsCursor::default();
    let own = (!is_first && findings != link.sent)
        .then(|| encode(core, &findings))
        .flatten();
    let wait = if is_first || own.is_some() {
        Duration::ZERO
    } else {
        EXCHANGE_WAIT
    };
    let is_sent = own.is_some();
    let exchanging = core.agents.exchange_findings(agent, own, link.cursor, wait);
    let update = tokio::select! {
        update = exchanging => update?,
        // The sender lives as long as the entry.
        _ = changes.changed(), if !is_sent && !is_first => {
            sleep(COLLECT_TIME).await;
            return Ok(());
        }
    };
    if is_sent {
        link.sent = findings;
    }
    if update.cursor.hub != link.cursor.hub {
        link.sent = EntryFindings::default();
    }
    link.cursor = update.cursor;
    apply(core, update, is_first);
    Ok(())
}

fn encode(core: &EntryCore, findings: &EntryFindings) -> Option<HubFindings> {
    match serde_json::to_vec(findings) {
        Ok(encoded) => Some(HubFindings {
            entry: core.options.name.clone(),
            encoded: Bytes::from(encoded),
        }),
        Err(error) => {
            log::warn!("event=findings_not_encoded error={error}");
            None
        }
    }
}

/// Applies the findings of other entries, and with the first update adopts those that an earlier process
/// of this entry sent.
fn apply(core: &EntryCore, update: HubUpdate, is_first: bool) {
    let now = WallTime::now();
    let mut others = Vec::new();
    let mut own = None;
    for HubFindings { entry, encoded } in update.findings {
        match serde_json::from_slice::<EntryFindings>(&encoded) {
            Ok(findings) if entry == core.options.name => own = is_first.then_some(findings),
            Ok(findings) => others.push((entry, findings)),
            Err(error) => log::warn!("event=findings_unreadable entry={entry} error={error}"),
        }
    }
    if !others.is_empty() {
        let change = core.state().quarantine.apply(now, others);
        apply_change(core, &change);
    }
    if let Some(own) = own {
        let change = core.state().quarantine.adopt(now, own);
        apply_change(core, &change);
    }
}
