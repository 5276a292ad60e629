//! Detection of endpoints that crashed under a call, and the quarantine of the calls that crash them.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_core::time::WallTime;
use amaranth_dispatch::call::CallProperty;
use amaranth_dispatch::call_quarantine::{CrashReport, QuarantineChange, QuarantinedProperties};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::entry::EntryCore;

/// Time for which the calls that a crash broke are collected.
const COLLECT_TIME: Duration = Duration::from_millis(30);

/// Timeout for the connection that shows whether an engine still listens: a cross-region round trip
/// and a pause of this process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The properties of calls whose endpoint closed the connection, by endpoint, until it is known
/// whether the endpoint crashed.
#[derive(Debug, Default)]
pub struct CrashWatch {
    suspects: Mutex<HashMap<EndpointId, BTreeSet<CallProperty>>>,
}

impl CrashWatch {
    fn lock(&self) -> MutexGuard<'_, HashMap<EndpointId, BTreeSet<CallProperty>>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records that an endpoint closed the connection of a call whose answer had not survived. The
/// properties of the call become suspects if the endpoint proves to have crashed.
pub fn record_lost_connection(
    core: &Arc<EntryCore>,
    endpoint: &EndpointId,
    properties: &[CallProperty],
) {
    if properties.is_empty() {
        return;
    }
    let properties = properties.iter().copied();
    let mut suspects = core.crashes.lock();
    if let Some(known) = suspects.get_mut(endpoint) {
        known.extend(properties);
        return;
    }
    suspects.insert(endpoint.clone(), properties.collect());
    drop(suspects);
    let (core, endpoint) = (Arc::clone(core), endpoint.clone());
    tokio::spawn(async move { confirm_crash(&core, endpoint).await });
}

/// Reports a crash with the suspects collected, unless the endpoint left as planned or still listens.
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

/// Records that the answer to a call survived, so that its properties do not crash endpoints.
pub fn record_survival(core: &EntryCore, properties: &[CallProperty]) {
    let now = WallTime::now();
    let properties = properties.iter().copied();
    let change = core.state().quarantine.record_survival(now, properties);
    apply_change(core, &change);
}

/// Returns the remaining time of the quarantine of a call with these properties, if it is quarantined.
pub fn quarantine_left(core: &EntryCore, properties: &[CallProperty]) -> Option<Duration> {
    let state = core.state();
    if state.quarantine.is_empty() {
        return None;
    }
    let properties = properties.iter().copied();
    state.quarantine.time_left(WallTime::now(), properties)
}

/// Logs the changes of the quarantine and schedules the publication of the entry's findings.
pub fn apply_change(core: &EntryCore, change: &QuarantineChange) {
    for (properties, crashes) in &change.begun {
        log::warn!(
            "event=calls_quarantined properties={} crashes={crashes}",
            join(properties)
        );
    }
    for properties in &change.ended {
        log::info!("event=calls_cleared properties={}", join(properties));
    }
    if !change.begun.is_empty() {
        // Queued calls with these properties are refused now.
        core.notify_change();
    }
    if change.must_publish {
        core.findings_changed.send_modify(|changes| *changes += 1);
    }
}

fn join(properties: &QuarantinedProperties) -> String {
    let names: Vec<String> = properties.iter().map(CallProperty::to_string).collect();
    names.join("+")
}
