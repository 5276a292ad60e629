//! Messages between entries and agents with changed bytes: one that can't be used costs itself and its
//! connection, never the process or the messages of others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use amaranth_dispatch::call::CallId;
use amaranth_dispatch::call_limiter::CallRate;
use amaranth_dispatch::engine_speed::EngineSpeed;
use amaranth_dispatch::engine_view::{AdapterUsage, LoadRequest, UsageReport};
use amaranth_dispatch::findings_hub::{FindingsCursor, HubFindings};
use amaranth_dispatch::pause_forecast::StreamLoad;
use amaranth_dispatch::prefill_turns::TurnRequest;
use amaranth_dispatch::quota_grantor::ShardAsk;
use amaranth_dispatch::quota_shards::ShardLimit;
use amaranth_dispatch::stream_origins::{StreamKey, StreamOrigin};
use amaranth_relay::agent::{self, AgentCore};
use amaranth_relay::agent_link::AgentLinks;
use amaranth_relay::store_reader::{ReaderOptions, StoreReader};
use amaranth_wire::engine_agent::TableCursors;
use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time for which an exchange may wait for news.
const WAIT: Duration = Duration::from_millis(20);

/// Time within which the answer to a changed message is awaited; most are never answered.
const ANSWER_TIME: Duration = Duration::from_millis(60);

/// Number of seeds. Each changes one message of each kind in each direction.
const SEEDS: u64 = 500;

/// Number of panics in this project's own code. The library of the calls ends a connection by a panic in
/// the task of that connection if a deadline is out of its range.
static PANICS: AtomicUsize = AtomicUsize::new(0);

/// The file of the generated client, which panics if an answer is to another kind of call.
const GENERATED_FILE: &str = "engine_agent.rs";

/// The direction in which messages are changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Changed {
    Questions,
    Answers,
}

/// Starts a proxy of an agent that changes bytes of the messages in one direction.
async fn bind_proxy(agent: SocketAddr, changed: Changed, seed: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move {
        while let Ok((entry, _)) = listener.accept().await {
            let Ok(agent) = TcpStream::connect(agent).await else {
                return;
            };
            let (entry_reader, entry_writer) = entry.into_split();
            let (agent_reader, agent_writer) = agent.into_split();
            let questions = (changed == Changed::Questions).then(|| StdRng::seed_from_u64(seed));
            let answers = (changed == Changed::Answers).then(|| StdRng::seed_from_u64(seed));
            tokio::spawn(forward(entry_reader, agent_writer, questions));
            tokio::spawn(forward(agent_reader, entry_writer, answers));
        }
    });
    address
}

/// Forwards frames, and changes one to three bytes of each if there is a source of random numbers.
async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut random: Option<StdRng>,
) {
    while let Ok(length) = reader.read_u32().await {
        let mut frame = vec![0; length as usize];
        if reader.read_exact(&mut frame).await.is_err() {
            return;
        }
        if let Some(random) = &mut random {
            change(&mut frame, random);
        }
        let sent = writer.write_u32(frame.len() as u32).await;
        if sent.is_err() || writer.write_all(&frame).await.is_err() {
            return;
        }
    }
}

fn change(frame: &mut Vec<u8>, random: &mut impl Rng) {
    for _ in 0..random.random_range(1..4) {
        if frame.is_empty() {
            return;
        }
        let place = random.random_range(0..frame.len());
        match random.random_range(0..4) {
            0 => frame[place] = random.random(),
            1 => frame[place] = 0xff,
            2 => frame.truncate(place),
            // A run of ones is a large integer, a number that is none, or a long length.
            _ => frame[place..]
                .iter_mut()
                .take(8)
                .for_each(|byte| *byte = 0xff),
        }
    }
}

fn usage() -> UsageReport {
    UsageReport {
        entry: "entry".to_owned(),
        endpoint: "e".parse().expect("the name is valid"),
        started_ms: Some(1_700_000_000_000),
        adapters: vec![AdapterUsage {
            model: "m".parse().expect("the name is valid"),
            name: "a1".parse().expect("the name is valid"),
            calls: 2,
        }],
        calls: 3,
        speed: Some(EngineSpeed {
            prefill_us: 50_000,
            event_us: 10_000,
            fixed_us: 5_000,
            window_tokens: 2_048,
            event_batch: 8,
            weights: [1, 2, 3, 4],
        }),
        streams: StreamLoad {
            streams: 2,
            tightest_ms: 400,
        },
        sent_tokens: 1_000,
    }
}

fn shard_ask() -> ShardAsk {
    ShardAsk {
        team: "red".parse().expect("the name is valid"),
        shard: 0,
        version: 1,
        limit: ShardLimit {
            shards: 2,
            rate: 10.0,
            capacity: 20.0,
            debt: 5.0,
            start_debt: 1.0,
        },
        needs: vec![1, 1],
        use_per_s: 5,
        assigned_for: Duration::from_secs(10),
        returned: Vec::new(),
    }
}

/// Sends one message of each kind.
async fn send_all(links: &AgentLinks, agent: SocketAddr) {
    let endpoint = || "e".parse().expect("the name is valid");
    let _ = timeout(ANSWER_TIME, links.exchange(agent, usage(), 0, WAIT)).await;
    let load = LoadRequest {
        endpoint: endpoint(),
        model: "m".parse().expect("the name is valid"),
        adapter: Some("a1".parse().expect("the name is valid")),
        version: Some(3),
        adapter_slots: 2,
        fits_memory: true,
        max_wait: WAIT,
    };
    let _ = timeout(ANSWER_TIME, links.prepare(agent, usage(), load)).await;
    let rate = CallRate::per_second(2.0).expect("the rate is valid");
    let _ = timeout(ANSWER_TIME, links.permit(agent, endpoint(), rate)).await;
    let cursors = TableCursors::default();
    let _ = timeout(ANSWER_TIME, links.read_shared_tables(agent, cursors, WAIT)).await;
    let stream = StreamKey::from(&CallId::new("c1"));
    let origin = StreamOrigin {
        stream,
        software: "v1".parse().expect("any text is a version"),
        send: 0,
    };
    let _ = timeout(ANSWER_TIME, links.record_origins(agent, vec![origin])).await;
    let _ = timeout(ANSWER_TIME, links.find_origin(agent, stream)).await;
    let findings = HubFindings {
        entry: "entry".to_owned(),
        encoded: Bytes::from_static(b"{\"as_of\":5,\"crashes\":[],\"survivals\":[]}"),
    };
    let cursor = FindingsCursor::default();
    let exchange = links.exchange_findings(agent, Some(findings), cursor, WAIT);
    let _ = timeout(ANSWER_TIME, exchange).await;
    let _ = timeout(ANSWER_TIME, links.lease_quota(agent, vec![shard_ask()])).await;
    let turn = TurnRequest {
        endpoint: endpoint(),
        tokens: 1_000,
        pause_objective: Duration::from_millis(400),
        priority: 1,
        max_wait: WAIT,
    };
    if let Ok(Ok(grant)) = timeout(ANSWER_TIME, links.take_turn(agent, turn)).await {
        let _ = timeout(ANSWER_TIME, links.end_turn(agent, grant.turn)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changed_messages_leave_agents_and_entries_in_service() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        let file = info.location().map_or("", |location| location.file());
        if file.contains("amaranth") && !file.ends_with(GENERATED_FILE) {
            PANICS.fetch_add(1, Ordering::Relaxed);
            report(info);
        }
    }));
    let reader = StoreReader::new(ReaderOptions {
        incarnation: 1,
        config_bound: Duration::from_secs(2),
        drain_bound: Duration::from_secs(2),
    });
    let address = "127.0.0.1:0".parse().expect("the address is valid");
    let agent = agent::bind(Arc::new(AgentCore::default()), Arc::new(reader), address)
        .await
        .expect("a port is free");
    let kept = AgentLinks::default();
    let view = kept.exchange(agent.address(), usage(), 0, WAIT).await;
    assert!(view.is_ok(), "{view:?}");
    for changed in [Changed::Questions, Changed::Answers] {
        let mut senders = Vec::new();
        for seed in 0..SEEDS {
            let proxy = bind_proxy(agent.address(), changed, seed).await;
            senders.push(tokio::spawn(async move {
                send_all(&AgentLinks::default(), proxy).await;
            }));
        }
        for sender in senders {
            assert!(
                sender.await.is_ok(),
                "{changed:?}: an entry's task panicked"
            );
        }
        assert_eq!(PANICS.load(Ordering::Relaxed), 0, "{changed:?}");
    }
    let view = kept.exchange(agent.address(), usage(), 0, WAIT).await;
    assert!(view.is_ok(), "{view:?}");
}
