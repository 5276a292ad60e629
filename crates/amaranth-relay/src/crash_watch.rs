//! Detection of engines that crashed under a call, and the quarantine of the prompt parts that
//! crash them.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_core::time::WallTime;
use amaranth_dispatch::call::{GenerationNeed, PartId};
use amaranth_dispatch::prompt_quarantine::{CrashReport, QuarantineChange, QuarantinedParts};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::entry::EntryCore;

/// Time for which the calls that a crash broke are collected.
const COLLECT_TIME: Duration = Duration::from_millis(30);

/// Timeout for the connection that shows whether an engine still listens: a cross-region round trip
/// and a pause of this process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The shared prompt parts of calls whose engine closed the connection, by engine, until it is known
/// whether the engine crashed.
#[derive(Debug, Default)]
pub struct CrashWatch {
    suspects: Mutex<HashMap<EndpointId, BTreeSet<PartId>>>,
}

impl CrashWatch {
    fn lock(&self) -> MutexGuard<'_, HashMap<EndpointId, BTreeSet<PartId>>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records that an engine closed the connection of a call whose answer had not survived. The parts of
/// the prompt become suspects if the engine proves to have crashed.
pub fn record_lost_connection(core: &Arc<EntryCore>, endpoint: &EndpointId, need: &GenerationNeed) {
    let mut parts = need.shared_parts().peekable();
    if parts.peek().is_none() {
        return;
    }
    let mut suspects = core.crashes.lock();
    if let Some(known) = suspects.get_mut(endpoint) {
        known.extend(parts);
        return;
    }
    suspects.insert(endpoint.clone(), parts.collect());
    drop(suspects);
    let (core, endpoint) = (Arc::clone(core), endpoint.clone());
    tokio::spawn(async move { confirm_crash(&core, endpoint).await });
}

/// Reports a crash with the suspects collected, unless the engine left as planned or still listens.
async fn confirm_crash(core: &Arc<EntryCore>, endpoint: EndpointId) {
    let seen_at = WallTime::now();
    sleep(COLLECT_TIME).await;
    let suspects = core.crashes.lock().remove(&endpoint).unwrap_or_default();
    let known = {
        let state = core.state();
        let known = state.endpoints.get(&endpoint);
        known
            .filter(|known| known.is_accepting())
            .map(|known| (known.record.address, known.record.started_ms))
    };
    let Some((address, started_ms)) = known else {
        return;
    };
    if !is_connection_refused(address).await {
        return;
    }
    log::info!(
        "event=engine_crashed endpoint={endpoint} suspects={}",
        suspects.len()
    );
    let crash = CrashReport {
        engine: endpoint,
        started_ms,
        seen_at,
        suspects,
    };
    let change = core.state().quarantine.record_crash(WallTime::now(), crash);
    apply_change(core, &change);
}

/// Returns whether nothing listens at an address, although its VM responds.
async fn is_connection_refused(address: SocketAddr) -> bool {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(
        connecting,
        Ok(Err(error)) if matches!(
            error.kind(),
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
        )
    )
}

/// Records that the answer to a prompt survived, so that its parts do not crash engines.
pub fn record_survival(core: &EntryCore, need: &GenerationNeed) {
    let now = WallTime::now();
    let change = core
        .state()
        .quarantine
        .record_survival(now, need.shared_parts());
    apply_change(core, &change);
}

/// Returns the remaining time of the quarantine of a prompt, if one of its parts is quarantined.
pub fn quarantine_left(core: &EntryCore, need: &GenerationNeed) -> Option<Duration> {
    let state = core.state();
    if state.quarantine.is_empty() {
        return None;
    }
    state
        .quarantine
        .time_left(WallTime::now(), need.shared_parts())
}

/// Logs the changes of the quarantine and schedules the publication of the entry's findings.
pub fn apply_change(core: &EntryCore, change: &QuarantineChange) {
    for (parts, crashes) in &change.begun {
        log::warn!(
            "event=parts_quarantined parts={} crashes={crashes}",
            join(parts)
        );
    }
    for parts in &change.ended {
        log::info!("event=parts_cleared parts={}", join(parts));
    }
    if !change.begun.is_empty() {
        // Queued calls with the part are refused now.
        core.notify_change();
    }
    if change.must_publish {
        core.findings_changed.notify_one();
    }
}

fn join(parts: &QuarantinedParts) -> String {
    let names: Vec<String> = parts.iter().map(PartId::to_string).collect();
    names.join("+")
}
