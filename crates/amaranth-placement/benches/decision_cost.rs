//! The cost of one routing decision and one planning decision, by the number of adapters.
//!
//! The engines are those of one data centre: 283, with 32 adapter slots each. The design size is
//! 73,000 adapters.

use std::hint::black_box;
use std::str::FromStr;
use std::time::Duration;

use amaranth_core::ids::{AdapterRef, EndpointId, ModelName, RequestId};
use amaranth_core::membership::{EndpointLoad, EndpointOffer, EndpointReport};
use amaranth_core::request::{ModelTarget, RequestPriority};
use amaranth_core::time::Timestamp;
use amaranth_core::units::TokenCount;
use amaranth_placement::planner::{
    EnginePlanner, PlannedRequest, PlannerCommand, PlannerEvent, PlannerOptions,
};
use amaranth_placement::router::{EndpointRouter, RouteQuery};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use smallvec::SmallVec;

const ENGINES: usize = 283;
const ADAPTER_SLOTS: usize = 32;
const BATCH_SLOTS: usize = 16;
const ADAPTER_COUNTS: [usize; 3] = [3_000, 20_000, 73_000];

fn adapter(index: usize) -> AdapterRef {
    AdapterRef::from_str(&format!("adapter-{index:05}@1")).expect("the name is well formed")
}

fn target(index: usize) -> ModelTarget {
    ModelTarget::Adapter {
        base: ModelName::from_str("base").expect("the name is well formed"),
        adapter: adapter(index),
    }
}

fn router(adapters: usize) -> EndpointRouter {
    let mut router = EndpointRouter::new();
    for engine in 0..ENGINES {
        let mut resident: Vec<AdapterRef> = (0..ADAPTER_SLOTS)
            .map(|slot| adapter((engine * ADAPTER_SLOTS + slot) % adapters))
            .collect();
        resident.sort();
        let name = format!("engine-{engine:03}");
        let report = EndpointReport {
            endpoint: EndpointId::from_str(&name).expect("the name is well formed"),
            offer: EndpointOffer::Engine {
                bases: SmallVec::from_elem("base".parse().expect("well formed"), 1),
                adapter_slots: ADAPTER_SLOTS as u16,
                batch_slots: BATCH_SLOTS as u16,
            },
            ready: true,
            load: EndpointLoad {
                in_flight: 8,
                spare_slots: 4,
                eviction_cost: engine as u32,
                ..EndpointLoad::default()
            },
            resident,
            loading: Vec::new(),
        };
        router.apply_report(Timestamp::ZERO, report);
    }
    router
}

/// Routes a request for each adapter in turn; at the design size, most adapters are on no engine.
fn route(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route");
    for adapters in ADAPTER_COUNTS {
        let router = router(adapters);
        let queries: Vec<RouteQuery> = (0..adapters)
            .map(|index| RouteQuery {
                target: target(index),
                excluded: SmallVec::new(),
            })
            .collect();
        group.bench_function(BenchmarkId::from_parameter(adapters), |bencher| {
            let mut index = 0;
            bencher.iter(|| {
                index = (index + 7_919) % queries.len();
                black_box(router.route(Timestamp::ZERO, &queries[index]))
            });
        });
    }
    group.finish();
}

/// Plans one request of an engine, from its arrival over its load and dispatch to its end.
fn plan(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan");
    for adapters in ADAPTER_COUNTS {
        let options = PlannerOptions {
            adapter_slots: ADAPTER_SLOTS,
            batch_slots: BATCH_SLOTS,
            ..PlannerOptions::default()
        };
        let mut planner = EnginePlanner::new(options);
        let mut now = Timestamp::ZERO;
        let targets: Vec<ModelTarget> = (0..adapters).map(target).collect();
        let mut count = 0;
        group.bench_function(BenchmarkId::from_parameter(adapters), |bencher| {
            bencher.iter(|| {
                count += 1;
                now = now + Duration::from_millis(10);
                let request = PlannedRequest {
                    id: RequestId(count as u128),
                    target: targets[(count * 7_919) % targets.len()].clone(),
                    deadline: now + Duration::from_secs(30),
                    priority: RequestPriority::Normal,
                    prompt_tokens: TokenCount(100),
                    max_tokens: TokenCount(100),
                };
                execute(&mut planner, now, PlannerEvent::Arrived(request));
            });
        });
    }
    group.finish();
}

/// Executes each command of the planner at once.
fn execute(planner: &mut EnginePlanner, now: Timestamp, event: PlannerEvent) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        for command in planner.handle(now, event) {
            match command {
                PlannerCommand::Dispatch(id) => events.push(PlannerEvent::Finished(id)),
                PlannerCommand::RequestPermit(adapter, _) => {
                    events.push(PlannerEvent::PermitGranted(adapter));
                }
                PlannerCommand::Load(adapter) => events.push(PlannerEvent::Loaded(adapter)),
                PlannerCommand::Unload(adapter) => events.push(PlannerEvent::Unloaded(adapter)),
                PlannerCommand::ReturnPermit(_) | PlannerCommand::Refuse(..) => {}
            }
        }
    }
}

criterion_group!(benches, route, plan);
criterion_main!(benches);
