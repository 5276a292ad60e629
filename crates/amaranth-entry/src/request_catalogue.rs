//! What the entry needs to know of the operators' configuration.

use std::sync::Arc;

use amaranth_core::errors::{Result, not_found};
use amaranth_core::ids::{CallerId, ConfigRevision, ServiceName};
use amaranth_core::request::ModelTarget;
use arc_swap::ArcSwap;

/// How a plain service treats one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRule {
    /// The service.
    pub service: ServiceName,
    /// Whether the call may be repeated.
    pub repeatable: bool,
}

/// Resolves what callers name.
pub trait RequestCatalogue: Send + Sync {
    /// Returns what a completion for `model` runs on.
    ///
    /// # Errors
    ///
    /// `NotFound` if no adapter, version or base model of that name exists.
    fn resolve_model(&self, model: &str, caller: &CallerId) -> Result<ModelTarget>;

    /// Returns the names that callers may use.
    fn models(&self) -> Vec<String>;

    /// Returns how the service named `service` treats a call.
    ///
    /// # Errors
    ///
    /// `NotFound` if no such service exists.
    fn service_rule(&self, service: &str, method: &str, path: &str) -> Result<ServiceRule>;
}

/// One revision of the configuration.
#[derive(Clone)]
pub struct RevisedCatalogue {
    /// The revision.
    pub revision: ConfigRevision,
    /// Its content.
    pub catalogue: Arc<dyn RequestCatalogue>,
}

/// The revision that is in force now.
pub type CurrentCatalogue = Arc<ArcSwap<RevisedCatalogue>>;

/// The configuration before any was accepted.
#[derive(Debug)]
pub struct EmptyCatalogue;

impl RequestCatalogue for EmptyCatalogue {
    fn resolve_model(&self, model: &str, _caller: &CallerId) -> Result<ModelTarget> {
        Err(not_found(format!("model {model:?} does not exist")))
    }

    fn models(&self) -> Vec<String> {
        Vec::new()
    }

    fn service_rule(&self, service: &str, _method: &str, _path: &str) -> Result<ServiceRule> {
        Err(not_found(format!("service {service:?} does not exist")))
    }
}

/// Opens the current catalogue with the empty configuration.
pub fn open_empty() -> CurrentCatalogue {
    Arc::new(ArcSwap::from_pointee(RevisedCatalogue {
        revision: ConfigRevision::default(),
        catalogue: Arc::new(EmptyCatalogue),
    }))
}
