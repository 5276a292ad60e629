//! What the entry's directory shows of agents that leave, fall silent or start again.

use amaranth_core::errors::ErrorKind;
use amaranth_core::ids::{ConfigRevision, Incarnation, ProcessId};
use amaranth_core::membership::{
    AgentAnnouncement, EndpointLoad, EndpointOffer, EndpointReport, ProcessIdentity,
};
use amaranth_core::time::{MonotonicClock, Timestamp};
use amaranth_entry::directory::DirectoryOwner;
use amaranth_entry::settings::PeerTimes;

const SERVICE: &str = "member-desk";

fn announcement(life: u64, sequence: u64, draining: bool) -> AgentAnnouncement {
    let service = SERVICE.parse().expect("service");
    AgentAnnouncement {
        identity: ProcessIdentity {
            process: process(),
            incarnation: Incarnation(life),
            address: ([127, 0, 0, 1], 9).into(),
            data_centre: "obihiro-a".parse().expect("data centre"),
            region: "doto".parse().expect("region"),
        },
        sequence,
        draining,
        revision: ConfigRevision(0),
        endpoints: vec![EndpointReport {
            endpoint: "desk-1".parse().expect("endpoint"),
            offer: EndpointOffer::Service(service),
            ready: true,
            load: EndpointLoad::default(),
            resident: Vec::new(),
            loading: Vec::new(),
        }],
    }
}

fn process() -> ProcessId {
    "agent-1".parse().expect("process")
}

/// Returns the life of the agent that new work goes to.
fn routed_life(directory: &DirectoryOwner) -> Result<Incarnation, ErrorKind> {
    let service = SERVICE.parse().expect("service");
    let routed = directory.directory().select_service(&service, &[]);
    routed
        .map(|handle| handle.agent.incarnation)
        .map_err(|error| error.kind)
}

/// Returns the life of the agent that can be asked about old work.
fn asked_life(directory: &DirectoryOwner) -> Option<Incarnation> {
    let agent = directory.directory().agent(&process())?;
    Some(agent.identity.incarnation)
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

#[tokio::test]
async fn crossed_announcement_of_leaving_stops_new_work() {
    let mut directory = DirectoryOwner::new(PeerTimes::default(), MonotonicClock::start());
    directory.apply_announcement(at(0), announcement(1, 2, false));
    assert_eq!(routed_life(&directory), Ok(Incarnation(1)));
    directory.apply_announcement(at(10), announcement(1, 1, true));
    directory.apply_announcement(at(20), announcement(1, 3, false));
    assert_eq!(routed_life(&directory), Err(ErrorKind::NoEndpoint));
    assert_eq!(asked_life(&directory), Some(Incarnation(1)));
}

#[tokio::test]
async fn silent_agent_gets_no_new_work_and_can_still_be_asked_about_old() {
    let mut directory = DirectoryOwner::new(PeerTimes::default(), MonotonicClock::start());
    directory.apply_announcement(at(0), announcement(1, 1, false));
    directory.tick(at(3_500));
    assert_eq!(routed_life(&directory), Err(ErrorKind::NoEndpoint));
    assert_eq!(asked_life(&directory), Some(Incarnation(1)));
    directory.apply_announcement(at(4_000), announcement(1, 2, false));
    assert_eq!(routed_life(&directory), Ok(Incarnation(1)));
}

#[tokio::test]
async fn late_announcement_of_a_former_life_takes_no_work_from_the_present_one() {
    let mut directory = DirectoryOwner::new(PeerTimes::default(), MonotonicClock::start());
    directory.apply_announcement(at(0), announcement(1, 7, false));
    directory.apply_announcement(at(1_000), announcement(2, 1, false));
    directory.apply_announcement(at(1_100), announcement(1, 7, false));
    assert_eq!(routed_life(&directory), Ok(Incarnation(2)));
    assert_eq!(asked_life(&directory), Some(Incarnation(2)));
}
