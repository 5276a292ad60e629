//! The entries of a zone get SIGTERM in turn while calls wait for a place at a busy service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Outcome};
use crate::service::{Endpoint, Runs};
use crate::store::Store;
use crate::util::{
    await_ready, free_port, now_ms, record, sleep_ms, trouble, Program, Settings, TempDir,
};

/// The endpoints of the service, the requests that each works on at once, and the time of one. They
/// serve 90 requests a second, and get 110.
const ENDPOINTS: [(&str, &str); 3] = [
    ("i-1", "127.0.0.11"),
    ("i-2", "127.0.0.12"),
    ("i-3", "127.0.0.13"),
];
const SLOTS: usize = 3;
const WORK_MS: u64 = 100;
const PAUSE_MS: u64 = 9;

/// The entries, their addresses and the times of their SIGTERM.
const ENTRIES: [(&str, &str, u64); 2] =
    [("front-1", "127.0.0.2", 12_000), ("front-2", "127.0.0.3", 13_000)];
const GRACE_MS: u64 = 8_000;
const RESTART_MS: u64 = 1_000;
const SENDING_MS: u64 = 30_000;

/// What the rule grants: the slack of a loss, and the time budget and timeout of the requests.
const LOSS_SLACK_MS: u64 = 200;
const BUDGET_MS: u64 = 5_000;
const TIMEOUT_MS: u64 = 2_500;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"r-book","host":"ficu95.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":2500,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1}],
"services":[{"name":"desk","health_path":"/healthz","max_conns":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}"#;

struct Front {
    address: SocketAddr,
    readiness: SocketAddr,
    /// Whether the balancer has it in rotation, and how often it missed a check.
    rotation: Mutex<(bool, u32)>,
    stopped_at: Mutex<Option<u64>>,
}

#[derive(Debug)]
struct Sent {
    id: String,
    front: usize,
    sent_at: u64,
    ended_at: u64,
    outcome: Outcome,
}

/// Places at an endpoint. Requests beyond them wait in its queue.
#[derive(Default)]
struct Places {
    taken: Mutex<usize>,
    freed: Condvar,
}

pub fn run() -> i32 {
    let has_trouble = trouble();
    let dir = TempDir::new();
    let store = Store::start();
    store.put("keyed.op", "config", CONFIG);
    let runs = Runs::default();
    for (id, ip) in ENDPOINTS {
        let places = Places::default();
        let answer = move |request: &http::Message| {
            let mut taken = places.taken.lock().unwrap();
            while *taken >= SLOTS {
                taken = places.freed.wait(taken).unwrap();
            }
            *taken += 1;
            drop(taken);
            sleep_ms(WORK_MS);
            *places.taken.lock().unwrap() -= 1;
            places.freed.notify_one();
            let id = request.header("x-request-id").unwrap_or("");
            (0, format!("booked {id}").into_bytes())
        };
        Endpoint::start(&store, "desk", id, ip, "z1", &runs, answer);
    }
    let ips: Vec<&str> = ENTRIES.iter().map(|(_, ip, _)| *ip).collect();
    let (front, ready, internal) = (free_port(&ips), free_port(&ips), free_port(&ips));
    let settings = |node: &str, ip: &str| {
        Settings {
            node,
            class: "front",
            ip,
            zone: "z1",
            zones: "z1 = \"r1\"",
            internal_ports: (internal, internal),
            listen: format!("front = \"{ip}:{front}\"\nready = \"{ip}:{ready}\""),
            app: None,
            memory_mb: 260,
            store: store.address,
        }
        .text()
    };
    let mut programs: Vec<Program> = Vec::new();
    let mut fronts = Vec::new();
    for (node, ip, _) in ENTRIES {
        programs.push(Program::start(&dir, "entry", node, &settings(node, ip)));
        fronts.push(Front {
            address: format!("{ip}:{front}").parse().unwrap(),
            readiness: format!("{ip}:{ready}").parse().unwrap(),
            rotation: Mutex::new((true, 0)),
            stopped_at: Mutex::new(None),
        });
    }
    let fronts = Arc::new(fronts);
    fronts.iter().for_each(|front| await_ready(front.readiness));
    let began = now_ms();
    for number in 0..fronts.len() {
        let fronts = Arc::clone(&fronts);
        std::thread::spawn(move || balance(&fronts[number], number));
    }
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let until = Instant::now() + Duration::from_millis(SENDING_MS);
    let requesters = {
        let (fronts, sent) = (Arc::clone(&fronts), Arc::clone(&sent));
        std::thread::spawn(move || {
            let mut requests = Vec::new();
            for number in 0.. {
                if Instant::now() >= until {
                    break;
                }
                let (fronts, sent) = (Arc::clone(&fronts), Arc::clone(&sent));
                requests.push(std::thread::spawn(move || {
                    let one = book(&fronts, number);
                    sent.lock().unwrap().push(one);
                }));
                sleep_ms(PAUSE_MS);
            }
            requests.into_iter().for_each(|request| {
                let _ = request.join();
            });
        })
    };

    // The platform stops the entries in turn, and starts each again after its end.
    let mut stops: Vec<(usize, u64)> = Vec::new();
    while Instant::now() < until {
        sleep_ms(20);
        let time = now_ms() - began;
        for (number, (node, ip, stop_at)) in ENTRIES.iter().enumerate() {
            let is_due = has_trouble && time >= *stop_at;
            if is_due && fronts[number].stopped_at.lock().unwrap().is_none() {
                *fronts[number].stopped_at.lock().unwrap() = Some(now_ms());
                programs[number].signal("TERM");
                stops.push((number, now_ms()));
            }
            let Some(position) = stops.iter().position(|(stopped, _)| stopped == &number) else {
                continue;
            };
            let since = now_ms() - stops[position].1;
            if programs[number].is_running() && since < GRACE_MS {
                continue;
            }
            record(&format!("{node} ended {since} ms after SIGTERM"));
            programs[number].kill();
            stops.remove(position);
            sleep_ms(RESTART_MS);
            programs[number] = Program::start(&dir, "entry", node, &settings(node, ip));
        }
    }
    let _ = requesters.join();

    let sent = sent.lock().unwrap();
    let runs = runs.lock().unwrap();
    for run in runs.iter() {
        record(&format!("{} ran {}", run.endpoint, run.request));
    }
    let mut statuses: HashMap<String, u32> = HashMap::new();
    let mut lost = 0;
    for one in sent.iter() {
        *statuses.entry(one.outcome.text()).or_default() += 1;
        record(&format!(
            "{} to {} sent at {} ms: {} at {} ms",
            one.id,
            ENTRIES[one.front].0,
            one.sent_at,
            one.outcome.text(),
            one.ended_at
        ));
        let Outcome::Closed(reason) = &one.outcome else {
            continue;
        };
        let Some(stopped_at) = *fronts[one.front].stopped_at.lock().unwrap() else {
            continue;
        };
        let after = one.sent_at as i64 - stopped_at as i64;
        let took = one.ended_at - one.sent_at;
        let run = runs.iter().find(|run| run.request == one.id);
        let is_planned = one.ended_at >= stopped_at && one.ended_at <= stopped_at + GRACE_MS + 1_000;
        let was_read = run.is_some() || took > LOSS_SLACK_MS;
        let is_excused = took >= TIMEOUT_MS || (run.is_some() && after <= 3_000);
        if is_planned && was_read && !is_excused {
            lost += 1;
            record(&format!(
                "LOST: {} at {}: sent {after} ms after SIGTERM, channel ended {took} ms later ({reason}), {}",
                one.id,
                ENTRIES[one.front].0,
                if run.is_some() { "passed on" } else { "not passed on" }
            ));
        }
    }
    let longest = |from: u64, to: u64| {
        let ended = sent.iter().filter(|one| one.outcome.status() == 200);
        let within = ended.filter(|one| (from..to).contains(&(one.sent_at - began)));
        within.map(|one| one.ended_at - one.sent_at).max().unwrap_or(0)
    };
    record(&format!("longest answered request before the stops: {} ms", longest(4_000, 10_000)));
    record(&format!("requests: {}; ends: {statuses:?}", sent.len()));
    record(&format!("lost: {lost}"));
    record(if lost > 0 { "LOST is broken" } else { "LOST holds" });
    i32::from(lost > 0)
}

/// Asks an entry each second whether it is ready, as the platform's balancer does.
fn balance(front: &Front, number: usize) {
    loop {
        sleep_ms(1_000);
        let is_ready = http::is_ready(front.readiness);
        let mut rotation = front.rotation.lock().unwrap();
        let missed = if is_ready { 0 } else { rotation.1 + 1 };
        let is_in = is_ready || (rotation.0 && missed < 2);
        if is_in != rotation.0 {
            let state = if is_in { "in rotation" } else { "out of rotation" };
            record(&format!("{} is {state}", ENTRIES[number].0));
        }
        *rotation = (is_in, missed);
    }
}

/// Returns the entry to which the platform forwards a new channel: one in rotation, or any one if fewer
/// than half of the zone's are.
fn pick(fronts: &[Front], seed: usize) -> usize {
    let in_rotation: Vec<usize> = (0..fronts.len())
        .filter(|front| fronts[*front].rotation.lock().unwrap().0)
        .collect();
    if in_rotation.len() * 2 < fronts.len() {
        return seed % fronts.len();
    }
    in_rotation[seed % in_rotation.len()]
}

fn book(fronts: &[Front], number: usize) -> Sent {
    let id = format!("book-{number}");
    let front = pick(fronts, number);
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("X-Request-Id", id.clone()),
        ("X-Request-Deadline", BUDGET_MS.to_string()),
    ];
    let sent_at = now_ms();
    let outcome = http::request(
        fronts[front].address,
        "POST /book/seat HTTP/1.1",
        &headers,
        b"one seat",
        Duration::from_millis(BUDGET_MS + 500),
    );
    Sent {
        id,
        front,
        sent_at,
        ended_at: now_ms(),
        outcome,
    }
}
