//! Requesters read their answers slowly, while others send usual requests.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Outcome};
use crate::service;
use crate::store::Store;
use crate::util::{await_ready, free_port, now_ms, record, sleep_ms, trouble, Program, Settings, TempDir};

/// The answers that are read slowly: their number, their size and the bytes that are read at once.
const READERS: usize = 40;
const ANSWER_BYTES: usize = 1 << 20;
const READ_BYTES: usize = 2_048;
const READ_PAUSE_MS: u64 = 100;

/// The `timeout_ms` of the route of usual requests, and the time after it at which the rule looks.
const TIMEOUT_MS: u64 = 2_000;
const SLACK_MS: u64 = 500;

/// The smallest number of late requests that is judged.
const MIN_LATE: usize = 8;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"r-lookup","host":"ficu95.example","path_prefix":"/lookup/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2},
{"name":"r-export","host":"ficu95.example","path_prefix":"/export/","kind":"idempotent","timeout_ms":15000,"target_latency_ms":1000,"priority":2,"service":"desk","max_attempts":2}],
"services":[{"name":"desk","health_path":"/healthz","max_conns":480}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000}}"#;

#[derive(Debug, Clone)]
struct Seen {
    sent_at: u64,
    took: u64,
    outcome: String,
    is_answer: bool,
}

pub fn run() -> i32 {
    let has_trouble = trouble();
    let dir = TempDir::new();
    let store = Store::start();
    store.put("keyed.op", "config", CONFIG);
    let answer = |request: &http::Message| {
        let bytes = if request.path().starts_with("/export/") {
            ANSWER_BYTES
        } else {
            800
        };
        Some((20, vec![b'x'; bytes]))
    };
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
        memory_mb: 160,
        store: store.address,
    };
    let mut entry = Program::start(&dir, "entry", "front-1", &settings.text());
    let address: SocketAddr = format!("{ip}:{front}").parse().unwrap();
    let readiness: SocketAddr = format!("{ip}:{ready}").parse().unwrap();
    await_ready(readiness);

    // Usual requests, ten a second, for 40 seconds. The first 4 seconds aren't judged.
    let began = now_ms();
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let usual = {
        let seen = Arc::clone(&seen);
        std::thread::spawn(move || {
            let mut requests = Vec::new();
            for number in 0..400 {
                let seen = Arc::clone(&seen);
                requests.push(std::thread::spawn(move || {
                    let sent = usual_request(address, number);
                    seen.lock().unwrap().push(sent);
                }));
                sleep_ms(100);
            }
            requests.into_iter().for_each(|request| {
                let _ = request.join();
            });
        })
    };
    sleep_ms(5_000);
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            sleep_ms(50);
            std::thread::spawn(move || read_export(address, number, has_trouble))
        })
        .collect();
    while !usual.is_finished() {
        let check = http::request(
            readiness,
            "GET /api/ready HTTP/1.1",
            &[("Host", readiness.to_string())],
            b"",
            Duration::from_secs(1),
        );
        record(&format!("readiness: {}", check.text()));
        sleep_ms(1_000);
    }
    let _ = usual.join();
    record(&format!("the entry's process runs: {}", entry.is_running()));
    for line in entry.log_lines("cause=memory") {
        record(&format!("log: {line}"));
    }
    entry.kill();
    readers.into_iter().for_each(|reader| {
        let _ = reader.join();
    });

    let mut seen = seen.lock().unwrap().clone();
    seen.sort_by_key(|sent| sent.sent_at);
    for sent in &seen {
        record(&format!(
            "usual request sent at {} ms: {} after {} ms",
            sent.sent_at, sent.outcome, sent.took
        ));
    }
    let judged: Vec<&Seen> = seen
        .iter()
        .filter(|sent| sent.sent_at >= began + 4_000)
        .collect();
    let is_late = |sent: &&&Seen| !sent.is_answer || sent.took > TIMEOUT_MS;
    let is_unanswered = |sent: &&&Seen| !sent.is_answer || sent.took > TIMEOUT_MS + SLACK_MS;
    let late = judged.iter().filter(is_late).count();
    let unanswered = judged.iter().filter(is_unanswered).count();
    record(&format!(
        "judged: {} usual requests; unanswered at timeout_ms: {late}; half a second later: {unanswered}",
        judged.len()
    ));
    let is_broken = late >= MIN_LATE && unanswered * 2 > late;
    record(if is_broken { "CONFIG is broken" } else { "CONFIG holds" });
    i32::from(is_broken)
}

fn usual_request(address: SocketAddr, number: usize) -> Seen {
    let sent_at = now_ms();
    let begun = Instant::now();
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("X-Request-Id", format!("usual-{number}")),
        ("X-Request-Deadline", "5000".to_owned()),
    ];
    let outcome = http::request(
        address,
        &format!("GET /lookup/{number} HTTP/1.1"),
        &headers,
        b"",
        Duration::from_millis(5_000),
    );
    Seen {
        sent_at,
        took: begun.elapsed().as_millis() as u64,
        outcome: outcome.text(),
        is_answer: matches!(outcome, Outcome::Answer(_)),
    }
}

/// Asks for a large answer, and reads it slowly or at once, for 15 seconds at most.
fn read_export(address: SocketAddr, number: usize, is_slow: bool) {
    let begun = Instant::now();
    let ended = (|| -> std::io::Result<usize> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        let request = format!(
            "GET /export/{number} HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: export-{number}\r\n\
             X-Request-Deadline: 15000\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        let mut bytes = 0;
        while begun.elapsed() < Duration::from_secs(15) {
            let read = http::read_some(&mut stream, if is_slow { READ_BYTES } else { 65_536 })?;
            if read == 0 {
                break;
            }
            bytes += read;
            if is_slow {
                sleep_ms(READ_PAUSE_MS);
            }
        }
        Ok(bytes)
    })();
    let ended = match ended {
        Ok(bytes) => format!("{bytes} bytes read"),
        Err(error) => format!("ended: {}", error.kind()),
    };
    record(&format!(
        "export {number}: {ended} in {} ms",
        begun.elapsed().as_millis()
    ));
}
