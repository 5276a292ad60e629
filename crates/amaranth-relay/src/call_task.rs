//! The life of one call: read, routed, sent, answered.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::{EndpointId, ServiceName};
use amaranth_core::time::Timestamp;
use amaranth_dispatch::attempts::{AttemptHistory, NextStep, SendFailure};
use amaranth_dispatch::call::{CallHead, GenerationNeed};
use amaranth_dispatch::endpoint_book::{EndpointOutcome, EndpointState};
use amaranth_dispatch::engine_placer::{self, EngineChoice, PlaceQuery, PlaceReason};
use amaranth_dispatch::engine_view::LoadOutcome;
use amaranth_dispatch::place_line::LinePosition;
use amaranth_dispatch::refusal::{Refusal, RefusalCause};
use amaranth_dispatch::routes::{EngineRule, RouteKind, RouteRule};
use amaranth_dispatch::service_picker;
use amaranth_dispatch::stop_policy::ExpectedCall;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smallvec::SmallVec;
use tokio::time::{Instant, timeout_at};

use crate::answer_body::{self, AnswerBody};
use crate::dialect::{AnswerFacts, SendTerms};
use crate::endpoint_pool::{EndpointConnection, SendError};
use crate::entry::{EntryCore, LoadTerms};
use crate::load_waits::LoadKey;
use crate::send_guard::SendGuard;
use crate::stream_relay::{self, StreamSource};

/// Time for which a call waits for an adapter before it is placed anew, in objectives.
const LOAD_PATIENCE_OBJECTIVES: u32 = 2;

/// Part of the objective for which a call waits for a place at an engine.
const PLACE_PATIENCE_PART: f64 = 0.6;

/// Time after which a call in line looks again, without news.
const LINE_INTERVAL: Duration = Duration::from_millis(80);

/// Placements of one call before it is refused.
const MAX_PLACEMENTS: u32 = 4;

/// When a refused caller may come back, where no better time is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// When a caller may come back to an entry that knows no configuration or no endpoint: reading
/// the platform's tables takes about this long once they can be reached.
const UNKNOWING_RETRY_AFTER: Duration = Duration::from_millis(1_500);

/// Largest body of an answer that is not a stream, in bytes.
const MAX_WHOLE_ANSWER: usize = 16 << 20;

/// Time after which a call that waits for an answer looks whether its engine has fallen silent.
pub const SILENCE_INTERVAL: Duration = Duration::from_millis(500);

/// Least time left for which a call is still sent.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(20);

/// A call that was read and routed.
#[derive(Debug)]
pub struct Call {
    /// Its head.
    pub head: CallHead,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// What the HTTP library keeps of it, such as the case of its headers.
    pub extensions: http::Extensions,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: Arc<RouteRule>,
    /// The service that answers it.
    pub service: ServiceName,
    /// The engines of the service, if it has engines.
    pub engine: Option<EngineRule>,
    /// What it needs of an engine.
    pub need: Option<Arc<GenerationNeed>>,
    /// The version of the configuration under which it was routed.
    pub config_version: u64,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller has gone, or the route's timeout is over.
    pub expires: Instant,
    /// The same on the clock that also counts while the VM is suspended.
    pub expires_at: Timestamp,
}

impl Call {
    /// Returns the adapter that the call names, for the log.
    pub fn adapter_name(&self) -> &str {
        let adapter = self.need.as_ref().and_then(|need| need.adapter.as_ref());
        adapter.map_or("-", |adapter| adapter.as_str())
    }

    fn time_left(&self, core: &EntryCore) -> Duration {
        self.expires_at.since(core.now())
    }
}

/// An endpoint that was chosen for a call.
#[derive(Debug)]
pub struct ChosenEndpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// The call's place there.
    pub guard: SendGuard,
    /// The adapter's version that the call needs.
    pub adapter_version: Option<u64>,
}

/// The head of an endpoint's answer that is a success.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    /// What the head says.
    pub facts: AnswerFacts,
    /// The connection that carries it.
    pub connection: EndpointConnection,
    /// The call's place at the endpoint.
    pub guard: SendGuard,
}

/// A failed send, with the endpoint's own failure if it made one.
#[derive(Debug)]
pub struct FailedSend {
    /// How it failed.
    pub failure: SendFailure,
    /// The endpoint's whole answer.
    pub answer: Option<Response<Bytes>>,
}

impl FailedSend {
    const fn plain(failure: SendFailure) -> Self {
        Self {
            failure,
            answer: None,
        }
    }
}

/// Answers one call.
pub async fn answer(core: Arc<EntryCore>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = Instant::now();
    metrics::counter!("amaranth_calls_total").increment(1);
    let (parts, body) = request.into_parts();
    let head = match core.dialect.read_call(&parts) {
        Ok(head) => head,
        Err(problem) => {
            log::warn!("event=call_refused cause=bad-request problem={problem:?}");
            return refuse(&core, None, Refusal::new(RefusalCause::BadRequest));
        }
    };
    let call = match read_call(&core, head, parts, body, arrived).await {
        Ok(call) => Arc::new(call),
        Err((head, refusal)) => {
            log::info!(
                "event=call_refused id={} host={} path={} cause={}",
                head.id,
                head.host,
                head.path,
                refusal.cause
            );
            return refuse(&core, Some(&head), refusal);
        }
    };
    core.state().budget.deposit();
    relay(core, call).await
}

/// Routes a call and reads its body.
async fn read_call(
    core: &EntryCore,
    head: CallHead,
    parts: http::request::Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<Call, (CallHead, Refusal)> {
    let Some(table) = core.table() else {
        return Err((
            head,
            Refusal::after(RefusalCause::NoConfig, UNKNOWING_RETRY_AFTER),
        ));
    };
    let Some(route) = table.find(&head.host, &head.path).cloned() else {
        return Err((head, Refusal::new(RefusalCause::NoRoute)));
    };
    let Some(service) = route.service_for(head.id.as_str()).cloned() else {
        return Err((head, Refusal::new(RefusalCause::NoRoute)));
    };
    if let Some(refusal) = refuse_when_stopping(core, &head, &route) {
        return Err((head, refusal));
    }
    let limit = table.limits().body_bytes;
    let body = match Limited::new(body, limit).collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) => {
            let cause = if error.is::<http_body_util::LengthLimitError>() {
                RefusalCause::BodyTooLarge
            } else {
                RefusalCause::BadRequest
            };
            return Err((head, Refusal::new(cause)));
        }
    };
    let patience = head.patience.unwrap_or(route.timeout).min(route.timeout);
    let engine = table
        .service(&service)
        .and_then(|service| service.engine.clone());
    let need = head.generation.clone().map(Arc::new);
    Ok(Call {
        head,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        extensions: parts.extensions,
        body,
        route,
        service,
        engine,
        need,
        config_version: table.version(),
        arrived,
        expires: arrived + patience,
        expires_at: core.now() + patience.saturating_sub(arrived.elapsed()),
    })
}

/// Refuses a call that would not end before the process does.
fn refuse_when_stopping(core: &EntryCore, head: &CallHead, route: &RouteRule) -> Option<Refusal> {
    let now = core.now();
    let policy = core.state().stopping?;
    let expected = ExpectedCall {
        objective: route.objective,
        tokens: head
            .generation
            .as_ref()
            .map(GenerationNeed::expected_output),
    };
    if policy.takes(now, expected) {
        return None;
    }
    let delay = policy.retry_after(now);
    Some(Refusal::after(RefusalCause::Stopping, delay))
}

/// Sends a call until an endpoint answers it or nothing more may be tried.
async fn relay(core: Arc<EntryCore>, call: Arc<Call>) -> Response<AnswerBody> {
    let mut history = AttemptHistory::default();
    let mut record = CallRecord::open(&core, &call);
    let mut last_failure: Option<Response<Bytes>> = None;
    loop {
        let chosen = match choose(&core, &call, &history).await {
            Ok(chosen) => chosen,
            Err(refusal) => return record.refuse(refusal, &history, last_failure),
        };
        record.endpoint = Some(chosen.guard.endpoint().clone());
        let endpoint = chosen.guard.endpoint().clone();
        let terms = SendLimits {
            resume_after: call.head.resume_after,
            may_move: history.may_move(&call.route, &core.state().budget),
        };
        let failed = match send(&core, &call, chosen, terms).await {
            Ok(open) if open.facts.is_event_stream => {
                let source = StreamSource::open(open);
                match stream_relay::begin(&core, &call, source, &mut history).await {
                    Ok(response) => {
                        record.streams();
                        return response;
                    }
                    Err(failed) => failed,
                }
            }
            Ok(open) => match collect(&core, &call, open).await {
                Ok(response) => return record.pass(response),
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        log::info!(
            "event=send_failed id={} endpoint={endpoint} failure={} sends={}",
            call.head.id,
            failed.failure,
            history.sends() + 1
        );
        last_failure = failed.answer;
        let step = {
            let mut state = core.state();
            history.after_failure(&call.route, &endpoint, failed.failure, &mut state.budget)
        };
        match step {
            NextStep::SendAgain if call.time_left(&core) > LEAST_TIME_LEFT => {}
            NextStep::SendAgain => {
                let cause = expired_cause(&history);
                return record.refuse(Refusal::new(cause), &history, last_failure);
            }
            NextStep::PassOn => match last_failure.take() {
                Some(response) => return record.pass(response),
                None => {
                    let refusal = Refusal::new(RefusalCause::OutcomeUnknown);
                    return record.refuse(refusal, &history, None);
                }
            },
            NextStep::Refuse(cause) => {
                let refusal = Refusal::after(cause, DEFAULT_RETRY_AFTER);
                return record.refuse(refusal, &history, last_failure);
            }
        }
    }
}

const fn expired_cause(history: &AttemptHistory) -> RefusalCause {
    if history.may_have_run() {
        RefusalCause::TimedOut
    } else {
        RefusalCause::EndpointsRefused
    }
}

/// Chooses an endpoint, and has an engine hold the adapter first.
pub async fn choose(
    core: &Arc<EntryCore>,
    call: &Call,
    history: &AttemptHistory,
) -> Result<ChosenEndpoint, Refusal> {
    match (&call.need, &call.engine) {
        (Some(need), Some(engine)) => choose_engine(core, call, history, need, engine).await,
        _ => choose_service(core, call, history),
    }
}

fn choose_service(
    core: &Arc<EntryCore>,
    call: &Call,
    history: &AttemptHistory,
) -> Result<ChosenEndpoint, Refusal> {
    let now = core.now();
    let state = core.state();
    let locality = &core.options.locality;
    let picked = service_picker::pick(now, &state.book, locality, &call.service, history.tried())
        .or_else(|| service_picker::pick(now, &state.book, locality, &call.service, &[]));
    let Some(endpoint) = picked else {
        let known = service_picker::has_endpoint(&state.book, &call.service);
        let refusal = if known {
            Refusal::after(RefusalCause::Overloaded, service_picker::FULL_RETRY_AFTER)
        } else {
            Refusal::after(RefusalCause::NoEndpoint, UNKNOWING_RETRY_AFTER)
        };
        return Err(refusal);
    };
    let address = state.book.get(&endpoint).map(|known| known.record.address);
    drop(state);
    let address = address.ok_or(Refusal::after(
        RefusalCause::NoEndpoint,
        DEFAULT_RETRY_AFTER,
    ))?;
    Ok(ChosenEndpoint {
        address,
        guard: SendGuard::open(Arc::clone(core), endpoint, None),
        adapter_version: None,
    })
}

async fn choose_engine(
    core: &Arc<EntryCore>,
    call: &Call,
    history: &AttemptHistory,
    need: &Arc<GenerationNeed>,
    engine: &EngineRule,
) -> Result<ChosenEndpoint, Refusal> {
    let mut outcome = LoadOutcome::Unavailable;
    let mut excluded: SmallVec<[EndpointId; 4]> = history.tried().iter().cloned().collect();
    for _ in 0..MAX_PLACEMENTS {
        let placed = place_in_line(core, call, need, engine, &excluded).await?;
        let PlacedCall {
            choice,
            address,
            version,
        } = placed;
        if choice.first_event > call.time_left(core) {
            let delay = choice.first_event.saturating_sub(call.route.objective);
            return Err(Refusal::after(
                RefusalCause::Overloaded,
                delay.max(DEFAULT_RETRY_AFTER),
            ));
        }
        let guard = SendGuard::open(
            Arc::clone(core),
            choice.endpoint.clone(),
            Some(Arc::clone(need)),
        );
        if choice.reason != PlaceReason::Held {
            let key = LoadKey {
                endpoint: choice.endpoint.clone(),
                model: need.model.clone(),
                adapter: need.adapter.clone(),
                version,
            };
            let terms = LoadTerms {
                patience: (call.route.objective * LOAD_PATIENCE_OBJECTIVES)
                    .min(call.time_left(core)),
                from_store: choice.reason == PlaceReason::FreePlace,
                rank: call.route.priority,
            };
            outcome = core.load(key, address, engine, terms).await;
            if outcome != LoadOutcome::Held {
                // A load that is only slow goes on, and is still the soonest.
                if outcome != LoadOutcome::TimedOut {
                    excluded.push(choice.endpoint);
                }
                continue;
            }
        }
        if !is_open(core, &choice.endpoint) {
            // It began to leave while the call waited for the load.
            continue;
        }
        return Ok(ChosenEndpoint {
            address,
            guard,
            adapter_version: version,
        });
    }
    log::info!(
        "event=adapter_wait_over id={} outcome={outcome}",
        call.head.id
    );
    Err(Refusal::after(
        RefusalCause::AdapterWait,
        DEFAULT_RETRY_AFTER,
    ))
}

/// Returns whether an endpoint still takes calls.
fn is_open(core: &EntryCore, endpoint: &EndpointId) -> bool {
    let state = core.state();
    state.book.get(endpoint).is_some_and(EndpointState::is_open)
}

/// An engine that was chosen for a call.
#[derive(Debug)]
struct PlacedCall {
    choice: EngineChoice,
    address: SocketAddr,
    version: Option<u64>,
}

/// A call's stay in the line for a place.
struct LineStay<'a> {
    core: &'a EntryCore,
    position: LinePosition,
}

impl Drop for LineStay<'_> {
    fn drop(&mut self) {
        self.core.state().line.leave(self.position);
    }
}

/// Chooses an engine; a call for which there is no place waits in line for a part of its
/// objective.
async fn place_in_line(
    core: &Arc<EntryCore>,
    call: &Call,
    need: &GenerationNeed,
    engine: &EngineRule,
    excluded: &[EndpointId],
) -> Result<PlacedCall, Refusal> {
    let taken = core.state().line.is_taken(call.route.priority);
    if !taken && let Some(placed) = place(core, call, need, engine, excluded) {
        return Ok(placed);
    }
    let position = core.state().line.join(call.route.priority);
    let stay = LineStay { core, position };
    let patience = call.route.objective.mul_f64(PLACE_PATIENCE_PART);
    let until = (Instant::now() + patience).min(call.expires);
    while Instant::now() < until {
        let changed = core.changed();
        let wait = (Instant::now() + LINE_INTERVAL).min(until);
        // Engines' estimates change with time too, so that nobody waits for news alone.
        let _ = timeout_at(wait, changed).await;
        if !core.state().line.may_try(stay.position) {
            continue;
        }
        if let Some(placed) = place(core, call, need, engine, excluded) {
            return Ok(placed);
        }
    }
    let waiting = core.state().line.len();
    log::info!(
        "event=no_place id={} waited_ms={} line={waiting}",
        call.head.id,
        patience.as_millis()
    );
    Err(Refusal::after(
        RefusalCause::AdapterWait,
        DEFAULT_RETRY_AFTER,
    ))
}

fn place(
    core: &EntryCore,
    call: &Call,
    need: &GenerationNeed,
    engine: &EngineRule,
    excluded: &[EndpointId],
) -> Option<PlacedCall> {
    let now = core.now();
    let state = core.state();
    let version = need
        .adapter
        .as_ref()
        .and_then(|adapter| state.versions.newest(&need.model, adapter));
    let query = PlaceQuery {
        service: &call.service,
        engine,
        need,
        version,
        excluded,
        objective: call.route.objective,
        spent: call.arrived.elapsed(),
        load_wait: state.gate.expected_wait(),
    };
    let choice = engine_placer::place(now, &state.book, &core.options.locality, query)?;
    let address = state.book.get(&choice.endpoint)?.record.address;
    Some(PlacedCall {
        choice,
        address,
        version,
    })
}

/// How a call is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendLimits {
    /// The last event that the caller has of the stream.
    pub resume_after: Option<u64>,
    /// Whether the call may be given up at a silent engine and be sent to another.
    pub may_move: bool,
}

/// Sends a call to an endpoint and returns the head of a successful answer.
pub async fn send(
    core: &Arc<EntryCore>,
    call: &Call,
    chosen: ChosenEndpoint,
    limits: SendLimits,
) -> Result<OpenAnswer, FailedSend> {
    let mut guard = chosen.guard;
    let mut connection = match core.pool.connect(chosen.address).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(
                "event=not_connected id={} endpoint={} error={error}",
                call.head.id,
                guard.endpoint()
            );
            guard.conclude(EndpointOutcome::Failed);
            return Err(FailedSend::plain(SendFailure::NotSent));
        }
    };
    let late = call.time_left(core) < LEAST_TIME_LEFT;
    if late || !is_open(core, guard.endpoint()) {
        let cause = if late { "time-over" } else { "endpoint-leaves" };
        log::info!(
            "event=not_sent id={} endpoint={} cause={cause}",
            call.head.id,
            guard.endpoint()
        );
        return Err(FailedSend::plain(SendFailure::NotSent));
    }
    let request = write_request(
        core,
        call,
        guard.endpoint(),
        chosen.adapter_version,
        limits.resume_after,
    );
    guard.prompt_sent();
    let sending = connection.send(request);
    let response = match wait_for_head(call, &guard, limits.may_move, sending).await {
        HeadWait::Came(Ok(response)) => response,
        HeadWait::Came(Err(error)) => {
            let failure = match error {
                SendError::NotConnected(_) | SendError::NotSent => SendFailure::NotSent,
                SendError::Ambiguous(_) => SendFailure::Ambiguous,
            };
            if failure == SendFailure::Ambiguous {
                guard.conclude(EndpointOutcome::Failed);
            }
            log::info!(
                "event=connection_ended id={} endpoint={} error={error}",
                call.head.id,
                guard.endpoint()
            );
            return Err(FailedSend::plain(failure));
        }
        HeadWait::Silent => {
            log::info!(
                "event=engine_silent id={} endpoint={} action=move",
                call.head.id,
                guard.endpoint()
            );
            guard.conclude(EndpointOutcome::Failed);
            return Err(FailedSend::plain(SendFailure::Ambiguous));
        }
        HeadWait::TimeOver => {
            guard.conclude(EndpointOutcome::Failed);
            return Err(FailedSend::plain(SendFailure::Ambiguous));
        }
    };
    classify(core, call, response, connection, guard).await
}

/// What came of waiting for the head of an answer.
enum HeadWait {
    Came(Result<Response<Incoming>, SendError>),
    Silent,
    TimeOver,
}

async fn wait_for_head(
    call: &Call,
    guard: &SendGuard,
    may_move: bool,
    sending: impl Future<Output = Result<Response<Incoming>, SendError>>,
) -> HeadWait {
    tokio::pin!(sending);
    loop {
        let look = (Instant::now() + SILENCE_INTERVAL).min(call.expires);
        if let Ok(came) = timeout_at(look, sending.as_mut()).await {
            return HeadWait::Came(came);
        }
        if Instant::now() >= call.expires {
            return HeadWait::TimeOver;
        }
        if may_move && guard.is_silent() {
            return HeadWait::Silent;
        }
    }
}

fn write_request(
    core: &EntryCore,
    call: &Call,
    endpoint: &EndpointId,
    adapter_version: Option<u64>,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let terms = SendTerms {
        endpoint,
        time_left: call.time_left(core),
        priority: call.engine.as_ref().map(|_| call.route.priority),
        adapter_version,
        resume_after,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = core.dialect.forward_headers(&call.headers, terms);
    *request.extensions_mut() = call.extensions.clone();
    request
}

/// Tells a success from the failures by the head of an answer.
async fn classify(
    core: &EntryCore,
    call: &Call,
    response: Response<Incoming>,
    mut connection: EndpointConnection,
    mut guard: SendGuard,
) -> Result<OpenAnswer, FailedSend> {
    let (parts, body) = response.into_parts();
    let facts = core.dialect.read_answer(&parts);
    connection.note_keep_alive(facts.keep_alive);
    let other_call = facts
        .call_id
        .as_deref()
        .is_some_and(|id| id != call.head.id.as_str());
    if other_call || facts.is_encoded {
        log::warn!(
            "event=foreign_answer id={} endpoint={}",
            call.head.id,
            guard.endpoint()
        );
        guard.conclude(EndpointOutcome::Failed);
        return Err(FailedSend::plain(SendFailure::Ambiguous));
    }
    let response = Response::from_parts(parts, body);
    if response.status().is_success() {
        if !facts.authenticated {
            guard.conclude(EndpointOutcome::Failed);
            return Err(FailedSend::plain(SendFailure::Ambiguous));
        }
        return Ok(OpenAnswer {
            response,
            facts,
            connection,
            guard,
        });
    }
    let failure = match (facts.misdirected, facts.not_run) {
        (true, _) => SendFailure::Misdirected,
        (false, true) => SendFailure::NotRun,
        (false, false) => SendFailure::Failed,
    };
    if failure == SendFailure::Misdirected {
        note_misdirected(core, call, guard.endpoint(), &facts);
    }
    let status = response.status();
    let whole = read_whole(call, response).await;
    match &whole {
        Some(_) => core.pool.give_back(connection),
        None => drop(connection),
    }
    if failure == SendFailure::Failed {
        guard.conclude(EndpointOutcome::Failed);
        log::info!(
            "event=endpoint_failure id={} endpoint={} status={}",
            call.head.id,
            guard.endpoint(),
            status.as_u16()
        );
    }
    let answer = whole.filter(|_| facts.authenticated);
    let failure = match (failure, &answer) {
        (SendFailure::Failed, None) => SendFailure::Ambiguous,
        (failure, _) => failure,
    };
    Err(FailedSend { failure, answer })
}

/// Corrects what is believed of an endpoint that refused a call as misdirected: another one has
/// its address, or it lacks the adapter.
fn note_misdirected(core: &EntryCore, call: &Call, endpoint: &EndpointId, facts: &AnswerFacts) {
    let other = facts.answered_by.as_deref();
    if let Some(other) = other.filter(|other| *other != endpoint.as_str()) {
        let change = core.state().book.note_replaced(endpoint);
        log::info!("event=endpoint endpoint={endpoint} change={change} replaced_by={other}");
        return;
    }
    let Some(need) = &call.need else {
        return;
    };
    let Some(adapter) = &need.adapter else {
        return;
    };
    if let Some(state) = core.state().book.get_mut(endpoint) {
        state.note_missing(&need.model, adapter);
    }
}

async fn read_whole(call: &Call, response: Response<Incoming>) -> Option<Response<Bytes>> {
    let (parts, body) = response.into_parts();
    let collecting = Limited::new(body, MAX_WHOLE_ANSWER).collect();
    let collected = timeout_at(call.expires, collecting).await.ok()?.ok()?;
    Some(Response::from_parts(parts, collected.to_bytes()))
}

/// Reads a successful answer to its end.
async fn collect(
    core: &EntryCore,
    call: &Call,
    open: OpenAnswer,
) -> Result<Response<Bytes>, FailedSend> {
    let OpenAnswer {
        response,
        connection,
        mut guard,
        ..
    } = open;
    let Some(whole) = read_whole(call, response).await else {
        guard.conclude(EndpointOutcome::Failed);
        return Err(FailedSend::plain(SendFailure::Ambiguous));
    };
    guard.conclude(EndpointOutcome::Succeeded);
    core.pool.give_back(connection);
    Ok(whole)
}

fn refuse(core: &EntryCore, head: Option<&CallHead>, refusal: Refusal) -> Response<AnswerBody> {
    let cause: &'static str = refusal.cause.into();
    metrics::counter!("amaranth_refusals_total", "cause" => cause).increment(1);
    let mut response = Response::new(answer_body::empty());
    *response.status_mut() =
        StatusCode::from_u16(refusal.cause.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.headers_mut() = core.dialect.refusal_headers(head, refusal);
    response
}

/// Writes the log line of a call at its end, also when its caller leaves.
#[derive(Debug)]
pub struct CallRecord {
    core: Arc<EntryCore>,
    call: Arc<Call>,
    endpoint: Option<EndpointId>,
    ended: bool,
}

impl CallRecord {
    fn open(core: &Arc<EntryCore>, call: &Arc<Call>) -> Self {
        Self {
            core: Arc::clone(core),
            call: Arc::clone(call),
            endpoint: None,
            ended: false,
        }
    }

    fn streams(&mut self) {
        // The stream writes the line at its own end.
        self.ended = true;
    }

    fn pass(&mut self, response: Response<Bytes>) -> Response<AnswerBody> {
        let (parts, bytes) = response.into_parts();
        self.write("answered", parts.status.as_u16());
        let mut answer = Response::new(answer_body::whole(bytes));
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = self.core.dialect.answer_headers(&parts.headers);
        *answer.extensions_mut() = parts.extensions;
        answer
    }

    /// Answers for the endpoints. A failure of their own goes before a failure of the layer's.
    fn refuse(
        &mut self,
        refusal: Refusal,
        history: &AttemptHistory,
        own_failure: Option<Response<Bytes>>,
    ) -> Response<AnswerBody> {
        if history.may_have_run()
            && let Some(response) = own_failure
        {
            return self.pass(response);
        }
        let refusal = if history.may_have_run() && refusal.cause.promises_not_run() {
            Refusal::new(RefusalCause::OutcomeUnknown)
        } else {
            refusal
        };
        let cause: &'static str = refusal.cause.into();
        self.write(cause, refusal.cause.status());
        refuse(&self.core, Some(&self.call.head), refusal)
    }

    fn write(&mut self, outcome: &str, status: u16) {
        self.ended = true;
        let took = self.call.arrived.elapsed();
        metrics::histogram!("amaranth_call_seconds").record(took.as_secs_f64());
        log::info!(
            "event=call id={} route={} kind={} endpoint={} outcome={outcome} adapter={} status={status} took_ms={} config={}",
            self.call.head.id,
            self.call.route.name,
            self.call.route.kind,
            self.endpoint
                .as_ref()
                .map_or("-", |endpoint| endpoint.as_str()),
            self.call.adapter_name(),
            took.as_millis(),
            self.call.config_version,
        );
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        if !self.ended {
            self.write("caller-left", 0);
        }
    }
}

/// Returns whether the answers of a route are streams that may go on at another engine.
pub fn may_resume(route: &RouteRule) -> bool {
    route.kind == RouteKind::Stream && route.resumable
}
