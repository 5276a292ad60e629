//! An order without an answer is carried out late, after its engine has started again under its id.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::engine::{Engine, EngineRule, Versions};
use crate::http;
use crate::store::Store;
use crate::util::{await_ready, free_port, now_ms, record, sleep_ms, trouble, Program, Settings, TempDir};

/// The engines with their services, addresses and agents. Each service has a route and one engine; the
/// crash of one engine in four is what the site's days have.
const ENGINES: [(&str, &str, &str, &str); 4] = [
    ("i-1", "llm-1", "127.0.0.11", "side-1"),
    ("i-2", "llm-2", "127.0.0.12", "side-2"),
    ("i-3", "llm-3", "127.0.0.13", "side-3"),
    ("i-4", "llm-4", "127.0.0.14", "side-4"),
];

/// The adapters that callers ask for all the time, and the one that they ask for once.
const USUAL: [&str; 6] = ["a1", "a2", "a3", "a4", "a5", "a6"];
const RARE: &str = "a7";

/// The times, from the beginning of the requests: when nobody asks for the last usual adapter, when the
/// rare one is asked for, when the engine crashes, and when the requests end.
const CALM_MS: std::ops::Range<u64> = 7_000..10_000;
const RARE_MS: u64 = 8_500;
const CRASH_MS: u64 = 11_000;
const END_MS: u64 = 25_000;

/// For how long the engine is down, and how late the order is carried out.
const DOWN_MS: u64 = 1_000;
const LATE_MS: u64 = 9_000;

pub fn run() -> i32 {
    let has_trouble = trouble();
    let dir = TempDir::new();
    let store = Store::start();
    store.put("keyed.op", "config", &config());
    let versions = Versions::default();
    let front_ip = "127.0.0.2";
    let mut ips = vec![front_ip];
    ips.extend(ENGINES.iter().map(|(_, _, ip, _)| *ip));
    let (front, ready, internal) = (free_port(&ips), free_port(&ips), free_port(&ips));
    let settings = |node: &str, class: &str, ip: &str, app: Option<SocketAddr>| {
        let listen = match app {
            None => format!("front = \"{ip}:{front}\"\nready = \"{ip}:{ready}\""),
            Some(_) => String::new(),
        };
        let zones = "z1 = \"r1\"";
        let (store, memory_mb) = (store.address, 260);
        let internal_ports = (internal, internal);
        Settings { node, class, ip, zone: "z1", zones, internal_ports, listen, app, memory_mb, store }.text()
    };
    let mut programs = Vec::new();
    let mut engines = Vec::new();
    for (id, service, ip, node) in ENGINES {
        let rule = EngineRule {
            id,
            ip,
            service,
            zone: "z1",
            models: &[("m0", 34_000)],
            mb: 35_000,
            slots: 96,
            adapter_slots: USUAL.len(),
            events: 10,
            event_ms: 50,
        };
        let engine = Engine::start(&store, rule, &versions, "m0");
        let text = settings(node, "side", ip, Some(engine.address));
        programs.push(Program::start(&dir, "agent", node, &text));
        engines.push(engine);
    }
    let engine = engines[0].clone();
    let text = settings("front-1", "front", front_ip, None);
    programs.push(Program::start(&dir, "entry", "front-1", &text));
    let address: SocketAddr = format!("{front_ip}:{front}").parse().unwrap();
    await_ready(format!("{front_ip}:{ready}").parse().unwrap());
    sleep_ms(2_000);

    if has_trouble {
        engine.set_late_order(Some((RARE, LATE_MS)));
    }
    let began = now_ms();
    let elapsed = move || now_ms() - began;
    let seen: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut requesters = Vec::new();
    for adapter in USUAL {
        let seen = Arc::clone(&seen);
        requesters.push(std::thread::spawn(move || {
            for number in 0.. {
                if elapsed() >= END_MS {
                    return;
                }
                let is_calm = adapter == USUAL[USUAL.len() - 1] && CALM_MS.contains(&elapsed());
                if !is_calm {
                    send(&seen, address, 1, &format!("{adapter}-{number}"), adapter);
                }
                sleep_ms(50);
            }
        }));
    }
    for service in 2..=ENGINES.len() {
        let seen = Arc::clone(&seen);
        requesters.push(std::thread::spawn(move || {
            for number in 0.. {
                if elapsed() >= END_MS {
                    return;
                }
                send(&seen, address, service, &format!("other-{service}-{number}"), "a1");
                sleep_ms(500);
            }
        }));
    }
    while elapsed() < RARE_MS {
        sleep_ms(5);
    }
    send(&seen, address, 1, &format!("{RARE}-0"), RARE);
    while elapsed() < CRASH_MS {
        sleep_ms(5);
    }
    if has_trouble {
        engine.crash(DOWN_MS);
    }
    requesters.into_iter().for_each(|one| {
        let _ = one.join();
    });
    programs.iter_mut().for_each(Program::kill);
    for engine in &engines {
        for run in engine.begun() {
            let (id, at) = (engine.rule.id, run.begun_at);
            record(&format!("{id} ran {} for {} at {at} ms", run.request, run.adapter));
        }
    }
    for line in seen.lock().unwrap().iter() {
        record(line);
    }
    let overloads: u64 = engines.iter().map(Engine::overloads).sum();
    record(&format!("orders to load more than the engine holds: {overloads}"));
    record(if overloads > 0 { "LIMIT is broken" } else { "LIMIT holds" });
    i32::from(overloads > 0)
}

fn config() -> String {
    let routes = ENGINES.iter().enumerate().map(|(number, (_, service, ..))| {
        format!(
            "{{\"name\":\"r-{number}\",\"host\":\"ficu95.example\",\"path_prefix\":\"/label-{}/\",\
             \"kind\":\"stream\",\"timeout_ms\":5000,\"target_latency_ms\":1000,\"priority\":2,\
             \"service\":\"{service}\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\
             \"gap_aim_ms\":400}}",
            number + 1
        )
    });
    let services = ENGINES.iter().map(|(_, service, ..)| {
        format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_conns\":480,\"engine\":{{\
             \"slots\":96,\"kv_capacity_tokens\":100000,\"mb\":35000,\"adapter_slots\":{},\"models\":[{{\
             \"name\":\"m0\",\"mb\":34000,\"load_s\":2.0,\"adapters\":3000,\"adapter_mb\":10}}]}}}}",
            USUAL.len()
        )
    });
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}}}",
        routes.collect::<Vec<_>>().join(","),
        services.collect::<Vec<_>>().join(",")
    )
}

fn send(seen: &Mutex<Vec<String>>, address: SocketAddr, service: usize, id: &str, adapter: &str) {
    let sent_at = now_ms();
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Request-Deadline", "5000".to_owned()),
        ("X-Model", format!("m0/{adapter}")),
        ("X-Token-Count", "100,20".to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:60,{:x}:40", sent_at + 1)),
    ];
    let outcome = http::request(
        address,
        &format!("POST /label-{service}/2f HTTP/1.1"),
        &headers,
        b"prompt",
        Duration::from_millis(5_500),
    );
    seen.lock().unwrap().push(format!(
        "{id} sent at {sent_at} ms: {} after {} ms",
        outcome.text(),
        now_ms() - sent_at
    ));
}
