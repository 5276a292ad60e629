//! Test support: a small header codec, scripted endpoints, and callers that write raw HTTP.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use amaranth_core::ids::{EndpointId, SoftwareVersion};
use amaranth_core::store::StorePosition;
use amaranth_core::time::WallTime;
use amaranth_dispatch::call::{CallHead, CallId, GenerationNeed, PromptPart, PromptParts};
use amaranth_dispatch::endpoint_table::{EndpointRecord, RegistryEvent};
use amaranth_dispatch::engine_selector::Locality;
use amaranth_dispatch::engine_view::EngineContents;
use amaranth_dispatch::memory_budget::MemoryLimits;
use amaranth_dispatch::quota_shards::QuotaTolerance;
use amaranth_dispatch::refusal::Refusal;
use amaranth_dispatch::retry_quota::RetryLimits;
use amaranth_dispatch::routes::{
    CallerLimits, EngineRule, ModelRule, RouteKind, RouteRule, RoutingConfig, ServiceRule,
    WeightedService,
};
use amaranth_dispatch::software_history::{ListedVersion, RememberedVersion, StoredVersions};
use amaranth_dispatch::teams::TeamRule;
use amaranth_relay::call_codec::{AnswerMetadata, CallCodec, ForwardContext, HeadError};
use amaranth_relay::caller_server::CallerServer;
use amaranth_relay::engine_port::PortError;
use amaranth_relay::entry::{ConfigRecord, EntryCore, EntryOptions};
use amaranth_relay::feed::FeedEvent;
use amaranth_relay::software_memory::{self, SoftwareStore, SoftwareTasks};
use http::{HeaderMap, HeaderName, HeaderValue, Method, request, response};
use smallvec::smallvec;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const CALL: HeaderName = HeaderName::from_static("call");
const ADDRESSED: HeaderName = HeaderName::from_static("meant");
const LEFT: HeaderName = HeaderName::from_static("left-ms");
const AFTER: HeaderName = HeaderName::from_static("after-event");
const RESUMED: HeaderName = HeaderName::from_static("resumed-call");
const PROOF: HeaderName = HeaderName::from_static("proof");
const ANSWERED_BY: HeaderName = HeaderName::from_static("by");
const PARTS: HeaderName = HeaderName::from_static("parts");
const WANTS: HeaderName = HeaderName::from_static("wants");
const TOKENS: HeaderName = HeaderName::from_static("tokens");
const TEAM: HeaderName = HeaderName::from_static("team");
const RANK: HeaderName = HeaderName::from_static("rank");
const LEAVING: HeaderName = HeaderName::from_static("leaving");
const PAUSE: HeaderName = HeaderName::from_static("pause-ms");
const NOT_RUN: HeaderName = HeaderName::from_static("untouched");

/// Maximum time for which a test waits for data.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A codec with a few headers of its own.
#[derive(Debug)]
pub struct PlainCodec;

fn text(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Returns the prompt's parts, whose hexadecimal ids a header lists.
fn parts(headers: &HeaderMap) -> PromptParts {
    let list = text(headers, &PARTS).unwrap_or_default();
    let ids = list.split(',').filter(|id| !id.is_empty());
    ids.map(|id| PromptPart {
        id: id.parse().expect("the id is hexadecimal"),
        tokens: 10,
    })
    .collect()
}

impl CallCodec for PlainCodec {
    fn read_call(&self, head: &request::Parts) -> Result<CallHead, HeadError> {
        let id = text(&head.headers, &CALL).ok_or(HeadError {
            header: "call",
            problem: "it is missing".to_owned(),
        })?;
        let number = |name| text(&head.headers, name).and_then(|value| value.parse().ok());
        Ok(CallHead {
            id: CallId::new(&id),
            host: text(&head.headers, &http::header::HOST).unwrap_or_default(),
            path: head.uri.path().to_owned(),
            max_wait: number(&LEFT).map(Duration::from_millis),
            resume_after: number(&AFTER),
            resumed_call: text(&head.headers, &RESUMED).map(|id| CallId::new(&id)),
            stated_tokens: text(&head.headers, &TOKENS).and_then(|count| count.parse().ok()),
            generation: text(&head.headers, &WANTS).map(|model| GenerationNeed {
                model: model.parse().expect("the name is valid"),
                adapter: None,
                prompt_tokens: 100,
                output_limit: 10,
                output_hint: None,
                parts: parts(&head.headers),
            }),
        })
    }

    fn api_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        let credentials = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
        credentials.strip_prefix("Key ")
    }

    fn forward_headers(&self, caller: &HeaderMap, context: ForwardContext<'_>) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let removed = [&http::header::AUTHORIZATION, &TEAM];
        for (name, value) in caller {
            let connection_headers = [&http::header::CONNECTION, &http::header::TRANSFER_ENCODING];
            if context.removes_credentials && removed.contains(&name) {
                continue;
            }
            if !connection_headers.contains(&name) && name != http::header::CONTENT_LENGTH {
                headers.append(name.clone(), value.clone());
            }
        }
        if let Some(team) = context.team {
            let team = HeaderValue::from_str(team.as_str()).expect("a name is a header value");
            headers.insert(TEAM, team);
        }
        if let Some(priority) = context.priority {
            headers.insert(RANK, HeaderValue::from(u16::from(priority)));
        }
        let left = u64::try_from(context.time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(LEFT, HeaderValue::from(left));
        let addressed = HeaderValue::from_str(context.endpoint.as_str())
            .expect("an endpoint id is a valid header value");
        headers.insert(ADDRESSED, addressed);
        if let Some(event) = context.resume_after {
            headers.insert(AFTER, HeaderValue::from(event));
        }
        headers
    }

    fn read_answer(&self, head: &response::Parts) -> AnswerMetadata {
        AnswerMetadata {
            not_run: head.headers.contains_key(NOT_RUN),
            is_leaving: head.headers.contains_key(LEAVING),
            pause: text(&head.headers, &PAUSE)
                .filter(|_| head.status == http::StatusCode::SERVICE_UNAVAILABLE)
                .and_then(|value| value.parse().ok())
                .map(Duration::from_millis),
            limit: None,
            misdirected: head.status == http::StatusCode::MISDIRECTED_REQUEST,
            authenticated: head.headers.contains_key(PROOF),
            call_id: text(&head.headers, &CALL),
            answered_by: text(&head.headers, &ANSWERED_BY),
            is_event_stream: text(&head.headers, &http::header::CONTENT_TYPE).as_deref()
                == Some("text/event-stream"),
            is_encoded: false,
            keep_alive: None,
        }
    }

    fn answer_headers(&self, endpoint: &HeaderMap) -> HeaderMap {
        let mut headers = HeaderMap::new();
        for name in [CALL, PROOF, http::header::CONTENT_TYPE] {
            if let Some(value) = endpoint.get(&name) {
                headers.insert(name, value.clone());
            }
        }
        headers
    }

    fn refusal_headers(&self, _head: Option<&CallHead>, refusal: Refusal) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Some(delay) = refusal.retry_after {
            let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
            headers.insert("again-ms", HeaderValue::from(millis));
        }
        headers
    }

    fn is_readiness_check(&self, method: &Method, path: &str) -> bool {
        method == Method::GET && path == "/up"
    }
}

/// A scripted reaction of an endpoint to a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Writes these bytes and keeps the connection open.
    Write(String),
    /// Writes these pieces, each after a delay in milliseconds, and keeps the connection open.
    Pieces(Vec<(u64, String)>),
    /// Writes these bytes and closes the connection.
    WriteAndClose(String),
    /// Sends nothing until the other side closes the connection.
    Silence,
}

/// Returns a complete answer that carries the endpoint's proof header.
pub fn complete_answer(status: &str, call: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nCall: {call}\r\nProof: p\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a refusal in which the endpoint states that it did not run the call.
pub fn not_run(call: &str) -> String {
    format!("HTTP/1.1 503 Busy\r\nCall: {call}\r\nUntouched: 1\r\nContent-Length: 0\r\n\r\n")
}

/// Returns the head of a stream of events.
pub fn stream_head(call: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nCall: {call}\r\nProof: p\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Returns a chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns an event as a chunk of a chunked body.
pub fn event(id: u64) -> String {
    chunk(&format!("id: {id}\ndata: t{id}\n\n"))
}

/// The end of a chunked body.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// An endpoint with scripted replies, of which it repeats the last one.
#[derive(Debug)]
pub struct FakeEndpoint {
    /// The address of the endpoint.
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<String>>>,
    closed: Arc<Mutex<u32>>,
    task: JoinHandle<()>,
}

impl FakeEndpoint {
    /// Starts an endpoint on loopback.
    pub async fn bind(replies: Vec<Reply>) -> Self {
        Self::bind_at("127.0.0.1", replies).await
    }

    /// Starts an endpoint at a loopback address that represents a VM.
    pub async fn bind_at(vm: &str, replies: Vec<Reply>) -> Self {
        let listener = TcpListener::bind((vm, 0))
            .await
            .expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let closed = Arc::new(Mutex::new(0));
        let task = tokio::spawn(serve(
            listener,
            replies,
            Arc::clone(&arrivals),
            Arc::clone(&closed),
        ));
        Self {
            address,
            arrivals,
            closed,
            task,
        }
    }

    /// Returns the complete requests that arrived.
    pub fn arrivals(&self) -> Vec<String> {
        self.arrivals.lock().expect("no task panicked").clone()
    }

    /// Returns the number of connections that the other side closed.
    pub fn closed(&self) -> u32 {
        *self.closed.lock().expect("no task panicked")
    }
}

impl Drop for FakeEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    listener: TcpListener,
    replies: Vec<Reply>,
    arrivals: Arc<Mutex<Vec<String>>>,
    closed: Arc<Mutex<u32>>,
) {
    let replies = Arc::new(replies);
    while let Ok((stream, _)) = listener.accept().await {
        let (replies, arrivals, closed) = (
            Arc::clone(&replies),
            Arc::clone(&arrivals),
            Arc::clone(&closed),
        );
        tokio::spawn(async move {
            let by_other_side = serve_connection(stream, &replies, &arrivals).await;
            *closed.lock().expect("no task panicked") += u32::from(by_other_side);
        });
    }
}

/// Serves one connection and returns whether the other side closed it.
async fn serve_connection(
    mut stream: TcpStream,
    replies: &[Reply],
    arrivals: &Mutex<Vec<String>>,
) -> bool {
    while let Some(request) = read_request(&mut stream).await {
        let index = {
            let mut arrivals = arrivals.lock().expect("no task panicked");
            arrivals.push(request);
            arrivals.len() - 1
        };
        let reply = replies
            .get(index)
            .or(replies.last())
            .expect("a reply is scripted");
        match reply {
            Reply::Write(bytes) => {
                if stream.write_all(bytes.as_bytes()).await.is_err() {
                    return true;
                }
            }
            Reply::Pieces(pieces) => {
                for (pause, piece) in pieces {
                    tokio::time::sleep(Duration::from_millis(*pause)).await;
                    if stream.write_all(piece.as_bytes()).await.is_err() {
                        return true;
                    }
                }
            }
            Reply::WriteAndClose(bytes) => {
                let written = stream.write_all(bytes.as_bytes()).await;
                return written.is_err();
            }
            Reply::Silence => {
                let mut rest = [0; 64];
                while matches!(stream.read(&mut rest).await, Ok(read) if read > 0) {}
                return true;
            }
        }
    }
    true
}

/// Reads a request whose body has a `Content-Length`.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        if let Some(head) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let length = header(&text, "content-length")
                .and_then(|value| value.parse::<usize>().ok())
                .unwrap_or(0);
            if bytes.len() >= head + 4 + length {
                return Some(text);
            }
        }
        let mut buffer = [0; 4_096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
        }
    }
}

/// Returns a header of a message.
pub fn header(message: &str, name: &str) -> Option<String> {
    message
        .lines()
        .take_while(|line| !line.is_empty())
        .find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name)
                .then(|| value.trim().to_owned())
        })
}

/// An entry with its server on loopback.
#[derive(Debug)]
pub struct TestEntry {
    /// The state of the entry.
    pub core: Arc<EntryCore>,
    /// The server of the entry.
    pub server: CallerServer,
}

/// Returns a route from `/p/` to the service of the tests.
pub fn route(kind: RouteKind, resumable: bool, max_attempts: u32) -> RouteRule {
    RouteRule {
        name: "r".to_owned(),
        host: "h".to_owned(),
        path_prefix: "/p/".to_owned(),
        kind,
        timeout: Duration::from_secs(3),
        objective: Duration::from_secs(1),
        pause_objective: None,
        priority: 1,
        services: smallvec![WeightedService {
            service: "s".parse().expect("the name is valid"),
            weight: 1,
        }],
        max_attempts,
        resumable,
        is_public: false,
    }
}

/// Returns a configuration with the service of the tests.
pub fn routing_config(
    version: u64,
    routes: Vec<RouteRule>,
    teams: Option<Vec<TeamRule>>,
) -> RoutingConfig {
    RoutingConfig {
        version,
        routes,
        services: vec![ServiceRule {
            name: "s".parse().expect("the name is valid"),
            max_connections: 10,
            engine: Some(EngineRule {
                slots: 8,
                cache_tokens: 10_000,
                memory_mb: 1_000.0,
                adapter_slots: 2,
                models: vec![ModelRule {
                    name: "m".parse().expect("the name is valid"),
                    weights_mb: 500.0,
                    adapter_mb: 1.0,
                    load_time: Duration::from_secs(1),
                }],
            }),
        }],
        limits: CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 1 << 16,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(10),
        },
        teams,
    }
}

impl TestEntry {
    /// Starts an entry without configuration and endpoints.
    pub fn bind() -> Self {
        Self::bind_with_agent_port(1)
    }

    /// Starts an entry without configuration and endpoints, with a port for agents.
    pub fn bind_with_agent_port(agent_port: u16) -> Self {
        Self::bind_with("entry", agent_port)
    }

    /// Starts an entry of this name without configuration and endpoints.
    pub fn bind_as(name: &str) -> Self {
        Self::bind_with(name, 1)
    }

    /// Starts an entry of this name, with a port for agents.
    pub fn bind_named(name: &str, agent_port: u16) -> Self {
        Self::bind_with(name, agent_port)
    }

    /// Starts an entry with limits on the memory that calls hold.
    pub fn bind_within(memory: MemoryLimits) -> Self {
        Self::bind_with_limits("entry", 1, memory)
    }

    fn bind_with(name: &str, agent_port: u16) -> Self {
        Self::bind_with_limits(name, agent_port, MemoryLimits::default())
    }

    fn bind_with_limits(name: &str, agent_port: u16, memory: MemoryLimits) -> Self {
        let options = EntryOptions {
            name: name.to_owned(),
            locality: Locality::default(),
            callers: "127.0.0.1:0".parse().expect("the address is valid"),
            readiness: "127.0.0.1:0".parse().expect("the address is valid"),
            agent_port,
            retries: RetryLimits {
                ratio: 0.2,
                slack: 50,
                window: Duration::from_secs(10),
                entries: 1,
            },
            quota_tolerance: QuotaTolerance {
                over: 0.1,
                slack: 20.0,
                ..QuotaTolerance::default()
            },
            config_bound: Duration::from_secs(2),
            drain_bound: Duration::from_secs(2),
            memory,
            stop_grace: Duration::from_secs(2),
        };
        let core = EntryCore::new(options, PlainCodec);
        let server = CallerServer::bind(&core).expect("loopback has free ports");
        Self { core, server }
    }

    /// Starts an entry with one route and some endpoints, named `e0`, `e1` and so on.
    pub fn serving(route: RouteRule, endpoints: &[&FakeEndpoint]) -> Self {
        let entry = Self::bind();
        entry.configure(1, vec![route]);
        entry.announce(endpoints);
        entry
    }

    /// Applies a configuration without teams.
    pub fn configure(&self, version: u64, routes: Vec<RouteRule>) {
        self.configure_teams(version, routes, None);
    }

    /// Applies a configuration with limits on the body of a call and on the calls at an endpoint.
    pub fn configure_with(
        &self,
        version: u64,
        routes: Vec<RouteRule>,
        body_bytes: usize,
        max_connections: u32,
    ) {
        let mut config = routing_config(version, routes, None);
        config.limits.body_bytes = body_bytes;
        config.services[0].max_connections = max_connections;
        let record = ConfigRecord::Config(Box::new(config));
        self.core.apply_config(FeedEvent::Changes(vec![record]));
    }

    /// Applies a configuration, with teams if it has some.
    pub fn configure_teams(
        &self,
        version: u64,
        routes: Vec<RouteRule>,
        teams: Option<Vec<TeamRule>>,
    ) {
        let config = routing_config(version, routes, teams);
        let record = ConfigRecord::Config(Box::new(config));
        self.core.apply_config(FeedEvent::Changes(vec![record]));
    }

    /// Announces endpoints, the first one in the data centre of the entry.
    pub fn announce(&self, endpoints: &[&FakeEndpoint]) {
        let addresses: Vec<SocketAddr> =
            endpoints.iter().map(|endpoint| endpoint.address).collect();
        self.announce_addresses(&addresses);
    }

    /// Announces endpoints by their addresses, the first one in the data centre of the entry.
    pub fn announce_addresses(&self, addresses: &[SocketAddr]) {
        let records = addresses
            .iter()
            .enumerate()
            .map(|(index, address)| {
                let centre = if index == 0 { "" } else { "far" };
                RegistryEvent::Announced(Box::new(record(index, *address, centre)))
            })
            .collect();
        self.core.apply_registry(FeedEvent::Snapshot(records));
    }

    /// Records that the entry has read the registry just now.
    pub fn record_registry_read(&self) {
        let now = self.core.now();
        let mut state = self.core.state();
        state
            .registry_freshness
            .record_read(now, StorePosition::default());
    }

    /// Lets the store remember the versions that the entry lists, and no others, and reads the registry
    /// again and again. The services never had another version then.
    pub fn remember_listed_versions(&self) -> VersionMemory {
        let core = Arc::clone(&self.core);
        let refresher = tokio::spawn(async move {
            loop {
                let now = core.now();
                core.state()
                    .registry_freshness
                    .record_read(now, StorePosition::default());
                sleep(Duration::from_millis(200)).await;
            }
        });
        self.record_registry_read();
        let mut versions = Vec::new();
        for endpoint in self.core.state().endpoints.iter() {
            versions.push(RememberedVersion {
                service: endpoint.record.service.clone(),
                software: endpoint.record.software.clone(),
                removed_at: None,
            });
        }
        let store = MemoryStore::default();
        *store.lock() = Some(StoredVersions {
            listed: Vec::new(),
            remembered: versions,
        });
        VersionMemory {
            _tasks: software_memory::spawn(&self.core, store),
            refresher,
        }
    }

    /// Makes a call on a new connection and returns all received bytes.
    pub async fn call(&self, request: &str) -> String {
        let mut stream = self.connect().await;
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the request is written");
        read_to_end(&mut stream).await
    }

    /// Connects as a caller.
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.server.address())
            .await
            .expect("the entry accepts connections")
    }

    /// Makes a readiness check and returns its status.
    pub async fn readiness(&self) -> String {
        let mut stream = TcpStream::connect(self.server.readiness())
            .await
            .expect("the entry accepts connections");
        let request = "GET /up HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the request is written");
        status(&read_to_end(&mut stream).await)
    }
}

/// The tasks of an entry whose store remembers versions.
pub struct VersionMemory {
    _tasks: SoftwareTasks,
    refresher: JoinHandle<()>,
}

impl Drop for VersionMemory {
    fn drop(&mut self) {
        self.refresher.abort();
    }
}

/// The versions that entries remember in a store, or nothing while the store is away.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore(Arc<Mutex<Option<StoredVersions>>>);

impl MemoryStore {
    /// Returns a store that remembers versions of service `s`, with the times at which they left.
    pub fn holding(versions: &[(&str, Option<WallTime>)]) -> Self {
        let versions = versions
            .iter()
            .map(|(software, removed_at)| RememberedVersion {
                service: "s".parse().expect("the name is valid"),
                software: software.parse().expect("any text is a version"),
                removed_at: *removed_at,
            })
            .collect();
        Self(Arc::new(Mutex::new(Some(StoredVersions {
            listed: Vec::new(),
            remembered: versions,
        }))))
    }

    fn lock(&self) -> MutexGuard<'_, Option<StoredVersions>> {
        self.0.lock().expect("no task panicked")
    }

    /// Adds an endpoint of service `s` with this version to the registry.
    pub fn list(&self, software: &str) {
        let version = ListedVersion {
            service: "s".parse().expect("the name is valid"),
            software: software.parse().expect("any text is a version"),
        };
        let mut stored = self.lock();
        let stored = stored.as_mut().expect("the store is not away");
        stored.listed.push(version);
    }

    /// Returns what is remembered.
    pub fn versions(&self) -> Option<Vec<RememberedVersion>> {
        self.lock().as_ref().map(|stored| stored.remembered.clone())
    }
}

impl SoftwareStore for MemoryStore {
    async fn publish(&self, versions: &[RememberedVersion]) -> Result<(), PortError> {
        let mut stored = self.lock();
        let stored = stored.as_mut().ok_or(PortError("away".to_owned()))?;
        let known = &mut stored.remembered;
        for version in versions {
            known.retain(|other| {
                other.service != version.service || other.software != version.software
            });
            known.push(version.clone());
        }
        Ok(())
    }

    async fn read(&self) -> Result<StoredVersions, PortError> {
        let stored = self.lock().clone();
        stored.ok_or(PortError("away".to_owned()))
    }
}

/// Returns the announcement of an endpoint.
pub fn record(index: usize, address: SocketAddr, data_centre: &str) -> EndpointRecord {
    let id: EndpointId = format!("e{index}").parse().expect("the name is valid");
    EndpointRecord {
        id,
        service: "s".parse().expect("the name is valid"),
        address,
        data_centre: data_centre.to_owned(),
        slots: 8,
        draining: false,
        started_ms: Some(1),
        sequence: 1,
        software: SoftwareVersion::default(),
        contents: EngineContents {
            models: vec!["m".parse().expect("the name is valid")],
            ..EngineContents::default()
        },
    }
}

/// Reads until the other side closes the connection.
pub async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    // A reset of the connection ends the text as well.
    let _ = timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes))
        .await
        .expect("the connection ends in time");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads until the text contains `part`.
pub async fn read_until(stream: &mut TcpStream, part: &str) -> String {
    let mut bytes = Vec::new();
    let reading = async {
        let mut buffer = [0; 1_024];
        while !String::from_utf8_lossy(&bytes).contains(part) {
            let read = stream
                .read(&mut buffer)
                .await
                .expect("the connection is readable");
            assert!(
                read > 0,
                "closed before {part:?}: {}",
                String::from_utf8_lossy(&bytes)
            );
            bytes.extend_from_slice(&buffer[..read]);
        }
    };
    timeout(TEST_TIMEOUT, reading)
        .await
        .expect("the text arrives in time");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the status of an answer.
pub fn status(answer: &str) -> String {
    answer.split(' ').nth(1).unwrap_or("none").to_owned()
}

/// Returns a call that closes its connection after the answer.
pub fn post(id: &str, extra: &str) -> String {
    post_for(id, 2_000, extra)
}

/// Returns a call whose caller waits for `left_ms` milliseconds.
pub fn post_for(id: &str, left_ms: u32, extra: &str) -> String {
    call_text(id, left_ms, extra, "body")
}

/// Returns a call with this body.
pub fn post_body(id: &str, extra: &str, body: &str) -> String {
    call_text(id, 2_000, extra, body)
}

fn call_text(id: &str, left_ms: u32, extra: &str, body: &str) -> String {
    format!(
        "POST /p/x?q=1 HTTP/1.1\r\nHost: h\r\nCall: {id}\r\nLeft-Ms: {left_ms}\r\nConnection: close\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
