//! Routes and services as the operator configures them, and the configuration in force.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::{ModelName, ServiceName, TeamName};
use smallvec::SmallVec;
use strum::Display;

use crate::team_table::TeamTable;
use crate::teams::TeamRule;

/// Minimum time without an event after which callers abandon a stream. The platform states this
/// and the next two values for its callers.
const MIN_EVENT_GAP: Duration = Duration::from_secs(2);

/// Time without an event after which callers abandon a stream, in objectives of the first event.
const OBJECTIVES_PER_GAP: u32 = 4;

/// Time without an event after which callers abandon a stream, in objectives of the pause between
/// events.
const PAUSES_PER_GAP: u32 = 8;

/// The kind of a route's calls, which decides whether they may be repeated.
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

/// A service that receives a weighted share of a route's calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// The weight of the service relative to the others of the route.
    pub weight: u32,
}

/// The configuration of one route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// The name of the route.
    pub name: String,
    /// The host that callers address.
    pub host: String,
    /// The prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// The kind of the calls, which decides whether they may be repeated.
    pub kind: RouteKind,
    /// The largest time until a caller gets an answer.
    pub timeout: Duration,
    /// The latency objective for an answer, or for the first event of a stream.
    pub objective: Duration,
    /// The objective for the pause between two events of a stream.
    pub pause_objective: Option<Duration>,
    /// The priority of the calls, 0 being the most urgent.
    pub priority: u8,
    /// The services that calls are split over.
    pub services: SmallVec<[WeightedService; 2]>,
    /// The largest number of endpoints that one call may run on.
    pub max_attempts: u32,
    /// Whether a broken stream may resume at another engine.
    pub resumable: bool,
    /// Whether calls need no API key where the configuration has teams.
    pub is_public: bool,
}

impl RouteRule {
    /// Returns whether a call may run a second time.
    pub fn is_repeatable(&self) -> bool {
        self.kind == RouteKind::Idempotent || self.may_resume()
    }

    /// Returns whether a broken stream may resume at another engine.
    pub fn may_resume(&self) -> bool {
        self.kind == RouteKind::Stream && self.resumable
    }

    /// Returns the time without an event after which callers abandon a stream, also before its
    /// first event. Returns nothing for other routes, whose callers wait until their deadline.
    pub fn max_event_gap(&self) -> Option<Duration> {
        let pause = self.pause_objective.unwrap_or_default();
        (self.kind == RouteKind::Stream).then(|| {
            MIN_EVENT_GAP
                .max(self.objective * OBJECTIVES_PER_GAP)
                .max(pause * PAUSES_PER_GAP)
        })
    }

    /// Returns the service that a call is assigned to by the hash of `seed`, in proportion to the
    /// weights.
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

/// The configuration of a model that engines of a service can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelRule {
    /// The model.
    pub name: ModelName,
    /// The memory of the model's weights, in MB.
    pub weights_mb: f64,
    /// The memory of one adapter, in MB.
    pub adapter_mb: f64,
    /// The time of a load from the weight store.
    pub load_time: Duration,
}

/// The configuration of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineRule {
    /// The number of requests in a batch.
    pub slots: u32,
    /// The size of the cache that running requests and cached prompt parts share, in tokens.
    pub cache_tokens: u64,
    /// The memory for weights and adapters, in MB.
    pub memory_mb: f64,
    /// The number of adapters that an engine holds at once.
    pub adapter_slots: u32,
    /// The models, most wanted first.
    pub models: Vec<ModelRule>,
}

/// The configuration of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// The service.
    pub name: ServiceName,
    /// The number of connections that an endpoint accepts from all its clients; 0 if not stated.
    pub max_connections: u32,
    /// The configuration of the service's engines, if it has engines.
    pub engine: Option<EngineRule>,
}

/// Divisor that gives each entry its share of an endpoint's connections. An entry that has more
/// calls than others may use more than an even share while they use less.
const CONNECTION_SHARES: u32 = 4;

impl ServiceRule {
    /// Returns the number of calls that one entry may have at an endpoint of the service: each uses
    /// a connection of its own.
    pub fn max_calls(&self) -> u32 {
        match self.max_connections {
            0 => u32::MAX,
            connections => (connections / CONNECTION_SHARES).max(1),
        }
    }
}

/// The limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The largest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The time within which a caller has to send a head.
    pub head_timeout: Duration,
    /// The time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One complete version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RoutingConfig {
    /// The version; later configurations have larger ones.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteRule>,
    /// The services.
    pub services: Vec<ServiceRule>,
    /// The limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// The teams, if calls need an API key of one of them.
    pub teams: Option<Vec<TeamRule>>,
}

/// A configuration indexed for look-ups by host, path and service.
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    limits: CallerLimits,
    routes: HashMap<String, Vec<Arc<RouteRule>>>,
    services: HashMap<ServiceName, Arc<ServiceRule>>,
    teams: Option<TeamTable>,
}

impl RouteTable {
    /// Creates a table from a configuration.
    pub fn new(config: RoutingConfig) -> Self {
        let mut routes: HashMap<String, Vec<Arc<RouteRule>>> = HashMap::new();
        for route in config.routes {
            routes
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(route));
        }
        for candidates in routes.values_mut() {
            candidates.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
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
            teams: config.teams.map(TeamTable::new),
        }
    }

    /// Returns the version of the configuration.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests and connections.
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route of a call: among those of its host, the one with the longest matching path
    /// prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let candidates = match self.routes.get(host) {
            Some(candidates) => candidates,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        candidates
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Iterates over the routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.routes.values().flatten()
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceRule>> {
        self.services.get(name)
    }

    /// Returns whether calls need an API key, unless their route is public.
    pub const fn has_teams(&self) -> bool {
        self.teams.is_some()
    }

    /// Returns the teams, if the configuration has teams.
    pub const fn teams(&self) -> Option<&TeamTable> {
        self.teams.as_ref()
    }

    /// Returns the configuration of a team, without its keys.
    pub fn team(&self, name: &TeamName) -> Option<&TeamRule> {
        self.teams.as_ref()?.team(name)
    }

    /// Iterates over the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRule>> {
        self.services.values()
    }
}

/// The outcome of an attempt to apply a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ConfigOutcome {
    /// The configuration is in force now.
    Adopted,
    /// The configuration was in force already.
    Known,
    /// A newer configuration is in force.
    Outdated,
}

/// Holds the newest configuration. Its version never decreases while the process runs.
#[derive(Debug, Default)]
pub struct CurrentConfig {
    table: Option<Arc<RouteTable>>,
}

impl CurrentConfig {
    /// Puts a configuration in force if it is newer than the current one.
    pub fn apply(&mut self, config: RoutingConfig) -> ConfigOutcome {
        if let Some(table) = &self.table {
            if config.version == table.version {
                return ConfigOutcome::Known;
            }
            if config.version < table.version {
                return ConfigOutcome::Outdated;
            }
        }
        self.table = Some(Arc::new(RouteTable::new(config)));
        ConfigOutcome::Adopted
    }

    /// Returns the configuration in force, if one is known.
    pub const fn current(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }
}
