//! The exchange of the origins of streams between entries, through agents.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_core::ids::SoftwareVersion;
use amaranth_core::time::WallTime;
use amaranth_dispatch::call::CallId;
use amaranth_dispatch::holder_ranking::{HOLDER_COPIES, rank_holders};
use amaranth_dispatch::refusal::{Refusal, RefusalCause};
use amaranth_dispatch::routes::RouteKind;
use amaranth_dispatch::stream_origins::{StreamKey, StreamOrigin, StreamOrigins};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::entry::EntryCore;
use crate::routed_call::RoutedCall;

/// Time for which origins are collected before agents are told of them.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Time within which agents answer: a cross-region round trip, and 100 ms at each end for which a CPU
/// quota may pause the process.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which the first event of a stream is held until an agent has confirmed its origin: a
/// cross-region round trip after [`COLLECT_TIME`]. Agents mostly confirm during the prefill.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(60);

/// Retry delay for a caller whose stream has an origin that no agent told in time.
const LOOKUP_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The origins that an entry knows, and those of which agents have to be told.
#[derive(Debug, Default)]
pub struct OriginExchange {
    known: Mutex<StreamOrigins>,
    unsent: Mutex<Vec<UnsentOrigin>>,
    added: Notify,
}

impl OriginExchange {
    fn known(&self) -> MutexGuard<'_, StreamOrigins> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unsent(&self) -> MutexGuard<'_, Vec<UnsentOrigin>> {
        self.unsent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An origin of which agents have to be told, with the sender that is told when one has confirmed it.
#[derive(Debug)]
struct UnsentOrigin {
    origin: StreamOrigin,
    confirmation: Arc<watch::Sender<bool>>,
}

/// Shows whether an agent holds the origin of a stream.
#[derive(Debug)]
pub struct OriginReceipt {
    confirmed: watch::Receiver<bool>,
}

impl OriginReceipt {
    /// Waits until an agent holds the origin, none can be told, or the time for it is over.
    pub async fn confirmed(mut self) {
        // An error says that no agent could be told.
        let _ = timeout(CONFIRM_TIMEOUT, self.confirmed.wait_for(|is_held| *is_held)).await;
    }
}

/// What agents know of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
enum OriginAnswer {
    /// The version at which the stream began.
    Known(SoftwareVersion),
    /// All agents that were asked answered that they know none.
    Unknown,
    /// No agent knows the origin, and some did not answer.
    Incomplete,
}

/// Records the version at which a stream begins if the send of its call brings events, and schedules
/// that agents are told of it.
pub fn record_origin(
    core: &EntryCore,
    call: &CallId,
    software: &SoftwareVersion,
    send: u32,
) -> OriginReceipt {
    let origin = StreamOrigin {
        stream: StreamKey::from(call),
        software: software.clone(),
        send,
    };
    let (confirmation, confirmed) = watch::channel(false);
    core.origins.known().record(core.now(), origin.clone());
    core.origins.unsent().push(UnsentOrigin {
        origin,
        confirmation: Arc::new(confirmation),
    });
    core.origins.added.notify_one();
    OriginReceipt { confirmed }
}

/// Returns the software version at which a call may run: any one if the call begins a stream, and
/// that of the first event if it takes up a stream.
///
/// # Errors
///
/// Returns a refusal if the origin of the stream is not known, and endpoints of several versions may
/// have begun it.
pub async fn required_software(
    core: &Arc<EntryCore>,
    call: &RoutedCall,
) -> Result<Option<SoftwareVersion>, Refusal> {
    if call.route.kind != RouteKind::Stream || call.head.resume_after.is_none() {
        return Ok(None);
    }
    let answer = match &call.head.resumed_call {
        Some(first_call) => find_origin(core, first_call).await,
        None => OriginAnswer::Unknown,
    };
    if let OriginAnswer::Known(software) = answer {
        return Ok(Some(software));
    }
    if let Some(software) = only_version(core, call).await {
        return Ok(Some(software));
    }
    log::info!(
        "event=origin_unknown id={} resumes={} answer={answer:?}",
        call.head.id,
        call.head.resumed_call.as_ref().map_or("-", CallId::as_str)
    );
    Err(match answer {
        OriginAnswer::Incomplete => {
            Refusal::with_retry_after(RefusalCause::UnknownOrigin, LOOKUP_RETRY_AFTER)
        }
        _ => Refusal::new(RefusalCause::UnknownOrigin),
    })
}

/// Returns the only software version at which any stream of the call's service may have begun, if the
/// store shows that there was no other and this entry's list of endpoints is recent.
async fn only_version(core: &EntryCore, call: &RoutedCall) -> Option<SoftwareVersion> {
    let stored = core.software_memory.read().await?;
    let now = core.now();
    let state = core.state();
    let age = state.registry_freshness.age(now)?;
    if age > core.options.drain_bound {
        return None;
    }
    let service = &call.service;
    state
        .software
        .only_version(WallTime::now(), service, &stored)
}

/// Looks up the origin of a stream, first at this entry and then at agents.
async fn find_origin(core: &Arc<EntryCore>, first_call: &CallId) -> OriginAnswer {
    let stream = StreamKey::from(first_call);
    if let Some(software) = core.origins.known().find(core.now(), stream) {
        return OriginAnswer::Known(software);
    }
    let agents = rank_holders(stream.seed(), &core.holders());
    let expected = agents.len();
    let (sender, mut answers) = mpsc::channel(expected.max(1));
    for agent in agents {
        let (core, sender) = (Arc::clone(core), sender.clone());
        // Continues after the first answer, so that a connection without answers is closed.
        tokio::spawn(async move {
            let answer = core.agents.find_origin(agent, stream).await;
            // The receiver is gone after the first answer.
            let _ = sender.send(answer).await;
        });
    }
    drop(sender);
    let mut unknown = 0;
    let listening = async {
        while let Some(answer) = answers.recv().await {
            match answer {
                Ok(Some(software)) => return Some(software),
                Ok(None) => unknown += 1,
                Err(error) => log::debug!("event=origin_not_asked error={error}"),
            }
        }
        None
    };
    match timeout(LOOKUP_TIMEOUT, listening).await {
        Ok(Some(software)) => OriginAnswer::Known(software),
        _ if unknown == expected => OriginAnswer::Unknown,
        _ => OriginAnswer::Incomplete,
    }
}

/// The origins of which one agent is told.
#[derive(Debug, Default)]
struct OriginBatch {
    origins: Vec<StreamOrigin>,
    confirmations: Vec<Arc<watch::Sender<bool>>>,
}

/// Tells agents of the streams that this entry begins.
pub async fn publish_origins(core: Arc<EntryCore>) {
    loop {
        core.origins.added.notified().await;
        sleep(COLLECT_TIME).await;
        let origins = std::mem::take(&mut *core.origins.unsent());
        let holders = core.holders();
        let mut batches: BTreeMap<SocketAddr, OriginBatch> = BTreeMap::new();
        for unsent in origins {
            let agents = rank_holders(unsent.origin.stream.seed(), &holders);
            for agent in agents.into_iter().take(HOLDER_COPIES) {
                let batch = batches.entry(agent).or_default();
                batch.origins.push(unsent.origin.clone());
                batch.confirmations.push(Arc::clone(&unsent.confirmation));
            }
        }
        for (agent, batch) in batches {
            let core = Arc::clone(&core);
            tokio::spawn(async move {
                match core.agents.record_origins(agent, batch.origins).await {
                    Ok(()) => batch.confirmations.iter().for_each(|confirmation| {
                        confirmation.send_replace(true);
                    }),
                    Err(error) => log::debug!("event=origins_not_recorded error={error}"),
                }
            });
        }
    }
}
