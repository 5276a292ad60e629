//! Many requesters come at once and keep their channels, and an entry takes no further ones.

use std::collections::HashSet;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http;
use crate::service;
use crate::store::Store;
use crate::util::{await_ready, free_port, now_ms, record, sleep_ms, trouble, Program, Settings, TempDir};

/// The requesters that keep a channel each, and how many times as many there are in the burst.
const USUAL: usize = 560;
const BURST: f64 = 1.7;

/// The time between two requests on a kept channel, and the time for which a channel is kept without one:
/// four fifths of the limit in the configuration.
const PAUSE_MS: u64 = 4_000;
const IDLE_MS: u64 = 12_000;

/// The beginning and the length of the burst, and the end of all.
const BURST_AT_MS: u64 = 8_000;
const BURST_MS: u64 = 3_000;
const END_MS: u64 = 30_000;

/// The requesters that open a new channel for each request, and the time between two requests of one.
const NEW_REQUESTERS: usize = 10;
const NEW_PAUSE_MS: u64 = 500;

/// What the rule names.
const STABLE_WINDOW_MS: u64 = 4_000;
const MIN_REQUESTERS: usize = 7;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"r-look","host":"ficu95.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":5000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2}],
"services":[{"name":"desk","health_path":"/healthz","max_conns":190}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}"#;

/// A request on a new channel.
struct Tried {
    requester: usize,
    sent_at: u64,
    outcome: String,
    is_answered: bool,
}

pub fn run() -> i32 {
    let has_trouble = trouble();
    let dir = TempDir::new();
    let store = Store::start();
    store.put("keyed.op", "config", CONFIG);
    let answer = |_: &http::Message| Some((10, vec![b'x'; 800]));
    for (id, ip) in [("i-1", "127.0.0.11"), ("i-2", "127.0.0.12"), ("i-3", "127.0.0.13")] {
        service::start(&store, "desk", id, ip, 64, answer);
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
        memory_mb: 120,
        store: store.address,
    };
    let mut entry = Program::start(&dir, "entry", "front-1", &settings.text());
    let address: SocketAddr = format!("{ip}:{front}").parse().unwrap();
    let readiness: SocketAddr = format!("{ip}:{ready}").parse().unwrap();
    await_ready(readiness);

    let began = now_ms();
    let elapsed = move || now_ms() - began;
    let all = if has_trouble { (USUAL as f64 * BURST) as usize } else { USUAL };
    let taken = Arc::new(Mutex::new((0_usize, 0_usize)));
    let mut threads = Vec::new();
    for number in 0..all {
        let taken = Arc::clone(&taken);
        let keeping = move || {
            let is_usual = number < USUAL;
            // The usual ones come one after the other, those of the burst within a second.
            let begin = if is_usual {
                number as u64 * 5
            } else {
                BURST_AT_MS + (number - USUAL) as u64 * 1_000 / (all - USUAL) as u64
            };
            sleep_ms(begin.saturating_sub(elapsed()));
            let until = if is_usual { END_MS } else { BURST_AT_MS + BURST_MS };
            let kept = keep(address, number, || elapsed() < until);
            let mut taken = taken.lock().unwrap();
            match kept {
                Ok(_) => taken.0 += 1,
                Err(_) => taken.1 += 1,
            }
        };
        let thread = std::thread::Builder::new().stack_size(128 << 10);
        threads.push(thread.spawn(keeping).expect("a thread"));
    }
    let tried: Arc<Mutex<Vec<Tried>>> = Arc::default();
    for requester in 0..NEW_REQUESTERS {
        let tried = Arc::clone(&tried);
        threads.push(std::thread::spawn(move || {
            sleep_ms(requester as u64 * NEW_PAUSE_MS / NEW_REQUESTERS as u64);
            for number in 0.. {
                if elapsed() >= END_MS {
                    return;
                }
                let sent_at = elapsed();
                let outcome = look(address, &format!("new-{requester}-{number}"));
                tried.lock().unwrap().push(Tried {
                    requester,
                    sent_at,
                    is_answered: outcome.status() != 0,
                    outcome: outcome.text(),
                });
                sleep_ms(NEW_PAUSE_MS);
            }
        }));
    }
    let mut checks: Vec<(u64, bool)> = Vec::new();
    while elapsed() < END_MS {
        checks.push((elapsed(), http::is_ready(readiness)));
        sleep_ms(1_000);
    }
    threads.into_iter().for_each(|thread| {
        let _ = thread.join();
    });
    record(&format!("the entry's process runs: {}", entry.is_running()));
    record(&format!(
        "channels that the entry refused, by its log: {}",
        entry.log_lines("event=caller_refused").len()
    ));
    entry.kill();

    for (at, is_ready) in &checks {
        record(&format!("readiness at {at} ms: {is_ready}"));
    }
    let mut tried = std::mem::take(&mut *tried.lock().unwrap());
    tried.sort_by_key(|one| one.sent_at);
    for one in &tried {
        let (requester, at) = (one.requester, one.sent_at);
        record(&format!("requester {requester} on a new channel at {at} ms: {}", one.outcome));
    }
    let (kept, refused) = *taken.lock().unwrap();
    record(&format!("requesters whose channel was taken and kept: {kept}; not: {refused}"));

    // The longest time between two new channels that were taken, and who tried meanwhile.
    let mut taken_at: Vec<u64> = vec![0];
    taken_at.extend(tried.iter().filter(|one| one.is_answered).map(|one| one.sent_at));
    taken_at.push(END_MS);
    let mut is_broken = false;
    for pair in taken_at.windows(2) {
        let (from, to) = (pair[0], pair[1]);
        if to - from < STABLE_WINDOW_MS {
            continue;
        }
        let between = tried.iter().filter(|one| one.sent_at > from && one.sent_at < to);
        let requesters: HashSet<usize> = between.map(|one| one.requester).collect();
        let within = checks.iter().filter(|(at, _)| *at > from && *at < to);
        let is_ready = within.clone().count() > 0 && within.clone().all(|(_, is_ready)| *is_ready);
        record(&format!(
            "no new channel was taken from {from} to {to} ms; {} requesters tried; ready: {is_ready}",
            requesters.len()
        ));
        is_broken |= requesters.len() >= MIN_REQUESTERS && is_ready;
    }
    record(if is_broken { "RECOVER is broken" } else { "RECOVER holds" });
    i32::from(is_broken)
}

fn headers(id: &str) -> [(&'static str, String); 3] {
    [
        ("Host", "ficu95.example".to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Request-Deadline", "5000".to_owned()),
    ]
}

fn look(address: SocketAddr, id: &str) -> http::Outcome {
    http::request(address, "GET /look/1 HTTP/1.1", &headers(id), b"", Duration::from_secs(5))
}

/// Sends requests on one channel as long as `goes_on`, and keeps it open for as long as the limits allow.
fn keep(address: SocketAddr, number: usize, goes_on: impl Fn() -> bool) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    for request in 0.. {
        let id = format!("kept-{number}-{request}");
        http::write_message(&mut stream, "GET /look/1 HTTP/1.1", &headers(&id), b"")?;
        let head = http::read_head(&mut reader)?;
        let mut answer = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        http::read_body(&mut reader, &mut answer)?;
        sleep_ms(PAUSE_MS);
        if !goes_on() {
            break;
        }
    }
    sleep_ms(IDLE_MS - PAUSE_MS);
    Ok(())
}
