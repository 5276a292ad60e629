//! A stand-in of the platform's store in the form of a log, as the protocol page describes it.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::util::{cannot_run, sleep_ms};

type Topics = HashMap<(String, u32), Vec<Vec<u8>>>;

#[derive(Default)]
struct State {
    topics: Mutex<Topics>,
    changed: Condvar,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Store {
    pub fn start() -> Self {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State::default());
        let serving = Arc::clone(&state);
        http::serve(listener, move |request, stream, _| {
            answer(&serving, request, stream)
        });
        Self { address, state }
    }

    /// Writes the newest value of a key, as the operator or an engine does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.append(topic, 0, vec![record]);
    }

    fn append(&self, topic: &str, part: u32, records: Vec<Vec<u8>>) {
        let mut topics = self.state.topics.lock().unwrap();
        topics
            .entry((topic.to_owned(), part))
            .or_default()
            .extend(records);
        self.state.changed.notify_all();
    }
}

fn answer(state: &State, request: &Message, stream: &mut TcpStream) -> io::Result<bool> {
    sleep_ms(4);
    let topic = request.query("topic").unwrap_or_default();
    let part: u32 = request
        .query("part")
        .and_then(|part| part.parse().ok())
        .unwrap_or(0);
    match request.path() {
        "/api/log-newest" => newest(state, request, &topic, stream)?,
        "/api/log-read" => read(state, request, &topic, part, stream)?,
        "/api/log-append" => append(state, request, &topic, part, stream)?,
        _ => http::write_message(stream, "HTTP/1.1 404 Not Found", &[], b"")?,
    }
    Ok(true)
}

fn json(stream: &mut TcpStream, body: &str) -> io::Result<()> {
    let headers = [("Content-Type", "application/json".to_owned())];
    http::write_message(stream, "HTTP/1.1 200 OK", &headers, body.as_bytes())
}

fn newest(state: &State, request: &Message, topic: &str, stream: &mut TcpStream) -> io::Result<()> {
    let after = request.query("after");
    let (mut items, end) = {
        let topics = state.topics.lock().unwrap();
        let records = topics.get(&(topic.to_owned(), 0));
        let mut newest: HashMap<String, (usize, Vec<u8>)> = HashMap::new();
        for (offset, record) in records.into_iter().flatten().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
            newest.insert(key, (offset, record[1 + length..].to_vec()));
        }
        let items: Vec<_> = newest.into_iter().collect();
        (items, records.map_or(0, Vec::len))
    };
    items.retain(|(key, (_, value))| {
        !value.is_empty() && after.as_ref().is_none_or(|after| key > after)
    });
    items.sort();
    let has_more = items.len() > 500;
    items.truncate(500);
    let items: Vec<String> = items
        .iter()
        .map(|(key, (offset, value))| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            )
        })
        .collect();
    json(
        stream,
        &format!(
            "{{\"items\":[{}],\"has_more\":{has_more},\"end\":{end}}}",
            items.join(",")
        ),
    )
}

fn read(
    state: &State,
    request: &Message,
    topic: &str,
    part: u32,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let number = |name| {
        request
            .query(name)
            .and_then(|value| value.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let from = number("from") as usize;
    let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
    let key = (topic.to_owned(), part);
    let mut topics = state.topics.lock().unwrap();
    while topics.get(&key).map_or(0, Vec::len) <= from && Instant::now() < until {
        let left = until.saturating_duration_since(Instant::now());
        topics = state.changed.wait_timeout(topics, left).unwrap().0;
    }
    let records: &[Vec<u8>] = topics.get(&key).map_or(&[], |records| records);
    let mut body = (records.len() as u64).to_be_bytes().to_vec();
    body.extend(0_u64.to_be_bytes());
    for record in records.iter().skip(from) {
        body.extend((record.len() as u32).to_be_bytes());
        body.extend(record);
    }
    drop(topics);
    http::write_message(stream, "HTTP/1.1 200 OK", &[], &body)
}

fn append(
    state: &State,
    request: &Message,
    topic: &str,
    part: u32,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut records = Vec::new();
    let mut rest = &request.body[..];
    while rest.len() >= 4 {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        records.push(rest[4..4 + length].to_vec());
        rest = &rest[4 + length..];
    }
    let (offset, end) = {
        let mut topics = state.topics.lock().unwrap();
        let partition = topics.entry((topic.to_owned(), part)).or_default();
        let offset = partition.len();
        partition.extend(records);
        state.changed.notify_all();
        (offset, partition.len())
    };
    json(stream, &format!("{{\"offset\":{offset},\"end\":{end}}}"))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let block = [
            chunk[0],
            chunk.get(1).copied().unwrap_or(0),
            chunk.get(2).copied().unwrap_or(0),
        ];
        let bits = u32::from(block[0]) << 16 | u32::from(block[1]) << 8 | u32::from(block[2]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
