//! Slopes over state that control keeps: announcements, claims and their sizes on the wire.

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

/// Engines behind one agent. Source: letter 1, 3,400 engines behind 330 daemons.
const ENGINES_PER_AGENT: u32 = 10;

/// Agents of one data centre at which announcements are measured. Source: letter 1, 330 daemons
/// in 12 data centres, and twice that.
const AGENTS: [u32; 4] = [7, 14, 28, 56];

/// Adapters resident on one engine.
const RESIDENT: u32 = 8;

/// Rounds of announcements that one point averages.
const ROUNDS: u64 = 20;

/// Claims in the ledger at which the cost of one more is measured.
const CLAIMS: [u32; 4] = [1_000, 10_000, 50_000, 100_000];

/// Measures every slope over state.
pub fn measure() -> Vec<MeasuredSlope> {
    [announcement_time(), announcement_bytes(), claim_time()]
        .into_iter()
        .flatten()
        .collect()
}

fn named<Name: std::str::FromStr<Err = amaranth_core::Error>>(text: String) -> Name {
    text.parse().expect("generated names are valid")
}

fn report(agent: u32, engine: u32) -> EndpointReport {
    let resident = (0..RESIDENT)
        .map(|adapter| named::<AdapterRef>(format!("adapter-{agent:03}-{engine:02}-{adapter}@1")))
        .collect();
    EndpointReport {
        endpoint: named(format!("engine-{agent:03}-{engine:02}")),
        offer: EndpointOffer::Engine {
            bases: smallvec![named("base-model".to_owned())],
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
            process: named(format!("agent-{agent:03}")),
            incarnation: Incarnation(u64::from(agent)),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: named("dc-1".to_owned()),
            region: named("region-1".to_owned()),
        },
        sequence,
        draining: false,
        revision: ConfigRevision(1),
        endpoints: (0..ENGINES_PER_AGENT)
            .map(|engine| report(agent, engine))
            .collect(),
    }
}

/// Time that an entry's control spends each second when every agent announces once a second.
fn announcement_time() -> Option<MeasuredSlope> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .ok()?;
    let _entered = runtime.enter();
    let points = AGENTS
        .iter()
        .map(|agents| {
            let mut owner = DirectoryOwner::new(PeerTimes::default(), MonotonicClock::start());
            let mut spent = Duration::ZERO;
            for round in 0..=ROUNDS {
                let announcements: Vec<_> = (0..*agents)
                    .map(|agent| announcement(agent, round + 1))
                    .collect();
                let started = Instant::now();
                for announcement in announcements {
                    owner.apply_announcement(Timestamp::from_millis(round * 1_000), announcement);
                }
                // The first round only fills the directory.
                if round > 0 {
                    spent += started.elapsed();
                }
            }
            MeasuredPoint {
                load: f64::from(agents * ENGINES_PER_AGENT),
                cost: spent.as_secs_f64() * 1_000.0 / ROUNDS as f64,
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

/// Bytes that an entry receives each second when every agent announces in full once a second.
fn announcement_bytes() -> Option<MeasuredSlope> {
    let points = AGENTS
        .iter()
        .map(|agents| {
            let bytes: usize = (0..*agents)
                .filter_map(|agent| postcard::to_stdvec(&announcement(agent, 1)).ok())
                .map(|encoded| encoded.len())
                .sum();
            MeasuredPoint {
                load: f64::from(agents * ENGINES_PER_AGENT),
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

/// Time to rule on claims, for the whole ledger.
fn claim_time() -> Option<MeasuredSlope> {
    let points = CLAIMS
        .iter()
        .map(|claims| {
            let batches: Vec<ClaimBatch> = (0..*claims).map(claim_batch).collect();
            let mut ledger = ClaimLedger::new();
            let started = Instant::now();
            for (offset, batch) in batches.into_iter().enumerate() {
                ledger.apply(LogOffset(offset as u64), batch);
            }
            let cost = started.elapsed().as_secs_f64() * 1_000.0;
            black_box(&ledger);
            MeasuredPoint {
                load: f64::from(*claims),
                cost,
            }
        })
        .collect();
    MeasuredSlope::fit("entry-control".to_owned(), "claims ruled", "ms", points)
}

fn claim_batch(number: u32) -> ClaimBatch {
    let proposal = ClaimProposal {
        key: named(format!("booking-{number}")),
        body_digest: u128::from(number),
        request: RequestId(u128::from(number)),
        agent: named("agent-001".to_owned()),
        agent_incarnation: Incarnation(1),
        endpoint: named("service-1".to_owned()),
    };
    ClaimBatch {
        records: vec![ClaimRecord::Claim(proposal)],
    }
}
