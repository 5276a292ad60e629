//! A stand-in of the platform's store: a log with keyed topics. It answers after 4 ms.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Channel, Head};

#[derive(Default)]
pub struct Store {
    parts: Mutex<HashMap<(String, u32), Vec<Vec<u8>>>>,
    appended: Condvar,
    /// The number of reads of the list of servers that were answered.
    pub registry_reads: AtomicU64,
}

pub fn keyed(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    record
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        store
    }

    /// Appends a record and returns its offset.
    pub fn append(&self, topic: &str, part: u32, record: Vec<u8>) -> u64 {
        let mut parts = self.parts.lock().unwrap();
        let records = parts.entry((topic.to_owned(), part)).or_default();
        records.push(record);
        let offset = records.len() as u64 - 1;
        self.appended.notify_all();
        offset
    }

    /// Writes the newest record of a key; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, 0, keyed(key, value.as_bytes()));
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(Some(head)) = channel.read_head() {
            let Ok(body) = channel.read_body(&head) else {
                return;
            };
            thread::sleep(Duration::from_millis(4));
            let (status, kind, answer) = self.reply(&head, &body);
            if channel
                .answer(status, &[("Content-Type", kind)], &answer)
                .is_err()
            {
                return;
            }
        }
    }

    fn reply(&self, head: &Head, body: &[u8]) -> (&'static str, &'static str, Vec<u8>) {
        let json = "application/json";
        let topic = head.query("topic").unwrap_or("").to_owned();
        let part: u32 = head
            .query("part")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let path = head.target().split('?').next().unwrap_or("");
        match path {
            "/api/log-append" => {
                if topic == "keyed.op" || topic == "keyed.servers" {
                    return ("403 Forbidden", json, b"{}".to_vec());
                }
                let mut rest = body;
                let mut first = None;
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let offset = self.append(&topic, part, rest[4..4 + length].to_vec());
                    first.get_or_insert(offset);
                    rest = &rest[4 + length..];
                }
                let end = self.end(&topic, part);
                let offset = first.unwrap_or(end);
                (
                    "200 OK",
                    json,
                    format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes(),
                )
            }
            "/api/log-read" => {
                let from: usize = head
                    .query("from")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let wait = head
                    .query("wait_ms")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut parts = self.parts.lock().unwrap();
                loop {
                    let count = parts.get(&(topic.clone(), part)).map_or(0, Vec::len);
                    let left = until.saturating_duration_since(Instant::now());
                    if count > from || left.is_zero() {
                        break;
                    }
                    parts = self.appended.wait_timeout(parts, left).unwrap().0;
                }
                let records = parts
                    .get(&(topic.clone(), part))
                    .cloned()
                    .unwrap_or_default();
                drop(parts);
                let mut answer = (records.len() as u64).to_be_bytes().to_vec();
                answer.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    answer.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    answer.extend_from_slice(record);
                }
                if topic == "keyed.servers" {
                    self.registry_reads.fetch_add(1, Ordering::SeqCst);
                }
                ("200 OK", "application/octet-stream", answer)
            }
            "/api/log-newest" => {
                let parts = self.parts.lock().unwrap();
                let records = parts
                    .get(&(topic.clone(), part))
                    .cloned()
                    .unwrap_or_default();
                drop(parts);
                let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let length = usize::from(record[0]);
                    let key = String::from_utf8_lossy(&record[1..1 + length]).into_owned();
                    newest.insert(key, (offset, record[1 + length..].to_vec()));
                }
                newest.retain(|_, (_, value)| !value.is_empty());
                let after = head.query("after").unwrap_or("");
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(key, _)| key.as_str() > after)
                    .map(|(key, (offset, value))| {
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        )
                    })
                    .collect();
                if topic == "keyed.servers" {
                    self.registry_reads.fetch_add(1, Ordering::SeqCst);
                }
                let body = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"end\":{}}}",
                    items.join(","),
                    records.len()
                );
                ("200 OK", json, body.into_bytes())
            }
            _ => ("404 Not Found", json, b"{}".to_vec()),
        }
    }

    fn end(&self, topic: &str, part: u32) -> u64 {
        let parts = self.parts.lock().unwrap();
        parts
            .get(&(topic.to_owned(), part))
            .map_or(0, |records| records.len() as u64)
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = group
            .iter()
            .fold(0_u32, |sum, byte| (sum << 8) | u32::from(*byte))
            << (8 * (3 - group.len()));
        for index in 0..4 {
            if index <= group.len() {
                text.push(char::from(
                    LETTERS[(value >> (18 - 6 * index)) as usize & 63],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Writes the heartbeats of a server while `is_listed` holds.
pub struct Registration {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub born: u64,
    pub models: Option<String>,
}

impl Registration {
    pub fn announce(&self, store: &Store, state: &str, seq: u64) {
        let models = self.models.as_ref().map_or(String::new(), |models| {
            format!(",\"stage\":\"colocated\",\"models\":{models}")
        });
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"cold_ms\":0,\"born\":{},\"seq\":{seq}{models}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        store.put("keyed.servers", &self.id, &value);
    }
}
