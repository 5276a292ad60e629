//! Routes and services as the operator configures them, and the version that is in force.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{ModelName, ServiceName};
use smallvec::SmallVec;
use strum::Display;

/// Time without an event for which callers of streams wait at least. This and the next two are what
/// the platform tells of its callers.
const LEAST_GAP: Duration = Duration::from_secs(2);

/// The same in objectives of the first event.
const OBJECTIVES_IN_GAP: u32 = 4;

/// The same in objectives of the pause between events.
const PAUSES_IN_GAP: u32 = 8;

/// What may be repeated of a route's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteKind {
    /// A call may run more than once.
    Idempotent,
    /// A call runs at most once.
    NonIdempotent,
    /// The answer is a stream of events; it runs at most once unless it is resumable.
    Stream,
}

/// A service that a route leads to, and its share of the calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight against the others of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// The name of the route.
    pub name: String,
    /// The host that callers address.
    pub host: String,
    /// The prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub objective: Duration,
    /// The longest pause between events of a stream that is on time.
    pub pause_objective: Option<Duration>,
    /// The rank, 0 being the most urgent.
    pub priority: u8,
    /// Where calls go.
    pub services: SmallVec<[WeightedService; 2]>,
    /// The most endpoints that one call may run on.
    pub max_attempts: u32,
    /// Whether a stream may go on at another engine.
    pub resumable: bool,
}

impl RouteRule {
    /// Returns whether a call may run a second time.
    pub fn is_repeatable(&self) -> bool {
        self.kind == RouteKind::Idempotent || self.may_resume()
    }

    /// Returns whether a broken stream may go on at another engine.
    pub fn may_resume(&self) -> bool {
        self.kind == RouteKind::Stream && self.resumable
    }

    /// Returns the time without an event after which callers leave a stream, also before its first
    /// one; callers of other answers wait until their deadline.
    pub fn longest_gap(&self) -> Option<Duration> {
        let pause = self.pause_objective.unwrap_or_default();
        (self.kind == RouteKind::Stream).then(|| {
            LEAST_GAP
                .max(self.objective * OBJECTIVES_IN_GAP)
                .max(pause * PAUSES_IN_GAP)
        })
    }

    /// Returns the service of the call whose id hashes to `seed`.
    pub fn service_for(&self, seed: &str) -> Option<&ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return self.services.first().map(|target| &target.service);
        }
        let mut point = hash64(0, seed.as_bytes()) % total;
        for target in &self.services {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}

/// A model that engines of a service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRule {
    /// The model.
    pub name: ModelName,
    /// Memory of its weights, in MB.
    pub weights_mb: f64,
    /// Memory of one adapter, in MB.
    pub adapter_mb: f64,
    /// Time of a load from the weight store.
    pub load_time: Duration,
}

/// The engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRule {
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens that running requests and kept parts share.
    pub cache_tokens: u64,
    /// Memory for weights and adapters, in MB.
    pub memory_mb: f64,
    /// Adapters that an engine holds at once.
    pub adapter_places: u32,
    /// The models, most wanted first.
    pub models: Vec<ModelRule>,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// The service.
    pub name: ServiceName,
    /// Connections that an endpoint accepts from all its clients; 0 if that is not stated.
    pub max_connections: u32,
    /// What its engines are, if it has engines.
    pub engine: Option<EngineRule>,
}

/// Entries among which an endpoint's connections are shared out. An entry that has more calls than
/// others may use more than an even share while they use less.
const CONNECTION_SHARES: u32 = 4;

impl ServiceRule {
    /// Returns the calls that one entry may have at an endpoint of the service: each takes a
    /// connection of its own.
    pub fn max_calls(&self) -> u32 {
        match self.max_connections {
            0 => u32::MAX,
            connections => (connections / CONNECTION_SHARES).max(1),
        }
    }
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time that a caller may take for a head.
    pub head_timeout: Duration,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration, whole.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingConfig {
    /// The version. Later ones are larger.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The services.
    pub services: Vec<ServiceRule>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// A configuration that is ready for look-ups.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    limits: CallerLimits,
    routes: HashMap<String, Vec<Arc<RouteRule>>>,
    services: HashMap<ServiceName, Arc<ServiceRule>>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn open(config: RoutingConfig) -> Self {
        let mut routes: HashMap<String, Vec<Arc<RouteRule>>> = HashMap::new();
        for route in config.routes {
            routes
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(route));
        }
        for list in routes.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = config
            .services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        Self {
            version: config.version,
            limits: config.limits,
            routes,
            services,
        }
    }

    /// Returns the version of the configuration.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns what callers may send.
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route of a call: of its host, the one with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let list = match self.routes.get(host) {
            Some(list) => list,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        list.iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceRule>> {
        self.services.get(name)
    }

    /// Iterates over the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRule>> {
        self.services.values()
    }
}

/// What became of a configuration that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ConfigStep {
    /// It is in force.
    Adopted,
    /// It is in force already.
    Known,
    /// A newer one is in force.
    Outdated,
}

/// Keeps the newest configuration. It never goes back while the process lives.
#[derive(Debug, Default)]
pub struct ConfigKeeper {
    table: Option<Arc<RouteTable>>,
}

impl ConfigKeeper {
    /// Takes a configuration and puts it in force if it is newer than the current one.
    pub fn offer(&mut self, config: RoutingConfig) -> ConfigStep {
        if let Some(table) = &self.table {
            if config.version == table.version {
                return ConfigStep::Known;
            }
            if config.version < table.version {
                return ConfigStep::Outdated;
            }
        }
        self.table = Some(Arc::new(RouteTable::open(config)));
        ConfigStep::Adopted
    }

    /// Returns the configuration in force, if one is known.
    pub const fn current(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }
}
