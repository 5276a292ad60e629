//! A stand-in of a server of a plain service.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Channel;
use crate::record::Record;
use crate::store::{Registration, Store};

/// How a server works.
#[derive(Clone)]
pub struct Work {
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    pub answer_bytes: usize,
}

/// What a server did with a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub arrived_ms: u64,
    pub begun_ms: Option<u64>,
    pub answered_ms: Option<u64>,
    pub body_bytes: usize,
}

pub struct Server {
    pub registration: Registration,
    work: Work,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    busy: Mutex<(usize, usize)>,
    is_listed: AtomicBool,
    is_down: Arc<AtomicBool>,
    seq: AtomicU64,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl Server {
    /// Starts a server at a free port of `ip` and announces it every 1.2 s.
    pub fn start(
        ip: &str,
        id: &str,
        service: &str,
        work: Work,
        store: &Arc<Store>,
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0))
            .unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let address: SocketAddr = listener.local_addr().unwrap();
        let server = Arc::new(Self {
            registration: Registration {
                id: id.to_owned(),
                service: service.to_owned(),
                address,
                zone: "zone-a".to_owned(),
                slots: work.slots as u32,
                born: unix_ms(),
                models: None,
            },
            work,
            record: Arc::clone(record),
            runs: Arc::clone(runs),
            busy: Mutex::new((0, 0)),
            is_listed: AtomicBool::new(true),
            is_down: Arc::new(AtomicBool::new(false)),
            seq: AtomicU64::new(0),
        });
        let (accepting, down) = (Arc::clone(&server), Arc::clone(&server.is_down));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if down.load(Ordering::SeqCst) {
                    return;
                }
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.serve(Channel::new(stream)));
            }
        });
        let (beating, store) = (Arc::clone(&server), Arc::clone(store));
        thread::spawn(move || {
            while beating.is_listed.load(Ordering::SeqCst) {
                let seq = beating.seq.fetch_add(1, Ordering::SeqCst) + 1;
                beating.registration.announce(&store, "ready", seq);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        server
    }

    /// Takes the server's entry out of the store, without a notice before.
    pub fn remove_entry(&self, store: &Store) {
        self.is_listed.store(false, Ordering::SeqCst);
        store.put("keyed.servers", &self.registration.id, "");
        self.record
            .line(&format!("store: entry of {} removed", self.registration.id));
    }

    /// Ends the server: its channels are closed, whatever runs.
    pub fn end(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = std::net::TcpStream::connect(self.registration.address);
        self.record
            .line(&format!("server {} ended", self.registration.id));
    }

    fn serve(&self, mut channel: Channel) {
        let id = &self.registration.id;
        while let Ok(Some(head)) = channel.read_head() {
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            let arrived_ms = self.record.now_ms();
            let Ok(body) = channel.read_body(&head) else {
                return;
            };
            let request = head.get("x-request-id").unwrap_or("").to_owned();
            if head
                .get("x-expect-instance")
                .is_some_and(|expected| expected != id)
            {
                let headers = [("X-Request-Id", request.as_str()), ("X-Instance-Id", id)];
                if channel
                    .answer("421 Misdirected Request", &headers, b"")
                    .is_err()
                {
                    return;
                }
                continue;
            }
            if !self.enter() {
                self.record
                    .line(&format!("server {id}: {request} rejected, full"));
                let headers = [
                    ("X-Request-Id", request.as_str()),
                    ("X-Not-Executed", "1"),
                    ("X-Instance-Id", id),
                ];
                if channel
                    .answer("503 Service Unavailable", &headers, b"")
                    .is_err()
                {
                    return;
                }
                continue;
            }
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run {
                    id: request.clone(),
                    server: id.clone(),
                    arrived_ms,
                    begun_ms: None,
                    answered_ms: None,
                    body_bytes: body.len(),
                });
                runs.len() - 1
            };
            let is_done = self.run(&channel, index);
            self.leave(is_done.is_some());
            if is_done != Some(true) {
                self.record.line(&format!(
                    "server {id}: {request} dropped, its channel was closed"
                ));
                return;
            }
            let signature = format!("{id}.{request}");
            let answer = vec![b'a'; self.work.answer_bytes];
            let headers = [
                ("X-Request-Id", request.as_str()),
                ("X-Response-Signature", &signature),
                ("X-Instance-Id", id),
            ];
            if channel.answer("200 OK", &headers, &answer).is_err() {
                return;
            }
            let now = self.record.now_ms();
            self.runs.lock().unwrap()[index].answered_ms = Some(now);
            self.record.line(&format!(
                "server {id}: {request} run and answered, body of {} bytes",
                body.len()
            ));
        }
    }

    /// Takes a place in the queue.
    fn enter(&self) -> bool {
        let mut busy = self.busy.lock().unwrap();
        if busy.1 >= self.work.slots + self.work.queue {
            return false;
        }
        busy.1 += 1;
        true
    }

    fn leave(&self, has_begun: bool) {
        let mut busy = self.busy.lock().unwrap();
        busy.1 -= 1;
        if has_begun {
            busy.0 -= 1;
        }
    }

    /// Waits for a slot and works. Returns whether the work came to its end, or nothing if it has not begun.
    fn run(&self, channel: &Channel, index: usize) -> Option<bool> {
        loop {
            {
                let mut busy = self.busy.lock().unwrap();
                if busy.0 < self.work.slots {
                    busy.0 += 1;
                    break;
                }
            }
            if self.is_down.load(Ordering::SeqCst) || channel.is_closed() {
                return None;
            }
            thread::sleep(Duration::from_millis(2));
        }
        let now = self.record.now_ms();
        self.runs.lock().unwrap()[index].begun_ms = Some(now);
        let until = Instant::now() + self.work.work;
        while Instant::now() < until {
            if self.is_down.load(Ordering::SeqCst) || channel.is_closed() {
                return Some(false);
            }
            thread::sleep(
                Duration::from_millis(5).min(until.saturating_duration_since(Instant::now())),
            );
        }
        Some(true)
    }
}
