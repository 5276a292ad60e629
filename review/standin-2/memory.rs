//! A burst of uploads fills the memory that an entry keeps for calls. The entry has to end a connection
//! then, and from that moment on it answers nobody.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Machine, Place, is_ready, plain_config, start};
use crate::http::Channel;
use crate::record::Record;
use crate::service::{Run, Server, Work};
use crate::store::Store;

/// The callers of a usual time, and those of a burst of 2.4 times as many.
const USUAL_CALLERS: u64 = 15;
const BURST_CALLERS: u64 = 36;

/// The time for which callers send, and the burst within it.
const TEST_TIME: Duration = Duration::from_secs(20);
const BURST_BEGIN: Duration = Duration::from_secs(5);
const BURST_TIME: Duration = Duration::from_millis(4_500);

/// The route's `timeout_ms`, and the half second after it by which each request has its final answer.
const TIMEOUT: Duration = Duration::from_millis(2_500);
const SLACK: Duration = Duration::from_millis(500);

/// What became of the requests.
#[derive(Default)]
struct Counts {
    answered: u64,
    refused: u64,
    closed: u64,
    /// Requests that had no final answer at their route's timeout, and those of them without one 0.5 s later.
    late: u64,
    unanswered: u64,
}

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let place = Place::new();
    let listener = TcpListener::bind((place.ip(1), 0))
        .unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
    let store_address = listener.local_addr().unwrap();
    let store = Store::start(listener);
    store.put(
        "keyed.op",
        "config",
        &plain_config(1, "non_idempotent", 2_500),
    );
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let work = Work {
        slots: 6,
        queue: 24,
        work: Duration::from_millis(400),
        answer_bytes: 200_000,
    };
    let _servers: Vec<_> = (0..3)
        .map(|index| {
            Server::start(
                &place.ip(10 + index),
                &format!("i-{index}"),
                "desk",
                work.clone(),
                &store,
                &record,
                &runs,
            )
        })
        .collect();
    let machine = Machine {
        node: "front-1",
        ip: place.ip(2),
        memory_mb: 260,
        app: None,
        agent_port: 7380,
    };
    let mut entry = start(&place, "entry", &machine, store_address);
    entry.wait_ready();
    thread::sleep(Duration::from_secs(2));

    let callers = if has_trouble {
        BURST_CALLERS
    } else {
        USUAL_CALLERS
    };
    record.line(&format!(
        "{USUAL_CALLERS} callers begin; from 5 to 9.5 s after this there are {callers}"
    ));
    let began = Instant::now();
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..callers)
        .map(|number| {
            let (record, counts, is_over) = (
                Arc::clone(&record),
                Arc::clone(&counts),
                Arc::clone(&is_over),
            );
            let front = entry.front;
            thread::spawn(move || {
                if number < USUAL_CALLERS {
                    return call(number, front, &record, &counts, || {
                        is_over.load(Ordering::SeqCst)
                    });
                }
                thread::sleep((began + BURST_BEGIN).saturating_duration_since(Instant::now()));
                call(number, front, &record, &counts, || {
                    began.elapsed() >= BURST_BEGIN + BURST_TIME
                });
            })
        })
        .collect();
    let until = began + TEST_TIME;
    while Instant::now() < until {
        thread::sleep(Duration::from_secs(1));
        let counts = counts.lock().unwrap();
        record.line(&format!(
            "so far: answered {}, refused {}, closed {}, without a final answer {}; ready: {}",
            counts.answered,
            counts.refused,
            counts.closed,
            counts.unanswered,
            is_ready(entry.ready)
        ));
    }
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    // Nobody sends any more. A sound entry answers a single small request.
    thread::sleep(Duration::from_secs(5));
    let last = exchange(entry.front, "last", 500);
    record.line(&format!(
        "5 s after the last caller left: one request of 500 bytes gets {last:?}, ready: {}",
        is_ready(entry.ready)
    ));
    match entry.has_ended() {
        Some(status) => record.line(&format!("the entry's process ended: {status}")),
        None => record.line("the entry's process still runs"),
    }
    let counts = counts.lock().unwrap();
    let summary = format!(
        "answered {}, refused {}, closed {}, longer than the timeout {}, of these without a final answer 0.5 s later {}",
        counts.answered, counts.refused, counts.closed, counts.late, counts.unanswered
    );
    record.line(&summary);
    println!("{summary}; afterwards {last:?}");
    counts.unanswered >= 8 && counts.unanswered * 4 > counts.late
}

/// The end of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Answered(u16),
    Closed,
    /// No final answer half a second after the route's timeout.
    Unanswered,
}

/// Sends one request on a channel of its own.
fn exchange(front: SocketAddr, id: &str, length: usize) -> End {
    let Ok(stream) = TcpStream::connect(front) else {
        return End::Closed;
    };
    send(&mut Channel::new(stream), id, length, Instant::now()).0
}

/// Sends a request and waits for its answer. Returns how it ended, and the `Retry-After` of a refusal.
fn send(channel: &mut Channel, id: &str, length: usize, sent: Instant) -> (End, f64) {
    let until = sent + TIMEOUT + SLACK;
    let _ = channel.stream.set_write_timeout(Some(TIMEOUT + SLACK));
    let head = format!(
        "POST /book/photo HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Request-Deadline: 5000\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut request = head.into_bytes();
    request.resize(request.len() + length, b'p');
    let is_sent = channel.write(&request).is_ok();
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    let _ = channel.stream.set_read_timeout(Some(left));
    let outcome = channel.read_head();
    let is_late = Instant::now() + Duration::from_millis(20) >= until;
    match outcome {
        Ok(Some(head)) => {
            let delay = head
                .get("retry-after")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0.5);
            match channel.read_body(&head) {
                Ok(_) => (End::Answered(head.status()), delay),
                Err(_) => (End::Closed, delay),
            }
        }
        _ if is_late && !channel.is_closed() => (End::Unanswered, 0.0),
        _ => {
            let _ = is_sent;
            (End::Closed, 0.0)
        }
    }
}

/// Sends uploads of 2 to 4 MB one after the other, each after the answer to the last, on a kept channel.
fn call(
    number: u64,
    front: SocketAddr,
    record: &Record,
    counts: &Mutex<Counts>,
    is_over: impl Fn() -> bool,
) {
    let mut channel: Option<Channel> = None;
    let mut random = number * 7_919 + 17;
    let mut count = 0_u64;
    while !is_over() {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let length = (2_000_000 + (random >> 33) % 2_000_000) as usize;
        count += 1;
        let id = format!("c{number:02}x{count:05}");
        let mut open = match channel.take() {
            Some(kept) => kept,
            None => match TcpStream::connect(front) {
                Ok(stream) => Channel::new(stream),
                Err(_) => {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                }
            },
        };
        record.line(&format!("caller {number}: {id} sent, {length} bytes"));
        let sent = Instant::now();
        let (end, delay) = send(&mut open, &id, length, sent);
        record.line(&format!(
            "caller {number}: {id} {end:?} after {} ms",
            sent.elapsed().as_millis()
        ));
        let mut counts = counts.lock().unwrap();
        counts.late += u64::from(sent.elapsed() > TIMEOUT);
        match end {
            End::Answered(200) => {
                counts.answered += 1;
                channel = Some(open);
            }
            End::Answered(_) => counts.refused += 1,
            End::Closed => counts.closed += 1,
            End::Unanswered => counts.unanswered += 1,
        }
        drop(counts);
        if end != End::Answered(200) {
            thread::sleep(Duration::from_secs_f64(delay.clamp(0.1, 3.0)));
        }
    }
}
