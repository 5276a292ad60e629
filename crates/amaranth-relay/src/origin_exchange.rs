//! The exchange of the origins of streams between entries, through agents.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranth_core::ids::SoftwareVersion;
use amaranth_dispatch::call::CallId;
use amaranth_dispatch::holder_ranking::{HOLDER_COPIES, rank_holders};
use amaranth_dispatch::refusal::{Refusal, RefusalCause};
use amaranth_dispatch::routes::RouteKind;
use amaranth_dispatch::stream_origins::{StreamKey, StreamOrigin, StreamOrigins};
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};

use crate::entry::EntryCore;
use crate::routed_call::RoutedCall;

/// Time for which origins are collected before agents are told of them.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Time within which agents answer: a cross-region round trip, and 100 ms at each end for which a CPU
/// quota may pause the process.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// Retry delay for a caller whose stream has an origin that no agent told in time.
const LOOKUP_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The origins that an entry knows, and those of which agents have to be told.
#[derive(Debug, Default)]
pub struct OriginExchange {
    known: Mutex<StreamOrigins>,
    unsent: Mutex<Vec<StreamOrigin>>,
    added: Notify,
}

impl OriginExchange {
    fn known(&self) -> MutexGuard<'_, StreamOrigins> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unsent(&self) -> MutexGuard<'_, Vec<StreamOrigin>> {
        self.unsent.lock().unwrap_or_else(PoisonError::into_inner)
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

/// Records the version at which a stream began, and schedules that agents are told of it.
pub fn record_origin(core: &EntryCore, call: &CallId, software: &SoftwareVersion) {
    let origin = StreamOrigin {
        stream: StreamKey::from(call),
        software: software.clone(),
    };
    core.origins.known().record(core.now(), origin.clone());
    core.origins.unsent().push(origin);
    core.origins.added.notify_one();
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
    let state = core.state();
    if let Some(software) = state.software.only_version(&call.service) {
        return Ok(Some(software.clone()));
    }
    drop(state);
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

/// Tells agents of the streams that this entry begins.
pub async fn publish_origins(core: Arc<EntryCore>) {
    loop {
        core.origins.added.notified().await;
        sleep(COLLECT_TIME).await;
        let origins = std::mem::take(&mut *core.origins.unsent());
        let holders = core.holders();
        let mut batches: BTreeMap<SocketAddr, Vec<StreamOrigin>> = BTreeMap::new();
        for origin in origins {
            let agents = rank_holders(origin.stream.seed(), &holders);
            for agent in agents.into_iter().take(HOLDER_COPIES) {
                batches.entry(agent).or_default().push(origin.clone());
            }
        }
        for (agent, origins) in batches {
            let core = Arc::clone(&core);
            tokio::spawn(async move {
                if let Err(error) = core.agents.record_origins(agent, origins).await {
                    log::debug!("event=origins_not_recorded error={error}");
                }
            });
        }
    }
}
