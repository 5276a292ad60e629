//! The only engine with a service's second model crashes, and starts again under its id, empty.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::engine::{Engine, EngineRule, Versions};
use crate::http;
use crate::store::Store;
use crate::util::{await_ready, free_port, now_ms, record, sleep_ms, trouble, Program, Settings, TempDir};

/// The models of the service: 20,000 MB each. An engine has 35,000 MB, so it holds one.
const MODELS: &[(&str, u64)] = &[
    ("m0", 20_000),
    ("m1", 20_000),
    ("m2", 20_000),
    ("m3", 20_000),
    ("m4", 20_000),
    ("m5", 20_000),
    ("m6", 20_000),
];
const MB: u64 = 35_000;

/// The engines with their addresses, agents and models. The busy model is on two, the others on one each.
const ENGINES: [(&str, &str, &str, &str); 8] = [
    ("i-1", "127.0.0.11", "side-1", "m0"),
    ("i-2", "127.0.0.12", "side-2", "m0"),
    ("i-3", "127.0.0.13", "side-3", "m1"),
    ("i-4", "127.0.0.14", "side-4", "m2"),
    ("i-5", "127.0.0.15", "side-5", "m3"),
    ("i-6", "127.0.0.16", "side-6", "m4"),
    ("i-7", "127.0.0.17", "side-7", "m5"),
    ("i-8", "127.0.0.18", "side-8", "m6"),
];

/// The entries with their addresses and data centres, in three regions; the engines are in the first one.
const ENTRIES: [(&str, &str, &str); 5] = [
    ("front-1", "127.0.0.2", "z1"),
    ("front-2", "127.0.0.3", "z2"),
    ("front-3", "127.0.0.4", "z2"),
    ("front-4", "127.0.0.5", "z3"),
    ("front-5", "127.0.0.6", "z3"),
];

/// The crashes: two of eight engines at a time, for how long they are down, and the end of the requests.
const CRASHES: [(u64, [usize; 2]); 3] = [(12_000, [2, 3]), (18_000, [4, 5]), (24_000, [6, 7])];
const DOWN_MS: u64 = 300;
const END_MS: u64 = 32_000;

/// The time between two requests for a model at an entry in the engines' region, and at another.
const NEAR_PAUSE_MS: u64 = 250;
const FAR_PAUSE_MS: u64 = 900;

fn config() -> String {
    let models = MODELS.iter().map(|(name, mb)| {
        format!(
            "{{\"name\":\"{name}\",\"mb\":{mb},\"load_s\":2.0,\"adapters\":1000,\"adapter_mb\":10}}"
        )
    });
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-label\",\"host\":\"ficu95.example\",\
         \"path_prefix\":\"/label/\",\"kind\":\"stream\",\"timeout_ms\":5000,\"target_latency_ms\":1000,\
         \"priority\":2,\"service\":\"llm\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\
         \"gap_aim_ms\":400}}],\"services\":[{{\"name\":\"llm\",\"health_path\":\"/healthz\",\
         \"max_conns\":480,\"engine\":{{\"slots\":96,\"kv_capacity_tokens\":100000,\"mb\":{MB},\
         \"adapter_slots\":6,\"models\":[{}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}}}",
        models.collect::<Vec<_>>().join(",")
    )
}

pub fn run() -> i32 {
    let has_trouble = trouble();
    let dir = TempDir::new();
    let store = Store::start();
    store.put("keyed.op", "config", &config());
    let versions = Versions::default();
    let mut ips: Vec<&str> = ENTRIES.iter().map(|(_, ip, _)| *ip).collect();
    ips.extend(ENGINES.iter().map(|(_, ip, ..)| *ip));
    let (front, ready, internal) = (free_port(&ips), free_port(&ips), free_port(&ips));
    let settings = |node: &str, class: &str, ip: &str, zone: &str, app: Option<SocketAddr>| {
        let listen = match app {
            None => format!("front = \"{ip}:{front}\"\nready = \"{ip}:{ready}\""),
            Some(_) => String::new(),
        };
        let zones = "z1 = \"r1\"\nz2 = \"r2\"\nz3 = \"r3\"";
        let (store, memory_mb) = (store.address, 260);
        let internal_ports = (internal, internal);
        Settings { node, class, ip, zone, zones, internal_ports, listen, app, memory_mb, store }.text()
    };
    let mut programs = Vec::new();
    let mut engines = Vec::new();
    for (id, ip, node, model) in ENGINES {
        let rule = EngineRule {
            id,
            ip,
            service: "llm",
            zone: "z1",
            models: MODELS,
            mb: MB,
            slots: 96,
            adapter_slots: 6,
            events: 10,
            event_ms: 30,
        };
        let engine = Engine::start(&store, rule, &versions, model);
        let text = settings(node, "side", ip, "z1", Some(engine.address));
        programs.push(Program::start(&dir, "agent", node, &text));
        engines.push(engine);
    }
    let mut fronts = Vec::new();
    for (node, ip, zone) in ENTRIES {
        let text = settings(node, "front", ip, zone, None);
        programs.push(Program::start(&dir, "entry", node, &text));
        fronts.push(format!("{ip}:{front}").parse::<SocketAddr>().unwrap());
    }
    for (_, ip, _) in ENTRIES {
        await_ready(format!("{ip}:{ready}").parse().unwrap());
    }
    sleep_ms(2_000);

    let began = now_ms();
    let elapsed = move || now_ms() - began;
    let seen: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut requesters = Vec::new();
    for (number, address) in fronts.into_iter().enumerate() {
        let pause = if number == 0 { NEAR_PAUSE_MS } else { FAR_PAUSE_MS };
        for (place, (model, _)) in MODELS.iter().enumerate() {
            let seen = Arc::clone(&seen);
            requesters.push(std::thread::spawn(move || {
                sleep_ms(pause * place as u64 / MODELS.len() as u64 + number as u64 * 137);
                let mut sent = Vec::new();
                for request in 0.. {
                    if elapsed() >= END_MS {
                        break;
                    }
                    let seen = Arc::clone(&seen);
                    sent.push(std::thread::spawn(move || {
                        let id = format!("{model}-{}-{request}", number + 1);
                        // Most adapters are asked for seldom.
                        let adapter = (request * ENTRIES.len() + number) % 1_000 + 1;
                        send(&seen, address, &id, &format!("{model}/a{adapter}"));
                    }));
                    sleep_ms(pause);
                }
                sent.into_iter().for_each(|one| {
                    let _ = one.join();
                });
            }));
        }
    }
    for (at, crashing) in CRASHES {
        while elapsed() < at {
            sleep_ms(5);
        }
        if has_trouble {
            let crashing = crashing.map(|engine| engines[engine].clone());
            let crashes = crashing.map(|engine| std::thread::spawn(move || engine.crash(DOWN_MS)));
            crashes.into_iter().for_each(|crash| {
                let _ = crash.join();
            });
        }
    }
    requesters.into_iter().for_each(|one| {
        let _ = one.join();
    });
    programs.iter_mut().for_each(Program::kill);
    for engine in &engines {
        for run in engine.begun() {
            record(&format!("{} ran {} at {} ms", engine.rule.id, run.request, run.begun_at));
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

fn send(seen: &Mutex<Vec<String>>, address: SocketAddr, id: &str, model: &str) {
    let sent_at = now_ms();
    let headers = [
        ("Host", "ficu95.example".to_owned()),
        ("X-Request-Id", id.to_owned()),
        ("X-Request-Deadline", "5000".to_owned()),
        ("X-Model", model.to_owned()),
        ("X-Token-Count", "100,20".to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:60,{:x}:40", sent_at + 1)),
    ];
    let outcome = http::request(
        address,
        "POST /label/2f HTTP/1.1",
        &headers,
        b"prompt",
        Duration::from_millis(5_500),
    );
    let took = now_ms() - sent_at;
    let line = format!("{id} sent at {sent_at} ms: {} after {took} ms", outcome.text());
    seen.lock().unwrap().push(line);
}
