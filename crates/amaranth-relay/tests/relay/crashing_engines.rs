//! Stand-ins of endpoints that end when they begin to answer a prompt with a certain part or a certain
//! request, and start again under another id.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use amaranth_core::ids::EndpointId;
use amaranth_dispatch::endpoint_table::RegistryEvent;
use amaranth_relay::entry::EntryCore;
use amaranth_relay::feed::FeedEvent;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::support::{
    LAST_CHUNK, complete_answer, event, header, read_request, record, stream_head,
};

/// The id of the part that crashes engines.
pub const CRASHING_PART: &str = "bad";

/// The body of the request that crashes endpoints.
pub const CRASHING_BODY: &str = "boom";

/// Time for which a crashed engine is down.
const RESTART_TIME: Duration = Duration::from_millis(150);

/// What the engines saw.
#[derive(Debug, Default)]
struct EngineRecords {
    crashes: Vec<Instant>,
    crashing_arrivals: Vec<Instant>,
}

/// Several endpoints that serve streams and plain calls, and crash on one part of prompts and on one
/// body.
#[derive(Debug)]
pub struct CrashingEngines {
    records: Arc<Mutex<EngineRecords>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for CrashingEngines {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl CrashingEngines {
    /// Starts engines on loopback and announces each of their incarnations to the entries.
    pub fn spawn(count: usize, entries: &[Arc<EntryCore>]) -> Self {
        let records = Arc::new(Mutex::new(EngineRecords::default()));
        let tasks = (0..count)
            .map(|index| tokio::spawn(run_engine(index, entries.to_vec(), Arc::clone(&records))))
            .collect();
        Self { records, tasks }
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> usize {
        self.lock().crashes.len()
    }

    /// Returns the number of crashing calls that reached an engine later than `after` after the crash
    /// of this number, counted from 1.
    pub fn late_arrivals(&self, crash: usize, after: Duration) -> usize {
        let records = self.lock();
        let Some(crashed_at) = records.crashes.get(crash - 1) else {
            return 0;
        };
        let arrivals = records.crashing_arrivals.iter();
        arrivals.filter(|at| **at > *crashed_at + after).count()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, EngineRecords> {
        self.records.lock().expect("no task panicked")
    }
}

async fn run_engine(
    index: usize,
    entries: Vec<Arc<EntryCore>>,
    records: Arc<Mutex<EngineRecords>>,
) {
    let mut previous: Option<EndpointId> = None;
    for boot in 0.. {
        let listener = TcpListener::bind(("127.0.0.1", 0))
            .await
            .expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let mut endpoint = record(index, address, "");
        endpoint.id = format!("e{index}-{boot}")
            .parse()
            .expect("the name is valid");
        let id = endpoint.id.clone();
        for entry in &entries {
            let removed = previous.iter().cloned().map(RegistryEvent::Removed);
            let announced = RegistryEvent::Announced(Box::new(endpoint.clone()));
            let events = removed.chain([announced]).collect();
            entry.apply_registry(FeedEvent::Changes(events));
        }
        serve_until_crash(listener, &records).await;
        records
            .lock()
            .expect("no task panicked")
            .crashes
            .push(Instant::now());
        previous = Some(id);
        sleep(RESTART_TIME).await;
    }
}

/// Serves connections until a call has the crashing part, and then closes all connections.
async fn serve_until_crash(listener: TcpListener, records: &Arc<Mutex<EngineRecords>>) {
    let crash = Arc::new(Notify::new());
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                let (records, crash) = (Arc::clone(records), Arc::clone(&crash));
                connections.spawn(async move { serve_connection(stream, &records, &crash).await });
            }
            () = crash.notified() => {
                connections.shutdown().await;
                return;
            }
        }
    }
}

async fn serve_connection(mut stream: TcpStream, records: &Mutex<EngineRecords>, crash: &Notify) {
    while let Some(request) = read_request(&mut stream).await {
        let call = header(&request, "call").unwrap_or_default();
        let parts = header(&request, "parts").unwrap_or_default();
        let is_crashing =
            parts.split(',').any(|part| part == CRASHING_PART) || request.ends_with(CRASHING_BODY);
        let is_stream = header(&request, "wants").is_some();
        let head = stream_head(&call);
        let last = header(&request, "after-event").map_or(0, |last| {
            last.parse::<u64>().expect("the header is a number")
        });
        if is_crashing {
            let mut records = records.lock().expect("no task panicked");
            records.crashing_arrivals.push(Instant::now());
        }
        let pieces = match (is_stream, is_crashing) {
            (true, true) => vec![head],
            (true, false) => vec![head + &event(last + 1), event(last + 2) + LAST_CHUNK],
            (false, true) => vec![String::new()],
            (false, false) => vec![complete_answer("200 OK", &call, "done")],
        };
        for piece in pieces {
            if stream.write_all(piece.as_bytes()).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
        if is_crashing {
            crash.notify_one();
        }
    }
}
