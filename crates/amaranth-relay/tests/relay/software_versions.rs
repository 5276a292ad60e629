//! Streams on a fleet whose engines have several software versions: a stream goes on only at the
//! version that began it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranth_core::ids::EndpointId;
use amaranth_core::time::WallTime;
use amaranth_dispatch::endpoint_table::RegistryEvent;
use amaranth_dispatch::routes::{RouteKind, WeightedService};
use amaranth_dispatch::software_history::RememberedVersion;
use amaranth_relay::agent::{self, AgentCore};
use amaranth_relay::feed::FeedEvent;
use amaranth_relay::origin_exchange::publish_origins;
use amaranth_relay::software_memory::{self, SoftwareStore};
use amaranth_relay::store_reader::{ReaderOptions, StoreReader};
use amaranth_wire::transport::ServerHandle;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::support::{
    FakeEndpoint, LAST_CHUNK, MemoryStore, Reply, TestEntry, chunk, event, header, not_run, post,
    read_request, read_to_end, read_until, record, route, status, stream_head,
};

/// Time for which an entry may take to tell others of a stream.
const SPREAD_TIME: Duration = Duration::from_millis(400);

/// Time for which an engine holds a stream that it breaks.
const BREAK_DELAY: Duration = Duration::from_millis(150);

/// The end of an event that states a version.
const EVENT_END: &str = "data: .\n\n";

/// What an engine does with a stream that begins at it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beginning {
    /// It sends two events and keeps the stream open.
    Held,
    /// It sends two events and closes the connection some time later.
    Broken,
    /// It sends two events after the time of a prefill and keeps the stream open.
    Prefilled,
}

/// Time of the prefill of a short prompt.
const PREFILL_TIME: Duration = Duration::from_millis(100);

/// An engine of one software version, which completes streams that go on at it.
#[derive(Debug)]
struct VersionedEngine {
    software: &'static str,
    address: SocketAddr,
    resumed: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl Drop for VersionedEngine {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl VersionedEngine {
    async fn bind(vm: &str, software: &'static str, beginning: Beginning) -> Self {
        let listener = TcpListener::bind((vm, 0))
            .await
            .expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let resumed = Arc::new(Mutex::new(Vec::new()));
        let records = Arc::clone(&resumed);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_streams(
                    stream,
                    software,
                    beginning,
                    Arc::clone(&records),
                ));
            }
        });
        Self {
            software,
            address,
            resumed,
            task,
        }
    }

    /// Returns the calls that went on with a stream at the engine.
    fn resumed(&self) -> Vec<String> {
        self.resumed.lock().expect("no task panicked").clone()
    }

    fn announcement(&self, index: usize, data_centre: &str) -> RegistryEvent {
        let mut record = record(index, self.address, data_centre);
        record.software = self.software.parse().expect("any text is a version");
        RegistryEvent::Announced(Box::new(record))
    }
}

async fn serve_streams(
    mut stream: TcpStream,
    software: &str,
    beginning: Beginning,
    resumed: Arc<Mutex<Vec<String>>>,
) {
    while let Some(request) = read_request(&mut stream).await {
        let call = header(&request, "call").unwrap_or_default();
        let Some(after) = header(&request, "after-event") else {
            let second = chunk(&format!("id: 2\ndata: {software}\n{EVENT_END}"));
            let text = stream_head(&call) + &event(1) + &second;
            if beginning == Beginning::Prefilled {
                sleep(PREFILL_TIME).await;
            }
            let written = stream.write_all(text.as_bytes()).await;
            if beginning == Beginning::Broken {
                sleep(BREAK_DELAY).await;
            }
            if written.is_err() || beginning == Beginning::Broken {
                return;
            }
            continue;
        };
        resumed.lock().expect("no task panicked").push(call.clone());
        let next = after.parse::<u64>().expect("the id is a number") + 1;
        let last = chunk(&format!("id: {next}\ndata: {software}\n\n"));
        let text = stream_head(&call) + &last + LAST_CHUNK;
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Announces engines, each in a data centre.
fn announce(entry: &TestEntry, engines: &[(&VersionedEngine, &str)]) {
    let events = engines.iter().enumerate();
    let events = events.map(|(index, (engine, centre))| engine.announcement(index, centre));
    let snapshot = FeedEvent::Snapshot(events.collect());
    entry.core.apply_registry(snapshot);
}

fn serving(engines: &[(&VersionedEngine, &str)]) -> TestEntry {
    let entry = TestEntry::bind();
    entry.configure(1, vec![route(RouteKind::Stream, true, 3)]);
    announce(&entry, engines);
    entry
}

/// Returns a call that takes a stream up again after its second event.
fn take_up(id: &str, first_call: &str) -> String {
    let extra = format!("Wants: m\r\nAfter-Event: 2\r\nResumed-Call: {first_call}\r\n");
    post(id, &extra)
}

/// Begins a stream at the only engine, announces other engines, and returns the rest of the answer
/// after the engine broke the stream.
async fn break_stream(first: &VersionedEngine, others: &[(&VersionedEngine, &str)]) -> String {
    let entry = serving(&[(first, "")]);
    let (mut caller, version) = begin_stream(&entry, "c1").await;
    assert_eq!(version, first.software);
    announce(&entry, &[&[(first, "")], others].concat());
    read_to_end(&mut caller).await
}

#[tokio::test]
async fn a_broken_stream_goes_on_at_an_engine_of_its_software_version() {
    let first = VersionedEngine::bind("127.0.0.1", "v1", Beginning::Broken).await;
    let other = VersionedEngine::bind("127.0.0.1", "v1.1", Beginning::Held).await;
    let same = VersionedEngine::bind("127.0.0.1", "v1", Beginning::Held).await;
    let rest = break_stream(&first, &[(&other, ""), (&same, "far")]).await;
    assert_eq!(versions(&rest), ["v1"]);
    assert!(rest.ends_with(LAST_CHUNK), "{rest}");
    assert_eq!(other.resumed(), Vec::<String>::new());
}

#[tokio::test]
async fn a_broken_stream_ends_when_no_engine_of_its_software_version_is_left() {
    let first = VersionedEngine::bind("127.0.0.1", "v1", Beginning::Broken).await;
    let other = VersionedEngine::bind("127.0.0.1", "v1.1", Beginning::Held).await;
    let rest = break_stream(&first, &[(&other, "")]).await;
    assert!(!rest.ends_with(LAST_CHUNK), "{rest}");
    assert_eq!(other.resumed(), Vec::<String>::new());
}

#[rstest]
#[case::of_an_unknown_call("Resumed-Call: c0\r\n")]
#[case::of_no_named_call("")]
#[tokio::test]
async fn a_stream_of_unknown_origin_is_not_run_where_versions_are_mixed(#[case] resumed: &str) {
    let old = VersionedEngine::bind("127.0.0.1", "v1", Beginning::Held).await;
    let new = VersionedEngine::bind("127.0.0.1", "v2", Beginning::Held).await;
    let entry = serving(&[(&old, ""), (&new, "far")]);
    let call = post("c1", &format!("Wants: m\r\nAfter-Event: 2\r\n{resumed}"));
    assert_eq!(status(&entry.call(&call).await), "503");
    assert_eq!(
        [old.resumed(), new.resumed()].concat(),
        Vec::<String>::new()
    );
    let id: EndpointId = "e1".parse().expect("the name is valid");
    let removed = FeedEvent::Changes(vec![RegistryEvent::Removed(id)]);
    entry.core.apply_registry(removed);
    assert_eq!(
        status(&entry.call(&call).await),
        "503",
        "a version that was just removed may have begun it"
    );
}

/// What an entry knows when a caller takes up a stream of unknown origin. It lists version `v1` only.
#[rstest]
#[case::the_store_knows_no_other_version(MemoryStore::holding(&[("v1", None)]), true, "200")]
#[case::another_version_left_long_ago(
    MemoryStore::holding(&[("v1", None), ("v0", Some(WallTime::from_millis(1)))]), true, "200"
)]
#[case::another_version_left_just_now(
    MemoryStore::holding(&[("v1", None), ("v0", Some(WallTime::now()))]), true, "503"
)]
#[case::another_version_is_remembered(MemoryStore::holding(&[("v1", None), ("v0", None)]), true, "503")]
#[case::the_store_is_away(MemoryStore::default(), true, "503")]
#[case::the_list_of_endpoints_is_old(MemoryStore::holding(&[("v1", None)]), false, "503")]
#[tokio::test]
async fn a_stream_of_unknown_origin_goes_on_only_where_no_other_version_can_have_begun_it(
    #[case] store: MemoryStore,
    #[case] is_list_recent: bool,
    #[case] expected: &str,
) {
    let engine = VersionedEngine::bind("127.0.0.1", "v1", Beginning::Held).await;
    let entry = TestEntry::bind();
    let _tasks = software_memory::spawn(&entry.core, store);
    entry.configure(1, vec![route(RouteKind::Stream, true, 3)]);
    announce(&entry, &[(&engine, "")]);
    if is_list_recent {
        entry.record_registry_read();
    }
    let answer = entry.call(&take_up("c1", "c0")).await;
    assert_eq!(status(&answer), expected, "{answer}");
    let went_on = if expected == "200" {
        vec!["v1"]
    } else {
        vec![]
    };
    assert_eq!(versions(&answer), went_on);
    assert_eq!(engine.resumed().len(), went_on.len());
}

#[tokio::test]
async fn versions_that_entries_saw_are_remembered_over_the_loss_of_all_entries_and_agents() {
    let store = MemoryStore::holding(&[]);
    let mut fleet = MixedFleet::spawn("127.0.8", 4).await;
    let only_old = |software: &str| software == "v1";
    let mut callers = Vec::new();
    {
        let entry = fleet.entry_that_lists(only_old);
        let _tasks = software_memory::spawn(&entry.core, store.clone());
        for id in ["s0", "s1"] {
            callers.push(begin_stream(&entry, id).await);
        }
        sleep(SPREAD_TIME).await;
    }
    fleet.restart_agents().await;
    {
        let restarted = fleet.entry_that_lists(only_old);
        let _tasks = software_memory::spawn(&restarted.core, store.clone());
        restarted.record_registry_read();
        let again = restarted.call(&take_up("again", "s0")).await;
        assert_eq!(
            versions(&again),
            ["v1"],
            "the service never had another version"
        );
    }
    fleet.restart_agents().await;
    let replaced = fleet.entry_that_lists(|software| software == "v1.1");
    let _tasks = software_memory::spawn(&replaced.core, store.clone());
    replaced.record_registry_read();
    let again = replaced.call(&take_up("third", "s1")).await;
    assert_eq!(status(&again), "503", "the old version may have begun it");
    sleep(SPREAD_TIME).await;
    let remembered = store.versions().expect("the store is not away");
    let is_removed = |version: &RememberedVersion| version.removed_at.is_some();
    let removed: Vec<String> = remembered
        .iter()
        .filter(|version| is_removed(version))
        .map(|version| version.software.to_string())
        .collect();
    assert_eq!(removed, ["v1"]);
    assert_eq!(remembered.len(), 2);
}

/// How an entry's knowledge of a new version lags behind the store.
#[derive(Debug, Clone, Copy)]
enum Lag {
    /// The entry that began the stream has not published the version yet.
    Unpublished,
    /// The entry read what the store remembers just before the version was published.
    ReadBefore,
}

/// An entry that is out of step knows no engine of the new version, nor an agent that tells of its streams.
#[rstest]
#[case::unpublished(Lag::Unpublished)]
#[case::read_before(Lag::ReadBefore)]
#[tokio::test]
async fn a_stream_of_a_version_that_has_just_joined_does_not_go_on_at_another_one(
    #[case] lag: Lag,
) {
    let old = VersionedEngine::bind("127.0.0.1", "v1", Beginning::Held).await;
    let entry = TestEntry::bind();
    entry.configure(1, vec![route(RouteKind::Stream, true, 2)]);
    let listed = vec![old.announcement(0, "")];
    entry.core.apply_registry(FeedEvent::Snapshot(listed));
    entry.record_registry_read();
    let store = MemoryStore::holding(&[("v1", None)]);
    let _tasks = software_memory::spawn(&entry.core, store.clone());
    if matches!(lag, Lag::ReadBefore) {
        let answer = entry.call(&take_up("before", "other")).await;
        assert_eq!(status(&answer), "200", "there is one version");
    }
    store.list("v1.1");
    if matches!(lag, Lag::ReadBefore) {
        let version = RememberedVersion {
            service: "s".parse().expect("the name is valid"),
            software: "v1.1".parse().expect("any text is a version"),
            removed_at: None,
        };
        let published = store.publish(&[version]).await;
        published.expect("the store is not away");
    }
    let answer = entry.call(&take_up("again", "s")).await;
    assert_eq!(status(&answer), "503", "{answer}");
    assert!(!old.resumed().contains(&"again".to_owned()));
}

/// Returns the versions that the events of an answer state.
fn versions(answer: &str) -> Vec<String> {
    let data = answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let versions = data.filter(|text| text.starts_with('v'));
    versions.map(str::to_owned).collect()
}

/// Entries and agents on loopback, and engines of two versions on the agents' VMs.
struct MixedFleet {
    engines: Vec<VersionedEngine>,
    agents: Vec<Option<ServerHandle>>,
    agent_port: u16,
}

/// An entry with the task that tells agents of its streams. Both end at once when it is dropped, as in a
/// loss of power.
struct FleetEntry {
    entry: TestEntry,
    publisher: JoinHandle<()>,
}

impl Drop for FleetEntry {
    fn drop(&mut self) {
        self.publisher.abort();
    }
}

impl std::ops::Deref for FleetEntry {
    type Target = TestEntry;

    fn deref(&self) -> &TestEntry {
        &self.entry
    }
}

/// The data centres of the VMs of engines, the first of them that of the entries.
const DATA_CENTRES: [&str; 3] = ["", "far", "off"];

impl MixedFleet {
    async fn spawn(network: &str, vms: usize) -> Self {
        Self::spawn_with(network, vms, Beginning::Held).await
    }

    async fn spawn_with(network: &str, vms: usize, beginning: Beginning) -> Self {
        let probe = TcpListener::bind((format!("{network}.1"), 0))
            .await
            .expect("loopback has a free port");
        let agent_port = probe
            .local_addr()
            .expect("the listener has an address")
            .port();
        drop(probe);
        let (mut engines, mut agents) = (Vec::new(), Vec::new());
        for index in 0..vms {
            let vm = format!("{network}.{}", index + 1);
            let software = if index % 2 == 0 { "v1" } else { "v1.1" };
            engines.push(VersionedEngine::bind(&vm, software, beginning).await);
            agents.push(Some(bind_agent(&vm, agent_port).await));
        }
        Self {
            engines,
            agents,
            agent_port,
        }
    }

    /// Starts an entry that lists all engines.
    fn entry(&self) -> FleetEntry {
        self.entry_that_lists(|_| true)
    }

    /// Starts an entry that lists the engines of some software versions.
    fn entry_that_lists(&self, is_listed: impl Fn(&str) -> bool) -> FleetEntry {
        let entry = TestEntry::bind_with_agent_port(self.agent_port);
        entry.configure(1, vec![route(RouteKind::Stream, true, 2)]);
        let engines = self.engines.iter().enumerate();
        let events = engines.filter(|(_, engine)| is_listed(engine.software));
        let events = events
            .map(|(index, engine)| engine.announcement(index, DATA_CENTRES[index % 3]))
            .collect();
        entry.core.apply_registry(FeedEvent::Snapshot(events));
        let publisher = tokio::spawn(publish_origins(Arc::clone(&entry.core)));
        FleetEntry { entry, publisher }
    }

    /// Ends all agents and starts them again, with nothing in memory.
    async fn restart_agents(&mut self) {
        let vms: Vec<String> = self
            .engines
            .iter()
            .map(|engine| engine.address.ip().to_string())
            .collect();
        self.agents.clear();
        for vm in vms {
            self.agents
                .push(Some(bind_agent(&vm, self.agent_port).await));
        }
    }

    /// Returns the calls that went on with a stream at any engine.
    fn resumed(&self) -> Vec<String> {
        let engines = self.engines.iter();
        engines.flat_map(VersionedEngine::resumed).collect()
    }
}

async fn bind_agent(vm: &str, port: u16) -> ServerHandle {
    let address = format!("{vm}:{port}")
        .parse()
        .expect("the address is valid");
    for _ in 0..50 {
        let reader = StoreReader::new(ReaderOptions {
            incarnation: 1,
            config_bound: Duration::from_secs(2),
            drain_bound: Duration::from_secs(2),
        });
        let core = Arc::new(AgentCore::default());
        match agent::bind(core, Arc::new(reader), address).await {
            Ok(agent) => return agent,
            // The task of an agent that has just ended may still hold the port.
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
    panic!("the port {port} of {vm} is free");
}

/// Begins a stream at an entry and returns the version that began it. The caller's connection is left
/// open.
async fn begin_stream(entry: &TestEntry, id: &str) -> (TcpStream, String) {
    let mut caller = entry.connect().await;
    let call = post(id, "Wants: m\r\n");
    caller
        .write_all(call.as_bytes())
        .await
        .expect("the request is written");
    let text = read_until(&mut caller, EVENT_END).await;
    let version = versions(&text).pop().expect("an event states the version");
    (caller, version)
}

/// Takes streams up again at another entry. Returns how many of them went on.
async fn take_up_all(entry: &TestEntry, begun: &[(String, String)]) -> usize {
    let mut went_on = 0;
    for (id, version) in begun {
        let answer = entry.call(&take_up(&format!("again-{id}"), id)).await;
        for other in versions(&answer) {
            assert_eq!(other, *version, "stream {id} goes on at another version");
        }
        went_on += usize::from(status(&answer) == "200");
    }
    went_on
}

#[tokio::test]
async fn a_stream_that_its_caller_takes_up_at_another_entry_goes_on_at_its_software_version() {
    let fleet = MixedFleet::spawn("127.0.1", 6).await;
    let entries: Vec<FleetEntry> = (0..5).map(|_| fleet.entry()).collect();
    let (mut begun, mut callers) = (Vec::new(), Vec::new());
    for number in 0..30 {
        let id = format!("s{number}");
        let (caller, version) = begin_stream(&entries[number % 5], &id).await;
        callers.push(caller);
        begun.push((id, version));
    }
    let is_mixed = begun.iter().any(|(_, version)| *version != begun[0].1);
    assert!(is_mixed, "streams begin at both versions");
    sleep(SPREAD_TIME).await;
    drop(entries);
    let joined = fleet.entry();
    assert_eq!(take_up_all(&joined, &begun).await, begun.len());
}

#[tokio::test]
async fn a_stream_that_was_taken_up_is_known_by_each_of_its_calls() {
    let fleet = MixedFleet::spawn("127.0.3", 4).await;
    let (first, second) = (fleet.entry(), fleet.entry());
    let (_caller, version) = begin_stream(&first, "s").await;
    sleep(SPREAD_TIME).await;
    let again = second.call(&take_up("again", "s")).await;
    assert_eq!(versions(&again), [version.as_str()]);
    sleep(SPREAD_TIME).await;
    drop((first, second));
    let third = fleet.entry().call(&take_up("third", "again")).await;
    assert_eq!(versions(&third), [version.as_str()]);
}

#[tokio::test]
async fn a_taken_up_stream_that_its_engine_refuses_is_retried_at_its_software_version_only() {
    let fleet = MixedFleet::spawn("127.0.4", 4).await;
    let entry = fleet.entry();
    let (_caller, version) = begin_stream(&entry, "s").await;
    let engines = fleet.engines.iter().enumerate();
    let mut same = engines.filter(|(_, engine)| engine.software == version);
    let (index, _) = same.next().expect("an engine has the version");
    let refusing = FakeEndpoint::bind(vec![Reply::Write(not_run("again"))]).await;
    let mut record = record(index, refusing.address, DATA_CENTRES[0]);
    record.software = version.parse().expect("any text is a version");
    record.sequence = 2;
    let announced = RegistryEvent::Announced(Box::new(record));
    entry
        .core
        .apply_registry(FeedEvent::Changes(vec![announced]));
    let again = entry.call(&take_up("again", "s")).await;
    assert_eq!(versions(&again), [version.as_str()], "{again}");
}

#[tokio::test]
async fn streams_go_on_at_their_software_version_although_agents_are_lost() {
    let mut fleet = MixedFleet::spawn("127.0.2", 6).await;
    let entry = fleet.entry();
    let (mut begun, mut callers) = (Vec::new(), Vec::new());
    for number in 0..10 {
        let id = format!("s{number}");
        let (caller, version) = begin_stream(&entry, &id).await;
        callers.push(caller);
        begun.push((id, version));
    }
    sleep(SPREAD_TIME).await;
    drop(entry);
    fleet.agents[0] = None;
    let joined = fleet.entry();
    assert_eq!(take_up_all(&joined, &begun).await, begun.len());
    fleet.agents.clear();
    let isolated = fleet.entry();
    assert_eq!(take_up_all(&isolated, &begun).await, 0);
}

/// What happens to the agents while all entries are down.
#[derive(Debug, Clone, Copy)]
enum AgentFault {
    /// They lose what they knew.
    Restarted,
    /// Nothing answers at their addresses.
    Lost,
}

#[rstest]
#[case::with_agents_that_restarted("127.0.5", AgentFault::Restarted)]
#[case::with_agents_that_are_lost("127.0.6", AgentFault::Lost)]
#[tokio::test]
async fn a_restarted_entry_that_lists_one_version_does_not_take_it_for_the_origin_of_a_stream(
    #[case] network: &str,
    #[case] fault: AgentFault,
) {
    let mut fleet = MixedFleet::spawn(network, 4).await;
    let entry = fleet.entry_that_lists(|software| software == "v1");
    let (_caller, version) = begin_stream(&entry, "s").await;
    assert_eq!(version, "v1");
    sleep(SPREAD_TIME).await;
    drop(entry);
    match fault {
        AgentFault::Restarted => fleet.restart_agents().await,
        AgentFault::Lost => fleet.agents.clear(),
    }
    let restarted = fleet.entry_that_lists(|software| software == "v1.1");
    let again = restarted.call(&take_up("again", "s")).await;
    assert_eq!(status(&again), "503", "{again}");
    assert_eq!(fleet.resumed(), Vec::<String>::new());
}

#[tokio::test]
async fn a_stream_goes_on_although_its_entry_lost_power_right_after_the_first_event() {
    let fleet = MixedFleet::spawn_with("127.0.7", 4, Beginning::Prefilled).await;
    let mut begun = Vec::new();
    for number in 0..10 {
        let entry = fleet.entry();
        let id = format!("s{number}");
        let (_caller, version) = begin_stream(&entry, &id).await;
        begun.push((id, version));
    }
    let restarted = fleet.entry();
    let went_on = take_up_all(&restarted, &begun).await;
    assert!(went_on * 10 >= begun.len() * 9, "{went_on} of {begun:?}");
}

#[tokio::test]
async fn a_stream_that_is_taken_up_goes_to_the_service_that_began_it() {
    let first = VersionedEngine::bind("127.0.0.1", "v1", Beginning::Held).await;
    let second = VersionedEngine::bind("127.0.0.1", "v1", Beginning::Held).await;
    let entry = TestEntry::bind();
    let mut rule = route(RouteKind::Stream, true, 2);
    let other = "other".parse().expect("the name is valid");
    rule.services.push(WeightedService {
        service: other,
        weight: 1,
    });
    entry.configure(1, vec![rule.clone()]);
    let mut announced = Vec::new();
    for (index, engine) in [&first, &second].into_iter().enumerate() {
        let mut record = record(index, engine.address, "");
        record.service = rule.services[index].service.clone();
        record.software = engine.software.parse().expect("any text is a version");
        announced.push(RegistryEvent::Announced(Box::new(record)));
    }
    entry.core.apply_registry(FeedEvent::Snapshot(announced));
    let _tasks = entry.remember_listed_versions();
    let began_at_first = |id: &str| {
        let service = rule.service_for(id).expect("the route has services");
        *service == rule.services[0].service
    };
    let ids: Vec<String> = (0..20).map(|number| format!("s{number}")).collect();
    let began: Vec<bool> = ids.iter().map(|id| began_at_first(id)).collect();
    assert!(began.contains(&true) && began.contains(&false));
    for id in &ids {
        let answer = entry.call(&take_up(&format!("again-{id}"), id)).await;
        assert_eq!(status(&answer), "200");
    }
    let at_first = began.iter().filter(|began| **began).count();
    assert_eq!(first.resumed().len(), at_first);
    for (id, began_at_first) in ids.iter().zip(began) {
        let again = format!("again-{id}");
        assert_eq!(first.resumed().contains(&again), began_at_first, "{id}");
    }
}
