//! Cost of the entry's control state: CPU time and bytes of announcements, CPU time of claims.

use std::hint::black_box;
use std::time::{Duration, Instant};

use amaranth_control::claim_ledger::ClaimLedger;
use amaranth_control::claim_record::{ClaimBatch, ClaimProposal, ClaimRecord};
use amaranth_core::ids::{AdapterRef, ConfigRevision, Incarnation, LogOffset, RequestId};
use amaranth_core::membership::{
    AgentAnnouncement, EndpointLoad, EndpointOffer, EndpointReport, ProcessIdentity,
};
use amaranth_core::time::{MonotonicClock, Timestamp};
use amaranth_entry::directory::DirectoryOwner;
use amaranth_entry::settings::PeerTimes;
use smallvec::smallvec;

use crate::capacity::line_fit::MeasuredPoint;
use crate::capacity::report::MeasuredSlope;

/// Number of engines behind one agent, as in a deployment of 3,400 engines behind 330 agents.
const ENGINES_PER_AGENT: u32 = 10;

/// Numbers of agents at which announcements are measured. With 330 agents in 12 data centres, each
/// data centre has 28; the largest number is twice that.
const AGENT_COUNTS: [u32; 4] = [7, 14, 28, 56];

/// Number of adapters resident on one engine.
const RESIDENT_ADAPTERS: u32 = 8;

/// Number of rounds of announcements that one point averages.
const ROUNDS: u64 = 20;

/// Numbers of claims that are applied to an empty ledger.
const CLAIM_COUNTS: [u32; 4] = [1_000, 10_000, 50_000, 100_000];

/// Measures the cost of announcements and claims.
pub fn measure() -> Vec<MeasuredSlope> {
    [
        measure_announcement_time(),
        measure_announcement_bytes(),
        measure_claim_time(),
    ]
    .into_iter()
    .flatten()
    .collect()
}

fn parse_name<Name: std::str::FromStr<Err = amaranth_core::Error>>(text: String) -> Name {
    text.parse().expect("generated names are valid")
}

fn endpoint_report(agent: u32, engine: u32) -> EndpointReport {
    let resident = (0..RESIDENT_ADAPTERS)
        .map(|adapter| {
            parse_name::<AdapterRef>(format!("adapter-{agent:03}-{engine:02}-{adapter}@1"))
        })
        .collect();
    EndpointReport {
        endpoint: parse_name(format!("engine-{agent:03}-{engine:02}")),
        offer: EndpointOffer::Engine {
            bases: smallvec![parse_name("base-model".to_owned())],
            adapter_slots: 8,
            batch_slots: 16,
        },
        ready: true,
        load: EndpointLoad::default(),
        resident,
        loading: Vec::new(),
    }
}

fn announcement(agent: u32, sequence: u64) -> AgentAnnouncement {
    AgentAnnouncement {
        identity: ProcessIdentity {
            process: parse_name(format!("agent-{agent:03}")),
            incarnation: Incarnation(u64::from(agent)),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: parse_name("dc-1".to_owned()),
            region: parse_name("region-1".to_owned()),
        },
        sequence,
        draining: false,
        revision: ConfigRevision(1),
        endpoints: (0..ENGINES_PER_AGENT)
            .map(|engine| endpoint_report(agent, engine))
            .collect(),
    }
}

/// Measures the time that an entry's control thread spends per second when every agent announces
/// once a second.
fn measure_announcement_time() -> Option<MeasuredSlope> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .ok()?;
    let _runtime_context = runtime.enter();
    let points = AGENT_COUNTS
        .iter()
        .map(|agent_count| {
            let mut owner = DirectoryOwner::new(PeerTimes::default(), MonotonicClock::start());
            let mut total_time = Duration::ZERO;
            for round in 0..=ROUNDS {
                let announcements: Vec<_> = (0..*agent_count)
                    .map(|agent| announcement(agent, round + 1))
                    .collect();
                let started = Instant::now();
                for announcement in announcements {
                    owner.apply_announcement(Timestamp::from_millis(round * 1_000), announcement);
                }
                // The first round only fills the directory and is not timed.
                if round > 0 {
                    total_time += started.elapsed();
                }
            }
            MeasuredPoint {
                load: f64::from(agent_count * ENGINES_PER_AGENT),
                cost: total_time.as_secs_f64() * 1_000.0 / ROUNDS as f64,
            }
        })
        .collect();
    MeasuredSlope::fit(
        "entry-control".to_owned(),
        "engines announced each second",
        "ms/s",
        points,
    )
}

/// Measures the bytes that an entry receives per second when every agent announces in full once a
/// second.
fn measure_announcement_bytes() -> Option<MeasuredSlope> {
    let points = AGENT_COUNTS
        .iter()
        .map(|agent_count| {
            let bytes: usize = (0..*agent_count)
                .filter_map(|agent| postcard::to_stdvec(&announcement(agent, 1)).ok())
                .map(|encoded| encoded.len())
                .sum();
            MeasuredPoint {
                load: f64::from(agent_count * ENGINES_PER_AGENT),
                cost: bytes as f64 / 1_024.0,
            }
        })
        .collect();
    MeasuredSlope::fit(
        "entry, from agents".to_owned(),
        "engines announced each second",
        "KiB/s",
        points,
    )
}

/// Measures the time to apply claims to an empty ledger.
fn measure_claim_time() -> Option<MeasuredSlope> {
    let points = CLAIM_COUNTS
        .iter()
        .map(|claim_count| {
            let batches: Vec<ClaimBatch> = (0..*claim_count).map(claim_batch).collect();
            let mut ledger = ClaimLedger::new();
            let started = Instant::now();
            for (offset, batch) in batches.into_iter().enumerate() {
                ledger.apply(LogOffset(offset as u64), batch);
            }
            let cost = started.elapsed().as_secs_f64() * 1_000.0;
            black_box(&ledger);
            MeasuredPoint {
                load: f64::from(*claim_count),
                cost,
            }
        })
        .collect();
    MeasuredSlope::fit("entry-control".to_owned(), "claims applied", "ms", points)
}

fn claim_batch(number: u32) -> ClaimBatch {
    let proposal = ClaimProposal {
        key: parse_name(format!("booking-{number}")),
        body_digest: u128::from(number),
        request: RequestId(u128::from(number)),
        agent: parse_name("agent-001".to_owned()),
        agent_incarnation: Incarnation(1),
        endpoint: parse_name("service-1".to_owned()),
    };
    ClaimBatch {
        records: vec![ClaimRecord::Claim(proposal)],
    }
}
