//! Tests of the member directory, compared with a naive one.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranth_control::detector::FixedDetector;
use amaranth_control::membership::{
    DirectoryOptions, Heartbeat, ListedVm, MemberChange, MemberDirectory, MemberEvent, MemberState,
};
use amaranth_core::ids::{Incarnation, ProcessId};
use amaranth_core::membership::ProcessIdentity;
use amaranth_core::time::Timestamp;
use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, Strategy, any, prop_oneof};
use proptest::test_runner::{RngSeed, TestCaseError, TestRunner};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(3);
const DATA_CENTRE: &str = "obihiro-a";
const PROCESSES: u8 = 3;

type Directory = MemberDirectory<u64, FixedDetector>;

fn new_directory() -> Directory {
    let data_centre = DATA_CENTRE.parse().expect("the data centre name is valid");
    let options = DirectoryOptions::of_data_centre(data_centre);
    MemberDirectory::new(options, FixedDetector::new(TIMEOUT))
}

fn process(number: u8) -> ProcessId {
    format!("agent-{number}")
        .parse()
        .expect("the process id is valid")
}

fn identity(number: u8, incarnation: u64, data_centre: &str) -> ProcessIdentity {
    let port = 1_000 + u16::from(number);
    ProcessIdentity {
        process: process(number),
        incarnation: Incarnation(incarnation),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: data_centre.parse().expect("the data centre name is valid"),
        region: "doto".parse().expect("the region name is valid"),
    }
}

fn heartbeat(number: u8, incarnation: u64, sequence: u64, draining: bool) -> Heartbeat<u64> {
    Heartbeat {
        identity: identity(number, incarnation, DATA_CENTRE),
        sequence,
        draining,
        payload: incarnation * 1_000 + sequence,
    }
}

fn announce(directory: &mut Directory, at: u64, heartbeat: Heartbeat<u64>) -> Vec<MemberChange> {
    let event = MemberEvent::Announced(heartbeat);
    let changes = directory.handle(Timestamp::from_millis(at), event);
    changes.into_vec()
}

fn tick(directory: &mut Directory, at: u64) -> Vec<MemberChange> {
    let changes = directory.handle(Timestamp::from_millis(at), MemberEvent::Tick);
    changes.into_vec()
}

fn state(directory: &Directory, number: u8) -> Option<MemberState> {
    directory.get(&process(number)).map(|member| member.state())
}

#[test]
fn changes_follow_the_life_cycle_of_a_member() {
    let mut directory = new_directory();
    let changes = [
        announce(&mut directory, 0, heartbeat(1, 7, 1, false)),
        announce(&mut directory, 1_000, heartbeat(1, 7, 2, false)),
        tick(&mut directory, 3_000),
        tick(&mut directory, 5_000),
        announce(&mut directory, 5_500, heartbeat(1, 7, 3, false)),
        announce(&mut directory, 6_000, heartbeat(1, 8, 1, false)),
        announce(&mut directory, 6_100, heartbeat(1, 7, 3, false)),
        announce(&mut directory, 7_000, heartbeat(1, 8, 2, true)),
        tick(&mut directory, 11_000),
    ];
    let lines = changes.map(|changes| format!("{changes:?}"));
    insta::assert_snapshot!(lines.join("\n"), @r#"
    [Joined(ProcessId("agent-1"))]
    [Updated(ProcessId("agent-1"))]
    []
    [Suspected(ProcessId("agent-1"))]
    [Restored(ProcessId("agent-1"))]
    [Replaced(ProcessId("agent-1"))]
    []
    [Draining(ProcessId("agent-1")), Updated(ProcessId("agent-1"))]
    [Removed(ProcessId("agent-1"))]
    "#);
}

#[test]
fn announcement_from_another_data_centre_is_dropped() {
    let mut directory = new_directory();
    let foreign = Heartbeat {
        identity: identity(1, 1, "sapporo-a"),
        ..heartbeat(1, 1, 1, false)
    };
    assert!(announce(&mut directory, 0, foreign).is_empty());
    assert_eq!(directory.known().count(), 0);
}

#[test]
fn live_incarnation_replaces_an_unknown_one_that_announced_late() {
    let mut directory = new_directory();
    announce(&mut directory, 0, heartbeat(1, 8, 5, false));
    announce(&mut directory, 10, heartbeat(1, 7, 99, false));
    let changes = announce(&mut directory, 500, heartbeat(1, 8, 6, false));
    assert_eq!(changes, [MemberChange::Replaced(process(1))]);
    assert!(announce(&mut directory, 510, heartbeat(1, 7, 99, false)).is_empty());
    let member = directory
        .get(&process(1))
        .expect("the process is a known member");
    assert_eq!(member.identity().incarnation, Incarnation(8));
}

#[test]
fn reordered_draining_announcement_is_applied_and_final() {
    let mut directory = new_directory();
    announce(&mut directory, 0, heartbeat(1, 7, 5, false));
    let changes = announce(&mut directory, 10, heartbeat(1, 7, 4, true));
    assert_eq!(changes, [MemberChange::Draining(process(1))]);
    announce(&mut directory, 20, heartbeat(1, 7, 6, false));
    assert_eq!(state(&directory, 1), Some(MemberState::Draining));
    // A new incarnation of the process accepts work again.
    announce(&mut directory, 30, heartbeat(1, 8, 1, false));
    assert_eq!(state(&directory, 1), Some(MemberState::Live));
}

#[test]
fn former_incarnation_that_drained_stays_draining() {
    let mut directory = new_directory();
    announce(&mut directory, 0, heartbeat(1, 7, 5, false));
    announce(&mut directory, 10, heartbeat(1, 8, 1, false));
    announce(&mut directory, 20, heartbeat(1, 7, 4, true));
    announce(&mut directory, 30, heartbeat(1, 7, 6, false));
    assert_eq!(state(&directory, 1), Some(MemberState::Draining));
}

fn listed(number: u8, draining: bool) -> ListedVm {
    let identity = identity(number, 1, DATA_CENTRE);
    ListedVm {
        address: identity.address,
        data_centre: identity.data_centre,
        draining,
    }
}

#[rstest]
#[case::empty(vec![])]
#[case::absent(vec![listed(2, false)])]
#[case::draining(vec![listed(1, true)])]
fn wrong_vm_list_does_not_remove_a_process_that_announces_itself(#[case] list: Vec<ListedVm>) {
    let mut directory = new_directory();
    for second in 0..60 {
        announce(
            &mut directory,
            second * 1_000,
            heartbeat(1, 7, second, false),
        );
        let now = Timestamp::from_millis(second * 1_000 + 500);
        let changes = directory.handle(now, MemberEvent::Listed(list.clone()));
        assert!(changes.is_empty(), "{changes:?}");
        assert_eq!(state(&directory, 1), Some(MemberState::Live));
    }
}

#[test]
fn vm_list_confirms_a_suspicion_and_adds_addresses_to_try() {
    let mut directory = new_directory();
    announce(&mut directory, 0, heartbeat(1, 7, 1, false));
    announce(&mut directory, 0, heartbeat(2, 7, 1, false));
    let list = vec![listed(1, false), listed(3, false), listed(4, true)];
    let now = Timestamp::from_millis(3_500);
    let changes = directory.handle(now, MemberEvent::Listed(list));
    let expected = [
        MemberChange::Suspected(process(1)),
        MemberChange::Removed(process(2)),
    ];
    assert_eq!(changes.as_slice(), expected);
    let expected_addresses = [listed(1, false).address, listed(3, false).address];
    assert_eq!(directory.addresses_to_try(), expected_addresses);
}

#[test]
fn late_announcement_does_not_restore_a_removed_process() {
    let mut directory = new_directory();
    announce(&mut directory, 0, heartbeat(1, 7, 5, true));
    tick(&mut directory, 4_000);
    assert!(announce(&mut directory, 5_000, heartbeat(1, 7, 4, false)).is_empty());
    assert_eq!(state(&directory, 1), None);
}

/// One announcement that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SentAnnouncement {
    process: u8,
    incarnation: u64,
    sequence: u64,
    draining: bool,
}

trait DirectoryUnderTest {
    fn apply(&mut self, sent: SentAnnouncement);
    fn known(&self) -> BTreeMap<u8, SentAnnouncement>;
}

impl DirectoryUnderTest for Directory {
    fn apply(&mut self, sent: SentAnnouncement) {
        let heartbeat = heartbeat(sent.process, sent.incarnation, sent.sequence, sent.draining);
        announce(self, 0, heartbeat);
    }

    fn known(&self) -> BTreeMap<u8, SentAnnouncement> {
        let row = |number: u8| {
            let member = self.get(&process(number))?;
            let known = SentAnnouncement {
                process: number,
                incarnation: member.identity().incarnation.0,
                sequence: member.sequence(),
                draining: member.state() == MemberState::Draining,
            };
            Some((number, known))
        };
        (0..PROCESSES).filter_map(row).collect()
    }
}

/// A directory that keeps whatever arrived last.
#[derive(Default)]
struct NaiveDirectory(BTreeMap<u8, SentAnnouncement>);

impl DirectoryUnderTest for NaiveDirectory {
    fn apply(&mut self, sent: SentAnnouncement) {
        self.0.insert(sent.process, sent);
    }

    fn known(&self) -> BTreeMap<u8, SentAnnouncement> {
        self.0.clone()
    }
}

/// One step of a process, or the arrival of an announcement.
#[derive(Debug, Clone)]
enum Step {
    Send(u8),
    Restart(u8),
    Drain(u8),
    Arrive(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..PROCESSES).prop_map(Step::Send),
        1 => (0..PROCESSES).prop_map(Step::Restart),
        1 => (0..PROCESSES).prop_map(Step::Drain),
        6 => any::<usize>().prop_map(Step::Arrive),
    ];
    vec(step, 1..60)
}

/// The announcements of all processes: the next one of each, and all that were sent.
struct Senders {
    next: Vec<SentAnnouncement>,
    sent: Vec<SentAnnouncement>,
}

impl Senders {
    fn new() -> Self {
        let first = |process| SentAnnouncement {
            process,
            incarnation: 1,
            sequence: 0,
            draining: false,
        };
        Self {
            next: (0..PROCESSES).map(first).collect(),
            sent: Vec::new(),
        }
    }

    fn send(&mut self, process: u8) -> SentAnnouncement {
        let next = &mut self.next[usize::from(process)];
        next.sequence += 1;
        self.sent.push(*next);
        *next
    }

    fn restart(&mut self, process: u8) {
        let next = &mut self.next[usize::from(process)];
        next.incarnation += 1;
        next.sequence = 0;
        next.draining = false;
    }

    fn drain(&mut self, process: u8) {
        self.next[usize::from(process)].draining = true;
        self.send(process);
    }
}

/// Runs the steps, lets each process announce itself once more, repeats the earlier announcements
/// of its current incarnation, and compares the directory with the last announcements.
fn check_convergence(
    directory: &mut dyn DirectoryUnderTest,
    steps: &[Step],
) -> Result<(), TestCaseError> {
    let mut senders = Senders::new();
    for step in steps {
        match *step {
            Step::Send(process) => {
                senders.send(process);
            }
            Step::Restart(process) => senders.restart(process),
            Step::Drain(process) => senders.drain(process),
            Step::Arrive(index) if !senders.sent.is_empty() => {
                directory.apply(senders.sent[index % senders.sent.len()]);
            }
            Step::Arrive(_) => {}
        }
    }
    let earlier = senders.sent.clone();
    let mut expected = BTreeMap::new();
    for process in 0..PROCESSES {
        let last = senders.send(process);
        directory.apply(last);
        let is_current = |sent: &&SentAnnouncement| {
            (sent.process, sent.incarnation) == (process, last.incarnation)
        };
        for repeated in earlier.iter().filter(is_current) {
            directory.apply(*repeated);
        }
        expected.insert(process, last);
    }
    let known = directory.known();
    if known == expected {
        return Ok(());
    }
    Err(TestCaseError::fail(format!(
        "{known:?}, expected {expected:?}"
    )))
}

fn converges(new_directory: impl Fn() -> Box<dyn DirectoryUnderTest>) -> bool {
    let config = ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(41),
        ..ProptestConfig::default()
    };
    let check = |steps: Vec<Step>| check_convergence(new_directory().as_mut(), &steps);
    let outcome = TestRunner::new(config).run(&steps(), check);
    if let Err(error) = &outcome {
        println!("{error}");
    }
    outcome.is_ok()
}

#[test]
fn directory_converges_when_announcements_are_reordered_lost_and_repeated() {
    assert!(converges(|| Box::new(new_directory())));
}

#[test]
fn naive_directory_does_not_converge() {
    assert!(!converges(|| Box::new(NaiveDirectory::default())));
}
