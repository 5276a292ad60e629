//! Builders of endpoints, engine contents, routes and load requests for the tests.

#![allow(dead_code)]

use std::fmt::Debug;
use std::str::FromStr;
use std::time::Duration;

use amaranth_dispatch::attempts::SendFailure;
use amaranth_dispatch::call::{GenerationNeed, PartId, PromptPart, PromptParts};
use amaranth_dispatch::endpoint_table::{EndpointRecord, EndpointTable, RegistryEvent};
use amaranth_dispatch::engine_selector::Locality;
use amaranth_dispatch::engine_view::{EngineContents, EngineView, HeldAdapter, LoadRequest};
use amaranth_dispatch::not_run_proof::{AnswerFacts, CallSend, NamedCall};
use amaranth_dispatch::routes::{
    CallerLimits, EngineRule, ModelRule, RouteKind, RouteRule, RoutingConfig, WeightedService,
};
use smallvec::smallvec;

/// Latency objective of the tests' generations.
pub const OBJECTIVE: Duration = Duration::from_secs(1);

/// Parses a name that is known to be valid.
pub fn name<Name: FromStr<Err: Debug>>(text: &str) -> Name {
    text.parse().expect("names in tests are valid")
}

/// Returns the failure of a send that never left the entry.
pub fn not_sent() -> SendFailure {
    SendFailure::NotRun(CallSend::begin().abandon())
}

/// Returns the failure of a send that an endpoint provably refused with this status.
pub fn refused(status: u16) -> SendFailure {
    let facts = AnswerFacts {
        status,
        states_not_run: true,
        is_authenticated: false,
        named_call: NamedCall::Sent,
        is_complete: true,
    };
    let proof = CallSend::begin().hand_over(0).verify(&facts);
    SendFailure::NotRun(proof.expect("the answer is a proof"))
}

/// Returns a version of an adapter of the tests' model.
pub fn held(adapter: &str, version: u64) -> HeldAdapter {
    HeldAdapter {
        model: name("m"),
        name: name(adapter),
        version,
    }
}

/// Returns the contents of an engine that holds the tests' model and the given adapters in version
/// 1.
pub fn contents(adapters: &[&str]) -> EngineContents {
    EngineContents {
        models: vec![name("m")],
        adapters: adapters.iter().map(|adapter| held(adapter, 1)).collect(),
        cache_total: 100_000,
        ..EngineContents::default()
    }
}

/// Returns the record of an engine.
pub fn engine(id: &str, data_centre: &str, adapters: &[&str]) -> EndpointRecord {
    EndpointRecord {
        id: name(id),
        service: name("llm"),
        address: "127.0.0.1:9000"
            .parse()
            .expect("the address literal is valid"),
        data_centre: data_centre.to_owned(),
        slots: 8,
        draining: false,
        started_ms: Some(1),
        sequence: 1,
        software: Default::default(),
        contents: contents(adapters),
    }
}

/// Applies the announcement of an endpoint.
pub fn announce(table: &mut EndpointTable, record: EndpointRecord) {
    table.apply(RegistryEvent::Announced(Box::new(record)));
}

/// Returns the view of an agent whose engine holds the given adapters, none of them in use.
pub fn view(adapters: &[&str]) -> EngineView {
    EngineView {
        revision: 1,
        contents: contents(adapters),
        ..EngineView::default()
    }
}

/// Returns the configuration of engines with three adapter slots each.
pub fn engine_rule() -> EngineRule {
    EngineRule {
        slots: 8,
        cache_tokens: 100_000,
        memory_mb: 10_000.0,
        adapter_slots: 3,
        models: vec![ModelRule {
            name: name("m"),
            weights_mb: 8_000.0,
            adapter_mb: 40.0,
            load_time: Duration::from_secs(2),
        }],
    }
}

/// Returns the requirements of a generation with an adapter and a prompt of 1,000 tokens.
pub fn need(adapter: &str) -> GenerationNeed {
    GenerationNeed {
        model: name("m"),
        adapter: Some(name(adapter)),
        prompt_tokens: 1_000,
        output_limit: 40,
        output_hint: None,
        parts: PromptParts::from_slice(&[
            PromptPart {
                id: PartId(1),
                tokens: 600,
            },
            PromptPart {
                id: PartId(2),
                tokens: 400,
            },
        ]),
    }
}

/// Returns the locality of an entry in data centre `a1`. Region `a` has `a1` and `a2`, region `b`
/// has `b1`.
pub fn locality() -> Locality {
    let regions = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    Locality {
        data_centre: "a1".to_owned(),
        regions: regions
            .into_iter()
            .map(|(data_centre, region)| (data_centre.to_owned(), region.to_owned()))
            .collect(),
    }
}

/// Returns a route to the service `llm`.
pub fn route(kind: RouteKind, resumable: bool, max_attempts: u32) -> RouteRule {
    RouteRule {
        name: "r".to_owned(),
        host: "h.example".to_owned(),
        path_prefix: "/p/".to_owned(),
        kind,
        timeout: Duration::from_secs(5),
        objective: OBJECTIVE,
        pause_objective: None,
        priority: 1,
        services: smallvec![WeightedService {
            service: name("llm"),
            weight: 1,
        }],
        max_attempts,
        resumable,
        is_public: false,
    }
}

/// Returns a configuration with the given routes.
pub fn config(version: u64, routes: Vec<RouteRule>) -> RoutingConfig {
    RoutingConfig {
        version,
        routes,
        services: Vec::new(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        teams: None,
    }
}

/// Returns a request to load an adapter at the endpoint `e`.
pub fn load_request(adapter: &str, version: Option<u64>) -> LoadRequest {
    LoadRequest {
        endpoint: name("e"),
        model: name("m"),
        adapter: Some(name(adapter)),
        version,
        adapter_slots: 3,
        fits_memory: true,
        max_wait: Duration::from_secs(2),
    }
}
