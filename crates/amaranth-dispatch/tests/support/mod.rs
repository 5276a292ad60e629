//! What the tests of decisions share: short ways to write endpoints, routes and needs.

#![allow(dead_code)]

use std::fmt::Debug;
use std::str::FromStr;
use std::time::Duration;

use amaranth_dispatch::call::{GenerationNeed, PromptPart, PromptParts};
use amaranth_dispatch::endpoint_book::{EndpointBook, EndpointRecord, RegistryEvent};
use amaranth_dispatch::engine_placer::Locality;
use amaranth_dispatch::engine_view::{EngineContents, EngineView, HeldAdapter, LoadWish};
use amaranth_dispatch::routes::{
    CallerLimits, EngineRule, ModelRule, RouteKind, RouteRule, RoutingConfig, WeightedService,
};
use smallvec::smallvec;

/// The objective of the tests' generations.
pub const OBJECTIVE: Duration = Duration::from_secs(1);

/// Parses a name that is known to be good.
pub fn name<Name: FromStr<Err: Debug>>(text: &str) -> Name {
    text.parse().expect("a test's name is good")
}

/// Returns an adapter of the tests' model.
pub fn held(adapter: &str, version: u64) -> HeldAdapter {
    HeldAdapter {
        model: name("m"),
        name: name(adapter),
        version,
    }
}

/// Returns the contents of an engine with the model and some adapters in version 1.
pub fn contents(adapters: &[&str]) -> EngineContents {
    EngineContents {
        models: vec![name("m")],
        adapters: adapters.iter().map(|adapter| held(adapter, 1)).collect(),
        cache_total: 100_000,
        ..EngineContents::default()
    }
}

/// Returns an announcement of an engine.
pub fn engine(id: &str, data_centre: &str, adapters: &[&str]) -> EndpointRecord {
    EndpointRecord {
        id: name(id),
        service: name("llm"),
        address: "127.0.0.1:9000".parse().expect("an address"),
        data_centre: data_centre.to_owned(),
        slots: 8,
        leaving: false,
        started_ms: Some(1),
        sequence: 1,
        contents: contents(adapters),
    }
}

/// Announces an endpoint.
pub fn announce(book: &mut EndpointBook, record: EndpointRecord) {
    book.apply(RegistryEvent::Announced(Box::new(record)));
}

/// Returns a view of an agent whose engine holds some adapters that nobody uses.
pub fn view(adapters: &[&str]) -> EngineView {
    EngineView {
        revision: 1,
        contents: contents(adapters),
        ..EngineView::default()
    }
}

/// Returns engines with three places each.
pub fn engine_rule() -> EngineRule {
    EngineRule {
        slots: 8,
        cache_tokens: 100_000,
        memory_mb: 10_000.0,
        adapter_places: 3,
        models: vec![ModelRule {
            name: name("m"),
            weights_mb: 8_000.0,
            adapter_mb: 40.0,
            load_time: Duration::from_secs(2),
        }],
    }
}

/// Returns a need of an adapter with a prompt of 1,000 tokens.
pub fn need(adapter: &str) -> GenerationNeed {
    GenerationNeed {
        model: name("m"),
        adapter: Some(name(adapter)),
        prompt_tokens: 1_000,
        output_limit: 40,
        output_hint: None,
        parts: PromptParts::from_slice(&[
            PromptPart { id: 1, tokens: 600 },
            PromptPart { id: 2, tokens: 400 },
        ]),
    }
}

/// Returns an entry in data centre `a1` of region `a`, with `b1` in region `b`.
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
    }
}

/// Returns a configuration with some routes.
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
    }
}

/// Returns a wish for an adapter at the endpoint `e`.
pub fn wish(adapter: &str, version: Option<u64>) -> LoadWish {
    LoadWish {
        endpoint: name("e"),
        model: name("m"),
        adapter: Some(name(adapter)),
        version,
        adapter_places: 3,
        fits_memory: true,
        patience: Duration::from_secs(2),
    }
}
