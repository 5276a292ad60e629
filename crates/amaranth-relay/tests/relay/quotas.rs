//! Quotas of teams over several entries and agents on loopback: what entries send together, what
//! callers are told, and what happens when agents or entries are lost.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::TeamName;
use amaranth_dispatch::holder_ranking::{StateHolder, rank_holders};
use amaranth_dispatch::quota_shards::{QuotaTolerance, ShardLimit, shard_seed};
use amaranth_dispatch::routes::RouteKind;
use amaranth_dispatch::teams::{QuotaUnit, TeamQuota, TeamRule};
use amaranth_relay::agent::{self, AgentCore};
use amaranth_relay::store_reader::{ReaderOptions, StoreReader};
use amaranth_wire::transport::ServerHandle;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::support::{
    FakeEndpoint, Reply, TestEntry, complete_answer, header, not_run, post, record, route, status,
};

/// Calls a second of the limited team, and its burst.
const LIMIT: f64 = 30.0;

/// Time after which agents that have just started know that a shard is used up.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// The number of engines, each with an agent.
const ENGINES: usize = 6;

fn quota(limit: f64) -> TeamQuota {
    TeamQuota {
        unit: QuotaUnit::Calls,
        rate_per_s: limit,
        burst: limit,
        plain_tokens: 0,
    }
}

fn team(name: &str, limit: f64) -> TeamRule {
    TeamRule {
        name: name.parse().expect("the name is valid"),
        keys: vec![format!("key-of-{name}")],
        priority: None,
        quota: quota(limit),
    }
}

/// Engines at loopback addresses that represent their VMs, with an agent on each.
struct QuotaFleet {
    engines: Vec<FakeEndpoint>,
    agents: Vec<Option<ServerHandle>>,
    agent_port: u16,
    config_version: u64,
}

async fn bind_agent(address: SocketAddr) -> ServerHandle {
    let reader = StoreReader::new(ReaderOptions {
        incarnation: 1,
        config_bound: Duration::from_secs(2),
        drain_bound: Duration::from_secs(2),
    });
    agent::bind(Arc::new(AgentCore::default()), Arc::new(reader), address)
        .await
        .expect("the port is free")
}

impl QuotaFleet {
    async fn spawn(network: &str, reply: Reply) -> Self {
        let probe = TcpListener::bind((format!("{network}.1"), 0))
            .await
            .expect("loopback has a free port");
        let address = probe.local_addr().expect("the listener has an address");
        drop(probe);
        let mut fleet = Self {
            engines: Vec::new(),
            agents: Vec::new(),
            agent_port: address.port(),
            config_version: 1,
        };
        for number in 1..=ENGINES {
            let vm = format!("{network}.{number}");
            let engine = FakeEndpoint::bind_at(&vm, vec![reply.clone()]).await;
            fleet.engines.push(engine);
            let agent = bind_agent(fleet.agent_address(number - 1)).await;
            fleet.agents.push(Some(agent));
        }
        fleet
    }

    async fn answering(network: &str) -> Self {
        Self::spawn(network, Reply::Write(complete_answer("200 OK", "c1", "ok"))).await
    }

    fn agent_address(&self, engine: usize) -> SocketAddr {
        SocketAddr::new(self.engines[engine].address.ip(), self.agent_port)
    }

    async fn restart_agent(&mut self, engine: usize) {
        self.agents[engine] = None;
        let address = self.agent_address(engine);
        // The port is free once the connections of the old agent are closed.
        sleep(Duration::from_millis(50)).await;
        self.agents[engine] = Some(bind_agent(address).await);
    }

    fn entry(&self, teams: Vec<TeamRule>) -> TestEntry {
        let entry = TestEntry::bind_with_agent_port(self.agent_port);
        let routes = vec![route(RouteKind::Idempotent, false, 1)];
        entry.configure_teams(self.config_version, routes, Some(teams));
        let engines: Vec<&FakeEndpoint> = self.engines.iter().collect();
        entry.announce(&engines);
        entry
    }

    fn arrivals(&self) -> usize {
        let engines = self.engines.iter();
        engines.map(|engine| engine.arrivals().len()).sum()
    }

    /// Returns a team of which the agent of the first engine grants exactly one shard.
    fn team_of_first_agent(&self) -> TeamRule {
        let holders: Vec<StateHolder> = (0..ENGINES)
            .map(|engine| StateHolder {
                agent: self.agent_address(engine),
                data_centre: record(engine, self.engines[engine].address, "").data_centre,
            })
            .collect();
        let tolerance = tolerance();
        let limit = ShardLimit::of(&quota(LIMIT), &tolerance).expect("the quota has a limit");
        let of_first = |name: &TeamName| {
            let granters = (0..limit.shards).map(|shard| {
                let ranked = rank_holders(shard_seed(name, shard), &holders);
                ranked[0]
            });
            let first = self.agent_address(0);
            granters.filter(|granter| *granter == first).count()
        };
        let names = (0..200).map(|number| format!("t{number}"));
        let mut names = names.filter(|name| {
            let name: TeamName = name.parse().expect("the name is valid");
            of_first(&name) == 1
        });
        team(&names.next().expect("a team has such granters"), LIMIT)
    }
}

fn tolerance() -> QuotaTolerance {
    TestEntry::bind().core.options.quota_tolerance
}

fn call_of(team: &TeamRule) -> String {
    let key = &team.keys[0];
    post("c1", &format!("Authorization: Key {key}\r\n"))
}

/// Calls an entry for a time, one call after another, and returns the number of answers by status.
async fn call_for(entry: &TestEntry, team: &TeamRule, time: Duration) -> BTreeMap<String, usize> {
    let until = Instant::now() + time;
    let mut answers = BTreeMap::new();
    while Instant::now() < until {
        let answer = entry.call(&call_of(team)).await;
        *answers.entry(status(&answer)).or_default() += 1;
    }
    answers
}

/// Calls all entries at once for a time and returns the number of answers by status.
async fn call_all(
    entries: &[Arc<TestEntry>],
    team: &TeamRule,
    time: Duration,
) -> BTreeMap<String, usize> {
    let mut callers = JoinSet::new();
    for entry in entries {
        let (entry, team) = (Arc::clone(entry), team.clone());
        callers.spawn(async move { call_for(&entry, &team, time).await });
    }
    let mut sum = BTreeMap::new();
    while let Some(answers) = callers.join_next().await {
        for (status, count) in answers.expect("no caller panicked") {
            *sum.entry(status).or_default() += count;
        }
    }
    sum
}

fn count(answers: &BTreeMap<String, usize>, status: &str) -> usize {
    answers.get(status).copied().unwrap_or(0)
}

/// Fails if each entry grants the whole quota, or if calls over it get another answer than 429.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_share_a_quota_and_refuse_what_is_over_it() {
    let fleet = QuotaFleet::answering("127.0.31").await;
    let team = team("red", LIMIT);
    let entries: Vec<_> = (0..4)
        .map(|_| Arc::new(fleet.entry(vec![team.clone()])))
        .collect();
    sleep(SETTLE_TIME).await;
    let answers = call_all(&entries, &team, Duration::from_secs(2)).await;
    let sent = count(&answers, "200");
    let statuses: BTreeSet<&str> = answers.keys().map(String::as_str).collect();
    assert_eq!(statuses, BTreeSet::from(["200", "429"]), "{answers:?}");
    // A burst, two seconds of the rate, and a call of debt for each of 12 shards.
    let most = LIMIT * 3.0 + 12.0;
    assert!((sent as f64) <= most, "{sent} calls, at most {most}");
    assert!(sent as f64 >= 0.75 * LIMIT * 2.0, "{sent} calls only");
    assert_eq!(fleet.arrivals(), sent);
}

/// Fails if the stated delay is not true.
#[tokio::test]
async fn a_refused_caller_that_returns_as_told_is_served() {
    let fleet = QuotaFleet::answering("127.0.32").await;
    let team = team("red", LIMIT);
    let entry = fleet.entry(vec![team.clone()]);
    sleep(SETTLE_TIME).await;
    for _ in 0..5 {
        let answer = loop {
            let answer = entry.call(&call_of(&team)).await;
            if status(&answer) != "200" {
                break answer;
            }
        };
        assert_eq!(status(&answer), "429", "{answer}");
        let delay = header(&answer, "again-ms").expect("a delay is stated");
        let delay: u64 = delay.parse().expect("the delay is a number");
        assert!(delay <= 1_000, "{delay} ms");
        sleep(Duration::from_millis(delay + 5)).await;
        let answer = entry.call(&call_of(&team)).await;
        assert_eq!(status(&answer), "200", "after {delay} ms: {answer}");
    }
}

/// Fails if restarted entries may spend again what was spent already.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_that_all_restart_twice_stay_within_the_quota() {
    let fleet = QuotaFleet::answering("127.0.33").await;
    let team = team("red", LIMIT);
    sleep(SETTLE_TIME).await;
    for _ in 0..3 {
        let entries: Vec<_> = (0..4)
            .map(|_| Arc::new(fleet.entry(vec![team.clone()])))
            .collect();
        call_all(&entries, &team, Duration::from_millis(800)).await;
    }
    let sent = fleet.arrivals();
    let allowed = tolerance().allowed(&quota(LIMIT));
    assert!((sent as f64) <= allowed, "{sent} calls, allowed {allowed}");
    let most = LIMIT * (1.0 + 3.0) + 12.0;
    assert!((sent as f64) <= most, "{sent} calls, at most {most}");
}

/// Fails if the loss of one granter stops a team, if its shard is granted by another agent as well, or if
/// a granter that comes back is not used.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_granter_is_lost_and_comes_back() {
    let mut fleet = QuotaFleet::answering("127.0.34").await;
    let team = fleet.team_of_first_agent();
    let entries: Vec<_> = (0..3)
        .map(|_| Arc::new(fleet.entry(vec![team.clone()])))
        .collect();
    sleep(SETTLE_TIME).await;
    let before = call_all(&entries, &team, Duration::from_secs(1)).await;
    fleet.agents[0] = None;
    sleep(Duration::from_millis(500)).await;
    let without = call_all(&entries, &team, Duration::from_secs(2)).await;
    fleet.restart_agent(0).await;
    sleep(SETTLE_TIME).await;
    let again = call_all(&entries, &team, Duration::from_secs(1)).await;
    for answers in [&before, &without, &again] {
        assert!(count(answers, "200") > 0, "{answers:?}");
        assert!(count(answers, "429") > 0, "{answers:?}");
        assert_eq!(count(answers, "503"), 0, "{answers:?}");
    }
    // 11 of 12 shards: what they held after half a second, and two seconds of their rate.
    let most = LIMIT * 2.5 * 11.0 / 12.0 + 12.0;
    let sent = count(&without, "200");
    assert!((sent as f64) <= most, "{sent} calls, at most {most}");
}

/// Fails if calls of a team below its quota are refused because an agent has died a moment ago.
#[tokio::test]
async fn a_team_below_its_quota_is_served_while_an_agent_is_lost() {
    let mut fleet = QuotaFleet::answering("127.0.35").await;
    let team = fleet.team_of_first_agent();
    let entry = fleet.entry(vec![team.clone()]);
    sleep(SETTLE_TIME).await;
    fleet.agents[0] = None;
    for _ in 0..40 {
        let answer = entry.call(&call_of(&team)).await;
        assert_eq!(status(&answer), "200", "{answer}");
        sleep(Duration::from_millis(60)).await;
    }
}

/// Fails if calls are sent or refused as over the quota when no agent answers, or if teams without a
/// limit depend on agents.
#[tokio::test]
async fn without_agents_calls_of_limited_teams_are_refused_and_others_served() {
    let mut fleet = QuotaFleet::answering("127.0.36").await;
    fleet.agents.clear();
    let (limited, free) = (team("red", LIMIT), team("blue", 0.0));
    let entry = fleet.entry(vec![limited.clone(), free.clone()]);
    let answer = entry.call(&call_of(&limited)).await;
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(header(&answer, "again-ms").is_some(), "{answer}");
    assert_eq!(fleet.arrivals(), 0);
    let answer = entry.call(&call_of(&free)).await;
    assert_eq!(status(&answer), "200", "{answer}");
}

/// Fails if calls that no endpoint ran use up the quota of their team.
#[tokio::test]
async fn calls_that_did_not_run_are_refunded() {
    let fleet = QuotaFleet::spawn("127.0.37", Reply::Write(not_run("c1"))).await;
    let team = team("red", LIMIT);
    let entry = fleet.entry(vec![team.clone()]);
    sleep(SETTLE_TIME).await;
    for _ in 0..4 * LIMIT as usize {
        let answer = entry.call(&call_of(&team)).await;
        assert_eq!(status(&answer), "503", "{answer}");
    }
    assert!(fleet.arrivals() >= 4 * LIMIT as usize);
}

/// Fails if a lower limit is not in force at an entry that has leased by the earlier one.
#[tokio::test]
async fn a_lower_limit_is_in_force_at_once() {
    let fleet = QuotaFleet::answering("127.0.38").await;
    let entry = fleet.entry(vec![team("red", LIMIT)]);
    sleep(SETTLE_TIME).await;
    let answer = entry.call(&call_of(&team("red", LIMIT))).await;
    assert_eq!(status(&answer), "200", "{answer}");
    let lower = team("red", 3.0);
    let routes = vec![route(RouteKind::Idempotent, false, 1)];
    entry.configure_teams(2, routes, Some(vec![lower.clone()]));
    let answers = call_for(&entry, &lower, Duration::from_secs(2)).await;
    let sent = count(&answers, "200");
    let limit = ShardLimit::of(&quota(3.0), &tolerance()).expect("the quota has a limit");
    let most = 3.0 * 3.0 + f64::from(limit.shards) * (limit.debt + 1.0);
    assert!((sent as f64) <= most, "{sent} calls, at most {most}");
}
