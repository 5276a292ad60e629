//! A stand-in of a model engine, as the protocol page describes it: requests by priority, streams of
//! events, adapters with versions, orders and reports.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::Duration;

use crate::http::{self, Message};
use crate::store::Store;
use crate::util::{cannot_run, now_ms, record, sleep_ms, unix_ms};

/// The time until the first event of a request that has a place.
const PREFILL_MS: u64 = 30;

/// The time of the load of an adapter, and of the model where the engine's disk has it.
const LOAD_MS: u64 = 250;
const MODEL_LOAD_MS: u64 = 1_000;

/// The orders that get no answer and are carried out later: for which adapter, and after which time. Only
/// the first such order is.
pub type LateOrder = Option<(&'static str, u64)>;

/// What an engine is.
#[derive(Clone)]
pub struct EngineRule {
    pub id: &'static str,
    pub ip: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    /// The models of the service with the size of their weights, and the memory for weights, in MB.
    pub models: &'static [(&'static str, u64)],
    pub mb: u64,
    pub slots: usize,
    pub adapter_slots: usize,
    /// The events of a stream, and the time between two of them.
    pub events: u64,
    pub event_ms: u64,
}

/// A request that an engine began to work on.
#[derive(Debug, Clone)]
pub struct Begun {
    pub request: String,
    pub adapter: String,
    pub begun_at: u64,
}

const ACCEPTED: &str = "HTTP/1.1 202 Accepted";
const HELD: &str = "HTTP/1.1 200 OK";
const CONFLICT: &str = "HTTP/1.1 409 Conflict";

/// The newest version of each adapter that the operator named.
pub type Versions = Arc<Mutex<HashMap<String, u64>>>;

#[derive(Debug, Clone)]
struct Waiting {
    number: u64,
    priority: u64,
}

#[derive(Debug, Clone)]
struct Running {
    request: String,
    adapter: (String, String),
    events: u64,
}

#[derive(Default)]
struct State {
    /// The models that the engine holds, and the one that it loads with the time of the end.
    models: Vec<String>,
    loading: Option<(String, u64)>,
    /// The adapters that it holds, by model and name, with their version.
    adapters: BTreeMap<(String, String), u64>,
    /// The adapters on their way, with their version and the time at which they are there. A time of
    /// nothing stands for a replacement that waits for its runs.
    coming: BTreeMap<(String, String), (u64, Option<u64>)>,
    orders: u64,
    waiting: Vec<Waiting>,
    running: HashMap<u64, Running>,
    last_number: u64,
    begun: Vec<Begun>,
    /// The start of the engine, in Unix milliseconds, and the number of its starts.
    born: u64,
    starts: u64,
    is_down: bool,
    late_order: LateOrder,
    overloads: u64,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    pub rule: EngineRule,
    pub address: SocketAddr,
    versions: Versions,
    store: Store,
    announcements: Arc<Mutex<u64>>,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Engine {
    /// Starts an engine that holds a model, and announces itself in the store.
    pub fn start(store: &Store, rule: EngineRule, versions: &Versions, held: &str) -> Self {
        let listener =
            TcpListener::bind((rule.ip, 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let engine = Self {
            address: listener.local_addr().unwrap(),
            rule,
            versions: Arc::clone(versions),
            store: store.clone(),
            announcements: Arc::default(),
            state: Arc::default(),
        };
        engine.lock().models.push(held.to_owned());
        engine.lock().born = unix_ms();
        let serving = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || {
                    let _ = serving.serve(stream);
                });
            }
        });
        let beating = engine.clone();
        std::thread::spawn(move || loop {
            beating.announce();
            sleep_ms(1_200);
        });
        let loading = engine.clone();
        std::thread::spawn(move || loop {
            sleep_ms(10);
            loading.end_loads();
        });
        engine
    }

    fn announce(&self) {
        let mut seq = self.announcements.lock().unwrap();
        if !self.lock().is_down {
            *seq += 1;
            self.store.put("keyed.servers", self.rule.id, &self.entry(*seq));
        }
    }

    pub fn begun(&self) -> Vec<Begun> {
        self.lock().begun.clone()
    }

    /// Returns how often the engine was ordered to load more than it holds.
    pub fn overloads(&self) -> u64 {
        self.lock().overloads
    }

    /// Lets the first order to load an adapter go unanswered, and carries it out after this time.
    pub fn set_late_order(&self, late_order: LateOrder) {
        self.lock().late_order = late_order;
    }

    /// Ends the engine, which starts again empty under its id after `down_ms`.
    pub fn crash(&self, down_ms: u64) {
        record(&format!("{} crashes", self.rule.id));
        {
            let mut state = self.lock();
            let kept = State {
                begun: std::mem::take(&mut state.begun),
                last_number: state.last_number,
                starts: state.starts + 1,
                overloads: state.overloads,
                is_down: true,
                ..State::default()
            };
            *state = kept;
        }
        self.state.1.notify_all();
        sleep_ms(down_ms);
        let mut state = self.lock();
        state.is_down = false;
        state.born = unix_ms();
        drop(state);
        record(&format!("{} has started again under its id, empty", self.rule.id));
        self.announce();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    fn newest(&self, adapter: &str) -> u64 {
        self.versions.lock().unwrap().get(adapter).copied().unwrap_or(1)
    }

    fn models(&self, state: &State) -> String {
        let models = state.models.iter().map(|model| {
            let adapters = state.adapters.iter().filter(|((of, _), _)| of == model);
            let adapters = adapters.map(|((_, name), version)| format!("\"{name}@{version}\""));
            format!(
                "{{\"name\":\"{model}\",\"version\":1,\"adapters\":[{}]}}",
                adapters.collect::<Vec<_>>().join(",")
            )
        });
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }

    fn entry(&self, seq: u64) -> String {
        let (rule, state) = (&self.rule, self.lock());
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_ms\":0,\"stage\":\"colocated\",\"models\":{},\"seq\":{seq},\
             \"born\":{}}}",
            rule.service,
            self.address,
            rule.zone,
            rule.slots,
            self.models(&state),
            state.born
        )
    }

    fn report(&self) -> String {
        let state = self.lock();
        let coming: Vec<String> = state
            .coming
            .iter()
            .map(|((model, name), (version, _))| format!("\"{model}/{name}@{version}\""))
            .collect();
        let runs: Vec<String> = state
            .running
            .values()
            .map(|run| format!("[\"{}\",100,{},0]", run.request, run.events))
            .collect();
        format!(
            "{{\"stage\":\"colocated\",\"models\":{},\"busy\":{},\"seq\":{},\"queued\":{},\"active\":{},\
             \"kv_used\":{},\"kv_total\":100000,\"handles\":0,\"coming\":[{}],\"runs\":[{}],\"born\":{}}}",
            self.models(&state),
            state.loading.is_some(),
            state.orders,
            state.waiting.len(),
            state.running.len(),
            state.running.len() * 100,
            coming.join(","),
            runs.join(","),
            state.born
        )
    }

    /// Ends the loads whose time has come. A replacement begins when its runs have ended.
    fn end_loads(&self) {
        let mut state = self.lock();
        let now = now_ms();
        if let Some((model, _)) = state.loading.take_if(|(_, at)| *at <= now) {
            record(&format!("{}: holds {model}", self.rule.id));
            state.models.push(model);
        }
        let mut ended = Vec::new();
        let used: Vec<_> = state.running.values().map(|run| run.adapter.clone()).collect();
        for (name, (version, at)) in &mut state.coming {
            match at {
                None if !used.contains(name) => *at = Some(now + LOAD_MS),
                Some(at) if *at <= now => ended.push((name.clone(), *version)),
                _ => {}
            }
        }
        for (name, version) in ended {
            state.coming.remove(&name);
            record(&format!("{}: holds {}/{}@{version}", self.rule.id, name.0, name.1));
            state.adapters.insert(name, version);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let starts = self.lock().starts;
        while let Some(mut request) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &mut request)?;
            if self.has_ended(starts) {
                return Ok(());
            }
            let is_json = [("Content-Type", "application/json".to_owned())];
            match request.path() {
                "/api/report" => {
                    let report = self.report();
                    http::write_message(&mut writer, "HTTP/1.1 200 OK", &is_json, report.as_bytes())?;
                }
                "/api/order" => {
                    if let Some(after_ms) = self.take_late(&request) {
                        let late = self.clone();
                        std::thread::spawn(move || {
                            sleep_ms(after_ms);
                            let answer = late.order(&request);
                            record(&format!("{}: the late order: {answer}", late.rule.id));
                        });
                        continue;
                    }
                    let first = self.order(&request);
                    record(&format!("{}: {first}", self.rule.id));
                    http::write_message(&mut writer, first, &is_json, b"{}")?;
                }
                "/healthz" => {
                    let own = [("X-Instance-Id", self.rule.id.to_owned())];
                    http::write_message(&mut writer, "HTTP/1.1 200 OK", &own, b"")?;
                }
                _ => self.generate(&request, &mut writer)?,
            }
        }
        Ok(())
    }

    /// Returns whether the engine is down or has started again since it had this number of starts.
    fn has_ended(&self, starts: u64) -> bool {
        let state = self.lock();
        state.is_down || state.starts != starts
    }

    /// Returns after which time an order is carried out, if it gets no answer.
    fn take_late(&self, request: &Message) -> Option<u64> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut state = self.lock();
        let (adapter, after_ms) = state.late_order?;
        let is_load = json_text(&body, "operation").as_deref() == Some("model_load");
        if !is_load || json_text(&body, "adapter").as_deref() != Some(adapter) {
            return None;
        }
        state.late_order = None;
        record(&format!("{}: no answer, and {after_ms} ms late: order {body}", self.rule.id));
        Some(after_ms)
    }

    fn order(&self, request: &Message) -> &'static str {
                                let body = String::from_utf8_lossy(&request.body).into_owned();
        record(&format!("{}: order {body}", self.rule.id));
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.rule.id) {
            return "HTTP/1.1 421 Misdirected Request";
        }
        let mut state = self.lock();
        if state.is_down {
            return "HTTP/1.1 503 Service Unavailable";
        }
        let expected = json_number(&body, "expected_rev");
        if state.loading.is_some() || expected.is_some_and(|expected| expected != state.orders) {
            return CONFLICT;
        }
        let model = json_text(&body, "model").unwrap_or_default();
        let has_model = state.models.contains(&model);
        let Some(name) = json_text(&body, "adapter") else {
            if has_model {
                return HELD;
            }
            let size = |wanted: &str| self.rule.models.iter().find(|(name, _)| *name == wanted);
            let needed = state.models.iter().map(String::as_str).chain([&*model]);
            let needed: u64 = needed.filter_map(size).map(|(_, mb)| mb).sum();
            state.orders += 1;
            if needed > self.rule.mb {
                return self.overload(state, &model);
            }
            state.loading = Some((model, now_ms() + MODEL_LOAD_MS));
            return ACCEPTED;
        };
        if !has_model {
            return "HTTP/1.1 400 Bad Request";
        }
        let adapter = (model, name);
        let version = json_number(&body, "version").unwrap_or_else(|| self.newest(&adapter.1));
        if json_text(&body, "operation").as_deref() == Some("model_unload") {
            let is_used = state.running.values().any(|run| run.adapter == adapter);
            if is_used || state.adapters.remove(&adapter).is_none() {
                return CONFLICT;
            }
            state.orders += 1;
            return HELD;
        }
        if state.adapters.get(&adapter).is_some_and(|held| *held >= version)
            || state.coming.contains_key(&adapter)
        {
            return HELD;
        }
        let replaces = state.adapters.contains_key(&adapter);
        if !replaces && state.adapters.len() + state.coming.len() >= self.rule.adapter_slots {
            return self.overload(state, &adapter.1);
        }
        let at = (!replaces).then(|| now_ms() + LOAD_MS);
        state.coming.insert(adapter, (version, at));
        state.orders += 1;
        ACCEPTED
    }

    /// Accepts an order to load more than the engine holds, under which it crashes.
    fn overload(&self, mut state: MutexGuard<'_, State>, wanted: &str) -> &'static str {
        state.overloads += 1;
        record(&format!(
            "LIMIT: {} holds {:?} and {:?}, {:?} are coming, and it is ordered to load {wanted}",
            self.rule.id,
            state.models,
            state.adapters.keys().collect::<Vec<_>>(),
            state.coming.keys().collect::<Vec<_>>()
        ));
        drop(state);
        let engine = self.clone();
        std::thread::spawn(move || engine.crash(1_000));
        ACCEPTED
    }

    /// Answers a generation with a stream of events.
    fn generate(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let model = request.header("x-model").unwrap_or("");
        let (model, name) = model.split_once('/').unwrap_or((model, ""));
        let adapter = (model.to_owned(), name.to_owned());
        let number = |name| request.header(name).and_then(|value: &str| value.parse::<u64>().ok());
        let mut own = vec![
            ("X-Request-Id", id.clone()),
            ("X-Instance-Id", self.rule.id.to_owned()),
            ("Keep-Alive", "timeout=20".to_owned()),
        ];
        let is_misdirected = {
            let state = self.lock();
            let held = state.adapters.get(&adapter).copied();
            let expected = number("x-expect-version");
            request.header("x-expect-instance").is_some_and(|other| other != self.rule.id)
                || held.is_none()
                || expected.is_some_and(|expected| Some(expected) != held)
        };
        if is_misdirected {
            return http::write_message(writer, "HTTP/1.1 421 Misdirected Request", &own, b"");
        }
        let place = self.await_place(&adapter, number("x-request-priority").unwrap_or(5), &id, writer)?;
        let Some((place, version)) = place else {
            own.push(("X-Not-Executed", "1".to_owned()));
            return http::write_message(writer, "HTTP/1.1 503 Service Unavailable", &own, b"");
        };
        self.lock().begun.push(Begun {
            request: id.clone(),
            adapter: adapter.1.clone(),
            begun_at: now_ms(),
        });
        let streamed = self.stream(place, version, &own, writer);
        self.lock().running.remove(&place);
        self.state.1.notify_all();
        streamed
    }

    fn stream(
        &self,
        place: u64,
        version: u64,
        own: &[(&str, String)],
        writer: &mut TcpStream,
    ) -> io::Result<()> {
        sleep_ms(PREFILL_MS);
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
        for (name, value) in own {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!(
            "X-Response-Signature: s.{}.{version}\r\nX-Weight-Versions: {version}\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            self.rule.id
        ));
        writer.write_all(head.as_bytes())?;
        let starts = self.lock().starts;
        for event in 1..=self.rule.events {
            if self.has_ended(starts) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            if let Some(run) = self.lock().running.get_mut(&place) {
                run.events = event;
            }
            let text = format!("id: {event}\ndata: word of version {version}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            sleep_ms(self.rule.event_ms);
        }
        writer.write_all(b"0\r\n\r\n")
    }

    /// Waits for a place in the batch: the more urgent first, then those that came first. Returns
    /// nothing if the request is rejected.
    fn await_place(
        &self,
        adapter: &(String, String),
        priority: u64,
        id: &str,
        channel: &TcpStream,
    ) -> io::Result<Option<(u64, u64)>> {
        let mut state = self.lock();
        if state.waiting.len() >= 3 * self.rule.slots {
            return Ok(None);
        }
        let starts = state.starts;
        state.last_number += 1;
        let number = state.last_number;
        state.waiting.push(Waiting { number, priority });
        loop {
            let first = state.waiting.iter().min_by_key(|one| (one.priority, one.number));
            let is_first = first.is_some_and(|first| first.number == number);
            let is_replaced = state.coming.contains_key(adapter);
            let held = state.adapters.get(adapter).copied();
            let is_closed = http::is_closed(channel);
            let has_ended = state.is_down || state.starts != starts;
            if is_closed || has_ended || is_replaced || held.is_none() {
                state.waiting.retain(|one| one.number != number);
                self.state.1.notify_all();
                if is_closed || has_ended {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                return Ok(None);
            }
            if let (true, Some(version)) = (is_first && state.running.len() < self.rule.slots, held) {
                state.waiting.retain(|one| one.number != number);
                let (request, adapter) = (id.to_owned(), adapter.clone());
                let run = Running { request, adapter, events: 0 };
                state.running.insert(number, run);
                self.state.1.notify_all();
                return Ok(Some((number, version)));
            }
            state = self.state.1.wait_timeout(state, Duration::from_millis(10)).unwrap().0;
        }
    }
}

/// Returns the text in a field of a JSON object without nested objects.
pub fn json_text(body: &str, field: &str) -> Option<String> {
    let rest = body.split_once(&format!("\"{field}\":\""))?.1;
    Some(rest.split('"').next()?.to_owned())
}

/// Returns the whole number in a field of a JSON object without nested objects.
pub fn json_number(body: &str, field: &str) -> Option<u64> {
    let rest = body.split_once(&format!("\"{field}\":"))?.1;
    rest.split([',', '}']).next()?.trim().parse().ok()
}
