//! Endpoints of a booking service answer a few requests twice: the second copy arrives late, at the
//! point where the next response of the channel is expected.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::store::Store;
use crate::util::{
    await_ready, cannot_run, free_port, now_ms, record, sleep_ms, trouble, unix_ms, Program, Random,
    Settings, TempDir,
};

/// The endpoints: their ids, addresses and services, and the path of the services' requests. Each works
/// on this many requests at once, and queues a few more.
const ENDPOINTS: [(&str, &str, &str); 2] =
    [("i-1", "127.0.0.11", "desk"), ("i-2", "127.0.0.12", "catalog")];
const SLOTS: usize = 6;
const QUEUE: usize = 2;
const WORK_MS: u64 = 15;

/// The number of faulty endpoints, and the share of their responses that they send once more, for five
/// seconds at a time.
const FAULTY: usize = 1;
const EXTRA_SHARE: f64 = 0.03;
const FAULT_MS: u64 = 5_000;
const PAUSE_MS: u64 = 1_000;

/// The requesters, each with one request at a time, and the time for which they send. The first ones
/// read the catalog, the others book.
const READERS: usize = 2;
const REQUESTERS: usize = READERS + 18;
const SENDING_S: u64 = 90;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"r-book","host":"ficu95.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":5000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1},
{"name":"r-list","host":"ficu95.example","path_prefix":"/list/","kind":"idempotent","timeout_ms":5000,"target_latency_ms":300,"priority":2,"service":"catalog","max_attempts":2}],
"services":[{"name":"desk","health_path":"/healthz","max_conns":96},{"name":"catalog","health_path":"/healthz","max_conns":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}"#;

/// What all endpoints did: the runs of each request, and how often each thing happened.
#[derive(Default)]
struct Seen {
    runs: HashMap<String, Vec<String>>,
    rejected: u64,
    extras: u64,
}

struct Endpoint {
    id: &'static str,
    seen: Arc<Mutex<Seen>>,
    random: Mutex<Random>,
    extra_share: f64,
    /// The requests at work, and those that wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
}

impl Endpoint {
    fn start(
        store: &Store,
        id: &'static str,
        ip: &str,
        service: &'static str,
        seen: &Arc<Mutex<Seen>>,
        extra_share: f64,
    ) {
        let listener =
            TcpListener::bind((ip, 0)).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let endpoint = Arc::new(Self {
            id,
            seen: Arc::clone(seen),
            random: Mutex::new(Random::new(u64::from(address.port()))),
            extra_share,
            load: Mutex::default(),
            freed: Condvar::new(),
        });
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = Arc::clone(&endpoint);
                std::thread::spawn(move || endpoint.serve(stream));
            }
        });
        let store = store.clone();
        let born = unix_ms();
        std::thread::spawn(move || {
            for seq in 1_u64.. {
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\
                     \"slots\":{SLOTS},\"state\":\"ready\",\"cold_ms\":0,\"seq\":{seq},\"born\":{born}}}"
                );
                store.put("keyed.servers", id, &entry);
                sleep_ms(1_200);
            }
        });
    }

    /// Serves one request at a time on a channel.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut extra: Option<Vec<u8>> = None;
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            if http::read_body(&mut reader, &mut request).is_err() {
                return;
            }
            if let Some(bytes) = extra.take() {
                self.seen.lock().unwrap().extras += 1;
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            let Some(response) = self.answer(&request, &writer) else {
                return;
            };
            if writer.write_all(&response).is_err() {
                return;
            }
            let is_faulty = now_ms() % (FAULT_MS + PAUSE_MS) < FAULT_MS;
            if is_faulty && self.random.lock().unwrap().chance(self.extra_share) {
                extra = Some(response);
            }
        }
    }

    /// Returns the response to a request, or nothing if its channel was closed while it waited.
    fn answer(&self, request: &Message, channel: &TcpStream) -> Option<Vec<u8>> {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let mut headers = vec![
            ("X-Request-Id", id.clone()),
            ("X-Instance-Id", self.id.to_owned()),
            ("Keep-Alive", "timeout=20".to_owned()),
        ];
        let response = |first: &str, headers: &[(&str, String)], body: &[u8]| {
            let mut bytes = Vec::new();
            let _ = http::write_message(&mut bytes, first, headers, body);
            bytes
        };
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            return Some(response("HTTP/1.1 421 Misdirected Request", &headers, b""));
        }
        if !self.enter(channel)? {
            self.seen.lock().unwrap().rejected += 1;
            headers.push(("X-Not-Executed", "1".to_owned()));
            return Some(response("HTTP/1.1 503 Service Unavailable", &headers, b""));
        }
        let run = format!("{} at {} ms", self.id, now_ms());
        self.seen.lock().unwrap().runs.entry(id.clone()).or_default().push(run);
        sleep_ms(WORK_MS);
        self.load.lock().unwrap().0 -= 1;
        self.freed.notify_all();
        let body = format!("booked {id}");
        headers.push(("X-Response-Signature", format!("s.{id}.{}", body.len())));
        Some(response("HTTP/1.1 200 OK", &headers, body.as_bytes()))
    }

    /// Takes a place. Returns `Some(false)` if the endpoint is full, and nothing if the channel was
    /// closed while its request waited.
    fn enter(&self, channel: &TcpStream) -> Option<bool> {
        let mut load = self.load.lock().unwrap();
        if load.0 < SLOTS {
            load.0 += 1;
            return Some(true);
        }
        if load.1 >= QUEUE {
            return Some(false);
        }
        load.1 += 1;
        loop {
            load = self.freed.wait_timeout(load, Duration::from_millis(10)).unwrap().0;
            if http::is_closed(channel) {
                load.1 -= 1;
                return None;
            }
            if load.0 < SLOTS {
                load.0 += 1;
                load.1 -= 1;
                return Some(true);
            }
        }
    }
}

pub fn run() -> i32 {
    let extra_share = if trouble() { EXTRA_SHARE } else { 0.0 };
    let dir = TempDir::new();
    let store = Store::start();
    store.put("keyed.op", "config", CONFIG);
    let seen = Arc::<Mutex<Seen>>::default();
    for (number, (id, ip, service)) in ENDPOINTS.into_iter().enumerate() {
        let extra_share = if number < FAULTY { extra_share } else { 0.0 };
        Endpoint::start(&store, id, ip, service, &seen, extra_share);
    }
    let ip = "127.0.0.2";
    let (front, ready, internal) = (free_port(&[ip]), free_port(&[ip]), free_port(&[ip]));
    let settings = Settings {
        node: "front-1",
        class: "front",
        ip,
        zone: "z1",
        zones: "z1 = \"r1\"",
        internal_ports: (internal, internal),
        listen: format!("front = \"{ip}:{front}\"\nready = \"{ip}:{ready}\""),
        app: None,
        memory_mb: 260,
        store: store.address,
    };
    let mut entry = Program::start(&dir, "entry", "front-1", &settings.text());
    let address: SocketAddr = format!("{ip}:{front}").parse().unwrap();
    await_ready(format!("{ip}:{ready}").parse().unwrap());

    let answers: Arc<Mutex<Vec<(String, u16, String)>>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(SENDING_S);
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|requester| {
            let answers = Arc::clone(&answers);
            std::thread::spawn(move || {
                for number in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let is_booking = requester >= READERS;
                    let (kind, first) = if is_booking {
                        ("book", "POST /book/seat HTTP/1.1")
                    } else {
                        ("list", "GET /list/seats HTTP/1.1")
                    };
                    let id = format!("{kind}-{requester}-{number}");
                    let headers = [
                        ("Host", "ficu95.example".to_owned()),
                        ("X-Request-Id", id.clone()),
                        ("X-Request-Deadline", "5000".to_owned()),
                    ];
                    let outcome = http::request(
                        address,
                        first,
                        &headers,
                        if is_booking { &b"one seat"[..] } else { b"" },
                        Duration::from_millis(5_500),
                    );
                    let answer = (id, outcome.status(), outcome.text());
                    answers.lock().unwrap().push(answer);
                    sleep_ms(20);
                }
            })
        })
        .collect();
    requesters.into_iter().for_each(|requester| {
        let _ = requester.join();
    });
    sleep_ms(1_000);
    entry.kill();

    let answers = answers.lock().unwrap();
    let seen = seen.lock().unwrap();
    let mut twice = 0;
    let mut refused = 0;
    let mut statuses: HashMap<String, u32> = HashMap::new();
    for (id, status, text) in answers.iter().filter(|(id, ..)| id.starts_with("book")) {
        *statuses.entry(text.clone()).or_default() += 1;
        let runs = seen.runs.get(id).map_or(&[][..], |runs| runs);
        record(&format!("{id} ran {runs:?}; answered: {text}"));
        if runs.len() > 1 {
            twice += 1;
            record(&format!("TWICE: {id} ran {}; answered: {text}", runs.join(" and ")));
        }
        if matches!(status, 408 | 421 | 429 | 503) && !runs.is_empty() {
            refused += 1;
            record(&format!("REFUSED: {id} ran {}; answered: {text}", runs.join(" and ")));
        }
    }
    record(&format!("answers to bookings: {statuses:?}"));
    record(&format!(
        "requests: {}; rejected by full endpoints: {}; extra responses: {}",
        answers.len(),
        seen.rejected,
        seen.extras
    ));
    record(&format!(
        "answers that the entry found to be foreign: {}",
        entry.log_lines("event=foreign_answer").len()
    ));
    record(&format!("ran twice: {twice}; refused and ran: {refused}"));
    let is_broken = twice > 0 || refused > 0;
    record(if is_broken { "TWICE or REFUSED is broken" } else { "TWICE and REFUSED hold" });
    i32::from(is_broken)
}
