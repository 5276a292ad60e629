//! One of two servers leaves as servers without a notice do: its entry is removed, and it serves for
//! `drain_ms` and a little longer. The entry goes on sending requests to it for more than `drain_ms`.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Machine, Place, plain_config, start};
use crate::http::Channel;
use crate::record::Record;
use crate::service::{Run, Server, Work};
use crate::store::Store;

/// The time for which the entry has run before the first server leaves: its housekeeping and its reads of the
/// list drift against each other.
const UPTIME: Duration = Duration::from_secs(66);
const ROUNDS: u64 = 6;
const CALLERS: u64 = 8;
const DRAIN_MS: u64 = 2_500;

/// How much longer a server serves that has left.
const LONGER_MS: u64 = 120;

/// A server that left, and when the store acknowledged the removal of its entry.
struct Leaving {
    server: String,
    removed_ms: u64,
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
        work: Duration::from_millis(60),
        answer_bytes: 800,
    };
    let begin = |number: u64| {
        Server::start(
            &place.ip(10 + number as u8),
            &format!("i-{number}"),
            "desk",
            work.clone(),
            &store,
            &record,
            &runs,
        )
    };
    let mut servers = vec![begin(0), begin(1)];
    let machine = Machine {
        node: "front-1",
        ip: place.ip(2),
        memory_mb: 260,
        app: None,
        agent_port: 7380,
    };
    let entry = start(&place, "entry", &machine, store_address);
    entry.wait_ready();
    thread::sleep(Duration::from_secs(2));

    let is_over = Arc::new(AtomicBool::new(false));
    let failed: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered = Arc::new(AtomicU64::new(0));
    let threads: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (record, failed, is_over) = (
                Arc::clone(&record),
                Arc::clone(&failed),
                Arc::clone(&is_over),
            );
            let (answered, front) = (Arc::clone(&answered), entry.front);
            thread::spawn(move || call(number, front, &record, &failed, &answered, &is_over))
        })
        .collect();
    thread::sleep(UPTIME);

    let mut leaving: Vec<Leaving> = Vec::new();
    for round in 0..ROUNDS {
        if has_trouble {
            // The entry has just read its list of servers, so that it learns of the removal with its next read.
            let seen = store.registry_reads.load(Ordering::SeqCst);
            let until = Instant::now() + Duration::from_secs(4);
            while store.registry_reads.load(Ordering::SeqCst) == seen && Instant::now() < until {
                thread::sleep(Duration::from_millis(2));
            }
            thread::sleep(Duration::from_millis(10));
            let server = servers.remove(0);
            server.remove_entry(&store);
            leaving.push(Leaving {
                server: server.registration.id.clone(),
                removed_ms: record.now_ms(),
            });
            thread::sleep(Duration::from_millis(DRAIN_MS + LONGER_MS));
            server.end();
            servers.push(begin(round + 2));
        } else {
            thread::sleep(Duration::from_millis(DRAIN_MS + LONGER_MS));
        }
        thread::sleep(Duration::from_millis(3_500));
    }
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    drop(entry);

    let runs = runs.lock().unwrap();
    let failed = failed.lock().unwrap();
    let mut late = 0;
    let mut lost = 0;
    for Leaving { server, removed_ms } in &leaving {
        for run in runs
            .iter()
            .filter(|run| run.server == *server && run.arrived_ms > removed_ms + DRAIN_MS)
        {
            late += 1;
            let has_failed = failed.contains(&run.id);
            lost += u64::from(has_failed && run.begun_ms.is_some());
            record.line(&format!(
                "late: {} reached {server} {} ms after its removal was acknowledged; begun {:?}, answered {:?}, failed for its caller: {has_failed}",
                run.id,
                run.arrived_ms - removed_ms,
                run.begun_ms,
                run.answered_ms
            ));
        }
    }
    let summary = format!(
        "answered {}, failed {}; requests that reached a server later than {DRAIN_MS} ms after its removal {late}, of these begun there and lost {lost}",
        answered.load(Ordering::SeqCst),
        failed.len()
    );
    record.line(&summary);
    println!("{summary}");
    late > 0
}

/// Sends small requests one after the other on a kept channel.
fn call(
    number: u64,
    front: SocketAddr,
    record: &Record,
    failed: &Mutex<Vec<String>>,
    answered: &AtomicU64,
    is_over: &AtomicBool,
) {
    let mut channel: Option<Channel> = None;
    let mut count = 0_u64;
    while !is_over.load(Ordering::SeqCst) {
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
        let _ = open.stream.set_read_timeout(Some(Duration::from_secs(5)));
        let body = vec![b'b'; 600];
        let head = format!(
            "POST /book/pickup HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Request-Deadline: 5000\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut request = head.into_bytes();
        request.extend_from_slice(&body);
        let is_sent = open.write(&request).is_ok();
        let head = open.read_head().ok().flatten().filter(|_| is_sent);
        let status = match head {
            Some(head) => open.read_body(&head).map_or(0, |_| head.status()),
            None => 0,
        };
        if status == 200 {
            answered.fetch_add(1, Ordering::SeqCst);
            channel = Some(open);
        } else {
            record.line(&format!("caller {number}: {id} gets {status}"));
            failed.lock().unwrap().push(id);
        }
        thread::sleep(Duration::from_millis(60));
    }
}
